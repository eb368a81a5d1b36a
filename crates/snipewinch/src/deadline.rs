//! Deadlines that travel with a call.
//!
//! Clocks of different hosts are not compared: what travels is the time that is
//! left, and each process turns it into an instant of its own clock.

use std::time::Duration;

/// When the answer is no longer of use, on the clock of this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Duration,
}

impl Deadline {
    /// A deadline `left` from now.
    pub fn after(now: Duration, left: Duration) -> Deadline {
        Deadline {
            at: now.saturating_add(left),
        }
    }

    /// A deadline that another process sent, `left_ms` milliseconds from now.
    pub fn received(now: Duration, left_ms: u64) -> Deadline {
        Deadline::after(now, Duration::from_millis(left_ms))
    }

    /// The instant.
    pub fn at(self) -> Duration {
        self.at
    }

    /// The time left, zero if it has passed.
    pub fn left(self, now: Duration) -> Duration {
        self.at.saturating_sub(now)
    }

    /// What is sent to the next process: the time left less `reserve`, which
    /// the way back takes, in whole milliseconds.
    pub fn sent(self, now: Duration, reserve: Duration) -> u64 {
        let left = self.left(now).saturating_sub(reserve);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether it has passed.
    pub fn is_over(self, now: Duration) -> bool {
        now >= self.at
    }

    /// The earlier of two deadlines.
    pub fn sooner(self, other: Deadline) -> Deadline {
        self.min(other)
    }
}

#[cfg(test)]
mod tests;
