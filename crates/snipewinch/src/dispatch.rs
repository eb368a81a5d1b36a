//! The queue of an entry for one service: in which order requests get the slots
//! that are granted, which agents to demand slots from, and which requests to
//! refuse.
//!
//! It serves the case that more requests arrive than the slots of a service can
//! serve, for seconds. A request that starts too late to be on time is of
//! little use but takes a slot as long as any other. So it yields to those that
//! can still be on time, and is refused once more requests wait than will get
//! slots in useful time.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use slotmap::SlotMap;

use crate::mix;
use crate::mix::Rng;
use crate::urgency;
use crate::urgency::Want;
use crate::urgency::Wants;

slotmap::new_key_type! {
    /// Identifies a request while it waits.
    pub struct Ticket;
}

/// How long a request waits for the nearest free slot before slots are demanded
/// throughout its availability zone: a few round trips in a zone.
const WIDEN_TO_ZONE_AFTER: Duration = Duration::from_millis(6);
/// How long it waits before slots are demanded in all zones: a few round trips
/// between regions.
const WIDEN_TO_ALL_AFTER: Duration = Duration::from_millis(16);
/// Agents of the nearest zone that get a demand at once while no slot is free.
const NEAR_AGENTS_MAX: usize = 8;
/// Agents of all other zones that get a demand at once while no slot is free.
const FAR_AGENTS_MAX: usize = 4;
/// The age up to which an agent's last credit is used as a hint.
const HINT_AGE_MAX: Duration = Duration::from_millis(400);
/// The free slots assumed at an agent without a recent credit.
const FREE_SLOTS_DEFAULT: u16 = 2;
/// The delay of the first event assumed at an agent without a recent credit.
const FIRST_EVENT_DELAY_DEFAULT: Duration = Duration::from_millis(110);
/// The delay that each further request adds at an engine: a typical prompt.
const DELAY_PER_REQUEST: Duration = Duration::from_millis(45);
/// How much sooner an engine of another availability zone must answer to be
/// preferred: the round trip, and the cost of traffic between zones.
const REMOTE_PENALTY: Duration = Duration::from_millis(40);
/// The time that an engine takes from a slot to the first event when it is not idle.
const FIRST_EVENT_DELAY_MIN: Duration = Duration::from_millis(150);

/// The time constant of the moving average of the start rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// How long the waiting requests may take to get slots at that rate.
const BACKLOG_TIME_MAX: Duration = Duration::from_millis(1_500);
/// Requests that may wait at any rate.
const BACKLOG_REQUESTS_MIN: f64 = 8.0;

/// The fraction of a caller's remaining time within which it honours a
/// Retry-After, as the platform's pages give it.
const RETRY_WINDOW_FRACTION: f64 = 1.0 / 3.0;
/// The fractions of that window over which callers are spread while all slots
/// are taken: some are free again after the time of a typical answer.
const RETRY_SPREAD_BUSY: Range<f64> = 0.35..0.9;
/// The fractions of that window over which callers are spread while no backend
/// server serves: each caller retries once, so the longest wait is most likely
/// to succeed.
const RETRY_SPREAD_NO_SERVER: Range<f64> = 0.8..1.0;

/// The longest delay after the end of a rest, as a fraction of the rest.
const RETRY_SPREAD_REST: f64 = 0.25;

/// Why a request is refused that may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// All slots are taken.
    Busy,
    /// No backend server serves for now.
    NoServer,
    /// All backend servers rest, the first for this long.
    Rest(Duration),
}

/// The delay after which a refused caller with `remaining` time should retry.
/// `jitter`, from 0 to 1, spreads the callers so that they do not all retry at
/// once.
pub fn retry_after(shortage: Shortage, remaining: Duration, jitter: f64) -> Duration {
    let range = match shortage {
        Shortage::Busy => RETRY_SPREAD_BUSY,
        Shortage::NoServer => RETRY_SPREAD_NO_SERVER,
        Shortage::Rest(left) => return left.mul_f64(1.0 + RETRY_SPREAD_REST * jitter),
    };
    let fraction = range.start + (range.end - range.start) * jitter;
    remaining.mul_f64(RETRY_WINDOW_FRACTION * fraction)
}

