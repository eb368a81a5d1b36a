//! Metrics of the weights that an agent holds and transfers.

use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;
use snipewinch::weights::swarm::Counts;
use snipewinch::weights::swarm::Progress;
use snipewinch::weights::swarm::Swarm;

/// The registered metrics; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    chunks: IntGauge,
    chunks_held: IntGauge,
    memory_bytes: IntGauge,
    counters: Vec<Counter>,
}

/// An exported counter and the swarm's counter that it mirrors.
#[derive(Clone, Debug)]
struct Counter {
    exported: IntCounter,
    read: fn(&Counts) -> u64,
}

impl Metrics {
    /// Registers the metrics.
    pub(super) fn open(registry: &Registry) -> Metrics {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a valid metric name");
            registry.register(Box::new(gauge.clone())).expect("unique");
            gauge
        };
        let counter = |name: &str, help: &str, read: fn(&Counts) -> u64| {
            let counter = IntCounter::new(name, help).expect("a valid metric name");
            registry
                .register(Box::new(counter.clone()))
                .expect("unique");
            Counter {
                exported: counter,
                read,
            }
        };
        Metrics {
            chunks: gauge(
                "snipewinch_weights_chunks",
                "Chunks of all versions that this host must hold.",
            ),
            chunks_held: gauge(
                "snipewinch_weights_chunks_held",
                "Chunks of those versions that are here and checked.",
            ),
            memory_bytes: gauge(
                "snipewinch_weights_memory_bytes",
                "Memory that chunks take.",
            ),
            counters: vec![
                counter(
                    "snipewinch_weights_sent_bytes_total",
                    "Bytes of chunks sent to other hosts.",
                    |counts| counts.sent_bytes,
                ),
                counter(
                    "snipewinch_weights_sent_remote_bytes_total",
                    "Bytes of chunks sent to other regions.",
                    |counts| counts.sent_remote_bytes,
                ),
                counter(
                    "snipewinch_weights_received_bytes_total",
                    "Bytes of chunks received from other hosts.",
                    |counts| counts.received_bytes,
                ),
                counter(
                    "snipewinch_weights_origin_bytes_total",
                    "Bytes of chunks read from the origin.",
                    |counts| counts.origin_bytes,
                ),
                counter(
                    "snipewinch_weights_corrupt_chunks_total",
                    "Chunks that did not match their digests.",
                    |counts| counts.corrupt_chunks,
                ),
                counter(
                    "snipewinch_weights_stalled_requests_total",
                    "Requests given up because nothing came.",
                    |counts| counts.stalled_requests,
                ),
                counter(
                    "snipewinch_weights_refused_requests_total",
                    "Requests that a peer had no free slot for.",
                    |counts| counts.refused_requests,
                ),
                counter(
                    "snipewinch_weights_wasted_bytes_total",
                    "Bytes of chunks received in vain.",
                    |counts| counts.wasted_bytes,
                ),
            ],
        }
    }

    /// Sets the metrics from the swarm's counters and the transfers' progress.
    pub(super) fn set(&self, swarm: &Swarm, progress: &[Progress]) {
        let chunks: usize = progress.iter().map(|one| one.chunks).sum();
        let held: usize = progress.iter().map(|one| one.held).sum();
        self.chunks.set(chunks as i64);
        self.chunks_held.set(held as i64);
        self.memory_bytes.set(swarm.held_bytes() as i64);
        let counts = swarm.counts();
        for Counter { exported, read } in &self.counters {
            exported.inc_by(read(&counts).saturating_sub(exported.get()));
        }
    }
}
