//! Errors of the parser.

use snafu::Snafu;

/// Why received bytes are rejected as an HTTP/1.1 message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ParseError {
    /// The head or a chunk violates the grammar.
    #[snafu(display("the message is not HTTP/1.1; send it as RFC 9112 says"))]
    Malformed,
    /// The head exceeds the size limit or the field limit.
    #[snafu(display("the request's head is too long; send shorter or fewer fields"))]
    HeadTooLong,
    /// The length of the body is ambiguous or invalid.
    #[snafu(display(
        "the body's length is ambiguous; send one Content-Length or one Transfer-Encoding"
    ))]
    AmbiguousLength,
    /// The status of an answer is not from 100 to 599.
    #[snafu(display("the answer's status is not from 100 to 599; send one of RFC 9110"))]
    Status,
    /// The transfer coding is not supported.
    #[snafu(display("only the transfer coding \"chunked\" is understood; send no other"))]
    TransferCoding,
    /// The protocol version is not supported.
    #[snafu(display("only HTTP/1.0 and HTTP/1.1 are understood"))]
    UnsupportedVersion,
}

impl ParseError {
    /// Returns the status code with which to answer a request.
    pub fn status(self) -> u16 {
        match self {
            ParseError::TransferCoding => 501,
            ParseError::AmbiguousLength | ParseError::Malformed | ParseError::Status => 400,
            ParseError::HeadTooLong => 431,
            ParseError::UnsupportedVersion => 505,
        }
    }
}
