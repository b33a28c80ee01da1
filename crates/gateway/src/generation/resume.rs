//! Resumes a stream that has failed after its first event.

use super::engine_stream::{BodyKind, EngineStream, StreamItem};
use super::generate::Started;
use super::plan::{check_versions, plan_path};
use super::send::{relay_stream, start_stream};
use crate::attempt::SendError;
use crate::events::StreamPosition;
use crate::serving_call::{SendWay, ServingCall};
use crate::state::Gateway;
use decide::serving::send_history::RunStatus;
use decide::serving::stream_origins::stream_key;
use platform_adapter::answer::promises_not_run;
use std::rc::Rc;

/// Resumes a failed stream on another engine, with a body of the same kind; `None` if that is not possible
pub(super) async fn resume(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    error: &SendError,
    position: StreamPosition,
    kind: &BodyKind,
) -> Option<(EngineStream, StreamItem)> {
    let mut cache = None;
    log::info!(
        "event=stream_broken id={} after={} version={} sends={} parts={} error=\"{error}\"",
        call.request.id,
        position.name(),
        call.origin.as_ref().map_or("none", |it| it.version.as_str()),
        call.history.sends,
        call.describe_parts(),
    );
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
            match relay_stream(gateway, call, last.clone()).await {
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
        let path = plan_path(gateway, call, None).ok()?;
        if !check_versions(gateway, call, &path).await {
            continue;
        }
        if !call.try_start_send(gateway) {
            return None;
        }
        match start_stream(gateway, call, &mut cache, path, last.clone()).await {
            Ok((engine, Started::Streaming(stream, _))) if stream.body_kind() != *kind => {
                drop(stream);
                call.record_failure(gateway, &engine, &SendError::Mismatched);
            }
            Ok((engine, Started::Streaming(stream, item))) => {
                call.history.record_send(RunStatus::MayHaveRun);
                call.excluded.push(engine.id);
                return Some((*stream, item));
            }
            Ok((engine, Started::Failed(_))) => call.record_error_answer(gateway, &engine),
            Err((engine, error)) => call.record_failure(gateway, &engine, &error),
        }
    }
    None
}
