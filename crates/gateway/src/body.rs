//! Response bodies sent to clients.

use crate::error::RelayError;
use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};
use std::any::Any;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Stream of relayed events
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayError>>>>;

enum BodyContent {
    Whole(Bytes),
    Events(EventStream),
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
    pub fn events(stream: EventStream) -> AnswerBody {
        AnswerBody { content: BodyContent::Events(stream), _guard: None }
    }

    /// Attaches a guard that is dropped when the body is sent or discarded
    pub fn guarded(self, guard: impl Any) -> AnswerBody {
        AnswerBody { _guard: Some(Box::new(guard)), ..self }
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
            BodyContent::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            BodyContent::Events(stream) => {
                stream.as_mut().poll_next(context).map(|it| it.map(|it| it.map(Frame::data)))
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
