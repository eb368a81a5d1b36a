//! Servers that want no requests of one entry: they ask it for rest, or leave.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Server;

/// The longest rest that is kept.
const REST_MAX: Duration = Duration::from_secs(600);
/// How long after a rest requests go to the server one by one, so that those of
/// all entries do not meet there at once.
const RAMP_TIME: Duration = Duration::from_secs(1);
/// The time between two of them.
const RAMP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a server that leaves gets nothing, unless its start is forgotten
/// before. It ends long before that.
const LEAVING_TIME: Duration = Duration::from_secs(600);

/// What a server wants of this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Wish {
    /// Nothing special.
    None,
    /// No request for this long.
    Rest(Duration),
    /// No request before this time, as it has just had rest.
    Slowly(Duration),
    /// No request any more.
    Leave,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Duration,
    /// When the last request was sent after that, or is to be sent.
    last_sent: Duration,
}

/// The wishes of servers that one entry knows. They are between one start of a
/// server and one entry, and are shared with nobody.
#[derive(Clone, Debug, Default)]
pub(super) struct Wishes {
    rests: BTreeMap<Server, Rest>,
    /// Until when servers that leave get nothing.
    leaving: BTreeMap<Server, Duration>,
}

impl Wishes {
    /// Records that a server has asked for rest from now on. A shorter rest does
    /// not end a longer one. Returns whether the rest is longer now.
    pub(super) fn record_rest(&mut self, now: Duration, server: Server, rest: Duration) -> bool {
        let until = now + rest.min(REST_MAX);
        let known = self.rests.get(&server).map(|known| known.until);
        let is_longer = !rest.is_zero() && known.is_none_or(|known| known < until);
        if is_longer {
            let rest = Rest {
                until,
                last_sent: Duration::ZERO,
            };
            self.rests.insert(server, rest);
        }
        is_longer
    }

    /// Records that a server leaves. Returns whether that is new.
    pub(super) fn record_leaving(&mut self, now: Duration, server: Server) -> bool {
        let before = self.leaving.insert(server, now + LEAVING_TIME);
        before.is_none_or(|until| until <= now)
    }

    pub(super) fn record_sent(&mut self, now: Duration, server: Server) {
        if let Some(rest) = self.rests.get_mut(&server) {
            // A request that is reserved for later takes the next turn.
            rest.last_sent = now.max(rest.last_sent + RAMP_INTERVAL);
        }
    }

    pub(super) fn forget(&mut self, server: Server) {
        self.rests.remove(&server);
        self.leaving.remove(&server);
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.rests.retain(|_, rest| now < rest.until + RAMP_TIME);
        self.leaving.retain(|_, until| now < *until);
    }

    pub(super) fn wish(&self, now: Duration, server: Server) -> Wish {
        let is_leaving = self.leaving.get(&server).is_some_and(|until| now < *until);
        match self.rests.get(&server) {
            _ if is_leaving => Wish::Leave,
            Some(rest) if now < rest.until => Wish::Rest(rest.until - now),
            Some(rest) if now < rest.until + RAMP_TIME => {
                let next = rest.last_sent + RAMP_INTERVAL;
                match now < next {
                    true => Wish::Slowly(next - now),
                    false => Wish::None,
                }
            }
            Some(_) | None => Wish::None,
        }
    }
}
