//! Which chunk to ask of which peer in the own region.

use std::time::Duration;

use rand::RngExt;

use super::PeerKey;
use super::Swarm;
use super::transfer::Source;
use crate::weights::Message;
use crate::weights::manifest::Id;

/// Chunks that are asked of peers of the own region at once.
const IN_FLIGHT: usize = 6;
/// How long a peer may send nothing of a chunk that was asked of it.
const STALL: Duration = Duration::from_millis(1200);
/// How long an origin may send nothing.
const ORIGIN_STALL: Duration = Duration::from_secs(30);
/// The age from which the last chunks are asked of a second peer.
const ENDGAME_AGE: Duration = Duration::from_millis(400);
/// Peers of which one chunk is asked at once.
const ENDGAME_SOURCES: usize = 2;

impl Swarm {
    /// Asks for chunks, the rarest in the region first.
    pub(super) fn pick(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        if transfer.is_whole() || transfer.rejected {
            return;
        }
        let local = transfer.partials.values().flatten();
        let local = local.filter(|one| matches!(one.source, Source::Local(_)));
        let mut room = IN_FLIGHT.saturating_sub(local.count());
        while room > 0 && self.downloads.is_ready(now) {
            let Some((chunk, peer)) = self.choose(now, id) else {
                self.endgame(now, id);
                return;
            };
            self.ask_whole(now, id, chunk, peer);
            room -= 1;
        }
    }

    /// The rarest chunk that a free peer holds, and the peer that has given
    /// the least.
    fn choose(&mut self, now: Duration, id: Id) -> Option<(u32, PeerKey)> {
        let free = self.free_peers(now, id);
        if free.is_empty() {
            return None;
        }
        let transfer = self.transfers.get(&id)?;
        let mut best: Option<(u16, u32)> = None;
        let mut ties = 0;
        for chunk in transfer.held.missing() {
            let available = transfer.available[chunk as usize];
            let rarest = best.map_or(u16::MAX, |(least, _)| least);
            if available == 0 || available > rarest || transfer.partials.contains_key(&chunk) {
                continue;
            }
            if !free.iter().any(|key| self.peers[*key].holds(id, chunk)) {
                continue;
            }
            // One of the equally rare, by reservoir sampling.
            ties = if available < rarest { 1 } else { ties + 1 };
            if self.rng.random_range(0..ties) == 0 {
                best = Some((available, chunk));
            }
        }
        let (_, chunk) = best?;
        let peer = self.lightest(&free, id, chunk)?;
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

    /// The peer of `free` that holds the chunk and has given the least.
    fn lightest(&mut self, free: &[PeerKey], id: Id, chunk: u32) -> Option<PeerKey> {
        let mut best: Option<(u64, PeerKey)> = None;
        let mut ties = 0;
        for key in free.iter().copied() {
            let peer = &self.peers[key];
            if !peer.holds(id, chunk) {
                continue;
            }
            let given = peer.received_bytes + ((peer.asked.len() as u64) << 20);
            let least = best.map_or(u64::MAX, |(least, _)| least);
            if given > least {
                continue;
            }
            ties = if given < least { 1 } else { ties + 1 };
            if self.rng.random_range(0..ties) == 0 {
                best = Some((given, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn ask_whole(&mut self, now: Duration, id: Id, chunk: u32, key: PeerKey) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let Some(manifest) = transfer.manifest.clone() else {
            return;
        };
        let length = manifest.length(chunk);
        transfer.start(chunk, Source::Local(key), now);
        if let Some(partial) = transfer
            .partials
            .get_mut(&chunk)
            .and_then(|all| all.last_mut())
        {
            partial.asked = length;
        }
        if let Some(peer) = self.peers.get_mut(key) {
            peer.asked.insert((id, chunk));
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

    /// Asks for the last chunks a second time, so that one slow peer does not
    /// hold up the whole.
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
            .filter(|(_, all)| all.iter().all(|one| now >= one.progressed + ENDGAME_AGE))
            .filter(|(chunk, _)| transfer.available[**chunk as usize] > 0)
            .map(|(chunk, all)| {
                (
                    *chunk,
                    all.iter().filter_map(|one| one.source.peer()).collect(),
                )
            })
            .collect();
        for (chunk, asked) in late {
            let mut free = self.free_peers(now, id);
            free.retain(|key| !asked.contains(key));
            if let Some(peer) = self.lightest(&free, id, chunk) {
                self.ask_whole(now, id, chunk, peer);
            }
        }
    }

    /// Gives up requests of which nothing has come for too long.
    pub(super) fn give_up(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        let mut stalled = Vec::new();
        for (chunk, partials) in &transfer.partials {
            for partial in partials {
                let limit = match partial.source {
                    Source::Local(_) => STALL,
                    Source::Remote(_) => self.patience(id).max(STALL),
                    Source::Origin => ORIGIN_STALL,
                };
                if now >= partial.progressed + limit {
                    stalled.push((*chunk, partial.source));
                }
            }
        }
        for (chunk, source) in stalled {
            self.counts.stalled_requests += 1;
            let transfer = self.transfers.get_mut(&id);
            let partial = transfer.and_then(|one| one.take(chunk, source));
            self.counts.wasted_bytes += partial.map_or(0, |one| one.buffer.len() as u64);
            let Some(key) = source.peer() else { continue };
            if let Some(peer) = self.peers.get_mut(key) {
                peer.asked.remove(&(id, chunk));
                peer.strike(now);
            }
            let message = Message::Cancel {
                manifest: id,
                chunk,
            };
            self.send(key, message);
        }
    }
}
