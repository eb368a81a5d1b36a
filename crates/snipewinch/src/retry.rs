//! Retries: a budget for them and the time between them.

use std::time::Duration;

use crate::mix::Rng;

/// Retries allowed for each hundred first tries.
pub const BUDGET_PERCENT: u32 = 10;
/// The most retries that can be saved up.
pub const SAVED_MAX: u32 = 100;

/// What a retry costs and a first try earns is counted in hundredths.
const RETRY: u64 = 100;

/// Keeps retries from making an overload worse: a token bucket that first tries
/// fill and retries empty, so that at no time more than the given part of all
/// first tries so far has been retried.
///
/// ```
/// let mut budget = snipewinch::retry::Budget::new(10);
/// (0..10).for_each(|_| budget.tried());
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    percent: u64,
    saved: u64,
    saved_max: u64,
}

impl Budget {
    /// A budget of `percent` retries for each hundred first tries.
    pub fn new(percent: u32) -> Budget {
        Budget::with_savings(percent, SAVED_MAX)
    }

    /// A budget that saves up `most` retries at most, for embedders that share
    /// a budget between many processes.
    pub fn with_savings(percent: u32, most: u32) -> Budget {
        Budget {
            percent: u64::from(percent),
            saved: 0,
            saved_max: u64::from(most) * RETRY,
        }
    }

    /// Changes how many retries can be saved up; what is over that is lost.
    pub fn save_at_most(&mut self, most: u32) {
        self.saved_max = u64::from(most) * RETRY;
        self.saved = self.saved.min(self.saved_max);
    }

    /// Fills the savings.
    pub fn fill(&mut self) {
        self.saved = self.saved_max;
    }

    /// A first try was made.
    pub fn tried(&mut self) {
        self.saved = (self.saved + self.percent).min(self.saved_max);
    }

    /// Takes one retry out of the budget; false if it is used up.
    #[must_use]
    pub fn take(&mut self) -> bool {
        match self.saved.checked_sub(RETRY) {
            Some(left) => {
                self.saved = left;
                true
            }
            None => false,
        }
    }

    /// Whole retries that can be taken now.
    pub fn left(&self) -> u64 {
        self.saved / RETRY
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(BUDGET_PERCENT)
    }
}

/// How long to wait before each further attempt: exponential with full jitter
/// (Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015).
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    attempt: u32,
    draw: Rng,
}

impl Backoff {
    /// Waits drawn below `first`, then below twice that, up to `most`.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Backoff {
        Backoff {
            least: first,
            most,
            attempt: 0,
            draw: Rng::new(seed),
        }
    }

    /// The time to wait before the next attempt.
    pub fn wait(&mut self) -> Duration {
        let factor = 2u32.saturating_pow(self.attempt);
        let limit = self.least.saturating_mul(factor).min(self.most);
        self.attempt = self.attempt.saturating_add(1);
        limit.mul_f64(self.draw.unit())
    }

    /// An attempt has succeeded: the next wait is short again.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

#[cfg(test)]
mod tests;
