//! In which order the requests of all entries get the slots of one backend server.
//!
//! It serves the case that more requests arrive than the slots can serve, of unequal
//! urgency. Each entry orders its own; all of them compete only at the agent of the
//! backend server. So a demand says how many requests wait at each urgency, and the
//! agent grants the next slot to the most urgent that can still be on time. A floor
//! keeps the less urgent ones from getting nothing.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// The priority of a request whose entry does not say which it has.
pub const UNKNOWN: u8 = u8::MAX;
/// How many groups of waiting requests a demand describes.
pub const WANTS_MAX: usize = 6;
/// Slots in a row that more urgent requests get while less urgent ones wait that can be
/// on time; the next one goes to the priority that got none for longest. A seventh of
/// the slots is a quarter of the share of kinds that make up four sevenths of the load.
const PASSED_OVER_MAX: u32 = 6;

/// Requests of one priority that wait at an entry.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// How many wait.
    #[serde(rename = "w")]
    pub waiting: u16,
    /// How many milliseconds the first of them can wait and still be on time;
    /// negative if it is late.
    #[serde(rename = "s")]
    pub slack_ms: i32,
    /// The prompt tokens of the first.
    #[serde(rename = "k")]
    pub tokens: u32,
    /// Their priority; 0 is the most urgent.
    #[serde(rename = "p")]
    pub priority: u8,
    /// A digest of the name of the first one's customer; 0 if there is none.
    #[serde(rename = "c", default)]
    pub customer: u32,
}

/// What waits at an entry, the most urgent first.
pub type Wants = [Option<Want>; WANTS_MAX];

/// The first `waiting` requests of `wants`.
pub fn truncate(wants: &Wants, waiting: u16) -> Wants {
    let mut left = waiting;
    wants.map(|want| {
        let count = want?.waiting.min(left);
        left -= count;
        (count > 0).then_some(Want {
            waiting: count,
            ..want?
        })
    })
}

/// Removes the first `count` requests of `wants`.
pub fn skip(wants: &mut Wants, count: u64) {
    let mut left = count;
    for slot in wants {
        let Some(want) = slot else { continue };
        let removed = left.min(u64::from(want.waiting)) as u16;
        left -= u64::from(removed);
        want.waiting -= removed;
        if want.waiting == 0 {
            *slot = None;
        }
    }
}

/// The place of a request in the order; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether it cannot be on time.
    pub is_late: bool,
    is_below_floor: Reverse<bool>,
    priority: u8,
    due_ms: i64,
}

/// The order of requests at one backend server.
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// For each priority, slots that more urgent requests got since it got one.
    passed_over: BTreeMap<u8, u32>,
    /// Slots in a row that went to more urgent requests while less urgent ones waited.
    since_floor: u32,
    /// The priority that gets the next slot whatever else waits.
    below_floor: Option<u8>,
}

impl Order {
    /// The place of a request that is due at `due_ms` of any clock. Late ones go after
    /// all others, the one that is the least late first.
    pub fn rank(&self, priority: u8, due_ms: i64, is_late: bool) -> Rank {
        match is_late {
            true => Rank {
                is_late,
                is_below_floor: Reverse(false),
                priority: 0,
                due_ms: -due_ms,
            },
            false => Rank {
                is_late,
                is_below_floor: Reverse(self.below_floor == Some(priority)),
                priority,
                due_ms,
            },
        }
    }

    /// Records that a request on time of `priority` got a slot, while others on time
    /// of the priorities `waiting` wait.
    pub fn record_granted(&mut self, priority: u8, waiting: impl Iterator<Item = u8>) {
        let less_urgent: BTreeSet<u8> = waiting.filter(|other| *other > priority).collect();
        self.since_floor = match self.below_floor == Some(priority) || less_urgent.is_empty() {
            true => 0,
            false => self.since_floor + 1,
        };
        for other in less_urgent {
            *self.passed_over.entry(other).or_default() += 1;
        }
        self.passed_over.remove(&priority);
        let longest = self.passed_over.iter().max_by_key(|(_, count)| **count);
        let longest = longest.map(|(priority, _)| *priority);
        self.below_floor = longest.filter(|_| self.since_floor >= PASSED_OVER_MAX);
    }
}

/// How urgent a request is: by the priority of its customer, or of its route if the
/// customer has none, and among equals by that of its route; 0 is the most urgent.
pub fn level(priority: u32, route_priority: u32) -> u32 {
    priority.min(14) * 16 + route_priority.min(15)
}
