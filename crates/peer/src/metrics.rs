//! Counters of links.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use snipewinch::wire::Class;

/// What a hub counts.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) links: IntGauge,
    pub(crate) refused: IntCounterVec,
    pub(crate) silent: IntCounter,
    pub(crate) full: IntCounter,
    sent: [IntCounter; CLASSES.len()],
    received: IntCounter,
    chunk_received: IntCounter,
}

const CLASSES: [Class; 4] = [Class::Control, Class::Call, Class::Exchange, Class::Chunk];

impl Metrics {
    /// Registers the counters. Registering twice in one registry is an error
    /// of the program.
    pub(crate) fn open(registry: &Registry) -> Metrics {
        let sent = counters(
            "snipewinch_peer_sent_bytes_total",
            "Bytes of frames sent to peers, by class.",
            "class",
        );
        let received = counters(
            "snipewinch_peer_received_bytes_total",
            "Bytes of messages received from peers; bulk messages carry chunks.",
            "kind",
        );
        let refused = counters(
            "snipewinch_peer_refused_total",
            "Links refused or ended by an error, by kind.",
            "kind",
        );
        let links = IntGauge::new("snipewinch_peer_links", "Links that are up.").expect("name");
        let silent = IntCounter::new(
            "snipewinch_peer_silent_total",
            "Links replaced because nothing arrived on them.",
        )
        .expect("name");
        let full = IntCounter::new(
            "snipewinch_peer_queue_full_total",
            "Frames not sent because the peer reads too slowly.",
        )
        .expect("name");
        registry.register(Box::new(sent.clone())).expect("unique");
        registry
            .register(Box::new(received.clone()))
            .expect("unique");
        registry
            .register(Box::new(refused.clone()))
            .expect("unique");
        registry.register(Box::new(links.clone())).expect("unique");
        registry.register(Box::new(silent.clone())).expect("unique");
        registry.register(Box::new(full.clone())).expect("unique");
        Metrics {
            links,
            refused,
            silent,
            full,
            sent: CLASSES.map(|class| sent.with_label_values(&[class.name()])),
            received: received.with_label_values(&["mixed"]),
            chunk_received: received.with_label_values(&["bulk"]),
        }
    }

    pub(crate) fn count_sent(&self, class: Class, bytes: usize) {
        self.sent[class as usize].inc_by(bytes as u64);
    }

    pub(crate) fn count_received(&self, bulk: bool, bytes: usize) {
        match bulk {
            true => self.chunk_received.inc_by(bytes as u64),
            false => self.received.inc_by(bytes as u64),
        }
    }
}

fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid metric name")
}
