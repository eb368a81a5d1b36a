//! Entries, agents, backend servers and the links between them, all faulty.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::call::Attempt;
use snipewinch::call::Data;
use snipewinch::call::Executed;
use snipewinch::call::Fault;
use snipewinch::call::Head;
use snipewinch::call::Id;
use snipewinch::call::Link;
use snipewinch::call::Message;
use snipewinch::call::Origin;
use snipewinch::call::Request;
use snipewinch::call::Start;
use snipewinch::call::agent;
use snipewinch::call::agent::Agent;
use snipewinch::call::entry;
use snipewinch::call::entry::Entry;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;
use snipewinch::host::Name;
use snipewinch::wire::Confirmed;

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const SILENCE_MS: u64 = 2250;

/// How often each trouble comes, in a thousand steps or messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chaos {
    pub(crate) breaks: u32,
    pub(crate) silences: u32,
    pub(crate) duplicates: u32,
    pub(crate) reorders: u32,
    pub(crate) drops: u32,
    pub(crate) agent_restarts: u32,
    pub(crate) entry_restarts: u32,
    pub(crate) pauses: u32,
    pub(crate) leaves: u32,
    pub(crate) gone: u32,
    pub(crate) failures: u32,
}

impl Chaos {
    pub(crate) const fn none() -> Chaos {
        Chaos {
            breaks: 0,
            silences: 0,
            duplicates: 0,
            reorders: 0,
            drops: 0,
            agent_restarts: 0,
            entry_restarts: 0,
            pauses: 0,
            leaves: 0,
            gone: 0,
            failures: 0,
        }
    }

    pub(crate) const fn all() -> Chaos {
        Chaos {
            breaks: 5,
            silences: 5,
            duplicates: 30,
            reorders: 30,
            drops: 20,
            agent_restarts: 2,
            entry_restarts: 2,
            pauses: 5,
            leaves: 1,
            gone: 5,
            failures: 20,
        }
    }
}

struct EntryHost {
    entry: Entry,
    origin: Origin,
    incarnation: u64,
    paused_until: Duration,
}

struct AgentHost {
    agent: Agent,
    incarnation: u64,
    paused_until: Duration,
    backend: BTreeMap<Attempt, Job>,
}

/// One attempt at a backend server.
struct Job {
    call: u64,
    position: u64,
    end: u64,
    headed: bool,
    paused: bool,
    stopping: bool,
}

struct Wire {
    id: Link,
    entry: usize,
    agent: usize,
    /// Frames sent from now on are lost.
    dead: bool,
    /// What is under way arrives only then.
    held: Duration,
    entry_down: Option<Duration>,
    agent_down: Option<Duration>,
    entry_knows: bool,
    agent_knows: bool,
    to_agent: VecDeque<Message>,
    to_entry: VecDeque<Message>,
}

/// What the model knows of a call.
struct Truth {
    at_most_once: bool,
    streamed: bool,
    end: u64,
    size: usize,
    runs: u32,
    answer: Vec<Data>,
    taken: usize,
    ended: u32,
    failures: Vec<Failure>,
    /// Nobody waits for its answer.
    forsaken: bool,
}

pub(crate) struct World {
    rng: ChaCha8Rng,
    chaos: Chaos,
    now: Duration,
    entries: Vec<EntryHost>,
    agents: Vec<AgentHost>,
    wires: Vec<Wire>,
    next_link: u64,
    redial: BTreeMap<(usize, usize), Duration>,
    truths: BTreeMap<u64, Truth>,
    numbers: BTreeMap<(Origin, Id), u64>,
}

fn entry_name(index: usize) -> Name {
    Name::from(format!("entry-{index}").as_str())
}

fn agent_name(index: usize) -> Name {
    Name::from(format!("agent-{index}").as_str())
}

fn version(agent: usize) -> &'static str {
    if agent == 0 { "v1" } else { "v2" }
}

/// A piece of the one right answer to a call.
fn piece(call: u64, position: u64, size: usize, version: &str, streamed: bool) -> Data {
    let mut bytes = format!("{call}:{position}:{version};").into_bytes();
    bytes.resize(bytes.len().max(size), b'.');
    Data {
        tokens: u32::from(streamed),
        bytes: Bytes::from(bytes),
    }
}

