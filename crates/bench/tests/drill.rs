//! Everything that fails, together, three times over, against the promises.

use std::time::Duration;

use bench::drill;

const SEEDS: [u64; 3] = [11, 12, 13];
const SPAN: Duration = Duration::from_secs(8);
const AGENTS: usize = 5;
const RPS: f64 = 20.0;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken_when_everything_fails() {
    for seed in SEEDS {
        println!("seed {seed}");
        let report = drill::drill(drill::plan(AGENTS, seed), SPAN, RPS).await;
        let report = report.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let broken: Vec<_> = report.promises.iter().filter(|p| p.broken > 0).collect();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        assert!(report.settled, "seed {seed}: {report:#?}");
    }
}
