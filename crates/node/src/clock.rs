//! The monotonic clock of the process.

use std::time::Duration;

use tokio::time::Instant;

/// A monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub(crate) fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// The time since the start of the process.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// What [`Clock::now`] returns at an instant; zero before the start.
    pub(crate) fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }

    /// The instant at which [`Clock::now`] returns `time`.
    pub(crate) fn at(&self, time: Duration) -> Instant {
        self.started + time
    }
}
