//! Metrics of links.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use snipewinch::wire::Class;

/// The metrics of a hub.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) links: IntGauge,
    pub(crate) refused: IntCounterVec,
    pub(crate) timed_out: IntCounter,
    pub(crate) queue_full: IntCounter,
    sent: [IntCounter; CLASSES.len()],
    received_mixed: IntCounter,
    received_bulk: IntCounter,
}

const CLASSES: [Class; 4] = [Class::Control, Class::Call, Class::Exchange, Class::Chunk];

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Panics
    ///
    /// If they are registered twice in one registry.
    pub(crate) fn register(registry: &Registry) -> Metrics {
        let sent = counter_vec(
            "snipewinch_peer_sent_bytes_total",
            "Bytes of frames sent to peers, by class.",
            "class",
        );
        let received = counter_vec(
            "snipewinch_peer_received_bytes_total",
            "Bytes of messages received from peers; bulk messages carry chunks.",
            "kind",
        );
        let refused = counter_vec(
            "snipewinch_peer_refused_total",
            "Links refused or ended by an error, by kind.",
            "kind",
        );
        let links = IntGauge::new("snipewinch_peer_links", "Links that are up.")
            .expect("a valid metric name");
        let timed_out = IntCounter::new(
            "snipewinch_peer_silent_total",
            "Links replaced because nothing arrived on them.",
        )
        .expect("a valid metric name");
        let queue_full = IntCounter::new(
            "snipewinch_peer_queue_full_total",
            "Frames not sent because the peer reads too slowly.",
        )
        .expect("a valid metric name");
        registry
            .register(Box::new(sent.clone()))
            .expect("a unique metric name");
        registry
            .register(Box::new(received.clone()))
            .expect("a unique metric name");
        registry
            .register(Box::new(refused.clone()))
            .expect("a unique metric name");
        registry
            .register(Box::new(links.clone()))
            .expect("a unique metric name");
        registry
            .register(Box::new(timed_out.clone()))
            .expect("a unique metric name");
        registry
            .register(Box::new(queue_full.clone()))
            .expect("a unique metric name");
        Metrics {
            links,
            refused,
            timed_out,
            queue_full,
            sent: CLASSES.map(|class| sent.with_label_values(&[class.name()])),
            received_mixed: received.with_label_values(&["mixed"]),
            received_bulk: received.with_label_values(&["bulk"]),
        }
    }

    pub(crate) fn count_sent(&self, class: Class, bytes: usize) {
        self.sent[class as usize].inc_by(bytes as u64);
    }

    pub(crate) fn count_received(&self, is_bulk: bool, bytes: usize) {
        match is_bulk {
            true => self.received_bulk.inc_by(bytes as u64),
            false => self.received_mixed.inc_by(bytes as u64),
        }
    }
}

fn counter_vec(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid metric name")
}
