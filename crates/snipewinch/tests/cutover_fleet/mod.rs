//! A model of entries, agents and engines around the moment at which an older
//! version of the weights may no longer be used.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::cutover;
use snipewinch::cutover::Delay;
use snipewinch::cutover::Estimate;
use snipewinch::cutover::Interval;
use snipewinch::cutover::Publication;
use snipewinch::cutover::Verdict;

mod engine;

use engine::Engine;
use engine::Outages;
use engine::SLOTS;
use engine::Work;

/// When version 2 is acknowledged.
const PUBLISHED_AT: Duration = Duration::from_secs(4);
/// How much later version 3 is, in some plays.
const SECOND_AFTER: Duration = Duration::from_secs(2);
/// How long before the bound requests start to come.
const WARM_UP: Duration = Duration::from_secs(5);
/// The windows before and after the bound in which requests are counted.
const WINDOW: Duration = Duration::from_secs(3);
const REQUESTS_PER_S: f64 = 4.0;
/// Within which a request has to begin to be on time.
const GOAL: Duration = Duration::from_millis(1_500);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_LAG: Duration = Duration::from_millis(300);
const HINT_AGE_MAX: Duration = Duration::from_secs(1);
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_secs(1);
/// How long after its agent's answer an engine on old weights may be used.
const HEARD_WITHIN: Duration = Duration::from_millis(100);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const SENDS_MAX: u32 = 4;
const REGIONS: usize = 3;
/// How long packets wait at most before a full link.
const LINK_QUEUE_MAX_S: f64 = 0.5;
/// The period over which processor time is granted.
const QUOTA_PERIOD_S: f64 = 0.1;
/// How long a process remembers that it stood still.
const STILL_MEMORY: Duration = Duration::from_secs(10);

/// How entries decide whether old weights may still be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Remedy {
    /// Requests are sent until 600 ms before the bound.
    Constant,
    /// Requests are sent until 1,200 ms before the bound.
    Twice,
    /// Old weights are not used while newer ones have room.
    NewestOnly,
    /// By [`cutover`].
    Predicted,
}

impl Remedy {
    fn margin(self) -> Duration {
        match self {
            Remedy::Twice => Duration::from_millis(1_200),
            Remedy::Constant | Remedy::NewestOnly | Remedy::Predicted => Duration::from_millis(600),
        }
    }
}

/// By how much earlier than [`cutover`] says entries decide and withdraw.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Margin {
    #[default]
    Fixed,
    /// By the longest time for which the process has lately stood still.
    Measured,
}

/// What is out of order beside hosts and agents.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    pub(crate) margin: Margin,
    /// Whether entries have a quota of processor time, and some exhaust it.
    pub(crate) has_quotas: bool,
    /// Whether links between regions are full at times.
    pub(crate) has_full_links: bool,
    /// How much older than it is a version seems to an entry, in seconds.
    pub(crate) excess_s: Range<f64>,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            margin: Margin::Fixed,
            has_quotas: false,
            has_full_links: false,
            excess_s: 0.0..0.7,
        }
    }
}

/// Why a request begins late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The host froze when it had the request already, which nothing prevents.
    Frozen,
    /// The host froze between the last answer of its agent and the request.
    JustFrozen,
    /// The host was cut off when it had the request already.
    Cut,
    /// The request was long on the way.
    Transfer,
    /// The request waited at the engine.
    Queue,
}

/// A request that begins on old weights after the bound.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Late {
    pub(crate) cause: Cause,
    /// How long after the bound it begins.
    pub(crate) by: Duration,
    /// Whether its connection was reset before.
    pub(crate) is_withdrawn: bool,
}

/// How many requests came in a window, and how many began within their goal.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Goodput {
    pub(crate) arrived: u32,
    pub(crate) on_time: u32,
}

impl Goodput {
    pub(crate) fn add(&mut self, other: Goodput) {
        self.arrived += other.arrived;
        self.on_time += other.on_time;
    }

    pub(crate) fn share(self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived.max(1))
    }
}

/// What a play showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) late: Vec<Late>,
    pub(crate) withdrawn: u32,
    /// How long after its planned time each withdrawal was done.
    pub(crate) withdrawal_delays: Vec<Duration>,
    pub(crate) begun_after_withdrawal: u32,
    pub(crate) before: Goodput,
    pub(crate) after: Goodput,
}

