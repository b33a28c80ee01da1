//! Sends a generation along a planned path, or through another instance, and waits for its first event.

use super::engine_stream::EngineStream;
use super::free_cache::free_cache;
use super::generate::{Started, milliseconds, record_prompt_read};
use super::hedge::{FirstEvent, send_first};
use super::plan::{EnginePath, EngineStep, has_path, plan_path};
use crate::attempt::{SendError, SendTarget, read_whole, send};
use crate::connections::ConnectionReuse;
use crate::relay;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use crate::take_over::{SendOutcome, is_served, send_or_relay};
use catalogue::id::InstanceId;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::health::SendResult;
use decide::serving::pick::PromptProgress;
use decide::serving::send_history::{RunStatus, SendHistory};
use http::StatusCode;
use platform_adapter::answer::promises_not_run;
use platform_adapter::engine::decode_cache_source;
use platform_adapter::head::{EngineStage, TakenUp};
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Sends a generation through another instance and waits for its first event; `None` if none has answered
pub(super) async fn relay_stream(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    history: &mut SendHistory,
    after: Option<SmolStr>,
) -> Option<(InstanceId, Started)> {
    let taken_up = after.clone().map(|after| {
        let begun_by = call.begun_by.as_ref().unwrap_or(&call.request.id).clone();
        TakenUp { begun_by, after }
    });
    let (instance, answer) = relay::send(gateway, call, history, taken_up).await?;
    let started = match answer.head.status.is_success() {
        true => {
            let mut stream = EngineStream::new(answer, call, after, Duration::ZERO);
            stream.relay = Some(instance.clone());
            let first = stream.next(call.deadline, call.deadline).await;
            // That instance gives up its engine after the same time, and resumes the stream itself.
            stream.event_limit = call.route.event_limit().map(|it| it.saturating_mul(2));
            first.map(|first| Started::Streaming(Box::new(stream), first))
        }
        false => {
            let answer = read_whole(gateway, answer, call.deadline).await;
            answer.map(Started::Failed)
        }
    };
    match started {
        Ok(started) => Some((instance, started)),
        Err(_) => {
            // The other instance has answered, which it does after the first event.
            call.usage.record_counted();
            history.record_send(RunStatus::MayHaveRun);
            None
        }
    }
}

/// Begins a generation through another instance while its engine is silent; `None` if that is not possible
async fn begin_elsewhere(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    history: &mut SendHistory,
    after: Option<SmolStr>,
) -> Option<(InstanceId, Started)> {
    match relay_stream(gateway, call, history, after).await? {
        (instance, Started::Failed(answer)) if !is_served(&answer) => {
            log::info!(
                "event=not_taken_over id={} by={instance} outcome={}",
                call.request.id,
                answer.status.as_str()
            );
            if !promises_not_run(answer.status) {
                history.record_send(RunStatus::MayHaveRun);
            }
            None
        }
        taken_over => Some(taken_over),
    }
}

/// Where a generation has begun
pub(super) enum StartedAt {
    Engine(ListedEndpoint),
    /// Another instance, which has taken it over from a silent engine
    Instance(InstanceId),
}

