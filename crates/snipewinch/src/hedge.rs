//! Second attempts of slow requests, within a limit that operators set.
//!
//! They serve the case that a few servers are slow, or silent, while others have room.
//! A request that may be repeated and has not begun after what most answers of its kind
//! take also goes to another server; the first answer is used and the other attempt is
//! withdrawn (Dean and Barroso, "The tail at scale", CACM 2013). Where requests wait or
//! are refused, a second attempt would take a slot from another request, so there is
//! none.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// The window over which the limit holds.
pub const WINDOW: Duration = Duration::from_secs(10);
/// The parts into which the window is divided.
const PARTS: usize = 20;
const PART: Duration = Duration::from_millis(WINDOW.as_millis() as u64 / PARTS as u64);
/// The share of the limit that is used when requests are as slow as usual. The rest is
/// left for times when more are, so that the slowest still get second attempts.
const USUAL_USE: f64 = 0.5;
/// The percentiles between which the delay is taken.
const PERCENTILE_MIN: f64 = 0.9;
const PERCENTILE_MAX: f64 = 0.995;
/// The answers from which on a delay is known.
const SAMPLES_MIN: u32 = 8;
/// The answers after which older ones count half.
const SAMPLES_MAX: u32 = 400;
/// The shortest delay: a few network delays.
const DELAY_MIN: Duration = Duration::from_millis(10);
/// The keys for which times are learned at the same time.
const KEYS_MAX: usize = 512;
/// How long after a refusal the service counts as refusing.
const REFUSING_TIME: Duration = Duration::from_secs(1);

/// The share of a service's requests that may get a second attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit(f64);

impl Limit {
    /// Reads a share from 0 to 1; none if it is something else.
    pub fn parse(text: &str) -> Option<Limit> {
        let share: f64 = text.trim().parse().ok()?;
        (0.0..=1.0).contains(&share).then_some(Limit(share))
    }

    /// Whether no request gets a second attempt.
    pub fn is_off(self) -> bool {
        self.0 == 0.0
    }
}

/// Why a request gets no second attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withheld {
    /// The request or a part of its prompt may end servers.
    Suspected,
    /// Other requests wait for the same slots.
    Waiting,
    /// The service has just refused a request.
    Refusing,
    /// The limit is reached.
    Limit,
    /// The fleet's retry budget is used up.
    RetryBudget,
    /// It may not be executed by one more server.
    Attempts,
    /// No other server that it may go to has a free slot.
    NoSlot,
}

impl Withheld {
    /// Whether it may end while the request is slow, which is then looked at again after
    /// the same delay.
    pub fn is_passing(self) -> bool {
        match self {
            Withheld::Waiting | Withheld::Limit | Withheld::RetryBudget => true,
            Withheld::Suspected | Withheld::Refusing | Withheld::Attempts | Withheld::NoSlot => {
                false
            }
        }
    }

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Withheld::Suspected => "suspected",
            Withheld::Waiting => "waiting",
            Withheld::Refusing => "refusing",
            Withheld::Limit => "limit",
            Withheld::RetryBudget => "retry_budget",
            Withheld::Attempts => "attempts",
            Withheld::NoSlot => "no_slot",
        }
    }
}

/// What is known when a request is slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    /// Whether the request or a part of its prompt is suspected or blocked.
    pub is_suspected: bool,
    /// Whether requests wait for a slot of the service.
    pub others_wait: bool,
}

/// Second attempts at one entry.
#[derive(Debug)]
pub struct Hedge {
    limit: Limit,
    times: HashMap<(SmolStr, Option<u8>), Times>,
    services: HashMap<SmolStr, Service>,
}

