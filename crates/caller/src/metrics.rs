//! Metrics of the callers' API.

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// The upper bounds of the duration histogram's buckets.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 4.0, 15.0, 60.0,
];

/// The metrics of the callers' API.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by outcome: `answered` or the code of the problem.
    pub requests: IntCounterVec,
    /// Time from the receipt of a request to the head of its answer, in
    /// seconds, by service.
    pub head_seconds: HistogramVec,
}

impl Metrics {
    /// Registers the metrics.
    pub fn open(registry: &Registry) -> Metrics {
        let requests = Opts::new("snipewinch_requests_total", "Requests by how they ended");
        let requests =
            IntCounterVec::new(requests, &["outcome"]).expect("valid metric name and labels");
        let head = HistogramOpts::new(
            "snipewinch_request_head_seconds",
            "Time from a request to the head of its answer",
        );
        let head = head.buckets(DURATION_BUCKETS_S.to_vec());
        let head_seconds =
            HistogramVec::new(head, &["service"]).expect("valid metric name and labels");
        for collector in [
            Box::new(requests.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(head_seconds.clone()),
        ] {
            // Fails if the registry has this metric already: only the first
            // API on a registry exports its values.
            let _ = registry.register(collector);
        }
        Metrics {
            requests,
            head_seconds,
        }
    }
}
