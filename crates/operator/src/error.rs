//! Errors of console requests and the pages that report them.

use poem::IntoResponse;
use poem::Response;
use poem::http::StatusCode;
use snafu::Snafu;

use crate::page;

/// Why a request was not carried out. The texts are shown to operators.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The request has no valid session; it is redirected to the sign-in page.
    #[snafu(display("sign in first"))]
    SignedOut,
    /// The form's CSRF token is not the session's, or its origin is another
    /// site.
    #[snafu(display(
        "this form was not made for your session; open the page again, and copy over what you typed"
    ))]
    CsrfRejected,
    /// The form's body exceeds the limit.
    #[snafu(display(
        "this form is longer than {limit_bytes} bytes; remove entries no longer used"
    ))]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The form is not valid UTF-8, or lacks a required field, or has an
    /// invalid value in it.
    #[snafu(display("this form can't be read; open the page again"))]
    Malformed,
    /// There is no such version in the history.
    #[snafu(display("there is no such version"))]
    VersionNotFound,
    /// The platform did not answer, or answered with an error.
    #[snafu(display("{source}"))]
    Platform {
        /// The client's error.
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
            Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
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
