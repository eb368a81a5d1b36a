//! What a table is told and asked, and what it answers.

use std::time::Duration;

use super::Key;
use crate::Digest;
use crate::host;
use crate::membership;
use crate::wire;

/// What a table learns of.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of hosts as this process sees it.
    View(&'a membership::View),
    /// A link to a host is open.
    Up {
        /// Who is at the other end.
        peer: &'a host::Identity,
    },
    /// The last link to a host is gone.
    Down {
        /// The host.
        host: &'a host::Name,
    },
    /// A host has said how it fares.
    Summary {
        /// The host.
        host: &'a host::Name,
        /// What it said.
        summary: &'a wire::Summary,
    },
    /// An engine has stored a prompt prefix in its cache.
    Stored {
        /// The host.
        host: &'a host::Name,
        /// The prefix.
        prefix: Digest,
    },
    /// An engine has removed a prompt prefix from its cache.
    Removed {
        /// The host.
        host: &'a host::Name,
        /// The prefix.
        prefix: Digest,
    },
    /// Cache events of an engine were lost.
    Gap {
        /// The host.
        host: &'a host::Name,
    },
}

/// A call that looks for a host.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// What the host's engine must have confirmed, all of it.
    pub needs: &'a [Need<'a>],
    /// Digests of the prompt's prefixes, the longest first.
    pub prefixes: &'a [Digest],
    /// Hosts that this call has already been to.
    pub tried: &'a [Key],
    /// How long the call may still wait to be run; none means any time.
    pub wait_max: Option<Duration>,
    /// Decides the draws: a different number for each attempt.
    pub seed: u64,
}

impl<'a> Request<'a> {
    /// A request that any host of `service` may answer.
    pub fn new(service: &'a str, seed: u64) -> Request<'a> {
        Request {
            service,
            needs: &[],
            prefixes: &[],
            tried: &[],
            wait_max: None,
            seed,
        }
    }
}

/// A model or adapter that a call needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need<'a> {
    /// The model's or adapter's name.
    pub model: &'a str,
    /// The version; none means any that is confirmed.
    pub version: Option<&'a str>,
}

/// Why no host was found.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// No host is known for the service.
    NoHost,
    /// Hosts are known, but there is a link to none of them.
    Unreachable,
    /// Hosts are linked, but none has confirmed what the call needs.
    NotLoaded,
    /// All linked hosts are leaving.
    Leaving,
    /// The call has been to every host that could answer.
    AllTried,
    /// Every host is so loaded that the call would not be run in time.
    Busy,
}

impl Reason {
    /// The name used in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoHost => "no_backend",
            Reason::Unreachable => "unreachable",
            Reason::NotLoaded => "version_not_loaded",
            Reason::Leaving => "leaving",
            Reason::AllTried => "all_tried",
            Reason::Busy => "busy",
        }
    }
}

/// No host was found.
#[derive(Clone, Debug, PartialEq, snafu::Snafu)]
#[snafu(display(
    "no backend server for the call ({}): retry after {} ms",
    reason.name(),
    retry_after.as_millis()
))]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a new attempt has a chance.
    pub retry_after: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// What came of it.
    pub status: Status,
    /// From the start to the first byte of the answer, where there was one.
    pub first_byte: Option<Duration>,
    /// From the start to the end.
    pub total: Duration,
}

/// What came of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The answer is whole.
    Success,
    /// The host failed: an error, a cut answer, a timeout, a lost link.
    Failure,
    /// The host refused for want of room, and wishes to be left alone so long.
    Refused(Duration),
    /// The host refused since it is leaving.
    Leaving,
    /// The call ended for a reason that says nothing about the host.
    Cancelled,
}

impl Outcome {
    /// A whole answer whose first byte came at its end.
    pub fn success(total: Duration) -> Outcome {
        Outcome {
            status: Status::Success,
            first_byte: Some(total),
            total,
        }
    }

    /// An end without an answer.
    pub fn without_answer(status: Status, total: Duration) -> Outcome {
        Outcome {
            status,
            first_byte: None,
            total,
        }
    }
}
