//! Small connectionless messages, authenticated with the fleet key.
//!
//! Each datagram is one message followed by its tag, the keyed BLAKE3 hash of
//! the message truncated to 128 bits. A datagram may be lost, duplicated,
//! reordered or delayed; the receiver must tolerate that.

use std::io;
use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::net::UdpSocket;

use crate::FleetKey;
use crate::codec;
use crate::mac::TAG_BYTES;

/// The size of the receive buffer; a longer datagram is truncated and then
/// rejected for its tag.
const DATAGRAM_MAX_BYTES: usize = 1_200;

/// A bound UDP socket.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// The I/O error if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Socket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Socket { socket })
    }

    /// Sends a message without waiting; delivery is not guaranteed.
    ///
    /// # Errors
    ///
    /// The I/O error if the message was not sent, [`io::ErrorKind::WouldBlock`]
    /// if the send buffer is full.
    pub fn send<T: Serialize>(
        &self,
        key: &FleetKey,
        message: &T,
        to: SocketAddr,
    ) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(128);
        codec::encode(message, &mut bytes);
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        self.socket.try_send_to(&bytes, to).map(|_| ())
    }

    /// Waits for the next message with a valid tag; other datagrams are
    /// dropped.
    ///
    /// # Errors
    ///
    /// The I/O error if the socket cannot be read.
    pub async fn receive<T: DeserializeOwned>(
        &self,
        key: &FleetKey,
    ) -> io::Result<(T, SocketAddr)> {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            let (length, from) = self.socket.recv_from(&mut buffer).await?;
            if let Some(message) = verify(key, &buffer[..length]) {
                return Ok((message, from));
            }
            log::debug!("E6201 dropped a datagram from {from}: invalid tag or message");
        }
    }
}

/// Returns the message of a datagram whose tag is valid.
fn verify<T: DeserializeOwned>(key: &FleetKey, datagram: &[u8]) -> Option<T> {
    let length = datagram.len().checked_sub(TAG_BYTES)?;
    let (message, tag) = datagram.split_at(length);
    match bool::from(key.tag(message).ct_eq(tag)) {
        true => ciborium::from_reader(message).ok(),
        false => None,
    }
}
