//! Resumes a stream that has failed after its first event.

use super::engine_stream::{BodyKind, EngineStream, StreamItem};
use super::generate::Started;
use super::plan::{check_versions, has_path, plan_path};
use super::send::{StartedAt, relay_stream, start_stream};
use crate::attempt::SendError;
use crate::events::StreamPosition;
use crate::serving_call::{SendWay, ServingCall};
use crate::state::Gateway;
use decide::serving::route::RetryRule;
use decide::serving::send_history::RunStatus;
use decide::serving::stream_origins::stream_key;
use platform_adapter::answer::promises_not_run;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::Instant;

/// Reads the next item of a stream
///
/// # Errors
/// Those of the stream. A silent engine is waited for unless another one can resume the stream.
pub(super) async fn next_item(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    stream: &mut EngineStream,
    kind: &BodyKind,
) -> Result<StreamItem, SendError> {
    let item = next_in_time(gateway, call, stream, kind).await;
    if !is_overdue(call, stream, &item) {
        return item;
    }
    let call = &*call;
    let mut resume_due = pin!(resume_due(gateway, call, stream.splitter.position().clone()));
    loop {
        let until = stream.event_due(call.deadline);
        let item = tokio::select! {
            biased;
            item = stream.next(call.deadline, until) => item,
            () = resume_due.as_mut() => return Err(SendError::TimedOut),
        };
        if !is_overdue(call, stream, &item) {
            return item;
        }
    }
}

/// Whether a stream's next item is late, before the deadline, since its engine is silent
fn is_overdue(
    call: &ServingCall,
    stream: &EngineStream,
    item: &Result<StreamItem, SendError>,
) -> bool {
    let is_late = matches!(item, Err(SendError::TimedOut)) && Instant::now() < call.deadline;
    is_late && stream.is_silent()
}

/// Waits until another engine can resume a begun stream; never ends if none may
async fn resume_due(gateway: &Gateway, call: &ServingCall, position: StreamPosition) {
    let may_resume = call.may_resume
        && call.route.retry_rule == RetryRule::Resumable
        && position != StreamPosition::Unknown
        && call.may_send(gateway);
    match call.excluded.last().filter(|_| may_resume) {
        Some(engine) => {
            let has_path = || has_path(gateway, call, engine);
            call.retry_due(gateway, Instant::now(), has_path).await;
        }
        None => std::future::pending().await,
    }
}

/// Reads the next item of a stream until it is due; while its engine is silent and this instance reaches no endpoint,
/// another instance is tried, and the stream goes on at whichever answers first
async fn next_in_time(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    stream: &mut EngineStream,
    kind: &BodyKind,
) -> Result<StreamItem, SendError> {
    let once = call.route.retry_rule == RetryRule::Once;
    let (deadline, until) = (call.deadline, stream.event_due(call.deadline));
    tokio::select! {
        biased;
        item = stream.next(deadline, until) => return item,
        () = call.relay_due(gateway, once), if stream.relay.is_none() => {}
    }
    let position = stream.splitter.position().clone();
    let taken_over = tokio::select! {
        biased;
        item = stream.next(deadline, until) => return item,
        taken_over = take_over(gateway, call, &position, kind) => taken_over,
    };
    match taken_over {
        Some((other, item)) => {
            // Closes the connection to the engine.
            *stream = other;
            call.end_run();
            record_lost_engine(gateway, call, &SendError::TimedOut);
            Ok(item)
        }
        None => {
            call.record_declined_relay();
            stream.next(deadline, until).await
        }
    }
}

