//! A seeded simulation of entries, agents, backend servers and the links
//! between them, with injected faults.

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
/// How long a link may be silent before either end closes it.
const SILENCE_TIMEOUT_MS: u64 = 2250;

/// The rate of each fault, per thousand steps or messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) closed_links: u32,
    pub(crate) silent_links: u32,
    pub(crate) duplicates: u32,
    pub(crate) reorders: u32,
    pub(crate) drops: u32,
    pub(crate) agent_restarts: u32,
    pub(crate) entry_restarts: u32,
    pub(crate) pauses: u32,
    pub(crate) shutdowns: u32,
    pub(crate) abandonments: u32,
    pub(crate) failures: u32,
}

impl Faults {
    pub(crate) const fn none() -> Faults {
        Faults {
            closed_links: 0,
            silent_links: 0,
            duplicates: 0,
            reorders: 0,
            drops: 0,
            agent_restarts: 0,
            entry_restarts: 0,
            pauses: 0,
            shutdowns: 0,
            abandonments: 0,
            failures: 0,
        }
    }

    pub(crate) const fn all() -> Faults {
        Faults {
            closed_links: 5,
            silent_links: 5,
            duplicates: 30,
            reorders: 30,
            drops: 20,
            agent_restarts: 2,
            entry_restarts: 2,
            pauses: 5,
            shutdowns: 1,
            abandonments: 5,
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

/// An attempt that is running at a backend server.
struct Job {
    call: u64,
    position: u64,
    end: u64,
    head_sent: bool,
    paused: bool,
    stopping: bool,
}

/// One link, with the messages in flight in each direction.
struct Connection {
    id: Link,
    entry: usize,
    agent: usize,
    /// Messages that are sent from now on are lost.
    closed: bool,
    /// Messages in flight are not delivered before this time.
    held_until: Duration,
    entry_closes_at: Option<Duration>,
    agent_closes_at: Option<Duration>,
    entry_open: bool,
    agent_open: bool,
    to_agent: VecDeque<Message>,
    to_entry: VecDeque<Message>,
}

/// The expected answer of a call, and what has been observed of it.
struct CallModel {
    at_most_once: bool,
    streamed: bool,
    end: u64,
    part_bytes: usize,
    runs: u32,
    answer: Vec<Data>,
    consumed: usize,
    completions: u32,
    failures: Vec<Failure>,
    /// Nobody waits for the answer.
    abandoned: bool,
}

pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    faults: Faults,
    now: Duration,
    entries: Vec<EntryHost>,
    agents: Vec<AgentHost>,
    connections: Vec<Connection>,
    next_link: u64,
    reconnect_at: BTreeMap<(usize, usize), Duration>,
    models: BTreeMap<u64, CallModel>,
    ids: BTreeMap<(Origin, Id), u64>,
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

/// A data part of the only correct answer to a call.
fn expected_part(
    call: u64,
    position: u64,
    part_bytes: usize,
    version: &str,
    streamed: bool,
) -> Data {
    let mut bytes = format!("{call}:{position}:{version};").into_bytes();
    bytes.resize(bytes.len().max(part_bytes), b'.');
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

impl Simulation {
    pub(crate) fn open(seed: u64, faults: Faults) -> Simulation {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            now: Duration::from_secs(1),
            entries: (0..ENTRIES).map(|index| new_entry(index, 1)).collect(),
            agents: (0..AGENTS).map(|index| new_agent(index, 1)).collect(),
            connections: Vec::new(),
            next_link: 1,
            reconnect_at: BTreeMap::new(),
            models: BTreeMap::new(),
            ids: BTreeMap::new(),
        }
    }

    pub(crate) fn started_calls(&self) -> usize {
        self.models.len()
    }

    pub(crate) fn answered_calls(&self) -> usize {
        self.models
            .values()
            .filter(|model| model.completions > 0)
            .count()
    }

    pub(crate) fn record_extra_run(&mut self) {
        let mut models = self.models.values_mut();
        if let Some(model) = models.find(|model| model.at_most_once && model.runs == 1) {
            model.runs += 1;
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    fn random_below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end)
    }

    pub(crate) fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            if self.chance(300) {
                self.start_call();
            }
            self.inject_faults();
        }
    }

    /// Runs without further faults until no work is left, for at most `time`.
    pub(crate) fn run_until_idle(&mut self, time: Duration) {
        self.faults = Faults::none();
        let until = self.now + time;
        while self.now < until && !self.is_idle() {
            self.step();
        }
    }

    fn is_idle(&self) -> bool {
        let drained = |connection: &Connection| {
            connection.to_agent.is_empty() && connection.to_entry.is_empty()
        };
        let idle = |host: &AgentHost| {
            host.agent.running() + host.agent.waiting() + host.backend.len() == 0
        };
        self.entries.iter().all(|host| host.entry.is_empty())
            && self.agents.iter().all(idle)
            && self.connections.iter().all(drained)
    }

    fn step(&mut self) {
        let step = Duration::from_millis(1 + self.random_below(60));
        self.now += step;
        self.connect();
        self.notify_closed();
        for _ in 0..self.random_below(24) {
            self.deliver();
        }
        for agent in 0..AGENTS {
            self.run_backend(agent);
        }
        self.consume();
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
                    .reconnect_at
                    .get(&(entry, agent))
                    .copied()
                    .unwrap_or_default();
                let connected = |connection: &Connection| {
                    connection.entry == entry && connection.agent == agent && connection.entry_open
                };
                let paused = self.entry_paused(entry) || self.agent_paused(agent);
                if paused || at > self.now || self.connections.iter().any(connected) {
                    continue;
                }
                self.open_connection(entry, agent);
            }
        }
    }

    fn open_connection(&mut self, entry: usize, agent: usize) {
        let id = Link(self.next_link);
        self.next_link += 1;
        self.connections.push(Connection {
            id,
            entry,
            agent,
            closed: false,
            held_until: Duration::ZERO,
            entry_closes_at: None,
            agent_closes_at: None,
            entry_open: true,
            agent_open: true,
            to_agent: VecDeque::new(),
            to_entry: VecDeque::new(),
        });
        let origin = self.entries[entry].origin;
        self.agent(agent, agent::Event::Up(id, origin));
        let incarnation = self.agents[agent].incarnation;
        self.entry(entry, entry::Event::Up(id, agent_name(agent), incarnation));
    }

    /// Reports closed links to their ends once the time for it has come.
    fn notify_closed(&mut self) {
        for index in 0..self.connections.len() {
            let connection = &mut self.connections[index];
            let (id, entry, agent) = (connection.id, connection.entry, connection.agent);
            let due = |at: Option<Duration>| at.is_some_and(|at| at <= self.now);
            let entry_due = connection.entry_open && due(connection.entry_closes_at);
            let agent_due = connection.agent_open && due(connection.agent_closes_at);
            if entry_due && !self.entry_paused(entry) {
                self.connections[index].entry_open = false;
                self.connections[index].to_entry.clear();
                let reconnect_at = self.now + Duration::from_millis(self.random_below(400));
                self.reconnect_at.insert((entry, agent), reconnect_at);
                self.entry(entry, entry::Event::Down(id));
            }
            if agent_due && !self.agent_paused(agent) {
                self.connections[index].agent_open = false;
                self.connections[index].to_agent.clear();
                self.agent(agent, agent::Event::Down(id));
            }
        }
        self.connections
            .retain(|connection| connection.entry_open || connection.agent_open);
    }

    fn deliver(&mut self) {
        let ready: Vec<(usize, bool)> = self
            .connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.held_until <= self.now)
            .flat_map(|(index, connection)| [(index, true, connection), (index, false, connection)])
            .filter(|(_, for_agent, connection)| match for_agent {
                true => connection.agent_open && !connection.to_agent.is_empty(),
                false => connection.entry_open && !connection.to_entry.is_empty(),
            })
            .filter(|(_, for_agent, connection)| match for_agent {
                true => !self.agent_paused(connection.agent),
                false => !self.entry_paused(connection.entry),
            })
            .map(|(index, for_agent, _)| (index, for_agent))
            .collect();
        if ready.is_empty() {
            return;
        }
        let (index, for_agent) = ready[self.random_below(ready.len() as u64) as usize];
        let (reorder, duplicate, drop) = (
            self.chance(self.faults.reorders),
            self.chance(self.faults.duplicates),
            self.chance(self.faults.drops),
        );
        let at = self.random_below(8);
        let connection = &mut self.connections[index];
        let queue = match for_agent {
            true => &mut connection.to_agent,
            false => &mut connection.to_entry,
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
        let (id, entry, agent) = (connection.id, connection.entry, connection.agent);
        match for_agent {
            _ if drop => {}
            true => self.agent(agent, agent::Event::Message(id, message)),
            false => self.entry(entry, entry::Event::Message(id, message)),
        }
    }

    fn start_call(&mut self) {
        let index = self.random_below(ENTRIES as u64) as usize;
        if self.entry_paused(index) {
            return;
        }
        let call = self.models.len() as u64;
        let streamed = self.chance(500);
        let model = CallModel {
            at_most_once: self.chance(400),
            streamed,
            end: 1 + self.random_below(12),
            part_bytes: if self.chance(200) { 40_000 } else { 10 },
            runs: 0,
            answer: Vec::new(),
            consumed: 0,
            completions: 0,
            failures: Vec::new(),
            abandoned: false,
        };
        let request = Request {
            service: "s".into(),
            body: Bytes::from(call.to_string()),
            model: Some("m".into()),
            stream: streamed,
            at_most_once: model.at_most_once,
            priority: self.random_below(10) as u8,
            ..Request::default()
        };
        self.models.insert(call, model);
        let deadline = self.now + Duration::from_millis(500 + self.random_below(20_000));
        let host = &mut self.entries[index];
        let id = host.entry.next_id();
        self.ids.insert((host.origin, id), call);
        let event = entry::Event::Begin(id, Arc::new(request), deadline);
        self.entry(index, event);
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.closed_links) {
            self.close_link(false);
        }
        if self.chance(faults.silent_links) {
            self.close_link(true);
        }
        if self.chance(faults.agent_restarts) {
            let index = self.random_below(AGENTS as u64) as usize;
            let incarnation = self.agents[index].incarnation + 1;
            self.agents[index] = new_agent(index, incarnation);
            self.disconnect_host(|connection| connection.agent == index, true);
        }
        if self.chance(faults.entry_restarts) {
            let index = self.random_below(ENTRIES as u64) as usize;
            let old_origin = self.entries[index].origin;
            for ((origin, _), call) in &self.ids {
                if *origin == old_origin
                    && let Some(model) = self.models.get_mut(call)
                {
                    model.abandoned = true;
                }
            }
            self.entries[index] = new_entry(index, self.entries[index].incarnation + 1);
            self.disconnect_host(|connection| connection.entry == index, false);
        }
        if self.chance(faults.pauses) {
            let until = self.now + Duration::from_millis(self.random_below(8000));
            match self.chance(500) {
                true => {
                    let index = self.random_below(ENTRIES as u64) as usize;
                    self.entries[index].paused_until = until;
                }
                false => {
                    let index = self.random_below(AGENTS as u64) as usize;
                    self.agents[index].paused_until = until;
                }
            }
        }
        if self.chance(faults.shutdowns) {
            let index = self.random_below(AGENTS as u64) as usize;
            self.agent(index, agent::Event::Leave);
        }
        if self.chance(faults.abandonments) && !self.ids.is_empty() {
            let at = self.random_below(self.ids.len() as u64) as usize;
            let picked = self.ids.iter().nth(at).map(|(key, call)| (*key, *call));
            if let Some(((origin, id), call)) = picked {
                self.models
                    .entry(call)
                    .and_modify(|model| model.abandoned = true);
                let host = self.entries.iter().position(|host| host.origin == origin);
                if let Some(index) = host {
                    self.entry(index, entry::Event::Abandoned(id));
                }
            }
        }
    }

    /// Closes one link: immediately, losing most messages in flight, or by
    /// silence, with the messages in flight still arriving.
    fn close_link(&mut self, silent: bool) {
        if self.connections.is_empty() {
            return;
        }
        let index = self.random_below(self.connections.len() as u64) as usize;
        let base_ms = if silent { SILENCE_TIMEOUT_MS } else { 0 };
        let entry_closes_at = self.now + Duration::from_millis(base_ms + self.random_below(800));
        // Each end detects it independently, the agent possibly much later.
        let latest_ms = if silent { 4000 } else { 800 };
        let agent_closes_at =
            self.now + Duration::from_millis(base_ms + self.random_below(latest_ms));
        // Messages in flight on a silent link may arrive after the next link
        // is open.
        let held_until = match silent {
            true => self.now + Duration::from_millis(self.random_below(SILENCE_TIMEOUT_MS + 4000)),
            false => self.now,
        };
        let kept_messages = if silent {
            u64::MAX
        } else {
            self.random_below(4)
        };
        let connection = &mut self.connections[index];
        if connection.closed {
            return;
        }
        connection.closed = true;
        connection.held_until = held_until;
        connection.entry_closes_at = Some(entry_closes_at);
        connection.agent_closes_at = Some(agent_closes_at);
        connection.to_agent.truncate(kept_messages as usize);
        connection.to_entry.truncate(kept_messages as usize);
    }

    /// Closes the links of a process that has restarted.
    fn disconnect_host(&mut self, affected: impl Fn(&Connection) -> bool, is_agent: bool) {
        let closes_at = self.now + Duration::from_millis(self.random_below(300));
        for connection in self
            .connections
            .iter_mut()
            .filter(|connection| affected(connection))
        {
            connection.closed = true;
            connection.entry_closes_at = Some(closes_at);
            connection.agent_closes_at = Some(closes_at);
            match is_agent {
                true => connection.agent_open = false,
                false => connection.entry_open = false,
            }
        }
        self.connections
            .retain(|connection| connection.entry_open || connection.agent_open);
    }

    fn entry_paused(&self, index: usize) -> bool {
        self.entries[index].paused_until > self.now
    }

    fn agent_paused(&self, index: usize) -> bool {
        self.agents[index].paused_until > self.now
    }

    /// Lets callers read the data that has arrived.
    fn consume(&mut self) {
        let calls: Vec<((Origin, Id), u64)> =
            self.ids.iter().map(|(key, call)| (*key, *call)).collect();
        for ((origin, id), call) in calls {
            let Some(model) = self.models.get_mut(&call) else {
                continue;
            };
            let bytes: usize = model.answer.iter().map(|data| data.bytes.len()).sum();
            let unread_bytes = bytes.saturating_sub(model.consumed);
            if unread_bytes == 0 || self.rng.random_range(0..3) == 0 {
                continue;
            }
            let host = self.entries.iter().position(|host| host.origin == origin);
            let paused = |index: &usize| self.entries[*index].paused_until > self.now;
            if let Some(index) = host.filter(|index| !paused(index)) {
                model.consumed = bytes;
                self.entry(index, entry::Event::Consumed(id, unread_bytes as u64));
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
                let connection = self
                    .connections
                    .iter_mut()
                    .find(|connection| connection.id == link)?;
                match (connection.closed, &message) {
                    (true, _) => {}
                    (false, _) => connection.to_agent.push_back(message),
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
                        let at = self.random_below(count as u64) as usize;
                        entry::Event::Routed(call, hosts[at].clone())
                    }
                })
            }
            entry::Action::Head(..) | entry::Action::Settled(..) => None,
            entry::Action::Data(id, data) => {
                self.model(origin, id).answer.push(data);
                None
            }
            entry::Action::Reset(id) => {
                let model = self.model(origin, id);
                model.answer.clear();
                model.consumed = 0;
                None
            }
            entry::Action::End(id) => {
                self.model(origin, id).completions += 1;
                None
            }
            entry::Action::Fail(id, failure) => {
                self.model(origin, id).failures.push(failure);
                None
            }
        }
    }

    fn model(&mut self, origin: Origin, id: Id) -> &mut CallModel {
        let call = self.ids[&(origin, id)];
        self.models.get_mut(&call).expect("every call has a model")
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
                let connection = self
                    .connections
                    .iter_mut()
                    .find(|connection| connection.id == link);
                if let Some(connection) = connection
                    && !connection.closed
                {
                    connection.to_entry.push_back(message);
                }
            }
            agent::Action::Run(start) => self.start_job(index, &start),
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

    fn start_job(&mut self, index: usize, start: &Start) {
        let text =
            std::str::from_utf8(&start.request.body).expect("the body is the number of the call");
        let call: u64 = text.parse().expect("the body is the number of the call");
        let attempt = start.attempt;
        if self.chance(self.faults.failures) {
            let failed = agent::Event::Failed(attempt, Fault::Broken, Executed::No);
            self.agent(index, failed);
            return;
        }
        let model = self.models.get_mut(&call).expect("every call has a model");
        model.runs += 1;
        let job = Job {
            call,
            position: start.resume_from,
            end: model.end,
            head_sent: false,
            paused: false,
            stopping: false,
        };
        self.agents[index].backend.insert(attempt, job);
    }

    /// Advances the calls at an agent's backend server, unless the agent is
    /// paused.
    fn run_backend(&mut self, index: usize) {
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
        let fails = self.chance(self.faults.failures);
        let host = &mut self.agents[index];
        let job = host.backend.get_mut(&attempt)?;
        let model = &self.models[&job.call];
        let event = match job {
            job if job.stopping || fails => {
                let fault = if fails {
                    Fault::Broken
                } else {
                    Fault::Cancelled
                };
                agent::Event::Failed(attempt, fault, Executed::Yes)
            }
            job if !job.head_sent => {
                job.head_sent = true;
                let head = Head {
                    status: 200,
                    headers: Vec::new(),
                    version: Some(version(index).into()),
                };
                return Some(agent::Event::Head(attempt, head));
            }
            job if job.paused => return None,
            job if job.position < job.end => {
                let streamed = model.streamed;
                let data = expected_part(
                    job.call,
                    job.position,
                    model.part_bytes,
                    version(index),
                    streamed,
                );
                job.position += 1;
                return Some(agent::Event::Data(attempt, data));
            }
            _ => agent::Event::End(attempt),
        };
        host.backend.remove(&attempt);
        Some(event)
    }

    /// Checks the guarantees of every call, and that nothing is left running.
    pub(crate) fn check(&self) -> Result<(), String> {
        for (call, model) in &self.models {
            check_call(*call, model)?;
        }
        for host in &self.entries {
            if !host.entry.is_empty() {
                return Err(format!(
                    "{} calls at an entry never ended",
                    host.entry.len()
                ));
            }
        }
        for host in &self.agents {
            let remaining = host.agent.running() + host.agent.waiting() + host.backend.len();
            if remaining > 0 {
                return Err(format!("{remaining} attempts at an agent never ended"));
            }
        }
        Ok(())
    }
}

fn check_call(call: u64, model: &CallModel) -> Result<(), String> {
    let results = model.completions as usize + model.failures.len();
    let not_run = model
        .failures
        .iter()
        .any(|failure| failure.executed == Executed::No);
    let complete = ["v1", "v2"].iter().any(|version| {
        let expected = (0..model.end).map(|position| {
            expected_part(call, position, model.part_bytes, version, model.streamed)
        });
        expected.eq(model.answer.iter().cloned())
    });
    match model {
        model if model.at_most_once && model.runs > 1 => Err(format!(
            "call {call} must run at most once but ran {} times",
            model.runs
        )),
        model if not_run && model.runs > 0 => {
            Err(format!("call {call} was reported as not executed but ran"))
        }
        model if model.completions > 0 && model.runs == 0 => {
            Err(format!("call {call} was answered but never ran"))
        }
        model if model.completions > 0 && !complete => Err(format!(
            "call {call} was given a wrong or incomplete answer"
        )),
        _ if results > 1 => Err(format!("call {call} ended {results} times")),
        model if results == 0 && !model.abandoned => Err(format!("call {call} never ended")),
        _ => Ok(()),
    }
}
