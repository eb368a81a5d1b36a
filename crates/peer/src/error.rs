//! Errors of links.

use std::io;
use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// Why a link could not be opened, or why it ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The listening address can't be bound.
    #[snafu(display(
        "can't listen on {address}: {source}; choose a free address with --listen-peers"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The peer can't be reached.
    #[snafu(display(
        "can't reach {address}: {source}; check that the host is up and the address right"
    ))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The WebSocket failed.
    #[snafu(display("the link broke: {source}; it is opened again on its own"))]
    Socket {
        /// What the library said.
        #[snafu(source(from(tungstenite::Error, Box::new)))]
        source: Box<tungstenite::Error>,
    },
    /// The other side does not know the fleet key.
    #[snafu(display(
        "the process at the other end does not prove the fleet key; set the same --fleet-key on every host"
    ))]
    KeyMismatch,
    /// The other side speaks another protocol version.
    #[snafu(display(
        "the peer speaks protocol {theirs}, this process {ours}; bring both to one release"
    ))]
    ProtocolMismatch {
        /// The peer's version.
        theirs: u32,
        /// This process's version.
        ours: u32,
    },
    /// The peer sent what is not a frame.
    #[snafu(display(
        "a peer sent what is not a frame ({detail}); bring both hosts to one release"
    ))]
    Decode {
        /// What the codec said.
        detail: SmolStr,
    },
    /// A message does not carry the tag that its sender gave it.
    #[snafu(display(
        "a message was changed, repeated or left out on its way; look for a faulty network device between the hosts if it repeats"
    ))]
    InvalidTag,
    /// The peer reached another host than it meant to.
    #[snafu(display(
        "expected host {expected} at this address and found {found}; the list of hosts is behind"
    ))]
    UnexpectedHost {
        /// Whom the dialer wanted.
        expected: SmolStr,
        /// Who answered.
        found: SmolStr,
    },
    /// The handshake took too long.
    #[snafu(display(
        "the handshake took longer than {limit_ms} ms; the host is overloaded or not a snipewinch process"
    ))]
    HandshakeTimeout {
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// Nothing arrived for too long.
    #[snafu(display("nothing arrived for {silence_ms} ms; the link is replaced"))]
    IdleTimeout {
        /// How long, in milliseconds.
        silence_ms: u64,
    },
    /// The peer closed the link.
    #[snafu(display("the peer closed the link; it is opened again while the host is wanted"))]
    Closed,
    /// The peer reads too slowly and its queue is full.
    #[snafu(display("the peer reads too slowly and its queue is full; send less or wait"))]
    QueueFull,
}

impl Error {
    /// A short name for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Error::Bind { .. } => "bind",
            Error::Closed => "closed",
            Error::Connect { .. } => "connect",
            Error::Decode { .. } => "decode",
            Error::QueueFull => "full",
            Error::KeyMismatch => "key",
            Error::ProtocolMismatch { .. } => "protocol",
            Error::IdleTimeout { .. } => "silent",
            Error::HandshakeTimeout { .. } => "slow",
            Error::Socket { .. } => "socket",
            Error::UnexpectedHost { .. } => "stranger",
            Error::InvalidTag => "tampered",
        }
    }
}
