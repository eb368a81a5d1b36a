//! A tag on each message, so that what a link changed, repeated or left out is
//! noticed before it is believed.
//!
//! Both ends derive a key for each direction from the fleet key and the nonces
//! of the handshake. The tag is the keyed BLAKE3 hash of the message and its
//! place in the stream, cut to 128 bits.

use bytes::Bytes;
use subtle::ConstantTimeEq;

use crate::error::Error;

/// The length of a tag in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// The messages of one direction of one link.
#[derive(Clone)]
pub(crate) struct Stream {
    key: [u8; blake3::KEY_LEN],
    count: u64,
}

impl Stream {
    pub(crate) fn open(key: [u8; blake3::KEY_LEN]) -> Stream {
        Stream { key, count: 0 }
    }

    /// Adds the tag of the next message to its end.
    pub(crate) fn seal(&mut self, message: &mut Vec<u8>) {
        let tag = self.next_tag(message);
        message.extend_from_slice(&tag);
    }

    /// Checks the next message and takes its tag off.
    pub(crate) fn unseal(&mut self, sealed: &Bytes) -> Result<Bytes, Error> {
        let Some(length) = sealed.len().checked_sub(TAG_BYTES) else {
            return Err(Error::InvalidTag);
        };
        let message = sealed.slice(..length);
        let expected = self.next_tag(&message);
        match bool::from(expected.ct_eq(&sealed[length..])) {
            true => Ok(message),
            false => Err(Error::InvalidTag),
        }
    }

    fn next_tag(&mut self, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(message);
        self.count += 1;
        let mut tag = [0; TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

#[cfg(test)]
mod tests;
