//! Attempts that are over, remembered in few bytes so that a late duplicate
//! never runs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::call::Attempt;
use crate::call::Id;
use crate::call::Origin;

/// How long an attempt that is over is remembered by name.
const REMEMBER: Duration = Duration::from_secs(120);
/// The most attempts that are remembered by name.
const REMEMBER_MAX: usize = 1 << 16;
/// How long an origin is remembered after its last attempt was forgotten.
const ORIGIN_REMEMBER: Duration = Duration::from_secs(3600);

/// What is known of an attempt without a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Seen {
    /// It has not been here.
    Never,
    /// It is over, and its entry knew.
    Done,
    /// It may have been here.
    Forgotten,
}

/// Attempts that are over.
#[derive(Debug, Default)]
pub(super) struct Memory {
    names: HashSet<Attempt>,
    order: VecDeque<(Duration, Attempt)>,
    floors: HashMap<Origin, Floor>,
}

/// Calls up to this number may have been here.
#[derive(Debug)]
struct Floor {
    number: Id,
    raised: Duration,
}

impl Memory {
    pub(super) fn seen(&self, attempt: Attempt) -> Seen {
        let below = |floor: &Floor| attempt.call <= floor.number;
        match self.floors.get(&attempt.origin) {
            _ if self.names.contains(&attempt) => Seen::Done,
            Some(floor) if below(floor) => Seen::Forgotten,
            _ => Seen::Never,
        }
    }

    pub(super) fn remember(&mut self, now: Duration, attempt: Attempt) {
        if self.names.insert(attempt) {
            self.order.push_back((now, attempt));
        }
        while self.order.len() > REMEMBER_MAX {
            self.forget_oldest(now);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((since, _)) = self.order.front()
            && now >= *since + REMEMBER
        {
            self.forget_oldest(now);
        }
        self.floors
            .retain(|_, floor| now < floor.raised + ORIGIN_REMEMBER);
    }

    fn forget_oldest(&mut self, now: Duration) {
        let Some((_, attempt)) = self.order.pop_front() else {
            return;
        };
        self.names.remove(&attempt);
        let floor = self.floors.entry(attempt.origin).or_insert(Floor {
            number: attempt.call,
            raised: now,
        });
        floor.number = floor.number.max(attempt.call);
        floor.raised = now;
    }
}
