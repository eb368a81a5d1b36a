//! A simulation of entry hosts and backend servers under load. Every entry host
//! has a limiter, a routing table and a retry budget. A backend server runs a
//! few calls at once, queues as many and refuses the rest. Time is simulated.

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
const TICK_PERIOD: Duration = Duration::from_millis(50);
const REPORT_PERIOD: Duration = Duration::from_millis(750);
/// The name under which calls are counted that arrive during the warm-up.
pub(crate) const WARM_UP: &str = "(early)";
const ATTEMPTS_MAX: usize = 3;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) hosts: usize,
    /// The number of calls that a host runs at once.
    pub(crate) capacity: usize,
    /// The mean service time; calls take from half to one and a half times it.
    pub(crate) service_time: Duration,
    pub(crate) deadline: Duration,
    /// Customers and their calls per second over all entry hosts.
    pub(crate) customers: Vec<(document::Customer, f64)>,
    pub(crate) duration: Duration,
    /// Calls that arrive before this time are counted as [`WARM_UP`].
    pub(crate) warm_up: Duration,
    /// Customers from this index on reach the first entry host only.
    pub(crate) pinned_from: usize,
    /// The indexes of hosts that fail every call.
    pub(crate) failing: Vec<usize>,
}

/// The outcomes of one customer's calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) calls: u64,
    /// Calls that were answered before the deadline.
    pub(crate) in_time: u64,
    /// Calls that were answered after the deadline: wasted work.
    pub(crate) too_late: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) customers: BTreeMap<String, Tally>,
    pub(crate) first_attempts: u64,
    pub(crate) retries: u64,
    /// The response times of calls that were answered in time, also during the
    /// warm-up, in seconds.
    pub(crate) response_times: Vec<f64>,
    /// The time without the warm-up, in seconds.
    pub(crate) seconds: f64,
}

impl Report {
    /// The calls answered in time per second, without the warm-up.
    pub(crate) fn goodput(&self) -> f64 {
        let counted = self.customers.iter().filter(|(name, _)| *name != WARM_UP);
        let in_time: u64 = counted.map(|(_, tally)| tally.in_time).sum();
        in_time as f64 / self.seconds
    }
}

impl Report {
    /// A quantile of the response times, in seconds.
    pub(crate) fn quantile(&self, fraction: f64) -> f64 {
        let mut times = self.response_times.clone();
        times.sort_by(f64::total_cmp);
        times[(fraction * times.len() as f64) as usize]
    }
}

/// A customer with the default share and neither rate limit nor priority.
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
    arrived_at: Duration,
    attempted_at: Duration,
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
    rng: ChaCha8Rng,
    now: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    sequence: u64,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    calls: HashMap<u64, Call>,
    report: Report,
}

impl Model {
    /// The calls per second that all hosts together can answer.
    pub(crate) fn capacity(&self) -> f64 {
        (self.hosts * self.capacity) as f64 / self.service_time.as_secs_f64()
    }

