//! One host as the table knows it.

use std::time::Duration;

use smol_str::SmolStr;

use super::Need;
use super::Outcome;
use super::Status;
use super::Tier;
use crate::document::DEFAULT_CONCURRENCY;
use crate::host;
use crate::membership;
use crate::mix;
use crate::wire;

/// How long a new host takes to be given its full load.
pub(super) const SLOW_START: Duration = Duration::from_secs(10);
/// The part of its load that a host is given at once.
const SLOW_START_FLOOR: f64 = 0.1;
/// The weight of the newest sample in a smoothed value.
const SMOOTHING: f64 = 0.1;
/// How much a host that always fails looks more loaded.
const FAILURE_PENALTY: f64 = 9.0;
/// What is lasting of others' load is averaged over about this time.
const REPORT_MEMORY: Duration = Duration::from_secs(10);
/// How long a refusal keeps calls away at most.
const HOLD_MAX: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) name: host::Name,
    pub(super) service: SmolStr,
    pub(super) zone: host::Zone,
    pub(super) tier: Tier,
    /// Stands for the name in rendezvous hashing.
    pub(super) hash: u64,
    pub(super) incarnation: u64,
    /// The membership list names the host.
    pub(super) listed: bool,
    pub(super) linked: bool,
    /// Since when nothing holds this record.
    pub(super) idle_since: Option<Duration>,
    suspect: bool,
    /// The list says that the host is leaving.
    listed_leaving: bool,
    /// The newest incarnation that is known to be leaving.
    leaving: Option<u64>,
    /// A notice has said that the host is leaving.
    pub(super) noted_leaving: bool,
    /// When the first link of this incarnation came up.
    since: Duration,
    pub(super) inflight: u32,
    capacity: u32,
    /// Calls of others, by the last report.
    others: f64,
    /// Calls of others, averaged over reports.
    others_mean: f64,
    /// When the last report came; zero before the first.
    reported: Duration,
    pub(super) confirmed: Vec<wire::Confirmed>,
    /// Smoothed time to the first byte, in seconds; 0 before the first sample.
    pub(super) first_byte: f64,
    /// Samples in `first_byte`.
    pub(super) samples: u32,
    /// Smoothed time of a whole call, in seconds.
    total: f64,
    /// Smoothed share of calls that failed.
    failing: f64,
    /// Failures since the last whole answer.
    pub(super) failures: u32,
    pub(super) ejected_until: Duration,
    /// Ejections that have not yet been forgiven.
    pub(super) ejections: u32,
    /// The host asked to be left alone until then.
    hold_until: Duration,
}

impl Node {
    pub(super) fn new(name: host::Name, service: SmolStr, zone: host::Zone, tier: Tier) -> Node {
        let hash = mix::hash(name.as_str());
        Node {
            name,
            service,
            zone,
            tier,
            hash,
            incarnation: 0,
            listed: false,
            linked: false,
            idle_since: None,
            suspect: false,
            listed_leaving: false,
            leaving: None,
            noted_leaving: false,
            since: Duration::ZERO,
            inflight: 0,
            capacity: 0,
            others: 0.0,
            others_mean: 0.0,
            reported: Duration::ZERO,
            confirmed: Vec::new(),
            first_byte: 0.0,
            samples: 0,
            total: 0.0,
            failing: 0.0,
            failures: 0,
            ejected_until: Duration::ZERO,
            ejections: 0,
            hold_until: Duration::ZERO,
        }
    }

    pub(super) fn list(&mut self, member: &membership::Member) {
        self.listed = true;
        self.suspect = member.state == membership::State::Suspect;
        self.listed_leaving = member.state == membership::State::Leaving;
        if self.listed_leaving {
            // The list may go back in time: the mark stays on this process.
            self.leave(member.incarnation.max(self.incarnation));
        }
    }

