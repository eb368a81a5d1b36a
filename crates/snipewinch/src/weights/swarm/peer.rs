//! Other agents to which a link is up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Link;
use super::PeerKey;
use super::Swarm;
use crate::host::Identity;
use crate::weights::Message;
use crate::weights::bitmap::Bitmap;
use crate::weights::flow::Controller;
use crate::weights::manifest::Id;

/// Corrupt chunks after which a peer is banned: it counts as holding nothing.
const CORRUPT_CHUNKS_MAX: u32 = 2;
/// How long a ban lasts; a host whose memory or link was repaired serves again
/// afterwards.
const BAN_DURATION: Duration = Duration::from_secs(60);
/// How long to send no requests to a peer after its first failure; doubles with
/// each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// How often the backoff doubles.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// Chunks requested from one peer of the local region at once.
const PENDING_MAX: usize = 2;

/// Another agent to which a link is up.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) identity: Arc<Identity>,
    /// The links to it; the first is in use, the others are spares.
    pub(super) links: Vec<Link>,
    /// Whether it is in the local region.
    pub(super) local: bool,
    /// The chunks that it holds, for each manifest known on this host.
    pub(super) held: BTreeMap<Id, Bitmap>,
    /// Manifests for which it has announced its chunks.
    pub(super) announced: BTreeSet<Id>,
    /// Chunks requested from it that have not arrived.
    pub(super) pending: BTreeSet<(Id, u32)>,
    /// Bytes of valid chunks received from it.
    pub(super) received_bytes: u64,
    /// Congestion control of the requests sent to it, in another region.
    pub(super) controller: Option<Controller>,
    failures: u32,
    corrupt_chunks: u32,
    backoff_until: Duration,
    /// The end of its ban; it counts as holding nothing until then.
    banned_until: Option<Duration>,
}

impl Peer {
    pub(super) fn holds(&self, manifest: Id, chunk: u32) -> bool {
        self.held
            .get(&manifest)
            .is_some_and(|held| held.contains(chunk))
    }

    /// Returns whether it is neither banned nor in backoff.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        self.banned_until.is_none() && self.backoff_until <= now
    }

    /// Returns whether its chunks count as held in the local region.
    pub(super) fn is_counted(&self) -> bool {
        self.local && self.banned_until.is_none()
    }

    /// Returns whether one more chunk may be requested from it.
    pub(super) fn is_free(&self, now: Duration) -> bool {
        self.is_usable(now) && self.pending.len() < PENDING_MAX
    }

    pub(super) fn back_off(&mut self, until: Duration) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Records a request that stalled or brought a corrupt chunk.
    pub(super) fn record_failure(&mut self, now: Duration) {
        let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(BACKOFF_DOUBLINGS_MAX));
        self.failures += 1;
        self.back_off(now + backoff);
    }

    /// Records a corrupt chunk from it; returns whether this starts a ban.
    fn record_corrupt(&mut self, now: Duration) -> bool {
        self.corrupt_chunks += 1;
        self.record_failure(now);
        let banned = self.corrupt_chunks >= CORRUPT_CHUNKS_MAX && self.banned_until.is_none();
        if banned {
            self.banned_until = Some(now + BAN_DURATION);
        }
        banned
    }

    /// Records a valid chunk from it.
    pub(super) fn record_success(&mut self, bytes: u64) {
        self.received_bytes += bytes;
        self.failures = 0;
    }

    /// Forgets a manifest that this host no longer wants.
    pub(super) fn remove_manifest(&mut self, manifest: Id) {
        self.held.remove(&manifest);
        self.pending.retain(|(one, _)| *one != manifest);
    }
}

