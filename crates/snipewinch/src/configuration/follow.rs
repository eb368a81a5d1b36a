//! Keeps a process at the newest version that it can learn of.
//!
//! Peers say in every heartbeat which version they have. Whoever hears of a
//! newer one asks a single peer for it and gets the parts that changed, or the
//! whole document if the peer no longer knows the difference. Entries also poll
//! a small row of the table, and read the document itself there only if no peer
//! has it. Only a higher version is ever taken.

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

/// How long a peer may take to answer before another is asked.
const ANSWER_LIMIT: Duration = Duration::from_millis(1000);
/// How long peers get to announce a version that the table shows.
const PEERS_FIRST: Duration = Duration::from_millis(400);
/// How long to wait between reads of the document from the table.
const FETCH_PAUSE: Duration = Duration::from_secs(2);
/// The shortest interval of polls.
pub const POLL_MIN: Duration = Duration::from_secs(1);
/// Polls of the table a second, over all entries.
pub const FLEET_POLLS_PER_S: f64 = 100.0;
/// Versions whose differences are kept for peers that are behind.
const CHANGES_MAX: usize = 64;

/// Names a link to a peer while it is up.
pub type PeerId = u64;

/// What happens to a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link is up.
    Connected(PeerId),
    /// A link is gone.
    Disconnected(PeerId),
    /// A peer said which version it has.
    Heartbeat(PeerId, Stamp),
    /// A peer sent a message.
    Message(PeerId, Message),
    /// The table's small row was read; none if it did not answer.
    Polled(Option<Stamp>),
    /// The table's document was read; none if it did not answer.
    Fetched(Option<RawDocument>),
    /// A version was published by this process.
    Published(Snapshot),
    /// Some time has passed.
    Tick,
}

/// An accepted version, not yet understood.
#[derive(Clone, Debug, PartialEq)]
pub struct RawDocument {
    /// Its version.
    pub version: u64,
    /// Its JSON text.
    pub text: String,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send(PeerId, Message),
    /// Read the table's small row.
    Poll,
    /// Read the document in force from the table.
    Fetch,
    /// This version is in force from now on.
    Adopt(Arc<Snapshot>),
    /// A version that this build does not understand; the old one stays.
    Reject {
        /// The version.
        version: u64,
        /// Why.
        reason: String,
    },
    /// A peer has other content under the version in force: the table was set
    /// back. The next version mends it.
    ReportDivergence {
        /// The version.
        version: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    peer: PeerId,
    at: Duration,
}

#[derive(Clone, Debug)]
struct Step {
    from: Stamp,
    changed: Vec<part::Key>,
}

/// A follower.
#[derive(Clone, Debug)]
pub struct Follower {
    in_force: Arc<Snapshot>,
    parts: Parts,
    steps: VecDeque<Step>,
    peers: BTreeMap<PeerId, Stamp>,
    failed: BTreeSet<PeerId>,
    asked: Option<Asked>,
    whole: bool,
    rejected: u64,
    split: bool,
    /// What the table showed, and since when it is newer than what is here.
    table: Stamp,
    table_newer_since: Option<Duration>,
    fetched_at: Option<Duration>,
    /// How often to poll; none for processes that do not.
    interval: Option<Duration>,
    next_poll: Duration,
    rng: ChaCha8Rng,
}

/// How often each of `entries` entries polls, so that all together stay within
/// [`FLEET_POLLS_PER_S`].
pub fn poll_interval(entries: usize) -> Duration {
    let spread = Duration::from_secs_f64(entries.max(1) as f64 / FLEET_POLLS_PER_S);
    spread.max(POLL_MIN)
}

impl Follower {
    /// A follower that holds nothing yet. With `polls` it reads the table.
    pub fn open(seed: u64, polls: bool) -> Follower {
        let in_force = Snapshot::empty();
        Follower {
            parts: Parts::new(),
            in_force: Arc::new(in_force),
            steps: VecDeque::new(),
            peers: BTreeMap::new(),
            failed: BTreeSet::new(),
            asked: None,
            whole: false,
            rejected: 0,
            split: false,
            table: Stamp::default(),
            table_newer_since: None,
            fetched_at: None,
            interval: polls.then_some(POLL_MIN),
            next_poll: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// What is in force here.
    pub fn in_force(&self) -> &Arc<Snapshot> {
        &self.in_force
    }

    /// The newest version that this build did not understand, 0 if none.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Tells a polling follower how many entries share the table.
    pub fn set_entry_count(&mut self, entries: usize) {
        if self.interval.is_some() {
            self.interval = Some(poll_interval(entries));
        }
    }

    /// Takes in what happened and answers what to do.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Connected(peer) => {
                self.peers.insert(peer, Stamp::default());
            }
            Event::Disconnected(peer) => self.forget(peer),
            Event::Heartbeat(peer, stamp) => self.hear(peer, stamp, &mut actions),
            Event::Message(peer, message) => self.receive(now, peer, message, &mut actions),
            Event::Polled(Some(stamp)) => self.see(now, stamp),
            Event::Polled(None) | Event::Fetched(None) => {}
            Event::Fetched(Some(text)) => self.take_text(text, &mut actions),
            Event::Published(in_force) => self.adopt(in_force, &mut actions),
            Event::Tick => self.poll(now, &mut actions),
        }
        self.pursue(now, &mut actions);
        actions
    }

    fn forget(&mut self, peer: PeerId) {
        self.peers.remove(&peer);
        self.failed.remove(&peer);
        if self.asked.is_some_and(|asked| asked.peer == peer) {
            self.asked = None;
        }
    }

