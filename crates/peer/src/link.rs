//! What parts see of links.

use std::sync::Arc;

use snipewinch::host::Identity;
use snipewinch::wire::Summary;

slotmap::new_key_type! {
    /// Names one link while it is up; never used again afterwards.
    pub struct Key;
}

/// Which side opened the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// The peer did.
    Accepted,
    /// This process did.
    Dialed,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The peer closed it, or the connection broke.
    Closed,
    /// Nothing arrived for too long: the peer may still be at work.
    TimedOut,
    /// The peer sent what is not a frame.
    Malformed,
    /// This process let go of it.
    ClosedLocally,
}

/// What happens on links, as one part of the process sees it.
///
/// For one link the order is always `Up`, then any number of `Messages` and
/// `Summary`, then `Down`.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// The link is open and both ends have proved the key.
    Up {
        /// The link.
        link: Key,
        /// Who is at the other end.
        peer: Arc<Identity>,
        /// Which side opened it.
        direction: Direction,
    },
    /// Messages for this part, in the order in which they were sent.
    Messages {
        /// The link.
        link: Key,
        /// The messages.
        messages: Vec<M>,
    },
    /// The peer's summary has changed.
    Summary {
        /// The link.
        link: Key,
        /// The new summary.
        summary: Arc<Summary>,
    },
    /// The link is gone.
    Down {
        /// The link.
        link: Key,
        /// Who was at the other end.
        peer: Arc<Identity>,
        /// Why it ended.
        reason: Reason,
    },
}
