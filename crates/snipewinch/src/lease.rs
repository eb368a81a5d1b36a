//! Exclusion for a time, through rows of the platform's table.
//!
//! A lease is a row that names its holder, a fencing number and a length. The
//! holder counts the time from *before* it sent the renewal that took effect,
//! so a pause or a slow answer only shortens its view of the lease. Others
//! count from when they first *saw* the row's revision and wait the length and
//! a margin on their own clock. No wall clock is compared with another, so
//! clock steps do no harm. A holder that wakes from a long pause may still act
//! in good faith: therefore the resource checks the fencing number, by
//! [`Gate`], and the lease only keeps the contest rare.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What others wait beyond the length, for clocks that run at other rates.
const MARGIN_PERCENT: u32 = 10;

/// The row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Who holds the lease; empty if it was given back.
    pub holder: SmolStr,
    /// Grows with every change of the holder.
    pub fence: u64,
    /// How long it lasts from each renewal, in milliseconds.
    pub length_ms: u64,
}

/// The row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seen {
    /// Its content.
    pub row: Row,
    /// Its revision.
    pub revision: u64,
}

/// How a write of the row ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect at this revision.
    Done {
        /// The revision.
        revision: u64,
    },
    /// It had no effect.
    Failed,
    /// It may have taken effect.
    Unknown,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing now.
    Rest,
    /// Read the row.
    Read,
    /// Write this row if its revision is still this one (0: it is absent).
    Write {
        /// The row.
        row: Row,
        /// The revision demanded.
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
    sent: Duration,
    fence: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Watched {
    revision: u64,
    since: Duration,
}

/// One process that wants a lease.
#[derive(Clone, Debug)]
pub struct Claimant {
    name: SmolStr,
    length: Duration,
    held: Option<Held>,
    pending: Option<Pending>,
    watched: Option<Watched>,
}

impl Claimant {
    /// A claimant under a name that no other process ever uses, for leases of
    /// this length.
    pub fn open(name: SmolStr, length: Duration) -> Claimant {
        Claimant {
            name,
            length,
            held: None,
            pending: None,
            watched: None,
        }
    }

    /// The fencing number, while the lease is held.
    pub fn fence(&self, now: Duration) -> Option<u64> {
        let held = self.held?;
        (now < held.until).then_some(held.fence)
    }

    /// What to do now, without news.
    pub fn next(&self, now: Duration) -> Action {
        match self.held {
            _ if self.pending.is_some() => Action::Rest,
            Some(held) if now + self.length / 2 < held.until => Action::Rest,
            _ => Action::Read,
        }
    }

    /// The row was read; none if it is absent. `now` is the time at which the
    /// answer arrived.
    pub fn read(&mut self, now: Duration, seen: Option<Seen>) -> Action {
        let Some(seen) = seen else {
            return self.write(now, 1, 0);
        };
        if seen.row.holder == self.name {
            // It is ours, maybe by a write whose answer was lost. Renewing it
            // dates the lease anew; without that its age is not known.
            return self.write(now, seen.row.fence, seen.revision);
        }
        self.held = None;
        if seen.row.holder.is_empty() || self.lapsed(now, &seen) {
            return self.write(now, seen.row.fence + 1, seen.revision);
        }
        Action::Rest
    }

    /// The write that was asked for has ended.
    pub fn written(&mut self, written: Written) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match written {
            Written::Done { revision } => {
                self.held = Some(Held {
                    fence: pending.fence,
                    revision,
                    until: pending.sent + self.length,
                });
            }
            Written::Failed | Written::Unknown => {}
        }
    }

    /// Gives the lease back.
    pub fn release(&mut self) -> Action {
        let Some(held) = self.held.take() else {
            return Action::Rest;
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

    fn lapsed(&mut self, now: Duration, seen: &Seen) -> bool {
        let length = Duration::from_millis(seen.row.length_ms);
        let patience = length + length * MARGIN_PERCENT / 100;
        match self.watched {
            Some(watched) if watched.revision == seen.revision => now >= watched.since + patience,
            _ => {
                self.watched = Some(Watched {
                    revision: seen.revision,
                    since: now,
                });
                false
            }
        }
    }

    fn write(&mut self, now: Duration, fence: u64, revision: u64) -> Action {
        self.pending = Some(Pending { sent: now, fence });
        let row = Row {
            holder: self.name.clone(),
            fence,
            length_ms: self.length.as_millis() as u64,
        };
        Action::Write { row, revision }
    }
}

/// Guards a resource: refuses whoever comes with an old fencing number.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    highest: u64,
}

/// The fencing number is older than one already seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display(
    "fencing number {given} is below {highest}: another holds the lease; claim it again"
))]
pub struct Fenced {
    /// What was given.
    pub given: u64,
    /// The highest seen.
    pub highest: u64,
}

impl Gate {
    /// Lets a holder through unless a later one came before.
    ///
    /// # Errors
    ///
    /// [`Fenced`] when the number is old.
    pub fn admit(&mut self, fence: u64) -> Result<(), Fenced> {
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