/// The digest by which messages name a customer; never 0.
pub fn customer_digest(name: &str) -> u32 {
    (mix::hash(name) as u32).max(1)
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// When it arrived.
    pub arrived: Duration,
    /// The time until which its first event is on time.
    pub due: Duration,
    /// The length of its prompt, in tokens.
    pub tokens: u32,
    /// When it is refused if it still waits.
    pub expires: Duration,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// A digest of the name of its customer; 0 if there is none.
    pub customer: u32,
    /// Whether it continues an answer that has begun; it then goes before all
    /// others.
    pub resumes: bool,
}

impl Waiter {
    fn want(&self, now: Duration) -> Want {
        let slack = self.due.as_millis() as i64 - now.as_millis() as i64;
        Want {
            waiting: 1,
            slack_ms: slack.clamp(-60_000, 60_000) as i32,
            tokens: self.tokens,
            priority: self.priority.min(u32::from(urgency::UNKNOWN) - 1) as u8,
            customer: self.customer,
        }
    }
}

/// The requests that wait for a slot of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiters: SlotMap<Ticket, Waiter>,
    /// Requests started per second, a moving average.
    rate: f64,
    /// When the rate was last updated.
    rate_updated_at: Duration,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) -> Ticket {
        self.waiters.insert(waiter)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(ticket)
    }

    /// Records that a request got a slot, for the start rate.
    pub fn record_start(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.rate_updated_at).as_secs_f64();
        let kept = (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.rate = self.rate * kept + 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.rate_updated_at = now;
    }

    /// The request to refuse at once, if more wait than will get slots within
    /// `BACKLOG_TIME_MAX`: of those that are late, the one that has waited
    /// longest, as it has the least time left.
    pub fn to_shed(&self, now: Duration) -> Option<Ticket> {
        let limit = (self.rate * BACKLOG_TIME_MAX.as_secs_f64()).max(BACKLOG_REQUESTS_MIN);
        if self.waiters.len() as f64 <= limit {
            return None;
        }
        let late = self
            .waiters
            .iter()
            .filter(|(_, one)| !one.resumes && one.due < now);
        let oldest = late.min_by_key(|(_, one)| one.arrived);
        oldest.map(|(ticket, _)| ticket)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// The request that gets the next slot, among those that `fits` accepts for
    /// it.
    pub fn best(&self, now: Duration, mut fits: impl FnMut(Ticket) -> bool) -> Option<Ticket> {
        let matching = self.waiters.iter().filter(|(ticket, _)| fits(*ticket));
        let best = matching.min_by_key(|(_, waiter)| rank(now, waiter));
        best.map(|(ticket, _)| ticket)
    }

    /// The requests whose waiting time is over.
    pub fn expired(&self, now: Duration) -> Vec<Ticket> {
        let expired = self.waiters.iter().filter(|(_, one)| one.expires <= now);
        expired.map(|(ticket, _)| ticket).collect()
    }

    /// What waits, in groups of one urgency, the most urgent first.
    pub fn wants(&self, now: Duration) -> Wants {
        let mut groups: BTreeMap<(bool, bool, u32), (Duration, Want)> = BTreeMap::new();
        for waiter in self.waiters.values() {
            let (resumes, is_late, priority, place) = rank(now, waiter);
            let group = groups.entry((resumes, is_late, priority));
            let (first, want) = group.or_insert((Duration::MAX, Want::default()));
            let waiting = want.waiting.saturating_add(1);
            if place < *first {
                *first = place;
                *want = waiter.want(now);
            }
            want.waiting = waiting;
        }
        let mut wants = Wants::default();
        for (place, (_, want)) in groups.into_values().enumerate() {
            match wants.get_mut(place) {
                Some(free) => *free = Some(want),
                None => {
                    let last = wants[urgency::WANTS_MAX - 1].as_mut();
                    let last = last.expect("the groups before fill it");
                    last.waiting = last.waiting.saturating_add(want.waiting);
                }
            }
        }
        wants
    }

    /// The arrival time of the request that arrived first.
    pub fn oldest(&self) -> Option<Duration> {
        self.waiters.values().map(|one| one.arrived).min()
    }
}

