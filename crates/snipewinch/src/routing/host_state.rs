//! What the routing table knows about one host.

use std::time::Duration;

use smol_str::SmolStr;

use super::Locality;
use super::Need;
use super::Outcome;
use super::Status;
use crate::document::DEFAULT_CONCURRENCY;
use crate::host;
use crate::membership;
use crate::mix;
use crate::wire;

/// The time over which a new or returning host is ramped up to its full load.
pub(super) const SLOW_START: Duration = Duration::from_secs(10);
/// The fraction of its full load with which a host starts.
const SLOW_START_MIN: f64 = 0.1;
/// The weight of the newest sample in an exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// The load of a host is multiplied by 1 plus this times its failure rate: one
/// that always fails counts as ten times as loaded.
const FAILURE_PENALTY: f64 = 9.0;
/// The time constant of the average of the load from other entry hosts.
const REPORT_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// The longest time for which a refusal keeps calls away from a host.
const REFUSAL_BACKOFF_MAX: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
pub(super) struct HostState {
    pub(super) name: host::Name,
    pub(super) service: SmolStr,
    pub(super) zone: host::Zone,
    pub(super) locality: Locality,
    /// The hash of the name, for rendezvous hashing.
    pub(super) name_hash: u64,
    pub(super) incarnation: u64,
    /// Whether the membership list contains the host.
    pub(super) listed: bool,
    pub(super) linked: bool,
    /// Since when the host is neither listed nor linked and has no calls.
    pub(super) idle_since: Option<Duration>,
    suspect: bool,
    /// Whether the membership list says that the host is leaving.
    listed_leaving: bool,
    /// The newest incarnation that is known to be leaving.
    leaving_incarnation: Option<u64>,
    /// Whether a notice has been given that the host is leaving.
    pub(super) leaving_noticed: bool,
    /// When the first link of this incarnation came up.
    up_since: Duration,
    pub(super) inflight: u32,
    capacity: u32,
    /// Calls from other entry hosts, by the last report.
    other_calls: f64,
    /// Calls from other entry hosts, averaged over reports.
    other_calls_mean: f64,
    /// When the last report was received; zero before the first.
    reported_at: Duration,
    pub(super) confirmed: Vec<wire::Confirmed>,
    /// Average time to the first byte, in seconds; 0 before the first sample.
    pub(super) first_byte_s: f64,
    /// The number of samples in `first_byte_s`.
    pub(super) samples: u32,
    /// Average duration of a whole call, in seconds; 0 before the first sample.
    total_s: f64,
    /// Average fraction of calls that failed.
    failure_rate: f64,
    /// Failures since the last complete answer.
    pub(super) consecutive_failures: u32,
    pub(super) ejected_until: Duration,
    /// Ejections that count towards the duration of the next one.
    pub(super) ejections: u32,
    /// The host has asked not to be sent calls before this time.
    backoff_until: Duration,
}

impl HostState {
    pub(super) fn new(
        name: host::Name,
        service: SmolStr,
        zone: host::Zone,
        locality: Locality,
    ) -> HostState {
        let name_hash = mix::hash(name.as_str());
        HostState {
            name,
            service,
            zone,
            locality,
            name_hash,
            incarnation: 0,
            listed: false,
            linked: false,
            idle_since: None,
            suspect: false,
            listed_leaving: false,
            leaving_incarnation: None,
            leaving_noticed: false,
            up_since: Duration::ZERO,
            inflight: 0,
            capacity: 0,
            other_calls: 0.0,
            other_calls_mean: 0.0,
            reported_at: Duration::ZERO,
            confirmed: Vec::new(),
            first_byte_s: 0.0,
            samples: 0,
            total_s: 0.0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            ejections: 0,
            backoff_until: Duration::ZERO,
        }
    }

    pub(super) fn apply_member(&mut self, member: &membership::Member) {
        self.listed = true;
        self.suspect = member.state == membership::State::Suspect;
        self.listed_leaving = member.state == membership::State::Leaving;
        if self.listed_leaving {
            // A later list may be older and name the host as live: the mark
            // stays on this incarnation.
            self.mark_leaving(member.incarnation.max(self.incarnation));
        }
    }

