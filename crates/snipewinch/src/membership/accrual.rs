//! Suspicion that grows with silence: the phi accrual failure detector of
//! Hayashibara, Defago, Yared and Katayama (SRDS 2004).
//!
//! The intervals between arrivals are taken as normally distributed, and phi
//! is -log10 of the probability that one lasts as long as the present silence.
//! A jittery link so earns patience, and a regular one is suspected early.

use std::time::Duration;

/// The weight of a new interval in the running mean and variance.
const GAIN: f64 = 0.05;
/// The least standard deviation, in seconds: scheduling jitter of a busy host.
const DEVIATION_MIN_S: f64 = 0.2;
/// The intervals assumed before any was seen, in seconds.
const FIRST_MEAN_S: f64 = 0.75;
/// Silence that no interval seen so far may excuse, in seconds: a detector
/// that was fed long intervals must not wait for ever.
const MEAN_MAX_S: f64 = 5.0;

/// Suspicion of one link.
#[derive(Clone, Debug)]
pub(super) struct Accrual {
    last: Duration,
    mean_s: f64,
    variance_s2: f64,
}

impl Accrual {
    pub(super) fn open(now: Duration) -> Accrual {
        Accrual {
            last: now,
            mean_s: FIRST_MEAN_S,
            variance_s2: (FIRST_MEAN_S / 4.0).powi(2),
        }
    }

    /// Something arrived at `at`.
    pub(super) fn arrive(&mut self, at: Duration) {
        if at <= self.last {
            return;
        }
        let interval = (at - self.last).as_secs_f64().min(MEAN_MAX_S);
        self.last = at;
        let error = interval - self.mean_s;
        self.mean_s += GAIN * error;
        self.variance_s2 = (1.0 - GAIN) * (self.variance_s2 + GAIN * error * error);
    }

    /// How sure it is that nothing more will arrive.
    pub(super) fn phi(&self, now: Duration) -> f64 {
        let silence = now.saturating_sub(self.last).as_secs_f64();
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
