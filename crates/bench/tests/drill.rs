//! Checks the promises under all faults together, with three seeds. The tests
//! run one at a time, because each starts a fleet of its own.

use std::time::Duration;

use bench::drill;
use tokio::sync::Mutex;

const SPAN: Duration = Duration::from_secs(8);
const AGENTS: usize = 5;
const RPS: f64 = 20.0;

static SERIAL: Mutex<()> = Mutex::const_new(());

async fn no_promise_is_broken(seed: u64) {
    let _turn = SERIAL.lock().await;
    println!("seed {seed}");
    let report = drill::drill(drill::plan(AGENTS, seed), SPAN, RPS).await;
    let report = report.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let broken: Vec<_> = report.promises.iter().filter(|p| p.broken > 0).collect();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(report.settled, "seed {seed}: {report:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken_with_seed_11() {
    no_promise_is_broken(11).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken_with_seed_12() {
    no_promise_is_broken(12).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken_with_seed_13() {
    no_promise_is_broken(13).await;
}
