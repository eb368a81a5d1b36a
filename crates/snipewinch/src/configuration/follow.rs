//! Keeps a process on the newest announced version.
//!
//! Each heartbeat carries the sender's version. A process that learns of a
//! newer version requests it from a single peer, which sends the changed parts,
//! or the full document if its change log does not reach back to the version of
//! the requester. Entries also poll a small row of the table that holds the
//! stamp, and read the document from the table only if no peer announces a
//! newer version. A lower or equal version is never adopted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Delta;
use super::Message;
use super::Snapshot;
use super::Stamp;
use crate::document::Document;
use crate::document::part;
use crate::document::part::Parts;

/// Time for a peer to answer a request before another peer is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for peers to announce a version that the table shows, before the
/// document is read from the table.
const PEER_GRACE_PERIOD: Duration = Duration::from_millis(400);
/// The shortest interval between reads of the document from the table.
const FETCH_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// The shortest mean interval between polls of one entry.
pub const POLL_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// The most polls of the table per second on average, over all entries.
pub const FLEET_POLLS_PER_S: f64 = 100.0;
/// The number of change sets kept. A peer that is further behind gets the full
/// document instead of a delta.
const CHANGE_LOG_MAX: usize = 64;

/// Identifies a link to a peer for as long as the link is up.
pub type PeerId = u64;

/// Input of a [`Follower`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link came up.
    Connected(PeerId),
    /// A link went down.
    Disconnected(PeerId),
    /// A heartbeat of a peer announced the version in force there.
    Heartbeat(PeerId, Stamp),
    /// A message from a peer.
    Message(PeerId, Message),
    /// The result of [`Action::Poll`]; `None` if the table did not answer.
    Polled(Option<Stamp>),
    /// The result of [`Action::Fetch`]; `None` if the table did not answer or
    /// holds no document.
    Fetched(Option<RawDocument>),
    /// This process published a version.
    Published(Snapshot),
    /// Time passed: checks time-outs and the poll interval.
    Tick,
}

/// An accepted version before parsing.
#[derive(Clone, Debug, PartialEq)]
pub struct RawDocument {
    /// The version.
    pub version: u64,
    /// The JSON text.
    pub text: String,
}

/// Output of a [`Follower`], for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to a peer.
    Send(PeerId, Message),
    /// Reads the stamp of the version in force from the table.
    Poll,
    /// Reads the document in force from the table.
    Fetch,
    /// Puts this version in force.
    Adopt(Arc<Snapshot>),
    /// Reports a version that this build cannot parse; the version in force
    /// does not change.
    Reject {
        /// The rejected version.
        version: u64,
        /// The parse error.
        reason: String,
    },
    /// Reports a peer with different content under the version in force: the
    /// table was reset to an older state. Both contents stay in force until the
    /// next version replaces them.
    ReportDivergence {
        /// The version with two contents.
        version: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    peer: PeerId,
    sent_at: Duration,
}

/// The parts that differ between a version and its successor here.
#[derive(Clone, Debug)]
struct ChangeSet {
    /// The version before the change.
    from: Stamp,
    changed: Vec<part::Key>,
}

/// Tracks the versions that the table and the peers announce and obtains the
/// newest.
#[derive(Clone, Debug)]
pub struct Follower {
    in_force: Arc<Snapshot>,
    parts: Parts,
    /// The last [`CHANGE_LOG_MAX`] change sets, oldest first.
    change_log: VecDeque<ChangeSet>,
    peers: BTreeMap<PeerId, Stamp>,
    /// Peers that did not answer a request within [`REQUEST_TIMEOUT`].
    unresponsive: BTreeSet<PeerId>,
    pending: Option<PendingRequest>,
    /// Whether requests ask for the full document because a delta failed.
    request_full: bool,
    rejected: u64,
    divergence_reported: bool,
    /// The newest stamp read from the table.
    table_stamp: Stamp,
    /// The time since which the table has a version that is wanted here.
    table_newer_since: Option<Duration>,
    fetched_at: Option<Duration>,
    /// The mean interval between polls; `None` for processes that do not poll.
    interval: Option<Duration>,
    next_poll: Duration,
    rng: ChaCha8Rng,
}

/// The mean interval at which each of `entries` entries polls, so that all
/// together stay within [`FLEET_POLLS_PER_S`].
pub fn poll_interval(entries: usize) -> Duration {
    let spread = Duration::from_secs_f64(entries.max(1) as f64 / FLEET_POLLS_PER_S);
    spread.max(POLL_INTERVAL_MIN)
}

