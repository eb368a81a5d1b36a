//! Deadlines that are propagated with a call.
//!
//! Clocks of different hosts are never compared: the time left is propagated as
//! a timeout, and each process converts it into an instant of its own clock.

use std::time::Duration;

/// The instant from which the answer is of no use, on the clock of this
/// process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Duration,
}

impl Deadline {
    /// The deadline `left` after `now`.
    pub fn after(now: Duration, left: Duration) -> Deadline {
        Deadline {
            at: now.saturating_add(left),
        }
    }

    /// The deadline of a timeout received from another process, in
    /// milliseconds.
    pub fn from_timeout_ms(now: Duration, timeout_ms: u64) -> Deadline {
        Deadline::after(now, Duration::from_millis(timeout_ms))
    }

    /// The instant, on the clock of this process.
    pub fn at(self) -> Duration {
        self.at
    }

    /// The time left; zero if the deadline has passed.
    pub fn remaining(self, now: Duration) -> Duration {
        self.at.saturating_sub(now)
    }

    /// The timeout to send to the next process, in whole milliseconds: the time
    /// left less `reserve`, which is kept for the way back.
    pub fn timeout_ms(self, now: Duration, reserve: Duration) -> u64 {
        let left = self.remaining(now).saturating_sub(reserve);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether the deadline has passed.
    pub fn has_passed(self, now: Duration) -> bool {
        now >= self.at
    }

    /// The earlier of two deadlines.
    pub fn earlier(self, other: Deadline) -> Deadline {
        self.min(other)
    }
}

#[cfg(test)]
mod tests;
