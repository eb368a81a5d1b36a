//! A small model of entry hosts before backend servers, for tests of policy:
//! every entry host has a limiter, a table and a retry budget; a backend server
//! runs a few calls at once, queues as many, and refuses the rest. Time is the
//! model's own.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::deadline::Deadline;
use snipewinch::document;
use snipewinch::host;
use snipewinch::limit::Action;
use snipewinch::limit::Arrival;
use snipewinch::limit::Limiter;
use snipewinch::limit::Sample;
use snipewinch::limit::demand;
use snipewinch::retry::Budget;
use snipewinch::routing::Event;
use snipewinch::routing::Key;
use snipewinch::routing::Outcome;
use snipewinch::routing::Request;
use snipewinch::routing::Status as Ended;
use snipewinch::routing::Table;
use snipewinch::wire::Summary;

const SERVICE: &str = "scribe";
const TICK: Duration = Duration::from_millis(50);
const REPORT: Duration = Duration::from_millis(750);
/// Stands for calls that arrive before counting begins.
pub(crate) const EARLY: &str = "(early)";
const ATTEMPTS_MAX: usize = 3;

/// What is modelled.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) hosts: usize,
    /// Calls that a host runs at once.
    pub(crate) capacity: usize,
    /// The mean time of a call; each takes half to one and a half times it.
    pub(crate) work: Duration,
    pub(crate) deadline: Duration,
    /// Each customer's calls a second over all entry hosts.
    pub(crate) customers: Vec<(document::Customer, f64)>,
    pub(crate) time: Duration,
    /// Only calls that arrive after this are counted.
    pub(crate) warm: Duration,
    /// Customers from this index on reach the first entry host only.
    pub(crate) at_one_entry: usize,
    /// Hosts that fail every call, by index.
    pub(crate) broken: Vec<usize>,
}

/// What came of one customer's calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) calls: u64,
    /// Answered before the deadline.
    pub(crate) good: u64,
    /// Answered too late: work that was in vain.
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
}

/// What came of all calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) customers: BTreeMap<String, Tally>,
    pub(crate) tries: u64,
    pub(crate) retries: u64,
    /// How long the answers in time took, in seconds.
    pub(crate) times: Vec<f64>,
    /// Seconds that were counted.
    pub(crate) seconds: f64,
}

impl Report {
    /// Answers in time, a second.
    pub(crate) fn goodput(&self) -> f64 {
        let counted = self.customers.iter().filter(|(name, _)| *name != EARLY);
        let good: u64 = counted.map(|(_, tally)| tally.good).sum();
        good as f64 / self.seconds
    }
}

impl Report {
    /// The time below which this part of the answers lies, in seconds.
    pub(crate) fn quantile(&self, part: f64) -> f64 {
        let mut times = self.times.clone();
        times.sort_by(f64::total_cmp);
        times[(part * times.len() as f64) as usize]
    }
}

