//! Why bytes are not a message.

use snafu::Snafu;

/// Why bytes are not a message that may be acted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Fault {
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
    Framing,
    /// The transfer coding is not understood.
    #[snafu(display("only the transfer coding \"chunked\" is understood; send no other"))]
    Coding,
    /// The protocol version is not understood.
    #[snafu(display("only HTTP/1.0 and HTTP/1.1 are understood"))]
    Version,
}

impl Fault {
    /// The status that tells the sender.
    pub fn status(self) -> u16 {
        match self {
            Fault::Coding => 501,
            Fault::Framing | Fault::Malformed => 400,
            Fault::HeadTooLong => 431,
            Fault::Version => 505,
        }
    }
}
