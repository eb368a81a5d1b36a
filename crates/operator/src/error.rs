//! What a page answers when it can't do what was asked.

use poem::IntoResponse;
use poem::Response;
use poem::http::StatusCode;
use snafu::Snafu;

use crate::page;

/// Why a request was refused before it reached its page.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// Nobody is signed in.
    #[snafu(display("sign in first"))]
    SignedOut,
    /// The form was not made by this console for this session.
    #[snafu(display(
        "this form was not made for your session; open the page again, and copy over what you typed"
    ))]
    CsrfRejected,
    /// The form is too long.
    #[snafu(display("this form is longer than {limit} bytes; remove entries no longer used"))]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// The form can't be read.
    #[snafu(display("this form can't be read; open the page again"))]
    Malformed,
    /// There is no such page.
    #[snafu(display("there is no such version"))]
    VersionNotFound,
    /// The platform did not answer.
    #[snafu(display("{source}"))]
    Platform {
        /// Why.
        source: platform::Error,
    },
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Error::VersionNotFound => StatusCode::NOT_FOUND,
            Error::CsrfRejected => StatusCode::FORBIDDEN,
            Error::Platform { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Error::SignedOut => StatusCode::SEE_OTHER,
            Error::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    pub(crate) fn into_page(self) -> Response {
        match self {
            Error::SignedOut => page::redirect("/console/sign-in"),
            error => page::message(error.status(), "Not done", &error.to_string()).into_response(),
        }
    }
}