impl Swarm {
    pub(super) fn link_up(&mut self, link: Link, identity: Arc<Identity>) {
        let known = self.hosts.get(&identity.host).copied();
        let key = match known {
            Some(key) if self.peers[key].identity.incarnation == identity.incarnation => {
                self.peers[key].links.push(link);
                self.links.insert(link, key);
                return;
            }
            Some(key) if self.peers[key].identity.incarnation > identity.incarnation => return,
            // The process of the host was restarted and holds nothing.
            Some(key) => {
                self.remove_peer(key);
                self.add_peer(link, identity)
            }
            None => self.add_peer(link, identity),
        };
        let ids: Vec<Id> = self.transfers.keys().copied().collect();
        for id in ids {
            self.send_bitfield(key, id);
        }
    }

    fn add_peer(&mut self, link: Link, identity: Arc<Identity>) -> PeerKey {
        let host = identity.host.clone();
        let key = self.peers.insert(Peer {
            local: identity.region == self.config.region,
            identity,
            links: vec![link],
            held: BTreeMap::new(),
            announced: BTreeSet::new(),
            pending: BTreeSet::new(),
            received_bytes: 0,
            controller: None,
            failures: 0,
            corrupt_chunks: 0,
            backoff_until: Duration::ZERO,
            banned_until: None,
        });
        self.links.insert(link, key);
        self.hosts.insert(host, key);
        key
    }

    pub(super) fn link_down(&mut self, link: Link) {
        let Some(key) = self.links.remove(&link) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let was_first = peer.links.first() == Some(&link);
        peer.links.retain(|one| *one != link);
        if peer.links.is_empty() {
            self.remove_peer(key);
            return;
        }
        if was_first {
            // Requests and announcements sent on the lost link may not have
            // arrived.
            self.drop_requests(key);
            let ids: Vec<Id> = self.transfers.keys().copied().collect();
            for id in ids {
                self.send_bitfield(key, id);
            }
        }
    }

    fn remove_peer(&mut self, key: PeerKey) {
        self.drop_requests(key);
        self.uploads.remove_peer(key);
        let Some(peer) = self.peers.remove(key) else {
            return;
        };
        for link in &peer.links {
            self.links.remove(link);
        }
        if self.hosts.get(&peer.identity.host) == Some(&key) {
            self.hosts.remove(&peer.identity.host);
        }
        for (id, held) in peer.held.iter().filter(|_| peer.is_counted()) {
            if let Some(transfer) = self.transfers.get_mut(id) {
                transfer.remove_replicas(held);
            }
        }
    }

    /// Records a corrupt chunk from a peer, and stops counting what it holds if
    /// that bans it.
    pub(super) fn penalize(&mut self, now: Duration, key: PeerKey) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let was_counted = peer.is_counted();
        if !peer.record_corrupt(now) || !was_counted {
            return;
        }
        for (id, held) in &peer.held {
            if let Some(transfer) = self.transfers.get_mut(id) {
                transfer.remove_replicas(held);
            }
        }
    }

    /// Lifts the bans that have expired.
    pub(super) fn lift_bans(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            if peer.banned_until.is_none_or(|until| now < until) {
                continue;
            }
            peer.banned_until = None;
            peer.corrupt_chunks = 0;
            for (id, held) in peer.held.iter().filter(|_| peer.local) {
                if let Some(transfer) = self.transfers.get_mut(id) {
                    held.iter()
                        .for_each(|chunk| transfer.add_replica(chunk, now));
                }
            }
        }
    }

    /// Drops all requests to a peer.
    fn drop_requests(&mut self, key: PeerKey) {
        for transfer in self.transfers.values_mut() {
            self.counts.wasted_bytes += transfer.drop_requests(key);
        }
        if let Some(peer) = self.peers.get_mut(key) {
            peer.pending.clear();
        }
    }

    /// Sends a peer the set of all chunks of a manifest that are held.
    pub(super) fn send_bitfield(&mut self, key: PeerKey, id: Id) {
        let Some(transfer) = self.transfers.get(&id) else {
            return;
        };
        if transfer.manifest.is_some() {
            let chunks = transfer.held.to_bytes();
            let message = Message::Bitfield {
                manifest: id,
                chunks,
            };
            self.send(key, message);
        }
    }
}
