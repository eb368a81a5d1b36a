//! Eviction of chunks from memory.

use std::cmp::Reverse;
use std::collections::HashSet;

use super::PeerKey;
use super::Swarm;
use crate::Digest;
use crate::weights::manifest::Id;

impl Swarm {
    pub(super) fn set_loaded(&mut self, manifest: &Digest, holds: bool) {
        if let Some(transfer) = self.transfers.get_mut(&Id::of(manifest)) {
            transfer.loaded = holds;
            // An engine that lost the version needs the evicted chunks again.
            if !transfer.held.is_full() {
                transfer.complete_at = None;
            }
        }
        self.evict();
    }

    /// Evicts chunks until the store is within its bound: first those of
    /// versions no longer wanted, then those of loaded versions, starting with
    /// the chunks that the fewest peers of the local region lack. Chunks of
    /// versions that the engine has not loaded stay.
    pub(super) fn evict(&mut self) {
        if self.store.bytes() <= self.store.max_bytes() {
            return;
        }
        let mut needed = HashSet::new();
        let mut evictable: Vec<(usize, Digest)> = Vec::new();
        for (id, transfer) in &self.transfers {
            let Some(manifest) = &transfer.manifest else {
                continue;
            };
            if !transfer.loaded {
                needed.extend(manifest.chunks.iter().copied());
                continue;
            }
            let peers = self.peers.values().filter(|peer| peer.local);
            let peers: Vec<_> = peers.collect();
            for chunk in transfer.held.iter() {
                let lacking = peers.iter().filter(|peer| !peer.holds(*id, chunk));
                evictable.push((lacking.count(), manifest.chunks[chunk as usize]));
            }
        }
        evictable.sort_by_key(|(lacking, digest)| (*lacking, Reverse(*digest)));
        let evictable: Vec<Digest> = evictable.into_iter().map(|(_, digest)| digest).collect();
        let evicted = self.store.evict(&needed, &evictable);
        if !evicted.is_empty() {
            self.mark_evicted(&evicted.into_iter().collect());
        }
    }

    fn mark_evicted(&mut self, evicted: &HashSet<Digest>) {
        let mut changed = Vec::new();
        for (id, transfer) in &mut self.transfers {
            let Some(manifest) = transfer.manifest.clone() else {
                continue;
            };
            let before = transfer.held.count();
            for (index, digest) in manifest.chunks.iter().enumerate() {
                if evicted.contains(digest) {
                    transfer.held.remove(index as u32);
                }
            }
            if transfer.held.count() < before {
                changed.push(*id);
            }
        }
        let keys: Vec<PeerKey> = self.peers.keys().collect();
        for id in changed {
            for key in &keys {
                self.send_bitfield(*key, id);
            }
        }
    }
}
