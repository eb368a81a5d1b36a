//! Publishes one version by compare-and-set and determines the outcome.
//!
//! The table has one row for the version in force and one row per operation.
//! Publishing writes both in one transaction, on the condition that the first
//! is unchanged and the second is absent, so an operation takes effect at most
//! once however often it is sent. If the answer is lost and another version is
//! in force, the publication writes the operation's row as abandoned. Either
//! that succeeds, and a write still in flight can never take effect, or the row
//! exists already and holds the outcome. So "accepted" and "not accepted" are
//! both certain. While the table is unreachable the outcome is unknown, and the
//! same operation may be sent again.

use std::time::Duration;

use smol_str::SmolStr;

/// The pause after the first failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest pause after a failure.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// The row of the version in force, as far as a publication needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Current {
    /// The version, 0 if the row is absent.
    pub version: u64,
    /// The operation that published it.
    pub operation: SmolStr,
    /// The row's revision, 0 if it is absent.
    pub revision: u64,
}

/// The state in an operation's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperationState {
    /// The operation published a version.
    Published {
        /// The published version.
        version: u64,
    },
    /// The operation was abandoned and can never take effect.
    Abandoned,
}

/// The error of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A condition did not hold.
    Conflict,
    /// It had no effect; a later retry is safe.
    Unsent,
    /// The answer was lost; it may or may not have taken effect.
    Unknown,
}

/// The table did not answer a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage;

/// Input of a [`Publication`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The publication starts.
    Start,
    /// The result of [`Action::Read`].
    Read(Result<Current, Outage>),
    /// The result of [`Action::Write`].
    Written(Result<(), Failure>),
    /// The result of [`Action::Abandon`].
    Abandoned(Result<(), Failure>),
    /// The result of [`Action::ReadOperation`]; `None` if the row is absent.
    OperationRead(Result<Option<OperationState>, Outage>),
    /// The pause of [`Action::Wait`] is over.
    Waited,
}

/// Output of a [`Publication`]: the next step for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Reads the row of the version in force.
    Read,
    /// Writes the row of the version in force, the operation's row and the
    /// history in one transaction, on the condition that the first still has
    /// `revision` and the second is absent.
    Write {
        /// The version to write.
        version: u64,
        /// The required revision of the row of the version in force.
        revision: u64,
    },
    /// Writes the operation's row as abandoned, on the condition that it is
    /// absent.
    Abandon,
    /// Reads the operation's row.
    ReadOperation,
    /// Waits before the next attempt.
    Wait(Duration),
    /// Ends the publication.
    Finish(Outcome),
}

/// The outcome of a publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Accepted.
    Accepted {
        /// The version that it was accepted as.
        version: u64,
    },
    /// Not accepted, now or later: another version was accepted first.
    Conflict,
    /// The table was unreachable, and no write can have taken effect.
    Unreachable,
    /// The table became unreachable after a write may have taken effect: the
    /// version may or may not be accepted. The same operation may be published
    /// again.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Reading,
    Abandoning,
    ReadingOperation,
}

/// The state machine of one publication.
#[derive(Clone, Debug)]
pub struct Publication {
    operation: SmolStr,
    base: u64,
    deadline: Duration,
    state: State,
    /// Whether a write may have reached the table.
    sent: bool,
    backoff: Duration,
}

impl Publication {
    /// Creates a publication of changes to version `base`. `sent` states that
    /// the same operation was published before with the outcome
    /// [`Outcome::Unknown`].
    pub fn open(operation: SmolStr, base: u64, sent: bool, deadline: Duration) -> Publication {
        Publication {
            operation,
            base,
            deadline,
            state: State::Reading,
            sent,
            backoff: BACKOFF_MIN,
        }
    }

    /// Processes an event and returns the next action.
    pub fn handle(&mut self, now: Duration, event: Event) -> Action {
        match event {
            Event::Start => Action::Read,
            Event::Waited => self.retry(),
            Event::Read(Ok(current)) => self.decide(current),
            Event::Written(Ok(())) => accepted(self.base + 1),
            Event::Written(Err(Failure::Conflict)) => {
                self.state = State::Reading;
                self.back_off(now)
            }
            Event::Written(Err(Failure::Unsent)) => self.back_off(now),
            Event::Written(Err(Failure::Unknown)) => {
                self.sent = true;
                self.back_off(now)
            }
            Event::Abandoned(Ok(())) => Action::Finish(Outcome::Conflict),
            Event::Abandoned(Err(Failure::Conflict)) => {
                self.state = State::ReadingOperation;
                Action::ReadOperation
            }
            Event::OperationRead(Ok(Some(OperationState::Published { version }))) => {
                accepted(version)
            }
            Event::OperationRead(Ok(Some(OperationState::Abandoned))) => {
                Action::Finish(Outcome::Conflict)
            }
            // The row exists, so a read without it was stale.
            Event::OperationRead(Ok(None) | Err(Outage))
            | Event::Abandoned(Err(Failure::Unsent | Failure::Unknown))
            | Event::Read(Err(Outage)) => self.back_off(now),
        }
    }

    fn decide(&mut self, current: Current) -> Action {
        match current {
            Current {
                operation, version, ..
            } if version > 0 && operation == self.operation => accepted(version),
            // An older version means a stale read or a table that was reset to
            // an older state. The condition on the revision decides: it fails
            // for a stale read and holds for a reset table.
            Current {
                version, revision, ..
            } if version <= self.base => Action::Write {
                version: self.base + 1,
                revision,
            },
            _ => {
                self.state = State::Abandoning;
                Action::Abandon
            }
        }
    }

    fn retry(&self) -> Action {
        match self.state {
            State::Reading => Action::Read,
            State::Abandoning => Action::Abandon,
            State::ReadingOperation => Action::ReadOperation,
        }
    }

    fn back_off(&mut self, now: Duration) -> Action {
        let backoff = self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        match now + backoff < self.deadline {
            true => Action::Wait(backoff),
            // While abandoning, the row may hold either state.
            false if self.sent || self.state != State::Reading => Action::Finish(Outcome::Unknown),
            false => Action::Finish(Outcome::Unreachable),
        }
    }
}

fn accepted(version: u64) -> Action {
    Action::Finish(Outcome::Accepted { version })
}