impl Outcome {
    /// How many requests began late that a remedy could have prevented.
    pub(crate) fn preventable(&self) -> usize {
        let late = self.late.iter();
        late.filter(|one| one.cause != Cause::Frozen).count()
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Place(usize),
    Asked(usize),
    Granted(usize),
    AskExpired(usize),
    Opened(usize),
    Received(usize),
    Withdraw(usize),
    Silent(usize),
    Progressed(usize),
    Rejected(usize),
    Completed(usize),
    Step(usize),
    Load { engine: usize, version: u64 },
    Loaded(usize),
    Report(usize),
    Restart(usize),
}

#[derive(Clone, Copy, Debug)]
struct Version {
    number: u64,
    published: Duration,
}

#[derive(Clone, Copy, Debug)]
struct News {
    version: u64,
    interval: Interval,
}

#[derive(Debug, Default)]
struct Entry {
    news: Vec<News>,
    frozen: Outages,
    /// When it stands still as its processor time is used up.
    throttled: Outages,
    restarted: Option<Duration>,
}

/// A time at which packets wait before a full link between two regions.
#[derive(Clone, Debug)]
struct LinkQueue {
    regions: (usize, usize),
    time: Range<Duration>,
    wait: Duration,
}

impl Entry {
    /// When it goes on, if it stands still.
    fn still_until(&self, now: Duration) -> Option<Duration> {
        self.frozen.end(now).max(self.throttled.end(now))
    }

    fn publications(&self, now: Duration) -> Vec<Publication> {
        let known = self.news.iter().filter(|one| one.interval.latest <= now);
        let before = |one: &News| self.restarted.is_some_and(|at| one.interval.latest <= at);
        known
            .map(|one| Publication {
                version: one.version,
                replaces: Some(one.version - 1),
                published: (!before(one)).then_some(Estimate::observed(one.interval)),
            })
            .collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    version: u64,
    free: u64,
    delay: Duration,
    at: Duration,
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    arrived: Duration,
    work: Work,
    may_rerun: bool,
    sends: u32,
    attempts: Vec<usize>,
    open: u32,
    begun: Option<Duration>,
    is_over: bool,
}

/// A request on its way to one engine.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    engine: usize,
    held: u64,
    transfer: Duration,
    has_slot: bool,
    queue: Duration,
    /// How long its connection took to open.
    opening: Duration,
    /// When it is to be withdrawn.
    withdraw_at: Option<Duration>,
    /// How long its prompt is read, by the engine's own model.
    prompt: Duration,
    heard: Duration,
    is_placed: bool,
    /// When its bytes reach the host, if they are sent and not held up further.
    arrives: Option<Duration>,
    received: Option<Duration>,
    ended: Option<Duration>,
    is_reset: bool,
    is_withdrawn: bool,
    /// When the engine sees that its connection has ended.
    noticed: Option<Duration>,
    is_begun: bool,
}

/// A play.
pub(crate) struct Fleet {
    rng: ChaCha8Rng,
    remedy: Remedy,
    conditions: Conditions,
    links: Vec<LinkQueue>,
    bound: Duration,
    versions: Vec<Version>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    hints: Vec<Hint>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    now: Duration,
    outcome: Outcome,
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

impl Fleet {
    pub(crate) fn new(
        entries: usize,
        engines: usize,
        seed: u64,
        remedy: Remedy,
        conditions: Conditions,
    ) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bound = Duration::from_secs(if rng.random_bool(0.5) { 8 } else { 10 });
        let mut versions = vec![Version {
            number: 2,
            published: PUBLISHED_AT,
        }];
        if rng.random_bool(0.4) {
            versions.push(Version {
                number: 3,
                published: PUBLISHED_AT + SECOND_AFTER,
            });
        }
        let hint = Hint {
            version: 1,
            free: SLOTS,
            delay: Duration::ZERO,
            at: Duration::ZERO,
        };
        let mut fleet = Fleet {
            rng,
            remedy,
            conditions,
            links: Vec::new(),
            bound,
            versions,
            entries: Vec::new(),
            engines: Vec::new(),
            hints: vec![hint; engines],
            requests: Vec::new(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            outcome: Outcome::default(),
        };
        fleet.add_entries(entries);
        fleet.add_engines(engines);
        fleet.add_requests();
        // They have draws of their own, so that plays without them stay as they are.
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        if fleet.conditions.has_quotas {
            fleet.add_quotas(&mut rng);
        }
        if fleet.conditions.has_full_links {
            fleet.add_full_links(&mut rng);
        }
        fleet
    }

