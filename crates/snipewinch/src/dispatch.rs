//! The queue of an entry for one service: in which order requests go to the
//! places that are granted, whom to ask for places, and whom to refuse.
//!
//! The load that this answers: more requests than the places of a service can
//! bear, for seconds. A request that starts too late to be on time is worth
//! little and takes as long as any other, so it gives way to those that can
//! still be on time, and is refused at once when it has waited so long that
//! more waiting helps nobody.

use std::ops::Range;
use std::time::Duration;

use slotmap::SlotMap;

use crate::mix::Rng;

slotmap::new_key_type! {
    /// Names a request while it waits.
    pub struct Ticket;
}

/// How long a request waits for the nearest free place before all places of
/// its availability zone are asked for: a few round trips in a zone.
const WIDEN_ZONE: Duration = Duration::from_millis(6);
/// How long before the places of all zones are asked for: a few round trips
/// between regions.
const WIDEN_ALL: Duration = Duration::from_millis(16);
/// Agents of the nearest zone, and of all others, that are asked at once while
/// no place is free.
const ASKED_NEAR_MAX: usize = 8;
const ASKED_FAR_MAX: usize = 4;
/// How long the word of an agent on its free places is believed.
const HINT_AGE_MAX: Duration = Duration::from_millis(400);
/// What is believed of an agent that said nothing lately.
const HINT_UNKNOWN: u16 = 2;
/// The delay that is believed of it.
const DELAY_UNKNOWN: Duration = Duration::from_millis(110);
/// What each further request adds to an engine's delay: a usual prompt.
const DELAY_STEP: Duration = Duration::from_millis(45);
/// How much sooner an engine of another availability zone must answer to be
/// asked first: the way there and back, and the bytes between zones.
const AWAY: Duration = Duration::from_millis(40);
/// What a free engine takes to the first event, at least.
const FIRST_EVENT_MIN: Duration = Duration::from_millis(90);

/// Over what time the rate of places is averaged.
const RATE_MEMORY: Duration = Duration::from_secs(4);
/// How long the requests that wait may take to find places at that rate.
const BACKLOG: Duration = Duration::from_millis(1_500);
/// How many may wait whatever the rate.
const BACKLOG_MIN: f64 = 8.0;

/// The part of the time that callers have left within which they come back when
/// asked to; the platform's pages name it.
const RETURN_PART: f64 = 1.0 / 3.0;
/// Between which parts of that time refused callers are spread: while all places
/// are taken, some are free after the time of a usual answer; while nobody
/// serves, the longest wait has the best chance, as each caller comes back once.
const RETURN_BUSY: Range<f64> = 0.35..0.9;
const RETURN_NOBODY: Range<f64> = 0.8..1.0;

/// Why a request is refused that may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// All places are taken.
    Busy,
    /// Nobody serves for now.
    NoServer,
}

/// When a refused caller with so much time left is to come back; `draw`, from 0
/// to 1, sets callers apart so that they do not come together.
pub fn retry_after(shortage: Shortage, left: Duration, draw: f64) -> Duration {
    let parts = match shortage {
        Shortage::Busy => RETURN_BUSY,
        Shortage::NoServer => RETURN_NOBODY,
    };
    let part = parts.start + (parts.end - parts.start) * draw;
    left.mul_f64(RETURN_PART * part)
}

