//! The interface between the callers' API and the code that runs calls.

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

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The customer whose share it uses.
    pub customer: SmolStr,
    /// The idempotency key, if the caller sent one; the call then runs at most
    /// once.
    pub key: Option<SmolStr>,
    /// The digest that distinguishes requests under the same key.
    pub fingerprint: Digest,
    /// The digests of the prompt's prefixes, the longest first.
    pub prefixes: Vec<Digest>,
    /// The time until its deadline.
    pub budget: Duration,
    /// The request for the backend server.
    pub request: Request,
}

/// A part of a streamed answer.
#[derive(Clone, Debug)]
pub enum Part {
    /// Complete events.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer cannot be completed.
    Failed(Failure),
}

/// The body of a streamed answer. Dropping it abandons the call.
pub trait BodyStream: Send {
    /// Waits for the next part. None follows after [`Part::End`] or
    /// [`Part::Failed`].
    fn next(&mut self) -> Pin<Box<dyn Future<Output = Part> + Send + '_>>;

    /// The next part, if it is already available.
    fn try_next(&mut self) -> Option<Part>;
}

/// The body of an answer.
pub enum Body {
    /// The complete body.
    Complete(Bytes),
    /// A body that is forwarded as it arrives.
    Stream(Box<dyn BodyStream>),
}

/// An answer whose head is known.
pub struct Answer {
    /// The status, the headers and the model version.
    pub head: Head,
    /// Whether it was recorded by an earlier call under the same key.
    pub replayed: bool,
    /// The body.
    pub body: Body,
}

/// Runs calls.
pub trait Gateway: Send + Sync + 'static {
    /// Runs a call and returns its answer, whose body may still be streamed.
    /// Dropping the future abandons the call.
    fn call(
        &self,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Result<Answer, Problem>> + Send + '_>>;
}
