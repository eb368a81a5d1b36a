//! Which chunks to keep once the engine has them.

use std::cmp::Reverse;
use std::collections::HashSet;

use super::PeerKey;
use super::Swarm;
use crate::Digest;
use crate::weights::manifest::Id;

impl Swarm {
    pub(super) fn loaded(&mut self, manifest: &Digest, holds: bool) {
        if let Some(transfer) = self.transfers.get_mut(&Id::of(manifest)) {
            transfer.loaded = holds;
            // What was dropped is fetched again for an engine that lost it.
            if !transfer.held.is_full() {
                transfer.whole_at = None;
            }
        }
        self.shrink();
    }

    /// Brings the chunks within the bound: first go those of versions no
    /// longer wanted, then those of loaded versions that the fewest neighbours
    /// lack.
    pub(super) fn shrink(&mut self) {
        if self.store.bytes() <= self.store.max_bytes() {
            return;
        }
        let mut needed = HashSet::new();
        let mut spare: Vec<(usize, Digest)> = Vec::new();
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
                spare.push((lacking.count(), manifest.chunks[chunk as usize]));
            }
        }
        spare.sort_by_key(|(lacking, digest)| (*lacking, Reverse(*digest)));
        let spare: Vec<Digest> = spare.into_iter().map(|(_, digest)| digest).collect();
        let gone = self.store.evict(&needed, &spare);
        if !gone.is_empty() {
            self.forget_chunks(&gone.into_iter().collect());
        }
    }

    fn forget_chunks(&mut self, gone: &HashSet<Digest>) {
        let mut changed = Vec::new();
        for (id, transfer) in &mut self.transfers {
            let Some(manifest) = transfer.manifest.clone() else {
                continue;
            };
            let before = transfer.held.count();
            for (place, digest) in manifest.chunks.iter().enumerate() {
                if gone.contains(digest) {
                    transfer.held.remove(place as u32);
                }
            }
            if transfer.held.count() < before {
                changed.push(*id);
            }
        }
        let keys: Vec<PeerKey> = self.peers.keys().collect();
        for id in changed {
            for key in &keys {
                self.tell_all(*key, id);
            }
        }
    }
}
