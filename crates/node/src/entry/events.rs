//! Splits a stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;
use smol_str::SmolStr;

use super::pool::Error;

/// The longest event that is buffered until it is complete.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Buffers a stream of events, so that only complete ones are relayed.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Adds bytes and returns the events that are complete now, concatenated.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<Bytes, Error> {
        // The end of an event may be split between two reads.
        let searched = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(data);
        let end = memmem::rfind(&self.pending[searched..], b"\n\n");
        let complete = end.map_or(0, |at| searched + at + 2);
        if complete == 0 && self.pending.len() > EVENT_MAX_BYTES {
            return Err(Error::TooLong {
                limit: EVENT_MAX_BYTES,
            });
        }
        Ok(self.pending.split_to(complete).freeze())
    }

    /// Whether the stream is between two events.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }
}

/// The id of the last of several complete events that has one.
pub(crate) fn last_id(events: &[u8]) -> Option<SmolStr> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().into())
}

/// The events after the one with an id; none if it is not among them.
pub(crate) fn after(events: &Bytes, id: &str) -> Bytes {
    let mut start = 0;
    while let Some(length) = memmem::find(&events[start..], b"\n\n") {
        let end = start + length + 2;
        if last_id(&events[start..end]).is_some_and(|found| found == id) {
            return events.slice(end..);
        }
        start = end;
    }
    Bytes::new()
}
