//! Backend servers that have just started and take few requests at first.
//!
//! What all entries send to a cold server counts together. Its agent sees all of
//! them, so it grants slots one by one, spaced ([`Gate`]). What goes to a server
//! without a grant is sent by few entries, each of which keeps a share ([`Share`]).
//! Requests that were spaced bunch on the way, so a part of what is allowed is kept
//! for them ([`Pace`]).

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How long a credit and the request that follows it may take beyond others.
const BUNCHING: Duration = Duration::from_millis(350);
/// The span in which the bound counts requests.
const SPAN: Duration = Duration::from_secs(1);
/// The longest cold time that one message extends. A server that is cold for longer
/// says so again.
const LEFT_MAX: Duration = Duration::from_secs(60);
/// The lowest rate, so that a bound that leaves next to nothing does not stop a server.
const RATE_MIN_PER_S: f64 = 0.2;
/// The longest time between two requests of one entry: a share without use.
const SPACING_MAX: Duration = Duration::from_secs(3_600);
/// How long after the last report a server is known not to have started anew: an agent
/// that stood still does not know.
const SEEN_AGE_MAX: Duration = Duration::from_millis(750);
/// How soon it is looked again whether there is a report.
const SEEN_RETRY: Duration = Duration::from_millis(50);
/// The span whose grants a cold server counts as free.
const FREE_SPAN: Duration = Duration::from_millis(250);

/// How the backend servers of a service start.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// How long a server is cold after its start.
    #[serde(rename = "s")]
    pub duration: Duration,
    /// The requests per second that a cold server takes from all entries together.
    #[serde(rename = "r")]
    pub per_s: f64,
}

/// Whether a request may go to a server that may be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Open,
    /// It may after this time.
    Later(Duration),
}

impl Admission {
    /// Whether a request may go there now.
    pub fn is_open(self) -> bool {
        self == Admission::Open
    }
}

/// How fast requests may be sent to the cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// How long a server is cold after its start.
    pub duration: Duration,
    /// The least time between two grants.
    pub interval: Duration,
    /// The most grants within [`Pace::WINDOW`].
    pub grants_max: usize,
    /// The requests per second that may go without a grant to a cold server of which
    /// other requests may come from its agent.
    pub ungranted_per_s: f64,
    /// The requests per second that may go to a server without an agent.
    pub direct_per_s: f64,
}

impl Pace {
    /// The span in which requests are counted: those granted within it may arrive in
    /// one second.
    pub const WINDOW: Duration = SPAN.saturating_add(BUNCHING);

    /// The pace for a bound of `per_s` times `overage` and `burst` requests in any
    /// second. Grants come at `per_s` unless the bound is tighter; of what is left
    /// above them, the part that bunching does not need is for requests without a
    /// grant.
    pub fn new(terms: Terms, overage: f64, burst: f64) -> Pace {
        let window_s = Self::WINDOW.as_secs_f64();
        let bound = (terms.per_s * overage.max(0.0) + burst.max(0.0)).max(1.0);
        let per_s = terms.per_s.min((bound - 1.0) / window_s);
        let per_s = per_s.max(RATE_MIN_PER_S);
        let granted = per_s * window_s + 1.0;
        let spare = (bound - granted).max(0.0);
        // Owners of a share send one request each at once.
        let by_owners = |allowed: f64, rate: f64| {
            let owned = allowed - crate::server_limit::OWNERS_EXTRA;
            owned.min(rate).max(0.0)
        };
        Pace {
            duration: terms.duration,
            interval: Duration::from_secs_f64(1.0 / per_s),
            grants_max: granted.max(1.0) as usize,
            ungranted_per_s: by_owners(spare, per_s),
            direct_per_s: by_owners(bound / window_s * SPAN.as_secs_f64(), per_s)
                .max(RATE_MIN_PER_S),
        }
    }
}

/// Until when one server is cold, as far as a process knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Until {
    /// By its row in the list. Only this is told to its agent, which would else hear
    /// of its own credits again, each time a little longer.
    listed: Duration,
    /// By its answers, its agent and its start.
    heard: Duration,
}

impl Until {
    /// Records what its row in the list says, which has just arrived.
    pub fn record_listed(&mut self, now: Duration, left: Duration) {
        self.listed = self.listed.max(end(now, left));
    }

    /// Records what itself or its agent says, or what follows from its start.
    pub fn record_heard(&mut self, now: Duration, left: Duration) {
        self.heard = self.heard.max(end(now, left));
    }

    /// How much longer it is cold by its row in the list.
    pub fn listed_left(&self, now: Duration) -> Duration {
        self.listed.saturating_sub(now)
    }

    /// How much longer it is cold: the longest of what is known holds.
    pub fn left(&self, now: Duration) -> Duration {
        self.listed.max(self.heard).saturating_sub(now)
    }
}

fn end(now: Duration, left: Duration) -> Duration {
    match left.is_zero() {
        true => Duration::ZERO,
        false => now + left.min(LEFT_MAX),
    }
}

