//! Generations: choice of an engine, and the relay of its events.
//!
//! The client gets the head of the answer with its first event, so that a send that
//! fails before can be repeated without a trace. A stream that breaks off later is
//! continued on another engine where the route allows it, else the client's connection
//! is broken too.

use crate::attempt::{OpenAnswer, SendError, read_whole, send};
use crate::body::AnswerBody;
use crate::error::RelayError;
use crate::events::EventSplitter;
use crate::forward::{Refusal, RequestRecord, ServingCall, relayed};
use crate::state::Gateway;
use async_stream::try_stream;
use bytes::Bytes;
use decide::serving::pick::pick_engine;
use decide::serving::roster::ListedEndpoint;
use decide::serving::route::RepeatRule;
use decide::serving::verdict::RunKnowledge;
use http::Response;
use http_body_util::BodyExt;
use platform_adapter::answer::client_headers;
use platform_adapter::head::EnginePart;
use smol_str::SmolStr;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Stream of an engine's answer
struct LiveStream {
    answer: OpenAnswer,
    splitter: EventSplitter,
}

/// Next part of a stream
enum StreamPart {
    Events(Bytes),
    End,
}

impl LiveStream {
    fn new(answer: OpenAnswer) -> LiveStream {
        LiveStream { answer, splitter: EventSplitter::default() }
    }

    /// Next whole events, or the end
    async fn next(&mut self, deadline: Instant) -> Result<StreamPart, SendError> {
        loop {
            let frame = timeout_at(deadline, self.answer.body.frame())
                .await
                .map_err(|_| SendError::TimedOut)?;
            match frame {
                None if self.splitter.is_inside_event() => return Err(SendError::BrokenOff),
                None => return Ok(StreamPart::End),
                Some(Err(_)) => return Err(SendError::BrokenOff),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    if let Some(events) = self.splitter.push(data) {
                        self.answer.ticket.read();
                        return Ok(StreamPart::Events(events));
                    }
                }
            }
        }
    }

    fn keep_connection(self, gateway: &Gateway) {
        if !self.answer.head.closes {
            gateway.connections.give_back(self.answer.connection, self.answer.head.keeps_for);
        }
    }
}

/// Serves a generation
pub async fn serve(
    gateway: &Rc<Gateway>,
    mut call: ServingCall,
    mut record: RequestRecord,
) -> Result<Response<AnswerBody>, (Refusal, RequestRecord)> {
    let mut reason = "no_endpoint";
    while call.may_send() {
        let Some((endpoint, unread)) = pick(gateway, &call) else { break };
        if !call.take_send(gateway) {
            reason = "no_budget";
            break;
        }
        match start(gateway, &call, &endpoint, unread, None).await {
            Ok(Started::Failed(response)) => {
                gateway.meters.sent(&call.pool, "server_error");
                record.endpoint = endpoint.id.clone();
                record.finish("answered", response.status().as_str());
                return Ok(response);
            }
            Ok(Started::Streaming(stream, first)) => {
                gateway.meters.sent(&call.pool, "answered");
                record.endpoint = endpoint.id.clone();
                record.first_byte();
                call.history.note(RunKnowledge::MayHaveRun);
                call.excluded.push(endpoint.id.clone());
                return Ok(respond(gateway.clone(), call, record, stream, first));
            }
            Err(error) => {
                reason = "send_failed";
                call.note_failure(gateway, &endpoint.id, &error);
            }
        }
    }
    Err((call.give_up(reason), record))
}

enum Started {
    Streaming(LiveStream, StreamPart),
    Failed(Response<AnswerBody>),
}

