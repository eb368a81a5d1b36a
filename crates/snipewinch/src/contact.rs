//! Whether a backend server whose agent is silent may be used without it.
//!
//! An agent is silent because its process has ended, or because its host is frozen,
//! cut off or behind a full link. What is sent to such a host is held up there, and
//! may be executed when its caller has long left. A byte from the backend server
//! itself that is newer than the silence tells one from the other; where no request
//! is under way that would bring one, the backend server is asked for its state.

use std::time::Duration;

/// How long a byte from a backend server shows that it can be reached: as long as
/// an agent may take to answer.
pub const HEARD_AGE_MAX: Duration = Duration::from_millis(300);
/// The time between two requests for the state of one backend server.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What a process has heard of one backend server and its agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When the first demand was sent that the agent has not answered.
    silent_since: Option<Duration>,
    /// When the last byte came from the backend server.
    heard: Option<Duration>,
    /// When it was last asked for its state.
    probed: Option<Duration>,
}

impl Contact {
    /// Records that the agent has not answered what was sent to it at a time.
    pub fn record_silence(&mut self, since: Duration) {
        self.silent_since.get_or_insert(since);
    }

    /// Records that the agent answers; true if it was silent.
    pub fn record_agent(&mut self) -> bool {
        self.silent_since.take().is_some()
    }

    /// Records that bytes came from the backend server.
    pub fn record_heard(&mut self, now: Duration) {
        self.heard = Some(now);
    }

    /// Records that the backend server is asked for its state.
    pub fn record_probe(&mut self, now: Duration) {
        self.probed = Some(now);
    }

    /// Whether the backend server has shown since the silence of its agent that it
    /// can be reached.
    pub fn is_reached(&self, now: Duration) -> bool {
        match (self.silent_since, self.heard) {
            (Some(silent), Some(heard)) => heard > silent && now <= heard + HEARD_AGE_MAX,
            (Some(_) | None, _) => false,
        }
    }

    /// When the backend server was last asked for its state, if it may be asked
    /// now; `None` in the outer sense if it may not.
    pub fn probe_due(&self, now: Duration) -> Option<Option<Duration>> {
        let is_due = self.silent_since.is_some() && !self.is_reached(now);
        let is_recent = self.probed.is_some_and(|at| now < at + PROBE_INTERVAL);
        (is_due && !is_recent).then_some(self.probed)
    }
}
