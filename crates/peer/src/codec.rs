//! Encoding of frames. Each message is a CBOR sequence (RFC 8742) of frames.

use bytes::Bytes;
use snipewinch::wire::Frame;

use crate::error::Error;

/// The longest message that is accepted from a peer.
pub const MESSAGE_MAX_BYTES: usize = 4 << 20;
/// The most frames in one message.
pub const MESSAGE_MAX_FRAMES: usize = 4096;

/// Appends one frame to a message.
pub(crate) fn encode<T: serde::Serialize>(frame: &T, message: &mut Vec<u8>) {
    // Writing to a `Vec` fails only if a `Serialize` implementation fails, and
    // those of the frames are derived.
    ciborium::into_writer(frame, message).expect("frames are serializable");
}

/// Decodes all frames of a message.
///
/// # Errors
///
/// [`Error::Decode`] if any part of the message is not a valid frame, or if it
/// holds more than [`MESSAGE_MAX_FRAMES`]; no frame is returned then.
pub fn decode(message: &Bytes) -> Result<Vec<Frame>, Error> {
    let mut rest: &[u8] = message;
    let mut frames = Vec::new();
    while !rest.is_empty() {
        if frames.len() == MESSAGE_MAX_FRAMES {
            return Err(Error::Decode {
                detail: "too many frames in one message".into(),
            });
        }
        frames.push(decode_value(&mut rest)?);
    }
    Ok(frames)
}

/// Decodes one value and removes it from the front of `rest`.
pub(crate) fn decode_value<T: serde::de::DeserializeOwned>(rest: &mut &[u8]) -> Result<T, Error> {
    ciborium::from_reader(rest).map_err(|error| Error::Decode {
        detail: error.to_string().into(),
    })
}
