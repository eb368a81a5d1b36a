//! Another agent, as long as a link to it is up.

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

/// Corrupt chunks after which a peer counts as holding nothing.
const CORRUPT_MAX: u32 = 2;
/// For how long; a host whose memory or link was mended serves again.
const BAN: Duration = Duration::from_secs(60);
/// How long a peer that stalled once is left alone; doubles each time.
const CHOKE_MIN: Duration = Duration::from_millis(500);
/// How often that doubles.
const CHOKE_DOUBLINGS: u32 = 5;
/// Chunks asked of one peer of the own region at once.
const ASKED_MAX: usize = 2;

/// Another agent.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) identity: Arc<Identity>,
    /// Links to it, the one in use first.
    pub(super) links: Vec<Link>,
    /// Whether it is in the own region.
    pub(super) local: bool,
    /// What it holds, of the manifests known here.
    pub(super) held: BTreeMap<Id, Bitmap>,
    /// Manifests of which it has spoken.
    pub(super) knows: BTreeSet<Id>,
    /// Chunks that were asked of it and have not come.
    pub(super) asked: BTreeSet<(Id, u32)>,
    /// Bytes of chunks that came from it.
    pub(super) received_bytes: u64,
    /// The pace of what is asked of it, in another region.
    pub(super) controller: Option<Controller>,
    strikes: u32,
    corrupt: u32,
    choked_until: Duration,
    /// Until when it counts as holding nothing.
    banned_until: Option<Duration>,
}

impl Peer {
    pub(super) fn holds(&self, manifest: Id, chunk: u32) -> bool {
        self.held
            .get(&manifest)
            .is_some_and(|held| held.contains(chunk))
    }

    pub(super) fn is_trusted(&self, now: Duration) -> bool {
        self.banned_until.is_none() && self.choked_until <= now
    }

    /// Whether its chunks count as held in the own region.
    pub(super) fn counts(&self) -> bool {
        self.local && self.banned_until.is_none()
    }

    /// Whether one more chunk may be asked of it.
    pub(super) fn is_free(&self, now: Duration) -> bool {
        self.is_trusted(now) && self.asked.len() < ASKED_MAX
    }

    pub(super) fn choke(&mut self, until: Duration) {
        self.choked_until = self.choked_until.max(until);
    }

    /// Notes that nothing came of a request.
    pub(super) fn strike(&mut self, now: Duration) {
        let pause = CHOKE_MIN * 2_u32.pow(self.strikes.min(CHOKE_DOUBLINGS));
        self.strikes += 1;
        self.choke(now + pause);
    }

    /// Notes that a chunk from it was corrupt; answers whether it is banned
    /// from now on.
    fn note_corrupt(&mut self, now: Duration) -> bool {
        self.corrupt += 1;
        self.strike(now);
        let banned = self.corrupt >= CORRUPT_MAX && self.banned_until.is_none();
        if banned {
            self.banned_until = Some(now + BAN);
        }
        banned
    }

    pub(super) fn note_good(&mut self, bytes: u64) {
        self.received_bytes += bytes;
        self.strikes = 0;
    }

    pub(super) fn close(&mut self, manifest: Id) {
        self.held.remove(&manifest);
        self.asked.retain(|(one, _)| *one != manifest);
    }
}

impl Swarm {
    pub(super) fn up(&mut self, link: Link, identity: Arc<Identity>) {
        let known = self.hosts.get(&identity.host).copied();
        let key = match known {
            Some(key) if self.peers[key].identity.incarnation == identity.incarnation => {
                self.peers[key].links.push(link);
                self.links.insert(link, key);
                return;
            }
            Some(key) if self.peers[key].identity.incarnation > identity.incarnation => return,
            // The host started anew and has kept nothing.
            Some(key) => {
                self.remove(key);
                self.admit(link, identity)
            }
            None => self.admit(link, identity),
        };
        let ids: Vec<Id> = self.transfers.keys().copied().collect();
        for id in ids {
            self.tell_all(key, id);
        }
    }

    fn admit(&mut self, link: Link, identity: Arc<Identity>) -> PeerKey {
        let host = identity.host.clone();
        let key = self.peers.insert(Peer {
            local: identity.region == self.config.region,
            identity,
            links: vec![link],
            held: BTreeMap::new(),
            knows: BTreeSet::new(),
            asked: BTreeSet::new(),
            received_bytes: 0,
            controller: None,
            strikes: 0,
            corrupt: 0,
            choked_until: Duration::ZERO,
            banned_until: None,
        });
        self.links.insert(link, key);
        self.hosts.insert(host, key);
        key
    }

    pub(super) fn down(&mut self, link: Link) {
        let Some(key) = self.links.remove(&link) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let was_first = peer.links.first() == Some(&link);
        peer.links.retain(|one| *one != link);
        if peer.links.is_empty() {
            self.remove(key);
            return;
        }
        if was_first {
            // What was asked or told on the lost link may be lost with it.
            self.release(key);
            let ids: Vec<Id> = self.transfers.keys().copied().collect();
            for id in ids {
                self.tell_all(key, id);
            }
        }
    }

    fn remove(&mut self, key: PeerKey) {
        self.release(key);
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
        for (id, held) in peer.held.iter().filter(|_| peer.counts()) {
            if let Some(transfer) = self.transfers.get_mut(id) {
                transfer.lose(held);
            }
        }
    }

    /// Notes that a peer sent a corrupt chunk.
    pub(super) fn blame(&mut self, now: Duration, key: PeerKey) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        let counted = peer.counts();
        if !peer.note_corrupt(now) || !counted {
            return;
        }
        for (id, held) in &peer.held {
            if let Some(transfer) = self.transfers.get_mut(id) {
                transfer.lose(held);
            }
        }
    }

    /// Lets peers back in whose ban is over.
    pub(super) fn pardon(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            if peer.banned_until.is_none_or(|until| now < until) {
                continue;
            }
            peer.banned_until = None;
            peer.corrupt = 0;
            for (id, held) in peer.held.iter().filter(|_| peer.local) {
                if let Some(transfer) = self.transfers.get_mut(id) {
                    held.iter().for_each(|chunk| transfer.see(chunk, now));
                }
            }
        }
    }

    /// Gives up everything that was asked of a peer.
    fn release(&mut self, key: PeerKey) {
        for transfer in self.transfers.values_mut() {
            self.counts.wasted_bytes += transfer.release(key);
        }
        if let Some(peer) = self.peers.get_mut(key) {
            peer.asked.clear();
        }
    }

    /// Tells a peer all that is held of a manifest.
    pub(super) fn tell_all(&mut self, key: PeerKey, id: Id) {
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
