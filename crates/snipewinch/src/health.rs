//! Whether a backend server answers, judged by what requests to it saw.
//!
//! A health check can pass while requests fail, so only requests count. After
//! several failures in a row a backend server rests; then single requests try
//! it, and one success takes it back.

use std::time::Duration;

/// Failures in a row after which a backend server rests.
const FAILURES_MAX: u32 = 3;
/// The first rest; each further one takes twice as long.
const REST_MIN: Duration = Duration::from_millis(1_000);
/// The longest rest.
const REST_MAX: Duration = Duration::from_secs(8);

/// How long a stream may show no sign of life, in pauses for which it is on
/// time: a slow pass of an engine and the way of its events stay below.
const SILENCE_PAUSES: f64 = 2.5;
/// The least that is waited, and what is waited where no pause is named: the
/// platform's pages give 1.5 s as the time after which work that depends on a
/// dead server is cut off.
const SILENCE_MIN: Duration = Duration::from_millis(750);
const SILENCE_USUAL: Duration = Duration::from_millis(1_500);

/// How long a stream may show no sign of life before it goes on elsewhere, if it
/// is on time with pauses of `pause`, zero if none is named. Callers leave after
/// a few such pauses more, and a stream may have waited before.
pub fn stall_timeout(pause: Duration) -> Duration {
    match pause.is_zero() {
        true => SILENCE_USUAL,
        false => pause
            .mul_f64(SILENCE_PAUSES)
            .clamp(SILENCE_MIN, SILENCE_USUAL),
    }
}

/// What a request saw.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer, whatever it says.
    Answered,
    /// No connection, no answer, or one that broke off.
    Failed,
}

/// What is thought of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    rests: u32,
    rest_until: Option<Duration>,
    /// When the request went out that tries a server after its rest.
    trial: Option<Duration>,
}

impl Health {
    /// Whether a request may go there. With all of a service resting, the
    /// embedder asks nobody else and sends anyway.
    pub fn admits(&self, now: Duration) -> bool {
        match (self.rest_until, self.trial) {
            (None, _) => true,
            (Some(until), _) if now < until => false,
            (Some(_), None) => true,
            // A trial that gave no result by now is no reason to wait longer.
            (Some(_), Some(since)) => now.saturating_sub(since) > REST_MIN,
        }
    }

    /// A request goes there.
    pub fn record_sent(&mut self, now: Duration) {
        if self.rest_until.is_some() {
            self.trial = Some(now);
        }
    }

    /// A request saw something; true if the server begins to rest.
    pub fn record_outcome(&mut self, now: Duration, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Answered => {
                *self = Health::default();
                false
            }
            Outcome::Failed => {
                self.failures += 1;
                self.trial = None;
                let rests = self.rest_until.is_some() || self.failures >= FAILURES_MAX;
                if rests {
                    let factor = 2_u32.saturating_pow(self.rests.min(8));
                    self.rest_until = Some(now + REST_MIN.saturating_mul(factor).min(REST_MAX));
                    self.rests += 1;
                }
                rests
            }
        }
    }

    /// Whether it rests.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }
}
