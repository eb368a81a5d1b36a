//! Retry budgets and backoff.

use std::time::Duration;

use crate::mix::Rng;

/// The default number of retries allowed for each hundred first attempts.
pub const BUDGET_PERCENT: u32 = 10;
/// The default balance up to which a budget accumulates, in retries.
pub const BALANCE_MAX: u32 = 100;

/// The cost of a retry. A balance is counted in hundredths of a retry, so that
/// a first attempt can deposit a percentage of one.
const RETRY_COST_HUNDREDTHS: u64 = 100;

/// Keeps retries from making an overload worse: a token bucket that first
/// attempts fill and retries empty. At no time have more retries been made than
/// the given percentage of all first attempts so far, unless [`Budget::fill`]
/// has been called.
///
/// ```
/// let mut budget = snipewinch::retry::Budget::new(10);
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    percent: u64,
    balance: u64,
    balance_max: u64,
}

impl Budget {
    /// Creates an empty budget of `percent` retries for each hundred first
    /// attempts.
    pub fn new(percent: u32) -> Budget {
        Budget::with_balance_max(percent, BALANCE_MAX)
    }

    /// Creates an empty budget that accumulates up to `balance_max` retries,
    /// for embedders that split a budget between many processes.
    pub fn with_balance_max(percent: u32, balance_max: u32) -> Budget {
        Budget {
            percent: u64::from(percent),
            balance: 0,
            balance_max: u64::from(balance_max) * RETRY_COST_HUNDREDTHS,
        }
    }

    /// Sets the maximum balance, in retries; what exceeds it is lost.
    pub fn set_balance_max(&mut self, balance_max: u32) {
        self.balance_max = u64::from(balance_max) * RETRY_COST_HUNDREDTHS;
        self.balance = self.balance.min(self.balance_max);
    }

    /// Fills the budget up to its maximum balance.
    pub fn fill(&mut self) {
        self.balance = self.balance_max;
    }

    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.balance_max);
    }

    /// Debits the budget for one retry; returns false if the balance is too low
    /// and the retry must not be made.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST_HUNDREDTHS) {
            Some(left) => {
                self.balance = left;
                true
            }
            None => false,
        }
    }

    /// The balance, in whole retries.
    pub fn balance(&self) -> u64 {
        self.balance / RETRY_COST_HUNDREDTHS
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(BUDGET_PERCENT)
    }
}

/// Exponential backoff with full jitter (Brooker, "Exponential backoff and
/// jitter", AWS Architecture Blog, 2015).
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    attempt: u32,
    rng: Rng,
}

impl Backoff {
    /// Delays are drawn at random below `first`, then below twice that, and so
    /// on up to `cap`.
    pub fn new(first: Duration, cap: Duration, seed: u64) -> Backoff {
        Backoff {
            base: first,
            cap,
            attempt: 0,
            rng: Rng::new(seed),
        }
    }

    /// The delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 2u32.saturating_pow(self.attempt);
        let limit = self.base.saturating_mul(factor).min(self.cap);
        self.attempt = self.attempt.saturating_add(1);
        limit.mul_f64(self.rng.unit())
    }

    /// Restarts with the shortest delay, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

#[cfg(test)]
mod tests;
