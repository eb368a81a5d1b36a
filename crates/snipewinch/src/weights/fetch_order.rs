//! Which version to fetch first when a newer one is published before the
//! previous one is complete.
//!
//! Two versions may be published within the time of one copy, over a link from
//! the origin that takes seconds for a copy. Fetching both at once would make
//! both late. The older one is finished first if that makes neither late, or if
//! engines can serve with it while the newest is still being fetched and the
//! version that they hold now is too old.

use std::time::Duration;

/// The fraction of an older version from which it may be finished first. With
/// less, it would be complete so shortly before the newest that no engine would
/// load it.
const FRACTION_HELD_MIN: f64 = 0.4;
/// The time from the arrival of the last chunk at the host that reads it from
/// the origin until engines serve with the version: distribution and loading.
const ACTIVATION_TIME: Duration = Duration::from_millis(1_500);
/// The time from the arrival of the last chunk at a host until its engine serves
/// with the version.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// The download of one version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Download {
    /// The length of all its chunks, in bytes.
    pub size_bytes: f64,
    /// The fraction of them that is here, from 0 to 1.
    pub fraction_held: f64,
    /// The time from which engines may not serve with an older version.
    pub due: Duration,
}

impl Download {
    /// Whether all of it is here.
    pub fn is_complete(self) -> bool {
        self.fraction_held >= 1.0
    }

    /// How long the missing bytes take at `bytes_per_s`.
    fn time_left(self, bytes_per_s: f64) -> Duration {
        let missing = self.size_bytes * (1.0 - self.fraction_held).max(0.0);
        Duration::try_from_secs_f64(missing / bytes_per_s).unwrap_or(Duration::MAX / 4)
    }
}

/// In which order the chunks of two versions are fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// The older version until all its chunks are in the fleet, then the newest.
    OlderFirst,
    /// The newest version first. What the fleet holds of the older one is still
    /// exchanged, as engines may need it if the newest stays incomplete.
    NewestFirst,
    /// The older version would be outdated before an engine serves with it.
    NewestOnly,
}

/// What to do with an `older` version that is not complete here, over links of
/// `bytes_per_s`.
///
/// `fraction_held` is that of the fleet in both: agents that decide by their own
/// share would split the origin's link between the versions.
pub fn order(now: Duration, older: Download, newest: Download, bytes_per_s: f64) -> Order {
    let activation_time = match older.is_complete() {
        true => LOAD_TIME,
        false => ACTIVATION_TIME,
    };
    let older_ready = now + older.time_left(bytes_per_s) + activation_time;
    match older_ready < newest.due {
        _ if finish_older_first(now, older, newest, bytes_per_s) => Order::OlderFirst,
        true if older.is_complete() => Order::OlderFirst,
        true => Order::NewestFirst,
        false => Order::NewestOnly,
    }
}

/// Whether to finish `older` before starting `newest`, over a link of
/// `bytes_per_s`.
pub fn finish_older_first(
    now: Duration,
    older: Download,
    newest: Download,
    bytes_per_s: f64,
) -> bool {
    let cost = older.time_left(bytes_per_s);
    let older_ready = now + cost + ACTIVATION_TIME;
    let newest_ready = older_ready + newest.time_left(bytes_per_s);
    let both_on_time = newest_ready <= newest.due;
    let serves_from = older_ready.max(older.due);
    let serves_for = newest_ready.min(newest.due).saturating_sub(serves_from);
    (FRACTION_HELD_MIN..1.0).contains(&older.fraction_held) && (both_on_time || serves_for > cost)
}
