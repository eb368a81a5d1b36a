//! The exchange of pieces of weights between agents, and with the origin.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peer::hub::Hub;
use peer::link;
use peer::link::Event;
use platform::source::List;
use platform::source::Source;
use slotmap::Key;
use slotmap::KeyData;
use snipewinch::Digest;
use snipewinch::digest::Hash;
use snipewinch::document::Weigh;
use snipewinch::host::Role;
use snipewinch::weights::Message;
use snipewinch::weights::manifest::Id;
use snipewinch::weights::manifest::Manifest;
use snipewinch::weights::plan::Candidate;
use snipewinch::weights::plan::Policy;
use snipewinch::weights::succession;
use snipewinch::weights::succession::Stage;
use snipewinch::weights::swarm;
use snipewinch::weights::swarm::Action;
use snipewinch::weights::swarm::Link;
use snipewinch::weights::swarm::Swarm;
use snipewinch::weights::swarm::Want;
use snipewinch::wire::Class;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::Agent;
use super::Target;

/// The most memory for pieces: two versions and some, so that the one before
/// can still be passed on while the next arrives.
const MEMORY_VERSIONS: u64 = 2;
/// How much faster than the origin's link weights may pass between regions: as
/// fast as they can come, and a little to catch up. Live requests need the rest
/// of those links.
const REGION_PART: f64 = 1.1;
/// The part of a host's link that pieces take: what is left keeps the queue of
/// the link short, in which the words between entries and agents wait.
const LINK_PART: f64 = 0.8;
/// The first pause after the origin gave no list, and the longest.
const LIST_PAUSE_MIN: Duration = Duration::from_millis(100);
const LIST_PAUSE_MAX: Duration = Duration::from_millis(1_500);
/// What each agent adds to the time over which all of them spread their
/// reading of a new list: the origin accepts few connections.
const LIST_SPREAD: Duration = Duration::from_millis(4);
/// What is kept of the time in which a version must be in use, to pass its last
/// pieces on and load it: the engines load in turns.
const LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Bytes a second for one megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// How often to look for a new target without news.
const LOOK: Duration = Duration::from_millis(500);
/// Events of links that are taken in at once.
const EVENTS_AT_ONCE: usize = 32;

/// A version whose manifest is known.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) target: Target,
    pub(super) manifest: Arc<Manifest>,
    pub(super) digest: Digest,
}

/// What the exchange holds; clones share it.
#[derive(Clone)]
pub(super) struct Pieces {
    state: Rc<RefCell<State>>,
    events: mpsc::UnboundedSender<swarm::Event>,
}

struct State {
    /// The version of which a piece did not match its digest: the piece may
    /// have come spoilt, or the list.
    doubted: Option<u64>,
    /// None until the lengths of pieces are known.
    swarm: Option<Swarm>,
    /// The newest target whose list is known, and the one before.
    known: Vec<Known>,
    /// The versions that the swarm was last told to fetch and keep.
    wanted: Vec<Digest>,
}

impl Pieces {
    /// The newest version of which all pieces are here.
    pub(super) fn whole(&self) -> Option<(Known, Vec<Bytes>)> {
        let state = self.state.borrow();
        let swarm = state.swarm.as_ref()?;
        let mut known = state.known.iter().rev();
        let known = known.find(|known| swarm.is_here(&known.digest))?;
        Some((known.clone(), swarm.weights(&known.digest)?))
    }

    /// What is known of the newest target.
    pub(super) fn newest(&self) -> Option<Known> {
        self.state.borrow().known.last().cloned()
    }

    /// A piece was found on this host.
    pub(super) fn keep(&self, digest: &Digest, chunk: u32, bytes: Bytes) {
        // The exchange ends only with the process.
        let _ = self.events.send(swarm::Event::Kept {
            manifest: Id::of(digest),
            chunk,
            bytes,
        });
    }

    /// The engine has loaded a version, or has lost it.
    pub(super) fn loaded(&self, digest: Digest, holds: bool) {
        let _ = self.events.send(swarm::Event::Loaded {
            manifest: digest,
            holds,
        });
    }
}

