//! What stands behind the callers' interface.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::call::Head;
use snipewinch::call::Request;
use snipewinch::call::entry::Failure;

use crate::Problem;

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub struct Call {
    /// The customer that pays for it.
    pub customer: SmolStr,
    /// The caller's name for it, if it must run at most once.
    pub key: Option<SmolStr>,
    /// Distinguishes requests under the same key.
    pub fingerprint: Digest,
    /// Digests of the prompt's prefixes, the longest first.
    pub prefixes: Vec<Digest>,
    /// The time it may take.
    pub budget: Duration,
    /// The request for the backend server.
    pub request: Request,
}

/// A piece of a streamed answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// Whole events.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// It can't be completed.
    Failed(Failure),
}

/// The rest of a streamed answer; dropping it gives the call up.
pub trait BodyStream: Send {
    /// The next piece. `End` and `Failed` are the last.
    fn next(&mut self) -> Pin<Box<dyn Future<Output = Piece> + Send + '_>>;

    /// The next piece if it is there already.
    fn try_next(&mut self) -> Option<Piece>;
}

/// The rest of an answer.
pub enum Body {
    /// All of it.
    Complete(Bytes),
    /// What comes of it.
    Stream(Box<dyn BodyStream>),
}

/// An answer that has begun.
pub struct Answer {
    /// How it begins.
    pub head: Head,
    /// It was recorded earlier under the same key.
    pub replayed: bool,
    /// The rest.
    pub body: Body,
}

/// Runs calls. Dropping the future gives the call up.
pub trait Gateway: Send + Sync + 'static {
    /// Runs a call.
    fn call(
        &self,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Result<Answer, Problem>> + Send + '_>>;
}
