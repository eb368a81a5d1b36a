//! Handling of the messages between agents, and of received chunks.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use super::ANNOUNCE_INTERVAL;
use super::Action;
use super::Link;
use super::PeerKey;
use super::Swarm;
use super::transfer::Source;
use crate::Digest;
use crate::weights::Message;
use crate::weights::Refusal;
use crate::weights::bitmap::Bitmap;
use crate::weights::manifest::Id;
use crate::weights::upload::Request;

/// The mean time without requests to a peer after it had no free slot.
const BUSY_BACKOFF: Duration = Duration::from_millis(150);

impl Swarm {
    pub(super) fn receive(&mut self, now: Duration, link: Link, message: Message) {
        let Some(key) = self.links.get(&link).copied() else {
            return;
        };
        match message {
            Message::Bitfield { manifest, chunks } => self.on_bitfield(now, key, manifest, &chunks),
            Message::Have { manifest, chunks } => self.on_have(now, key, manifest, &chunks),
            Message::Request {
                manifest,
                chunk,
                offset,
                length,
            } => self.on_request(now, key, manifest, chunk, offset, length),
            Message::Cancel { manifest, chunk } => self.uploads.cancel(key, manifest, chunk),
            Message::Refuse {
                manifest,
                chunk,
                why,
            } => self.on_refusal(now, key, manifest, chunk, why),
            Message::Data {
                manifest,
                chunk,
                offset,
                queued_us,
                bytes,
            } => {
                let queued = Duration::from_micros(u64::from(queued_us));
                self.on_data(now, key, manifest, chunk, offset, queued, &bytes);
            }
            Message::RequestManifest { manifest } => self.on_manifest_request(key, manifest),
            Message::Manifest { manifest, bytes } => {
                let digest = self.transfers.get(&manifest).map(|one| one.digest);
                if let Some(digest) = digest {
                    self.accept_manifest(now, &digest, bytes);
                }
            }
        }
    }

