//! The phases of a graceful shutdown.

use std::time::Duration;

use tokio::sync::watch;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Accepts work.
    Running,
    /// Finishes the work in progress. New work is refused as not run, at an
    /// entry after the leave grace.
    Leaving,
    /// All work is done, or the drain limit has passed: connections may close.
    Stopped,
}

/// Announces the phases to all tasks of the process and waits for their work.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    phase: watch::Sender<Phase>,
    tasks: TaskTracker,
}

/// Keeps a draining process running until dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    _token: TaskTrackerToken,
}

impl Shutdown {
    /// Creates it in the phase [`Phase::Running`].
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: watch::Sender::new(Phase::Running),
            tasks: TaskTracker::new(),
        }
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Registers work that a graceful shutdown must not cut off; drop the guard
    /// when the work is done.
    pub(crate) fn track_work(&self) -> WorkGuard {
        WorkGuard {
            _token: self.tasks.token(),
        }
    }

    /// Waits until `phase` or a later one is reached.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // `self` keeps the sender, so waiting cannot fail.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Begins the shutdown: enters [`Phase::Leaving`].
    pub(crate) fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// Waits until all work is done, for at most `limit`, and returns whether
    /// it is.
    pub(crate) async fn drain(&self, limit: Duration) -> bool {
        self.tasks.close();
        tokio::time::timeout(limit, self.tasks.wait()).await.is_ok()
    }

    /// Enters [`Phase::Stopped`].
    pub(crate) fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
    }
}
