//! The monotonic clock of the process.

use std::time::Duration;

use tokio::time::Instant;

/// What the clock shows when the process starts, so that moments before it can be
/// expressed: when a version was published, as another process has said.
const START: Duration = Duration::from_secs(600);

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// The time since the origin of the clock, which is [`START`] before the start of
    /// the process.
    pub(crate) fn now(&self) -> Duration {
        START + self.uptime()
    }

    /// The time since the start of the process.
    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// What [`Clock::now`] returns at an instant; zero before the origin.
    pub(crate) fn time_of(&self, instant: Instant) -> Duration {
        (instant + START).saturating_duration_since(self.started)
    }

    /// The instant at which [`Clock::now`] returns `time`, or the start of the process
    /// if that was before any instant.
    pub(crate) fn at(&self, time: Duration) -> Instant {
        (self.started + time)
            .checked_sub(START)
            .unwrap_or(self.started)
    }
}
