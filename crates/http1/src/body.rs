//! Decoding of message bodies.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

use crate::ParseError;

/// The longest line of a chunked body without its CRLF: a chunk size with its
/// extensions, or a trailer field.
const LINE_MAX_BYTES: usize = 4096;
/// The longest trailer section without its CRLFs.
const TRAILERS_MAX_BYTES: usize = 32 << 10;
/// The most hexadecimal digits of a chunk size; 8 digits fit 32 bits.
const CHUNK_SIZE_DIGITS_MAX: usize = 8;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By a length in bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the close of the connection (responses only).
    UntilClose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Done,
    Fixed(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    /// The trailers, of which that many bytes have been read.
    Trailers(usize),
    UntilClose,
}

/// The result of a decoding step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Bytes of the body, without chunk framing.
    Data(Bytes),
    /// The body is complete; any further bytes belong to another message.
    End,
    /// More bytes are needed.
    Incomplete,
}

/// Decodes a body incrementally.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Returns a decoder at the start of a body.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Fixed(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder { state }
    }

    /// Decodes and removes the next part of the body at the front of `buffer`.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if a chunk violates the grammar, or if a line
    /// or the trailers are too long.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, ParseError> {
        loop {
            match self.state {
                State::Done => return Ok(Step::End),
                State::Fixed(_) | State::Chunk(_) | State::UntilClose if buffer.is_empty() => {
                    return Ok(Step::Incomplete);
                }
                State::UntilClose => return Ok(Step::Data(buffer.split().freeze())),
                State::Fixed(remaining) => {
                    let (data, remaining) = split_up_to(buffer, remaining);
                    self.state = match remaining {
                        0 => State::Done,
                        remaining => State::Fixed(remaining),
                    };
                    return Ok(Step::Data(data));
                }
                State::Chunk(remaining) => {
                    let (data, remaining) = split_up_to(buffer, remaining);
                    self.state = match remaining {
                        0 => State::ChunkEnd,
                        remaining => State::Chunk(remaining),
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
                    let Some(line) = read_line(buffer)? else {
                        return Ok(Step::Incomplete);
                    };
                    self.state = match parse_chunk_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Chunk(size),
                    };
                }
                State::Trailers(length) => match read_line(buffer)? {
                    None => return Ok(Step::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) if length + line.len() > TRAILERS_MAX_BYTES => {
                        return Err(ParseError::Malformed);
                    }
                    Some(line) => self.state = State::Trailers(length + line.len()),
                },
            }
        }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether the body is complete if the connection is closed
    /// cleanly at this point.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }
}

/// Removes up to `remaining` bytes from the front of `buffer`; returns them and
/// the number of bytes that are still missing.
fn split_up_to(buffer: &mut BytesMut, remaining: u64) -> (Bytes, u64) {
    let count = (buffer.len() as u64).min(remaining);
    let data = buffer.split_to(count as usize).freeze();
    (data, remaining - count)
}

/// Removes the next line without its CRLF, once it is complete.
fn read_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
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

/// Parses the size at the start of a chunk's first line and ignores extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = &line[..end.unwrap_or(line.len())];
    let valid = (1..=CHUNK_SIZE_DIGITS_MAX).contains(&digits.len())
        && digits.iter().all(u8::is_ascii_hexdigit);
    match std::str::from_utf8(digits) {
        Ok(text) if valid => u64::from_str_radix(text, 16).map_err(|_| ParseError::Malformed),
        _ => Err(ParseError::Malformed),
    }
}