    pub(super) fn link_up(&mut self, now: Duration, incarnation: u64) {
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.up_since = now;
            self.other_calls = 0.0;
            self.other_calls_mean = 0.0;
            self.reported_at = Duration::ZERO;
            self.confirmed.clear();
            self.consecutive_failures = 0;
            self.failure_rate = 0.0;
            self.samples = 0;
            self.first_byte_s = 0.0;
            self.ejections = 0;
            self.ejected_until = Duration::ZERO;
            self.backoff_until = Duration::ZERO;
        }
        self.linked = true;
    }

    pub(super) fn apply_summary(&mut self, now: Duration, summary: &wire::Summary) {
        if summary.leaving {
            self.mark_leaving(self.incarnation);
        }
        let reported = f64::from(summary.running) + f64::from(summary.waiting);
        let others = (reported - f64::from(self.inflight)).max(0.0);
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = match self.reported_at {
            Duration::ZERO => 1.0,
            _ => 1.0 - (-age / REPORT_TIME_CONSTANT.as_secs_f64()).exp(),
        };
        self.other_calls = others;
        self.other_calls_mean += (others - self.other_calls_mean) * weight;
        self.reported_at = now;
        self.capacity = summary.capacity;
        if self.confirmed != summary.confirmed {
            self.confirmed.clone_from(&summary.confirmed);
        }
    }

    pub(super) fn has_reported(&self) -> bool {
        self.reported_at > Duration::ZERO
    }

    pub(super) fn end_call(&mut self, now: Duration, outcome: &Outcome) {
        self.inflight = self.inflight.saturating_sub(1);
        match outcome.status {
            Status::Success => {
                self.consecutive_failures = 0;
                self.failure_rate *= 1.0 - EWMA_WEIGHT;
                update_average(&mut self.total_s, outcome.total);
                if let Some(first_byte) = outcome.first_byte {
                    update_average(&mut self.first_byte_s, first_byte);
                    self.samples = self.samples.saturating_add(1);
                }
            }
            Status::Failure => {
                self.consecutive_failures += 1;
                self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
            }
            Status::Refused(backoff) => {
                self.backoff_until = self
                    .backoff_until
                    .max(now + backoff.min(REFUSAL_BACKOFF_MAX));
            }
            Status::Leaving => self.mark_leaving(self.incarnation),
            Status::Cancelled => {}
        }
    }

    fn mark_leaving(&mut self, incarnation: u64) {
        self.leaving_incarnation = self.leaving_incarnation.max(Some(incarnation));
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.listed_leaving
            || self
                .leaving_incarnation
                .is_some_and(|leaving| leaving >= self.incarnation)
    }

    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the host is neither suspect, ejected nor in backoff. Hosts that
    /// are not ready are used only if no ready host can take the call.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        !self.suspect && !self.is_ejected(now) && now >= self.backoff_until
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

    /// The estimated number of calls on the host, from this process and from
    /// other entry hosts. The weight of the last report decays with its age
    /// relative to the average duration of a call: an old report counts calls
    /// that have ended, and if every entry host relied on it, all would send
    /// their calls to the same host.
    pub(super) fn estimated_calls(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let report_weight = match self.total_s {
            0.0 => 0.0,
            total => (-age / total).exp(),
        };
        let others =
            self.other_calls_mean + (self.other_calls - self.other_calls_mean) * report_weight;
        f64::from(self.inflight) + others
    }

    /// The load of the host with one more call; 1 is its full capacity.
    pub(super) fn load(&self, now: Duration) -> f64 {
        let penalty = 1.0 + FAILURE_PENALTY * self.failure_rate;
        (self.estimated_calls(now) + 1.0) * penalty
            / (self.capacity() * self.slow_start_factor(now))
    }

    /// The fraction of its full load that the host is given during slow start.
    pub(super) fn slow_start_factor(&self, now: Duration) -> f64 {
        let since = self.up_since.max(self.ejected_until);
        let age = now.saturating_sub(since).as_secs_f64();
        let part = age / SLOW_START.as_secs_f64();
        match since {
            // The host was up before this process could observe it.
            Duration::ZERO => 1.0,
            _ => part.clamp(SLOW_START_MIN, 1.0),
        }
    }

    /// The expected time that one more call would wait before it is run.
    pub(super) fn expected_wait(&self, now: Duration) -> Duration {
        let ahead = (self.estimated_calls(now) + 1.0 - self.capacity()).max(0.0);
        Duration::from_secs_f64(ahead / self.capacity() * self.total_s)
    }
}

fn update_average(value: &mut f64, sample: Duration) {
    let sample = sample.as_secs_f64();
    *value = match *value {
        0.0 => sample,
        old => old + (sample - old) * EWMA_WEIGHT,
    };
}
