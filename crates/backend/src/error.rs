//! What goes wrong between an agent and its backend server.

use http::StatusCode;
use snafu::Snafu;
use snipewinch::call::Executed;
use snipewinch::call::Fault;

/// What goes wrong between an agent and its backend server.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The backend server takes no connection, so nothing was sent.
    #[snafu(display(
        "no connection to the backend server at {authority}: start it, or correct --backend ({source})"
    ))]
    Connect {
        /// Where it should be.
        authority: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The exchange broke after the request may have been sent.
    #[snafu(display(
        "the backend server at {authority} broke off before its answer: look at its own log ({source})"
    ))]
    Exchange {
        /// Where it is.
        authority: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off.
    #[snafu(display("the backend server broke off in mid-answer: look at its own log ({source})"))]
    Body {
        /// The cause.
        source: hyper::Error,
    },
    /// A stream of events ended without its closing event.
    #[snafu(display(
        "the engine's stream ended without `data: [DONE]`: look at the engine's own log"
    ))]
    Cut,
    /// An event of a stream is too long.
    #[snafu(display(
        "an event of the engine's stream is longer than {max} bytes: correct the engine"
    ))]
    EventTooLong {
        /// The most bytes an event may have.
        max: usize,
    },
    /// The request can't be written as HTTP.
    #[snafu(display("the request is not valid HTTP: correct its path and headers ({source})"))]
    Request {
        /// The cause.
        source: http::Error,
    },
    /// The request's body is not JSON.
    #[snafu(display("the request's body is not a JSON object: correct it ({source})"))]
    Json {
        /// The cause.
        source: serde_json::Error,
    },
    /// The backend server answered with another status than it should.
    #[snafu(display("the backend server answered {status}: look at its own log"))]
    Status {
        /// The status.
        status: StatusCode,
    },
}

impl Error {
    /// Whether the work may have run.
    pub fn executed(&self) -> Executed {
        match self {
            Error::Connect { .. } | Error::Json { .. } | Error::Request { .. } => Executed::No,
            Error::Exchange { .. } | Error::Status { .. } => Executed::Unknown,
            Error::Body { .. } | Error::Cut | Error::EventTooLong { .. } => Executed::Yes,
        }
    }

    /// How the attempt ended.
    pub fn fault(&self) -> Fault {
        match self {
            Error::EventTooLong { .. } | Error::Json { .. } | Error::Status { .. } => {
                Fault::Malformed
            }
            Error::Body { .. }
            | Error::Connect { .. }
            | Error::Cut
            | Error::Exchange { .. }
            | Error::Request { .. } => Fault::Broken,
        }
    }
}