    /// Half of the entries are busy: each runs for a part of a period and stands
    /// still for the rest of it, at times for some further ones.
    fn add_quotas(&mut self, rng: &mut ChaCha8Rng) {
        let end = self.bound_end().as_secs_f64() + 1.0;
        for entry in &mut self.entries {
            if rng.random_bool(0.5) {
                continue;
            }
            let mut period = end - rng.random_range(2.0..6.0);
            while period < end {
                let runs = rng.random_range(0.2..0.9) * QUOTA_PERIOD_S;
                let further = match rng.random_bool(0.25) {
                    true => f64::from(rng.random_range(1..5)) * QUOTA_PERIOD_S,
                    false => 0.0,
                };
                let next = period + QUOTA_PERIOD_S + further;
                entry.throttled.push(secs(period + runs)..secs(next));
                period = next;
            }
        }
    }

    fn add_full_links(&mut self, rng: &mut ChaCha8Rng) {
        let end = self.bound_end().as_secs_f64() + 1.0;
        for regions in [(0, 1), (0, 2), (1, 2)] {
            let mut at = end - rng.random_range(2.0..6.0);
            while at < end {
                let next = at + rng.random_range(0.1..0.6);
                self.links.push(LinkQueue {
                    regions,
                    time: secs(at)..secs(next),
                    wait: secs(rng.random_range(0.0..LINK_QUEUE_MAX_S)),
                });
                at = next;
            }
        }
    }

    /// How long packets of an attempt wait before a link between regions.
    fn link_wait(&self, attempt: usize) -> Duration {
        let one = self.attempts[attempt];
        let entry = self.requests[one.request].entry % REGIONS;
        let engine = one.engine % REGIONS;
        let regions = (entry.min(engine), entry.max(engine));
        let mut links = self.links.iter();
        let link = links.find(|link| link.regions == regions && link.time.contains(&self.now));
        link.map_or(Duration::ZERO, |link| link.wait)
    }

    /// By how much earlier an entry decides than by [`cutover`] alone.
    fn further_margin(&self, entry: usize) -> Duration {
        let since = self.now.saturating_sub(STILL_MEMORY);
        match self.conditions.margin {
            Margin::Fixed => Duration::ZERO,
            Margin::Measured => self.entries[entry].throttled.longest_ended(since..self.now),
        }
    }

    pub(crate) fn play(mut self) -> Outcome {
        let end = self.bound_end() + WARM_UP + WINDOW;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.count();
        self.outcome
    }

