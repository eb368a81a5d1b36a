//! Slots of a continuous batch, handed out by priority.

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

/// Cache blocks that one running sequence takes.
const BLOCKS_PER_SEQUENCE: usize = 16;

/// The sequences of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    slots: usize,
    lag: Duration,
    state: Mutex<Queue>,
    report: Mutex<(Instant, Load)>,
}

#[derive(Debug, Default)]
struct Queue {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
}

/// What an engine reports of its load.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Load {
    running: usize,
    waiting: usize,
    capacity: usize,
    kv_blocks_free: usize,
    prefix_hits: u64,
    as_of_ms: u64,
}

/// A place in the batch, given back when dropped.
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
    pub(super) fn open(slots: usize, lag: Duration) -> Arc<Batch> {
        let load = Load {
            capacity: slots,
            ..Load::default()
        };
        Arc::new(Batch {
            slots,
            lag,
            state: Mutex::default(),
            report: Mutex::new((Instant::now(), load)),
        })
    }

    /// Waits for a slot; a higher priority goes first.
    pub(super) async fn take(self: &Arc<Batch>, priority: u8) -> Option<Slot> {
        let receiver = {
            let mut queue = self.state.lock();
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
                let mut queue = self.state.lock();
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
                // Its caller has gone: the place goes to the next.
                Err(mut slot) => drop(slot.0.take()),
            }
        }
    }

    /// The load as it was when the report was last due.
    pub(super) fn report(&self, blocks: usize, prefix_hits: u64) -> Load {
        let now = Instant::now();
        let mut report = self.report.lock();
        let due = now.duration_since(report.0) >= self.lag;
        let old = report.1.clone();
        if due {
            let queue = self.state.lock();
            let fresh = Load {
                running: queue.running,
                waiting: queue.waiting.len(),
                capacity: self.slots,
                kv_blocks_free: blocks.saturating_sub(queue.running * BLOCKS_PER_SEQUENCE),
                prefix_hits,
                as_of_ms: SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .map_or(0, |elapsed| elapsed.as_millis() as u64),
            };
            *report = (now, fresh);
        }
        old
    }
}
