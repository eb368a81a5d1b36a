//! Server-sent events of an engine's stream.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use snipewinch::call::Data;

use crate::Error;
use crate::error::EventTooLongSnafu;

/// The longest event, in bytes.
pub const EVENT_MAX_BYTES: usize = 256 << 10;

/// What closes a stream.
const DONE: &[u8] = b"[DONE]";

/// Splits a stream into whole events and counts their tokens.
///
/// Only whole events come out, and the closing one never does: the entry
/// writes it itself once it has checked that the answer is whole.
#[derive(Debug, Default)]
pub struct Parser {
    rest: BytesMut,
    done: bool,
}

impl Parser {
    /// A parser at the start of a stream.
    pub fn open() -> Parser {
        Parser::default()
    }

    /// Whether the closing event has come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Takes bytes in and gives the whole events among them as one piece.
    ///
    /// # Errors
    ///
    /// [`Error::EventTooLong`].
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Data>, Error> {
        self.rest.extend_from_slice(bytes);
        let mut whole = 0;
        let mut tokens = 0;
        while !self.done
            && let Some(length) = event_length(&self.rest[whole..])
        {
            let event = &self.rest[whole..whole + length];
            match payload(event) {
                Some(payload) if payload == DONE => self.done = true,
                Some(payload) => {
                    tokens += count_tokens(payload);
                    whole += length;
                }
                None => whole += length,
            }
        }
        if self.rest.len() - whole > EVENT_MAX_BYTES {
            return EventTooLongSnafu {
                max: EVENT_MAX_BYTES,
            }
            .fail();
        }
        if whole == 0 {
            return Ok(None);
        }
        Ok(Some(Data {
            tokens,
            bytes: self.rest.split_to(whole).freeze(),
        }))
    }
}

/// The length of the first event with the empty line that ends it.
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

/// What follows `data:`, for an event of one data line.
fn payload(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}

#[derive(Deserialize)]
struct Chunk<'a> {
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

/// One for each choice that has text: engines send an event a token.
fn count_tokens(payload: &[u8]) -> u32 {
    let Ok(chunk) = serde_json::from_slice::<Chunk>(payload) else {
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
