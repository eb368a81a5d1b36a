//! A model of entries and servers, in which one part of prompts, or one request
//! that comes again, ends each server that begins to write an answer on it.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::quarantine;
use snipewinch::quarantine::Evidence;
use snipewinch::quarantine::Key;
use snipewinch::quarantine::Ledger;
use snipewinch::quarantine::Server;
use snipewinch::quarantine::Verdict;

const STEP: Duration = Duration::from_millis(5);
/// When the first request with the bad key may come.
const OUTBREAK_AT: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(30);
/// After the last allowed end and this time, few bad requests may reach a server.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long a silent store answers nobody.
const SILENCE: Duration = Duration::from_secs(5);
const RESTART: Duration = Duration::from_secs(3);
const SHARED_KEYS: usize = 60;
/// How many sound requests come again and again, and the share of all requests
/// that they are.
const POLLED_REQUESTS: u32 = 50;
const POLLED_SHARE: f64 = 0.3;
const ATTEMPTS_MAX: u32 = 2;
const COME_THROUGH: Duration = Duration::from_millis(300);
const PUBLISH_INTERVAL: Duration = Duration::from_millis(150);

/// What ends servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outbreak {
    /// A part that a share of the requests has in their prompts.
    Part { share: f64 },
    /// One request, copies of which arrive at a rate per second.
    Request { copies_per_s: f64 },
}

/// What servers run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Work {
    /// Prompts with shared parts, in batches of 16.
    Prompts,
    /// Plain requests, 6 at a time.
    Plain,
}

impl Work {
    fn slots(self) -> usize {
        match self {
            Work::Prompts => 16,
            Work::Plain => 6,
        }
    }

    /// The time to the first event of an answer, in milliseconds.
    fn first_event_ms(self) -> Range<u64> {
        match self {
            Work::Prompts => 100..350,
            Work::Plain => 15..105,
        }
    }

    /// The time from there to its end, in milliseconds.
    fn rest_ms(self) -> Range<u64> {
        match self {
            Work::Prompts => 200..2_000,
            Work::Plain => 1..20,
        }
    }
}

/// How evidence reaches other entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Store {
    Well,
    Slow,
    /// It answers nobody for a while from the outbreak on.
    Silent,
}

impl Store {
    /// The time at which evidence of `now` arrives.
    fn arrival(self, now: Duration, rng: &mut ChaCha8Rng) -> Duration {
        let delay = match rng.random_range(0..20) {
            0 => rng.random_range(1_000..2_000),
            _ => rng.random_range(20..250),
        };
        let delay = Duration::from_millis(delay);
        match self {
            Store::Well => now + delay,
            Store::Slow => now + delay * 4,
            Store::Silent if now >= OUTBREAK_AT => now.max(OUTBREAK_AT + SILENCE) + delay,
            Store::Silent => now + delay,
        }
    }
}

/// What entries do against the outbreak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Remedy {
    Nothing,
    /// Requests whose server ended are not sent again.
    NoRetry,
    /// Whole requests that ended a server are blocked.
    WholeRequest,
    /// The quarantine, with no word from other entries.
    Alone,
    /// The quarantine of parts alone.
    Parts,
    /// The quarantine, and requests whose server ended are not sent again.
    QuarantineNoRetry,
    Quarantine,
}

impl Remedy {
    /// Whether entries keep a ledger.
    fn has_ledger(self) -> bool {
        match self {
            Remedy::Nothing | Remedy::NoRetry | Remedy::WholeRequest => false,
            Remedy::Alone | Remedy::Parts | Remedy::Quarantine | Remedy::QuarantineNoRetry => true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) servers: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) work: Work,
    pub(crate) outbreak: Outbreak,
    pub(crate) store: Store,
    /// How many servers end for other causes in a second.
    pub(crate) other_ends_per_s: f64,
    pub(crate) remedy: Remedy,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Servers that ended under the bad part or request.
    pub(crate) ends: u32,
    /// Bad requests that reached a server after the last allowed end.
    pub(crate) sent_after: u32,
    /// Those of them that did so later than [`STABLE_WINDOW`] after it.
    pub(crate) sent_late: u32,
    pub(crate) sound: u32,
    /// Sound requests that were refused because of their keys.
    pub(crate) sound_refused: u32,
    /// Sound requests that were not sent again after their server ended.
    pub(crate) sound_given_up: u32,
    /// How long after the last allowed end each entry refused bad requests.
    pub(crate) news_ms: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    keys: Vec<Key>,
    is_bad: bool,
    /// Whether it was suspected when it was sent.
    is_suspected: bool,
    sent: Duration,
    attempts: u32,
    first_event: Duration,
    end: Duration,
    has_come_through: bool,
}