    /// When version 1 may no longer be used.
    fn bound_end(&self) -> Duration {
        PUBLISHED_AT + self.bound
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn around_bound(&mut self, from: f64, to: f64) -> Duration {
        let offset = self.rng.random_range(from..to);
        secs(self.bound_end().as_secs_f64() + offset)
    }

    fn add_entries(&mut self, count: usize) {
        let versions = self.versions.clone();
        for index in 0..count {
            let mut entry = Entry::default();
            for version in &versions {
                let before = secs(self.rng.random_range(self.conditions.excess_s.clone()));
                let late = match self.rng.random_bool(0.3) {
                    true => secs(self.rng.random_range(0.0..2.0)),
                    false => secs(self.rng.random_range(0.0..0.4)),
                };
                entry.news.push(News {
                    version: version.number,
                    interval: Interval {
                        earliest: version.published - before,
                        latest: version.published + late,
                    },
                });
            }
            if self.rng.random_bool(0.08) {
                let from = self.around_bound(-2.0, 0.5);
                let length = secs(self.rng.random_range(0.3..2.0));
                entry.frozen.push(from..from + length);
            }
            if self.rng.random_bool(0.06) {
                let at = self.around_bound(-5.0, 1.0);
                self.push(at, Event::Restart(index));
            }
            self.entries.push(entry);
        }
    }

    fn add_engines(&mut self, count: usize) {
        let rolls = self.rng.random_bool(0.5);
        let versions = self.versions.clone();
        for index in 0..count {
            let mut engine = Engine::new(self.rng.random_range(1.0..4.0));
            if self.rng.random_bool(0.3) {
                let from = self.around_bound(-4.0, 1.0);
                let length = secs(self.rng.random_range(0.5..5.0));
                engine.slow.push(from..from + length);
            }
            if self.rng.random_bool(0.2) {
                let from = self.around_bound(-6.0, 1.0);
                let outage = from..from + secs(self.rng.random_range(0.3..6.0));
                match self.rng.random_bool(0.5) {
                    true => engine.frozen.push(outage),
                    false => engine.cut.push(outage),
                }
            }
            if rolls {
                let turn = 6.0 * index as f64 / count as f64;
                let from = secs(self.bound_end().as_secs_f64() - 5.0 + turn);
                engine
                    .stopped
                    .push(from..from + secs(self.rng.random_range(0.8..2.0)));
            }
            let is_late = self.rng.random_bool(0.2);
            for version in &versions {
                let after = match is_late {
                    true => self.rng.random_range(5.0..self.bound.as_secs_f64() + 2.0),
                    false => self.rng.random_range(2.0..6.5),
                };
                self.push(
                    version.published + secs(after),
                    Event::Load {
                        engine: index,
                        version: version.number,
                    },
                );
            }
            let phase = REPORT_INTERVAL.mul_f64(self.rng.random());
            let first = self.bound_end() - WARM_UP - REPORT_INTERVAL + phase;
            self.push(first, Event::Report(index));
            self.engines.push(engine);
        }
    }

    fn add_requests(&mut self) {
        let (start, end) = (self.bound_end() - WARM_UP, self.bound_end() + WARM_UP);
        let burst = self.rng.random_bool(0.5).then(|| {
            let from = self.around_bound(-2.5, 0.0);
            from..from + secs(0.8)
        });
        let per_s = REQUESTS_PER_S * self.engines.len() as f64;
        let mut at = start;
        while at < end {
            let is_burst = burst.as_ref().is_some_and(|one| one.contains(&at));
            let rate = if is_burst { per_s * 3.0 } else { per_s };
            at += secs(-(1.0 - self.rng.random::<f64>()).ln() / rate);
            let long = self.rng.random_bool(0.1);
            let prompt = match long {
                true => self.rng.random_range(1_000..4_000),
                false => self.rng.random_range(50..700),
            };
            let request = Request {
                entry: self.rng.random_range(0..self.entries.len()),
                arrived: at,
                work: Work {
                    prompt,
                    answer: self.rng.random_range(5..80),
                },
                may_rerun: self.rng.random_bool(0.6),
                sends: 0,
                attempts: Vec::new(),
                open: 0,
                begun: None,
                is_over: false,
            };
            let index = self.requests.len();
            self.requests.push(request);
            self.push(at, Event::Place(index));
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(entry) = self.entry_of(event)
            && let Some(thaw) = self.entries[entry].still_until(self.now)
        {
            self.push(thaw, event);
            return;
        }
        match event {
            Event::Place(request) => self.place(request),
            Event::Asked(attempt) => self.answer_demand(attempt),
            Event::Granted(attempt) => self.connect(attempt),
            Event::AskExpired(attempt) => self.expire_ask(attempt),
            Event::Opened(attempt) => self.send(attempt),
            Event::Received(attempt) => self.receive(attempt),
            Event::Withdraw(attempt) => self.withdraw(attempt),
            Event::Silent(attempt) => self.replace_silent(attempt),
            Event::Progressed(attempt) => self.progress(attempt),
            Event::Rejected(attempt) => self.give_up(attempt, true),
            Event::Completed(attempt) => self.close(attempt, false),
            Event::Step(engine) => self.end_step(engine),
            Event::Load { engine, version } => self.order_load(engine, version),
            Event::Loaded(engine) => self.finish_loading(engine),
            Event::Report(engine) => self.report(engine),
            Event::Restart(entry) => self.restart(entry),
        }
    }

    /// The entry at which an event happens, if it happens at one.
    fn entry_of(&self, event: Event) -> Option<usize> {
        match event {
            Event::Place(request) => Some(self.requests[request].entry),
            Event::Granted(attempt)
            | Event::AskExpired(attempt)
            | Event::Opened(attempt)
            | Event::Withdraw(attempt)
            | Event::Silent(attempt)
            | Event::Progressed(attempt)
            | Event::Rejected(attempt)
            | Event::Completed(attempt) => {
                Some(self.requests[self.attempts[attempt].request].entry)
            }
            Event::Asked(_)
            | Event::Received(_)
            | Event::Step(_)
            | Event::Load { .. }
            | Event::Loaded(_)
            | Event::Report(_)
            | Event::Restart(_) => None,
        }
    }

    /// The latest time at which a request may begin on a version, as an entry
    /// knows it.
    fn begin_by(&self, entry: usize, held: u64) -> Option<Duration> {
        let publications = self.entries[entry].publications(self.now);
        if self.remedy == Remedy::Predicted {
            let begin_by = cutover::begin_by(&publications, held, self.bound);
            return begin_by.map(|at| at.saturating_sub(self.further_margin(entry)));
        }
        let newer = publications.iter().filter(|one| one.version > held);
        let heard = newer.map(|one| one.published.map(|at| at.interval().latest + self.bound));
        heard.map(Option::unwrap_or_default).min()
    }

    /// Whether an entry may send a request that has to begin by then.
    fn admit(&self, begin_by: Option<Duration>, delay: Delay) -> Verdict {
        match begin_by {
            _ if self.remedy == Remedy::Predicted => cutover::admit(self.now, begin_by, delay),
            None => Verdict::Current,
            Some(at) if self.now + self.remedy.margin() < at => Verdict::Until(at),
            Some(_) => Verdict::Outdated,
        }
    }

    fn admit_attempt(&self, attempt: usize) -> Verdict {
        let one = self.attempts[attempt];
        let entry = self.requests[one.request].entry;
        self.admit(self.begin_by(entry, one.held), self.delay(attempt))
    }

    fn is_last_choice(&self, begin_by: Option<Duration>) -> bool {
        match self.remedy {
            Remedy::NewestOnly => begin_by.is_some(),
            Remedy::Predicted => cutover::is_last_choice(self.now, begin_by),
            Remedy::Constant | Remedy::Twice => false,
        }
    }

    fn place(&mut self, request: usize) {
        let one = self.requests[request].clone();
        if one.is_over {
            return;
        }
        if self.now > one.arrived + GOAL || one.sends >= SENDS_MAX {
            self.requests[request].is_over = one.open == 0;
            return;
        }
        let Some(engine) = self.choose(one.entry) else {
            self.push(self.now + RETRY_INTERVAL, Event::Place(request));
            return;
        };
        let transfer = match self.rng.random_bool(0.2) {
            true => secs(self.rng.random_range(0.010..0.040)),
            false => secs(self.rng.random_range(0.000_5..0.003)),
        };
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            engine,
            held: self.hints[engine].version,
            transfer,
            has_slot: false,
            queue: self.hints[engine].delay,
            opening: Duration::ZERO,
            withdraw_at: None,
            prompt: Duration::ZERO,
            heard: self.hints[engine].at,
            is_placed: false,
            arrives: None,
            received: None,
            ended: None,
            is_reset: false,
            is_withdrawn: false,
            noticed: None,
            is_begun: false,
        });
        self.requests[request].open += 1;
        self.requests[request].attempts.push(attempt);
        if self.is_bypassed(engine) {
            self.attempts[attempt].is_placed = true;
            self.open_connection(attempt);
            return;
        }
        let asked = self.now + transfer + self.link_wait(attempt);
        self.push(asked, Event::Asked(attempt));
        self.push(self.now + ASK_TIMEOUT, Event::AskExpired(attempt));
    }