fn pick(gateway: &Gateway, call: &ServingCall) -> Option<(ListedEndpoint, u64)> {
    let endpoints = gateway.ready_endpoints(&call.pool);
    let prompt = call.prompt.clone().unwrap_or_default();
    let load = gateway.load.borrow();
    let pick = pick_engine(endpoints.iter(), &load, &prompt, &call.excluded)?;
    log::info!(
        "event=engine_picked id={} endpoint={} affinity={} expected_ms={:.0} requests={} unread={} instances={}",
        call.request.id,
        pick.endpoint,
        pick.affinity,
        pick.first_token_ms,
        pick.work.requests,
        pick.unread_tokens,
        load.instances(),
    );
    let endpoint = endpoints.into_iter().find(|it| it.id == pick.endpoint)?;
    Some((endpoint, pick.unread_tokens))
}

/// Sends to an engine and waits for the first event
async fn start(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    endpoint: &ListedEndpoint,
    unread_tokens: u64,
    resume_after: Option<SmolStr>,
) -> Result<Started, SendError> {
    let once = call.route.repeat == RepeatRule::Once;
    let mut terms = call.terms(&endpoint.id, EnginePart::Whole);
    terms.resume_after = resume_after;
    let sent = send(gateway, endpoint, &call.request, &terms, unread_tokens, once, call.deadline);
    let answer = sent.await?;
    if !answer.head.status.is_success() {
        let answer = read_whole(gateway, answer, call.deadline).await?;
        return Ok(Started::Failed(relayed(answer)));
    }
    let mut stream = LiveStream::new(answer);
    let first = stream.next(call.deadline).await?;
    Ok(Started::Streaming(stream, first))
}

fn respond(
    gateway: Rc<Gateway>,
    call: ServingCall,
    record: RequestRecord,
    stream: LiveStream,
    first: StreamPart,
) -> Response<AnswerBody> {
    let status = stream.answer.head.status;
    let headers = client_headers(&stream.answer.headers);
    let events = Box::pin(relay(gateway, call, record, stream, first));
    let mut response = Response::new(AnswerBody::events(events));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn relay(
    gateway: Rc<Gateway>,
    mut call: ServingCall,
    mut record: RequestRecord,
    mut stream: LiveStream,
    mut part: StreamPart,
) -> impl futures_util::Stream<Item = Result<Bytes, RelayError>> {
    try_stream! {
        loop {
            match part {
                StreamPart::Events(events) => yield events,
                StreamPart::End => {
                    stream.keep_connection(&gateway);
                    record.finish("answered", "200");
                    break;
                }
            }
            part = match stream.next(call.deadline).await {
                Ok(next) => next,
                Err(error) => {
                    let last = stream.splitter.last_id().cloned().or(call.last_event.clone());
                    // Closes the connection, so that the engine stops before another continues.
                    drop(stream);
                    match resume(&gateway, &mut call, &error, last).await {
                        Some((resumed, next)) => {
                            stream = resumed;
                            next
                        }
                        None => {
                            record.finish("cut", error_name(&error));
                            Err(relay_error(&error))?;
                            break;
                        }
                    }
                }
            };
        }
    }
}

/// Continues a broken stream on another engine; `None` if it can't be
async fn resume(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    error: &SendError,
    last: Option<SmolStr>,
) -> Option<(LiveStream, StreamPart)> {
    log::info!(
        "event=stream_broken id={} after={last:?} sends={} error=\"{error}\"",
        call.request.id,
        call.history.sends,
    );
    while call.may_send() {
        let (endpoint, unread) = pick(gateway, call)?;
        if !call.take_send(gateway) {
            return None;
        }
        match start(gateway, call, &endpoint, unread, last.clone()).await {
            Ok(Started::Streaming(stream, part)) => {
                call.history.note(RunKnowledge::MayHaveRun);
                call.excluded.push(endpoint.id);
                return Some((stream, part));
            }
            Ok(Started::Failed(_)) => return None,
            Err(error) => call.note_failure(gateway, &endpoint.id, &error),
        }
    }
    None
}

fn error_name(error: &SendError) -> &'static str {
    match error {
        SendError::TimedOut => "timed_out",
        _ => "broken_off",
    }
}

fn relay_error(error: &SendError) -> RelayError {
    match error {
        SendError::TimedOut => RelayError::TimedOut,
        _ => RelayError::BrokenOff,
    }
}