#[derive(Debug, Default)]
struct Machine {
    run: u32,
    up_at: Duration,
    requests: Vec<Request>,
}

struct Entry {
    ledger: Ledger,
    publish_at: Duration,
    /// Whether it refuses the request that comes again.
    is_told: bool,
}

struct Model {
    setup: Setup,
    rng: ChaCha8Rng,
    now: Duration,
    entries: Vec<Entry>,
    machines: Vec<Machine>,
    /// Evidence on its way, by arrival: receiver, publisher and content.
    mail: BTreeMap<(Duration, u64), (usize, usize, Evidence)>,
    mail_number: u64,
    /// The last end that may come before the verdict.
    last_allowed_end: Option<Duration>,
    /// How many requests have come that do not come again.
    requests: u32,
    outcome: Outcome,
}

/// Plays the model.
pub(crate) fn play(setup: Setup) -> Outcome {
    let mut model = Model {
        rng: ChaCha8Rng::seed_from_u64(setup.seed),
        now: Duration::ZERO,
        entries: (0..setup.entries)
            .map(|number| Entry {
                ledger: Ledger::open(number as u64),
                publish_at: Duration::ZERO,
                is_told: false,
            })
            .collect(),
        machines: (0..setup.servers).map(|_| Machine::default()).collect(),
        mail: BTreeMap::new(),
        mail_number: 0,
        last_allowed_end: None,
        requests: 0,
        outcome: Outcome::default(),
        setup,
    };
    while model.now < LENGTH {
        model.step();
        model.now += STEP;
    }
    model.outcome
}

impl Model {
    fn step(&mut self) {
        let per_step = |rate: f64| rate * STEP.as_secs_f64();
        let bad_per_s = match self.setup.outbreak {
            Outbreak::Request { copies_per_s } if self.now >= OUTBREAK_AT => copies_per_s,
            Outbreak::Request { .. } | Outbreak::Part { .. } => 0.0,
        };
        for (rate, is_copy) in [(self.setup.requests_per_s, false), (bad_per_s, true)] {
            let mut due = per_step(rate);
            while due > 0.0 {
                if self.rng.random::<f64>() < due {
                    self.arrive(is_copy);
                }
                due -= 1.0;
            }
        }
        if self.rng.random::<f64>() < per_step(self.setup.other_ends_per_s) {
            let machine = self.rng.random_range(0..self.machines.len());
            self.end_machine(machine);
        }
        for machine in 0..self.machines.len() {
            self.work(machine);
        }
        if self.setup.remedy.has_ledger() {
            self.exchange();
            self.record_news();
        }
    }

    /// Records which entries have begun to refuse the request that comes again.
    fn record_news(&mut self) {
        let Outbreak::Request { .. } = self.setup.outbreak else {
            return;
        };
        let Some(end) = self.last_allowed_end else {
            return;
        };
        if self.entries.iter().all(|entry| entry.is_told) {
            return;
        }
        let keys = self.keys(None, false, 0);
        for entry in self.entries.iter_mut().filter(|one| !one.is_told) {
            if let Verdict::Blocked(_) = entry.ledger.verdict(self.now, &keys) {
                entry.is_told = true;
                let news = self.now.saturating_sub(end);
                self.outcome.news_ms.push(news.as_millis() as u64);
            }
        }
    }