fn new_entry(index: usize, incarnation: u64) -> EntryHost {
    let origin = Origin::of(&entry_name(index), incarnation);
    EntryHost {
        entry: Entry::open(origin),
        origin,
        incarnation,
        paused_until: Duration::ZERO,
    }
}

fn new_agent(index: usize, incarnation: u64) -> AgentHost {
    let mut agent = Agent::open(agent::Limit {
        service: "s".into(),
        concurrency: 4,
        waiting: 4,
    });
    let confirmed = Confirmed {
        model: "m".into(),
        version: version(index).into(),
    };
    agent.handle(
        Duration::ZERO,
        agent::Event::Confirmed(Some(vec![confirmed])),
    );
    AgentHost {
        agent,
        incarnation,
        paused_until: Duration::ZERO,
        backend: BTreeMap::new(),
    }
}

impl World {
    pub(crate) fn open(seed: u64, chaos: Chaos) -> World {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            chaos,
            now: Duration::from_secs(1),
            entries: (0..ENTRIES).map(|index| new_entry(index, 1)).collect(),
            agents: (0..AGENTS).map(|index| new_agent(index, 1)).collect(),
            wires: Vec::new(),
            next_link: 1,
            redial: BTreeMap::new(),
            truths: BTreeMap::new(),
            numbers: BTreeMap::new(),
        }
    }

    pub(crate) fn begun(&self) -> usize {
        self.truths.len()
    }

    pub(crate) fn answered(&self) -> usize {
        self.truths.values().filter(|truth| truth.ended > 0).count()
    }

    pub(crate) fn pretend_another_run(&mut self) {
        let mut truths = self.truths.values_mut();
        if let Some(truth) = truths.find(|truth| truth.at_most_once && truth.runs == 1) {
            truth.runs += 1;
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    fn below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end)
    }

    pub(crate) fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            if self.chance(300) {
                self.begin();
            }
            self.trouble();
        }
    }

    /// Lets everything come to rest without further trouble.
    pub(crate) fn settle(&mut self, time: Duration) {
        self.chaos = Chaos::none();
        let until = self.now + time;
        while self.now < until && !self.is_at_rest() {
            self.step();
        }
    }

    fn is_at_rest(&self) -> bool {
        let quiet = |wire: &Wire| wire.to_agent.is_empty() && wire.to_entry.is_empty();
        let idle = |host: &AgentHost| {
            host.agent.running() + host.agent.waiting() + host.backend.len() == 0
        };
        self.entries.iter().all(|host| host.entry.is_empty())
            && self.agents.iter().all(idle)
            && self.wires.iter().all(quiet)
    }

    fn step(&mut self) {
        let step = Duration::from_millis(1 + self.below(60));
        self.now += step;
        self.connect();
        self.part();
        for _ in 0..self.below(24) {
            self.deliver();
        }
        for agent in 0..AGENTS {
            self.work(agent);
        }
        self.take();
        for index in 0..ENTRIES {
            self.entry(index, entry::Event::Tick);
        }
        for index in 0..AGENTS {
            self.agent(index, agent::Event::Tick);
        }
    }

    fn connect(&mut self) {
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                let at = self
                    .redial
                    .get(&(entry, agent))
                    .copied()
                    .unwrap_or_default();
                let up =
                    |wire: &Wire| wire.entry == entry && wire.agent == agent && wire.entry_knows;
                let paused = self.entry_paused(entry) || self.agent_paused(agent);
                if paused || at > self.now || self.wires.iter().any(up) {
                    continue;
                }
                self.open_wire(entry, agent);
            }
        }
    }

    fn open_wire(&mut self, entry: usize, agent: usize) {
        let id = Link(self.next_link);
        self.next_link += 1;
        self.wires.push(Wire {
            id,
            entry,
            agent,
            dead: false,
            held: Duration::ZERO,
            entry_down: None,
            agent_down: None,
            entry_knows: true,
            agent_knows: true,
            to_agent: VecDeque::new(),
            to_entry: VecDeque::new(),
        });
        let origin = self.entries[entry].origin;
        self.agent(agent, agent::Event::Up(id, origin));
        let incarnation = self.agents[agent].incarnation;
        self.entry(entry, entry::Event::Up(id, agent_name(agent), incarnation));
    }

    /// Tells the ends of links that it is over.
    fn part(&mut self) {
        for index in 0..self.wires.len() {
            let wire = &mut self.wires[index];
            let (id, entry, agent) = (wire.id, wire.entry, wire.agent);
            let due = |at: Option<Duration>| at.is_some_and(|at| at <= self.now);
            let entry_due = wire.entry_knows && due(wire.entry_down);
            let agent_due = wire.agent_knows && due(wire.agent_down);
            if entry_due && !self.entry_paused(entry) {
                self.wires[index].entry_knows = false;
                self.wires[index].to_entry.clear();
                let again = self.now + Duration::from_millis(self.below(400));
                self.redial.insert((entry, agent), again);
                self.entry(entry, entry::Event::Down(id));
            }
            if agent_due && !self.agent_paused(agent) {
                self.wires[index].agent_knows = false;
                self.wires[index].to_agent.clear();
                self.agent(agent, agent::Event::Down(id));
            }
        }
        self.wires
            .retain(|wire| wire.entry_knows || wire.agent_knows);
    }

    fn deliver(&mut self) {
        let ready: Vec<(usize, bool)> = self
            .wires
            .iter()
            .enumerate()
            .filter(|(_, wire)| wire.held <= self.now)
            .flat_map(|(index, wire)| [(index, true, wire), (index, false, wire)])
            .filter(|(_, down, wire)| match down {
                true => wire.agent_knows && !wire.to_agent.is_empty(),
                false => wire.entry_knows && !wire.to_entry.is_empty(),
            })
            .filter(|(_, down, wire)| match down {
                true => !self.agent_paused(wire.agent),
                false => !self.entry_paused(wire.entry),
            })
            .map(|(index, down, _)| (index, down))
            .collect();
        if ready.is_empty() {
            return;
        }
        let (index, down) = ready[self.below(ready.len() as u64) as usize];
        let (reorder, duplicate, drop) = (
            self.chance(self.chaos.reorders),
            self.chance(self.chaos.duplicates),
            self.chance(self.chaos.drops),
        );
        let at = self.below(8);
        let wire = &mut self.wires[index];
        let queue = match down {
            true => &mut wire.to_agent,
            false => &mut wire.to_entry,
        };
        let at = if reorder {
            at as usize % queue.len()
        } else {
            0
        };
        let Some(message) = queue.remove(at) else {
            return;
        };
        if duplicate {
            queue.push_back(message.clone());
        }
        let (id, entry, agent) = (wire.id, wire.entry, wire.agent);
        match down {
            _ if drop => {}
            true => self.agent(agent, agent::Event::Message(id, message)),
            false => self.entry(entry, entry::Event::Message(id, message)),
        }
    }

    fn begin(&mut self) {
        let index = self.below(ENTRIES as u64) as usize;
        if self.entry_paused(index) {
            return;
        }
        let call = self.truths.len() as u64;
        let streamed = self.chance(500);
        let truth = Truth {
            at_most_once: self.chance(400),
            streamed,
            end: 1 + self.below(12),
            size: if self.chance(200) { 40_000 } else { 10 },
            runs: 0,
            answer: Vec::new(),
            taken: 0,
            ended: 0,
            failures: Vec::new(),
            forsaken: false,
        };
        let request = Request {
            service: "s".into(),
            body: Bytes::from(call.to_string()),
            model: Some("m".into()),
            stream: streamed,
            at_most_once: truth.at_most_once,
            priority: self.below(10) as u8,
            ..Request::default()
        };
        self.truths.insert(call, truth);
        let deadline = self.now + Duration::from_millis(500 + self.below(20_000));
        let host = &mut self.entries[index];
        let number = host.entry.next_id();
        self.numbers.insert((host.origin, number), call);
        let event = entry::Event::Begin(number, Arc::new(request), deadline);
        self.entry(index, event);
    }

    fn trouble(&mut self) {
        let chaos = self.chaos;
        if self.chance(chaos.breaks) {
            self.cut(false);
        }
        if self.chance(chaos.silences) {
            self.cut(true);
        }
        if self.chance(chaos.agent_restarts) {
            let index = self.below(AGENTS as u64) as usize;
            let incarnation = self.agents[index].incarnation + 1;
            self.agents[index] = new_agent(index, incarnation);
            self.lose_host(|wire| wire.agent == index, true);
        }
        if self.chance(chaos.entry_restarts) {
            let index = self.below(ENTRIES as u64) as usize;
            let old = self.entries[index].origin;
            for ((origin, _), call) in &self.numbers {
                if *origin == old
                    && let Some(truth) = self.truths.get_mut(call)
                {
                    truth.forsaken = true;
                }
            }
            self.entries[index] = new_entry(index, self.entries[index].incarnation + 1);
            self.lose_host(|wire| wire.entry == index, false);
        }
        if self.chance(chaos.pauses) {
            let until = self.now + Duration::from_millis(self.below(8000));
            match self.chance(500) {
                true => {
                    let index = self.below(ENTRIES as u64) as usize;
                    self.entries[index].paused_until = until;
                }
                false => {
                    let index = self.below(AGENTS as u64) as usize;
                    self.agents[index].paused_until = until;
                }
            }
        }
        if self.chance(chaos.leaves) {
            let index = self.below(AGENTS as u64) as usize;
            self.agent(index, agent::Event::Leave);
        }
        if self.chance(chaos.gone) && !self.numbers.is_empty() {
            let at = self.below(self.numbers.len() as u64) as usize;
            let found = self.numbers.iter().nth(at).map(|(key, call)| (*key, *call));
            if let Some(((origin, number), call)) = found {
                self.truths
                    .entry(call)
                    .and_modify(|truth| truth.forsaken = true);
                let host = self.entries.iter().position(|host| host.origin == origin);
                if let Some(index) = host {
                    self.entry(index, entry::Event::Abandoned(number));
                }
            }
        }
    }

    /// Ends one link: at once, or silently with what is under way still
    /// arriving.
    fn cut(&mut self, silent: bool) {
        if self.wires.is_empty() {
            return;
        }
        let index = self.below(self.wires.len() as u64) as usize;
        let base = if silent { SILENCE_MS } else { 0 };
        let entry_down = self.now + Duration::from_millis(base + self.below(800));
        // Each end notices on its own; the agent's may be much later.
        let later = if silent { 4000 } else { 800 };
        let agent_down = self.now + Duration::from_millis(base + self.below(later));
        // What is under way on a silent link may come after the next link is up.
        let held = match silent {
            true => self.now + Duration::from_millis(self.below(SILENCE_MS + 4000)),
            false => self.now,
        };
        let keep = if silent { u64::MAX } else { self.below(4) };
        let wire = &mut self.wires[index];
        if wire.dead {
            return;
        }
        wire.dead = true;
        wire.held = held;
        wire.entry_down = Some(entry_down);
        wire.agent_down = Some(agent_down);
        wire.to_agent.truncate(keep as usize);
        wire.to_entry.truncate(keep as usize);
    }

    /// One end of some links is gone with its process.
    fn lose_host(&mut self, lost: impl Fn(&Wire) -> bool, is_agent: bool) {
        let later = self.now + Duration::from_millis(self.below(300));
        for wire in self.wires.iter_mut().filter(|wire| lost(wire)) {
            wire.dead = true;
            wire.entry_down = Some(later);
            wire.agent_down = Some(later);
            match is_agent {
                true => wire.agent_knows = false,
                false => wire.entry_knows = false,
            }
        }
        self.wires
            .retain(|wire| wire.entry_knows || wire.agent_knows);
    }

    fn entry_paused(&self, index: usize) -> bool {
        self.entries[index].paused_until > self.now
    }

    fn agent_paused(&self, index: usize) -> bool {
        self.agents[index].paused_until > self.now
    }

    /// Callers take what has come.
    fn take(&mut self) {
        let known: Vec<((Origin, Id), u64)> = self
            .numbers
            .iter()
            .map(|(key, call)| (*key, *call))
            .collect();
        for ((origin, number), call) in known {
            let Some(truth) = self.truths.get_mut(&call) else {
                continue;
            };
            let bytes: usize = truth.answer.iter().map(|data| data.bytes.len()).sum();
            let fresh = bytes.saturating_sub(truth.taken);
            if fresh == 0 || self.rng.random_range(0..3) == 0 {
                continue;
            }
            let host = self.entries.iter().position(|host| host.origin == origin);
            let paused = |index: &usize| self.entries[*index].paused_until > self.now;
            if let Some(index) = host.filter(|index| !paused(index)) {
                truth.taken = bytes;
                self.entry(index, entry::Event::Consumed(number, fresh as u64));
            }
        }
    }

    fn entry(&mut self, index: usize, event: entry::Event) {
        if self.entry_paused(index) {
            return;
        }
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let host = &mut self.entries[index];
            let origin = host.origin;
            for action in host.entry.handle(self.now, event) {
                if let Some(event) = self.entry_action(index, origin, action) {
                    events.push_back(event);
                }
            }
        }
    }

    fn entry_action(
        &mut self,
        index: usize,
        origin: Origin,
        action: entry::Action,
    ) -> Option<entry::Event> {
        match action {
            entry::Action::Send(link, message) => {
                let wire = self.wires.iter_mut().find(|wire| wire.id == link)?;
                match (wire.dead, &message) {
                    (true, _) => {}
                    (false, _) => wire.to_agent.push_back(message),
                }
                None
            }
            entry::Action::Route { call, avoid, .. } => {
                let entry = &self.entries[index].entry;
                let hosts: Vec<Name> = (0..AGENTS)
                    .map(agent_name)
                    .filter(|host| entry.reaches(host) && !avoid.contains(host))
                    .collect();
                Some(match hosts.len() {
                    0 => entry::Event::Unrouted(call, Kind::NoBackend, 0),
                    count => {
                        let at = self.below(count as u64) as usize;
                        entry::Event::Routed(call, hosts[at].clone())
                    }
                })
            }
            entry::Action::Head(..) | entry::Action::Settled(..) => None,
            entry::Action::Data(number, data) => {
                self.truth(origin, number).answer.push(data);
                None
            }
            entry::Action::Reset(number) => {
                let truth = self.truth(origin, number);
                truth.answer.clear();
                truth.taken = 0;
                None
            }
            entry::Action::End(number) => {
                self.truth(origin, number).ended += 1;
                None
            }
            entry::Action::Fail(number, failure) => {
                self.truth(origin, number).failures.push(failure);
                None
            }
        }
    }

    fn truth(&mut self, origin: Origin, number: Id) -> &mut Truth {
        let call = self.numbers[&(origin, number)];
        self.truths
            .get_mut(&call)
            .expect("every call has its truth")
    }

    fn agent(&mut self, index: usize, event: agent::Event) {
        if self.agent_paused(index) {
            return;
        }
        for action in self.agents[index].agent.handle(self.now, event) {
            self.agent_action(index, action);
        }
    }

    fn agent_action(&mut self, index: usize, action: agent::Action) {
        let backend = &mut self.agents[index].backend;
        match action {
            agent::Action::Send(link, message) => {
                let wire = self.wires.iter_mut().find(|wire| wire.id == link);
                if let Some(wire) = wire
                    && !wire.dead
                {
                    wire.to_entry.push_back(message);
                }
            }
            agent::Action::Run(start) => self.run_job(index, &start),
            agent::Action::Stop(attempt) => {
                if let Some(job) = backend.get_mut(&attempt) {
                    job.stopping = true;
                }
            }
            agent::Action::Pause(attempt) => {
                if let Some(job) = backend.get_mut(&attempt) {
                    job.paused = true;
                }
            }
            agent::Action::Resume(attempt) => {
                if let Some(job) = backend.get_mut(&attempt) {
                    job.paused = false;
                }
            }
        }
    }

    fn run_job(&mut self, index: usize, start: &Start) {
        let text = std::str::from_utf8(&start.request.body).expect("a number");
        let call: u64 = text.parse().expect("a number");
        let attempt = start.attempt;
        if self.chance(self.chaos.failures) {
            let failed = agent::Event::Failed(attempt, Fault::Broken, Executed::No);
            self.agent(index, failed);
            return;
        }
        let truth = self
            .truths
            .get_mut(&call)
            .expect("every call has its truth");
        truth.runs += 1;
        let job = Job {
            call,
            position: start.resume_from,
            end: truth.end,
            headed: false,
            paused: false,
            stopping: false,
        };
        self.agents[index].backend.insert(attempt, job);
    }

    /// Backend servers go on, also while their agent is paused.
    fn work(&mut self, index: usize) {
        if self.agent_paused(index) {
            return;
        }
        let attempts: Vec<Attempt> = self.agents[index].backend.keys().copied().collect();
        for attempt in attempts {
            if self.chance(500) {
                let event = self.advance(index, attempt);
                if let Some(event) = event {
                    self.agent(index, event);
                }
            }
        }
    }

    fn advance(&mut self, index: usize, attempt: Attempt) -> Option<agent::Event> {
        let fails = self.chance(self.chaos.failures);
        let host = &mut self.agents[index];
        let job = host.backend.get_mut(&attempt)?;
        let truth = &self.truths[&job.call];
        let event = match job {
            job if job.stopping || fails => {
                let fault = if fails {
                    Fault::Broken
                } else {
                    Fault::Cancelled
                };
                agent::Event::Failed(attempt, fault, Executed::Yes)
            }
            job if !job.headed => {
                job.headed = true;
                let head = Head {
                    status: 200,
                    headers: Vec::new(),
                    version: Some(version(index).into()),
                };
                return Some(agent::Event::Head(attempt, head));
            }
            job if job.paused => return None,
            job if job.position < job.end => {
                let streamed = truth.streamed;
                let data = piece(job.call, job.position, truth.size, version(index), streamed);
                job.position += 1;
                return Some(agent::Event::Data(attempt, data));
            }
            _ => agent::Event::End(attempt),
        };
        host.backend.remove(&attempt);
        Some(event)
    }

    /// Whether every promise was kept.
    pub(crate) fn verdict(&self) -> Result<(), String> {
        for (call, truth) in &self.truths {
            judge(*call, truth)?;
        }
        for host in &self.entries {
            if !host.entry.is_empty() {
                return Err(format!("{} calls never end", host.entry.len()));
            }
        }
        for host in &self.agents {
            let left = host.agent.running() + host.agent.waiting() + host.backend.len();
            if left > 0 {
                return Err(format!("{left} attempts never end at an agent"));
            }
        }
        Ok(())
    }
}

fn judge(call: u64, truth: &Truth) -> Result<(), String> {
    let verdicts = truth.ended as usize + truth.failures.len();
    let not_run = truth
        .failures
        .iter()
        .any(|failure| failure.executed == Executed::No);
    let whole = ["v1", "v2"].iter().any(|version| {
        let right = (0..truth.end)
            .map(|position| piece(call, position, truth.size, version, truth.streamed));
        right.eq(truth.answer.iter().cloned())
    });
    match truth {
        truth if truth.at_most_once && truth.runs > 1 => Err(format!(
            "call {call} may run once and ran {} times",
            truth.runs
        )),
        truth if not_run && truth.runs > 0 => {
            Err(format!("call {call} was refused as not run and ran"))
        }
        truth if truth.ended > 0 && truth.runs == 0 => {
            Err(format!("call {call} was answered and never ran"))
        }
        truth if truth.ended > 0 && !whole => {
            Err(format!("call {call} was answered wrongly or in part"))
        }
        _ if verdicts > 1 => Err(format!("call {call} was answered {verdicts} times")),
        truth if verdicts == 0 && !truth.forsaken => Err(format!("call {call} was never answered")),
        _ => Ok(()),
    }
}
