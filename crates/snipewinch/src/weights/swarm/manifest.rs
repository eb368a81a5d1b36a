//! Fetching of manifests, from peers or from the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use super::Action;
use super::PeerKey;
use super::Swarm;
use crate::Digest;
use crate::weights::Message;
use crate::weights::bitmap::Bitmap;
use crate::weights::manifest;
use crate::weights::manifest::Id;
use crate::weights::manifest::Manifest;

/// The longest manifest that agents send each other; a longer one is read from
/// the object store only.
const SENT_MAX_BYTES: usize = 2 << 20;
/// How long a peer may take to send a manifest.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The mean time for which a host that is no gateway waits for a peer before it
/// reads a manifest from the object store.
const STORE_DELAY: Duration = Duration::from_millis(1500);

impl Swarm {
    pub(super) fn on_manifest_request(&mut self, key: PeerKey, id: Id) {
        let transfer = self.transfers.get(&id);
        let known = transfer
            .filter(|one| one.manifest.is_some() && one.manifest_bytes.len() <= SENT_MAX_BYTES);
        if let Some(transfer) = known {
            let bytes = transfer.manifest_bytes.clone();
            let message = Message::Manifest {
                manifest: id,
                bytes,
            };
            self.send(key, message);
        }
    }

    /// Requests a manifest that is missing: gateways read it from the object
    /// store, other hosts ask a peer and read from the store after a delay.
    pub(super) fn request_manifest(&mut self, now: Duration, id: Id) {
        let jitter = self.rng.random_range(0.5..1.5);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        if transfer.manifest.is_some() || transfer.rejected {
            return;
        }
        let delay = STORE_DELAY.mul_f64(jitter);
        let due = transfer.plan.is_gateway() || now >= transfer.started_at + delay;
        if due && transfer.manifest_backoff.is_ready(now) {
            transfer.manifest_backoff.in_flight = true;
            let digest = transfer.digest;
            self.actions.push(Action::ReadManifest { digest });
        }
        let waiting = transfer
            .manifest_requested_at
            .is_some_and(|sent_at| now < sent_at + MANIFEST_TIMEOUT);
        if waiting {
            return;
        }
        let peers: Vec<PeerKey> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.announced.contains(&id))
            .map(|(key, _)| key)
            .collect();
        if peers.is_empty() {
            return;
        }
        transfer.manifest_requested_at = Some(now);
        let chosen = peers[self.rng.random_range(0..peers.len())];
        self.send(chosen, Message::RequestManifest { manifest: id });
    }

    /// Handles the answer of the object store.
    pub(super) fn manifest_read(&mut self, now: Duration, digest: &Digest, bytes: Option<Bytes>) {
        let jitter = self.rng.random_range(0.0..1.0);
        if let Some(bytes) = bytes
            && self.accept_manifest(now, digest, bytes)
        {
            return;
        }
        if let Some(transfer) = self.transfers.get_mut(&Id::of(digest)) {
            transfer.manifest_backoff.record_failure(now, jitter);
        }
    }

    /// Adopts a manifest from its encoded bytes, unless it is known or rejected
    /// already; returns `false` if the bytes do not match the digest.
    pub(super) fn accept_manifest(&mut self, now: Duration, digest: &Digest, bytes: Bytes) -> bool {
        let id = Id::of(digest);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return false;
        };
        if transfer.manifest.is_some() || transfer.rejected {
            return true;
        }
        let manifest = match Manifest::parse(&bytes, digest) {
            Ok(manifest) => manifest,
            // Another source may have the right bytes.
            Err(manifest::Error::Digest { .. }) => return false,
            Err(error) => {
                self.reject(id, error.to_string());
                return true;
            }
        };
        if manifest.size > self.store.max_bytes() {
            let needed = manifest.size.div_ceil(1 << 20);
            self.reject(id, format!("set --chunk-memory-mib to {needed} or more"));
            return true;
        }
        let length = manifest.chunks.len();
        transfer.held = Bitmap::new(length);
        transfer.availability = vec![0; length];
        transfer.manifest_at = now;
        transfer.progressed_at = Default::default();
        transfer.progressed_at.fill(now);
        transfer.manifest_bytes = bytes;
        transfer.manifest_backoff.reset();
        transfer.manifest = Some(Arc::new(manifest));
        self.mark_stored(now, id);
        let keys: Vec<PeerKey> = self.peers.keys().collect();
        for key in keys {
            self.send_bitfield(key, id);
        }
        true
    }

    fn reject(&mut self, id: Id, reason: String) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.rejected = true;
            let manifest = transfer.digest;
            self.actions.push(Action::Reject { manifest, reason });
        }
    }

    /// Marks the chunks of a manifest that are in the store already as held.
    fn mark_stored(&mut self, now: Duration, id: Id) {
        let manifest = self.transfers.get(&id).and_then(|one| one.manifest.clone());
        let Some(manifest) = manifest else { return };
        for digest in &manifest.chunks {
            if self.store.contains(digest) {
                self.mark_held(now, digest);
            }
        }
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.unannounced.clear();
        }
    }
}
