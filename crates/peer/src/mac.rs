//! Message authentication codes.
//!
//! Each message carries a tag, so that a message that was changed, repeated,
//! reordered or dropped on the way is detected before its content is used. Both
//! ends derive a key for each direction from the fleet key and the nonces of
//! the handshake. The tag is the keyed BLAKE3 hash of the sequence number and
//! the message, truncated to 128 bits.

use bytes::Bytes;
use subtle::ConstantTimeEq;

use crate::error::Error;

/// The length of a tag in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Signs or verifies the messages of one direction of one link, in order.
#[derive(Clone)]
pub(crate) struct Authenticator {
    key: [u8; blake3::KEY_LEN],
    sequence: u64,
}

impl Authenticator {
    pub(crate) fn new(key: [u8; blake3::KEY_LEN]) -> Authenticator {
        Authenticator { key, sequence: 0 }
    }

    /// Appends the tag to the next message.
    pub(crate) fn sign(&mut self, message: &mut Vec<u8>) {
        let tag = self.next_tag(message);
        message.extend_from_slice(&tag);
    }

    /// Verifies the next message and returns it without its tag.
    pub(crate) fn verify(&mut self, tagged: &Bytes) -> Result<Bytes, Error> {
        let Some(length) = tagged.len().checked_sub(TAG_BYTES) else {
            return Err(Error::InvalidTag);
        };
        let message = tagged.slice(..length);
        let expected = self.next_tag(&message);
        match bool::from(expected.ct_eq(&tagged[length..])) {
            true => Ok(message),
            false => Err(Error::InvalidTag),
        }
    }

    fn next_tag(&mut self, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.sequence.to_le_bytes());
        hasher.update(message);
        self.sequence += 1;
        let mut tag = [0; TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

#[cfg(test)]
mod tests;
