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
use platform::chunk_origin::ChunkOrigin;
use platform::chunk_origin::DigestList;
use slotmap::Key;
use slotmap::KeyData;
use snipewinch::Digest;
use snipewinch::digest::Hash;
use snipewinch::document::Objective;
use snipewinch::host::Role;
use snipewinch::weights::Message;
use snipewinch::weights::fetch_order;
use snipewinch::weights::fetch_order::Download;
use snipewinch::weights::manifest::Id;
use snipewinch::weights::manifest::Manifest;
use snipewinch::weights::plan;
use snipewinch::weights::plan::Candidate;
use snipewinch::weights::plan::Policy;
use snipewinch::weights::swarm;
use snipewinch::weights::swarm::Action;
use snipewinch::weights::swarm::Link;
use snipewinch::weights::swarm::Swarm;
use snipewinch::weights::swarm::Want;
use snipewinch::wire::Class;
use snipewinch::wire::Frame;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::Agent;
use super::Target;
use crate::operator::VERSION_MARGIN;

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
/// How long after the one before it in its region an agent reads a new list
/// from the origin: most have got it from another agent by then, which takes a
/// new link and a few round trips.
const LIST_STEP: Duration = Duration::from_millis(100);
/// How long an agent that was asked for its list is given.
const LIST_PATIENCE: Duration = Duration::from_millis(200);
/// Bytes a second for one megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// How often to look for a new target without news.
const LOOK: Duration = Duration::from_millis(500);
/// Events of links that are taken in at once.
const EVENTS_AT_ONCE: usize = 32;

/// A version whose manifest is known.
#[derive(Clone, Debug)]
pub(super) struct KnownVersion {
    pub(super) target: Target,
    pub(super) manifest: Arc<Manifest>,
    pub(super) digest: Digest,
}

/// What the exchange holds; clones share it.
#[derive(Clone)]
pub(super) struct Chunks {
    state: Rc<RefCell<State>>,
    events: mpsc::UnboundedSender<swarm::Event>,
    /// A list became known.
    learned: Rc<Notify>,
}

struct State {
    /// The version of which a piece did not match its digest: the piece may
    /// have come spoilt, or the list.
    doubted: Option<u64>,
    /// None until the lengths of pieces are known.
    swarm: Option<Swarm>,
    /// The newest target whose list is known, and the one before.
    known: Vec<KnownVersion>,
    /// The versions that the swarm was last told to fetch and keep.
    wanted: Vec<Digest>,
}

impl Chunks {
    /// The newest version of which all pieces are here.
    pub(super) fn newest_complete(&self) -> Option<(KnownVersion, Vec<Bytes>)> {
        let state = self.state.borrow();
        let swarm = state.swarm.as_ref()?;
        let mut known = state.known.iter().rev();
        let known = known.find(|known| swarm.has_all_chunks(&known.digest))?;
        Some((known.clone(), swarm.weights(&known.digest)?))
    }

    /// What is known of the newest target.
    pub(super) fn newest(&self) -> Option<KnownVersion> {
        self.state.borrow().known.last().cloned()
    }

    /// A piece was found on this host.
    pub(super) fn add_local(&self, digest: &Digest, chunk: u32, bytes: Bytes) {
        // The exchange ends only with the process.
        let _ = self.events.send(swarm::Event::FoundLocally {
            manifest: Id::of(digest),
            chunk,
            bytes,
        });
    }

    /// The engine has loaded a version, or has lost it.
    pub(super) fn set_loaded(&self, digest: Digest, holds: bool) {
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
) -> (Chunks, JoinHandle<()>) {
    let (events, answered) = mpsc::unbounded_channel();
    let chunks = Chunks {
        state: Rc::new(RefCell::new(State {
            doubted: None,
            swarm: None,
            known: Vec::new(),
            wanted: Vec::new(),
        })),
        events,
        learned: Rc::default(),
    };
    let exchange = Exchange {
        agent: agent.clone(),
        hub,
        chunks: chunks.clone(),
        dialed: Vec::new(),
        ups: HashMap::new(),
        list_asked: None,
    };
    spawn_local(learn(agent, chunks.clone()));
    let task = spawn_local(exchange.run(inbox, answered));
    (chunks, task)
}

/// Learns the list of each target's pieces.
async fn learn(agent: Rc<Agent>, chunks: Chunks) {
    let mut failures = 0;
    loop {
        let target = agent.target();
        let known = chunks.newest().map(|known| known.target);
        let doubted = chunks.state.borrow_mut().doubted.take();
        match target {
            Some(target) if known.as_ref() != Some(&target) || doubted == Some(target.version) => {
                let pause = match failures {
                    0 => list_turn(&agent, &target),
                    failures => backoff(failures).mul_f64(rand::random()),
                };
                if doubted.is_none() && chunks.learns(&target, pause).await {
                    continue;
                }
                let origin = ChunkOrigin::open(agent.transport.clone(), target.origin.address);
                match read_list(&origin, &target).await {
                    Some(list) => {
                        failures = 0;
                        chunks.read(&agent, target, &list);
                    }
                    None => failures += 1,
                }
            }
            _ => {
                let _ = timeout(LOOK, agent.changed.notified()).await;
                // Which version goes first also depends on the time left.
                chunks.want(&agent);
            }
        }
    }
}

/// The longest pause after so many failures in a row.
fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (LIST_PAUSE_MIN * 2_u32.saturating_pow(doublings)).min(LIST_PAUSE_MAX)
}

