//! Frames to bytes and back: a CBOR sequence (RFC 8742) a message.

use bytes::Bytes;
use snipewinch::wire::Frame;

use crate::error::Error;

/// The longest message that a peer may send.
pub const MESSAGE_MAX_BYTES: usize = 4 << 20;
/// The most frames that one message may hold.
pub const MESSAGE_MAX_FRAMES: usize = 4096;

/// Appends one frame to a message.
pub(crate) fn encode<T: serde::Serialize>(frame: &T, message: &mut Vec<u8>) {
    // Writing into a vector fails only if a `Serialize` implementation does,
    // and those of the frames are derived.
    ciborium::into_writer(frame, message).expect("frames are serializable");
}

/// Takes all frames out of a message.
///
/// # Errors
///
/// [`Error::Decode`] if any part of it is not a frame; none is given then.
pub fn decode(message: &Bytes) -> Result<Vec<Frame>, Error> {
    let mut rest: &[u8] = message;
    let mut frames = Vec::new();
    while !rest.is_empty() {
        if frames.len() == MESSAGE_MAX_FRAMES {
            return Err(Error::Decode {
                detail: "too many frames in one message".into(),
            });
        }
        frames.push(decode_one(&mut rest)?);
    }
    Ok(frames)
}

/// Takes one value out of a message.
pub(crate) fn decode_one<T: serde::de::DeserializeOwned>(rest: &mut &[u8]) -> Result<T, Error> {
    ciborium::from_reader(rest).map_err(|error| Error::Decode {
        detail: error.to_string().into(),
    })
}