    pub(super) fn up(&mut self, now: Duration, incarnation: u64) {
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.since = now;
            self.others = 0.0;
            self.others_mean = 0.0;
            self.reported = Duration::ZERO;
            self.confirmed.clear();
            self.failures = 0;
            self.failing = 0.0;
            self.samples = 0;
            self.first_byte = 0.0;
            self.ejections = 0;
            self.ejected_until = Duration::ZERO;
            self.hold_until = Duration::ZERO;
        }
        self.linked = true;
    }

    pub(super) fn report(&mut self, now: Duration, summary: &wire::Summary) {
        if summary.leaving {
            self.leave(self.incarnation);
        }
        let reported = f64::from(summary.running) + f64::from(summary.waiting);
        let others = (reported - f64::from(self.inflight)).max(0.0);
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let weight = match self.reported {
            Duration::ZERO => 1.0,
            _ => 1.0 - (-age / REPORT_MEMORY.as_secs_f64()).exp(),
        };
        self.others = others;
        self.others_mean += (others - self.others_mean) * weight;
        self.reported = now;
        self.capacity = summary.capacity;
        if self.confirmed != summary.confirmed {
            self.confirmed.clone_from(&summary.confirmed);
        }
    }

    pub(super) fn has_reported(&self) -> bool {
        self.reported > Duration::ZERO
    }

    pub(super) fn end(&mut self, now: Duration, outcome: &Outcome) {
        self.inflight = self.inflight.saturating_sub(1);
        match outcome.status {
            Status::Success => {
                self.failures = 0;
                self.failing *= 1.0 - SMOOTHING;
                smooth(&mut self.total, outcome.total);
                if let Some(first_byte) = outcome.first_byte {
                    smooth(&mut self.first_byte, first_byte);
                    self.samples = self.samples.saturating_add(1);
                }
            }
            Status::Failure => {
                self.failures += 1;
                self.failing += (1.0 - self.failing) * SMOOTHING;
            }
            Status::Refused(hold) => {
                self.hold_until = self.hold_until.max(now + hold.min(HOLD_MAX));
            }
            Status::Leaving => self.leave(self.incarnation),
            Status::Cancelled => {}
        }
    }

    fn leave(&mut self, incarnation: u64) {
        self.leaving = self.leaving.max(Some(incarnation));
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving.is_some_and(|left| left >= self.incarnation)
    }

    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the host is to be preferred over the ones that may be used only
    /// when nobody else can.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        !self.suspect && !self.is_ejected(now) && now >= self.hold_until
    }

    pub(super) fn satisfies(&self, needs: &[Need<'_>]) -> bool {
        needs.iter().all(|need| {
            self.confirmed.iter().any(|confirmed| {
                confirmed.model == need.model
                    && need
                        .version
                        .is_none_or(|version| confirmed.version == version)
            })
        })
    }

    pub(super) fn capacity(&self) -> f64 {
        f64::from(match self.capacity {
            0 => DEFAULT_CONCURRENCY,
            known => known,
        })
    }

    /// Calls on the host, as far as this process can tell. A report counts the
    /// less the older it is against how long calls take: what it saw has ended
    /// by then, and all who follow it would rush to the same host.
    pub(super) fn calls(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let trust = match self.total {
            0.0 => 0.0,
            total => (-age / total).exp(),
        };
        let others = self.others_mean + (self.others - self.others_mean) * trust;
        f64::from(self.inflight) + others
    }

    /// How loaded the host would be with one more call: 1 is full.
    pub(super) fn load(&self, now: Duration) -> f64 {
        let penalty = 1.0 + FAILURE_PENALTY * self.failing;
        (self.calls(now) + 1.0) * penalty / (self.capacity() * self.warmth(now))
    }

    /// The part of its full load that a new host is given.
    pub(super) fn warmth(&self, now: Duration) -> f64 {
        let since = self.since.max(self.ejected_until);
        let age = now.saturating_sub(since).as_secs_f64();
        let part = age / SLOW_START.as_secs_f64();
        match since {
            // There since before this process could see it.
            Duration::ZERO => 1.0,
            _ => part.clamp(SLOW_START_FLOOR, 1.0),
        }
    }

    /// How long one more call would wait before it is run.
    pub(super) fn wait(&self, now: Duration) -> Duration {
        let ahead = (self.calls(now) + 1.0 - self.capacity()).max(0.0);
        Duration::from_secs_f64(ahead / self.capacity() * self.total)
    }
}

fn smooth(value: &mut f64, sample: Duration) {
    let sample = sample.as_secs_f64();
    *value = match *value {
        0.0 => sample,
        old => old + (sample - old) * SMOOTHING,
    };
}
