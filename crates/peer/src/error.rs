//! Errors of links.

use std::io;
use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// Why opening a link failed, or why a link ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Binding the listen address failed.
    #[snafu(display(
        "listening on {address} failed: {source}; choose a free address with --listen-peers"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The TCP connection to the peer failed.
    #[snafu(display(
        "connecting to {address} failed: {source}; check that the host is up and the address is correct"
    ))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The WebSocket failed.
    #[snafu(display("the WebSocket failed: {source}; the link is reopened automatically"))]
    Socket {
        /// The error of the WebSocket library.
        #[snafu(source(from(tungstenite::Error, Box::new)))]
        source: Box<tungstenite::Error>,
    },
    /// The peer did not prove that it knows the fleet key.
    #[snafu(display(
        "the peer did not prove the fleet key; set the same --fleet-key on every host"
    ))]
    KeyMismatch,
    /// The peer uses another protocol version.
    #[snafu(display(
        "the peer uses protocol version {peer_version}, this process {own_version}; run the same release on both hosts"
    ))]
    ProtocolMismatch {
        /// The peer's protocol version.
        peer_version: u32,
        /// The protocol version of this process.
        own_version: u32,
    },
    /// The peer sent an invalid message.
    #[snafu(display(
        "invalid message from the peer ({detail}); run the same release on both hosts"
    ))]
    Decode {
        /// What is invalid.
        detail: SmolStr,
    },
    /// The tag of a message does not match: the message was changed, repeated,
    /// reordered or dropped on the way.
    #[snafu(display(
        "invalid message tag: a message was changed, repeated or lost on the way; if this recurs, look for a faulty network device between the hosts"
    ))]
    InvalidTag,
    /// Another host than the expected one answered at the address.
    #[snafu(display(
        "expected host {expected} at this address but found {found}; the host list is out of date"
    ))]
    UnexpectedHost {
        /// The host that was dialed.
        expected: SmolStr,
        /// The host that answered.
        found: SmolStr,
    },
    /// The handshake did not complete in time.
    #[snafu(display(
        "the handshake took longer than {timeout_ms} ms; the host is overloaded or the process is not snipewinch"
    ))]
    HandshakeTimeout {
        /// The timeout in milliseconds.
        timeout_ms: u64,
    },
    /// Nothing was received within the idle timeout.
    #[snafu(display("nothing received for {idle_ms} ms; the link is replaced"))]
    IdleTimeout {
        /// The time without received bytes, in milliseconds.
        idle_ms: u64,
    },
    /// The peer closed the link.
    #[snafu(display("the peer closed the link; it is reopened while the host is needed"))]
    Closed,
    /// The send queue is full because the peer reads too slowly.
    #[snafu(display(
        "the send queue is full because the peer reads too slowly; send less or retry later"
    ))]
    QueueFull,
}

impl Error {
    /// Returns the value of the metric label `kind`.
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