impl Hedge {
    /// Creates the state of an entry that has learned nothing yet.
    pub fn open(limit: Limit) -> Hedge {
        Hedge {
            limit,
            times: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Records a request of a service, of which a share may get second attempts.
    pub fn record_request(&mut self, now: Duration, service: &SmolStr) {
        if !self.limit.is_off() {
            let service = self.services.entry(service.clone()).or_default();
            service.part(now).requests += 1;
        }
    }

    /// Records that a request of a service found no slot.
    pub fn record_refusal(&mut self, now: Duration, service: &SmolStr) {
        if !self.limit.is_off() {
            self.services.entry(service.clone()).or_default().refused = Some(now);
        }
    }

    /// Records how long a request with a prompt of `tokens` took to begin, or to be
    /// answered if that is no stream. For one that was withdrawn, the time so far is
    /// recorded, so that the slowest are not left out.
    pub fn record_answer(&mut self, route: &SmolStr, tokens: u32, took: Duration) {
        if self.limit.is_off() {
            return;
        }
        if self.times.len() >= KEYS_MAX {
            self.times.clear();
        }
        for size in [None, Some(size(tokens))] {
            let times = self.times.entry((route.clone(), size)).or_default();
            times.record(took);
        }
    }

    /// After what time a request is slow; none if that is not known yet or there are no
    /// second attempts.
    pub fn delay(&self, route: &SmolStr, tokens: u32) -> Option<Duration> {
        if self.limit.is_off() {
            return None;
        }
        let percentile = (1.0 - self.limit.0 * USUAL_USE).clamp(PERCENTILE_MIN, PERCENTILE_MAX);
        [Some(size(tokens)), None]
            .into_iter()
            .find_map(|size| self.times.get(&(route.clone(), size))?.at(percentile))
            .map(|delay| delay.max(DELAY_MIN))
    }

    /// Whether a slow request may get a second attempt now. `take_retry` takes one out of
    /// the retry budget, and is asked last.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn try_take(
        &mut self,
        now: Duration,
        service: &SmolStr,
        facts: Facts,
        take_retry: impl FnOnce() -> bool,
    ) -> Result<(), Withheld> {
        let limit = self.limit.0;
        let service = self.services.entry(service.clone()).or_default();
        let is_recent = |at| now.saturating_sub(at) < REFUSING_TIME;
        match facts {
            _ if facts.is_suspected => Err(Withheld::Suspected),
            _ if facts.others_wait => Err(Withheld::Waiting),
            _ if service.refused.is_some_and(is_recent) => Err(Withheld::Refusing),
            _ if !service.has_room(now, limit) => Err(Withheld::Limit),
            _ if !take_retry() => Err(Withheld::RetryBudget),
            _ => {
                service.part(now).seconds += 1;
                Ok(())
            }
        }
    }
}

/// The class of a prompt's length.
fn size(tokens: u32) -> u8 {
    (u32::BITS - tokens.leading_zeros()) as u8
}

/// What happened in a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u32,
    seconds: u32,
}

/// The last window of a service.
#[derive(Clone, Debug, Default)]
struct Service {
    refused: Option<Duration>,
    /// One part more than the window, as the newest is not over.
    parts: [Part; PARTS + 1],
    newest: u128,
}

impl Service {
    /// The part of the present.
    fn part(&mut self, now: Duration) -> &mut Part {
        let index = now.as_millis() / PART.as_millis();
        let passed = index.saturating_sub(self.newest);
        for step in 0..passed.min(self.parts.len() as u128) {
            self.parts[((index - step) % self.parts.len() as u128) as usize] = Part::default();
        }
        self.newest = self.newest.max(index);
        let at = (self.newest % self.parts.len() as u128) as usize;
        &mut self.parts[at]
    }

    /// Whether one more second attempt keeps the limit: all of at least the last window
    /// against the requests of at most that.
    fn has_room(&mut self, now: Duration, limit: f64) -> bool {
        let _ = self.part(now);
        let oldest = ((self.newest + 1) % self.parts.len() as u128) as usize;
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let requests = requests - self.parts[oldest].requests;
        let seconds: u32 = self.parts.iter().map(|part| part.seconds).sum();
        f64::from(seconds + 1) <= limit * f64::from(requests)
    }
}

/// The times of answers, in classes of which each is a little longer than the last.
#[derive(Clone, Debug)]
struct Times {
    counts: [u16; Times::CLASSES],
    sum: u32,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            counts: [0; Times::CLASSES],
            sum: 0,
        }
    }
}

impl Times {
    const CLASSES: usize = 80;
    /// The time of a class by that of the one before.
    const RATIO: f64 = 1.15;

    fn record(&mut self, took: Duration) {
        if self.sum >= SAMPLES_MAX {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.sum = self.counts.iter().copied().map(u32::from).sum();
        }
        let ms = (took.as_secs_f64() * 1_000.0).max(1.0);
        let class = (ms.ln() / Times::RATIO.ln()) as usize;
        self.counts[class.min(Times::CLASSES - 1)] += 1;
        self.sum += 1;
    }

    /// The time that a share of the answers did not exceed.
    fn at(&self, share: f64) -> Option<Duration> {
        if self.sum < SAMPLES_MIN {
            return None;
        }
        let rank = (share * f64::from(self.sum)).ceil() as u32;
        let mut below = 0;
        let class = self.counts.iter().position(|count| {
            below += u32::from(*count);
            below >= rank
        });
        let upper_ms = Times::RATIO.powi(class.unwrap_or(Times::CLASSES) as i32 + 1);
        Some(Duration::from_secs_f64(upper_ms / 1_000.0))
    }
}
