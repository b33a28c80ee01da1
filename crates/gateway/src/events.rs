//! Splits event streams into complete events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Largest event, in bytes; those of engines have a few kilobytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Length of the longer of the two ends of an event, less one.
const END_OVERLAP: usize = 3;

/// Event without an end within `MAX_EVENT_BYTES`
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct OversizedEvent;

impl std::error::Error for OversizedEvent {}

/// Buffers a stream up to the end of its last complete event
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now; `None` if there are none
    ///
    /// # Errors
    /// `OversizedEvent` if the incomplete event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        // An end may lie across two parts of the body; what came before was searched already.
        let searched = self.partial.len().saturating_sub(END_OVERLAP);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(OversizedEvent)
            } else {
                Ok(None)
            };
        };
        let events = self.partial.split_to(searched + end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        Ok(Some(events))
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
