//! Tests an entry whose store is restored from a backup: what was written since is
//! gone, and versions are given out again.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::store::Store;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Server;
use harness::complete_answer;
use harness::configuration;
use harness::request;
use harness::status;

/// The time within which a configuration must be in force.
const APPLY_TIME_MAX: Duration = Duration::from_secs(5);

/// Writes rows that no process reads.
fn write_others(store: &Store, count: usize) {
    for index in 0..count {
        store.put("other", "row", &json!(index));
    }
}

fn without_key(version: u64) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"] = json!([{"name": "archive", "apiKeys": ["k2"]}]);
    configuration
}

/// Guards against an entry that accepts a withdrawn key for good: the configuration
/// was written below the version up to which the entry knew the table before the
/// store was restored.
#[tokio::test]
async fn a_key_withdrawn_after_a_restore_is_refused() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "read"))]).await;
    let harness = Harness::start_logged(&[&server], &configuration(1)).await;
    let backup = harness.store.backup();
    write_others(&harness.store, 20);
    // The entry knows the table up to the version of this row.
    harness.store.put("op", "config", &configuration(2));
    harness.wait_lines("E7020", 2).await;
    harness.store.restore(&backup);
    harness.store.put("op", "config", &without_key(3));
    write_others(&harness.store, 60);
    let refused = async {
        while status(&harness.ask(&request("GET", "/read/", "", "")).await) != 401 {
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(APPLY_TIME_MAX, refused)
        .await
        .expect("the withdrawn key is refused");
}