/// One request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// When it arrived.
    pub arrived: Duration,
    /// Until when its first event is on time.
    pub due: Duration,
    /// Its prompt tokens.
    pub tokens: u32,
    /// When it is refused.
    pub expires: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether it goes before all others: it has begun and is to go on.
    pub resumes: bool,
}

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiters: SlotMap<Ticket, Waiter>,
    /// Places used in a second, a moving average, and when it was last brought
    /// up to date.
    rate: f64,
    rated: Duration,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) -> Ticket {
        self.waiters.insert(waiter)
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(ticket)
    }

    /// A place was used.
    pub fn record_start(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.rated).as_secs_f64();
        let kept = (-passed / RATE_MEMORY.as_secs_f64()).exp();
        self.rate = self.rate * kept + 1.0 / RATE_MEMORY.as_secs_f64();
        self.rated = now;
    }

    /// The request to refuse at once, if more wait than will find places while
    /// waiting helps them: of those that are late, the one that has waited
    /// longest, as it has the least time left.
    pub fn to_shed(&self, now: Duration) -> Option<Ticket> {
        let most = (self.rate * BACKLOG.as_secs_f64()).max(BACKLOG_MIN);
        if self.waiters.len() as f64 <= most {
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

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// The request that the next place goes to, among those that `fits` says
    /// it suits.
    pub fn best(&self, now: Duration, mut fits: impl FnMut(Ticket) -> bool) -> Option<Ticket> {
        let suited = self.waiters.iter().filter(|(ticket, _)| fits(*ticket));
        let best = suited.min_by_key(|(_, waiter)| rank(now, waiter));
        best.map(|(ticket, _)| ticket)
    }

    /// The requests that have waited too long.
    pub fn expired(&self, now: Duration) -> Vec<Ticket> {
        let expired = self.waiters.iter().filter(|(_, one)| one.expires <= now);
        expired.map(|(ticket, _)| ticket).collect()
    }

    /// For how many milliseconds the first event of the most urgent request is
    /// on time, negative if all are late, and its prompt tokens.
    pub fn most_urgent(&self, now: Duration) -> Option<(i32, u32)> {
        let best = self.waiters.values().min_by_key(|one| rank(now, one))?;
        let slack = best.due.as_millis() as i64 - now.as_millis() as i64;
        Some((slack.clamp(-60_000, 60_000) as i32, best.tokens))
    }

    /// When the request that arrived first did so.
    pub fn oldest(&self) -> Option<Duration> {
        self.waiters.values().map(|one| one.arrived).min()
    }
}

/// On time before late, urgent before others, the nearest due first; of those
/// that are late, the latest arrival first.
fn rank(now: Duration, waiter: &Waiter) -> (bool, bool, u32, Duration) {
    match waiter.due >= now + FIRST_EVENT_MIN {
        true => (!waiter.resumes, false, waiter.priority, waiter.due),
        false => {
            let age = now.saturating_sub(waiter.arrived);
            (!waiter.resumes, true, waiter.priority, age)
        }
    }
}

/// An agent that could be asked for places.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// 0 in the own availability zone, 1 in the own region, 2 elsewhere.
    pub distance: u8,
    /// Its free places by its last word.
    pub free: u16,
    /// How long a usual request's first event would take there.
    pub delay: Duration,
    /// How old that word is; none if it said nothing yet.
    pub hint_age: Option<Duration>,
}

impl Candidate {
    fn is_fresh(&self) -> bool {
        self.hint_age.is_some_and(|age| age <= HINT_AGE_MAX)
    }

    /// How long the first event would take, and what the way costs.
    fn cost(&self) -> Duration {
        let delay = if self.is_fresh() {
            self.delay
        } else {
            DELAY_UNKNOWN
        };
        let away = if self.distance > 0 {
            AWAY
        } else {
            Duration::ZERO
        };
        delay + away
    }

    fn hint(&self) -> u16 {
        match self.hint_age {
            _ if self.is_fresh() => self.free,
            Some(_) | None => HINT_UNKNOWN,
        }
    }
}

/// For how many places to ask each candidate, given that `waiting` requests
/// wait, the first since `oldest`.
///
/// A place that is found free is asked for once; while none is granted, more
/// and more agents are asked, and what is granted in excess is handed back. How
/// many are asked at once is bounded: where no place is free for seconds, all
/// entries would otherwise fill the links with asks to all agents. Which of them
/// depends on `seed`, which the embedder changes now and then.
pub fn plan(waiting: usize, oldest: Duration, candidates: &[Candidate], seed: u64) -> Vec<u16> {
    let all = waiting.min(usize::from(u16::MAX)) as u16;
    let nearest = candidates.iter().map(|one| one.distance).min();
    let mut draw = Rng::new(seed);
    if oldest >= WIDEN_ZONE {
        let far = if oldest >= WIDEN_ALL {
            ASKED_FAR_MAX
        } else {
            0
        };
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_cached_key(|place| (candidates[*place].hint() == 0, draw.next()));
        let (mut near, mut far) = (ASKED_NEAR_MAX, far);
        let mut asks = vec![0; candidates.len()];
        for place in order {
            let left = match Some(candidates[place].distance) == nearest {
                true => &mut near,
                false => &mut far,
            };
            if *left > 0 {
                *left -= 1;
                asks[place] = all;
            }
        }
        return asks;
    }
    let mut left: Vec<u16> = candidates.iter().map(Candidate::hint).collect();
    let ties: Vec<u64> = candidates.iter().map(|_| draw.next()).collect();
    let mut asks = vec![0; candidates.len()];
    for _ in 0..waiting {
        let places = 0..candidates.len();
        let best = places.min_by_key(|place| {
            let one = &candidates[*place];
            let rest = left[*place];
            let cost = one.cost() + DELAY_STEP * u32::from(asks[*place]);
            (rest == 0, cost, ties[*place])
        });
        let Some(best) = best else {
            break;
        };
        left[best] = left[best].saturating_sub(1);
        asks[best] += 1;
    }
    asks
}
