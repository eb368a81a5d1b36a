//! Fetches the chunks of weights from the origin and exchanges them with other
//! agents.
//!
//! The origin lists the digests of a version's chunks. Each agent builds the
//! same manifest from that list, or gets the manifest from another agent.

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
use snipewinch::cutover;
use snipewinch::digest::Hash;
use snipewinch::document::Objective;
use snipewinch::host::Role;
use snipewinch::weights::Message;
use snipewinch::weights::fetch_order;
use snipewinch::weights::fetch_order::Download;
use snipewinch::weights::fetch_order::Order;
use snipewinch::weights::list;
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
use super::timeline::Phase;

/// How many versions of the weights are kept in memory, apart from a reserve of
/// a quarter of a version: the previous version is still sent to other agents
/// while the next one arrives.
const VERSIONS_IN_MEMORY: u64 = 2;
/// The rate of weights between regions, as a multiple of the rate of the
/// origin's link: as fast as weights can arrive, and a little more to catch up.
/// Live requests need the rest of the links between regions.
const REGION_LINK_FACTOR: f64 = 1.1;
/// The fraction of a host's link that chunks may use. The rest keeps the queue
/// of the link short, in which messages between entries and agents wait.
const HOST_LINK_FRACTION: f64 = 0.8;
/// The same while no request may begin at the engine, as its weights are too old:
/// then nothing waits for the engine that chunks could delay.
const HOST_LINK_FRACTION_OUTDATED: f64 = 0.95;
/// How long to wait for a requested manifest before requesting it again.
const MANIFEST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// How often to check for a new target if no change is notified.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The most link events that are handled in one batch.
const EVENT_BATCH_MAX: usize = 32;

/// A version whose manifest is known.
#[derive(Clone, Debug)]
pub(super) struct KnownVersion {
    pub(super) target: Target,
    pub(super) manifest: Arc<Manifest>,
    pub(super) digest: Digest,
}

/// The chunks and manifests on this host; clones share them.
#[derive(Clone)]
pub(super) struct Chunks {
    state: Rc<RefCell<State>>,
    events: mpsc::UnboundedSender<swarm::Event>,
    /// Notified when a manifest was added.
    manifest_added: Rc<Notify>,
}

struct State {
    /// A version whose list must be read again because a chunk did not match
    /// its digest or another agent has a different manifest: the chunk may have
    /// been corrupt, or the list.
    version_to_recheck: Option<u64>,
    /// `None` until the first manifest is known, which holds the chunk lengths.
    swarm: Option<Swarm>,
    /// The versions whose manifests are known, at most [`VERSIONS_IN_MEMORY`],
    /// the newest last.
    known: Vec<KnownVersion>,
    /// The versions that the swarm should fetch and keep, as last set.
    wanted: Vec<Digest>,
}

impl Chunks {
    /// The newest version of which all chunks are here, and its chunks.
    pub(super) fn newest_complete(&self) -> Option<(KnownVersion, Vec<Bytes>)> {
        let state = self.state.borrow();
        let swarm = state.swarm.as_ref()?;
        let mut known = state.known.iter().rev();
        let known = known.find(|known| swarm.has_all_chunks(&known.digest))?;
        Some((known.clone(), swarm.weights(&known.digest)?))
    }

    /// The newest version whose manifest is known.
    pub(super) fn newest(&self) -> Option<KnownVersion> {
        self.state.borrow().known.last().cloned()
    }

    /// A chunk of a version, if it is here.
    pub(super) fn chunk(&self, digest: &Digest, chunk: u32) -> Option<Bytes> {
        let state = self.state.borrow();
        state.swarm.as_ref()?.chunk(digest, chunk)
    }

    /// Adds a chunk that was found on this host.
    pub(super) fn add_local(&self, digest: &Digest, chunk: u32, bytes: Bytes) {
        // The exchange ends only with the process, so sending cannot fail.
        let _ = self.events.send(swarm::Event::FoundLocally {
            manifest: Id::of(digest),
            chunk,
            bytes,
        });
    }

    /// Sets whether the engine has loaded a version.
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
    let (events, local_events) = mpsc::unbounded_channel();
    let chunks = Chunks {
        state: Rc::new(RefCell::new(State {
            version_to_recheck: None,
            swarm: None,
            known: Vec::new(),
            wanted: Vec::new(),
        })),
        events,
        manifest_added: Rc::default(),
    };
    let exchange = Exchange {
        agent: agent.clone(),
        hub,
        chunks: chunks.clone(),
        dialed: Vec::new(),
        pending_links: HashMap::new(),
        manifest_requested_at: None,
    };
    spawn_local(fetch_manifests(agent, chunks.clone()));
    let task = spawn_local(exchange.run(inbox, local_events));
    (chunks, task)
}

