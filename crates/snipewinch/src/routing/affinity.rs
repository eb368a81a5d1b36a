//! Which engines are likely to have a prompt prefix in their caches.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Key;
use crate::Digest;

/// The largest number of prefixes kept.
const PREFIXES_MAX: usize = 8192;
/// The largest number of hosts kept for one prefix.
const HOLDERS_MAX: usize = 4;
/// The time after the last event about a prefix at which the engine has likely
/// evicted it.
const HINT_TTL: Duration = Duration::from_secs(600);

/// A host whose engine has a prefix in its cache.
#[derive(Clone, Copy, Debug)]
struct Holder {
    key: Key,
    inserted_at: Duration,
    epoch: u32,
}

/// Hints about the caches of engines. Cache events arrive late and some are
/// lost, so a hint may be wrong; a wrong hint costs a cache miss.
#[derive(Clone, Debug, Default)]
pub(super) struct Affinity {
    prefixes: HashMap<u64, Vec<Holder>>,
    /// Prefixes in the order in which they were first inserted.
    insertion_order: VecDeque<u64>,
    /// Incremented to invalidate all hints about a host.
    epochs: HashMap<Key, u32>,
}

impl Affinity {
    pub(super) fn insert(&mut self, now: Duration, prefix: Digest, key: Key) {
        let epoch = self.epoch(key);
        let prefix = short_hash(prefix);
        if !self.prefixes.contains_key(&prefix) {
            self.evict_oldest();
            self.insertion_order.push_back(prefix);
        }
        let holders = self.prefixes.entry(prefix).or_default();
        holders.retain(|holder| holder.key != key);
        if holders.len() == HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(Holder {
            key,
            inserted_at: now,
            epoch,
        });
    }

    pub(super) fn remove(&mut self, prefix: Digest, key: Key) {
        if let Some(holders) = self.prefixes.get_mut(&short_hash(prefix)) {
            holders.retain(|holder| holder.key != key);
        }
    }

    /// Invalidates all hints about a host.
    pub(super) fn invalidate(&mut self, key: Key) {
        *self.epochs.entry(key).or_default() += 1;
    }

    /// The hosts that likely hold a prefix, the most recent first.
    pub(super) fn holders(&self, now: Duration, prefix: Digest) -> impl Iterator<Item = Key> {
        let holders = self.prefixes.get(&short_hash(prefix));
        holders
            .into_iter()
            .flatten()
            .rev()
            .filter(move |holder| holder.epoch == self.epoch(holder.key))
            .filter(move |holder| now.saturating_sub(holder.inserted_at) < HINT_TTL)
            .map(|holder| holder.key)
    }

    fn epoch(&self, key: Key) -> u32 {
        self.epochs.get(&key).copied().unwrap_or_default()
    }

    fn evict_oldest(&mut self) {
        while self.insertion_order.len() >= PREFIXES_MAX {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}

/// The first 64 bits of a prefix's digest; a collision costs a cache miss.
pub(super) fn short_hash(prefix: Digest) -> u64 {
    let (head, _) = prefix.as_bytes().split_at(size_of::<u64>());
    head.iter()
        .fold(0, |sum, &byte| (sum << 8) | u64::from(byte))
}