    /// Whether requests go to an engine without its agent, which is silent.
    fn is_bypassed(&self, engine: usize) -> bool {
        self.now > self.hints[engine].at + HINT_AGE_MAX
    }

    /// The engine to ask for a slot.
    fn choose(&mut self, entry: usize) -> Option<usize> {
        let begin_by = [1, 2, 3].map(|held| self.begin_by(entry, held));
        let mut chosen: Option<(bool, bool, u64, usize)> = None;
        let offset = self.rng.random_range(0..self.hints.len());
        for index in 0..self.hints.len() {
            let engine = (index + offset) % self.hints.len();
            let hint = self.hints[engine];
            let delay = Delay {
                queue: hint.delay,
                ..Delay::default()
            };
            let begin_by = begin_by[hint.version as usize - 1];
            let verdict = self.admit(begin_by, delay);
            let may_bypass = self.remedy != Remedy::Predicted || begin_by.is_none();
            let is_silent = self.is_bypassed(engine);
            if verdict == Verdict::Outdated || is_silent && !may_bypass {
                continue;
            }
            if !is_silent && hint.free == 0 || is_silent && self.rng.random_bool(0.8) {
                continue;
            }
            let noise = self.rng.random_range(0..8);
            let rank = (
                self.is_last_choice(begin_by),
                is_silent,
                SLOTS + 8 - hint.free - noise,
                engine,
            );
            if chosen.is_none_or(|best| rank < best) {
                chosen = Some(rank);
            }
        }
        chosen.map(|one| one.3)
    }

