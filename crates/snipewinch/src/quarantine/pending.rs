//! Ends of servers that may turn out to have a common cause.

use std::time::Duration;

use super::End;
use super::Key;
use super::Server;

/// Work that a server had just begun when it ended.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// When it was sent to the server.
    pub(super) sent: Duration,
    pub(super) keys: Vec<Key>,
}

/// An end that may still turn out to be one of several at the same moment.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) at: Duration,
    pub(super) server: Server,
    pub(super) works: Vec<Work>,
}

impl Pending {
    /// The end with the keys of the work that was sent later than `since`, if
    /// that is given.
    pub(super) fn into_end(self, since: Option<Duration>) -> End {
        let works = self.works.into_iter();
        let counted = works.filter(|work| since.is_none_or(|since| work.sent > since));
        End {
            server: self.server,
            keys: counted.flat_map(|work| work.keys).collect(),
            renewals: 0,
        }
    }

    pub(super) fn has(&self, key: Key) -> bool {
        self.works.iter().any(|work| work.keys.contains(&key))
    }
}
