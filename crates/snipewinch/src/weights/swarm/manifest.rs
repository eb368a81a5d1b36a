//! How a manifest itself reaches this host.

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

/// The longest manifest that agents send each other; a longer one comes from
/// the object store only.
const SENT_MAX_BYTES: usize = 2 << 20;
/// How long a peer may take to send a manifest.
const MANIFEST_LIMIT: Duration = Duration::from_secs(2);
/// How long hosts that bring no chunks leave the object store alone.
const MANIFEST_PATIENCE: Duration = Duration::from_millis(1500);

impl Swarm {
    pub(super) fn manifest_asked(&mut self, key: PeerKey, id: Id) {
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

    /// Gets a manifest that is not here yet: gateways from the object store,
    /// others from a neighbour, and from the store if that takes too long.
    pub(super) fn seek_manifest(&mut self, now: Duration, id: Id) {
        let jitter = self.rng.random_range(0.5..1.5);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        if transfer.manifest.is_some() || transfer.rejected {
            return;
        }
        let patience = MANIFEST_PATIENCE.mul_f64(jitter);
        let due = transfer.plan.is_gateway() || now >= transfer.started + patience;
        if due && transfer.manifest_read.is_ready(now) {
            transfer.manifest_read.busy = true;
            let digest = transfer.digest;
            self.actions.push(Action::ReadManifest { digest });
        }
        let waiting = transfer
            .manifest_asked
            .is_some_and(|asked| now < asked + MANIFEST_LIMIT);
        if waiting {
            return;
        }
        let knows: Vec<PeerKey> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.knows.contains(&id))
            .map(|(key, _)| key)
            .collect();
        if knows.is_empty() {
            return;
        }
        transfer.manifest_asked = Some(now);
        let chosen = knows[self.rng.random_range(0..knows.len())];
        self.send(chosen, Message::RequestManifest { manifest: id });
    }

    /// The object store answered.
    pub(super) fn read(&mut self, now: Duration, digest: &Digest, bytes: Option<Bytes>) {
        let jitter = self.rng.random_range(0.0..1.0);
        if let Some(bytes) = bytes
            && self.adopt(now, digest, bytes)
        {
            return;
        }
        if let Some(transfer) = self.transfers.get_mut(&Id::of(digest)) {
            transfer.manifest_read.fail(now, jitter);
        }
    }

    /// Takes a manifest's bytes in; answers whether they are the manifest.
    pub(super) fn adopt(&mut self, now: Duration, digest: &Digest, bytes: Bytes) -> bool {
        let id = Id::of(digest);
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return false;
        };
        if transfer.manifest.is_some() || transfer.rejected {
            return true;
        }
        let manifest = match Manifest::parse(&bytes, digest) {
            Ok(manifest) => manifest,
            // Another copy may be right.
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
        transfer.available = vec![0; length];
        transfer.known = now;
        transfer.progressed = Default::default();
        transfer.progressed.fill(now);
        transfer.manifest_bytes = bytes;
        transfer.manifest_read.succeed();
        transfer.manifest = Some(Arc::new(manifest));
        self.recall(now, id);
        let keys: Vec<PeerKey> = self.peers.keys().collect();
        for key in keys {
            self.tell_all(key, id);
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

    /// Finds the chunks of a manifest that are held already.
    fn recall(&mut self, now: Duration, id: Id) {
        let manifest = self.transfers.get(&id).and_then(|one| one.manifest.clone());
        let Some(manifest) = manifest else { return };
        for digest in &manifest.chunks {
            if self.store.contains(digest) {
                self.hold(now, digest);
            }
        }
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.news.clear();
        }
    }
}
