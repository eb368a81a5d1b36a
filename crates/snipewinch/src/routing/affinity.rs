//! Which engines are likely to hold a prompt prefix in their caches.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Key;
use crate::Digest;

/// Prefixes remembered.
const PREFIXES_MAX: usize = 8192;
/// Hosts remembered for one prefix.
const HOLDERS_MAX: usize = 4;
/// After this long without news an engine has likely evicted a prefix.
const HOLD: Duration = Duration::from_secs(600);

/// A host that holds a prefix.
#[derive(Clone, Copy, Debug)]
struct Holder {
    key: Key,
    noted: Duration,
    epoch: u32,
}

/// Hints only: events come late and with gaps, so that a hint may be wrong and
/// costs no more than a cache miss.
#[derive(Clone, Debug, Default)]
pub(super) struct Affinity {
    prefixes: HashMap<u64, Vec<Holder>>,
    /// Prefixes in the order in which they were first noted.
    order: VecDeque<u64>,
    /// Grows when what is known about a host becomes doubtful.
    epochs: HashMap<Key, u32>,
}

impl Affinity {
    pub(super) fn note(&mut self, now: Duration, prefix: Digest, key: Key) {
        let epoch = self.epoch(key);
        let prefix = short(prefix);
        if !self.prefixes.contains_key(&prefix) {
            self.make_room();
            self.order.push_back(prefix);
        }
        let holders = self.prefixes.entry(prefix).or_default();
        holders.retain(|holder| holder.key != key);
        if holders.len() == HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(Holder {
            key,
            noted: now,
            epoch,
        });
    }

    pub(super) fn forget(&mut self, prefix: Digest, key: Key) {
        if let Some(holders) = self.prefixes.get_mut(&short(prefix)) {
            holders.retain(|holder| holder.key != key);
        }
    }

    /// What was noted about a host so far no longer counts.
    pub(super) fn doubt(&mut self, key: Key) {
        *self.epochs.entry(key).or_default() += 1;
    }

    /// Hosts that likely hold a prefix, the latest first.
    pub(super) fn holders(&self, now: Duration, prefix: Digest) -> impl Iterator<Item = Key> {
        let holders = self.prefixes.get(&short(prefix));
        holders
            .into_iter()
            .flatten()
            .rev()
            .filter(move |holder| holder.epoch == self.epoch(holder.key))
            .filter(move |holder| now.saturating_sub(holder.noted) < HOLD)
            .map(|holder| holder.key)
    }

    fn epoch(&self, key: Key) -> u32 {
        self.epochs.get(&key).copied().unwrap_or_default()
    }

    fn make_room(&mut self) {
        while self.order.len() >= PREFIXES_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}

/// A prefix's digest cut short: a clash costs a cache miss.
pub(super) fn short(prefix: Digest) -> u64 {
    let (head, _) = prefix.as_bytes().split_at(size_of::<u64>());
    head.iter()
        .fold(0, |sum, &byte| (sum << 8) | u64::from(byte))
}
