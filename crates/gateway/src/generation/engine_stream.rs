//! Event stream of one engine's answer, or of another instance that relays it.

use crate::attempt::{OpenAnswer, SendError};
use crate::events::{EventSplitter, StreamPosition};
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use bytes::Bytes;
use catalogue::id::InstanceId;
use decide::serving::route::RetryRule;
use http::StatusCode;
use http::header::{
    CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING,
};
use http_body_util::BodyExt;
use smol_str::SmolStr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Event stream of an engine's answer
pub(super) struct EngineStream {
    pub(super) answer: OpenAnswer,
    /// Time that the engine worked on the request before its first event, without any wait
    own_time: Duration,
    pub(super) first_event_at: Instant,
    pub(super) splitter: EventSplitter,
    /// Wait for an event after which the stream is given up; `None` if only the deadline ends it
    pub(super) event_limit: Option<Duration>,
    /// Whether bytes have come since its last event
    has_partial: bool,
    /// Instance that relays it; `None` if it comes from the engine
    pub(super) relay: Option<InstanceId>,
}

/// What the head of an answer states of its body
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BodyKind {
    status: StatusCode,
    /// Type without parameters, in lower case
    content_type: Option<SmolStr>,
    encoding: Option<HeaderValue>,
}

/// Next item of a stream
pub(super) enum StreamItem {
    Events(Bytes),
    End,
}

impl EngineStream {
    /// Stream of an answer to a request that resumes after an event, or that the client sent
    pub(super) fn new(
        answer: OpenAnswer,
        call: &ServingCall,
        resume_after: Option<SmolStr>,
        own_time: Duration,
    ) -> EngineStream {
        let first_event_at = Instant::now();
        let after = resume_after.or_else(|| call.last_event.clone());
        let splitter = match call.route.retry_rule {
            RetryRule::Resumable => {
                EventSplitter::new(after.map_or(StreamPosition::Start, StreamPosition::After))
            }
            // What the engine sends is the answer, in whatever order.
            RetryRule::Once | RetryRule::Retryable => EventSplitter::default(),
        };
        EngineStream {
            answer,
            own_time,
            first_event_at,
            splitter,
            event_limit: None,
            has_partial: false,
            relay: None,
        }
    }

    /// Kind of its body, in which the streams of one answer agree
    pub(super) fn body_kind(&self) -> BodyKind {
        let headers = &self.answer.headers;
        let content_type = headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
        let content_type = content_type.and_then(|it| it.split(';').next());
        BodyKind {
            status: self.answer.head.status,
            content_type: content_type.map(|it| it.trim().to_ascii_lowercase().into()),
            encoding: headers.get(CONTENT_ENCODING).cloned(),
        }
    }

    /// Whether its end is only that of the connection, as after a crash of the engine
    fn is_unframed(&self) -> bool {
        let headers = &self.answer.headers;
        self.answer.head.status != StatusCode::NO_CONTENT
            && !headers.contains_key(CONTENT_LENGTH)
            && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Time until which to wait for its next event
    pub(super) fn event_due(&self, deadline: Instant) -> Instant {
        let due = self.event_limit.and_then(|it| Instant::now().checked_add(it));
        due.map_or(deadline, |it| it.min(deadline))
    }

    /// Whether nothing has come since its last event
    pub(super) fn is_silent(&self) -> bool {
        !self.has_partial
    }

    /// Reads the next complete events, or the end
    ///
    /// Bytes that complete no event don't extend the wait `until` the event is due: an engine that sends one now
    /// and then has stalled.
    pub(super) async fn next(
        &mut self,
        deadline: Instant,
        until: Instant,
    ) -> Result<StreamItem, SendError> {
        if let Some(fault) = self.splitter.fault() {
            return Err(SendError::BadEvents(fault));
        }
        loop {
            // A stream whose client is slow may be polled only now, with more bytes at hand.
            if Instant::now() >= deadline {
                return Err(SendError::TimedOut);
            }
            let frame = timeout_at(until, self.answer.body.frame()).await;
            match frame.map_err(|_| SendError::TimedOut)? {
                None if self.splitter.is_inside_event() => return Err(SendError::Truncated),
                None if self.is_unframed() && !self.splitter.has_events() => {
                    return Err(SendError::Truncated);
                }
                None => return Ok(StreamItem::End),
                Some(Err(error)) => return Err(SendError::of_body(&error)),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    let events = self.splitter.push(data).map_err(SendError::BadEvents)?;
                    self.has_partial = events.is_none();
                    if let Some(events) = events {
                        self.answer.work_guard.record_prompt_read();
                        return Ok(StreamItem::Events(events));
                    }
                }
            }
        }
    }

    /// Time that it has held a slot of its engine
    pub(super) fn held(&self) -> Duration {
        self.own_time + self.first_event_at.elapsed()
    }

    pub(super) fn release_connection(self, gateway: &Gateway) {
        if !self.answer.head.closes_connection {
            gateway.connections.release(self.answer.connection, self.answer.head.idle_timeout);
        }
    }
}
