//! Which version to fetch first when a newer one is named before the last one
//! is here.
//!
//! The load that this answers: two versions named within the time of one copy,
//! over an origin's link that carries one copy in seconds. Both at once would
//! make both late. The older one is finished first if that makes neither late,
//! or if engines can serve with it while the newest is still on its way and what
//! they hold now is too old.

use std::time::Duration;

/// The part of its chunks from which an older version has come far: less would
/// be finished so shortly before the newest that no engine loads it.
const FAR: f64 = 0.4;
/// From the last chunk at the host that reads it from the origin to engines
/// that serve with the version: passing on, and loading.
const READY: Duration = Duration::from_millis(1_500);

/// One version on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Download {
    /// The length of all its chunks, in bytes.
    pub size_bytes: f64,
    /// The part of them that is here, from 0 to 1.
    pub fraction_held: f64,
    /// From when on engines may not serve with an older one.
    pub due: Duration,
}

impl Download {
    /// Whether all of it is here.
    pub fn is_complete(self) -> bool {
        self.fraction_held >= 1.0
    }

    /// How long the rest takes at so many bytes a second.
    fn rest(self, bytes_per_s: f64) -> Duration {
        let missing = self.size_bytes * (1.0 - self.fraction_held).max(0.0);
        Duration::try_from_secs_f64(missing / bytes_per_s).unwrap_or(Duration::MAX / 4)
    }
}

/// Whether to finish `older` before `newest` is begun, over a link that carries
/// `bytes_per_s`.
pub fn finish_older_first(
    now: Duration,
    older: Download,
    newest: Download,
    bytes_per_s: f64,
) -> bool {
    let cost = older.rest(bytes_per_s);
    let older_ready = now + cost + READY;
    let newest_ready = older_ready + newest.rest(bytes_per_s);
    let fits = newest_ready <= newest.due;
    let serves_from = older_ready.max(older.due);
    let serves_for = newest_ready.min(newest.due).saturating_sub(serves_from);
    (FAR..1.0).contains(&older.fraction_held) && (fits || serves_for > cost)
}
