//! The events, requests and answers of a table.

use std::time::Duration;

use super::Key;
use crate::Digest;
use crate::host;
use crate::membership;
use crate::wire;

/// An event that changes the table.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The membership list as this process sees it.
    View(&'a membership::View),
    /// A link to a host is open.
    Up {
        /// The process at the other end.
        peer: &'a host::Identity,
    },
    /// The last link to a host is closed.
    Down {
        /// The host.
        host: &'a host::Name,
    },
    /// A host has reported its load.
    Summary {
        /// The host.
        host: &'a host::Name,
        /// The report.
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

/// A call that needs a host.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// The models and adapters that the host's engine must have confirmed, all
    /// of them.
    pub needs: &'a [Need<'a>],
    /// Digests of the prompt's prefixes, the longest first.
    pub prefixes: &'a [Digest],
    /// Hosts to which this call has already been sent.
    pub tried: &'a [Key],
    /// The longest time that the call may wait at the host before it is run;
    /// none means no limit.
    pub wait_max: Option<Duration>,
    /// The seed of the random choice; must differ between attempts.
    pub seed: u64,
}

impl<'a> Request<'a> {
    /// Creates a request that any host of `service` may answer.
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
    /// The version; none means any confirmed one.
    pub version: Option<&'a str>,
}

/// Why no host was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// No host is known for the service.
    NoHost,
    /// Hosts are known, but none of them is linked.
    Unreachable,
    /// Hosts are linked, but none has confirmed the models that the call needs.
    NotLoaded,
    /// All linked hosts are leaving.
    Leaving,
    /// The call has been sent to every host that could answer it.
    AllTried,
    /// The chosen host is so loaded that the call would not be run in time.
    Busy,
}

impl Reason {
    /// The name in metrics and answers.
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

/// No host was chosen for a call.
#[derive(Clone, Debug, PartialEq, snafu::Snafu)]
#[snafu(display(
    "no backend server for the call ({}): retry after {} ms",
    reason.name(),
    retry_after.as_millis()
))]
pub struct Refusal {
    /// Why no host was chosen.
    pub reason: Reason,
    /// The time after which a new attempt may succeed.
    pub retry_after: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub status: Status,
    /// The time from the start to the first byte of the answer, if there was
    /// one.
    pub first_byte: Option<Duration>,
    /// The time from the start to the end.
    pub total: Duration,
}

/// The status of a call that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The answer is complete.
    Success,
    /// The host failed: an error, a truncated answer, a timeout or a lost link.
    Failure,
    /// The host refused since it is full, and asked not to be sent calls for
    /// this time.
    Refused(Duration),
    /// The host refused since it is leaving.
    Leaving,
    /// The call ended for a reason unrelated to the host.
    Cancelled,
}

impl Outcome {
    /// A complete answer whose first byte was received at its end.
    pub fn success(total: Duration) -> Outcome {
        Outcome {
            status: Status::Success,
            first_byte: Some(total),
            total,
        }
    }

    /// The end of a call without an answer.
    pub fn without_answer(status: Status, total: Duration) -> Outcome {
        Outcome {
            status,
            first_byte: None,
            total,
        }
    }
}
