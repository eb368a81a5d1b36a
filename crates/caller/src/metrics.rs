//! What is counted at the callers' interface.

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Upper bounds of the buckets of durations, in seconds.
const SECONDS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 4.0, 15.0, 60.0,
];

/// What is counted at the callers' interface.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by how they ended: `answered` or the code of the problem.
    pub requests: IntCounterVec,
    /// Time to the head of the answer, in seconds, by service.
    pub head_seconds: HistogramVec,
}

impl Metrics {
    /// Registers the metrics.
    pub fn open(registry: &Registry) -> Metrics {
        let requests = Opts::new("snipewinch_requests_total", "Requests by how they ended");
        let requests = IntCounterVec::new(requests, &["outcome"]).expect("constant options");
        let head = HistogramOpts::new(
            "snipewinch_request_head_seconds",
            "Time from a request to the head of its answer",
        );
        let head = head.buckets(SECONDS.to_vec());
        let head_seconds = HistogramVec::new(head, &["service"]).expect("constant options");
        for collector in [
            Box::new(requests.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(head_seconds.clone()),
        ] {
            // Two interfaces on one registry share the first one's row.
            let _ = registry.register(collector);
        }
        Metrics {
            requests,
            head_seconds,
        }
    }
}
