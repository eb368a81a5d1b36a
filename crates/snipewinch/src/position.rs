//! Positions in the history of a store that may be restored from a backup.
//!
//! A restored store has lost its newest transactions and gives their versions out
//! again, so a version alone does not say what its reader knows. Each restore begins
//! a new era, and a position is a version within an era.

use serde::Deserialize;
use serde::Serialize;

/// A version of a store within one of its eras.
///
/// Positions of one era are ordered by their versions. A position of a later era
/// comes after all positions of an earlier one, but does not include what happened
/// between the backup and the restore.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The era; 0 if the store does not tell.
    pub era: u64,
    /// The version, as the store counts its transactions.
    pub version: u64,
}

impl Position {
    /// Whether what changed after this position can be told in an era: only within
    /// its own era does the store give out each version once.
    pub fn is_continued_in(&self, era: u64) -> bool {
        self.era == era
    }
}

/// The newest era of a store that a process has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Eras {
    newest: Option<u64>,
}

/// What an answer says of the era of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// It is of the newest era.
    Current,
    /// It is the first answer of its era, and none of the eras before may be
    /// continued.
    Restored {
        /// The newest era before.
        before: u64,
    },
    /// It is of an era before the newest one: the store has been restored since.
    Outdated {
        /// The newest era.
        newest: u64,
    },
}

impl Eras {
    /// The newest era; 0 if no answer has told one.
    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or_default()
    }

    /// Takes in the era of an answer. One that names none is of the newest era.
    pub fn observe(&mut self, era: Option<u64>) -> Observation {
        match (self.newest, era) {
            (_, None) => Observation::Current,
            (Some(newest), Some(era)) if era < newest => Observation::Outdated { newest },
            (Some(newest), Some(era)) if era > newest => {
                self.newest = Some(era);
                Observation::Restored { before: newest }
            }
            (Some(_) | None, Some(era)) => {
                self.newest = Some(era);
                Observation::Current
            }
        }
    }
}
