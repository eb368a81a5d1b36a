//! Keeping calls away from hosts that fail or are far slower than others.

use std::time::Duration;

use super::Key;
use super::Notice;
use super::Outcome;
use super::Status;
use super::Table;

/// Failures in a row after which a host is ejected.
const FAILURES: u32 = 5;
/// How long the first ejection lasts; each further one lasts twice as long.
const EJECTION: Duration = Duration::from_secs(3);
/// The longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(60);
/// The part of a service's linked hosts in one zone that may be ejected.
const EJECTED_PART_MAX: f64 = 0.5;
/// A host is an outlier if its first byte takes this many times the median.
const OUTLIER_FACTOR: f64 = 3.0;
/// And this much longer than the median, in seconds.
const OUTLIER_MARGIN_SECONDS: f64 = 0.1;
/// Samples before a host's latency is judged.
const SAMPLES_MIN: u32 = 20;
/// Judged hosts below which there is no telling who the outlier is.
const PEERS_MIN: usize = 3;
/// Latency is judged once in so many answers of a host.
const JUDGE_EVERY: u32 = 10;

impl Table {
    /// Ejects a host if its last calls give cause for it.
    pub(super) fn judge(&mut self, now: Duration, key: Key, outcome: &Outcome) {
        let node = &self.nodes[key];
        let cause = match outcome.status {
            _ if node.is_ejected(now) => false,
            // One failure is enough for a host that has just come back.
            Status::Failure => {
                node.failures >= FAILURES || (node.ejections > 0 && node.samples == 0)
            }
            Status::Success => self.is_outlier(key),
            Status::Cancelled | Status::Leaving | Status::Refused(_) => false,
        };
        match cause {
            true if self.may_eject(now, key) => self.eject(now, key),
            true => {
                self.counts.ejections_skipped += 1;
                let host = self.nodes[key].name.clone();
                self.notice(Notice::EjectionSkipped { host });
            }
            false => self.forgive(now, key),
        }
    }

    fn eject(&mut self, now: Duration, key: Key) {
        let node = &mut self.nodes[key];
        let factor = 2u32.saturating_pow(node.ejections);
        let time = EJECTION.saturating_mul(factor).min(EJECTION_MAX);
        node.ejected_until = now + time;
        node.ejections = (node.ejections + 1).min(u32::BITS);
        node.failures = 0;
        node.samples = 0;
        node.first_byte = 0.0;
        let host = node.name.clone();
        self.counts.ejected += 1;
        self.notice(Notice::Ejected { host, time });
    }

    /// Takes one ejection off a host that has done well for a while.
    fn forgive(&mut self, now: Duration, key: Key) {
        let node = &mut self.nodes[key];
        let good = node.samples > 0 && node.samples.is_multiple_of(SAMPLES_MIN);
        if good && node.ejections > 0 && node.failures == 0 && !node.is_ejected(now) {
            node.ejections -= 1;
        }
    }

    /// Whether enough hosts of the zone stay if one more is ejected.
    fn may_eject(&self, now: Duration, key: Key) -> bool {
        let node = &self.nodes[key];
        let Some(service) = self.services.get(&node.service) else {
            return false;
        };
        let mut linked = 0;
        let mut out = 1;
        for &other in &service.linked[node.tier as usize] {
            let other = &self.nodes[other];
            if other.zone != node.zone || other.is_leaving() {
                continue;
            }
            linked += 1;
            out += usize::from(other.is_ejected(now));
        }
        out as f64 <= f64::from(linked) * EJECTED_PART_MAX
    }

    fn is_outlier(&self, key: Key) -> bool {
        let node = &self.nodes[key];
        if node.samples < SAMPLES_MIN || !node.samples.is_multiple_of(JUDGE_EVERY) {
            return false;
        }
        let Some(service) = self.services.get(&node.service) else {
            return false;
        };
        let mut peers: Vec<f64> = service.linked[node.tier as usize]
            .iter()
            .map(|&other| &self.nodes[other])
            .filter(|other| other.samples >= SAMPLES_MIN)
            .map(|other| other.first_byte)
            .collect();
        if peers.len() < PEERS_MIN {
            return false;
        }
        let middle = peers.len() / 2;
        let (_, median, _) = peers.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        node.first_byte > median * OUTLIER_FACTOR
            && node.first_byte > median + OUTLIER_MARGIN_SECONDS
    }
}