    fn answer_demand(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        let tokens = self.requests[one.request].work.prompt;
        let engine = &mut self.engines[one.engine];
        if !engine.agent_answers(self.now) {
            return;
        }
        let Some(delay) = engine.grant(self.now, REPORT_LAG, tokens) else {
            return;
        };
        let prompt = engine.predict_prompt(self.now, REPORT_LAG, tokens);
        let one = &mut self.attempts[attempt];
        one.has_slot = true;
        one.held = engine.version;
        one.queue = delay;
        one.prompt = prompt;
        one.heard = self.now;
        let heard = self.now + one.transfer;
        self.push(heard + self.link_wait(attempt), Event::Granted(attempt));
    }

    fn connect(&mut self, attempt: usize) {
        if self.attempts[attempt].ended.is_some() {
            self.release(attempt);
            return;
        }
        self.attempts[attempt].is_placed = true;
        self.open_connection(attempt);
    }

    fn expire_ask(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        if !one.is_placed && one.ended.is_none() {
            self.give_up(attempt, true);
        }
    }

    fn open_connection(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        let verdict = self.admit_attempt(attempt);
        if verdict == Verdict::Outdated {
            self.give_up(attempt, true);
            return;
        }
        let needs_new = self.remedy == Remedy::Predicted && verdict != Verdict::Current;
        if !needs_new && self.rng.random_bool(0.5) {
            self.send(attempt);
            return;
        }
        let link_wait = self.link_wait(attempt);
        let arrives = self.now + one.transfer + link_wait;
        let back = match self.engines[one.engine].cut.end(arrives) {
            Some(end) => end + secs(self.rng.random_range(0.0..0.5)),
            None => arrives,
        };
        let slow = match self.rng.random_bool(0.02) {
            true => secs(self.rng.random_range(0.05..0.9)),
            false => Duration::ZERO,
        };
        self.attempts[attempt].opening = one.transfer * 2 + link_wait * 2;
        match back + one.transfer + link_wait + slow {
            opened if opened > self.now + CONNECT_TIMEOUT => {
                self.push(self.now + CONNECT_TIMEOUT, Event::Rejected(attempt));
            }
            opened => self.push(opened, Event::Opened(attempt)),
        }
    }

    fn delay(&self, attempt: usize) -> Delay {
        let one = self.attempts[attempt];
        Delay::new((one.transfer * 2).max(one.opening), one.queue, one.prompt)
    }

    /// Sends a request over its open connection.
    fn send(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        if one.ended.is_some() {
            return;
        }
        if self.remedy == Remedy::Predicted {
            match self.admit_attempt(attempt) {
                Verdict::Current => {}
                Verdict::Until(at) if self.now <= one.heard + HEARD_WITHIN => {
                    self.attempts[attempt].withdraw_at = Some(at);
                    self.push(at, Event::Withdraw(attempt));
                }
                Verdict::Until(_) | Verdict::Outdated => {
                    self.give_up(attempt, true);
                    return;
                }
            }
        }
        self.requests[one.request].sends += 1;
        self.push(self.now + SILENCE, Event::Silent(attempt));
        let arrives = self.now + one.transfer + self.link_wait(attempt);
        let received = match self.engines[one.engine].cut.end(arrives) {
            Some(end) => end + secs(self.rng.random_range(0.0..0.2)),
            None => arrives,
        };
        self.attempts[attempt].arrives = Some(received);
        self.push(received, Event::Received(attempt));
    }

    /// Bytes reach the host, and its engine when it is not frozen.
    fn receive(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        let is_dropped = one.is_reset && one.received.is_none();
        if is_dropped {
            return;
        }
        if one.received.is_none() {
            self.attempts[attempt].received = Some(self.now);
        }
        if let Some(thaw) = self.engines[one.engine].frozen.end(self.now) {
            self.push(thaw, Event::Received(attempt));
            return;
        }
        let engine = &mut self.engines[one.engine];
        if engine.version != one.held {
            self.reject(attempt);
            return;
        }
        engine.enqueue(attempt, self.requests[one.request].work);
        self.start_step(one.engine);
    }

    fn reject(&mut self, attempt: usize) {
        let heard = self.heard_at(attempt);
        self.push(heard, Event::Rejected(attempt));
    }