    fn hear(&mut self, peer: PeerId, stamp: Stamp, actions: &mut Vec<Action>) {
        let ours = self.in_force.stamp();
        if stamp.version == ours.version && stamp.tag != ours.tag && !self.split {
            self.split = true;
            actions.push(Action::ReportDivergence {
                version: ours.version,
            });
        }
        if let Some(known) = self.peers.get_mut(&peer) {
            *known = (*known).max(stamp);
        }
    }

    fn see(&mut self, now: Duration, stamp: Stamp) {
        self.table = self.table.max(stamp);
        if self.wanted(&self.table) && self.table_newer_since.is_none() {
            self.table_newer_since = Some(now);
        }
    }

    fn poll(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(interval) = self.interval else {
            return;
        };
        if now < self.next_poll {
            return;
        }
        // Spread over the interval, so that entries do not fall into step.
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_poll = now + interval.mul_f64(jitter);
        actions.push(Action::Poll);
    }

    fn wanted(&self, stamp: &Stamp) -> bool {
        stamp.version > self.in_force.version.max(self.rejected)
    }

    /// Asks whoever has what is missing here.
    fn pursue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(asked) = self.asked
            && now >= asked.at + ANSWER_LIMIT
        {
            self.failed.insert(asked.peer);
            self.asked = None;
        }
        if self.asked.is_some() {
            return;
        }
        if let Some(peer) = self.choose() {
            let have = match self.whole {
                true => Stamp::default(),
                false => self.in_force.stamp(),
            };
            self.asked = Some(Asked { peer, at: now });
            actions.push(Action::Send(peer, Message::Want { have }));
            return;
        }
        let patient = self
            .table_newer_since
            .is_some_and(|since| now >= since + PEERS_FIRST);
        let rested = self.fetched_at.is_none_or(|at| now >= at + FETCH_PAUSE);
        if patient && rested && self.wanted(&self.table) {
            self.fetched_at = Some(now);
            actions.push(Action::Fetch);
        }
    }

    /// One of the peers that hold the newest version, at random, so that no
    /// single one serves all.
    fn choose(&mut self) -> Option<PeerId> {
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
        if holders.iter().all(|(peer, _)| self.failed.contains(peer)) {
            self.failed.clear();
        }
        holders.retain(|(peer, _)| !self.failed.contains(peer));
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
            Message::Want { have } => {
                if let Some(answer) = self.answer(&have) {
                    actions.push(Action::Send(peer, answer));
                }
            }
            Message::Delta(delta) => {
                self.answered(peer);
                self.take_delta(now, peer, delta, actions);
            }
            Message::Whole { version, text } => {
                self.answered(peer);
                self.take_text(RawDocument { version, text }, actions);
            }
        }
    }

    fn answered(&mut self, peer: PeerId) {
        if self.asked.is_some_and(|asked| asked.peer == peer) {
            self.asked = None;
        }
    }

    fn answer(&self, have: &Stamp) -> Option<Message> {
        if have.version >= self.in_force.version {
            return None;
        }
        if let Some(delta) = self.delta_from(have) {
            return Some(Message::Delta(delta));
        }
        Some(Message::Whole {
            version: self.in_force.version,
            text: self.in_force.document.json(),
        })
    }

    fn delta_from(&self, have: &Stamp) -> Option<Delta> {
        let first = self.steps.iter().position(|step| step.from == *have)?;
        let changed: BTreeSet<&part::Key> = self
            .steps
            .iter()
            .skip(first)
            .flat_map(|step| &step.changed)
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

    fn take_delta(&mut self, now: Duration, peer: PeerId, delta: Delta, actions: &mut Vec<Action>) {
        if delta.base != self.in_force.stamp() || delta.version <= self.in_force.version {
            // It was overtaken; `pursue` asks again if anything is missing.
            return;
        }
        let mut parts = self.parts.clone();
        for key in &delta.removed {
            parts.remove(key);
        }
        parts.extend(delta.set);
        match Document::join(&parts) {
            Ok(document) => {
                let in_force = Snapshot::new(delta.version, document);
                match in_force.digest == delta.digest {
                    true => self.adopt(in_force, actions),
                    false => self.ask_whole(now, peer, actions),
                }
            }
            Err(error) => self.reject(delta.version, error.to_string(), actions),
        }
    }

    /// The parts here and there differ in a way that the delta did not cover.
    fn ask_whole(&mut self, now: Duration, peer: PeerId, actions: &mut Vec<Action>) {
        self.whole = true;
        self.asked = Some(Asked { peer, at: now });
        let have = Stamp::default();
        actions.push(Action::Send(peer, Message::Want { have }));
    }

    fn take_text(&mut self, text: RawDocument, actions: &mut Vec<Action>) {
        if text.version <= self.in_force.version {
            return;
        }
        match Snapshot::parse(text.version, &text.text) {
            Ok(in_force) => self.adopt(in_force, actions),
            Err(error) => self.reject(text.version, error.to_string(), actions),
        }
    }

    fn reject(&mut self, version: u64, reason: String, actions: &mut Vec<Action>) {
        if version > self.rejected {
            self.rejected = version;
            actions.push(Action::Reject { version, reason });
        }
    }

    /// The only place where the version in force changes, and only upwards.
    fn adopt(&mut self, in_force: Snapshot, actions: &mut Vec<Action>) {
        if in_force.version <= self.in_force.version {
            return;
        }
        let parts = in_force.document.parts();
        self.remember(&parts);
        self.parts = parts;
        self.in_force = Arc::new(in_force);
        self.asked = None;
        self.whole = false;
        self.split = false;
        self.failed.clear();
        self.table_newer_since = None;
        actions.push(Action::Adopt(self.in_force.clone()));
    }

    fn remember(&mut self, parts: &Parts) {
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
        if self.steps.len() == CHANGES_MAX {
            self.steps.pop_front();
        }
        self.steps.push_back(Step { from, changed });
    }
}
