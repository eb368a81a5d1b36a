//! Calls between an entry and an agent.
//!
//! An entry sends a call to an agent as an *attempt*. The agent numbers the
//! parts of the answer (part 0 is the head, the others carry data) and
//! retains each part until the entry has acknowledged it. If the link is lost,
//! the entry queries the agent over the next link, and the agent resumes with
//! the first part that the entry has not received.
//!
//! [`entry::Entry`] and [`agent::Agent`] are the state machines of the two
//! ends.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::host;

pub mod agent;
pub mod entry;

/// Identifies a link between two processes; assigned by the embedder.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Link(pub u64);

/// Identifies one incarnation of an entry process. Two entries, or two
/// incarnations of the same entry, have different origins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Origin(pub u64);

impl Origin {
    /// Derives the origin from the entry's host name and incarnation.
    pub fn of(host: &host::Name, incarnation: u64) -> Origin {
        let mut hasher = blake3::Hasher::new();
        hasher.update(host.as_str().as_bytes());
        hasher.update(&incarnation.to_le_bytes());
        let hash = hasher.finalize();
        let mut word = [0; 8];
        word.copy_from_slice(&hash.as_bytes()[..8]);
        Origin(u64::from_le_bytes(word))
    }
}

/// Identifies a call of an origin. Ids are assigned in ascending order.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Id(pub u64);

/// Identifies one attempt at a call. It is never reused, not even after a
/// restart of the entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "(u64, u64, u16)", into = "(u64, u64, u16)")]
pub struct Attempt {
    /// The entry process that received the call.
    pub origin: Origin,
    /// The call.
    pub call: Id,
    /// The number of earlier attempts at this call.
    pub retry: u16,
}

impl From<(u64, u64, u16)> for Attempt {
    fn from((origin, call, retry): (u64, u64, u16)) -> Attempt {
        Attempt {
            origin: Origin(origin),
            call: Id(call),
            retry,
        }
    }
}

impl From<Attempt> for (u64, u64, u16) {
    fn from(attempt: Attempt) -> (u64, u64, u16) {
        (attempt.origin.0, attempt.call.0, attempt.retry)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}-{}", self.origin.0, self.call.0, self.retry)
    }
}

/// The name and value of a header of a request or an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header(pub SmolStr, pub SmolStr);

/// The caller's request, which is the same for every attempt.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The service that the request is for.
    #[serde(rename = "s")]
    pub service: SmolStr,
    /// The HTTP method.
    #[serde(rename = "m")]
    pub method: SmolStr,
    /// The path and query.
    #[serde(rename = "p")]
    pub path: SmolStr,
    /// The headers that are forwarded to the backend server.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<Header>,
    /// The body.
    #[serde(rename = "b")]
    pub body: Bytes,
    /// The requested model, if the backend server is an engine.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub model: Option<SmolStr>,
    /// Whether the caller asked for a stream of events, which is forwarded as
    /// it arrives.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub stream: bool,
    /// Whether the call must be executed at most once, so that an attempt that
    /// may have run is not repeated.
    #[serde(rename = "n", default, skip_serializing_if = "is_false")]
    pub at_most_once: bool,
    /// The request id that is sent to the backend server. If absent, the
    /// attempt's own id is sent.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// The priority, from 0 to 9; higher priorities run first.
    #[serde(rename = "y", default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// The W3C trace context (`traceparent`) of the entry's span.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<SmolStr>,
}

impl Request {
    /// Whether an answer with this head is forwarded as it arrives. Any other
    /// answer is buffered until it is complete.
    pub fn is_streamed(&self, head: &Head) -> bool {
        self.stream && self.model.is_some() && head.status == STATUS_OK
    }
}

/// The HTTP status 200 OK.
const STATUS_OK: u16 = 200;

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_zero(value: &u8) -> bool {
    *value == 0
}

/// Asks an agent to run an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// The time that remains until the caller's deadline, in milliseconds.
    #[serde(rename = "d")]
    pub budget_ms: u64,
    /// Bytes of the answer's body that the agent may send before it receives a
    /// [`Message::Credit`].
    #[serde(rename = "w")]
    pub credit_bytes: u64,
    /// The model version that must serve the call, if an earlier attempt has
    /// begun to answer with one.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// The number of tokens received from earlier attempts; the engine resumes
    /// after them.
    #[serde(rename = "f", default)]
    pub resume_from: u64,
    /// The request.
    #[serde(rename = "r")]
    pub request: Arc<Request>,
}

/// The head of an answer, which is its part 0.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The headers that are forwarded to the caller.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<Header>,
    /// The model version that serves the call, if an engine answers.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
}

