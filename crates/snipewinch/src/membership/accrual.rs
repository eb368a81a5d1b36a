//! The phi accrual failure detector of Hayashibara, Defago, Yared and Katayama
//! (SRDS 2004).
//!
//! The intervals between arrivals are assumed to be normally distributed, and
//! phi is -log10 of the probability that an interval is as long as the time
//! since the last arrival. A link with high jitter is suspected later than a
//! regular one.

use std::time::Duration;

/// The weight of a new interval in the moving mean and variance.
const GAIN: f64 = 0.05;
/// The smallest standard deviation, in seconds, which covers the scheduling
/// jitter of a busy host.
const DEVIATION_MIN_S: f64 = 0.2;
/// The mean interval assumed before any arrival, in seconds.
const INITIAL_MEAN_S: f64 = 0.75;
/// The cap on a recorded interval, in seconds. Without it, long intervals would
/// raise the mean until a dead link is never suspected.
const INTERVAL_MAX_S: f64 = 5.0;

/// The detector for one link.
#[derive(Clone, Debug)]
pub(super) struct Accrual {
    last_arrival: Duration,
    mean_s: f64,
    variance_s2: f64,
}

impl Accrual {
    pub(super) fn new(now: Duration) -> Accrual {
        Accrual {
            last_arrival: now,
            mean_s: INITIAL_MEAN_S,
            variance_s2: (INITIAL_MEAN_S / 4.0).powi(2),
        }
    }

    /// Records an arrival at `at`.
    pub(super) fn record_arrival(&mut self, at: Duration) {
        if at <= self.last_arrival {
            return;
        }
        let interval = (at - self.last_arrival).as_secs_f64().min(INTERVAL_MAX_S);
        self.last_arrival = at;
        let error = interval - self.mean_s;
        self.mean_s += GAIN * error;
        self.variance_s2 = (1.0 - GAIN) * (self.variance_s2 + GAIN * error * error);
    }

    /// Returns the suspicion level that nothing more will arrive.
    pub(super) fn phi(&self, now: Duration) -> f64 {
        let silence = now.saturating_sub(self.last_arrival).as_secs_f64();
        let deviation = self.variance_s2.sqrt().max(DEVIATION_MIN_S);
        let y = (silence - self.mean_s) / deviation;
        // The logistic approximation of the normal distribution's tail by
        // Bowling, Khasawneh, Kaewkuekool and Cho (2009).
        let exponent = y * (1.5976 + 0.070_566 * y * y);
        match exponent > 0.0 {
            // log10(1 + e^x) without overflow for large x.
            true => exponent * std::f64::consts::LOG10_E + (1.0 + (-exponent).exp()).log10(),
            false => (1.0 + exponent.exp()).log10(),
        }
    }
}
