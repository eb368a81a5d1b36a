//! Events of links, as the modules of a process receive them.

use std::sync::Arc;

use snipewinch::host::Identity;
use snipewinch::wire::Summary;

slotmap::new_key_type! {
    /// Identifies one link; never reused after the link is down.
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
    /// The peer closed it, the connection failed or this process shut down.
    Closed,
    /// Nothing was received within the idle timeout; the peer may still be
    /// running.
    TimedOut,
    /// The peer sent data that is not a valid message.
    Malformed,
    /// This process closed it or stopped dialing the host.
    ClosedLocally,
}

/// An event on a link, as one module of the process receives it.
///
/// The order for each link is always `Up`, then any number of `Messages` and
/// `Summary`, then `Down`.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// The link is open and both sides have proved the fleet key.
    Up {
        /// The link.
        link: Key,
        /// The identity of the peer.
        peer: Arc<Identity>,
        /// Which side opened it.
        direction: Direction,
    },
    /// Messages for this module, in the order in which they were sent.
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
    /// The link has ended.
    Down {
        /// The link.
        link: Key,
        /// The identity of the peer.
        peer: Arc<Identity>,
        /// Why it ended.
        reason: Reason,
    },
}