    /// When an entry hears what an engine writes now.
    fn heard_at(&self, attempt: usize) -> Duration {
        let one = self.attempts[attempt];
        let back = self.engines[one.engine].cut.end(self.now);
        back.unwrap_or(self.now) + one.transfer + self.link_wait(attempt)
    }

    fn start_step(&mut self, engine: usize) {
        let one = &mut self.engines[engine];
        if one.is_stepping {
            return;
        }
        if let Some(end) = one.start_step(self.now) {
            one.is_stepping = true;
            self.push(end, Event::Step(engine));
            return;
        }
        let warm_end = match one.loading {
            Some(_) => one.warm_end(self.now),
            None => None,
        };
        if let Some(end) = warm_end {
            one.is_stepping = true;
            self.push(end, Event::Loaded(engine));
        }
    }

    fn end_step(&mut self, engine: usize) {
        if let Some(thaw) = self.engines[engine].frozen.end(self.now) {
            self.push(thaw, Event::Step(engine));
            return;
        }
        self.engines[engine].is_stepping = false;
        let progress = self.engines[engine].end_step();
        for attempt in progress.begun {
            let is_gone = self.attempts[attempt]
                .noticed
                .is_some_and(|at| at <= self.now);
            if is_gone {
                self.engines[engine].remove(attempt);
                continue;
            }
            self.record_begin(attempt);
            let heard = self.heard_at(attempt);
            self.push(heard, Event::Progressed(attempt));
        }
        for attempt in progress.complete {
            let heard = self.heard_at(attempt);
            self.push(heard, Event::Completed(attempt));
        }
        self.remove_ended(engine);
        self.start_step(engine);
    }

    fn remove_ended(&mut self, engine: usize) {
        let attempts = &self.attempts;
        let now = self.now;
        self.engines[engine].retain(|attempt| {
            attempts[attempt]
                .noticed
                .is_none_or(|noticed| noticed > now)
        });
    }

    fn record_begin(&mut self, attempt: usize) {
        let one = &mut self.attempts[attempt];
        one.is_begun = true;
        let one = *one;
        let held = self.engines[one.engine].version;
        if one.is_withdrawn {
            self.outcome.begun_after_withdrawal += 1;
        }
        let newer = self.versions.iter().filter(|version| version.number > held);
        let bound = newer.map(|version| version.published + self.bound).min();
        let Some(by) = bound.and_then(|bound| self.now.checked_sub(bound)) else {
            return;
        };
        if by.is_zero() {
            return;
        }
        self.outcome.late.push(Late {
            cause: self.cause(one),
            by,
            is_withdrawn: one.is_withdrawn,
        });
    }

    fn cause(&self, attempt: Attempt) -> Cause {
        let engine = &self.engines[attempt.engine];
        let received = attempt.received.unwrap_or(self.now);
        let since = received..self.now;
        let before = attempt.heard..received;
        match () {
            () if engine.frozen.starts_in(since.clone()) => Cause::Frozen,
            () if engine.frozen.starts_in(before) => Cause::JustFrozen,
            () if engine.cut.starts_in(since) => Cause::Cut,
            () if engine.frozen.is_on(received) => Cause::Transfer,
            () if engine.cut.starts_in(attempt.heard..received) => Cause::Transfer,
            () => Cause::Queue,
        }
    }

    fn progress(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        if one.ended.is_some() {
            return;
        }
        let request = one.request;
        if self.requests[request].begun.is_none() {
            self.requests[request].begun = Some(self.now);
        }
        self.requests[request].is_over = true;
        for other in self.requests[request].attempts.clone() {
            if other != attempt {
                self.close(other, self.remedy == Remedy::Predicted);
            }
        }
    }

    /// Ends an attempt at its entry and gives its slot back.
    fn close(&mut self, attempt: usize, is_reset: bool) {
        let one = self.attempts[attempt];
        if one.ended.is_some() {
            return;
        }
        self.requests[one.request].open -= 1;
        self.attempts[attempt].ended = Some(self.now);
        self.attempts[attempt].is_reset = is_reset;
        if one.is_placed {
            self.release(attempt);
        }
        let Some(sent_arrives) = one.arrives else {
            return;
        };
        let arrives = self.now + one.transfer + self.link_wait(attempt);
        let engine = &self.engines[one.engine];
        let seen = match engine.cut.end(arrives) {
            Some(_) if is_reset => return,
            Some(end) => end.max(sent_arrives) + secs(self.rng.random_range(0.0..0.2)),
            None => arrives.max(sent_arrives),
        };
        // A process that thaws reads the request before it sees the end.
        let seen = match engine.frozen.end(seen) {
            Some(thaw) => thaw + secs(self.rng.random_range(0.0..0.15)),
            None => seen,
        };
        self.attempts[attempt].noticed = Some(seen);
    }