/// Resumes a begun stream through another instance; `None` if that is not possible
async fn take_over(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    position: &StreamPosition,
    kind: &BodyKind,
) -> Option<(EngineStream, StreamItem)> {
    let last = match position {
        StreamPosition::Start => None,
        StreamPosition::After(id) => Some(id.clone()),
        StreamPosition::Unknown => return None,
    };
    let mut history = call.history;
    let started = relay_stream(gateway, call, &mut history, last).await;
    call.history = history;
    let (_, started) = started?;
    if !matches!(&started, Started::Failed(answer) if promises_not_run(answer.status)) {
        call.history.record_send(RunStatus::MayHaveRun);
    }
    match started {
        Started::Streaming(stream, item) if stream.body_kind() == *kind => Some((*stream, item)),
        Started::Streaming(..) | Started::Failed(_) => None,
    }
}

/// Records that the engine of a begun stream was given up
pub(super) fn record_lost_engine(gateway: &Gateway, call: &mut ServingCall, error: &SendError) {
    let Some(engine) = call.excluded.last().cloned() else { return };
    call.record_crash_evidence(gateway, &engine, Vec::new(), error);
    if error.is_timeout() {
        call.silent.push(engine);
    }
}

/// Resumes a failed stream on another engine, with a body of the same kind; `None` if that is not possible
pub(super) async fn resume(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    position: StreamPosition,
    kind: &BodyKind,
) -> Option<(EngineStream, StreamItem)> {
    let mut cache = None;
    if !call.may_resume {
        return None;
    }
    let last = match position {
        StreamPosition::Start => None,
        StreamPosition::After(id) => Some(id),
        StreamPosition::Unknown => return None,
    };
    while let Some(way) = call.next_way(gateway).await {
        if way == SendWay::Relay {
            let sends = call.history.sends;
            let mut history = call.history;
            let relayed = relay_stream(gateway, call, &mut history, last.clone()).await;
            call.history = history;
            match relayed {
                Some((_, Started::Streaming(stream, item))) => {
                    call.history.record_send(RunStatus::MayHaveRun);
                    if stream.body_kind() == *kind {
                        return Some((*stream, item));
                    }
                    continue;
                }
                None if call.history.sends > sends => continue,
                // The others can't run it either, so an endpoint that is only silent may answer.
                None => {
                    call.record_declined_relay();
                    continue;
                }
                Some((_, Started::Failed(answer))) if promises_not_run(answer.status) => {
                    call.record_declined_relay();
                    continue;
                }
                Some((_, Started::Failed(_))) => return None,
            }
        }
        // Another instance has begun it.
        if call.origin.is_none() {
            let stream = stream_key(&call.request.id);
            let (origin, _) = gateway.stream_origin(&call.route, Some(stream)).await?;
            call.pool = origin.pool.clone();
            call.origin = Some(origin);
        }
        if !call.admit_parts(gateway).await {
            return None;
        }
        let path = match plan_path(gateway, call, None) {
            Ok(path) => path,
            // A silent engine may still go on, if the others refuse the stream.
            Err(_) if call.readmit_silent() => continue,
            Err(_) => return None,
        };
        if !check_versions(gateway, call, &path).await {
            continue;
        }
        if !call.try_start_send(gateway) {
            return None;
        }
        match start_stream(gateway, call, &mut cache, path, last.clone()).await {
            Ok((StartedAt::Engine(engine), Started::Streaming(stream, _)))
                if stream.body_kind() != *kind =>
            {
                drop(stream);
                call.record_failure(gateway, &engine, &SendError::Mismatched);
            }
            Ok((started_at, Started::Streaming(stream, item))) => {
                call.history.record_send(RunStatus::MayHaveRun);
                if let StartedAt::Engine(engine) = started_at {
                    call.excluded.push(engine.id);
                } else if stream.body_kind() != *kind {
                    continue;
                }
                return Some((*stream, item));
            }
            Ok((StartedAt::Engine(engine), Started::Failed(_))) => {
                call.record_error_answer(gateway, &engine);
            }
            Ok((StartedAt::Instance(_), Started::Failed(_))) => return None,
            Err((engine, error)) => call.record_failure(gateway, &engine, &error),
        }
    }
    None
}
