//! Parser of the server-sent events of an engine's stream.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use snipewinch::call::Data;

use crate::Error;
use crate::error::EventTooLongSnafu;

/// The maximum size of an event, in bytes.
pub const EVENT_MAX_BYTES: usize = 256 << 10;

/// The ends of an event, with each kind of line break.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
/// The length of the longest of [`EVENT_ENDS`].
const EVENT_END_MAX_BYTES: usize = 3;
/// The payload of the event that closes a stream.
const DONE: &[u8] = b"[DONE]";

/// Splits a stream into complete events and counts their tokens.
///
/// The closing event is not returned: the entry writes it itself once it has
/// verified that the answer is complete.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    done: bool,
}

impl Parser {
    /// Creates a parser at the start of a stream.
    pub fn open() -> Parser {
        Parser::default()
    }

    /// Whether the closing event was received.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Appends bytes of the stream and returns the events that are now
    /// complete as one part; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`Error::EventTooLong`] if the bytes of an incomplete event exceed
    /// [`EVENT_MAX_BYTES`].
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Data>, Error> {
        if self.done {
            return Ok(None);
        }
        self.buffer.extend_from_slice(bytes);
        let mut complete_bytes = 0;
        let mut tokens = 0;
        while !self.done
            && let Some(length) = event_length(&self.buffer[complete_bytes..])
        {
            let event = &self.buffer[complete_bytes..complete_bytes + length];
            match payload(event) {
                Some(payload) if payload == DONE => self.done = true,
                Some(payload) => {
                    tokens += count_tokens(payload);
                    complete_bytes += length;
                }
                None => complete_bytes += length,
            }
        }
        if !self.done && self.buffer.len() - complete_bytes > EVENT_MAX_BYTES {
            return EventTooLongSnafu {
                max_bytes: EVENT_MAX_BYTES,
            }
            .fail();
        }
        if complete_bytes == 0 {
            return Ok(None);
        }
        Ok(Some(Data {
            tokens,
            bytes: self.buffer.split_to(complete_bytes).freeze(),
        }))
    }
}

/// Tells whether a stream that is not parsed has ended inside an event.
#[derive(Debug, Default)]
pub(crate) struct Boundary {
    /// The last bytes, enough to recognize the empty line after an event.
    tail: Vec<u8>,
}

impl Boundary {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let kept = &bytes[bytes.len().saturating_sub(EVENT_END_MAX_BYTES)..];
        self.tail.extend_from_slice(kept);
        let surplus = self.tail.len().saturating_sub(EVENT_END_MAX_BYTES);
        self.tail.drain(..surplus);
    }

    /// Whether bytes have come since the last empty line.
    pub(crate) fn is_inside_event(&self) -> bool {
        let is_end = |end: &&[u8]| self.tail.ends_with(end);
        !self.tail.is_empty() && !EVENT_ENDS.iter().any(is_end)
    }
}

/// The length in bytes of the first event, including the empty line that ends
/// it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        match &bytes[line_start..position] {
            [] | [b'\r'] => return Some(position + 1),
            _ => line_start = position + 1,
        }
    }
    None
}

/// The value of the first `data` field of an event; engines write one for each
/// event.
fn payload(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}

/// The fields of an event's JSON payload that carry text.
#[derive(Deserialize)]
struct CompletionChunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    text: Option<std::borrow::Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<std::borrow::Cow<'a, str>>,
}

/// Counts one token for each choice that has text, since engines send one event
/// per token.
fn count_tokens(payload: &[u8]) -> u32 {
    let Ok(chunk) = serde_json::from_slice::<CompletionChunk>(payload) else {
        return 0;
    };
    let has_text = |choice: &Choice| {
        let delta = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        !delta.or(choice.text.as_deref()).unwrap_or("").is_empty()
    };
    chunk
        .choices
        .iter()
        .filter(|choice| has_text(choice))
        .count() as u32
}
