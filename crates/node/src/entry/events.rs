//! Splits a stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;
use smol_str::SmolStr;

/// The longest event that is buffered until it is complete.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Buffers a stream of events, so that only complete ones are relayed.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    /// The id of the last complete event that has one.
    pub(crate) last_id: Option<SmolStr>,
}

impl EventBuffer {
    /// Adds bytes and returns the events that are complete now, concatenated;
    /// none if the incomplete event is too long to be buffered.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(data);
        let complete = memmem::rfind(&self.pending, b"\n\n").map_or(0, |at| at + 2);
        if self.pending.len() - complete > EVENT_MAX_BYTES {
            return None;
        }
        let events = self.pending.split_to(complete).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Discards the incomplete event at the end of a stream that was cut off.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Whether the stream is between two events.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().into())
}
