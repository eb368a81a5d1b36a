//! Drives the weights code of a fleet of agents over simulated links, from a
//! seed.

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
use snipewinch::document::Weigh;
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

const LOCAL_DELAY: Duration = Duration::from_micros(200);
const REMOTE_DELAY: Duration = Duration::from_millis(2);
const SILENCE: Duration = Duration::from_millis(2250);
const BYTES_PER_MBIT: f64 = 125_000.0;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) agents: usize,
    pub(crate) regions: usize,
    pub(crate) host_mbit: f64,
    pub(crate) region_mbit: f64,
    pub(crate) origin_mbit: f64,
    pub(crate) memory_bytes: u64,
    pub(crate) weigh: Weigh,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
}

/// Faults that strike at random until they end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Messages lost, duplicated and late, in percent.
    pub(crate) lost: u32,
    pub(crate) doubled: u32,
    pub(crate) late: u32,
    /// Answers of the origin that are corrupt or fail, in percent.
    pub(crate) origin_corrupt: u32,
    pub(crate) origin_fails: u32,
    /// Hosts that corrupt what they send.
    pub(crate) corrupting: usize,
}

pub(crate) struct Agent {
    pub(crate) swarm: Swarm,
    pub(crate) alive: bool,
    pub(crate) paused_until: Duration,
    pub(crate) whole: BTreeMap<Digest, Duration>,
    pub(crate) incarnation: u64,
    corrupts: bool,
    wake_at: Duration,
    dialed: Vec<usize>,
}

enum Task {
    Wake(usize),
    Connect(usize, usize),
    Deliver(u64, usize, Message),
    Break(u64),
    Manifest(usize, u64, Digest),
    Fetched(usize, u64, Event),
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) agents: Vec<Agent>,
    pub(crate) faults: Faults,
    pub(crate) origin_bytes: u64,
    pub(crate) manifest_reads: u64,
    pub(crate) region_bytes: BTreeMap<(usize, usize), u64>,
    pub(crate) control_bytes: u64,
    pub(crate) cut: Option<(usize, usize)>,
    setup: Setup,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    tasks: BTreeMap<u64, Task>,
    next: u64,
    links: BTreeMap<u64, (usize, usize)>,
    pair_free: BTreeMap<(usize, usize), Duration>,
    origin_free: Duration,
    objects: BTreeMap<Digest, (Manifest, Bytes)>,
    wants: Vec<Want>,
    view: Arc<View>,
}

impl Fleet {
    pub(crate) fn open(setup: Setup) -> Fleet {
        Fleet::faulty(setup, Faults::default())
    }

