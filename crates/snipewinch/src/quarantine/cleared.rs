//! Keys that work has come through with.

use std::collections::HashMap;
use std::time::Duration;

use super::Key;

/// When work with keys last came through.
#[derive(Clone, Debug)]
pub(super) struct Cleared {
    pub(super) times: HashMap<Key, Duration>,
    len_max: usize,
}

impl Cleared {
    pub(super) fn with_max(len_max: usize) -> Cleared {
        Cleared {
            times: HashMap::new(),
            len_max,
        }
    }

    pub(super) fn insert(&mut self, now: Duration, key: Key) {
        self.times.insert(key, now);
        if self.times.len() > self.len_max {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<Duration> = self.times.values().copied().collect();
        times.sort_unstable();
        let limit = times[times.len() / 4];
        self.times.retain(|_, at| *at > limit);
    }
}
