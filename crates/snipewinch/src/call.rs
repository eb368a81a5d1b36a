//! Calls between an entry and an agent.
//!
//! An entry sends a call to an agent as an *attempt*. The agent numbers the
//! parts of its answer (part 0 is the head, the others carry data) and keeps
//! each part until the entry has acknowledged it, so that an answer survives
//! the loss of the link: the entry asks over the next link and the agent goes
//! on from the first part that is missing.
//!
//! [`entry::Entry`] and [`agent::Agent`] are the two ends.

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

/// Names one link between two processes, as the embedder knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Link(pub u64);

/// One start of one entry process: two entries, or two starts of the same one,
/// never share it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Origin(pub u64);

impl Origin {
    /// The origin of the process that `host` started as `incarnation`.
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

/// Counts the calls of one origin.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Id(pub u64);

/// Names one try at a call; never used again, also not after a restart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "(u64, u64, u16)", into = "(u64, u64, u16)")]
pub struct Attempt {
    /// The entry process that holds the call.
    pub origin: Origin,
    /// The call.
    pub call: Id,
    /// Counts the tries at this call, from 0.
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

/// A header of a request or an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header(pub SmolStr, pub SmolStr);

/// What a caller wants, the same for every attempt.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The service that answers.
    #[serde(rename = "s")]
    pub service: SmolStr,
    /// The HTTP method.
    #[serde(rename = "m")]
    pub method: SmolStr,
    /// The path with its query.
    #[serde(rename = "p")]
    pub path: SmolStr,
    /// The headers that are passed on.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<Header>,
    /// The body.
    #[serde(rename = "b")]
    pub body: Bytes,
    /// The model asked for, if an engine answers.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub model: Option<SmolStr>,
    /// The answer is a stream of events, passed on as they come.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub stream: bool,
    /// The call must run at most once.
    #[serde(rename = "n", default, skip_serializing_if = "is_false")]
    pub at_most_once: bool,
    /// What the backend server is told as the name of the request; the
    /// attempt's own name if none.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Higher goes first; 0 to 9.
    #[serde(rename = "y", default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// The W3C trace context of the entry's span.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<SmolStr>,
}

impl Request {
    /// Whether an answer that begins so is passed on as it comes; any other is
    /// collected first.
    pub fn is_streamed(&self, head: &Head) -> bool {
        self.stream && self.model.is_some() && head.status == STATUS_OK
    }
}

/// The HTTP status of a usual answer.
const STATUS_OK: u16 = 200;

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_zero(number: &u8) -> bool {
    *number == 0
}

/// Asks an agent to run a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// The time left until the caller's deadline, in milliseconds.
    #[serde(rename = "d")]
    pub budget_ms: u64,
    /// Bytes of the answer that the agent may send before the first credit.
    #[serde(rename = "w")]
    pub allowed: u64,
    /// The model version that has to answer, if that is decided already.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// Tokens that the caller has already.
    #[serde(rename = "f", default)]
    pub resume_from: u64,
    /// The call itself.
    #[serde(rename = "r")]
    pub request: Arc<Request>,
}

/// How an answer begins: its part 0.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The headers that are passed on.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<Header>,
    /// The model version that answers, from an engine.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
}

/// A piece of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Data {
    /// Tokens in it, 0 where the answer has none.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// The bytes.
    #[serde(rename = "b")]
    pub bytes: Bytes,
}

/// What a whole answer consists of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Parts, the head among them.
    #[serde(rename = "n")]
    pub parts: u32,
    /// Bytes in all data.
    #[serde(rename = "l")]
    pub length: u64,
    /// The BLAKE3 digest of all data.
    #[serde(rename = "g")]
    pub digest: Digest,
}

/// Why an agent did not run a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// Too many calls run and wait.
    #[serde(rename = "b")]
    Busy,
    /// The agent stops.
    #[serde(rename = "l")]
    Leaving,
    /// The model or its version is not the one in force here.
    #[serde(rename = "v")]
    Version,
    /// The deadline passed before the call could start.
    #[serde(rename = "d")]
    Deadline,
    /// The backend server took no connection.
    #[serde(rename = "u")]
    Unreachable,
    /// The agent stands beside another service.
    #[serde(rename = "s")]
    Service,
    /// The entry had asked for it to be cancelled, or after it, before it
    /// came.
    #[serde(rename = "c")]
    Cancelled,
}

/// Why an attempt that had started did not end well.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// The backend server broke off in mid-answer.
    #[serde(rename = "b")]
    Broken,
    /// The backend server's answer was not one.
    #[serde(rename = "m")]
    Malformed,
    /// It took longer than the deadline.
    #[serde(rename = "d")]
    Deadline,
    /// Cancelled after the start.
    #[serde(rename = "c")]
    Cancelled,
    /// The agent no longer knows whether it ran the attempt.
    #[serde(rename = "f")]
    Forgotten,
}

/// Whether work has run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Executed {
    /// It has not, and will not.
    #[default]
    #[serde(rename = "n")]
    No,
    /// It may have, or may still.
    #[serde(rename = "u")]
    Unknown,
    /// It has, at least in part.
    #[serde(rename = "y")]
    Yes,
}

/// One message of the call protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Entry: run this.
    #[serde(rename = "s")]
    Start(Box<Start>),
    /// Agent: the answer begins.
    #[serde(rename = "h")]
    Head(Attempt, Head),
    /// Agent: the part of this number, from 1.
    #[serde(rename = "d")]
    Data(Attempt, u32, Data),
    /// Agent: the answer is whole.
    #[serde(rename = "e")]
    End(Attempt, Total),
    /// Agent: not run, and never will be. The number is how long to stay away,
    /// in milliseconds.
    #[serde(rename = "r")]
    Refuse(Attempt, Refusal, u32),
    /// Agent: the attempt is over without a whole answer.
    #[serde(rename = "f")]
    Fail(Attempt, Fault, Executed),
    /// Entry: stop this; answered by `Refuse`, `Fail` or the end.
    #[serde(rename = "x")]
    Cancel(Attempt),
    /// Entry: what became of this? It has all parts before the second number;
    /// the agent may send up to the third, in bytes.
    #[serde(rename = "q")]
    Query(Attempt, u32, u64),
    /// Agent: it waits or runs, and what is missing follows.
    #[serde(rename = "o")]
    Alive(Attempt),
    /// Entry: has all parts before the first number; the agent may send up to
    /// the second, in bytes.
    #[serde(rename = "k")]
    Credit(Attempt, u32, u64),
    /// Entry: knows the end and asks no more.
    #[serde(rename = "z")]
    Done(Attempt),
}

impl Message {
    /// The attempt that the message names.
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
