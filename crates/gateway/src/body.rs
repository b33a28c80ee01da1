//! Response bodies sent to clients.

use crate::error::RelayError;
use crate::stream_buffer::{BufferedEvents, StreamBuffer};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::any::Any;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Size of the parts in which a whole answer is passed on. The HTTP library takes about one ahead, so
/// that the guard of the body is held until most of it is sent.
const PART_BYTES: usize = 16 * 1024;

enum BodyContent {
    Whole(Bytes),
    Events(BufferedEvents),
}

/// Response body; its guard is dropped with it
pub struct AnswerBody {
    content: BodyContent,
    _guard: Option<Box<dyn Any>>,
}

impl AnswerBody {
    /// Body that is fully buffered
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody { content: BodyContent::Whole(bytes), _guard: None }
    }

    /// Body that is streamed event by event
    pub fn events(buffer: StreamBuffer) -> AnswerBody {
        let events = BufferedEvents { buffer: Rc::new(buffer) };
        AnswerBody { content: BodyContent::Events(events), _guard: None }
    }

    /// Buffer of its events; `None` if it is fully buffered
    pub fn buffer(&self) -> Option<&Rc<StreamBuffer>> {
        match &self.content {
            BodyContent::Whole(_) => None,
            BodyContent::Events(events) => Some(&events.buffer),
        }
    }

    /// Attaches a guard, beside those that it has, that is dropped when the body is sent or discarded
    pub fn guarded(self, guard: impl Any) -> AnswerBody {
        let AnswerBody { content, _guard } = self;
        AnswerBody { content, _guard: Some(Box::new((guard, _guard))) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut self.content {
            BodyContent::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            BodyContent::Whole(bytes) => {
                let part = bytes.split_to(bytes.len().min(PART_BYTES));
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            BodyContent::Events(events) => {
                events.poll_next(context).map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, BodyContent::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            BodyContent::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodyContent::Events(_) => SizeHint::default(),
        }
    }
}