impl Follower {
    /// Creates a follower without a configuration; it reads the table only if
    /// `polls` is set.
    pub fn open(seed: u64, polls: bool) -> Follower {
        let in_force = Snapshot::empty();
        Follower {
            parts: Parts::new(),
            in_force: Arc::new(in_force),
            change_log: VecDeque::new(),
            peers: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            pending: None,
            request_full: false,
            rejected: 0,
            divergence_reported: false,
            table_stamp: Stamp::default(),
            table_newer_since: None,
            fetched_at: None,
            interval: polls.then_some(POLL_INTERVAL_MIN),
            next_poll: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The version in force at this process.
    pub fn in_force(&self) -> &Arc<Snapshot> {
        &self.in_force
    }

    /// The newest version that this build could not parse, 0 if none.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Sets the number of entries that poll the table, which determines the
    /// poll interval. No effect on a follower that does not poll.
    pub fn set_entry_count(&mut self, entries: usize) {
        if self.interval.is_some() {
            self.interval = Some(poll_interval(entries));
        }
    }

    /// Processes an event and returns the resulting actions, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Connected(peer) => {
                self.peers.insert(peer, Stamp::default());
            }
            Event::Disconnected(peer) => self.remove_peer(peer),
            Event::Heartbeat(peer, stamp) => self.record_heartbeat(peer, stamp, &mut actions),
            Event::Message(peer, message) => self.receive(now, peer, message, &mut actions),
            Event::Polled(Some(stamp)) => self.record_table_stamp(now, stamp),
            Event::Polled(None) | Event::Fetched(None) => {}
            Event::Fetched(Some(raw)) => self.apply_document(raw, &mut actions),
            Event::Published(snapshot) => self.adopt(snapshot, &mut actions),
            Event::Tick => self.poll_if_due(now, &mut actions),
        }
        self.request_missing(now, &mut actions);
        actions
    }

    fn remove_peer(&mut self, peer: PeerId) {
        self.peers.remove(&peer);
        self.unresponsive.remove(&peer);
        if self.pending.is_some_and(|pending| pending.peer == peer) {
            self.pending = None;
        }
    }

    fn record_heartbeat(&mut self, peer: PeerId, stamp: Stamp, actions: &mut Vec<Action>) {
        let ours = self.in_force.stamp();
        if stamp.version == ours.version
            && stamp.digest_prefix != ours.digest_prefix
            && !self.divergence_reported
        {
            self.divergence_reported = true;
            actions.push(Action::ReportDivergence {
                version: ours.version,
            });
        }
        if let Some(known) = self.peers.get_mut(&peer) {
            *known = (*known).max(stamp);
        }
    }

    fn record_table_stamp(&mut self, now: Duration, stamp: Stamp) {
        self.table_stamp = self.table_stamp.max(stamp);
        if self.is_wanted(&self.table_stamp) && self.table_newer_since.is_none() {
            self.table_newer_since = Some(now);
        }
    }

    fn poll_if_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(interval) = self.interval else {
            return;
        };
        if now < self.next_poll {
            return;
        }
        // Jitter keeps the polls of different entries from synchronizing.
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_poll = now + interval.mul_f64(jitter);
        actions.push(Action::Poll);
    }

    fn is_wanted(&self, stamp: &Stamp) -> bool {
        stamp.version > self.in_force.version.max(self.rejected)
    }

    /// Requests a newer version from a peer, or from the table if no peer
    /// announces one within [`PEER_GRACE_PERIOD`].
    fn request_missing(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending
            && now >= pending.sent_at + REQUEST_TIMEOUT
        {
            self.unresponsive.insert(pending.peer);
            self.pending = None;
        }
        if self.pending.is_some() {
            return;
        }
        if let Some(peer) = self.choose_peer() {
            let have = match self.request_full {
                true => Stamp::default(),
                false => self.in_force.stamp(),
            };
            self.pending = Some(PendingRequest { peer, sent_at: now });
            actions.push(Action::Send(peer, Message::Request { have }));
            return;
        }
        let grace_elapsed = self
            .table_newer_since
            .is_some_and(|since| now >= since + PEER_GRACE_PERIOD);
        let interval_elapsed = self
            .fetched_at
            .is_none_or(|at| now >= at + FETCH_INTERVAL_MIN);
        if grace_elapsed && interval_elapsed && self.is_wanted(&self.table_stamp) {
            self.fetched_at = Some(now);
            actions.push(Action::Fetch);
        }
    }

    /// Chooses at random among the peers with the newest version, so that no
    /// single peer serves all requests. Skips unresponsive peers unless there
    /// is no other.
    fn choose_peer(&mut self) -> Option<PeerId> {
        let newer = |stamp: &Stamp| stamp.version > self.in_force.version.max(self.rejected);
        let mut holders: Vec<(PeerId, Stamp)> = self
            .peers
            .iter()
            .filter(|(_, stamp)| newer(stamp))
            .map(|(peer, stamp)| (*peer, *stamp))
            .collect();
        if holders.is_empty() {
            return None;
        }
        if holders
            .iter()
            .all(|(peer, _)| self.unresponsive.contains(peer))
        {
            self.unresponsive.clear();
        }
        holders.retain(|(peer, _)| !self.unresponsive.contains(peer));
        let newest = holders.iter().map(|(_, stamp)| stamp.version).max()?;
        holders.retain(|(_, stamp)| stamp.version == newest);
        let index = self.rng.random_range(0..holders.len());
        Some(holders[index].0)
    }

    fn receive(
        &mut self,
        now: Duration,
        peer: PeerId,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Request { have } => {
                if let Some(reply) = self.reply_to(&have) {
                    actions.push(Action::Send(peer, reply));
                }
            }
            Message::Delta(delta) => {
                self.finish_request(peer);
                self.apply_delta(now, peer, delta, actions);
            }
            Message::Full { version, text } => {
                self.finish_request(peer);
                self.apply_document(RawDocument { version, text }, actions);
            }
        }
    }

    fn finish_request(&mut self, peer: PeerId) {
        if self.pending.is_some_and(|pending| pending.peer == peer) {
            self.pending = None;
        }
    }

    fn reply_to(&self, have: &Stamp) -> Option<Message> {
        if have.version >= self.in_force.version {
            return None;
        }
        if let Some(delta) = self.delta_from(have) {
            return Some(Message::Delta(delta));
        }
        Some(Message::Full {
            version: self.in_force.version,
            text: self.in_force.document.json(),
        })
    }

    fn delta_from(&self, have: &Stamp) -> Option<Delta> {
        let first = self
            .change_log
            .iter()
            .position(|change_set| change_set.from == *have)?;
        let changed: BTreeSet<&part::Key> = self
            .change_log
            .iter()
            .skip(first)
            .flat_map(|change_set| &change_set.changed)
            .collect();
        let mut delta = Delta {
            base: *have,
            version: self.in_force.version,
            digest: self.in_force.digest,
            set: Vec::new(),
            removed: Vec::new(),
        };
        for key in changed {
            match self.parts.get(key) {
                Some(json) => delta.set.push((key.clone(), json.clone())),
                None => delta.removed.push(key.clone()),
            }
        }
        Some(delta)
    }

    fn apply_delta(
        &mut self,
        now: Duration,
        peer: PeerId,
        delta: Delta,
        actions: &mut Vec<Action>,
    ) {
        if delta.base != self.in_force.stamp() || delta.version <= self.in_force.version {
            // Another version was adopted in the meantime; `request_missing`
            // sends a new request if a newer one is still missing.
            return;
        }
        let mut parts = self.parts.clone();
        for key in &delta.removed {
            parts.remove(key);
        }
        parts.extend(delta.set);
        match Document::from_parts(&parts) {
            Ok(document) => {
                let snapshot = Snapshot::new(delta.version, document);
                match snapshot.digest == delta.digest {
                    true => self.adopt(snapshot, actions),
                    false => self.request_full_document(now, peer, actions),
                }
            }
            Err(error) => self.reject(delta.version, error.to_string(), actions),
        }
    }

    /// Requests the full document after a delta that does not result in the
    /// digest it states: the local parts differ from those of the peer.
    fn request_full_document(&mut self, now: Duration, peer: PeerId, actions: &mut Vec<Action>) {
        self.request_full = true;
        self.pending = Some(PendingRequest { peer, sent_at: now });
        let have = Stamp::default();
        actions.push(Action::Send(peer, Message::Request { have }));
    }

    fn apply_document(&mut self, raw: RawDocument, actions: &mut Vec<Action>) {
        if raw.version <= self.in_force.version {
            return;
        }
        match Snapshot::parse(raw.version, &raw.text) {
            Ok(snapshot) => self.adopt(snapshot, actions),
            Err(error) => self.reject(raw.version, error.to_string(), actions),
        }
    }

    fn reject(&mut self, version: u64, reason: String, actions: &mut Vec<Action>) {
        if version > self.rejected {
            self.rejected = version;
            actions.push(Action::Reject { version, reason });
        }
    }

    /// Puts a higher version in force; ignores any other. The version in force
    /// changes nowhere else.
    fn adopt(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        if snapshot.version <= self.in_force.version {
            return;
        }
        let parts = snapshot.document.parts();
        self.record_changes(&parts);
        self.parts = parts;
        self.in_force = Arc::new(snapshot);
        self.pending = None;
        self.request_full = false;
        self.divergence_reported = false;
        self.unresponsive.clear();
        self.table_newer_since = None;
        actions.push(Action::Adopt(self.in_force.clone()));
    }

    fn record_changes(&mut self, parts: &Parts) {
        let from = self.in_force.stamp();
        if from.version == 0 {
            return;
        }
        let keys: BTreeSet<&part::Key> = self.parts.keys().chain(parts.keys()).collect();
        let changed = keys
            .into_iter()
            .filter(|key| self.parts.get(key) != parts.get(key))
            .cloned()
            .collect();
        if self.change_log.len() == CHANGE_LOG_MAX {
            self.change_log.pop_front();
        }
        self.change_log.push_back(ChangeSet { from, changed });
    }
}
