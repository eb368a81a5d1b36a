//! Which version to fetch first when a newer one is named before the last one
//! is here.
//!
//! The load that this answers: two versions named within the time of one copy,
//! over an origin's link that carries one copy in seconds. Both at once would
//! make both late; the older one is worth finishing only if that leaves enough
//! time for the newer one, which replaces it.

use std::time::Duration;

/// The part of its chunks from which an older version has come far: less would
/// be finished so shortly before the newest that no engine loads it.
const FAR: f64 = 0.4;

/// One version on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// The length of all its chunks, in bytes.
    pub bytes: f64,
    /// The part of them that is here, from 0 to 1.
    pub held: f64,
}

impl Stage {
    /// Whether all of it is here.
    pub fn is_whole(self) -> bool {
        self.held >= 1.0
    }

    fn missing(self) -> f64 {
        self.bytes * (1.0 - self.held)
    }
}

/// Whether to finish `older` before `newest` is begun: the newest can still be
/// fetched after it at `bytes_per_s` within `left`, the time until engines must
/// begin to load it.
pub fn finishes_first(older: Stage, newest: Stage, bytes_per_s: f64, left: Duration) -> bool {
    let both = (older.missing() + newest.missing()) / bytes_per_s;
    (FAR..1.0).contains(&older.held) && both <= left.as_secs_f64()
}
