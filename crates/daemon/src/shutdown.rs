//! The steps of a graceful stop.

use std::time::Duration;

use tokio::sync::watch;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Takes work.
    Running,
    /// Finishes what it has; new work is refused as not run.
    Leaving,
    /// All work is done: connections may close.
    Stopped,
}

/// Tells every part of the process when to stop, and waits for their work.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    phase: watch::Sender<Phase>,
    work: TaskTracker,
}

/// Holds the process open until the work is done; drop it then.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    _token: TaskTrackerToken,
}

impl Shutdown {
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: watch::Sender::new(Phase::Running),
            work: TaskTracker::new(),
        }
    }

    /// Whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Marks a piece of work that a graceful stop must not cut.
    pub(crate) fn track_work(&self) -> WorkGuard {
        WorkGuard {
            _token: self.work.token(),
        }
    }

    /// Resolves when the stop has come as far as `phase`.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // The sender lives in `self`, so waiting can't fail.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    pub(crate) fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// Waits for all work, at most `limit`; answers whether all of it is done.
    pub(crate) async fn drain(&self, limit: Duration) -> bool {
        self.work.close();
        tokio::time::timeout(limit, self.work.wait()).await.is_ok()
    }

    pub(crate) fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
    }
}