    /// Lets a request arrive: a copy of the bad one, or any.
    fn arrive(&mut self, is_copy: bool) {
        let shared = self.shared_part(is_copy);
        let has_bad_part = match self.setup.outbreak {
            Outbreak::Part { share } => self.now >= OUTBREAK_AT && self.rng.random::<f64>() < share,
            Outbreak::Request { .. } => false,
        };
        let is_bad = is_copy || has_bad_part;
        let number = self.request_number(is_copy);
        let keys = self.keys(shared, has_bad_part, number);
        let request = Request {
            entry: self.rng.random_range(0..self.entries.len()),
            keys,
            is_bad,
            is_suspected: false,
            sent: Duration::ZERO,
            attempts: 0,
            first_event: Duration::ZERO,
            end: Duration::ZERO,
            has_come_through: false,
        };
        self.outcome.sound += u32::from(!is_bad);
        let verdict = self.verdict(&request);
        match verdict {
            Verdict::Blocked(_) => self.outcome.sound_refused += u32::from(!is_bad),
            Verdict::Clear | Verdict::Suspect(_) => self.send(request),
        }
    }

    /// The shared part of a prompt; that of the request which comes again is
    /// always the same.
    fn shared_part(&mut self, is_copy: bool) -> Option<usize> {
        match self.setup.work {
            Work::Plain => None,
            Work::Prompts if is_copy => Some(1),
            Work::Prompts => {
                let rank: f64 = self.rng.random();
                // Parts of rank r are asked for about as often as 1 / r.
                Some((SHARED_KEYS as f64).powf(rank) as usize)
            }
        }
    }

    /// Tells requests from each other; copies and polled ones come again.
    fn request_number(&mut self, is_copy: bool) -> u32 {
        match self.setup.outbreak {
            Outbreak::Request { .. } if is_copy => 0,
            Outbreak::Request { .. } if self.rng.random::<f64>() < POLLED_SHARE => {
                self.rng.random_range(1..=POLLED_REQUESTS)
            }
            Outbreak::Request { .. } | Outbreak::Part { .. } => {
                self.requests += 1;
                POLLED_REQUESTS + self.requests
            }
        }
    }

    fn keys(&self, shared: Option<usize>, has_bad_part: bool, number: u32) -> Vec<Key> {
        let shared = shared.map(|part| Key::of("shared", &part.to_string()));
        let bad = has_bad_part.then(|| Key::of("part", "bad"));
        let mut keys: Vec<Key> = shared.into_iter().chain(bad).collect();
        if self.setup.remedy != Remedy::Parts {
            let request = quarantine::Request {
                host: "songs.example",
                method: "GET",
                path: "/read/1",
                query: "",
                customer: Some("archive"),
                body: &number.to_le_bytes(),
            };
            keys.extend(request.keys());
        }
        keys
    }

    /// Whether a request must not share a server with other suspected ones.
    fn is_suspected(&self, request: &Request) -> bool {
        match self.setup.remedy {
            Remedy::Quarantine | Remedy::QuarantineNoRetry | Remedy::Alone => self.entries
                [request.entry]
                .ledger
                .is_suspected(self.now, &request.keys),
            Remedy::Nothing | Remedy::NoRetry | Remedy::Parts | Remedy::WholeRequest => false,
        }
    }

    fn verdict(&self, request: &Request) -> Verdict {
        match self.setup.remedy {
            Remedy::Quarantine | Remedy::QuarantineNoRetry | Remedy::Alone | Remedy::Parts => self
                .entries[request.entry]
                .ledger
                .verdict(self.now, &request.keys),
            Remedy::Nothing | Remedy::NoRetry | Remedy::WholeRequest => Verdict::Clear,
        }
    }

