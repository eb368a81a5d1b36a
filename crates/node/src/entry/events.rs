//! Whole events of a stream.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;
use smol_str::SmolStr;

/// The longest event that is held until it is whole.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Takes a stream of events apart, so that only whole ones are passed on.
#[derive(Debug, Default)]
pub(crate) struct Events {
    pending: BytesMut,
    /// The id of the last whole event.
    pub(crate) last_id: Option<SmolStr>,
}

impl Events {
    /// Adds bytes; answers the whole events that are there now, in one piece.
    /// None if an event is too long to be held.
    pub(crate) fn add(&mut self, data: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(data);
        let whole = memmem::rfind(&self.pending, b"\n\n").map_or(0, |at| at + 2);
        if self.pending.len() - whole > EVENT_MAX_BYTES {
            return None;
        }
        let events = self.pending.split_to(whole).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Forgets the part of an event that was cut off.
    pub(crate) fn cut(&mut self) {
        self.pending.clear();
    }

    /// Whether the stream stands between two events.
    pub(crate) fn is_whole(&self) -> bool {
        self.pending.is_empty()
    }
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().into())
}