/// Gets the manifest of each target, from another agent or from the origin.
async fn fetch_manifests(agent: Rc<Agent>, chunks: Chunks) {
    let mut failures = 0;
    loop {
        let target = agent.target();
        let known = chunks.newest().map(|known| known.target);
        let version_to_recheck = chunks.state.borrow_mut().version_to_recheck.take();
        match target {
            Some(target)
                if known.as_ref() != Some(&target)
                    || version_to_recheck == Some(target.version) =>
            {
                let delay = list_read_delay(&agent, &target, failures);
                if version_to_recheck.is_none() && chunks.wait_for_manifest(&target, delay).await {
                    continue;
                }
                let origin =
                    ChunkOrigin::open(agent.origin_transport.clone(), target.origin.address);
                match read_list(&agent, &origin, &target).await {
                    Some(list) => {
                        failures = 0;
                        chunks.add_list(&agent, target, &list);
                    }
                    None => failures += 1,
                }
            }
            _ => {
                let _ = timeout(TARGET_POLL_INTERVAL, agent.changed.notified()).await;
                // Which version to fetch first also depends on the time left.
                chunks.update_wants(&agent);
            }
        }
    }
}

/// How long this agent waits for a manifest from others in its region before
/// it reads a list from the origin. If all of them read it, lists would fill the
/// origin's narrow link just when the first chunks are sent over it.
fn list_read_delay(agent: &Agent, target: &Target, failures: u32) -> Duration {
    let identity = &agent.settings.identity;
    let name = Digest::of(format!("{}/{}", target.model, target.version).as_bytes());
    let view = agent.view.borrow();
    let rank = plan::rank(&view, &agent.host(), &identity.region, &name);
    list::read_delay(rank, failures, rand::random())
}

/// Reads a target's digest list from the origin; `None` if that failed
/// or the list is of another target.
async fn read_list(agent: &Agent, origin: &ChunkOrigin, target: &Target) -> Option<DigestList> {
    match origin.digests(&target.model, target.version).await {
        Ok(list) if list.model == target.model && list.version == target.version => Some(list),
        Ok(_) => {
            log::warn!(
                "E7220 digest list of version {} is corrupt: it names another model or version",
                target.version
            );
            None
        }
        Err(error) => {
            log::warn!(
                "E7220 reading the digest list of version {} from the origin failed, retrying: {error}",
                target.version
            );
            if error.is_outdated() {
                agent.doubt_version(target.version);
            }
            None
        }
    }
}

impl Chunks {
    /// Waits for the manifest of a target to arrive from another agent; false
    /// if it has not after `delay`.
    async fn wait_for_manifest(&self, target: &Target, delay: Duration) -> bool {
        let manifest_added = async {
            while self.newest().is_none_or(|known| known.target != *target) {
                self.manifest_added.notified().await;
            }
        };
        timeout(delay, manifest_added).await.is_ok()
    }

    /// Adds the manifest built from a digest list of the origin.
    pub(super) fn add_list(&self, agent: &Agent, target: Target, list: &DigestList) {
        match build_manifest(list) {
            Ok(manifest) => self.add_manifest(agent, target, manifest),
            Err(why) => log::error!(
                "E7221 digest list of version {} from the origin is not valid: {why}",
                target.version
            ),
        }
    }

    /// Whether another agent's manifest may be the one of the target, which is
    /// unknown here, or show that the manifest known here is corrupt: it is
    /// another one, and no chunk of the target has matched it yet.
    fn needs_manifest(&self, agent: &Agent, manifest: Id) -> bool {
        let Some(target) = agent.target() else {
            return false;
        };
        let state = self.state.borrow();
        let is_known = state
            .known
            .iter()
            .any(|known| Id::of(&known.digest) == manifest);
        let has_started = state.known.iter().any(|known| {
            let held = state.held(known);
            known.target.version == target.version && held > 0
        });
        !is_known && !has_started
    }