/// How long this agent leaves the reading of a new list to others of its
/// region. All of them would fill the origin's narrow link with lists while the
/// first pieces have to pass.
fn list_turn(agent: &Agent, target: &Target) -> Duration {
    let identity = &agent.settings.identity;
    let name = Digest::of(format!("{}/{}", target.model, target.version).as_bytes());
    let view = agent.view.borrow();
    let rank = plan::rank(&view, &agent.host(), &identity.region, &name);
    LIST_STEP * rank as u32
}

async fn read_list(origin: &ChunkOrigin, target: &Target) -> Option<DigestList> {
    match origin.digests(&target.model, target.version).await {
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

impl Chunks {
    /// Waits for the list of a target to come from another agent; false if it
    /// has not after `pause`.
    async fn learns(&self, target: &Target, pause: Duration) -> bool {
        let learned = async {
            while self.newest().is_none_or(|known| known.target != *target) {
                self.learned.notified().await;
            }
        };
        timeout(pause, learned).await.is_ok()
    }

    /// Takes in the list that the origin gave.
    fn read(&self, agent: &Agent, target: Target, list: &DigestList) {
        match manifest(list) {
            Ok(manifest) => self.know(agent, target, manifest),
            Err(why) => log::error!(
                "E7221 the list of version {} is of no use: {why}",
                target.version
            ),
        }
    }

    /// Whether another agent's manifest may be the list that is missing here,
    /// or show that the one which is here came spoilt.
    fn lacks(&self, agent: &Agent, manifest: Id) -> bool {
        let Some(target) = agent.target() else {
            return false;
        };
        let state = self.state.borrow();
        let is_known = state
            .known
            .iter()
            .any(|known| Id::of(&known.digest) == manifest);
        let has_begun = state.known.iter().any(|known| {
            let held = state.stage(known, Duration::ZERO).fraction_held;
            known.target.version == target.version && held > 0.0
        });
        !is_known && !has_begun
    }

    /// Takes in a manifest that another agent sent. One that differs from the
    /// list that is here has the origin asked again.
    fn offer(&self, agent: &Agent, bytes: &[u8]) {
        let Some(target) = agent.target() else {
            return;
        };
        let manifest = match Manifest::parse(bytes, &Digest::of(bytes)) {
            Ok(manifest) => manifest,
            Err(error) => {
                log::warn!("E7229 the list that an agent sent is of no use: {error}");
                return;
            }
        };
        let version = target.version;
        let named = manifest.model == target.model && manifest.version == version.to_string();
        let mut state = self.state.borrow_mut();
        let known = state
            .known
            .iter()
            .find(|known| known.target.version == version);
        match known.map(|known| known.digest == manifest.digest()) {
            _ if !named => {}
            None => {
                drop(state);
                self.know(agent, target, manifest);
            }
            Some(true) => {}
            Some(false) => {
                log::warn!("E7229 another agent has another list of version {version}");
                state.doubted = Some(version);
            }
        }
    }

    fn know(&self, agent: &Agent, target: Target, manifest: Manifest) {
        let manifest = Arc::new(manifest);
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
        state.known.push(KnownVersion {
            target,
            manifest,
            digest,
        });
        let excess = state.known.len().saturating_sub(MEMORY_VERSIONS as usize);
        state.known.drain(..excess);
        drop(state);
        self.want(agent);
        self.learned.notify_waiters();
        agent.changed.notify_waiters();
    }

    /// Says which versions to fetch and keep, if that has changed.
    fn want(&self, agent: &Agent) {
        let mut state = self.state.borrow_mut();
        let wanted = state.wanted(agent);
        if wanted == state.wanted {
            return;
        }
        state.wanted.clone_from(&wanted);
        let wants = wanted.iter().map(|manifest| Want {
            manifest: *manifest,
            services: vec![agent.service.clone()],
        });
        let wants = wants.collect();
        let objective = Objective::Time;
        // The exchange ends only with the process.
        let _ = self.events.send(swarm::Event::Wants { wants, objective });
        // At once, or pieces that are found staged would be passed over.
        for digest in wanted {
            let bytes = state.manifest_bytes(&digest);
            let _ = self.events.send(swarm::Event::Manifest { digest, bytes });
        }
    }
}

impl State {
    /// The versions to fetch and keep, the newest first, or an older one that is
    /// to be finished before.
    fn wanted(&self, agent: &Agent) -> Vec<Digest> {
        let Some((newest, before)) = self.known.split_last() else {
            return Vec::new();
        };
        let now = agent.clock.now();
        let bound = agent
            .bounds
            .get()
            .version_skew
            .saturating_sub(VERSION_MARGIN);
        let rate = newest.target.origin.link_mbit * BYTES_PER_MBIT;
        let stage = self.stage(newest, bound);
        let finishes = |known: &&KnownVersion| {
            fetch_order::finish_older_first(now, self.stage(known, bound), stage, rate)
        };
        let unfinished = before.iter().find(finishes);
        match unfinished {
            Some(unfinished) => vec![unfinished.digest],
            None => {
                let whole = before
                    .iter()
                    .filter(|known| self.stage(known, bound).is_complete());
                let all = std::iter::once(newest).chain(whole);
                all.map(|known| known.digest).collect()
            }
        }
    }

    /// The manifest with this digest, as agents send it to each other.
    fn manifest_bytes(&self, digest: &Digest) -> Option<Bytes> {
        let known = self.known.iter().find(|known| known.digest == *digest)?;
        Some(known.manifest.to_bytes().into())
    }

    /// How far a version has come that must be in use `bound` after its name.
    fn stage(&self, known: &KnownVersion, bound: Duration) -> Download {
        let swarm = self.swarm.as_ref();
        let progress = swarm.and_then(|swarm| swarm.progress(&known.digest));
        let progress = progress.unwrap_or_default();
        Download {
            size_bytes: known.manifest.size as f64,
            fraction_held: progress.held as f64 / progress.chunks.max(1) as f64,
            due: known.target.learned_at + bound,
        }
    }
}

fn manifest(list: &DigestList) -> Result<Manifest, String> {
    let digests: Result<Vec<Digest>, _> = list.digests.iter().map(|hex| hex.parse()).collect();
    let digests = digests.map_err(|error: snipewinch::digest::ParseError| error.to_string())?;
    let version = list.version.to_string();
    Manifest::from_chunks(
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
    Swarm::new(swarm::Config {
        host: agent.host(),
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
    chunks: Chunks,
    dialed: Vec<Candidate>,
    /// Links that came up before there was a swarm.
    ups: HashMap<Link, swarm::Event>,
    /// When another agent was last asked for its list.
    list_asked: Option<Duration>,
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
                () = agent.changed.notified() => {}
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
        let state = self.chunks.state.borrow();
        let wake = state
            .swarm
            .as_ref()
            .map_or(now + Duration::from_secs(1), |swarm| swarm.next_wakeup(now));
        self.agent.clock.at(wake)
    }

    fn take(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, peer, .. } if peer.role == Role::Agent => {
                let link = number(link);
                self.handle(swarm::Event::Up { link, peer });
            }
            Event::Messages { link, messages } => {
                self.overhear(link, &messages);
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

    /// Gets a list that is missing here from an agent that has it.
    fn overhear(&mut self, link: link::Key, messages: &[Message]) {
        for message in messages {
            match message {
                Message::Bitfield { manifest, .. } if self.chunks.lacks(&self.agent, *manifest) => {
                    let now = self.agent.clock.now();
                    let waits = |asked| now.saturating_sub(asked) < LIST_PATIENCE;
                    if !self.list_asked.is_some_and(waits) {
                        self.list_asked = Some(now);
                        let manifest = *manifest;
                        let ask = Frame::Weights(Message::RequestManifest { manifest });
                        // A lost frame is made up for by the origin's list.
                        let _ = self.hub.send(link, ask);
                    }
                }
                Message::Manifest { bytes, .. } => self.chunks.offer(&self.agent, bytes),
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: swarm::Event) {
        let now = self.agent.clock.now();
        let mut state = self.chunks.state.borrow_mut();
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
                let bytes = self.chunks.state.borrow().manifest_bytes(&digest);
                let _ = self
                    .chunks
                    .events
                    .send(swarm::Event::Manifest { digest, bytes });
            }
            Action::Fetch {
                digest,
                manifest,
                chunk,
                ..
            } => self.fetch(digest, manifest, chunk),
            Action::Complete { manifest } => {
                log::info!("E7223 all pieces of manifest {manifest} are here");
                self.chunks.want(&self.agent);
                self.agent.changed.notify_waiters();
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
            Action::TakeOver { stripe, .. } => {
                log::info!("E7226 stepped in for stripe {stripe}");
            }
        }
    }

    /// Has the list of a version read again.
    fn doubt(&self, manifest: Id) {
        let mut state = self.chunks.state.borrow_mut();
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
        let state = self.chunks.state.borrow();
        let known = state.known.iter().find(|known| known.digest == digest);
        let Some(target) = known.map(|known| known.target.clone()) else {
            return;
        };
        let origin = ChunkOrigin::open(self.agent.transport.clone(), target.origin.address);
        let events = self.chunks.events.clone();
        spawn_local(async move {
            let bytes = match origin.chunk(&target.model, target.version, chunk).await {
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
