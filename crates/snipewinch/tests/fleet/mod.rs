//! Deterministic simulation of a fleet of agents that exchange weights over
//! simulated links, from a seed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::Digest;
use snipewinch::document::Objective;
use snipewinch::host;
use snipewinch::host::Identity;
use snipewinch::host::Role;
use snipewinch::membership::Member;
use snipewinch::membership::State;
use snipewinch::membership::View;
use snipewinch::weights::Message;
use snipewinch::weights::manifest::Manifest;
use snipewinch::weights::plan::Policy;
use snipewinch::weights::swarm::Action;
use snipewinch::weights::swarm::Config;
use snipewinch::weights::swarm::Event;
use snipewinch::weights::swarm::Link;
use snipewinch::weights::swarm::Swarm;
use snipewinch::weights::swarm::Want;

/// The delay of a message within a region.
const LOCAL_DELAY: Duration = Duration::from_micros(200);
/// The delay of a message between regions, besides its sending time.
const REMOTE_DELAY: Duration = Duration::from_millis(2);
/// How long a link lasts after its hosts can no longer reach each other.
const LINK_TIMEOUT: Duration = Duration::from_millis(2250);
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Size, links and settings of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) agents: usize,
    pub(crate) regions: usize,
    pub(crate) host_mbit: f64,
    pub(crate) region_mbit: f64,
    pub(crate) origin_mbit: f64,
    pub(crate) memory_bytes: u64,
    pub(crate) objective: Objective,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
}

/// Random faults, injected until they are ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Messages lost, in percent.
    pub(crate) lost: u32,
    /// Messages delivered twice, in percent.
    pub(crate) duplicated: u32,
    /// Messages delayed by up to 400 ms, in percent.
    pub(crate) late: u32,
    /// Chunks that the origin corrupts, in percent.
    pub(crate) origin_corrupt: u32,
    /// Reads from the origin that fail, in percent.
    pub(crate) origin_fails: u32,
    /// The number of hosts that corrupt the chunks that they send.
    pub(crate) corrupting: usize,
}

pub(crate) struct Agent {
    pub(crate) swarm: Swarm,
    pub(crate) alive: bool,
    pub(crate) paused_until: Duration,
    /// When each version was complete on this host, by its manifest.
    pub(crate) complete: BTreeMap<Digest, Duration>,
    pub(crate) incarnation: u64,
    corrupts: bool,
    wake_at: Duration,
    dialed: Vec<usize>,
}

enum Task {
    Tick(usize),
    Connect(usize, usize),
    Deliver(u64, usize, Message),
    Break(u64),
    ReadManifest(usize, u64, Digest),
    Fetch(usize, u64, Event),
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) agents: Vec<Agent>,
    pub(crate) faults: Faults,
    pub(crate) origin_bytes: u64,
    pub(crate) manifest_reads: u64,
    pub(crate) region_bytes: BTreeMap<(usize, usize), u64>,
    pub(crate) control_bytes: u64,
    pub(crate) partition: Option<(usize, usize)>,
    setup: Setup,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    tasks: BTreeMap<u64, Task>,
    next_id: u64,
    links: BTreeMap<u64, (usize, usize)>,
    region_links_free_at: BTreeMap<(usize, usize), Duration>,
    origin_free_at: Duration,
    objects: BTreeMap<Digest, (Manifest, Bytes)>,
    wanted: Vec<Digest>,
    view: Arc<View>,
}

impl Fleet {
    pub(crate) fn open(setup: Setup) -> Fleet {
        Fleet::with_faults(setup, Faults::default())
    }