/// Starts the exchange.
pub(super) fn spawn(
    agent: Rc<Agent>,
    hub: Hub,
    inbox: mpsc::Receiver<Event<Message>>,
) -> (Pieces, JoinHandle<()>) {
    let (events, answered) = mpsc::unbounded_channel();
    let pieces = Pieces {
        state: Rc::new(RefCell::new(State {
            doubted: None,
            swarm: None,
            known: Vec::new(),
            wanted: Vec::new(),
        })),
        events,
    };
    let exchange = Exchange {
        agent: agent.clone(),
        hub,
        pieces: pieces.clone(),
        dialed: Vec::new(),
        ups: HashMap::new(),
    };
    spawn_local(learn(agent, pieces.clone()));
    let task = spawn_local(exchange.run(inbox, answered));
    (pieces, task)
}

/// Learns the list of each target's pieces.
async fn learn(agent: Rc<Agent>, pieces: Pieces) {
    let mut failures = 0;
    loop {
        let target = agent.target();
        let known = pieces.newest().map(|known| known.target);
        let doubted = pieces.state.borrow_mut().doubted.take();
        match target {
            Some(target) if known.as_ref() != Some(&target) || doubted == Some(target.version) => {
                let agents = agent.view.borrow().members.len() as u32;
                let spread = (LIST_SPREAD * agents).max(backoff(failures));
                sleep(spread.mul_f64(rand::random())).await;
                let source = Source::open(agent.caller.clone(), target.origin.address);
                match read_list(&source, &target).await {
                    Some(list) => {
                        failures = 0;
                        pieces.know(&agent, target, &list);
                    }
                    None => failures += 1,
                }
            }
            _ => {
                let _ = timeout(LOOK, agent.news.notified()).await;
                // Which version goes first also depends on the time left.
                pieces.want(&agent);
            }
        }
    }
}

/// The pause after so many failures in a row; none before the first.
fn backoff(failures: u32) -> Duration {
    match failures.checked_sub(1) {
        None => Duration::ZERO,
        Some(doublings) => {
            (LIST_PAUSE_MIN * 2_u32.saturating_pow(doublings.min(8))).min(LIST_PAUSE_MAX)
        }
    }
}

async fn read_list(source: &Source, target: &Target) -> Option<List> {
    match source.list(&target.model, target.version).await {
        Ok(list) if list.model == target.model && list.version == target.version => Some(list),
        Ok(_) => {
            log::warn!("E7220 the list of version {} came spoilt", target.version);
            None
        }
        Err(error) => {
            log::warn!("E7220 no list of version {}: {error}", target.version);
            None
        }
    }
}

impl Pieces {
    fn know(&self, agent: &Agent, target: Target, list: &List) {
        let manifest = match manifest(list) {
            Ok(manifest) => Arc::new(manifest),
            Err(why) => {
                log::error!(
                    "E7221 the list of version {} is of no use: {why}",
                    target.version
                );
                return;
            }
        };
        let digest = manifest.digest();
        let mut state = self.state.borrow_mut();
        if state
            .known
            .last()
            .is_some_and(|known| known.digest == digest)
        {
            return;
        }
        log::info!(
            "E7222 version {} has {} pieces",
            target.version,
            manifest.chunks.len()
        );
        state
            .known
            .retain(|known| known.target.version != target.version);
        let size = manifest.size;
        state
            .swarm
            .get_or_insert_with(|| open_swarm(agent, &target, size));
        state.known.push(Known {
            target,
            manifest,
            digest,
        });
        let excess = state.known.len().saturating_sub(MEMORY_VERSIONS as usize);
        state.known.drain(..excess);
        drop(state);
        self.want(agent);
        agent.news.notify_waiters();
    }

    /// Says which versions to fetch and keep, if that has changed.
    fn want(&self, agent: &Agent) {
        let mut state = self.state.borrow_mut();
        let wanted = state.wanted(agent);
        if wanted == state.wanted {
            return;
        }
        state.wanted.clone_from(&wanted);
        let wants = wanted.into_iter().map(|manifest| Want {
            manifest,
            services: vec![agent.service.clone()],
        });
        let wants = wants.collect();
        let weigh = Weigh::Time;
        let _ = self.events.send(swarm::Event::Wants { wants, weigh });
    }
}

