//! Passive health checks of backend servers, from the outcomes of requests.
//!
//! An active health check can pass while requests fail, so only requests count.
//! After several consecutive failures, or one refused connection, a backend
//! server is ejected for a while; then single requests probe it, and one success readmits it.

use std::time::Duration;

/// Consecutive failures after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The first ejection; each further one takes twice as long.
const EJECTION_MIN: Duration = Duration::from_millis(1_000);
/// The longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(8);

/// The stall timeout of a stream, in multiples of its longest allowed gap. A
/// slow pass of an engine and the transfer of its events take less.
const STALL_TIMEOUT_GAPS: f64 = 2.5;
/// The shortest stall timeout.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(750);
/// The longest stall timeout, also used where a route allows gaps of any
/// length: the platform's pages give 1.5 s as the time after which work that
/// depends on a dead server is cut off.
const STALL_TIMEOUT_DEFAULT: Duration = Duration::from_millis(1_500);

/// How long a stream may send nothing before it resumes at another backend
/// server. `max_gap` is the longest gap for which it is on time, zero if there
/// is no bound. Callers disconnect after a few more such gaps, and a stream may
/// already have been delayed at its start.
pub fn stall_timeout(max_gap: Duration) -> Duration {
    match max_gap.is_zero() {
        true => STALL_TIMEOUT_DEFAULT,
        false => max_gap
            .mul_f64(STALL_TIMEOUT_GAPS)
            .clamp(STALL_TIMEOUT_MIN, STALL_TIMEOUT_DEFAULT),
    }
}

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With an answer of any status.
    Answered,
    /// Without an answer, or with one that was cut off.
    Failed,
    /// The connection was refused: no process listens at the address.
    Refused,
    /// No connection opened in time.
    Unreached,
}

/// The health of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    /// When the request was sent that probes the server after its ejection.
    probe_sent: Option<Duration>,
    /// Whether the last request found no connection.
    is_unreached: bool,
}

impl Health {
    /// Whether a request may go to the server. If all servers of a service are
    /// ejected, the embedder sends to them anyway, unless they are unreachable
    /// ([`Health::is_unreachable`]).
    pub fn admits(&self, now: Duration) -> bool {
        match (self.ejected_until, self.probe_sent) {
            (None, _) => true,
            (Some(until), _) if now < until => false,
            (Some(_), None) => true,
            // A probe without a result by now must not block further ones.
            (Some(_), Some(since)) => now.saturating_sub(since) > EJECTION_MIN,
        }
    }

    /// Whether further requests would find no connection either, as far as is
    /// known: the last ones did not, and another one is just trying.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        let is_tried = self
            .probe_sent
            .is_some_and(|since| now.saturating_sub(since) <= EJECTION_MIN);
        self.ejected_until.is_some() && self.is_unreached && is_tried
    }

    /// Records that a request goes to the server.
    pub fn record_sent(&mut self, now: Duration) {
        if self.ejected_until.is_some() {
            self.probe_sent = Some(now);
        }
    }

    /// Records the outcome of a request. Returns true if it ejects the server.
    pub fn record_outcome(&mut self, now: Duration, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Answered => {
                *self = Health::default();
                false
            }
            Outcome::Failed | Outcome::Refused | Outcome::Unreached => {
                self.failures += match outcome {
                    Outcome::Refused => FAILURES_TO_EJECT,
                    Outcome::Answered | Outcome::Failed | Outcome::Unreached => 1,
                };
                self.is_unreached = matches!(outcome, Outcome::Refused | Outcome::Unreached);
                self.probe_sent = None;
                let ejected = self.ejected_until.is_some() || self.failures >= FAILURES_TO_EJECT;
                if ejected {
                    let factor = 2_u32.saturating_pow(self.ejections.min(8));
                    self.ejected_until =
                        Some(now + EJECTION_MIN.saturating_mul(factor).min(EJECTION_MAX));
                    self.ejections += 1;
                }
                ejected
            }
        }
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
