//! Whether a request may still be sent to a backend server that holds an older
//! version of the weights than the newest published one.
//!
//! The use of an older version is bounded by when a request *begins* there, and
//! an entry decides when it *sends* it. The decision therefore adds what lies
//! between: the way, and the wait for other requests of that server.

use std::time::Duration;

/// How long a change in the store takes to reach a process while the store and
/// the links are sound.
const NEWS_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// How long before the bound the last request is sent to a backend server with
/// an older version.
pub const SEND_MARGIN: Duration = Duration::from_millis(600);

/// When a version was published, as a process knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Interval {
    /// The earliest moment.
    pub earliest: Duration,
    /// The latest moment.
    pub latest: Duration,
}

impl Interval {
    /// The interval of a change that was made after a moment and learned of at
    /// another.
    pub fn of_news(after: Duration, learned_at: Duration) -> Interval {
        Interval {
            earliest: after.max(learned_at.saturating_sub(NEWS_DELAY_MAX)),
            latest: learned_at,
        }
    }
}

/// A published version of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Publication {
    /// The version.
    pub version: u64,
    /// When it was published; `None` if it may have been at any time before the
    /// process started.
    pub published: Option<Interval>,
}

/// What lies between sending a request and its begin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delay {
    /// The longest time to the backend server and back.
    pub transfer: Duration,
    /// The longest wait there, by the model of its engine.
    pub queue: Duration,
}

/// Whether a request may be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No newer version is known than the one that it holds.
    Current,
    /// It may, and is withdrawn at this time if it has not begun.
    Until(Duration),
    /// It may begin too late.
    Outdated,
}

/// The latest time at which a request may begin on version `held`, by the
/// versions that are published; `None` if none of them is newer. An older
/// version may be used for `bound` after a newer one was published.
pub fn begin_by(publications: &[Publication], held: u64, bound: Duration) -> Option<Duration> {
    let newer = publications.iter().filter(|one| one.version > held);
    newer
        .map(|one| {
            one.published
                .map_or(Duration::ZERO, |published| published.earliest + bound)
        })
        .min()
}

/// Whether a request may be sent now that has to begin by `begin_by`.
pub fn admit(now: Duration, begin_by: Option<Duration>, _delay: Delay) -> Verdict {
    match begin_by {
        None => Verdict::Current,
        Some(begin_by) if now + SEND_MARGIN < begin_by => Verdict::Until(begin_by),
        Some(_) => Verdict::Outdated,
    }
}

/// The oldest version to which a request may still be sent; 0 if any.
pub fn min_version(now: Duration, publications: &[Publication], bound: Duration) -> u64 {
    let outdated = publications.iter().filter(|one| {
        let begin_by = begin_by(std::slice::from_ref(one), 0, bound);
        admit(now, begin_by, Delay::default()) == Verdict::Outdated
    });
    outdated.map(|one| one.version).max().unwrap_or(0)
}