    /// Handles a manifest from another agent. If it differs from the one known
    /// here, the list is read again from the origin.
    fn handle_manifest(&self, agent: &Agent, bytes: &[u8]) {
        let Some(target) = agent.target() else {
            return;
        };
        let manifest = match Manifest::parse(bytes, &Digest::of(bytes)) {
            Ok(manifest) => manifest,
            Err(error) => {
                log::warn!("E7229 manifest from another agent is not valid: {error}");
                return;
            }
        };
        let version = target.version;
        let is_target = manifest.model == target.model && manifest.version == version.to_string();
        let mut state = self.state.borrow_mut();
        let known = state
            .known
            .iter()
            .find(|known| known.target.version == version);
        match known.map(|known| known.digest == manifest.digest()) {
            _ if !is_target => {}
            None => {
                drop(state);
                self.add_manifest(agent, target, manifest);
            }
            Some(true) => {}
            Some(false) => {
                log::warn!("E7229 another agent has a different manifest of version {version}");
                state.version_to_recheck = Some(version);
            }
        }
    }

    /// Adds the manifest of a target, unless it is the newest already, and
    /// drops the oldest ones beyond [`VERSIONS_IN_MEMORY`].
    fn add_manifest(&self, agent: &Agent, target: Target, manifest: Manifest) {
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
            "E7222 version {} has {} chunks",
            target.version,
            manifest.chunks.len()
        );
        agent.enter_phase(target.version, Phase::Chunks);
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
        let excess = state
            .known
            .len()
            .saturating_sub(VERSIONS_IN_MEMORY as usize);
        state.known.drain(..excess);
        drop(state);
        self.update_wants(agent);
        self.manifest_added.notify_waiters();
        agent.changed.notify_waiters();
    }

    /// Sets which versions the swarm fetches and keeps, if that has changed.
    fn update_wants(&self, agent: &Agent) {
        let mut state = self.state.borrow_mut();
        if let Some(swarm) = &mut state.swarm {
            let fraction = match agent.is_outdated() {
                true => HOST_LINK_FRACTION_OUTDATED,
                false => HOST_LINK_FRACTION,
            };
            swarm.set_host_mbit(agent.settings.link_mbit * fraction);
        }
        let wanted = state.wanted(agent);
        if wanted == state.wanted {
            return;
        }
        state.log_order(&wanted);
        state.wanted.clone_from(&wanted);
        let wants = wanted.iter().map(|manifest| Want {
            manifest: *manifest,
            services: vec![agent.service.clone()],
            waits: true,
        });
        let wants = wants.collect();
        let objective = Objective::Time;
        // The exchange ends only with the process, so sending cannot fail.
        let _ = self.events.send(swarm::Event::Wants { wants, objective });
        // Sent at once: the swarm would ignore staged chunks of a manifest that
        // it does not have.
        for digest in wanted {
            let bytes = state.manifest_bytes(&digest);
            let _ = self.events.send(swarm::Event::Manifest { digest, bytes });
        }
    }
}

impl State {
    /// The versions to fetch and keep, those to complete first in front.
    fn wanted(&self, agent: &Agent) -> Vec<Digest> {
        let Some((newest, older)) = self.known.split_last() else {
            return Vec::new();
        };
        let is_here = |known: &KnownVersion| {
            let swarm = self.swarm.as_ref();
            swarm.is_some_and(|swarm| swarm.has_all_chunks(&known.digest))
        };
        let mut wanted = vec![newest.digest];
        wanted.extend(
            older
                .iter()
                .filter(|one| is_here(one))
                .map(|one| one.digest),
        );
        if is_here(newest) {
            return wanted;
        }
        let now = agent.clock.now();
        let bound = agent
            .bounds
            .get()
            .version_skew
            .saturating_sub(cutover::SEND_MARGIN);
        let host_mbit = agent.settings.link_mbit * HOST_LINK_FRACTION;
        let rate = newest.target.origin.link_mbit.min(host_mbit) * BYTES_PER_MBIT;
        let newest_download = self.download(newest, bound);
        for known in older.iter().filter(|one| !is_here(one)) {
            match fetch_order::order(now, self.download(known, bound), newest_download, rate) {
                Order::OlderFirst => wanted.insert(0, known.digest),
                Order::NewestFirst => wanted.push(known.digest),
                Order::NewestOnly => {}
            }
        }
        wanted
    }

    /// Logs that another version is to be completed first than before.
    fn log_order(&self, wanted: &[Digest]) {
        let version = |digest: Option<&Digest>| {
            let known = self
                .known
                .iter()
                .find(|known| Some(&known.digest) == digest);
            known.map(|known| known.target.version)
        };
        let newest = self.known.last().map(|known| known.target.version);
        let (first, before) = (version(wanted.first()), version(self.wanted.first()));
        match (first, newest) {
            (Some(first), Some(newest)) if Some(first) != before && first < newest => {
                log::info!("E7241 version {first} is completed before version {newest}");
            }
            _ => {}
        }
        let is_here = |known: &KnownVersion| {
            let swarm = self.swarm.as_ref();
            swarm.is_some_and(|swarm| swarm.has_all_chunks(&known.digest))
        };
        if self.known.last().is_some_and(is_here) {
            return;
        }
        let is_dropped = |known: &&KnownVersion| {
            self.wanted.contains(&known.digest) && !wanted.contains(&known.digest)
        };
        for known in self.known.iter().filter(is_dropped) {
            log::info!(
                "E7242 version {} is given up: it would be outdated before the engine serves with it",
                known.target.version
            );
        }
    }

