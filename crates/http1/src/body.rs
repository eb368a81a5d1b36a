//! Where a body ends.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

use crate::ParseError;

/// The longest line of a chunked body: a size with its extensions, or a
/// trailer field.
const LINE_MAX_BYTES: usize = 4096;
/// The most digits of a chunk's size.
const SIZE_DIGITS_MAX: usize = 8;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// Until the connection ends (responses only).
    UntilClose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Done,
    Fixed(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
}

/// What the next bytes are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete; what follows belongs to another message.
    End,
    /// More bytes are needed.
    Incomplete,
}

/// Takes a body apart as its bytes arrive.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Fixed(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder { state }
    }

    /// Takes what can be taken off the front of `buffer`.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if a chunk breaks the grammar.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, ParseError> {
        loop {
            match self.state {
                State::Done => return Ok(Step::End),
                State::Fixed(_) | State::Chunk(_) | State::UntilClose if buffer.is_empty() => {
                    return Ok(Step::Incomplete);
                }
                State::UntilClose => return Ok(Step::Data(buffer.split().freeze())),
                State::Fixed(left) => {
                    let (data, left) = take(buffer, left);
                    self.state = match left {
                        0 => State::Done,
                        left => State::Fixed(left),
                    };
                    return Ok(Step::Data(data));
                }
                State::Chunk(left) => {
                    let (data, left) = take(buffer, left);
                    self.state = match left {
                        0 => State::ChunkEnd,
                        left => State::Chunk(left),
                    };
                    return Ok(Step::Data(data));
                }
                State::ChunkEnd => match buffer.get(..2) {
                    Some(b"\r\n") => {
                        buffer.advance(2);
                        self.state = State::ChunkSize;
                    }
                    None if buffer.is_empty() || buffer[0] == b'\r' => return Ok(Step::Incomplete),
                    _ => return Err(ParseError::Malformed),
                },
                State::ChunkSize => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Step::Incomplete);
                    };
                    self.state = match size(&line)? {
                        0 => State::Trailers,
                        size => State::Chunk(size),
                    };
                }
                State::Trailers => match line(buffer)? {
                    None => return Ok(Step::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) => {}
                },
            }
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body is complete if the connection ends in order here.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }
}

fn take(buffer: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let count = (buffer.len() as u64).min(left);
    let data = buffer.split_to(count as usize).freeze();
    (data, left - count)
}

fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
    match memmem::find(buffer, b"\r\n") {
        Some(at) if at > LINE_MAX_BYTES => Err(ParseError::Malformed),
        Some(at) => {
            let line = buffer.split_to(at).freeze();
            buffer.advance(2);
            match line.contains(&b'\n') || line.contains(&b'\r') {
                true => Err(ParseError::Malformed),
                false => Ok(Some(line)),
            }
        }
        None if buffer.len() > LINE_MAX_BYTES => Err(ParseError::Malformed),
        None => Ok(None),
    }
}

/// The size at the start of a chunk's first line. Extensions are passed over.
fn size(line: &[u8]) -> Result<u64, ParseError> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = &line[..end.unwrap_or(line.len())];
    let valid =
        (1..=SIZE_DIGITS_MAX).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    match std::str::from_utf8(digits) {
        Ok(text) if valid => u64::from_str_radix(text, 16).map_err(|_| ParseError::Malformed),
        _ => Err(ParseError::Malformed),
    }
}
