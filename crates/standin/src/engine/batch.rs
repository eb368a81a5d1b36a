//! Slots of a continuous batch, granted by priority, and the load report.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Cache blocks that one running sequence occupies.
const BLOCKS_PER_SEQUENCE: usize = 16;

/// The running and waiting sequences of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    slots: usize,
    report_lag: Duration,
    queue: Mutex<Queue>,
    last_report: Mutex<(Instant, Load)>,
}

#[derive(Debug, Default)]
struct Queue {
    running: usize,
    arrivals: u64,
    /// Ordered by descending priority, then by arrival.
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
}

/// The response body of `GET /load`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Load {
    running: usize,
    waiting: usize,
    capacity: usize,
    kv_blocks_free: usize,
    prefix_hits: u64,
    as_of_ms: u64,
}

/// A slot in the batch, released when dropped.
#[derive(Debug)]
pub(super) struct Slot(Option<Arc<Batch>>);

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.release();
        }
    }
}

impl Batch {
    pub(super) fn new(slots: usize, report_lag: Duration) -> Arc<Batch> {
        let initial = Load {
            capacity: slots,
            ..Load::default()
        };
        Arc::new(Batch {
            slots,
            report_lag,
            queue: Mutex::default(),
            last_report: Mutex::new((Instant::now(), initial)),
        })
    }

    /// Waits for a slot. Waiting sequences are granted one by descending
    /// priority, within a priority in order of arrival.
    pub(super) async fn acquire_slot(self: &Arc<Batch>, priority: u8) -> Option<Slot> {
        let receiver = {
            let mut queue = self.queue.lock();
            if queue.running < self.slots {
                queue.running += 1;
                return Some(Slot(Some(self.clone())));
            }
            let (sender, receiver) = oneshot::channel();
            queue.arrivals += 1;
            let key = (Reverse(priority), queue.arrivals);
            queue.waiting.insert(key, sender);
            receiver
        };
        receiver.await.ok()
    }

    fn release(self: &Arc<Batch>) {
        loop {
            let next = {
                let mut queue = self.queue.lock();
                match queue.waiting.pop_first() {
                    Some((_, sender)) => sender,
                    None => {
                        queue.running -= 1;
                        return;
                    }
                }
            };
            match next.send(Slot(Some(self.clone()))) {
                Ok(()) => return,
                // The waiting call was dropped. Empties the returned slot, so
                // that its drop does not release again, and tries the next.
                Err(mut slot) => drop(slot.0.take()),
            }
        }
    }

    /// Returns the last recorded load. If it is at least `report_lag` old,
    /// records the current load for the calls that follow.
    pub(super) fn report(&self, cache_blocks: usize, prefix_hits: u64) -> Load {
        let now = Instant::now();
        let mut report = self.last_report.lock();
        let due = now.duration_since(report.0) >= self.report_lag;
        let previous = report.1.clone();
        if due {
            let queue = self.queue.lock();
            let current = Load {
                running: queue.running,
                waiting: queue.waiting.len(),
                capacity: self.slots,
                kv_blocks_free: cache_blocks.saturating_sub(queue.running * BLOCKS_PER_SEQUENCE),
                prefix_hits,
                as_of_ms: SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .map_or(0, |elapsed| elapsed.as_millis() as u64),
            };
            *report = (now, current);
        }
        previous
    }
}
