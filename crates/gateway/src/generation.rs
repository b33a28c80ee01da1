//! Serves generations: plans the engines, sends the request and relays the events.
//!
//! The response head goes to the client together with the first event, so that a send
//! that fails earlier can be retried unnoticed. If a stream fails later, it is resumed
//! on another engine where the route allows it; otherwise the client's connection is
//! closed.

mod engine_stream;
mod free_cache;
mod generate;
mod hedge;
mod plan;
mod relay_events;
mod resume;
mod send;

use crate::body::AnswerBody;
use crate::request_record::RequestRecord;
use crate::serving_call::{NOT_RELAYED, Refusal, SUSPECTED_PART, SendWay, ServingCall};
use crate::state::Gateway;
use decide::serving::health::SendResult;
use decide::serving::send_history::RunStatus;
use engine_stream::StreamItem;
use generate::Started;
use http::Response;
use plan::{check_versions, plan_path};
use platform_adapter::answer::promises_not_run;
use relay_events::stream_response;
use send::{StartedAt, relay_stream, start_stream};
use std::rc::Rc;

/// Reason of a refusal while no endpoint accepts the request
const NO_ENDPOINT: &str = "no_endpoint";

/// Serves a generation, with retries until its first event
///
/// # Errors
/// The refusal to send to the client, and the record, which the caller finishes.
pub async fn serve(
    gateway: &Rc<Gateway>,
    mut call: ServingCall,
    mut record: RequestRecord,
) -> Result<Response<AnswerBody>, (Refusal, RequestRecord)> {
    let mut reason = NO_ENDPOINT;
    let mut cache = None;
    while let Some(way) = call.next_way(gateway).await {
        if way == SendWay::Relay {
            let sends = call.history.sends;
            let mut history = call.history;
            let relayed = relay_stream(gateway, &call, &mut history, None).await;
            call.history = history;
            match relayed {
                // The request may still be answered by an endpoint that was only silent.
                Some((_, Started::Failed(answer)))
                    if call.history.may_have_run && promises_not_run(answer.status) =>
                {
                    call.record_declined_relay();
                    continue;
                }
                Some((instance, Started::Failed(answer))) => {
                    record.relayed_to = instance;
                    let response = call.relay_whole(answer);
                    record.finish("relayed", response.status().as_str());
                    return Ok(response);
                }
                Some((instance, Started::Streaming(stream, first))) => {
                    record.relayed_to = instance;
                    record.first_byte();
                    call.history.record_send(RunStatus::MayHaveRun);
                    return Ok(stream_response(gateway.clone(), call, record, *stream, first));
                }
                None if call.history.sends > sends => continue,
                // The others reach no endpoint either, so one that is only silent may answer.
                None if call.history.may_have_run => {
                    call.record_declined_relay();
                    continue;
                }
                None => {
                    reason = NOT_RELAYED;
                    break;
                }
            }
        }
        if !call.admit_parts(gateway).await {
            reason = SUSPECTED_PART;
            break;
        }
        let path = match plan_path(gateway, &call, None) {
            Ok(path) => path,
            Err(NO_ENDPOINT) if call.wait_for_pause(gateway).await => continue,
            // A silent engine may still answer, if the others refuse the request.
            Err(_) if call.readmit_silent() => continue,
            Err(failure) => {
                reason = failure;
                break;
            }
        };
        if !check_versions(gateway, &mut call, &path).await {
            continue;
        }
        if !call.try_start_send(gateway) {
            reason = "no_budget";
            break;
        }
        match start_stream(gateway, &mut call, &mut cache, path, None).await {
            Ok((StartedAt::Instance(instance), started)) => {
                record.relayed_to = instance;
                return Ok(match started {
                    Started::Failed(answer) => {
                        let response = call.relay_whole(answer);
                        record.finish("relayed", response.status().as_str());
                        response
                    }
                    Started::Streaming(stream, first) => {
                        record.first_byte();
                        call.history.record_send(RunStatus::MayHaveRun);
                        stream_response(gateway.clone(), call, record, *stream, first)
                    }
                });
            }
            Ok((StartedAt::Engine(engine), Started::Failed(answer))) => {
                call.end_run();
                gateway.metrics.sent(&call.pool, "server_error");
                gateway.record_result(&engine, SendResult::Failed);
                record.endpoint = engine.id;
                let response = call.relay_whole(answer);
                record.finish("answered", response.status().as_str());
                return Ok(response);
            }
            Ok((StartedAt::Engine(engine), Started::Streaming(stream, first))) => {
                gateway.metrics.sent(&call.pool, "answered");
                gateway.record_result(&engine, SendResult::Answered);
                record.endpoint = engine.id.clone();
                record.first_byte();
                if matches!(first, StreamItem::Events(_)) {
                    call.count_stream();
                }
                call.record_begin(gateway, &engine);
                call.history.record_send(RunStatus::MayHaveRun);
                call.excluded.push(engine.id);
                return Ok(stream_response(gateway.clone(), call, record, *stream, first));
            }
            Err((engine, error)) => {
                reason = "send_failed";
                call.record_failure(gateway, &engine, &error);
            }
        }
    }
    Err((call.give_up(gateway, reason), record))
}
