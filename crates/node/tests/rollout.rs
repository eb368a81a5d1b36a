//! Tests what an agent logs and counts of the versions that its engine loads.

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::loading::AgentProcess;
use harness::loading::Engine;

/// The time within which requests must begin on a new version on the users' deployments.
const VERSION_BOUND: Duration = Duration::from_secs(8);

/// The names of the phases in a line and their sum, which is also the total.
fn phases(message: &str) -> Vec<&str> {
    let (head, list) = message.split_once(": ").expect("a list of phases");
    let (_, total) = head.split_once("version 2 ").expect("a total");
    let total: u64 = total.split(' ').next().unwrap().parse().unwrap();
    let mut sum = 0;
    let mut names = Vec::new();
    for phase in list.split(", ") {
        let [name, time, "ms"] = phase.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{phase}");
        };
        sum += time.parse::<u64>().unwrap();
        names.push(name);
    }
    // Each phase is rounded down.
    assert!(
        sum <= total && total - sum <= names.len() as u64,
        "{message}"
    );
    names
}

#[tokio::test]
async fn a_load_and_a_restart_without_the_weights_are_logged_with_their_phases() {
    let engine = Engine::spawn().await;
    let agent = AgentProcess::start(&engine).await;
    agent.publish(2);
    let published = agent.wait_line("E7238", " after it was published: ").await;
    assert!(
        published.starts_with("backend server s0 has loaded version 2 "),
        "{published}"
    );
    let all = [
        "news", "manifest", "chunks", "turn", "staging", "drain", "order", "load",
    ];
    assert_eq!(phases(&published), all, "{published}");
    engine.restart();
    let interrupted = agent.wait_line("E7240", "").await;
    assert_eq!(
        interrupted,
        "backend server s0 has restarted without version 2; it holds version 0"
    );
    let found = agent.wait_line("E7239", "").await;
    assert_eq!(
        found,
        "found 2 of 2 chunks of version 2 staged at backend server s0"
    );
    let restarted = agent
        .wait_line("E7238", " after the engine restarted: ")
        .await;
    assert_eq!(
        phases(&restarted),
        ["turn", "staging", "order", "load"],
        "{restarted}"
    );
    let metrics = agent.metrics().await;
    for (phase, count) in [("news", 1), ("drain", 1), ("staging", 2), ("load", 2)] {
        let line = format!("snipewinch_rollout_phase_seconds_count{{phase=\"{phase}\"}} {count}\n");
        assert!(metrics.contains(&line), "{line}{metrics}");
    }
}

/// Guards against an agent that asks the origin for a version again and again that it no
/// longer has, as the newer one is read from the store only with the next interval.
#[tokio::test]
async fn an_agent_whose_version_the_origin_refuses_reads_newer_ones_at_once() {
    let engine = Engine::spawn().await;
    let agent = AgentProcess::start(&engine).await;
    engine.outdate(2);
    agent.publish(2);
    engine.wait_refusal().await;
    agent.publish(3);
    let refused = Instant::now();
    agent.wait_line("E7238", "has loaded version 3 ").await;
    let took = refused.elapsed();
    assert!(took < VERSION_BOUND / 2, "it took {took:?}");
}