    pub(crate) fn with_faults(setup: Setup, faults: Faults) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            agents: Vec::new(),
            faults,
            origin_bytes: 0,
            manifest_reads: 0,
            region_bytes: BTreeMap::new(),
            control_bytes: 0,
            partition: None,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            next_id: 0,
            links: BTreeMap::new(),
            region_links_free_at: BTreeMap::new(),
            origin_free_at: Duration::ZERO,
            objects: BTreeMap::new(),
            wanted: Vec::new(),
            view: Arc::default(),
            setup,
        };
        for index in 0..fleet.setup.agents {
            let agent = fleet.agent(index, 1);
            fleet.agents.push(agent);
        }
        fleet.update_views();
        fleet
    }

    pub(crate) fn region(&self, index: usize) -> usize {
        index % self.setup.regions
    }

    fn agent(&self, index: usize, incarnation: u64) -> Agent {
        let config = Config {
            host: name(index),
            region: region(self.region(index)),
            origin_region: Some(region(0)),
            policy: self.setup.policy,
            host_mbit: Some(self.setup.host_mbit),
            region_mbit: Some(self.setup.region_mbit),
            memory_bytes: self.setup.memory_bytes,
            seed: self.setup.seed ^ index as u64 ^ incarnation << 32,
        };
        Agent {
            swarm: Swarm::new(config),
            alive: true,
            paused_until: Duration::ZERO,
            complete: BTreeMap::new(),
            incarnation,
            corrupts: index < self.faults.corrupting,
            wake_at: Duration::MAX,
            dialed: Vec::new(),
        }
    }

    /// Publishes weights; returns the digest of their manifest.
    pub(crate) fn publish(&mut self, version: &str, chunk_bytes: u32, weights: &[u8]) -> Digest {
        let manifest = Manifest::build("songs", version, chunk_bytes, weights).unwrap();
        let digest = manifest.digest();
        let weights = Bytes::copy_from_slice(weights);
        self.objects.insert(digest, (manifest, weights));
        digest
    }

    /// Makes every host want exactly this version.
    pub(crate) fn set_wanted(&mut self, manifest: Digest) {
        self.wanted = vec![manifest];
        for index in 0..self.agents.len() {
            self.set_wants_of(index, &[manifest], false);
        }
    }

    /// Makes one host want these versions, those to complete first in front.
    pub(crate) fn set_wants_of(&mut self, index: usize, manifests: &[Digest], waits: bool) {
        let wants = manifests.iter().map(|manifest| Want {
            manifest: *manifest,
            services: vec!["verse-engine".into()],
            waits,
        });
        let wants = wants.collect();
        let objective = self.setup.objective;
        self.handle(index, Event::Wants { wants, objective });
    }

    /// Sends every host the view of the hosts that are alive.
    pub(crate) fn update_views(&mut self) {
        let agents = self.agents.iter().enumerate();
        let live = agents.filter(|(_, agent)| agent.alive);
        let members = live.map(|(index, agent)| self.member(index, agent));
        let members = members.collect();
        self.view = Arc::new(View { members });
        for index in 0..self.agents.len() {
            self.handle(index, Event::View(self.view.clone()));
        }
    }

    fn member(&self, index: usize, agent: &Agent) -> Member {
        Member {
            host: name(index),
            role: Role::Agent,
            zone: host::Zone::from("zone"),
            region: region(self.region(index)),
            service: Some("verse-engine".into()),
            address: ([127, 0, 0, 1], 1024 + index as u16).into(),
            state: State::Live,
            incarnation: agent.incarnation,
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.agents[index].alive = false;
        self.break_links(|a, b| a == index || b == index, Duration::from_millis(50));
    }

    /// Restarts a host, which then holds nothing.
    pub(crate) fn restart(&mut self, index: usize) {
        self.kill(index);
        let incarnation = self.agents[index].incarnation + 1;
        self.agents[index] = self.agent(index, incarnation);
        self.handle(index, Event::View(self.view.clone()));
        let wanted = self.wanted.clone();
        self.set_wants_of(index, &wanted, false);
        for other in 0..self.agents.len() {
            if self.agents[other].dialed.contains(&index) {
                self.schedule(Duration::from_millis(60), Task::Connect(other, index));
            }
        }
    }

    pub(crate) fn pause(&mut self, index: usize, span: Duration) {
        self.agents[index].paused_until = self.now + span;
        if span > LINK_TIMEOUT {
            self.break_links(|a, b| a == index || b == index, LINK_TIMEOUT);
        }
    }

    /// Partitions two regions from each other, or ends the partition.
    pub(crate) fn set_partition(&mut self, partition: Option<(usize, usize)>) {
        self.partition = partition;
        let regions = self.setup.regions;
        if let Some((one, two)) = partition {
            let crosses = |a: usize, b: usize| {
                (a % regions, b % regions) == (one, two) || (b % regions, a % regions) == (one, two)
            };
            self.break_links(crosses, LINK_TIMEOUT);
        }
    }

    /// Ends all faults except that killed hosts stay down.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults::default();
        self.set_partition(None);
        for agent in &mut self.agents {
            agent.corrupts = false;
            agent.paused_until = Duration::ZERO;
        }
    }

    fn break_links(&mut self, which: impl Fn(usize, usize) -> bool, after: Duration) {
        let links: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, (a, b))| which(*a, *b))
            .map(|(link, _)| *link)
            .collect();
        for link in links {
            self.schedule(after, Task::Break(link));
        }
    }

    fn schedule(&mut self, after: Duration, task: Task) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + after, self.next_id)));
        self.tasks.insert(self.next_id, task);
    }

    /// Runs until `end`, or until `done`; returns whether it was done.
    pub(crate) fn run(&mut self, end: Duration, done: impl Fn(&Fleet) -> bool) -> bool {
        loop {
            if done(self) {
                return true;
            }
            let Some(Reverse((at, id))) = self.queue.pop() else {
                return false;
            };
            if at > end {
                self.queue.push(Reverse((at, id)));
                self.now = end;
                return false;
            }
            self.now = self.now.max(at);
            let task = self.tasks.remove(&id).unwrap();
            self.run_task(task);
        }
    }

    fn run_task(&mut self, task: Task) {
        let host = match &task {
            Task::Tick(index) | Task::ReadManifest(index, ..) | Task::Fetch(index, ..) => {
                Some(*index)
            }
            Task::Deliver(_, index, _) => Some(*index),
            Task::Connect(..) | Task::Break(_) => None,
        };
        let paused = host.map_or(Duration::ZERO, |index| self.agents[index].paused_until);
        if paused > self.now {
            return self.schedule(paused - self.now, task);
        }
        match task {
            Task::Tick(index) => {
                if self.agents[index].wake_at <= self.now {
                    self.agents[index].wake_at = Duration::MAX;
                    self.handle(index, Event::Tick);
                }
            }
            Task::Connect(from, to) => self.connect(from, to),
            Task::Deliver(link, index, message) => {
                let messages = vec![message];
                let link_up = self.links.contains_key(&link);
                let link = Link(link);
                if link_up {
                    self.handle(index, Event::Messages { link, messages });
                }
            }
            Task::Break(link) => self.disconnect(link),
            Task::ReadManifest(index, incarnation, digest) => {
                let found = self.objects.get(&digest);
                let bytes = found.map(|(manifest, _)| manifest.to_bytes().into());
                if self.agents[index].incarnation == incarnation {
                    self.handle(index, Event::Manifest { digest, bytes });
                }
            }
            Task::Fetch(index, incarnation, event) => {
                if self.agents[index].incarnation == incarnation {
                    self.handle(index, event);
                }
            }
        }
    }

    fn connect(&mut self, from: usize, to: usize) {
        let wanted = self.agents[from].dialed.contains(&to);
        let linked = self.links.values().any(|link| *link == (from, to));
        if !wanted || linked || !self.agents[from].alive {
            return;
        }
        let (one, two) = (self.region(from), self.region(to));
        let cut = self
            .partition
            .is_some_and(|cut| cut == (one, two) || cut == (two, one));
        let paused = self.agents[to].paused_until > self.now;
        if cut || paused || !self.agents[to].alive {
            return self.schedule(Duration::from_millis(300), Task::Connect(from, to));
        }
        self.next_id += 1;
        let link = self.next_id;
        self.links.insert(link, (from, to));
        let ends = [(from, to), (to, from)];
        for (index, other) in ends {
            let peer = Arc::new(self.identity(other));
            let link = Link(link);
            self.handle(index, Event::Up { link, peer });
        }
    }

    fn identity(&self, index: usize) -> Identity {
        let member = self.member(index, &self.agents[index]);
        Identity {
            host: member.host,
            incarnation: member.incarnation,
            role: member.role,
            zone: member.zone,
            region: member.region,
            service: member.service,
            address: member.address,
        }
    }

    fn disconnect(&mut self, link: u64) {
        let Some((from, to)) = self.links.remove(&link) else {
            return;
        };
        for index in [from, to] {
            let link = Link(link);
            self.handle(index, Event::Down { link });
        }
        self.schedule(Duration::from_millis(50), Task::Connect(from, to));
    }

    fn handle(&mut self, index: usize, event: Event) {
        if !self.agents[index].alive {
            return;
        }
        let actions = self.agents[index].swarm.handle(self.now, event);
        for action in actions {
            self.apply(index, action);
        }
        let now = self.now;
        let agent = &mut self.agents[index];
        let wake = agent
            .swarm
            .next_wakeup(now)
            .max(now + Duration::from_micros(100));
        if wake < agent.wake_at {
            agent.wake_at = wake;
            self.schedule(wake - now, Task::Tick(index));
        }
    }

    fn apply(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { link, message } => self.send(index, link.0, message),
            Action::Dial(candidates) => {
                let wanted: Vec<usize> = candidates
                    .iter()
                    .map(|one| one.address.port() as usize - 1024)
                    .collect();
                let links: Vec<u64> = self
                    .links
                    .iter()
                    .filter(|(_, (from, to))| *from == index && !wanted.contains(to))
                    .map(|(link, _)| *link)
                    .collect();
                self.agents[index].dialed = wanted.clone();
                for link in links {
                    self.schedule(Duration::ZERO, Task::Break(link));
                }
                for other in wanted {
                    self.schedule(REMOTE_DELAY, Task::Connect(index, other));
                }
            }
            Action::ReadManifest { digest } => {
                self.manifest_reads += 1;
                let incarnation = self.agents[index].incarnation;
                let task = Task::ReadManifest(index, incarnation, digest);
                self.schedule(Duration::from_millis(5), task);
            }
            Action::Fetch {
                digest,
                manifest,
                chunk,
                range,
            } => {
                let length = (range.end - range.start) as usize;
                let fails = self.chance(self.faults.origin_fails);
                let corrupt = self.chance(self.faults.origin_corrupt);
                let weights = &self.objects[&digest].1;
                let mut bytes = weights.slice(range.start as usize..range.end as usize);
                if corrupt {
                    bytes = corrupted(&bytes);
                }
                if !fails {
                    self.origin_bytes += length as u64;
                    let span = length as f64 / (self.setup.origin_mbit * BYTES_PER_MBIT);
                    self.origin_free_at =
                        self.origin_free_at.max(self.now) + Duration::from_secs_f64(span);
                }
                let wait = self.origin_free_at.saturating_sub(self.now) + REMOTE_DELAY;
                let event = Event::Fetched {
                    manifest,
                    chunk,
                    bytes: (!fails).then_some(bytes),
                };
                let incarnation = self.agents[index].incarnation;
                self.schedule(wait, Task::Fetch(index, incarnation, event));
            }
            Action::Complete { manifest } => self.check_complete(index, manifest),
            Action::Reject { manifest, reason } => panic!("{manifest} rejected: {reason}"),
            Action::Corrupt { .. } | Action::TakeOver { .. } => {}
        }
    }

    /// Compares every byte with the published weights.
    fn check_complete(&mut self, index: usize, manifest: Digest) {
        let held = self.agents[index].swarm.weights(&manifest);
        let held = held
            .expect("a complete version has all its chunks")
            .concat();
        let published = &self.objects[&manifest].1;
        assert!(
            held == published[..],
            "weights of agent {index} differ from the published ones"
        );
        let now = self.now;
        self.agents[index].complete.insert(manifest, now);
    }

    fn send(&mut self, index: usize, link: u64, message: Message) {
        let Some((from, to)) = self.links.get(&link).copied() else {
            return;
        };
        let other = if index == from { to } else { from };
        let pair = (self.region(index), self.region(other));
        let (bytes, message) = match message {
            Message::Data {
                manifest,
                chunk,
                offset,
                queued_us,
                bytes,
            } => {
                let length = bytes.len();
                let corrupt = self.agents[index].corrupts;
                let bytes = if corrupt { corrupted(&bytes) } else { bytes };
                let message = Message::Data {
                    manifest,
                    chunk,
                    offset,
                    queued_us,
                    bytes,
                };
                (length, message)
            }
            Message::Bitfield { ref chunks, .. } => (20 + chunks.len(), message),
            Message::Have { ref chunks, .. } => (20 + 2 * chunks.len(), message),
            Message::Manifest { ref bytes, .. } => (20 + bytes.len(), message),
            other => (30, other),
        };
        if !message.is_bulk() {
            self.control_bytes += bytes as u64;
        }
        let mut delay = LOCAL_DELAY;
        if pair.0 != pair.1 {
            let span = bytes as f64 / (self.setup.region_mbit * BYTES_PER_MBIT);
            let free = self.region_links_free_at.entry(pair).or_default();
            *free = (*free).max(self.now) + Duration::from_secs_f64(span);
            delay = REMOTE_DELAY + (*free - self.now);
            *self.region_bytes.entry(pair).or_default() += bytes as u64;
        }
        if self.chance(self.faults.late) {
            delay += Duration::from_millis(self.rng.random_range(1..400));
        }
        if self.chance(self.faults.lost) {
            return;
        }
        if self.chance(self.faults.duplicated) {
            self.schedule(delay * 2, Task::Deliver(link, other, message.clone()));
        }
        self.schedule(delay, Task::Deliver(link, other, message));
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Returns whether the version was complete on every host that is alive.
    pub(crate) fn all_complete(&self, manifest: &Digest) -> bool {
        let mut live = self.agents.iter().filter(|agent| agent.alive);
        live.all(|agent| agent.complete.contains_key(manifest))
    }

    /// Returns the bytes of chunks sent by the host that sent the most.
    pub(crate) fn max_sent_bytes(&self) -> u64 {
        let sent = self.agents.iter().map(|one| one.swarm.counts().sent_bytes);
        sent.max().unwrap_or(0)
    }
}

/// Returns random weights.
pub(crate) fn weights(length: usize, seed: u64) -> Vec<u8> {
    let mut bytes = vec![0; length];
    rand::Rng::fill_bytes(&mut ChaCha8Rng::seed_from_u64(seed), &mut bytes);
    bytes
}

fn corrupted(bytes: &Bytes) -> Bytes {
    let mut bytes = bytes.to_vec();
    bytes[0] ^= 0x55;
    bytes.into()
}

fn name(index: usize) -> host::Name {
    host::Name::from(format!("agent-{index}").as_str())
}

fn region(index: usize) -> host::Region {
    host::Region::from(format!("region-{index}").as_str())
}
