//! Tests agents whose engine, or origin of weights, sends bytes without end.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::loading::AgentProcess;
use harness::loading::Engine;
use harness::loading::Flood;

/// The memory below which an agent must stay: its share for control on a host.
const MEMORY_MAX_KIB: u64 = 64 << 10;
/// How many answers without end an agent must end.
const FLOODS: usize = 3;
/// The time within which it must have done so.
const FLOODS_TIMEOUT: Duration = Duration::from_secs(25);

/// Runs an agent whose requests to a path get answers without end. It must end
/// them in bounded memory, and load a version afterwards. Returns its peak of
/// memory, in KiB.
async fn load_beside_flood(path: &'static str, flood: Flood) -> u64 {
    let engine = Engine::spawn().await;
    let agent = AgentProcess::start(&engine).await;
    engine.set_flood(Some((path, flood)));
    agent.publish(2);
    let ending = async {
        while engine.floods_ended() < FLOODS {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let ended = timeout(FLOODS_TIMEOUT, ending).await;
    let count = engine.floods_ended();
    assert!(ended.is_ok(), "{path} {flood:?}: {count} answers ended");
    engine.set_flood(None);
    agent.wait_line("E7238", "version 2 ").await;
    agent.memory_peak_kib()
}

async fn assert_memory_bounded(path: &'static str) {
    let mut runs = JoinSet::new();
    for flood in Flood::ALL {
        runs.spawn(async move { (flood, load_beside_flood(path, flood).await) });
    }
    for (flood, memory_kib) in runs.join_all().await {
        println!("{path} {flood:?}: agent at {memory_kib} KiB of {MEMORY_MAX_KIB} KiB");
        assert!(memory_kib < MEMORY_MAX_KIB, "{path} {flood:?}");
    }
}

/// Guards against an agent that keeps an endless report of its engine until its host
/// has no memory left. The same holds for each request below.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_without_end_does_not_fill_the_memory_of_an_agent() {
    assert_memory_bounded("GET /report").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_without_end_does_not_fill_the_memory_of_an_agent() {
    assert_memory_bounded("GET /manifest/m").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_without_end_does_not_fill_the_memory_of_an_agent() {
    assert_memory_bounded("GET /piece/m").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_staged_chunk_without_end_does_not_fill_the_memory_of_an_agent() {
    assert_memory_bounded("GET /stage-get/m").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_staging_without_end_does_not_fill_the_memory_of_an_agent() {
    assert_memory_bounded("PUT /stage-put/m").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_an_order_without_end_does_not_fill_the_memory_of_an_agent() {
    assert_memory_bounded("POST /order").await;
}