    fn send(&mut self, mut request: Request) {
        let now = self.now;
        let slots = self.setup.work.slots();
        let entry = request.entry;
        request.is_suspected = self.is_suspected(&request);
        let is_shared = |machine: &Machine| {
            let mut others = machine.requests.iter();
            others.any(|one| one.is_suspected && one.entry == entry)
        };
        let free: Vec<usize> = (0..self.machines.len())
            .filter(|index| {
                let machine = &self.machines[*index];
                machine.up_at <= now
                    && machine.requests.len() < slots
                    && !(request.is_suspected && is_shared(machine))
            })
            .collect();
        if free.is_empty() {
            return;
        }
        let machine = free[self.rng.random_range(0..free.len())];
        request.attempts += 1;
        request.sent = now;
        let work = self.setup.work;
        let first_event_ms = self.rng.random_range(work.first_event_ms());
        request.first_event = now + Duration::from_millis(first_event_ms);
        let rest_ms = self.rng.random_range(work.rest_ms());
        request.end = request.first_event + Duration::from_millis(rest_ms);
        request.has_come_through = false;
        if request.is_bad {
            let last_allowed = self.last_allowed_end;
            let late = last_allowed.is_some_and(|at| now > at + STABLE_WINDOW);
            self.outcome.sent_after += u32::from(last_allowed.is_some());
            self.outcome.sent_late += u32::from(late);
        }
        self.machines[machine].requests.push(request);
    }

    /// Lets the requests of a server go on.
    fn work(&mut self, machine: usize) {
        let now = self.now;
        let requests = &mut self.machines[machine].requests;
        if requests
            .iter()
            .any(|one| one.is_bad && one.first_event <= now)
        {
            self.outcome.ends += 1;
            let allowed = match self.setup.outbreak {
                Outbreak::Part { .. } => 5,
                Outbreak::Request { .. } => 3,
            };
            if self.outcome.ends == allowed {
                self.last_allowed_end = Some(now);
            }
            return self.end_machine(machine);
        }
        for request in requests.iter_mut() {
            let goes_on = now >= request.first_event + COME_THROUGH || now >= request.end;
            if goes_on && !request.has_come_through {
                request.has_come_through = true;
                if !self.setup.remedy.has_ledger() {
                    continue;
                }
                let ledger = &mut self.entries[request.entry].ledger;
                ledger.record_progress(now, &request.keys);
            }
        }
        requests.retain(|one| one.end > now);
    }

    fn end_machine(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if machine.up_at > self.now {
            return;
        }
        let server = Server::of(&format!("{index}-{}", machine.run), None);
        machine.run += 1;
        machine.up_at = self.now + RESTART;
        let broken = std::mem::take(&mut machine.requests);
        let has_ledger = self.setup.remedy.has_ledger();
        let counted = |one: &&Request| has_ledger && !one.has_come_through;
        for request in broken.iter().filter(counted) {
            let ledger = &mut self.entries[request.entry].ledger;
            ledger.record_end(self.now, request.sent, server, &request.keys);
        }
        for request in broken {
            let may_retry = match self.setup.remedy {
                Remedy::Nothing => true,
                Remedy::NoRetry | Remedy::QuarantineNoRetry => false,
                Remedy::WholeRequest => request.has_come_through,
                Remedy::Quarantine | Remedy::Alone | Remedy::Parts => {
                    self.verdict(&request) == Verdict::Clear
                }
            };
            let is_sound = !request.is_bad;
            match may_retry && request.attempts < ATTEMPTS_MAX {
                true => self.send(request),
                false => self.outcome.sound_given_up += u32::from(is_sound),
            }
        }
    }

    /// Publishes and delivers evidence; one message in twenty is very late.
    fn exchange(&mut self) {
        let now = self.now;
        for publisher in 0..self.entries.len() {
            let entry = &mut self.entries[publisher];
            entry.ledger.settle(now);
            if entry.publish_at > now {
                continue;
            }
            let Some(evidence) = entry.ledger.take_evidence() else {
                continue;
            };
            entry.publish_at = now + PUBLISH_INTERVAL;
            if self.setup.remedy == Remedy::Alone {
                continue;
            }
            for receiver in (0..self.setup.entries).filter(|one| *one != publisher) {
                let at = self.setup.store.arrival(now, &mut self.rng);
                self.mail_number += 1;
                let letter = (receiver, publisher, evidence.clone());
                self.mail.insert((at, self.mail_number), letter);
            }
        }
        while let Some(first) = self.mail.first_entry()
            && first.key().0 <= now
        {
            let (receiver, publisher, evidence) = first.remove();
            let ledger = &mut self.entries[receiver].ledger;
            ledger.merge(now, &publisher.to_string(), evidence);
        }
    }
}