/// Holds back the grants of one server while it is cold.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    pace: Option<Pace>,
    until: Until,
    /// The grants of the last [`Pace::WINDOW`], also those made before it was cold.
    recent: VecDeque<Duration>,
    /// When the last report was asked for that the server has answered.
    seen: Option<Duration>,
    /// Before when nothing is granted while it is cold.
    not_before: Duration,
    /// How often grants were held back.
    held_back: u64,
}

impl Gate {
    /// Sets the pace; none if the service has no cold servers. An agent that has just
    /// started does not know what the one before it has granted, so the first grant
    /// waits as if one had just been made.
    pub fn set_pace(&mut self, now: Duration, pace: Option<Pace>) {
        if let (None, Some(new)) = (self.pace, pace) {
            self.not_before = now + new.interval;
        }
        self.pace = pace;
    }

    /// The pace; none if the service has no cold servers.
    pub fn pace(&self) -> Option<Pace> {
        self.pace
    }

    /// Records that the server has answered a request for its state that was sent at a
    /// time.
    pub fn record_seen(&mut self, asked: Duration) {
        self.seen = Some(asked);
    }

    /// Records how much longer the server is cold; true if it was not known to be cold.
    pub fn record_left(&mut self, now: Duration, left: Duration) -> bool {
        let was_cold = self.is_cold(now);
        self.until.record_heard(now, left);
        !was_cold && self.is_cold(now)
    }

    /// How much longer the server is cold; none if it is not.
    pub fn left(&self, now: Duration) -> Duration {
        match self.pace {
            Some(_) => self.until.left(now),
            None => Duration::ZERO,
        }
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        !self.left(now).is_zero()
    }

    /// Whether a slot may be granted now, or when.
    pub fn admission(&self, now: Duration) -> Admission {
        let is_unseen = self.seen.is_some_and(|at| now > at + SEEN_AGE_MAX);
        let pace = match self.pace {
            Some(_) if is_unseen => return Admission::Later(SEEN_RETRY),
            Some(pace) if self.is_cold(now) => pace,
            Some(_) | None => return Admission::Open,
        };
        let spaced = self.recent.back().map(|last| *last + pace.interval);
        let oldest = self.recent.len().checked_sub(pace.grants_max);
        let counted = oldest.and_then(|index| self.recent.get(index));
        let due = [spaced, counted.map(|at| *at + Pace::WINDOW)];
        let due = due
            .into_iter()
            .flatten()
            .fold(self.not_before, Duration::max);
        match due.saturating_sub(now) {
            Duration::ZERO => Admission::Open,
            wait => Admission::Later(wait.min(self.left(now))),
        }
    }

    /// Records that a slot is granted.
    pub fn record_grant(&mut self, now: Duration) {
        if self.pace.is_none() {
            return;
        }
        while self
            .recent
            .front()
            .is_some_and(|at| *at + Pace::WINDOW <= now)
        {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Counts that `waiting` requests wait because the server is cold.
    pub fn record_held_back(&mut self, waiting: u64) {
        self.held_back += u64::from(waiting > 0);
    }

    /// How often requests have waited because the server was cold.
    pub fn held_back(&self) -> u64 {
        self.held_back
    }

    /// The slots that count as free of `free`, while `waiting` requests wait.
    pub fn free(&self, now: Duration, free: u64, waiting: u64) -> u64 {
        match self.pace.filter(|_| self.is_cold(now)) {
            Some(pace) => {
                let soon = FREE_SPAN.as_secs_f64() / pace.interval.as_secs_f64();
                free.min((soon as u64).saturating_sub(waiting))
            }
            None => free,
        }
    }
}

/// What one entry may send to one server without a grant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// None if other entries share what is allowed.
    per_s: Option<f64>,
    /// Whether it is known that they do.
    is_others: bool,
    /// When the next request may be sent.
    due: Duration,
}

impl Share {
    /// Sets the requests per second of this entry; none if others share what is
    /// allowed, or if that is not known yet. An entry that takes over from others waits
    /// first, as they may have just sent.
    pub fn set(&mut self, now: Duration, per_s: Option<f64>) {
        let per_s = per_s.filter(|per_s| *per_s > 0.0);
        let was_others = std::mem::replace(&mut self.is_others, per_s.is_none());
        if let Some(new) = per_s.filter(|_| was_others) {
            self.due = self.due.max(now + spacing(new));
        }
        self.per_s = per_s;
    }

    /// Whether this entry may send a request now; one with no share may once the
    /// server, which is cold for `left`, is no longer cold.
    pub fn admission(&self, now: Duration, left: Duration) -> Admission {
        match self.per_s {
            None => Admission::Later(left),
            Some(_) if self.due <= now => Admission::Open,
            Some(_) => Admission::Later(self.due - now),
        }
    }

    /// Records that a request is sent without a grant.
    pub fn record_sent(&mut self, now: Duration) {
        if let Some(per_s) = self.per_s {
            self.due = self.due.max(now) + spacing(per_s);
        }
    }
}

/// A time in milliseconds, rounded up: a server must not seem warm too early.
pub fn to_millis(time: Duration) -> u32 {
    time.as_nanos()
        .div_ceil(1_000_000)
        .min(u128::from(u32::MAX)) as u32
}

fn spacing(per_s: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_s)
        .unwrap_or(SPACING_MAX)
        .min(SPACING_MAX)
}
