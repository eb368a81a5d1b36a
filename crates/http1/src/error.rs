//! Why bytes are not a message.

use snafu::Snafu;

/// Why bytes are not a message that may be acted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ParseError {
    /// The head or a chunk breaks the grammar.
    #[snafu(display("the message is not HTTP/1.1; send it as RFC 9112 says"))]
    Malformed,
    /// The head is longer than allowed.
    #[snafu(display("the request's head is too long; send shorter or fewer fields"))]
    HeadTooLong,
    /// The length of the body is ambiguous.
    #[snafu(display(
        "the body's length is ambiguous; send one Content-Length or one Transfer-Encoding"
    ))]
    AmbiguousLength,
    /// The transfer coding is not understood.
    #[snafu(display("only the transfer coding \"chunked\" is understood; send no other"))]
    TransferCoding,
    /// The protocol version is not understood.
    #[snafu(display("only HTTP/1.0 and HTTP/1.1 are understood"))]
    UnsupportedVersion,
}

impl ParseError {
    /// The status that tells the sender.
    pub fn status(self) -> u16 {
        match self {
            ParseError::TransferCoding => 501,
            ParseError::AmbiguousLength | ParseError::Malformed => 400,
            ParseError::HeadTooLong => 431,
            ParseError::UnsupportedVersion => 505,
        }
    }
}
