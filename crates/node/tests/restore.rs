//! Tests an entry whose store is restored from a backup: what was written since is
//! gone, and versions are given out again.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::store::Store;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Options;
use harness::Server;
use harness::complete_answer;
use harness::configuration;
use harness::request;
use harness::status;

/// The time within which rows that the store has lost must be written again.
const REWRITE_TIME_MAX: Duration = Duration::from_secs(5);
/// The time within which a configuration must be in force.
const APPLY_TIME_MAX: Duration = Duration::from_secs(5);

/// Writes rows that no process reads.
fn write_others(store: &Store, count: usize) {
    for index in 0..count {
        store.put("other", "row", &json!(index));
    }
}

async fn wait_value(store: &Store, table: &str, key: &str, limit: Duration) -> Vec<u8> {
    let waiting = async {
        loop {
            if let Some(value) = store.value(table, key) {
                return value;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(limit, waiting)
        .await
        .unwrap_or_else(|_| panic!("no row {key:?} in table {table:?}"))
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

/// Guards against rows of the entry that are lost with the store for good: a fleet
/// key that later processes would create anew, and limits that others don't hear of.
#[tokio::test]
async fn rows_that_the_store_has_lost_are_written_again() {
    let (store, address) = Store::spawn((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    store.put("op", "config", &configuration(1));
    let backup = store.backup();
    let _entry = Harness::start_on(&store, address, "edge-1", &Options::default()).await;
    let key = wait_value(&store, "snipewinch", "fleet-key", REWRITE_TIME_MAX).await;
    wait_value(&store, "snipewinch-limits", "edge-1", REWRITE_TIME_MAX).await;
    store.restore(&backup);
    let written = wait_value(&store, "snipewinch", "fleet-key", REWRITE_TIME_MAX).await;
    assert_eq!(written, key, "the fleet has another key");
    wait_value(&store, "snipewinch-limits", "edge-1", REWRITE_TIME_MAX).await;
}