    fn release(&mut self, attempt: usize) {
        let one = &mut self.attempts[attempt];
        if std::mem::take(&mut one.has_slot) {
            self.engines[one.engine].release();
        }
    }

    /// Ends an attempt that has not begun, and places its request anew.
    fn give_up(&mut self, attempt: usize, is_unused: bool) {
        let one = self.attempts[attempt];
        if one.ended.is_some() {
            return;
        }
        self.close(attempt, self.remedy == Remedy::Predicted);
        let request = &mut self.requests[one.request];
        match is_unused || request.may_rerun {
            true => self.place(one.request),
            false => request.is_over = true,
        }
    }

    fn withdraw(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        if one.ended.is_some() || self.requests[one.request].begun.is_some() {
            return;
        }
        self.outcome.withdrawn += 1;
        let planned = one.withdraw_at.unwrap_or(self.now);
        let delay = self.now.saturating_sub(planned);
        self.outcome.withdrawal_delays.push(delay);
        self.attempts[attempt].is_withdrawn = !one.is_begun;
        self.give_up(attempt, false);
    }

    fn replace_silent(&mut self, attempt: usize) {
        let one = self.attempts[attempt];
        let request = &self.requests[one.request];
        let may_replace = one.ended.is_none() && request.begun.is_none();
        if may_replace && request.may_rerun && request.open < 2 {
            self.place(one.request);
        }
    }

    fn order_load(&mut self, engine: usize, version: u64) {
        let one = &mut self.engines[engine];
        let held = one.loading.unwrap_or(one.version);
        if held >= version {
            return;
        }
        if one.stopped.is_on(self.now) || one.frozen.is_on(self.now) {
            let back = one.stopped.end(self.now).max(one.frozen.end(self.now));
            let after = secs(self.rng.random_range(0.3..1.0));
            let at = back.unwrap_or(self.now) + after;
            self.push(at, Event::Load { engine, version });
            return;
        }
        if one.loading.is_some() {
            self.push(self.now + secs(0.1), Event::Load { engine, version });
            return;
        }
        one.loading = Some(version);
        self.start_step(engine);
    }

    fn finish_loading(&mut self, engine: usize) {
        if let Some(thaw) = self.engines[engine].frozen.end(self.now) {
            self.push(thaw, Event::Loaded(engine));
            return;
        }
        self.engines[engine].is_stepping = false;
        for attempt in self.engines[engine].finish_loading() {
            self.reject(attempt);
        }
    }

    fn report(&mut self, engine: usize) {
        self.push(self.now + REPORT_INTERVAL, Event::Report(engine));
        let one = &mut self.engines[engine];
        if !one.agent_answers(self.now) {
            return;
        }
        let free = match one.loading {
            Some(_) => 0,
            None => SLOTS.saturating_sub(one.in_use),
        };
        self.hints[engine] = Hint {
            version: one.version,
            free,
            delay: one.predict(self.now, REPORT_LAG, 400),
            at: self.now,
        };
    }

    fn restart(&mut self, entry: usize) {
        self.entries[entry].restarted = Some(self.now);
        for request in 0..self.requests.len() {
            let one = &mut self.requests[request];
            if one.entry == entry && one.arrived <= self.now {
                one.is_over = true;
            }
        }
        for attempt in 0..self.attempts.len() {
            let is_own = self.requests[self.attempts[attempt].request].entry == entry;
            if is_own {
                self.close(attempt, false);
            }
        }
    }

    fn count(&mut self) {
        let bound = self.bound_end();
        for request in &self.requests {
            let goodput = match request.arrived {
                at if (bound - WINDOW..bound).contains(&at) => &mut self.outcome.before,
                at if (bound..bound + WINDOW).contains(&at) => &mut self.outcome.after,
                _ => continue,
            };
            let is_on_time = request.begun.is_some_and(|at| at <= request.arrived + GOAL);
            goodput.arrived += 1;
            goodput.on_time += u32::from(is_on_time);
        }
    }
}
