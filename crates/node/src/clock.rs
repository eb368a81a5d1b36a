//! The steady clock of the process.

use std::time::Duration;

use tokio::time::Instant;

/// Counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The moment at which [`Clock::now`] is `time`.
    pub(crate) fn at(&self, time: Duration) -> Instant {
        self.started + time
    }
}