    /// The manifest with this digest, in the form that agents send.
    fn manifest_bytes(&self, digest: &Digest) -> Option<Bytes> {
        let known = self.known.iter().find(|known| known.digest == *digest)?;
        Some(known.manifest.to_bytes().into())
    }

    /// How many chunks of a version are here.
    fn held(&self, known: &KnownVersion) -> usize {
        let progress = self
            .swarm
            .as_ref()
            .and_then(|swarm| swarm.progress(&known.digest));
        progress.map_or(0, |progress| progress.held)
    }

    /// The progress in the fleet, as far as it is known here, of a version that
    /// must be in use `bound` after this process learned of it.
    fn download(&self, known: &KnownVersion, bound: Duration) -> Download {
        let swarm = self.swarm.as_ref();
        let progress = swarm.and_then(|swarm| swarm.progress(&known.digest));
        let progress = progress.unwrap_or_default();
        Download {
            size_bytes: known.manifest.size as f64,
            fraction_held: progress.reachable as f64 / progress.chunks.max(1) as f64,
            due: known.target.learned_at + bound,
        }
    }
}

fn build_manifest(list: &DigestList) -> Result<Manifest, String> {
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
        host_mbit: Some(agent.settings.link_mbit * HOST_LINK_FRACTION),
        region_mbit: Some(target.origin.link_mbit * REGION_LINK_FACTOR),
        memory_bytes: size * VERSIONS_IN_MEMORY + size / 4,
        seed: rand::random(),
    })
}

/// The task that connects the swarm to the links and to the origin.
struct Exchange {
    agent: Rc<Agent>,
    hub: Hub,
    chunks: Chunks,
    dialed: Vec<Candidate>,
    /// Links that were opened before there was a swarm.
    pending_links: HashMap<Link, swarm::Event>,
    /// When a manifest was last requested from another agent.
    manifest_requested_at: Option<Duration>,
}