/// Sends along a path and waits for the first event; also returns who has answered, or the engine that failed
pub(super) async fn start_stream(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    cache: &mut Option<HeldCache>,
    path: EnginePath,
    resume_after: Option<SmolStr>,
) -> Result<(StartedAt, Started), (ListedEndpoint, SendError)> {
    if let Some(step) = path.prefill {
        let engine = step.engine.clone();
        match prefill(gateway, call, step).await {
            Ok(held) => {
                call.end_run();
                gateway.record_result(&engine, SendResult::Answered);
                *cache = Some(held);
                call.progress = PromptProgress::Held;
                call.held_version = Some(engine.version);
            }
            Err(error) => {
                if error.run_status() == RunStatus::MayHaveRun {
                    call.progress = PromptProgress::Lost;
                }
                return Err((engine, SendError::Prefill(Box::new(error))));
            }
        }
    }
    let generate = match path.generate {
        // It may have begun to leave while the prompt was read.
        step if cache.is_some() && !gateway.accepts(&step.engine) => {
            let engine = step.engine;
            let replanned = plan_path(gateway, call, None);
            replanned.map_err(|_| (engine, SendError::NotAccepted))?.generate
        }
        step => step,
    };
    let stage = match cache.as_ref() {
        Some(held) => EngineStage::Decode { source: held.source.clone() },
        None => EngineStage::Whole,
    };
    let silent = generate.engine.clone();
    let mut history = call.history;
    let outcome = {
        let call = &*call;
        let sending = send_first(gateway, call, generate, stage, resume_after.clone());
        let relaying = begin_elsewhere(gateway, call, &mut history, resume_after);
        send_or_relay(gateway, call, sending, relaying).await
    };
    call.history = history;
    let FirstEvent { engine, started, failed, abandoned } = match outcome {
        SendOutcome::TakenOver((instance, started)) => {
            call.record_taken_over(gateway, &silent);
            give_up_cache(call, cache);
            return Ok((StartedAt::Instance(instance), started));
        }
        SendOutcome::Direct { result, relay } => {
            call.record_relay_end(relay);
            result
        }
    };
    if let Some((engine, error)) = failed {
        // What is recorded of the other copy, which goes on, stays.
        let running = call.running.take();
        call.record_failure(gateway, &engine, &error);
        call.running.replace(running);
    }
    if let Some(abandoned) = abandoned {
        call.record_abandoned(abandoned);
    }
    if matches!(started, Ok(Started::Streaming(..))) {
        call.record_part_answers(gateway);
    }
    let is_cache_unused = started.as_ref().is_err_and(|it| {
        it.run_status() == RunStatus::NotRun
            && !matches!(it, SendError::Declined(StatusCode::SERVICE_UNAVAILABLE))
    });
    if !is_cache_unused {
        give_up_cache(call, cache);
    }
    match started {
        Ok(started) => Ok((StartedAt::Engine(engine), started)),
        Err(error) => Err((engine, error)),
    }
}

/// Records that the cache of a prompt, if there is one, is no longer held for the request
fn give_up_cache(call: &mut ServingCall, cache: &mut Option<HeldCache>) {
    if let Some(held) = cache.take() {
        call.progress = PromptProgress::Lost;
        call.held_version = None;
        held.mark_taken();
    }
}

/// Cache of a prompt at the engine that read it; freed on drop unless it was taken
pub(super) struct HeldCache {
    gateway: Rc<Gateway>,
    engine: ListedEndpoint,
    source: SmolStr,
    is_taken: bool,
}

impl HeldCache {
    /// Records that another engine has fetched it, or that it is gone
    fn mark_taken(mut self) {
        self.is_taken = true;
    }
}

impl Drop for HeldCache {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let gateway = self.gateway.clone();
        let engine = self.engine.clone();
        let source = self.source.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = free_cache(&gateway, &engine, &source).await {
                log::info!("event=cache_not_freed engine={} error=\"{error}\"", engine.id);
            }
        });
    }
}

/// Sends the prompt to an engine that only reads it; returns the resulting cache
async fn prefill(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    step: EngineStep,
) -> Result<HeldCache, SendError> {
    let mut parameters = call.parameters(&step.engine.id, EngineStage::Prefill);
    parameters.parts_source = step.parts_source;
    let engine = step.engine;
    let sent_at = Instant::now();
    let may_start = || call.start_run(gateway, &engine, false);
    let expected = milliseconds(step.pick.expected_ms);
    let deadline = call.prefill_deadline(expected);
    let target = SendTarget {
        endpoint: &engine,
        work_guard: step.work_guard,
        reuse: ConnectionReuse::Any,
        expects_signature: false,
        may_start: &may_start,
        connect_by: deadline,
        usual: call.route.objective,
        deadline: call.deadline,
    };
    // Reading a prompt has no effect, so that it may be done again for any request.
    let has_path = || has_path(gateway, call, &engine.id);
    let given_up = async {
        tokio::select! {
            () = call.retry_due(gateway, deadline, has_path) => {}
            () = call.relay_due(gateway, false) => {}
        }
    };
    let answer = send(gateway, target, &call.request, &parameters, given_up).await?;
    let answer = read_whole(gateway, answer, deadline).await?;
    let took = sent_at.elapsed();
    log::info!(
        "event=prompt_read id={} engine={} expected_ms={:.0} took_ms={}",
        call.request.id,
        engine.id,
        step.pick.expected_ms,
        took.as_millis(),
    );
    record_prompt_read(gateway, call, &engine, &step.pick, took);
    let source = decode_cache_source(&engine, &answer.body).map_err(|_| SendError::Mismatched)?;
    Ok(HeldCache { gateway: gateway.clone(), engine, source, is_taken: false })
}