/// Orders requests: resumed ones first, then on time before late, then by
/// priority, then the earliest due first; of late ones, the latest arrival
/// first.
fn rank(now: Duration, waiter: &Waiter) -> (bool, bool, u32, Duration) {
    match waiter.due >= now + FIRST_EVENT_DELAY_MIN {
        true => (!waiter.resumes, false, waiter.priority, waiter.due),
        false => {
            let age = now.saturating_sub(waiter.arrived);
            (!waiter.resumes, true, waiter.priority, age)
        }
    }
}

/// An agent that slots can be demanded from.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// 0 in the own availability zone, 1 in the own region, 2 elsewhere.
    pub distance: u8,
    /// Its free slots by its last credit.
    pub free: u16,
    /// How long the first event of a typical request would take there.
    pub delay: Duration,
    /// The age of that credit; none if there was none yet.
    pub hint_age: Option<Duration>,
    /// Whether it is to be used only if no other one has free slots.
    pub is_last_choice: bool,
}

impl Candidate {
    fn is_fresh(&self) -> bool {
        self.hint_age.is_some_and(|age| age <= HINT_AGE_MAX)
    }

    /// The delay of the first event, plus the penalty for another zone.
    fn cost(&self) -> Duration {
        let delay = if self.is_fresh() {
            self.delay
        } else {
            FIRST_EVENT_DELAY_DEFAULT
        };
        let penalty = if self.distance > 0 {
            REMOTE_PENALTY
        } else {
            Duration::ZERO
        };
        delay + penalty
    }

    fn free_or_default(&self) -> u16 {
        match self.hint_age {
            _ if self.is_fresh() => self.free,
            Some(_) | None => FREE_SLOTS_DEFAULT,
        }
    }
}

/// How many slots to demand from each candidate while `waiting` requests wait,
/// the first of them for `oldest`.
///
/// At first one slot is demanded for each request, where slots are reported
/// free. While none is granted, more agents get demands, and slots granted in
/// excess are released. The number of agents is bounded: where no slot is free
/// for seconds, all entries would otherwise fill the links with demands to all
/// agents. `seed` decides which agents are chosen; the embedder changes it from
/// time to time.
pub fn plan(waiting: usize, oldest: Duration, candidates: &[Candidate], seed: u64) -> Vec<u16> {
    let wanted = waiting.min(usize::from(u16::MAX)) as u16;
    let nearest = candidates.iter().map(|one| one.distance).min();
    let mut rng = Rng::new(seed);
    if oldest >= WIDEN_TO_ZONE_AFTER {
        let far_left = if oldest >= WIDEN_TO_ALL_AFTER {
            FAR_AGENTS_MAX
        } else {
            0
        };
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_cached_key(|index| {
            let one = &candidates[*index];
            (one.free_or_default() == 0, one.is_last_choice, rng.next())
        });
        let (mut near_left, mut far_left) = (NEAR_AGENTS_MAX, far_left);
        let mut demands = vec![0; candidates.len()];
        for index in order {
            let remaining = match Some(candidates[index].distance) == nearest {
                true => &mut near_left,
                false => &mut far_left,
            };
            if *remaining > 0 {
                *remaining -= 1;
                demands[index] = wanted;
            }
        }
        return demands;
    }
    let mut remaining: Vec<u16> = candidates.iter().map(Candidate::free_or_default).collect();
    let tie_breaks: Vec<u64> = candidates.iter().map(|_| rng.next()).collect();
    let mut demands = vec![0; candidates.len()];
    for _ in 0..waiting {
        let indices = 0..candidates.len();
        let chosen = indices.min_by_key(|index| {
            let one = &candidates[*index];
            let free = remaining[*index];
            let cost = one.cost() + DELAY_PER_REQUEST * u32::from(demands[*index]);
            (free == 0, one.is_last_choice, cost, tie_breaks[*index])
        });
        let Some(chosen) = chosen else {
            break;
        };
        remaining[chosen] = remaining[chosen].saturating_sub(1);
        demands[chosen] += 1;
    }
    demands
}