impl Exchange {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Event<Message>>,
        mut local_events: mpsc::UnboundedReceiver<swarm::Event>,
    ) {
        let agent = self.agent.clone();
        let mut events = Vec::new();
        let mut view = Rc::default();
        loop {
            let wake = self.wake_time();
            tokio::select! {
                count = inbox.recv_many(&mut events, EVENT_BATCH_MAX) => {
                    if count == 0 {
                        return;
                    }
                    for event in events.drain(..) {
                        self.handle_link_event(event);
                    }
                }
                Some(event) = local_events.recv() => {
                    let wants_changed = matches!(event, swarm::Event::Wants { .. });
                    self.handle(event);
                    if wants_changed {
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

    fn wake_time(&self) -> tokio::time::Instant {
        let now = self.agent.clock.now();
        let state = self.chunks.state.borrow();
        let wake = state
            .swarm
            .as_ref()
            .map_or(now + Duration::from_secs(1), |swarm| swarm.next_wakeup(now));
        self.agent.clock.at(wake)
    }

    fn handle_link_event(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, peer, .. } if peer.role == Role::Agent => {
                let link = link_id(link);
                self.handle(swarm::Event::Up { link, peer });
            }
            Event::Messages { link, messages } => {
                self.handle_manifest_messages(link, &messages);
                let link = link_id(link);
                self.handle(swarm::Event::Messages { link, messages });
            }
            Event::Down { link, .. } => {
                let link = link_id(link);
                self.handle(swarm::Event::Down { link });
            }
            Event::Summary { .. } | Event::Up { .. } => {}
        }
    }

    /// Requests a manifest that is missing here from an agent that has it, and
    /// handles manifests from other agents.
    fn handle_manifest_messages(&mut self, link: link::Key, messages: &[Message]) {
        for message in messages {
            match message {
                Message::Bitfield { manifest, .. }
                    if self.chunks.needs_manifest(&self.agent, *manifest) =>
                {
                    let now = self.agent.clock.now();
                    let is_pending =
                        |requested_at| now.saturating_sub(requested_at) < MANIFEST_REQUEST_TIMEOUT;
                    if !self.manifest_requested_at.is_some_and(is_pending) {
                        self.manifest_requested_at = Some(now);
                        let manifest = *manifest;
                        let request = Frame::Weights(Message::RequestManifest { manifest });
                        // If the frame is lost, the list is read from the
                        // origin.
                        let _ = self.hub.send(link, request);
                    }
                }
                Message::Manifest { bytes, .. } => self.chunks.handle_manifest(&self.agent, bytes),
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: swarm::Event) {
        let now = self.agent.clock.now();
        let mut state = self.chunks.state.borrow_mut();
        let Some(swarm) = &mut state.swarm else {
            drop(state);
            return self.store_pending_link(event);
        };
        let mut actions = Vec::new();
        for (_, up) in self.pending_links.drain() {
            actions.extend(swarm.handle(now, up));
        }
        actions.extend(swarm.handle(now, event));
        drop(state);
        for action in actions {
            self.execute(action);
        }
    }

    /// Stores the event of an open link until there is a swarm to handle it.
    fn store_pending_link(&mut self, event: swarm::Event) {
        match event {
            swarm::Event::Up { link, .. } => drop(self.pending_links.insert(link, event)),
            swarm::Event::Down { link } => drop(self.pending_links.remove(&link)),
            _ => {}
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { link, message } => self.send(link, message),
            Action::Dial(wanted) => self.update_dials(wanted),
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
                log::info!("E7223 all chunks of manifest {manifest} are present");
                if let Some(version) = self.version(Id::of(&manifest)) {
                    self.agent.enter_phase(version, Phase::Turn);
                }
                self.chunks.update_wants(&self.agent);
                self.agent.changed.notify_waiters();
            }
            Action::Corrupt {
                manifest,
                chunk,
                source,
            } => {
                let source = source.map_or("the origin".into(), |host| host.0);
                log::warn!("E7224 chunk {chunk} from {source} is corrupt");
                self.recheck_list(manifest);
            }
            Action::Reject { manifest, reason } => {
                log::error!("E7225 rejected manifest {manifest}: {reason}");
            }
            Action::TakeOver { stripe, .. } => {
                log::info!("E7226 took over stripe {stripe}");
            }
        }
    }

    /// Has the list of a version read again from the origin.
    fn recheck_list(&self, manifest: Id) {
        let version = self.version(manifest);
        self.chunks.state.borrow_mut().version_to_recheck = version;
    }

    /// The version with this manifest.
    fn version(&self, manifest: Id) -> Option<u64> {
        let state = self.chunks.state.borrow();
        let mut known = state.known.iter();
        let known = known.find(|known| Id::of(&known.digest) == manifest)?;
        Some(known.target.version)
    }

    fn send(&self, link: Link, message: Message) {
        let hub = self.hub.clone();
        let link = link::Key::from(KeyData::from_ffi(link.0));
        let frame = Frame::Weights(message);
        let bulk = frame.class() == Class::Chunk;
        // Requests in a lost frame are sent again later. Chunks wait until the
        // queue to a slow peer has room.
        match bulk && !hub.has_chunk_capacity(link) {
            true => drop(spawn_local(async move {
                let _ = hub.send_when_ready(link, frame).await;
            })),
            false => drop(hub.send(link, frame)),
        }
    }

    fn fetch(&self, digest: Digest, manifest: Id, chunk: u32) {
        let state = self.chunks.state.borrow();
        let known = state.known.iter().find(|known| known.digest == digest);
        let Some(known) = known else {
            return;
        };
        let target = known.target.clone();
        let length = known.manifest.length(chunk);
        let origin = ChunkOrigin::open(self.agent.origin_transport.clone(), target.origin.address);
        let events = self.chunks.events.clone();
        let agent = self.agent.clone();
        spawn_local(async move {
            let reading = origin.chunk(&target.model, target.version, chunk, length);
            let bytes = match reading.await {
                Ok(bytes) => {
                    log::debug!(
                        "E7228 received chunk {chunk} of version {} from the origin",
                        target.version
                    );
                    Some(bytes)
                }
                Err(error) => {
                    log::info!("E7227 reading chunk {chunk} from the origin failed: {error}");
                    if error.is_outdated() {
                        agent.doubt_version(target.version);
                    }
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

    fn update_dials(&mut self, wanted: Vec<Candidate>) {
        for old in &self.dialed {
            if !wanted.iter().any(|one| one.host == old.host) {
                self.hub.stop_dialing(&old.host);
            }
        }
        for one in &wanted {
            self.hub.dial(one.host.clone(), one.address);
        }
        self.dialed = wanted;
    }
}

fn link_id(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}
