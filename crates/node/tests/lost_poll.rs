//! Tests that an entry acts on a configuration in time after answers of the store were
//! lost.

mod harness;

use std::time::Duration;

use harness::Harness;
use harness::configuration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The time after a disturbance until bounds hold again (`stableWindowMs`); the entries
/// of these tests have no other.
const RECOVERY: Duration = Duration::from_secs(3);

/// Guards against requests that are handled by an older configuration after its bound:
/// the poll that was lost last, as the store came back, was held to be quiet for 4 s.
#[tokio::test]
async fn a_poll_lost_as_the_store_came_back_does_not_delay_a_configuration_beyond_its_bound() {
    let harness = Harness::start_logged(&[], &configuration(1)).await;
    harness.wait_lines("E7020", 1).await;
    for version in 2..7 {
        harness.store.put("op", "config", &configuration(version));
        harness.wait_lines("E7020", version as usize).await;
        sleep(Duration::from_millis(300)).await;
    }
    harness.store.set_feed_stalled(true);
    // This is the answer to the poll in flight; the next one is lost.
    harness.store.put("op", "config", &configuration(7));
    harness.wait_lines("E7020", 7).await;
    sleep(Duration::from_millis(400)).await;
    harness.store.set_feed_stalled(false);
    let sound = Instant::now();
    harness.store.put("op", "config", &configuration(8));
    harness.wait_lines("E7020", 8).await;
    let time = sound.elapsed();
    assert!(time < RECOVERY, "{time:?}");
}
