//! Small messages that need no connection, under the fleet key.
//!
//! Each datagram is one message with a tag at its end, the keyed BLAKE3 hash of
//! the message cut to 128 bits. A datagram may be lost, repeated or late; its
//! reader must bear that.

use std::io;
use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::net::UdpSocket;

use crate::FleetKey;
use crate::codec;
use crate::mac::TAG_BYTES;

/// The longest datagram that is taken.
const DATAGRAM_MAX_BYTES: usize = 1_200;

/// A bound socket.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// What the system says if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Socket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Socket { socket })
    }

    /// Sends a message; it may be lost on the way.
    ///
    /// # Errors
    ///
    /// What the system says if it was not sent.
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

    /// Waits for the next message under the key; others are passed over.
    ///
    /// # Errors
    ///
    /// What the system says if the socket can't be read.
    pub async fn receive<T: DeserializeOwned>(
        &self,
        key: &FleetKey,
    ) -> io::Result<(T, SocketAddr)> {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            let (length, from) = self.socket.recv_from(&mut buffer).await?;
            if let Some(message) = open(key, &buffer[..length]) {
                return Ok((message, from));
            }
            log::debug!("E6201 a datagram from {from} is not under the fleet's key");
        }
    }
}

fn open<T: DeserializeOwned>(key: &FleetKey, sealed: &[u8]) -> Option<T> {
    let length = sealed.len().checked_sub(TAG_BYTES)?;
    let (message, tag) = sealed.split_at(length);
    match bool::from(key.tag(message).ct_eq(tag)) {
        true => ciborium::from_reader(message).ok(),
        false => None,
    }
}
