//! Errors of the requests to a backend server.

use http::StatusCode;
use snafu::Snafu;
use snipewinch::call::Executed;
use snipewinch::call::Fault;

/// Why a request to a backend server failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection to the backend server was established, so nothing was
    /// sent.
    #[snafu(display(
        "connecting to the backend server at {authority} failed: start it, or correct --backend ({source})"
    ))]
    Connect {
        /// The host and port of the backend server.
        authority: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The exchange failed before the answer began; the request may have been
    /// sent.
    #[snafu(display(
        "the exchange with the backend server at {authority} failed before its answer began: check its log ({source})"
    ))]
    Exchange {
        /// The host and port of the backend server.
        authority: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer ended before it was complete.
    #[snafu(display(
        "the backend server's answer ended before it was complete: check its log ({source})"
    ))]
    Body {
        /// The cause.
        source: hyper::Error,
    },
    /// A stream of events ended inside an event, or an engine's stream without
    /// the event that closes it.
    #[snafu(display(
        "the stream ended inside an event or without `data: [DONE]`: check the backend server's log"
    ))]
    Truncated,
    /// An event of a stream exceeds the maximum size.
    #[snafu(display(
        "an event of the engine's stream exceeds {max_bytes} bytes: correct the engine"
    ))]
    EventTooLong {
        /// The maximum size of an event, in bytes.
        max_bytes: usize,
    },
    /// The answer was not complete in time; the request may have been executed.
    #[snafu(display(
        "the backend server gave no complete answer within {limit_ms} ms: check its log if it lasts"
    ))]
    Timeout {
        /// The maximum time, in milliseconds.
        limit_ms: u64,
    },
    /// The request is not valid HTTP.
    #[snafu(display("the request is not valid HTTP: correct its path and headers ({source})"))]
    Request {
        /// The cause.
        source: http::Error,
    },
    /// The body of the request, or of the engine's answer, is not the
    /// expected JSON.
    #[snafu(display(
        "the body of the request or of the engine's answer is not the expected JSON: correct it ({source})"
    ))]
    Json {
        /// The cause.
        source: serde_json::Error,
    },
    /// The backend server answered with an unexpected status, gave no stream
    /// of events although one was requested, or sent an answer that could not
    /// be read (502).
    #[snafu(display("the backend server's answer is unusable (status {status}): check its log"))]
    Status {
        /// The status.
        status: StatusCode,
    },
}

impl Error {
    /// Whether the backend server executed the request.
    pub fn executed(&self) -> Executed {
        match self {
            Error::Connect { .. } | Error::Json { .. } | Error::Request { .. } => Executed::No,
            Error::Exchange { .. } | Error::Status { .. } | Error::Timeout { .. } => {
                Executed::Unknown
            }
            Error::Body { .. } | Error::Truncated | Error::EventTooLong { .. } => Executed::Yes,
        }
    }

    /// The fault that the agent reports for the attempt.
    pub fn fault(&self) -> Fault {
        match self {
            Error::EventTooLong { .. } | Error::Json { .. } | Error::Status { .. } => {
                Fault::Malformed
            }
            Error::Body { .. }
            | Error::Connect { .. }
            | Error::Truncated
            | Error::Exchange { .. }
            | Error::Request { .. }
            | Error::Timeout { .. } => Fault::Broken,
        }
    }
}