    pub(crate) fn run(&self) -> Report {
        let customers: Vec<document::Customer> = self
            .customers
            .iter()
            .map(|(customer, _)| customer.clone())
            .collect();
        let entries = (0..self.entries).map(|entry| self.entry(entry, &customers));
        let mut run = Run {
            model: self.clone(),
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            now: Duration::ZERO,
            steps: BinaryHeap::new(),
            sequence: 0,
            entries: entries.collect(),
            hosts: (0..self.hosts).map(|_| Host::default()).collect(),
            calls: HashMap::new(),
            report: Report::default(),
        };
        run.simulate();
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
    fn simulate(&mut self) {
        for customer in 0..self.model.customers.len() {
            self.next_arrival(customer);
        }
        self.schedule(TICK_PERIOD, Step::Tick);
        self.schedule(REPORT_PERIOD, Step::Report);
        self.schedule(demand::GOSSIP_PERIOD, Step::Gossip);
        self.report.seconds = (self.model.duration - self.model.warm_up).as_secs_f64();
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > self.model.duration {
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
                    self.apply(actions);
                }
                self.schedule(TICK_PERIOD, Step::Tick);
            }
            Step::Report => self.report_load(),
            Step::Gossip => self.gossip(),
        }
    }

    fn schedule(&mut self, wait: Duration, step: Step) {
        self.sequence += 1;
        let at = self.now + wait;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    fn next_arrival(&mut self, customer: usize) {
        let rate = self.model.customers[customer].1;
        let draw: f64 = self.rng.random();
        let wait = Duration::from_secs_f64(-(1.0 - draw).ln() / rate);
        self.schedule(wait, Step::Arrive { customer });
    }

    fn arrive(&mut self, customer: usize) {
        self.next_arrival(customer);
        let ticket = self.sequence;
        let entry = match customer < self.model.pinned_from {
            true => self.rng.random_range(0..self.entries.len()),
            false => 0,
        };
        let call = Call {
            customer,
            entry,
            arrived_at: self.now,
            attempted_at: self.now,
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
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit { ticket } => {
                    let entry = self.calls[&ticket].entry;
                    self.entries[entry].budget.deposit();
                    self.report.first_attempts += 1;
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
        let remaining = (call.arrived_at + self.model.deadline).saturating_sub(self.now);
        let table = &mut self.entries[call.entry].table;
        let request = Request {
            tried: &call.tried,
            wait_max: Some(remaining.saturating_sub(self.model.service_time)),
            ..Request::new(SERVICE, ticket)
        };
        let Ok(key) = table.pick(self.now, &request) else {
            self.give_up(ticket, Sample::Ignored);
            return;
        };
        table.start(self.now, key, &[]);
        call.tried.push(key);
        call.attempted_at = self.now;
        let host = table.host(key).unwrap().as_str()["agent-".len()..]
            .parse()
            .unwrap();
        self.deliver(host, ticket);
    }

    fn deliver(&mut self, host: usize, ticket: u64) {
        let capacity = self.model.capacity;
        match &mut self.hosts[host] {
            _ if self.model.failing.contains(&host) => {
                self.end_attempt(ticket, Ended::Failure);
                self.retry(ticket);
            }
            backend if backend.running < capacity => {
                backend.running += 1;
                self.start(host, ticket);
            }
            backend if backend.waiting.len() < capacity => backend.waiting.push_back(ticket),
            _ => {
                self.end_attempt(ticket, Ended::Refused(Duration::from_millis(200)));
                self.retry(ticket);
            }
        }
    }

    fn start(&mut self, host: usize, call: u64) {
        let factor = 0.5 + self.rng.random::<f64>();
        let service_time = self.model.service_time.mul_f64(factor);
        self.schedule(service_time, Step::Finish { host, call });
    }

    fn retry(&mut self, ticket: u64) {
        let call = &self.calls[&ticket];
        let allowed = call.tried.len() < ATTEMPTS_MAX && self.entries[call.entry].budget.withdraw();
        match allowed {
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
        self.apply(actions);
    }

    fn finish(&mut self, host: usize, ticket: u64) {
        self.hosts[host].running -= 1;
        if let Some(next) = self.hosts[host].waiting.pop_front() {
            self.hosts[host].running += 1;
            self.start(host, next);
        }
        self.end_attempt(ticket, Ended::Success);
        let too_late = self.now > self.calls[&ticket].arrived_at + self.model.deadline;
        if !too_late {
            let time = self.now - self.calls[&ticket].arrived_at;
            self.report.response_times.push(time.as_secs_f64());
        }
        let tally = self.tally(ticket);
        tally.in_time += u64::from(!too_late);
        tally.too_late += u64::from(too_late);
        let call = self.calls.remove(&ticket).unwrap();
        let sample = Sample::Answered(self.now - call.attempted_at);
        let limiter = &mut self.entries[call.entry].limiter;
        let actions = limiter.finish(self.now, ticket, sample);
        self.apply(actions);
    }

    fn end_attempt(&mut self, ticket: u64, status: Ended) {
        let call = &self.calls[&ticket];
        let total = self.now - call.attempted_at;
        let outcome = match status {
            Ended::Success => Outcome::success(total),
            other => Outcome::without_answer(other, total),
        };
        let key = *call.tried.last().unwrap();
        self.entries[call.entry].table.end(self.now, key, &outcome);
    }

    fn report_load(&mut self) {
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
            let capacity = entry.table.capacity(self.now, SERVICE);
            entry
                .limiter
                .set_capacity(self.now, &SERVICE.into(), capacity);
        }
        self.schedule(REPORT_PERIOD, Step::Report);
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
        self.schedule(demand::GOSSIP_PERIOD, Step::Gossip);
    }

    /// The tally of a call's customer, or of [`WARM_UP`].
    fn tally(&mut self, ticket: u64) -> &mut Tally {
        let call = &self.calls[&ticket];
        let name = match call.arrived_at < self.model.warm_up {
            true => WARM_UP,
            false => self.model.customers[call.customer].0.name.as_str(),
        };
        self.report.customers.entry(name.to_owned()).or_default()
    }
}