    fn on_bitfield(&mut self, now: Duration, key: PeerKey, id: Id, chunks: &[u8]) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let is_first = peer.announced.insert(id);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        if transfer.manifest.is_none() {
            return;
        }
        let held = Bitmap::from_bytes(chunks, transfer.held.length());
        let before = peer.held.insert(id, held);
        if peer.is_counted() {
            for chunk in peer.held[&id].iter() {
                transfer.add_replica(chunk, now);
            }
            if let Some(before) = before {
                transfer.remove_replicas(&before);
            }
        }
        // The peer may have ignored a bitfield sent earlier, when it did not have
        // the manifest yet.
        if is_first {
            self.send_bitfield(key, id);
        }
    }

    fn on_have(&mut self, now: Duration, key: PeerKey, id: Id, chunks: &[u32]) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let length = transfer.held.length();
        let counted = peer.is_counted();
        let held = peer.held.entry(id);
        let held = held.or_insert_with(|| Bitmap::new(length));
        for chunk in chunks.iter().copied() {
            if held.insert(chunk) && counted {
                transfer.add_replica(chunk, now);
            }
        }
    }

    /// Announces new chunks to the peers that lack them.
    pub(super) fn announce_chunks(&mut self, now: Duration, id: Id) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let urgent = std::mem::take(&mut transfer.new_in_region);
        let due =
            urgent || transfer.is_complete() || now >= transfer.announced_at + ANNOUNCE_INTERVAL;
        if !due || transfer.unannounced.is_empty() {
            return;
        }
        transfer.announced_at = now;
        let unannounced = std::mem::take(&mut transfer.unannounced);
        let mut messages = Vec::new();
        for (key, peer) in &self.peers {
            let held = peer.held.get(&id);
            if !peer.announced.contains(&id) || held.is_some_and(Bitmap::is_full) {
                continue;
            }
            let chunks: Vec<u32> = unannounced
                .iter()
                .copied()
                .filter(|chunk| !peer.holds(id, *chunk))
                .collect();
            if !chunks.is_empty() {
                messages.push((key, chunks));
            }
        }
        for (key, chunks) in messages {
            let message = Message::Have {
                manifest: id,
                chunks,
            };
            self.send(key, message);
        }
    }

    fn on_request(
        &mut self,
        now: Duration,
        key: PeerKey,
        id: Id,
        chunk: u32,
        offset: u32,
        length: u32,
    ) {
        let Some(peer) = self.peers.get(key) else {
            return;
        };
        let held = self
            .transfers
            .get(&id)
            .filter(|transfer| transfer.held.contains(chunk));
        let manifest = held.and_then(|transfer| transfer.manifest.as_ref());
        let valid = manifest.is_some_and(|manifest| {
            let end = offset.checked_add(length);
            end.is_some_and(|end| end <= manifest.length(chunk)) && length > 0
        });
        let request = Request {
            peer: key,
            manifest: id,
            chunk,
            offset,
            end: offset.saturating_add(length),
            received_at: now,
        };
        let why = match valid {
            false => Some(Refusal::Absent),
            true if peer.local => (!self.uploads.push_local(request)).then_some(Refusal::Busy),
            true => (!self.uploads.push_remote(request)).then_some(Refusal::Busy),
        };
        if let Some(why) = why {
            let refuse = Message::Refuse {
                manifest: id,
                chunk,
                why,
            };
            self.send(key, refuse);
        }
    }

    /// Sends the pieces that the upload rate allows.
    pub(super) fn serve(&mut self, now: Duration) {
        while let Some(piece) = self.uploads.next(now) {
            let digest = self
                .transfers
                .get(&piece.manifest)
                .and_then(|one| one.manifest.as_ref())
                .map(|manifest| manifest.chunks[piece.chunk as usize]);
            let Some(bytes) = digest.and_then(|digest| self.store.get(&digest)) else {
                continue;
            };
            let bytes = bytes.slice(piece.offset as usize..piece.end as usize);
            let length = bytes.len() as u64;
            self.counts.sent_bytes += length;
            if self.peers.get(piece.peer).is_some_and(|peer| !peer.local) {
                self.counts.sent_remote_bytes += length;
            }
            let queued = now.saturating_sub(piece.received_at).as_micros();
            let message = Message::Data {
                manifest: piece.manifest,
                chunk: piece.chunk,
                offset: piece.offset,
                queued_us: queued.min(u128::from(u32::MAX)) as u32,
                bytes,
            };
            self.send(piece.peer, message);
        }
    }

    fn on_refusal(&mut self, now: Duration, key: PeerKey, id: Id, chunk: u32, why: Refusal) {
        let jitter = self.rng.random_range(0.5..1.5);
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.pending.remove(&(id, chunk));
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let source = match peer.local {
            true => Source::Local(key),
            false => Source::Remote(key),
        };
        if let Some(partial) = transfer.take_partial(chunk, source) {
            self.counts.wasted_bytes += partial.buffer.len() as u64;
            if peer.local {
                self.downloads.refund(partial.requested);
            }
        }
        self.counts.refused_requests += 1;
        match why {
            Refusal::Busy => peer.back_off(now + BUSY_BACKOFF.mul_f64(jitter)),
            Refusal::Absent => {
                let counted = peer.is_counted();
                let held = peer.held.get_mut(&id);
                if held.is_some_and(|held| held.remove(chunk)) && counted {
                    transfer.remove_replica(chunk);
                }
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn on_data(
        &mut self,
        now: Duration,
        key: PeerKey,
        id: Id,
        chunk: u32,
        offset: u32,
        queued: Duration,
        bytes: &Bytes,
    ) {
        self.counts.received_bytes += bytes.len() as u64;
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let source = match peer.local {
            true => Source::Local(key),
            false => Source::Remote(key),
        };
        let Some(transfer) = self.transfers.get_mut(&id) else {
            self.counts.wasted_bytes += bytes.len() as u64;
            return;
        };
        let partials = transfer.partials.get_mut(&chunk);
        let partial = partials.and_then(|all| all.iter_mut().find(|one| one.source == source));
        let expected = partial.filter(|one| {
            let end = one.buffer.len() + bytes.len();
            one.buffer.len() == offset as usize && end <= one.requested as usize
        });
        let Some(partial) = expected else {
            self.counts.wasted_bytes += bytes.len() as u64;
            return;
        };
        partial.buffer.extend_from_slice(bytes);
        partial.progressed_at = now;
        let sent_at = partial.requests_sent_at.pop_front();
        if let (Some(controller), Some(sent_at)) = (peer.controller.as_mut(), sent_at) {
            controller.record_delay(now, now.saturating_sub(sent_at).saturating_sub(queued));
        }
        let length = transfer.manifest.as_ref().map(|one| one.length(chunk));
        let complete = length == Some(partial.buffer.len() as u32);
        if !peer.local {
            transfer.record_progress(chunk, now);
        }
        if complete {
            peer.pending.remove(&(id, chunk));
            if let Some(partial) = transfer.take_partial(chunk, source) {
                self.accept_chunk(now, id, chunk, source, partial.buffer.freeze());
            }
        }
    }

    /// Handles the answer of the origin.
    pub(super) fn fetched(&mut self, now: Duration, id: Id, chunk: u32, bytes: Option<Bytes>) {
        let jitter = self.rng.random_range(0.0..1.0);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        transfer.take_partial(chunk, Source::Origin);
        match bytes {
            Some(bytes) => {
                self.counts.origin_bytes += bytes.len() as u64;
                self.accept_chunk(now, id, chunk, Source::Origin, bytes);
            }
            None => {
                transfer.origin_backoff.record_failure(now, jitter);
                transfer.yield_stripes(now);
            }
        }
    }

    /// Takes a chunk that the embedder found on this host.
    pub(super) fn found_locally(&mut self, now: Duration, id: Id, chunk: u32, bytes: Bytes) {
        let transfer = self.transfers.get(&id);
        let manifest = transfer.and_then(|one| one.manifest.clone());
        let Some(digest) = manifest
            .as_ref()
            .and_then(|one| one.chunks.get(chunk as usize))
        else {
            return;
        };
        let hash = manifest.as_ref().map(|one| one.hash).unwrap_or_default();
        if hash.digest(&bytes) == *digest {
            self.accept_chunk(now, id, chunk, Source::Origin, bytes);
        }
    }

    /// Stores a received chunk if it matches its digest, and cancels other
    /// requests for it.
    fn accept_chunk(&mut self, now: Duration, id: Id, chunk: u32, source: Source, bytes: Bytes) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let Some(manifest) = transfer.manifest.clone() else {
            return;
        };
        let length = bytes.len() as u64;
        if transfer.held.contains(chunk) {
            self.counts.wasted_bytes += length;
            return;
        }
        let digest = manifest.chunks[chunk as usize];
        if !self.store.insert(manifest.hash, &digest, bytes) {
            self.reject_chunk(now, id, chunk, source, length);
            return;
        }
        match source.peer().and_then(|key| self.peers.get_mut(key)) {
            Some(peer) => peer.record_success(length),
            None => transfer.origin_backoff.reset(),
        }
        transfer.new_in_region |= !matches!(source, Source::Local(_));
        for other in transfer.partials.remove(&chunk).unwrap_or_default() {
            self.counts.wasted_bytes += other.buffer.len() as u64;
            self.cancel(other.source, id, chunk);
        }
        self.mark_held(now, &digest);
        self.evict();
    }

    /// Marks a chunk that is in the store as held in every manifest that names
    /// it.
    pub(super) fn mark_held(&mut self, now: Duration, digest: &Digest) {
        let mut complete = Vec::new();
        for transfer in self.transfers.values_mut() {
            let Some(manifest) = transfer.manifest.clone() else {
                continue;
            };
            let chunks = manifest.chunks.iter().enumerate();
            for (index, _) in chunks.filter(|(_, one)| *one == digest) {
                let chunk = index as u32;
                if transfer.held.insert(chunk) {
                    transfer.unannounced.push(chunk);
                    transfer.record_progress(chunk, now);
                }
            }
            if transfer.held.is_full() && transfer.complete_at.is_none() {
                transfer.complete_at = Some(now);
                complete.push(transfer.digest);
            }
        }
        for manifest in complete {
            self.actions.push(Action::Complete { manifest });
        }
    }

    fn cancel(&mut self, source: Source, id: Id, chunk: u32) {
        let Some(key) = source.peer() else { return };
        if let Some(peer) = self.peers.get_mut(key) {
            peer.pending.remove(&(id, chunk));
        }
        let message = Message::Cancel {
            manifest: id,
            chunk,
        };
        self.send(key, message);
    }

    fn reject_chunk(&mut self, now: Duration, id: Id, chunk: u32, source: Source, length: u64) {
        self.counts.corrupt_chunks += 1;
        self.counts.wasted_bytes += length;
        let jitter = self.rng.random_range(0.0..1.0);
        let peer = source.peer().and_then(|key| self.peers.get(key));
        let host = peer.map(|peer| peer.identity.host.clone());
        if let Some(key) = source.peer() {
            self.penalize(now, key);
        }
        if host.is_none()
            && let Some(transfer) = self.transfers.get_mut(&id)
        {
            transfer.origin_backoff.record_failure(now, jitter);
        }
        self.actions.push(Action::Corrupt {
            manifest: id,
            chunk,
            source: host,
        });
    }
}