impl State {
    /// The versions to fetch and keep, the newest first, or an older one that is
    /// to be finished before.
    fn wanted(&self, agent: &Agent) -> Vec<Digest> {
        let Some((newest, before)) = self.known.split_last() else {
            return Vec::new();
        };
        let due = newest.target.learned + agent.bounds.get().version.saturating_sub(LOAD_TIME);
        let left = due.saturating_sub(agent.clock.now());
        let rate = newest.target.origin.link_mbit * BYTES_PER_MBIT;
        let stage = self.stage(newest);
        let unfinished = before
            .iter()
            .find(|known| succession::finishes_first(self.stage(known), stage, rate, left));
        match unfinished {
            Some(unfinished) => vec![unfinished.digest],
            None => {
                let whole = before.iter().filter(|known| self.stage(known).is_whole());
                let all = std::iter::once(newest).chain(whole);
                all.map(|known| known.digest).collect()
            }
        }
    }

    /// How far a version has come.
    fn stage(&self, known: &Known) -> Stage {
        let swarm = self.swarm.as_ref();
        let progress = swarm.and_then(|swarm| swarm.progress(&known.digest));
        let progress = progress.unwrap_or_default();
        Stage {
            bytes: known.manifest.size as f64,
            held: progress.held as f64 / progress.chunks.max(1) as f64,
        }
    }
}

fn manifest(list: &List) -> Result<Manifest, String> {
    let digests: Result<Vec<Digest>, _> = list.digests.iter().map(|hex| hex.parse()).collect();
    let digests = digests.map_err(|error: snipewinch::digest::ParseError| error.to_string())?;
    let version = list.version.to_string();
    Manifest::of_chunks(
        &list.model,
        &version,
        list.chunk_bytes,
        Hash::Sha256,
        digests,
    )
    .map_err(|error| error.to_string())
}

fn open_swarm(agent: &Agent, target: &Target, size: u64) -> Swarm {
    let identity = &agent.settings.identity;
    let origin_zone = target.origin.zone.as_deref();
    let backend = agent.settings.backend.unwrap_or(identity.address);
    Swarm::new(swarm::Config {
        host: super::host_name(backend),
        region: identity.region.clone(),
        origin_region: origin_zone.map(|zone| agent.region(zone)),
        policy: Policy::Swarm,
        host_mbit: Some(agent.settings.link_mbit * LINK_PART),
        region_mbit: Some(target.origin.link_mbit * REGION_PART),
        memory_bytes: size * MEMORY_VERSIONS + size / 4,
        seed: rand::random(),
    })
}

struct Exchange {
    agent: Rc<Agent>,
    hub: Hub,
    pieces: Pieces,
    dialed: Vec<Candidate>,
    /// Links that came up before there was a swarm.
    ups: HashMap<Link, swarm::Event>,
}

