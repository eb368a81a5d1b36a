//! Whether a backend server whose agent is silent may be used without it.
//!
//! An agent is silent because its process has ended, or because its host is frozen,
//! cut off or behind a full link. What is sent to such a host is held up there, and
//! may be executed when its caller has long left. So the backend server is asked for
//! its state: an answer that is not late tells one from the other. Bytes of answers
//! under way do not, as they may have been on the way for long.

use std::time::Duration;

/// How long a backend server may take to answer, and how long its answer shows that
/// it can be reached: as long as an agent may take.
pub const ANSWER_TIME_MAX: Duration = Duration::from_millis(300);
/// The time between two requests for the state of one backend server.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// What a process has heard of one backend server and its agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When the first demand was sent that the agent has not answered.
    silent_since: Option<Duration>,
    /// When the backend server was last asked for its state.
    asked: Option<Duration>,
    /// When it last answered in time.
    answered: Option<Duration>,
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

    /// Records that the backend server is asked for its state.
    pub fn record_asked(&mut self, now: Duration) {
        self.asked = Some(now);
    }

    /// Records that the backend server has answered what it was asked at a time.
    pub fn record_answered(&mut self, asked: Duration, now: Duration) {
        if now.saturating_sub(asked) <= ANSWER_TIME_MAX {
            self.answered = Some(now);
        }
    }

    /// Whether the backend server has shown since the silence of its agent that it
    /// can be reached.
    pub fn is_reached(&self, now: Duration) -> bool {
        match (self.silent_since, self.answered) {
            (Some(silent), Some(at)) => at > silent && now <= at + ANSWER_TIME_MAX,
            (Some(_) | None, _) => false,
        }
    }

    /// Whether the backend server may be asked for its state now.
    pub fn may_ask(&self, now: Duration) -> bool {
        let is_recent = self.asked.is_some_and(|at| now < at + PROBE_INTERVAL);
        self.silent_since.is_some() && !is_recent
    }

    /// When the backend server was last asked for its state; none if never.
    pub fn asked(&self) -> Option<Duration> {
        self.asked
    }
}
