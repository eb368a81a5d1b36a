//! Selection of the chunks to request from peers of the local region.

use std::time::Duration;

use rand::RngExt;

use super::PeerKey;
use super::Swarm;
use super::transfer::Source;
use crate::weights::Message;
use crate::weights::manifest::Id;

/// Chunks of one manifest requested from peers of the local region at once.
const LOCAL_REQUESTS_MAX: usize = 6;
/// How long a peer may send no bytes of a requested chunk.
const STALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long the origin may take to answer.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(30);
/// How long one of the last chunks makes no progress before a second peer is
/// asked for it.
const ENDGAME_AGE: Duration = Duration::from_millis(400);
/// Peers from which one chunk is requested at once.
const ENDGAME_SOURCES: usize = 2;

impl Swarm {
    /// Requests chunks from peers of the local region, the rarest first.
    pub(super) fn request_local(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        if transfer.is_complete() || transfer.rejected {
            return;
        }
        let local = transfer.partials.values().flatten();
        let local = local.filter(|one| matches!(one.source, Source::Local(_)));
        let mut room = LOCAL_REQUESTS_MAX.saturating_sub(local.count());
        while room > 0 && self.downloads.is_ready(now) {
            let Some((chunk, peer)) = self.pick_rarest(now, id) else {
                self.endgame(now, id);
                return;
            };
            self.request_chunk(now, id, chunk, peer);
            room -= 1;
        }
    }

    /// Returns the rarest chunk that a free peer holds, and the least loaded
    /// peer that holds it.
    fn pick_rarest(&mut self, now: Duration, id: Id) -> Option<(u32, PeerKey)> {
        let free = self.free_peers(now, id);
        if free.is_empty() {
            return None;
        }
        let transfer = self.transfers.get(&id)?;
        let mut best: Option<(u16, u32)> = None;
        let mut ties = 0;
        for chunk in transfer.held.missing() {
            let availability = transfer.availability[chunk as usize];
            let rarest = best.map_or(u16::MAX, |(least, _)| least);
            if availability == 0 || availability > rarest || transfer.partials.contains_key(&chunk)
            {
                continue;
            }
            if !free.iter().any(|key| self.peers[*key].holds(id, chunk)) {
                continue;
            }
            // Reservoir sampling among equally rare chunks.
            ties = if availability < rarest { 1 } else { ties + 1 };
            if self.rng.random_range(0..ties) == 0 {
                best = Some((availability, chunk));
            }
        }
        let (_, chunk) = best?;
        let peer = self.least_loaded(&free, id, chunk)?;
        Some((chunk, peer))
    }

    fn free_peers(&self, now: Duration, id: Id) -> Vec<PeerKey> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.local && peer.is_free(now))
            .filter(|(_, peer)| peer.held.get(&id).is_some_and(|held| held.count() > 0))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the peer of `free` that holds the chunk and has sent this host
    /// the fewest bytes; each pending request counts as 1 MiB.
    fn least_loaded(&mut self, free: &[PeerKey], id: Id, chunk: u32) -> Option<PeerKey> {
        let mut best: Option<(u64, PeerKey)> = None;
        let mut ties = 0;
        for key in free.iter().copied() {
            let peer = &self.peers[key];
            if !peer.holds(id, chunk) {
                continue;
            }
            let load = peer.received_bytes + ((peer.pending.len() as u64) << 20);
            let least = best.map_or(u64::MAX, |(least, _)| least);
            if load > least {
                continue;
            }
            ties = if load < least { 1 } else { ties + 1 };
            if self.rng.random_range(0..ties) == 0 {
                best = Some((load, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn request_chunk(&mut self, now: Duration, id: Id, chunk: u32, key: PeerKey) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let Some(manifest) = transfer.manifest.clone() else {
            return;
        };
        let length = manifest.length(chunk);
        transfer.start_partial(chunk, Source::Local(key), now);
        if let Some(partial) = transfer
            .partials
            .get_mut(&chunk)
            .and_then(|all| all.last_mut())
        {
            partial.requested = length;
        }
        if let Some(peer) = self.peers.get_mut(key) {
            peer.pending.insert((id, chunk));
        }
        self.downloads.take(now, length);
        let message = Message::Request {
            manifest: id,
            chunk,
            offset: 0,
            length,
        };
        self.send(key, message);
    }

    /// Requests late chunks from a second peer once all missing ones are
    /// requested, so that one slow peer does not delay the whole transfer.
    fn endgame(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let missing = transfer.held.length() - transfer.held.count();
        if missing > transfer.partials.len() {
            return;
        }
        let late: Vec<(u32, Vec<PeerKey>)> = transfer
            .partials
            .iter()
            .filter(|(_, all)| all.len() < ENDGAME_SOURCES)
            .filter(|(_, all)| all.iter().all(|one| now >= one.progressed_at + ENDGAME_AGE))
            .filter(|(chunk, _)| transfer.availability[**chunk as usize] > 0)
            .map(|(chunk, all)| {
                (
                    *chunk,
                    all.iter().filter_map(|one| one.source.peer()).collect(),
                )
            })
            .collect();
        for (chunk, sources) in late {
            let mut free = self.free_peers(now, id);
            free.retain(|key| !sources.contains(key));
            if let Some(peer) = self.least_loaded(&free, id, chunk) {
                self.request_chunk(now, id, chunk, peer);
            }
        }
    }

    /// Cancels requests that made no progress within their timeout.
    pub(super) fn cancel_stalled(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let mut stalled = Vec::new();
        for (chunk, partials) in &transfer.partials {
            for partial in partials {
                let timeout = match partial.source {
                    Source::Local(_) => STALL_TIMEOUT,
                    Source::Remote(_) => self.takeover_delay(id).max(STALL_TIMEOUT),
                    Source::Origin => ORIGIN_TIMEOUT,
                };
                if now >= partial.progressed_at + timeout {
                    stalled.push((*chunk, partial.source));
                }
            }
        }
        for (chunk, source) in stalled {
            self.counts.stalled_requests += 1;
            let transfer = self.transfers.get_mut(&id);
            let partial = transfer.and_then(|one| one.take_partial(chunk, source));
            self.counts.wasted_bytes += partial.map_or(0, |one| one.buffer.len() as u64);
            let Some(key) = source.peer() else { continue };
            if let Some(peer) = self.peers.get_mut(key) {
                peer.pending.remove(&(id, chunk));
                peer.record_failure(now);
            }
            let message = Message::Cancel {
                manifest: id,
                chunk,
            };
            self.send(key, message);
        }
    }
}
