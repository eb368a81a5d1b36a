//! The queue of admitted calls, ordered by priority and then by arrival.

use std::collections::VecDeque;

use crate::call::Attempt;

/// The number of priorities, which range from 0 to 9.
const LEVELS: usize = 10;

/// Queued attempts, in one FIFO queue per priority.
#[derive(Debug, Default)]
pub(super) struct Queue {
    levels: [VecDeque<Attempt>; LEVELS],
    len: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn push(&mut self, priority: u8, attempt: Attempt) {
        let level = usize::from(priority).min(LEVELS - 1);
        self.levels[level].push_back(attempt);
        self.len += 1;
    }

    pub(super) fn pop(&mut self) -> Option<Attempt> {
        let attempt = self.levels.iter_mut().rev().find_map(VecDeque::pop_front)?;
        self.len -= 1;
        Some(attempt)
    }

    pub(super) fn remove(&mut self, attempt: Attempt) {
        for level in &mut self.levels {
            let before = level.len();
            level.retain(|waiting| *waiting != attempt);
            self.len -= before - level.len();
        }
    }
}