impl Exchange {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Event<Message>>,
        mut answered: mpsc::UnboundedReceiver<swarm::Event>,
    ) {
        let agent = self.agent.clone();
        let mut events = Vec::new();
        let mut view = Rc::default();
        loop {
            let wake = self.wake();
            tokio::select! {
                count = inbox.recv_many(&mut events, EVENTS_AT_ONCE) => {
                    if count == 0 {
                        return;
                    }
                    for event in events.drain(..) {
                        self.take(event);
                    }
                }
                Some(event) = answered.recv() => {
                    let wants = matches!(event, swarm::Event::Wants { .. });
                    self.handle(event);
                    if wants {
                        view = Rc::default();
                    }
                }
                () = agent.news.notified() => {}
                () = sleep_until(wake) => self.handle(swarm::Event::Tick),
            }
            let seen = agent.view.borrow().clone();
            if !Rc::ptr_eq(&seen, &view) {
                view = seen;
                self.handle(swarm::Event::View(Arc::new((*view).clone())));
            }
        }
    }

    fn wake(&self) -> tokio::time::Instant {
        let now = self.agent.clock.now();
        let state = self.pieces.state.borrow();
        let wake = state
            .swarm
            .as_ref()
            .map_or(now + Duration::from_secs(1), |swarm| swarm.wake(now));
        self.agent.clock.at(wake)
    }

    fn take(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, peer, .. } if peer.role == Role::Agent => {
                let link = number(link);
                self.handle(swarm::Event::Up { link, peer });
            }
            Event::Messages { link, messages } => {
                let link = number(link);
                self.handle(swarm::Event::Messages { link, messages });
            }
            Event::Down { link, .. } => {
                let link = number(link);
                self.handle(swarm::Event::Down { link });
            }
            Event::Summary { .. } | Event::Up { .. } => {}
        }
    }

    fn handle(&mut self, event: swarm::Event) {
        let now = self.agent.clock.now();
        let mut state = self.pieces.state.borrow_mut();
        let Some(swarm) = &mut state.swarm else {
            drop(state);
            return self.hold(event);
        };
        let mut actions = Vec::new();
        for (_, up) in self.ups.drain() {
            actions.extend(swarm.handle(now, up));
        }
        actions.extend(swarm.handle(now, event));
        drop(state);
        for action in actions {
            self.act(action);
        }
    }

    /// Keeps links in mind until there is a swarm to tell.
    fn hold(&mut self, event: swarm::Event) {
        match event {
            swarm::Event::Up { link, .. } => drop(self.ups.insert(link, event)),
            swarm::Event::Down { link } => drop(self.ups.remove(&link)),
            _ => {}
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { link, message } => self.send(link, message),
            Action::Dial(wanted) => self.redial(wanted),
            Action::ReadManifest { digest } => {
                let state = self.pieces.state.borrow();
                let known = state.known.iter().find(|known| known.digest == digest);
                let bytes = known.map(|known| known.manifest.to_bytes().into());
                let _ = self
                    .pieces
                    .events
                    .send(swarm::Event::Manifest { digest, bytes });
            }
            Action::Fetch {
                digest,
                manifest,
                chunk,
                ..
            } => self.fetch(digest, manifest, chunk),
            Action::Whole { manifest } => {
                log::info!("E7223 all pieces of manifest {manifest} are here");
                self.pieces.want(&self.agent);
                self.agent.news.notify_waiters();
            }
            Action::Corrupt {
                manifest,
                chunk,
                source,
            } => {
                let source = source.map_or("the origin".into(), |host| host.0);
                log::warn!("E7224 piece {chunk} from {source} is spoilt");
                self.doubt(manifest);
            }
            Action::Reject { manifest, reason } => {
                log::error!("E7225 manifest {manifest} is given up: {reason}");
            }
            Action::StepIn { stripe, .. } => {
                log::info!("E7226 stepped in for stripe {stripe}");
            }
        }
    }

    /// Has the list of a version read again.
    fn doubt(&self, manifest: Id) {
        let mut state = self.pieces.state.borrow_mut();
        let known = state
            .known
            .iter()
            .find(|known| Id::of(&known.digest) == manifest);
        state.doubted = known.map(|known| known.target.version);
    }

    fn send(&self, link: Link, message: Message) {
        let hub = self.hub.clone();
        let link = link::Key::from(KeyData::from_ffi(link.0));
        let frame = Frame::Weights(message);
        let bulk = frame.class() == Class::Chunk;
        // What a lost frame asked for is asked again after a while; pieces
        // wait for a slow peer.
        match bulk && !hub.has_room(link) {
            true => drop(spawn_local(async move {
                let _ = hub.send_when_ready(link, frame).await;
            })),
            false => drop(hub.send(link, frame)),
        }
    }

    fn fetch(&self, digest: Digest, manifest: Id, chunk: u32) {
        let state = self.pieces.state.borrow();
        let known = state.known.iter().find(|known| known.digest == digest);
        let Some(target) = known.map(|known| known.target.clone()) else {
            return;
        };
        let source = Source::open(self.agent.caller.clone(), target.origin.address);
        let events = self.pieces.events.clone();
        spawn_local(async move {
            let bytes = match source.piece(&target.model, target.version, chunk).await {
                Ok(bytes) => {
                    log::debug!("E7228 piece {chunk} of version {} came", target.version);
                    Some(bytes)
                }
                Err(error) => {
                    log::info!("E7227 piece {chunk} was not read from the origin: {error}");
                    None
                }
            };
            let _ = events.send(swarm::Event::Fetched {
                manifest,
                chunk,
                bytes,
            });
        });
    }

    fn redial(&mut self, wanted: Vec<Candidate>) {
        for old in &self.dialed {
            if !wanted.iter().any(|one| one.host == old.host) {
                self.hub.forget(&old.host);
            }
        }
        for one in &wanted {
            self.hub.dial(one.host.clone(), one.address);
        }
        self.dialed = wanted;
    }
}

fn number(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}
