//! Retries: a budget for them and the time between them.

use std::time::Duration;

use crate::mix::Rng;

/// Retries allowed for each hundred first tries.
pub const BUDGET_PERCENT: u32 = 10;
/// The most retries that can be saved up.
pub const BALANCE_MAX: u32 = 100;

/// What a retry costs and a first try earns is counted in hundredths.
const RETRY_COST: u64 = 100;

/// Keeps retries from making an overload worse: a token bucket that first tries
/// fill and retries empty, so that at no time more than the given part of all
/// first tries so far has been retried.
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
    /// A budget of `percent` retries for each hundred first tries.
    pub fn new(percent: u32) -> Budget {
        Budget::with_balance_max(percent, BALANCE_MAX)
    }

    /// A budget that saves up at most `balance_max` retries, for embedders that share
    /// a budget between many processes.
    pub fn with_balance_max(percent: u32, balance_max: u32) -> Budget {
        Budget {
            percent: u64::from(percent),
            balance: 0,
            balance_max: u64::from(balance_max) * RETRY_COST,
        }
    }

    /// Changes how many retries can be saved up; what is over that is lost.
    pub fn set_balance_max(&mut self, balance_max: u32) {
        self.balance_max = u64::from(balance_max) * RETRY_COST;
        self.balance = self.balance.min(self.balance_max);
    }

    /// Fills the savings.
    pub fn fill(&mut self) {
        self.balance = self.balance_max;
    }

    /// A first try was made.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.balance_max);
    }

    /// Takes one retry out of the budget; false if it is used up.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(left) => {
                self.balance = left;
                true
            }
            None => false,
        }
    }

    /// Whole retries that can be taken now.
    pub fn balance(&self) -> u64 {
        self.balance / RETRY_COST
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
    pub fn next_delay(&mut self) -> Duration {
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