    pub(crate) fn faulty(setup: Setup, faults: Faults) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            agents: Vec::new(),
            faults,
            origin_bytes: 0,
            manifest_reads: 0,
            region_bytes: BTreeMap::new(),
            control_bytes: 0,
            cut: None,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            next: 0,
            links: BTreeMap::new(),
            pair_free: BTreeMap::new(),
            origin_free: Duration::ZERO,
            objects: BTreeMap::new(),
            wants: Vec::new(),
            view: Arc::default(),
            setup,
        };
        for place in 0..fleet.setup.agents {
            let agent = fleet.agent(place, 1);
            fleet.agents.push(agent);
        }
        fleet.refresh();
        fleet
    }

    pub(crate) fn region(&self, place: usize) -> usize {
        place % self.setup.regions
    }

    fn agent(&self, place: usize, incarnation: u64) -> Agent {
        let config = Config {
            host: name(place),
            region: region(self.region(place)),
            origin_region: Some(region(0)),
            policy: self.setup.policy,
            host_mbit: Some(self.setup.host_mbit),
            region_mbit: Some(self.setup.region_mbit),
            memory_bytes: self.setup.memory_bytes,
            seed: self.setup.seed ^ place as u64 ^ incarnation << 32,
        };
        Agent {
            swarm: Swarm::new(config),
            alive: true,
            paused_until: Duration::ZERO,
            whole: BTreeMap::new(),
            incarnation,
            corrupts: place < self.faults.corrupting,
            wake_at: Duration::MAX,
            dialed: Vec::new(),
        }
    }

    /// Publishes weights; answers their manifest's digest.
    pub(crate) fn publish(&mut self, version: &str, chunk_bytes: u32, weights: &[u8]) -> Digest {
        let manifest = Manifest::build("songs", version, chunk_bytes, weights).unwrap();
        let digest = manifest.digest();
        let weights = Bytes::copy_from_slice(weights);
        self.objects.insert(digest, (manifest, weights));
        digest
    }

    /// Makes every host want exactly this version.
    pub(crate) fn accept(&mut self, manifest: Digest) {
        let services = vec!["verse-engine".into()];
        self.wants = vec![Want { manifest, services }];
        for place in 0..self.agents.len() {
            self.tell_wants(place);
        }
    }

    fn tell_wants(&mut self, place: usize) {
        let wants = self.wants.clone();
        let weigh = self.setup.weigh;
        self.handle(place, Event::Wants { wants, weigh });
    }

    /// Tells every host who is alive.
    pub(crate) fn refresh(&mut self) {
        let agents = self.agents.iter().enumerate();
        let live = agents.filter(|(_, agent)| agent.alive);
        let members = live.map(|(place, agent)| self.member(place, agent));
        let members = members.collect();
        self.view = Arc::new(View { members });
        for place in 0..self.agents.len() {
            self.handle(place, Event::View(self.view.clone()));
        }
    }

    fn member(&self, place: usize, agent: &Agent) -> Member {
        Member {
            host: name(place),
            role: Role::Agent,
            zone: host::Zone::from("zone"),
            region: region(self.region(place)),
            service: Some("verse-engine".into()),
            address: ([127, 0, 0, 1], 1024 + place as u16).into(),
            state: State::Live,
            incarnation: agent.incarnation,
        }
    }

    pub(crate) fn kill(&mut self, place: usize) {
        self.agents[place].alive = false;
        self.break_links(|a, b| a == place || b == place, Duration::from_millis(50));
    }

    /// Starts a host anew, with nothing.
    pub(crate) fn restart(&mut self, place: usize) {
        self.kill(place);
        let incarnation = self.agents[place].incarnation + 1;
        self.agents[place] = self.agent(place, incarnation);
        self.handle(place, Event::View(self.view.clone()));
        self.tell_wants(place);
        for other in 0..self.agents.len() {
            if self.agents[other].dialed.contains(&place) {
                self.later(Duration::from_millis(60), Task::Connect(other, place));
            }
        }
    }

    pub(crate) fn pause(&mut self, place: usize, span: Duration) {
        self.agents[place].paused_until = self.now + span;
        if span > SILENCE {
            self.break_links(|a, b| a == place || b == place, SILENCE);
        }
    }

    /// Cuts two regions off from each other, or joins them again.
    pub(crate) fn set_cut(&mut self, cut: Option<(usize, usize)>) {
        self.cut = cut;
        let regions = self.setup.regions;
        if let Some((one, two)) = cut {
            let crosses = |a: usize, b: usize| {
                (a % regions, b % regions) == (one, two) || (b % regions, a % regions) == (one, two)
            };
            self.break_links(crosses, SILENCE);
        }
    }

    /// Ends all faults but deaths.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults::default();
        self.set_cut(None);
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
            self.later(after, Task::Break(link));
        }
    }

    fn later(&mut self, after: Duration, task: Task) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.tasks.insert(self.next, task);
    }

    /// Runs until `end`, or until `done`; answers whether it was done.
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
            self.perform(task);
        }
    }

    fn perform(&mut self, task: Task) {
        let busy = match &task {
            Task::Wake(place) | Task::Manifest(place, ..) | Task::Fetched(place, ..) => {
                Some(*place)
            }
            Task::Deliver(_, place, _) => Some(*place),
            Task::Connect(..) | Task::Break(_) => None,
        };
        let paused = busy.map_or(Duration::ZERO, |place| self.agents[place].paused_until);
        if paused > self.now {
            return self.later(paused - self.now, task);
        }
        match task {
            Task::Wake(place) => {
                if self.agents[place].wake_at <= self.now {
                    self.agents[place].wake_at = Duration::MAX;
                    self.handle(place, Event::Tick);
                }
            }
            Task::Connect(from, to) => self.connect(from, to),
            Task::Deliver(link, place, message) => {
                let messages = vec![message];
                let link_up = self.links.contains_key(&link);
                let link = Link(link);
                if link_up {
                    self.handle(place, Event::Messages { link, messages });
                }
            }
            Task::Break(link) => self.disconnect(link),
            Task::Manifest(place, incarnation, digest) => {
                let found = self.objects.get(&digest);
                let bytes = found.map(|(manifest, _)| manifest.to_bytes().into());
                if self.agents[place].incarnation == incarnation {
                    self.handle(place, Event::Manifest { digest, bytes });
                }
            }
            Task::Fetched(place, incarnation, event) => {
                if self.agents[place].incarnation == incarnation {
                    self.handle(place, event);
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
            .cut
            .is_some_and(|cut| cut == (one, two) || cut == (two, one));
        let paused = self.agents[to].paused_until > self.now;
        if cut || paused || !self.agents[to].alive {
            return self.later(Duration::from_millis(300), Task::Connect(from, to));
        }
        self.next += 1;
        let link = self.next;
        self.links.insert(link, (from, to));
        let ends = [(from, to), (to, from)];
        for (place, other) in ends {
            let peer = Arc::new(self.identity(other));
            let link = Link(link);
            self.handle(place, Event::Up { link, peer });
        }
    }

    fn identity(&self, place: usize) -> Identity {
        let member = self.member(place, &self.agents[place]);
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
        for place in [from, to] {
            let link = Link(link);
            self.handle(place, Event::Down { link });
        }
        self.later(Duration::from_millis(50), Task::Connect(from, to));
    }

    fn handle(&mut self, place: usize, event: Event) {
        if !self.agents[place].alive {
            return;
        }
        let actions = self.agents[place].swarm.handle(self.now, event);
        for action in actions {
            self.act(place, action);
        }
        let now = self.now;
        let agent = &mut self.agents[place];
        let wake = agent.swarm.wake(now).max(now + Duration::from_micros(100));
        if wake < agent.wake_at {
            agent.wake_at = wake;
            self.later(wake - now, Task::Wake(place));
        }
    }

    fn act(&mut self, place: usize, action: Action) {
        match action {
            Action::Send { link, message } => self.send(place, link.0, message),
            Action::Dial(candidates) => {
                let wanted: Vec<usize> = candidates
                    .iter()
                    .map(|one| one.address.port() as usize - 1024)
                    .collect();
                let links: Vec<u64> = self
                    .links
                    .iter()
                    .filter(|(_, (from, to))| *from == place && !wanted.contains(to))
                    .map(|(link, _)| *link)
                    .collect();
                self.agents[place].dialed = wanted.clone();
                for link in links {
                    self.later(Duration::ZERO, Task::Break(link));
                }
                for other in wanted {
                    self.later(REMOTE_DELAY, Task::Connect(place, other));
                }
            }
            Action::ReadManifest { digest } => {
                self.manifest_reads += 1;
                let incarnation = self.agents[place].incarnation;
                let task = Task::Manifest(place, incarnation, digest);
                self.later(Duration::from_millis(5), task);
            }
            Action::Fetch {
                digest,
                manifest,
                chunk,
                range,
            } => {
                let length = (range.end - range.start) as usize;
                let fails = self.hits(self.faults.origin_fails);
                let corrupt = self.hits(self.faults.origin_corrupt);
                let weights = &self.objects[&digest].1;
                let mut bytes = weights.slice(range.start as usize..range.end as usize);
                if corrupt {
                    bytes = damage(&bytes);
                }
                if !fails {
                    self.origin_bytes += length as u64;
                    let span = length as f64 / (self.setup.origin_mbit * BYTES_PER_MBIT);
                    self.origin_free =
                        self.origin_free.max(self.now) + Duration::from_secs_f64(span);
                }
                let wait = self.origin_free.saturating_sub(self.now) + REMOTE_DELAY;
                let event = Event::Fetched {
                    manifest,
                    chunk,
                    bytes: (!fails).then_some(bytes),
                };
                let incarnation = self.agents[place].incarnation;
                self.later(wait, Task::Fetched(place, incarnation, event));
            }
            Action::Complete { manifest } => self.check_whole(place, manifest),
            Action::Reject { manifest, reason } => panic!("{manifest} rejected: {reason}"),
            Action::Corrupt { .. } | Action::TakeOver { .. } => {}
        }
    }

    /// Compares every byte with what was published.
    fn check_whole(&mut self, place: usize, manifest: Digest) {
        let held = self.agents[place].swarm.weights(&manifest);
        let held = held.expect("whole is told of what is held").concat();
        let published = &self.objects[&manifest].1;
        assert!(held == published[..], "mixed weights at {place}");
        let now = self.now;
        self.agents[place].whole.insert(manifest, now);
    }

    fn send(&mut self, place: usize, link: u64, message: Message) {
        let Some((from, to)) = self.links.get(&link).copied() else {
            return;
        };
        let other = if place == from { to } else { from };
        let pair = (self.region(place), self.region(other));
        let (bytes, message) = match message {
            Message::Data {
                manifest,
                chunk,
                offset,
                queued_us,
                bytes,
            } => {
                let length = bytes.len();
                let corrupt = self.agents[place].corrupts;
                let bytes = if corrupt { damage(&bytes) } else { bytes };
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
            let free = self.pair_free.entry(pair).or_default();
            *free = (*free).max(self.now) + Duration::from_secs_f64(span);
            delay = REMOTE_DELAY + (*free - self.now);
            *self.region_bytes.entry(pair).or_default() += bytes as u64;
        }
        if self.hits(self.faults.late) {
            delay += Duration::from_millis(self.rng.random_range(1..400));
        }
        if self.hits(self.faults.lost) {
            return;
        }
        if self.hits(self.faults.doubled) {
            self.later(delay * 2, Task::Deliver(link, other, message.clone()));
        }
        self.later(delay, Task::Deliver(link, other, message));
    }

    fn hits(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Whether every host that is alive holds the version.
    pub(crate) fn all_whole(&self, manifest: &Digest) -> bool {
        let mut live = self.agents.iter().filter(|agent| agent.alive);
        live.all(|agent| agent.whole.contains_key(manifest))
    }

    /// Copies that the host that sent the most has sent.
    pub(crate) fn sent_max(&self) -> u64 {
        let sent = self.agents.iter().map(|one| one.swarm.counts().sent_bytes);
        sent.max().unwrap_or(0)
    }
}

pub(crate) fn weights(length: usize, seed: u64) -> Vec<u8> {
    let mut bytes = vec![0; length];
    rand::Rng::fill_bytes(&mut ChaCha8Rng::seed_from_u64(seed), &mut bytes);
    bytes
}

fn damage(bytes: &Bytes) -> Bytes {
    let mut bytes = bytes.to_vec();
    bytes[0] ^= 0x55;
    bytes.into()
}

fn name(place: usize) -> host::Name {
    host::Name::from(format!("agent-{place}").as_str())
}

fn region(place: usize) -> host::Region {
    host::Region::from(format!("region-{place}").as_str())
}
