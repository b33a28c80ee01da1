//! Splits event streams into complete events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Buffers a stream up to the end of its last complete event
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now; `None` if there are none
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial)?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Whether the buffer holds an incomplete event
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Id of the last complete event
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|it| it == b"\n\n").map(|it| it + 2);
    let crlf = bytes.windows(4).rposition(|it| it == b"\r\n\r\n").map(|it| it + 4);
    lf.max(crlf)
}

fn last_event_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.rsplit(|it| *it == b'\n');
    let id = lines.filter_map(|it| it.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(|it| SmolStr::new(it.trim()))
}
