//! The ids of attempts whose records have been removed, so that a delayed
//! duplicate is not run again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::call::Attempt;
use crate::call::Id;
use crate::call::Origin;

/// How long the id of an attempt is retained.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(120);
/// The maximum number of attempt ids that are retained.
const ATTEMPTS_MAX: usize = 1 << 16;
/// How long the watermark of an origin is retained after its last update.
const ORIGIN_RETENTION: Duration = Duration::from_secs(3600);

/// What is known about an attempt without a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Seen {
    /// It has never been received.
    Never,
    /// It was received and its record has been removed.
    Removed,
    /// It may have been received: its call is at or below the watermark of
    /// its origin.
    Unknown,
}

/// Attempts whose records have been removed.
#[derive(Debug, Default)]
pub(super) struct History {
    attempts: HashSet<Attempt>,
    by_age: VecDeque<(Duration, Attempt)>,
    watermarks: HashMap<Origin, Watermark>,
}

/// The highest call id among the attempts of an origin whose ids were evicted.
/// Calls up to this id may have been received.
#[derive(Debug)]
struct Watermark {
    call: Id,
    updated_at: Duration,
}

impl History {
    pub(super) fn seen(&self, attempt: Attempt) -> Seen {
        let covers = |watermark: &Watermark| attempt.call <= watermark.call;
        match self.watermarks.get(&attempt.origin) {
            _ if self.attempts.contains(&attempt) => Seen::Removed,
            Some(watermark) if covers(watermark) => Seen::Unknown,
            _ => Seen::Never,
        }
    }

    pub(super) fn insert(&mut self, now: Duration, attempt: Attempt) {
        if self.attempts.insert(attempt) {
            self.by_age.push_back((now, attempt));
        }
        while self.by_age.len() > ATTEMPTS_MAX {
            self.evict_oldest(now);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((inserted_at, _)) = self.by_age.front()
            && now >= *inserted_at + ATTEMPT_RETENTION
        {
            self.evict_oldest(now);
        }
        self.watermarks
            .retain(|_, watermark| now < watermark.updated_at + ORIGIN_RETENTION);
    }

    fn evict_oldest(&mut self, now: Duration) {
        let Some((_, attempt)) = self.by_age.pop_front() else {
            return;
        };
        self.attempts.remove(&attempt);
        let watermark = self.watermarks.entry(attempt.origin).or_insert(Watermark {
            call: attempt.call,
            updated_at: now,
        });
        watermark.call = watermark.call.max(attempt.call);
        watermark.updated_at = now;
    }
}
