//! Publishing one version: compare-and-set, and reading back what became of it.
//!
//! The table keeps the version in force in one row and a row for each
//! operation. Publishing writes both in one transaction, on the condition that
//! the first is unchanged and the second absent, so an operation takes effect
//! at most once however often it is sent. When the answer was lost and another
//! version is in force, the publication writes the operation's row as
//! abandoned: either that succeeds, and then a write still on its way can never
//! take effect, or the row is there already and says what became of it. So
//! "accepted" and "not accepted" are both certain; while the table is out of
//! reach the outcome is open, and the same operation may be sent again.

use std::time::Duration;

use smol_str::SmolStr;

/// The first pause after a failure.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// The longest pause after a failure.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// What the publication needs to know of the row in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Current {
    /// The version, 0 if the row is absent.
    pub version: u64,
    /// The operation that published it.
    pub operation: SmolStr,
    /// The row's revision, 0 if it is absent.
    pub revision: u64,
}

/// What the operation's row says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperationState {
    /// It published this version.
    Published {
        /// The version.
        version: u64,
    },
    /// It was given up and can never take effect.
    Abandoned,
}

/// Why a transaction did not succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A condition did not hold.
    Conflict,
    /// It certainly had no effect: try again later.
    Unsent,
    /// It may have taken effect.
    Unknown,
}

/// The table did not answer a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage;

/// What happens to a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// It starts.
    Start,
    /// The row in force was read.
    Read(Result<Current, Outage>),
    /// The version was written.
    Written(Result<(), Failure>),
    /// The operation's row was written as abandoned.
    Abandoned(Result<(), Failure>),
    /// The operation's row was read.
    OperationRead(Result<Option<OperationState>, Outage>),
    /// The pause is over.
    Waited,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the row in force.
    Read,
    /// In one transaction: demand `revision` of the row in force and absence of
    /// the operation's row; write both, and the version into the history.
    Write {
        /// The version to write.
        version: u64,
        /// The revision that the row in force must have.
        revision: u64,
    },
    /// Demand absence of the operation's row and write it as abandoned.
    Abandon,
    /// Read the operation's row.
    ReadOperation,
    /// Wait.
    Wait(Duration),
    /// All is said.
    Finish(Outcome),
}

/// What became of a publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is accepted as this version.
    Accepted {
        /// The version.
        version: u64,
    },
    /// It is not accepted and never will be: another version came first.
    Conflict,
    /// The table was out of reach, and nothing was sent.
    Unreachable,
    /// The table was out of reach after the version was sent: it may or may
    /// not be accepted. The same operation may be published again.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Reading,
    Abandoning,
    ReadingFate,
}

/// One publication.
#[derive(Clone, Debug)]
pub struct Publication {
    operation: SmolStr,
    base: u64,
    deadline: Duration,
    step: Step,
    sent: bool,
    pause: Duration,
}

impl Publication {
    /// Prepares to publish what was drawn up from version `base`. `sent` says
    /// that the same operation was published before and its outcome was open.
    pub fn open(operation: SmolStr, base: u64, sent: bool, deadline: Duration) -> Publication {
        Publication {
            operation,
            base,
            deadline,
            step: Step::Reading,
            sent,
            pause: PAUSE_MIN,
        }
    }

    /// Takes in what happened and answers what to do next.
    pub fn handle(&mut self, now: Duration, event: Event) -> Action {
        match event {
            Event::Start => Action::Read,
            Event::Waited => self.resume(),
            Event::Read(Ok(current)) => self.decide(current),
            Event::Written(Ok(())) => accepted(self.base + 1),
            Event::Written(Err(Failure::Conflict)) => {
                self.step = Step::Reading;
                self.wait(now)
            }
            Event::Written(Err(Failure::Unsent)) => self.wait(now),
            Event::Written(Err(Failure::Unknown)) => {
                self.sent = true;
                self.wait(now)
            }
            Event::Abandoned(Ok(())) => Action::Finish(Outcome::Conflict),
            Event::Abandoned(Err(Failure::Conflict)) => {
                self.step = Step::ReadingFate;
                Action::ReadOperation
            }
            Event::OperationRead(Ok(Some(OperationState::Published { version }))) => {
                accepted(version)
            }
            Event::OperationRead(Ok(Some(OperationState::Abandoned))) => {
                Action::Finish(Outcome::Conflict)
            }
            // The row is there, so a read that does not show it was stale.
            Event::OperationRead(Ok(None) | Err(Outage))
            | Event::Abandoned(Err(Failure::Unsent | Failure::Unknown))
            | Event::Read(Err(Outage)) => self.wait(now),
        }
    }

    fn decide(&mut self, current: Current) -> Action {
        match current {
            Current {
                operation, version, ..
            } if version > 0 && operation == self.operation => accepted(version),
            // An older version is a stale read, or a table that was set back:
            // the condition on the revision tells them apart.
            Current {
                version, revision, ..
            } if version <= self.base => Action::Write {
                version: self.base + 1,
                revision,
            },
            _ => {
                self.step = Step::Abandoning;
                Action::Abandon
            }
        }
    }

    fn resume(&self) -> Action {
        match self.step {
            Step::Reading => Action::Read,
            Step::Abandoning => Action::Abandon,
            Step::ReadingFate => Action::ReadOperation,
        }
    }

    fn wait(&mut self, now: Duration) -> Action {
        let pause = self.pause;
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        match now + pause < self.deadline {
            true => Action::Wait(pause),
            // The row of an operation that is being abandoned may be either.
            false if self.sent || self.step != Step::Reading => Action::Finish(Outcome::Unknown),
            false => Action::Finish(Outcome::Unreachable),
        }
    }
}

fn accepted(version: u64) -> Action {
    Action::Finish(Outcome::Accepted { version })
}
