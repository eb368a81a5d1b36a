//! Leases, stored as rows of the platform's table.
//!
//! The row of a lease names its holder, a fencing number and a length. The
//! holder counts the length from *before* it sent the renewal that took effect,
//! so a pause or a slow answer only shortens its view of the lease. Others
//! count from when they first *observed* the row's revision, and wait for the
//! length and a margin on their own clocks. Wall clocks of different hosts are
//! never compared, so clock steps do no harm. A holder that resumes after a
//! long pause may still act as if it held the lease: therefore the resource
//! checks the fencing number with a [`Checker`], and the lease only makes such
//! conflicts rare.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// How much longer than the length others wait, for clocks that run at
/// different rates.
const CLOCK_MARGIN_PERCENT: u32 = 10;

/// The row of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The holder; empty if the lease was released.
    pub holder: SmolStr,
    /// The fencing number, which increases with every change of the holder.
    pub fence: u64,
    /// The length from each renewal, in milliseconds.
    pub length_ms: u64,
}

/// A row and its revision, as read from the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The row.
    pub row: Row,
    /// Its revision.
    pub revision: u64,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The row was written.
    Written {
        /// The new revision.
        revision: u64,
    },
    /// The write had no effect.
    Failed,
    /// The write may have taken effect.
    Unknown,
}

/// An action for the embedder to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Do nothing for now.
    Wait,
    /// Read the row.
    Read,
    /// Write the row if it still has this revision (0: it is absent).
    Write {
        /// The row.
        row: Row,
        /// The expected revision.
        revision: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Held {
    fence: u64,
    revision: u64,
    until: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Pending {
    sent_at: Duration,
    fence: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Observed {
    revision: u64,
    since: Duration,
}

/// A process that tries to hold a lease.
#[derive(Clone, Debug)]
pub struct Claimant {
    name: SmolStr,
    length: Duration,
    held: Option<Held>,
    pending: Option<Pending>,
    observed: Option<Observed>,
}

impl Claimant {
    /// Creates a claimant for leases of this length. No other process may ever
    /// use the same name.
    pub fn open(name: SmolStr, length: Duration) -> Claimant {
        Claimant {
            name,
            length,
            held: None,
            pending: None,
            observed: None,
        }
    }

    /// The fencing number, while the lease is held.
    pub fn fence(&self, now: Duration) -> Option<u64> {
        let held = self.held?;
        (now < held.until).then_some(held.fence)
    }

    /// The next action: a read if the lease is not held or due for renewal.
    pub fn next(&self, now: Duration) -> Action {
        match self.held {
            _ if self.pending.is_some() => Action::Wait,
            Some(held) if now + self.length / 2 < held.until => Action::Wait,
            _ => Action::Read,
        }
    }

    /// Handles the answer to a read, which arrived at `now`: the row, or `None`
    /// if it is absent.
    pub fn on_read(&mut self, now: Duration, snapshot: Option<Snapshot>) -> Action {
        let Some(snapshot) = snapshot else {
            return self.write(now, 1, 0);
        };
        if snapshot.row.holder == self.name {
            // This process holds the lease, maybe by a write whose answer was
            // lost. Its age is unknown until a renewal starts it anew.
            return self.write(now, snapshot.row.fence, snapshot.revision);
        }
        self.held = None;
        if snapshot.row.holder.is_empty() || self.has_expired(now, &snapshot) {
            return self.write(now, snapshot.row.fence + 1, snapshot.revision);
        }
        Action::Wait
    }

    /// Handles the outcome of the write that was returned last.
    pub fn on_write(&mut self, outcome: Outcome) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match outcome {
            Outcome::Written { revision } => {
                self.held = Some(Held {
                    fence: pending.fence,
                    revision,
                    until: pending.sent_at + self.length,
                });
            }
            Outcome::Failed | Outcome::Unknown => {}
        }
    }

    /// Releases the lease.
    pub fn release(&mut self) -> Action {
        let Some(held) = self.held.take() else {
            return Action::Wait;
        };
        let row = Row {
            holder: SmolStr::default(),
            fence: held.fence,
            length_ms: 0,
        };
        Action::Write {
            row,
            revision: held.revision,
        }
    }

    fn has_expired(&mut self, now: Duration, snapshot: &Snapshot) -> bool {
        let length = Duration::from_millis(snapshot.row.length_ms);
        let wait = length + length * CLOCK_MARGIN_PERCENT / 100;
        match self.observed {
            Some(last) if last.revision == snapshot.revision => now >= last.since + wait,
            _ => {
                self.observed = Some(Observed {
                    revision: snapshot.revision,
                    since: now,
                });
                false
            }
        }
    }

    fn write(&mut self, now: Duration, fence: u64, revision: u64) -> Action {
        self.pending = Some(Pending {
            sent_at: now,
            fence,
        });
        let row = Row {
            holder: self.name.clone(),
            fence,
            length_ms: self.length.as_millis() as u64,
        };
        Action::Write { row, revision }
    }
}

/// Protects a resource from earlier holders of its lease by their fencing
/// numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checker {
    highest: u64,
}

/// The error for a fencing number below one that was accepted before.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display(
    "fencing number {given} is below {highest}: another process holds the lease; claim it again"
))]
pub struct Fenced {
    /// The fencing number that was given.
    pub given: u64,
    /// The highest fencing number accepted so far.
    pub highest: u64,
}

impl Checker {
    /// Accepts a holder unless a later one has been accepted before.
    ///
    /// # Errors
    ///
    /// [`Fenced`] if the number is below the highest one accepted.
    pub fn check(&mut self, fence: u64) -> Result<(), Fenced> {
        if fence < self.highest {
            return Err(Fenced {
                given: fence,
                highest: self.highest,
            });
        }
        self.highest = fence;
        Ok(())
    }
}
