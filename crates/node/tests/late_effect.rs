//! Tests an agent whose requests to its engine take effect after they were given up.

mod harness;

use std::time::Duration;

use harness::TIMEOUT;
use harness::loading::AgentProcess;
use harness::loading::Engine;
use harness::loading::chunk_text;
use tokio::time::sleep;
use tokio::time::timeout;

/// More orders than an agent sends before it knows the next version.
const REPEATS_MAX: usize = 60;
/// The time for an agent to stage the next version, if it does not wait.
const NEXT_VERSION_TIME: Duration = Duration::from_millis(2_500);

/// The text of an order for a version.
fn order(version: u64) -> String {
    format!("\"version\":{version}}}")
}

/// Waits until the engine holds a version and the agent grants its slots. Until then
/// it grants none while a layer is of another version.
async fn wait_loaded(agent: &AgentProcess, engine: &Engine, version: u64) {
    let loading = async {
        loop {
            let was_mixed = engine.is_mixed();
            let slots = agent.gauge("snipewinch_places ").await;
            let grants = slots.is_some_and(|slots| slots > 0.0);
            assert!(
                !(was_mixed && engine.is_mixed() && grants),
                "{:?}",
                engine.loads()
            );
            if engine.holds(version) && grants {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let loaded = timeout(TIMEOUT, loading).await;
    loaded.unwrap_or_else(|_| panic!("not loaded and granted in time: {:?}", engine.loads()));
}

/// Guards against tokens from layers of two versions: an order without an answer was
/// taken for refused once a report did not show it, and the next version was staged.
#[tokio::test]
async fn an_order_that_is_accepted_late_does_not_load_chunks_of_the_next_version() {
    let engine = Engine::spawn().await;
    let agent = AgentProcess::start(&engine).await;
    for _ in 0..REPEATS_MAX {
        engine.stall(&order(2));
    }
    engine.stall(&order(3));
    agent.publish(2);
    engine.wait_stalled(&order(2)).await;
    agent.publish(3);
    agent.wait_line("E7022", "version 3 ").await;
    sleep(NEXT_VERSION_TIME).await;
    engine.release(&order(2));
    sleep(Duration::from_millis(500)).await;
    engine.release(&order(3));
    wait_loaded(&agent, &engine, 3).await;
    let loads = engine.loads();
    assert!(
        loads.iter().all(|load| load.foreign.is_empty()),
        "{loads:?}"
    );
}

/// Guards against tokens from layers of two versions after an agent was killed: its
/// successor knows nothing of its order and stages the next version.
#[tokio::test]
async fn an_engine_that_accepts_the_order_of_a_killed_agent_gets_no_requests_until_it_reloads() {
    let engine = Engine::spawn().await;
    let mut agent = AgentProcess::start(&engine).await;
    engine.stall(&order(2));
    engine.stall(&order(3));
    agent.publish(2);
    engine.wait_stalled(&order(2)).await;
    agent.publish(3);
    agent.replace();
    engine.wait_stalled(&order(3)).await;
    engine.release(&order(2));
    wait_loaded(&agent, &engine, 3).await;
}

/// Guards against tokens from layers of two versions: a chunk whose staging was given
/// up replaced one of the next version just before the engine loaded that.
#[tokio::test]
async fn a_chunk_that_is_staged_late_is_not_used_as_one_of_the_next_version() {
    tokio::join!(stage_late(0), stage_late(1));
}

async fn stage_late(index: u64) {
    let engine = Engine::spawn().await;
    let agent = AgentProcess::start(&engine).await;
    let chunk = chunk_text(2, index);
    engine.stall(&chunk);
    engine.stall(&order(3));
    agent.publish(2);
    engine.wait_stalled(&chunk).await;
    agent.publish(3);
    engine.wait_stalled(&order(3)).await;
    engine.release(&chunk);
    sleep(Duration::from_millis(100)).await;
    engine.release(&order(3));
    wait_loaded(&agent, &engine, 3).await;
}
