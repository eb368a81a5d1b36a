//! Metrics of the limiter.

use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use snipewinch::limit::Refusal;
use snipewinch::limit::Status;

pub(super) struct Metrics {
    calls: IntCounterVec,
    services: IntGaugeVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Panics
    ///
    /// When the registry has them already.
    pub(super) fn open(registry: &Registry) -> Metrics {
        let calls = Opts::new(
            "snipewinch_limit_calls_total",
            "Calls that asked to go on, by customer and what they were told.",
        );
        let services = Opts::new(
            "snipewinch_limit_service_calls",
            "Calls of a service: running, waiting, and the most that run at once.",
        );
        let metrics = Metrics {
            calls: IntCounterVec::new(calls, &["customer", "answer"])
                .expect("valid metric name and labels"),
            services: IntGaugeVec::new(services, &["service", "count"])
                .expect("valid metric name and labels"),
        };
        registry
            .register(Box::new(metrics.calls.clone()))
            .expect("metric registered once");
        registry
            .register(Box::new(metrics.services.clone()))
            .expect("metric registered once");
        metrics
    }

    pub(super) fn count(&self, customer: &str, answer: &Result<(), Refusal>) {
        let answer = match answer {
            Ok(()) => "admitted",
            Err(refusal) => refusal.reason.name(),
        };
        self.calls.with_label_values(&[customer, answer]).inc();
    }

    pub(super) fn set(&self, status: &[Status]) {
        for status in status {
            let set = |count, value: i64| {
                let labels = &[status.service.as_str(), count];
                self.services.with_label_values(labels).set(value);
            };
            set("running", i64::from(status.running));
            set("limit", i64::from(status.limit));
            set("waiting", status.waiting as i64);
        }
    }
}
