//! Relays the events of a stream to the client.

use super::engine_stream::{EngineStream, StreamItem};
use super::resume::{next_item, record_lost_engine, resume};
use crate::attempt::{SendError, time_left};
use crate::body::AnswerBody;
use crate::error::RelayError;
use crate::request_record::RequestRecord;
use crate::serving_call::{ServingCall, failure_name};
use crate::state::Gateway;
use crate::stream_buffer::StreamBuffer;
use async_stream::try_stream;
use bytes::Bytes;
use http::Response;
use platform_adapter::answer::client_headers;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

pub(super) fn stream_response(
    gateway: Rc<Gateway>,
    call: ServingCall,
    record: RequestRecord,
    stream: EngineStream,
    first: StreamItem,
) -> Response<AnswerBody> {
    let status = stream.answer.head.status;
    let headers = client_headers(&stream.answer.headers);
    let (id, deadline) = (call.request.id.clone(), call.deadline);
    let events = Box::pin(relay(gateway.clone(), call, record, stream, first));
    let buffer = StreamBuffer::new(gateway, id, deadline, events);
    let mut response = Response::new(AnswerBody::events(buffer));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Relays the events of a stream, which is resumed on another engine if it fails
fn relay(
    gateway: Rc<Gateway>,
    mut call: ServingCall,
    mut record: RequestRecord,
    mut stream: EngineStream,
    mut item: StreamItem,
) -> impl futures_util::Stream<Item = Result<Bytes, RelayError>> {
    let kind = stream.body_kind();
    try_stream! {
        loop {
            match item {
                StreamItem::Events(events) => yield events,
                StreamItem::End => {
                    let has_hold = stream.relay.is_none();
                    if has_hold && call.prompt.as_ref().is_some_and(|it| !it.has_long_output()) {
                        gateway.record_hold(&call.pool, stream.held());
                    }
                    stream.release_connection(&gateway);
                    call.end_run();
                    call.record_completion(&gateway);
                    gateway.forget_stream(&call.request.id);
                    record.finish("answered", "200");
                    break;
                }
            }
            let paused_at = Instant::now();
            item = match next_item(&gateway, &mut call, &mut stream, &kind).await {
                Ok(next) => {
                    if let Some(instance) = &stream.relay {
                        record.relayed_to = instance.clone();
                    }
                    if matches!(next, StreamItem::Events(_)) {
                        gateway.record_pause(&call.pool, paused_at.elapsed());
                    }
                    next
                }
                Err(error) => {
                    log_break(&gateway, &call, &stream, &error, paused_at.elapsed());
                    let position = stream.splitter.position().clone();
                    // Closes the connection, so that this engine stops before another one resumes.
                    let is_relayed = stream.relay.is_some();
                    drop(stream);
                    call.end_run();
                    if !is_relayed {
                        record_lost_engine(&gateway, &mut call, &error);
                    }
                    match resume(&gateway, &mut call, position, &kind).await {
                        Some((resumed, next)) => {
                            if let Some(instance) = &resumed.relay {
                                record.relayed_to = instance.clone();
                            }
                            stream = resumed;
                            next
                        }
                        None => {
                            record.finish("cut", cut_detail(&error, call.deadline));
                            Err(relay_error(&error))?;
                            break;
                        }
                    }
                }
            };
        }
    }
}

/// Logs why a stream has failed, and whether its engine alone was silent for that long
fn log_break(
    gateway: &Gateway,
    call: &ServingCall,
    stream: &EngineStream,
    error: &SendError,
    silence: Duration,
) {
    log::info!(
        "event=stream_broken id={} after={} version={} sends={} parts={} silent_ms={} left_ms={} endpoints_cut={} error=\"{error}\"",
        call.request.id,
        stream.splitter.position().name(),
        call.origin.as_ref().map_or("none", |it| it.version.as_str()),
        call.history.sends,
        call.describe_parts(),
        silence.as_millis(),
        time_left(call.deadline).as_millis(),
        gateway.link.is_cut(),
    );
}

fn cut_detail(error: &SendError, deadline: Instant) -> &'static str {
    match error {
        SendError::TimedOut if Instant::now() >= deadline => "deadline",
        SendError::TimedOut => "silent",
        other => failure_name(other),
    }
}

fn relay_error(error: &SendError) -> RelayError {
    match error {
        SendError::TimedOut => RelayError::TimedOut,
        _ => RelayError::Truncated,
    }
}