/// A part of an answer's body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Data {
    /// The number of tokens in it; 0 if the answer is not a token stream.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// The bytes.
    #[serde(rename = "b")]
    pub bytes: Bytes,
}

/// Describes a complete answer, so that the entry can verify what it has
/// received.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// The number of parts, including the head.
    #[serde(rename = "n")]
    pub parts: u32,
    /// The size of the body, in bytes.
    #[serde(rename = "l")]
    pub length_bytes: u64,
    /// The BLAKE3 digest of the body.
    #[serde(rename = "g")]
    pub digest: Digest,
}

/// Why an agent did not run an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// The limits on running and queued calls are both reached.
    #[serde(rename = "b")]
    Busy,
    /// The agent is shutting down.
    #[serde(rename = "l")]
    Leaving,
    /// The engine has not confirmed the requested model or version.
    #[serde(rename = "v")]
    Version,
    /// The deadline passed before the call could start.
    #[serde(rename = "d")]
    Deadline,
    /// The backend server did not accept a connection.
    #[serde(rename = "u")]
    Unreachable,
    /// The agent serves another service.
    #[serde(rename = "s")]
    Service,
    /// The entry cancelled or queried the attempt before the agent received
    /// its start.
    #[serde(rename = "c")]
    Cancelled,
}

/// Why an attempt that had started did not produce a complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// The exchange with the backend server failed or ended before the
    /// answer was complete.
    #[serde(rename = "b")]
    Broken,
    /// The answer of the backend server was invalid.
    #[serde(rename = "m")]
    Malformed,
    /// The deadline passed while it was running.
    #[serde(rename = "d")]
    Deadline,
    /// It was cancelled while it was running.
    #[serde(rename = "c")]
    Cancelled,
    /// The agent has evicted its record of the attempt, or cannot rule out
    /// that it had one, and does not know whether it ran.
    #[serde(rename = "f")]
    Evicted,
}

/// Whether the backend server has executed a call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Executed {
    /// It has not, and will not.
    #[default]
    #[serde(rename = "n")]
    No,
    /// It may have, or may do so later.
    #[serde(rename = "u")]
    Unknown,
    /// It has, at least partially.
    #[serde(rename = "y")]
    Yes,
}

/// A message of the call protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// From the entry: run this attempt.
    #[serde(rename = "s")]
    Start(Box<Start>),
    /// From the agent: the head of the answer.
    #[serde(rename = "h")]
    Head(Attempt, Head),
    /// From the agent: the data part with this number, counted from 1.
    #[serde(rename = "d")]
    Data(Attempt, u32, Data),
    /// From the agent: the answer is complete.
    #[serde(rename = "e")]
    End(Attempt, Total),
    /// From the agent: the attempt has not run and never will. The number is
    /// the time before the entry should retry at this agent, in milliseconds.
    #[serde(rename = "r")]
    Refuse(Attempt, Refusal, u32),
    /// From the agent: the attempt has ended without a complete answer.
    #[serde(rename = "f")]
    Fail(Attempt, Fault, Executed),
    /// From the entry: cancel the attempt. The agent replies with `Refuse`,
    /// `Fail` or `End`. A running at-most-once call is not interrupted.
    #[serde(rename = "x")]
    Cancel(Attempt),
    /// From the entry: report the state of the attempt and resend what is
    /// missing. The numbers are as in `Credit`.
    #[serde(rename = "q")]
    Query(Attempt, u32, u64),
    /// From the agent, in reply to `Query`: the attempt is queued or running.
    /// The missing parts follow.
    #[serde(rename = "o")]
    Alive(Attempt),
    /// From the entry: acknowledges all parts before the part with the first
    /// number, and allows the agent to send data up to the second number of
    /// bytes, counted from the start of the attempt's answer.
    #[serde(rename = "k")]
    Credit(Attempt, u32, u64),
    /// From the entry: it knows how the attempt ended and will not query it
    /// again.
    #[serde(rename = "z")]
    Done(Attempt),
}

impl Message {
    /// The attempt that the message is about.
    pub fn attempt(&self) -> Attempt {
        match self {
            Message::Start(start) => start.attempt,
            Message::Head(attempt, _)
            | Message::Data(attempt, _, _)
            | Message::End(attempt, _)
            | Message::Refuse(attempt, _, _)
            | Message::Fail(attempt, _, _)
            | Message::Cancel(attempt)
            | Message::Query(attempt, _, _)
            | Message::Alive(attempt)
            | Message::Credit(attempt, _, _)
            | Message::Done(attempt) => *attempt,
        }
    }
}
