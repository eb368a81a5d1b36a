//! How late a process acts, as it measures by its own timers.
//!
//! A process whose processor is shared or has a quota may not run when a timer
//! fires. What has to be done by a time is planned earlier by how late the process
//! has acted recently.

use std::time::Duration;

/// How long a delay counts at least; twice as long at most.
const WINDOW: Duration = Duration::from_secs(10);

/// The longest delay that counts. A process that has stood still for longer is not
/// expected to do so again.
const DELAY_MAX: Duration = Duration::from_millis(500);

/// The longest recent delay of the timers of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lateness {
    /// The longest delay since `since`.
    current: Duration,
    /// The longest delay in the window before.
    previous: Duration,
    since: Duration,
}

impl Lateness {
    /// Records that a timer fired `delay` after it was due.
    pub fn record(&mut self, now: Duration, delay: Duration) {
        let age = now.saturating_sub(self.since);
        if age >= WINDOW {
            self.previous = match age < 2 * WINDOW {
                true => self.current,
                false => Duration::ZERO,
            };
            self.current = Duration::ZERO;
            self.since = now;
        }
        self.current = self.current.max(delay.min(DELAY_MAX));
    }

    /// The longest delay of the last 10 to 20 s, 0.5 s at most.
    pub fn longest(&self) -> Duration {
        self.current.max(self.previous)
    }
}