/// A customer with nothing special.
pub(crate) fn customer(name: &str) -> document::Customer {
    document::Customer {
        name: name.into(),
        key: snipewinch::Digest::of(name.as_bytes()),
        share: document::DEFAULT_SHARE,
        requests_per_second: None,
        priority: 0,
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive { customer: usize },
    Finish { host: usize, call: u64 },
    Tick,
    Report,
    Gossip,
}

struct Call {
    customer: usize,
    entry: usize,
    arrived: Duration,
    sent: Duration,
    tried: Vec<Key>,
}

struct Entry {
    limiter: Limiter,
    table: Table,
    budget: Budget,
}

#[derive(Default)]
struct Host {
    running: usize,
    waiting: VecDeque<u64>,
}

struct Run {
    model: Model,
    random: ChaCha8Rng,
    now: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    sequence: u64,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    calls: HashMap<u64, Call>,
    report: Report,
}

impl Model {
    /// Calls a second that all hosts together can answer.
    pub(crate) fn capacity(&self) -> f64 {
        (self.hosts * self.capacity) as f64 / self.work.as_secs_f64()
    }

    pub(crate) fn run(&self) -> Report {
        let customers: Vec<document::Customer> = self
            .customers
            .iter()
            .map(|(known, _)| known.clone())
            .collect();
        let entries = (0..self.entries).map(|entry| self.entry(entry, &customers));
        let mut run = Run {
            model: self.clone(),
            random: ChaCha8Rng::seed_from_u64(self.seed),
            now: Duration::ZERO,
            steps: BinaryHeap::new(),
            sequence: 0,
            entries: entries.collect(),
            hosts: (0..self.hosts).map(|_| Host::default()).collect(),
            calls: HashMap::new(),
            report: Report::default(),
        };
        run.go();
        run.report
    }

    fn entry(&self, entry: usize, customers: &[document::Customer]) -> Entry {
        let mut limiter = Limiter::new(self.seed + entry as u64);
        limiter.configure(&document(customers));
        limiter.set_entry_count(self.entries);
        for other in (0..self.entries).filter(|&other| other != entry) {
            limiter.neighbour_up(name("entry", other));
        }
        let mut table = Table::new("zone-0".into(), "region-0".into());
        for host in 0..self.hosts {
            let peer = identity(host);
            table.handle(Duration::ZERO, Event::Up { peer: &peer });
        }
        Entry {
            limiter,
            table,
            budget: Budget::default(),
        }
    }
}

fn document(customers: &[document::Customer]) -> document::Document {
    let service = document::Service {
        name: SERVICE.into(),
        backend: document::Backend::Plain {
            prefix: "/scribe".into(),
        },
        zones: Vec::new(),
        repeat: document::Repeat::Allowed,
        concurrency: document::DEFAULT_CONCURRENCY,
        deadline_ms: document::DEFAULT_DEADLINE_MS,
    };
    document::Document {
        customers: customers.to_vec(),
        services: vec![service],
        ..document::Document::default()
    }
}

pub(crate) fn name(kind: &str, n: usize) -> host::Name {
    host::Name(format!("{kind}-{n}").into())
}

fn identity(n: usize) -> host::Identity {
    host::Identity {
        host: name("agent", n),
        incarnation: 1,
        role: host::Role::Agent,
        zone: "zone-0".into(),
        region: "region-0".into(),
        service: Some(SERVICE.into()),
        address: ([127, 0, 0, 1], 7000).into(),
    }
}

impl Run {
    fn go(&mut self) {
        for customer in 0..self.model.customers.len() {
            self.next_arrival(customer);
        }
        self.after(TICK, Step::Tick);
        self.after(REPORT, Step::Report);
        self.after(demand::GOSSIP_PERIOD, Step::Gossip);
        self.report.seconds = (self.model.time - self.model.warm).as_secs_f64();
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > self.model.time {
                break;
            }
            self.now = at;
            self.step(step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { customer } => self.arrive(customer),
            Step::Finish { host, call } => self.finish(host, call),
            Step::Tick => {
                for entry in 0..self.entries.len() {
                    let actions = self.entries[entry].limiter.tick(self.now);
                    self.act(actions);
                }
                self.after(TICK, Step::Tick);
            }
            Step::Report => self.tell_load(),
            Step::Gossip => self.gossip(),
        }
    }

    fn after(&mut self, wait: Duration, step: Step) {
        self.sequence += 1;
        let at = self.now + wait;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    fn next_arrival(&mut self, customer: usize) {
        let rate = self.model.customers[customer].1;
        let draw: f64 = self.random.random();
        let wait = Duration::from_secs_f64(-(1.0 - draw).ln() / rate);
        self.after(wait, Step::Arrive { customer });
    }

    fn arrive(&mut self, customer: usize) {
        self.next_arrival(customer);
        let ticket = self.sequence;
        let entry = match customer < self.model.at_one_entry {
            true => self.random.random_range(0..self.entries.len()),
            false => 0,
        };
        let call = Call {
            customer,
            entry,
            arrived: self.now,
            sent: self.now,
            tried: Vec::new(),
        };
        self.calls.insert(ticket, call);
        self.tally(ticket).calls += 1;
        let arrival = Arrival {
            ticket,
            service: SERVICE.into(),
            customer: self.model.customers[customer].0.name.clone(),
            cost: 1,
            deadline: Deadline::after(self.now, self.model.deadline),
        };
        let actions = self.entries[entry].limiter.arrive(self.now, arrival);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit { ticket } => {
                    let entry = self.calls[&ticket].entry;
                    self.entries[entry].budget.deposit();
                    self.report.tries += 1;
                    self.send(ticket);
                }
                Action::Refuse { ticket, .. } => {
                    self.tally(ticket).refused += 1;
                    self.calls.remove(&ticket);
                }
            }
        }
    }

    fn send(&mut self, ticket: u64) {
        let call = self.calls.get_mut(&ticket).unwrap();
        let left = (call.arrived + self.model.deadline).saturating_sub(self.now);
        let table = &mut self.entries[call.entry].table;
        let request = Request {
            tried: &call.tried,
            wait_max: Some(left.saturating_sub(self.model.work)),
            ..Request::new(SERVICE, ticket)
        };
        let Ok(key) = table.pick(self.now, &request) else {
            self.give_up(ticket, Sample::Ignored);
            return;
        };
        table.start(self.now, key, &[]);
        call.tried.push(key);
        call.sent = self.now;
        let host = table.host(key).unwrap().as_str()["agent-".len()..]
            .parse()
            .unwrap();
        self.deliver(host, ticket);
    }

    fn deliver(&mut self, host: usize, ticket: u64) {
        let capacity = self.model.capacity;
        match &mut self.hosts[host] {
            _ if self.model.broken.contains(&host) => {
                self.ended(ticket, Ended::Failure);
                self.again(ticket);
            }
            backend if backend.running < capacity => {
                backend.running += 1;
                self.begin(host, ticket);
            }
            backend if backend.waiting.len() < capacity => backend.waiting.push_back(ticket),
            _ => {
                self.ended(ticket, Ended::Refused(Duration::from_millis(200)));
                self.again(ticket);
            }
        }
    }

    fn begin(&mut self, host: usize, call: u64) {
        let part = 0.5 + self.random.random::<f64>();
        let work = self.model.work.mul_f64(part);
        self.after(work, Step::Finish { host, call });
    }

    fn again(&mut self, ticket: u64) {
        let call = &self.calls[&ticket];
        let may = call.tried.len() < ATTEMPTS_MAX && self.entries[call.entry].budget.withdraw();
        match may {
            true => {
                self.report.retries += 1;
                self.send(ticket);
            }
            false => self.give_up(ticket, Sample::Dropped),
        }
    }

    fn give_up(&mut self, ticket: u64, sample: Sample) {
        self.tally(ticket).failed += 1;
        let call = self.calls.remove(&ticket).unwrap();
        let limiter = &mut self.entries[call.entry].limiter;
        let actions = limiter.finish(self.now, ticket, sample);
        self.act(actions);
    }

    fn finish(&mut self, host: usize, ticket: u64) {
        self.hosts[host].running -= 1;
        if let Some(next) = self.hosts[host].waiting.pop_front() {
            self.hosts[host].running += 1;
            self.begin(host, next);
        }
        self.ended(ticket, Ended::Success);
        let late = self.now > self.calls[&ticket].arrived + self.model.deadline;
        if !late {
            let time = self.now - self.calls[&ticket].arrived;
            self.report.times.push(time.as_secs_f64());
        }
        let tally = self.tally(ticket);
        tally.good += u64::from(!late);
        tally.late += u64::from(late);
        let call = self.calls.remove(&ticket).unwrap();
        let sample = Sample::Answered(self.now - call.sent);
        let limiter = &mut self.entries[call.entry].limiter;
        let actions = limiter.finish(self.now, ticket, sample);
        self.act(actions);
    }

    fn ended(&mut self, ticket: u64, status: Ended) {
        let call = &self.calls[&ticket];
        let total = self.now - call.sent;
        let outcome = match status {
            Ended::Success => Outcome::success(total),
            other => Outcome::without_answer(other, total),
        };
        let key = *call.tried.last().unwrap();
        self.entries[call.entry].table.end(self.now, key, &outcome);
    }

    fn tell_load(&mut self) {
        for (n, host) in self.hosts.iter().enumerate() {
            let summary = Summary {
                running: host.running as u32,
                waiting: host.waiting.len() as u32,
                capacity: self.model.capacity as u32,
                ..Summary::default()
            };
            let host = name("agent", n);
            for entry in &mut self.entries {
                let event = Event::Summary {
                    host: &host,
                    summary: &summary,
                };
                entry.table.handle(self.now, event);
            }
        }
        for entry in &mut self.entries {
            let room = entry.table.capacity(self.now, SERVICE);
            entry.limiter.set_capacity(self.now, &SERVICE.into(), room);
        }
        self.after(REPORT, Step::Report);
    }

    fn gossip(&mut self) {
        for from in 0..self.entries.len() {
            for (to, message) in self.entries[from].limiter.gossip(self.now) {
                let to: usize = to.as_str()["entry-".len()..].parse().unwrap();
                self.entries[to]
                    .limiter
                    .receive(&name("entry", from), message);
            }
        }
        self.after(demand::GOSSIP_PERIOD, Step::Gossip);
    }

    /// Where a call is counted; what arrives early is counted nowhere.
    fn tally(&mut self, ticket: u64) -> &mut Tally {
        let call = &self.calls[&ticket];
        let name = match call.arrived < self.model.warm {
            true => EARLY,
            false => self.model.customers[call.customer].0.name.as_str(),
        };
        self.report.customers.entry(name.to_owned()).or_default()
    }
}
