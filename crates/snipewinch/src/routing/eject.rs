//! Outlier detection: ejects hosts that fail or are far slower than others.

use std::time::Duration;

use super::Key;
use super::Notice;
use super::Outcome;
use super::Status;
use super::Table;

/// Consecutive failures at which a host is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// The duration of the first ejection; each further one lasts twice as long.
const EJECTION_MIN: Duration = Duration::from_secs(3);
/// The longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(60);
/// The largest fraction of a service's linked hosts in one zone that may be
/// ejected at the same time.
const EJECTED_FRACTION_MAX: f64 = 0.5;
/// The time to the first byte of an outlier, as a multiple of the median.
const OUTLIER_FACTOR: f64 = 3.0;
/// How far the time to the first byte of an outlier is above the median at
/// least, in seconds.
const OUTLIER_MARGIN_S: f64 = 0.1;
/// Samples needed before a host's latency is compared with others.
const SAMPLES_MIN: u32 = 20;
/// Hosts with enough samples needed for the comparison: the median of fewer
/// does not tell which of them is the outlier.
const OUTLIER_HOSTS_MIN: usize = 3;
/// A host's latency is compared once in this many of its answers.
const OUTLIER_CHECK_SAMPLES: u32 = 10;

impl Table {
    /// Ejects the host of a call that has ended if it fails or is an outlier;
    /// otherwise lets its ejection count decay.
    pub(super) fn update_ejection(&mut self, now: Duration, key: Key, outcome: &Outcome) {
        let state = &self.hosts[key];
        let should_eject = match outcome.status {
            _ if state.is_ejected(now) => false,
            // One failure is enough for a host that has just returned from an
            // ejection.
            Status::Failure => {
                state.consecutive_failures >= FAILURES_TO_EJECT
                    || (state.ejections > 0 && state.samples == 0)
            }
            Status::Success => self.is_outlier(key),
            Status::Cancelled | Status::Leaving | Status::Refused(_) => false,
        };
        match should_eject {
            true if self.may_eject(now, key) => self.eject(now, key),
            true => {
                self.counts.ejections_skipped += 1;
                let host = self.hosts[key].name.clone();
                self.push_notice(Notice::EjectionSkipped { host });
            }
            false => self.decay_ejections(now, key),
        }
    }

    fn eject(&mut self, now: Duration, key: Key) {
        let state = &mut self.hosts[key];
        let factor = 2u32.saturating_pow(state.ejections);
        let duration = EJECTION_MIN.saturating_mul(factor).min(EJECTION_MAX);
        state.ejected_until = now + duration;
        state.ejections = (state.ejections + 1).min(u32::BITS);
        state.consecutive_failures = 0;
        state.samples = 0;
        state.first_byte_s = 0.0;
        let host = state.name.clone();
        self.counts.ejected += 1;
        self.push_notice(Notice::Ejected { host, duration });
    }

    /// Reduces the ejection count of a host each time that it has answered
    /// `SAMPLES_MIN` further calls and its last call has not failed.
    fn decay_ejections(&mut self, now: Duration, key: Key) {
        let state = &mut self.hosts[key];
        let stable = state.samples > 0 && state.samples.is_multiple_of(SAMPLES_MIN);
        if stable
            && state.ejections > 0
            && state.consecutive_failures == 0
            && !state.is_ejected(now)
        {
            state.ejections -= 1;
        }
    }

    /// Whether enough hosts of the zone remain if one more is ejected.
    fn may_eject(&self, now: Duration, key: Key) -> bool {
        let state = &self.hosts[key];
        let Some(service) = self.services.get(&state.service) else {
            return false;
        };
        let mut linked = 0;
        let mut ejected = 1;
        for &other in &service.linked[state.locality as usize] {
            let other = &self.hosts[other];
            if other.zone != state.zone || other.is_leaving() {
                continue;
            }
            linked += 1;
            ejected += usize::from(other.is_ejected(now));
        }
        ejected as f64 <= f64::from(linked) * EJECTED_FRACTION_MAX
    }

    fn is_outlier(&self, key: Key) -> bool {
        let state = &self.hosts[key];
        if state.samples < SAMPLES_MIN || !state.samples.is_multiple_of(OUTLIER_CHECK_SAMPLES) {
            return false;
        }
        let Some(service) = self.services.get(&state.service) else {
            return false;
        };
        let mut peers: Vec<f64> = service.linked[state.locality as usize]
            .iter()
            .map(|&other| &self.hosts[other])
            .filter(|other| other.samples >= SAMPLES_MIN)
            .map(|other| other.first_byte_s)
            .collect();
        if peers.len() < OUTLIER_HOSTS_MIN {
            return false;
        }
        let middle = peers.len() / 2;
        let (_, median, _) = peers.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        state.first_byte_s > median * OUTLIER_FACTOR
            && state.first_byte_s > median + OUTLIER_MARGIN_S
    }
}
