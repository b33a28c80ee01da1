//! Splits event streams into complete events, and checks that they are events in order.
//!
//! What an engine writes into its answer may be something else, such as an error's head
//! and text, or events of another run of the request. The stream ends before that.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Largest event, in bytes; those of engines have a few kilobytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Length of the longer of the two ends of an event, less one.
const END_OVERLAP: usize = 3;
/// Fields of which at least one is in each event.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// Fault of an event stream
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum EventFault {
    /// event is too large
    Oversized,
    /// answer holds something else than an event
    Malformed,
    /// event doesn't follow the one before
    OutOfOrder,
}

impl std::error::Error for EventFault {}

/// How far a stream has come
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum StreamPosition {
    /// Before the first event
    #[default]
    Start,
    /// After the event with this id
    After(SmolStr),
    /// After an event without a number as its id
    Unknown,
}

impl StreamPosition {
    /// Id of the last event, for the log
    pub fn name(&self) -> &str {
        match self {
            StreamPosition::Start => "none",
            StreamPosition::After(id) => id,
            StreamPosition::Unknown => "unknown",
        }
    }
}

/// Buffers a stream up to the end of its last complete event; by default, their order isn't checked
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    position: StreamPosition,
    is_ordered: bool,
    last_number: Option<u64>,
    /// Whether the next event must show that it follows the position
    goes_on: bool,
    has_events: bool,
    fault: Option<EventFault>,
}

impl EventSplitter {
    /// Splitter of a stream that goes on from a position, and may be resumed
    pub fn new(position: StreamPosition) -> EventSplitter {
        let last_number = match &position {
            StreamPosition::After(id) => id.parse().ok(),
            StreamPosition::Start | StreamPosition::Unknown => None,
        };
        let goes_on = last_number.is_some();
        EventSplitter {
            position,
            is_ordered: true,
            last_number,
            goes_on,
            ..EventSplitter::default()
        }
    }

    /// Appends bytes and returns the events that are complete now; `None` if there are none
    ///
    /// # Errors
    /// `EventFault`, once the events before it are returned.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventFault> {
        // An end may lie across two parts of the body; what came before was searched already.
        let mut searched = self.partial.len().saturating_sub(END_OVERLAP);
        self.partial.extend_from_slice(bytes);
        let mut checked = 0;
        while let Some(length) = event_length(&self.partial[searched..]) {
            let end = searched + length;
            let fields = EventFields::read(&self.partial[checked..end]);
            if let Err(fault) = fields.and_then(|it| self.advance(it)) {
                self.fault = Some(fault);
                break;
            }
            (checked, searched) = (end, end);
        }
        if self.partial.len() - checked > MAX_EVENT_BYTES {
            self.fault.get_or_insert(EventFault::Oversized);
        }
        match self.fault {
            Some(fault) if checked == 0 => Err(fault),
            _ if checked == 0 => Ok(None),
            _ => Ok(Some(self.partial.split_to(checked).freeze())),
        }
    }

    fn advance(&mut self, fields: EventFields) -> Result<(), EventFault> {
        if !fields.is_event {
            return Ok(());
        }
        let number = fields.id.as_ref().and_then(|it| it.parse().ok());
        let follows = match (number, self.last_number) {
            (Some(number), Some(last)) => number > last,
            (Some(_), None) => true,
            (None, _) => !self.goes_on,
        };
        if self.is_ordered && !follows {
            return Err(EventFault::OutOfOrder);
        }
        self.position = match (fields.id, number) {
            (Some(id), Some(_)) => StreamPosition::After(id),
            _ => StreamPosition::Unknown,
        };
        self.last_number = number.or(self.last_number);
        self.goes_on = false;
        self.has_events = true;
        Ok(())
    }

    /// Fault after the events that were returned
    pub fn fault(&self) -> Option<EventFault> {
        self.fault
    }

    /// Whether the buffer holds an incomplete event
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether any event was complete, not only comments
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Position after the last complete event
    pub fn position(&self) -> &StreamPosition {
        &self.position
    }
}

/// Length up to the end of the first complete event
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut ends = bytes.iter().enumerate().filter(|it| *it.1 == b'\n').map(|it| it.0 + 1);
    ends.find(|end| bytes[..*end].ends_with(b"\n\n") || bytes[..*end].ends_with(b"\r\n\r\n"))
}

/// Fields of a complete event
struct EventFields {
    id: Option<SmolStr>,
    /// Whether it is an event, not only comments
    is_event: bool,
}

impl EventFields {
    fn read(event: &[u8]) -> Result<EventFields, EventFault> {
        let mut fields = EventFields { id: None, is_event: false };
        let (mut has_fields, mut has_known) = (false, false);
        let lines = event.split(|it| *it == b'\n').map(|it| it.strip_suffix(b"\r").unwrap_or(it));
        for line in lines.filter(|it| !it.is_empty() && !it.starts_with(b":")) {
            let colon = line.iter().position(|it| *it == b':');
            let (name, value) = line.split_at(colon.unwrap_or(line.len()));
            let is_name = name.iter().all(|it| it.is_ascii_alphanumeric() || b"-_".contains(it));
            let is_known = KNOWN_FIELDS.contains(&name);
            if !is_name || (colon.is_none() && !is_known) {
                return Err(EventFault::Malformed);
            }
            has_fields = true;
            has_known |= is_known;
            fields.is_event |= matches!(name, b"data" | b"id");
            if name == b"id" {
                let id = std::str::from_utf8(value).unwrap_or_default();
                fields.id = Some(SmolStr::new(id.trim_start_matches(':').trim()));
            }
        }
        if has_fields && !has_known { Err(EventFault::Malformed) } else { Ok(fields) }
    }
}
