//! Serves generations: plans the engines, sends the request and relays the events.
//!
//! The response head goes to the client together with the first event, so that a send
//! that fails earlier can be retried unnoticed. If a stream fails later, it is resumed
//! on another engine where the route allows it; otherwise the client's connection is
//! closed.

use crate::attempt::{OpenAnswer, SendError, SendTarget, free_cache, read_whole, send};
use crate::body::AnswerBody;
use crate::error::RelayError;
use crate::events::EventSplitter;
use crate::relay;
use crate::serving_call::{
    NOT_RELAYED, Refusal, RequestRecord, SUSPECTED_PART, SendWay, ServingCall, relay_whole,
};
use crate::state::{Gateway, WorkGuard};
use async_stream::try_stream;
use bytes::Bytes;
use catalogue::id::{EndpointId, InstanceId};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::health::SendResult;
use decide::serving::pick::{
    EnginePick, EngineView, GenerationPlan, GenerationRequest, PlanOutcome, PromptProgress,
    plan_generation,
};
use decide::serving::route::RetryRule;
use decide::serving::send_history::RunStatus;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use platform_adapter::answer::client_headers;
use platform_adapter::engine::decode_cache_source;
use platform_adapter::head::{EngineStage, TakenUp};
use smol_str::{SmolStr, format_smolstr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Reason of a refusal while no endpoint accepts the request
const NO_ENDPOINT: &str = "no_endpoint";

/// Event stream of an engine's answer
struct EngineStream {
    answer: OpenAnswer,
    /// Time that the engine worked on the request before its first event, without any wait
    own_time: Duration,
    first_event_at: Instant,
    splitter: EventSplitter,
    /// Instance that relays it; `None` if it comes from the engine
    relay: Option<InstanceId>,
}

/// Next item of a stream
enum StreamItem {
    Events(Bytes),
    End,
}

impl EngineStream {
    fn new(answer: OpenAnswer, own_time: Duration) -> EngineStream {
        let first_event_at = Instant::now();
        let splitter = EventSplitter::default();
        EngineStream { answer, own_time, first_event_at, splitter, relay: None }
    }

    /// Reads the next complete events, or the end
    async fn next(
        &mut self,
        gateway: &Gateway,
        deadline: Instant,
    ) -> Result<StreamItem, SendError> {
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline, self.answer.body.frame()) => {
                    frame.map_err(|_| SendError::TimedOut)?
                }
                () = gateway.link.silence(), if self.relay.is_none() => {
                    return Err(SendError::TimedOut);
                }
            };
            match frame {
                None if self.splitter.is_inside_event() => return Err(SendError::Truncated),
                None => return Ok(StreamItem::End),
                Some(Err(_)) => return Err(SendError::Truncated),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    let events = self.splitter.push(data).map_err(|_| SendError::Oversized)?;
                    if let Some(events) = events {
                        self.answer.work_guard.record_prompt_read();
                        return Ok(StreamItem::Events(events));
                    }
                }
            }
        }
    }

    /// Time that it has held a slot of its engine
    fn held(&self) -> Duration {
        self.own_time + self.first_event_at.elapsed()
    }

    fn release_connection(self, gateway: &Gateway) {
        if !self.answer.head.closes_connection {
            gateway.connections.release(self.answer.connection, self.answer.head.idle_timeout);
        }
    }
}

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
            match relay_stream(gateway, &mut call, None).await {
                Some((instance, Started::Failed(response))) => {
                    record.relayed_to = instance;
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
        let path = match plan_path(gateway, &call) {
            Ok(path) => path,
            Err(NO_ENDPOINT) if call.wait_for_pause(gateway).await => continue,
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
            Ok((engine, Started::Failed(response))) => {
                call.end_run();
                gateway.metrics.sent(&call.pool, "server_error");
                gateway.record_result(&engine, SendResult::Failed);
                record.endpoint = engine.id;
                record.finish("answered", response.status().as_str());
                return Ok(response);
            }
            Ok((engine, Started::Streaming(stream, first))) => {
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

/// Sends a generation through another instance and waits for its first event; `None` if none has answered
async fn relay_stream(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    after: Option<SmolStr>,
) -> Option<(InstanceId, Started)> {
    let taken_up = after.map(|after| {
        let begun_by = call.begun_by.as_ref().unwrap_or(&call.request.id).clone();
        TakenUp { begun_by, after }
    });
    let (instance, answer) = relay::send(gateway, call, taken_up).await?;
    let started = match answer.head.status.is_success() {
        true => {
            let mut stream = EngineStream::new(answer, Duration::ZERO);
            stream.relay = Some(instance.clone());
            let first = stream.next(gateway, call.deadline).await;
            first.map(|first| Started::Streaming(Box::new(stream), first))
        }
        false => {
            let answer = read_whole(gateway, answer, call.deadline).await;
            answer.map(|answer| Started::Failed(relay_whole(answer)))
        }
    };
    match started {
        Ok(started) => Some((instance, started)),
        Err(_) => {
            // The other instance has answered, which it does after the first event.
            call.usage.record_counted();
            call.history.record_send(RunStatus::MayHaveRun);
            None
        }
    }
}

/// Result of a send along a path: a stream, or a complete error answer of the engine
enum Started {
    Streaming(Box<EngineStream>, StreamItem),
    Failed(Response<AnswerBody>),
}

/// One engine of a path; the work_guard counts the request in its load
struct EngineStep {
    engine: ListedEndpoint,
    pick: EnginePick,
    parts_source: Option<SmolStr>,
    work_guard: WorkGuard,
}

/// Engines that a request goes through
struct EnginePath {
    prefill: Option<EngineStep>,
    generate: EngineStep,
}

/// Chooses the engines for a generation; the error is the reason for the log
fn plan_path(gateway: &Rc<Gateway>, call: &ServingCall) -> Result<EnginePath, &'static str> {
    let endpoints = gateway.ready_endpoints(call);
    let prompt = call.prompt.clone().unwrap_or_default();
    let request = GenerationRequest {
        prompt: &prompt,
        zone: &gateway.settings.zone,
        excluded: &call.excluded,
        objective: call.route.objective,
        pause_limit: call.route.pause_limit,
        time_left: call.deadline.saturating_duration_since(Instant::now()),
        progress: call.progress,
        has_waited: call.has_waited,
        draw: rand::random(),
    };
    let outcome = {
        let mut timings = gateway.timings.borrow_mut();
        let view = EngineView {
            endpoints: &endpoints,
            load: &gateway.load.borrow(),
            caches: &gateway.caches.borrow(),
            timing: timings.entry(call.pool.clone()).or_default(),
            now: Instant::now().into_std(),
        };
        plan_generation(&request, &view)
    };
    let plan = match outcome {
        PlanOutcome::Plan(plan) => plan,
        PlanOutcome::Full(expected_ms) => {
            log::info!(
                "event=full id={} expected_ms={expected_ms:.0} has_waited={} {}",
                call.request.id,
                call.has_waited,
                gateway.choice_inputs(),
            );
            return Err("full");
        }
        PlanOutcome::NoEngine => return Err(NO_ENDPOINT),
    };
    log::info!(
        "event=engine_picked id={} prompt={} shared={} key={:x} expected_ms={:.0} {} {}",
        call.request.id,
        prompt.prompt_tokens,
        prompt.shared_tokens(),
        prompt.affinity_key(),
        plan.expected_ms(),
        gateway.choice_inputs(),
        describe_plan(&plan),
    );
    let find = |id: &EndpointId| endpoints.iter().find(|it| it.id == *id).cloned();
    let step = |pick: &EnginePick| {
        let holder = pick.holder.as_ref().and_then(find);
        let work_guard = WorkGuard::new(gateway.clone(), pick.endpoint.clone(), pick.unread_tokens);
        let parts_source = holder.map(|it| format_smolstr!("{}", it.address));
        let pick = pick.clone();
        find(&pick.endpoint).map(|engine| EngineStep { engine, pick, parts_source, work_guard })
    };
    let (prefill, generate) = match &plan {
        GenerationPlan::Whole(pick) | GenerationPlan::Decode(pick) => (None, step(pick)),
        GenerationPlan::Split { prefill, decode } => (step(prefill), step(decode)),
    };
    generate.map(|generate| EnginePath { prefill, generate }).ok_or(NO_ENDPOINT)
}

/// Checks that the engines of a path are the listed incarnations if the stream may be resumed; `false` if another path is
/// needed, since the stream must not go on at these
async fn check_versions(gateway: &Gateway, call: &mut ServingCall, path: &EnginePath) -> bool {
    if call.route.retry_rule != RetryRule::Resumable {
        return true;
    }
    let reader = path.prefill.as_ref().map(|it| &it.engine);
    call.is_version_known = true;
    for engine in reader.into_iter().chain([&path.generate.engine]) {
        if gateway.is_listed_incarnation(engine).await {
            continue;
        }
        call.is_version_known = false;
        if call.origin.is_some() {
            call.excluded.push(engine.id.clone());
            return false;
        }
    }
    true
}

/// Records that the engine of a pick has read the prompt, and how long that took
fn record_prompt_read(
    gateway: &Gateway,
    call: &ServingCall,
    engine: &ListedEndpoint,
    pick: &EnginePick,
    took: Duration,
) {
    gateway.record_wait(&call.pool, pick, took);
    if let Some(prompt) = &call.prompt {
        gateway.record_prompt_read(engine, prompt.prefixes(), pick.sample(took));
    }
}

/// Formats the engines of a plan for the log
fn describe_plan(plan: &GenerationPlan) -> String {
    let engine = |stage: &str, it: &EnginePick| {
        format!(
            "{stage}={} {stage}_version={} {stage}_requests={} {stage}_unread={}+{} {stage}_source={} \
             {stage}_own_ms={:.0} {stage}_wait_ms={:.0}",
            it.endpoint,
            it.version,
            it.work.requests,
            it.work.unread_tokens,
            it.unread_tokens,
            it.holder.as_deref().unwrap_or("none"),
            it.own_ms,
            it.wait_ms,
        )
    };
    match plan {
        GenerationPlan::Whole(pick) => engine("whole", pick),
        GenerationPlan::Decode(pick) => engine("decode", pick),
        GenerationPlan::Split { prefill, decode } => {
            format!("{} {}", engine("prefill", prefill), engine("decode", decode))
        }
    }
}

/// Sends along a path and waits for the first event; also returns the engine that answered or failed
async fn start_stream(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    cache: &mut Option<HeldCache>,
    path: EnginePath,
    resume_after: Option<SmolStr>,
) -> Result<(ListedEndpoint, Started), (ListedEndpoint, SendError)> {
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
        // Its notice may have arrived while the prompt was read.
        step if cache.is_some() && !gateway.accepts(&step.engine) => {
            let engine = step.engine;
            let replanned = plan_path(gateway, call);
            replanned.map_err(|_| (engine, SendError::NotAccepted))?.generate
        }
        step => step,
    };
    let stage = match cache.as_ref() {
        Some(held) => EngineStage::Decode { source: held.source.clone() },
        None => EngineStage::Whole,
    };
    let engine = generate.engine.clone();
    let started = send_generation(gateway, call, generate, stage, resume_after).await;
    if matches!(started, Ok(Started::Streaming(..))) {
        call.record_part_answers(gateway);
    }
    let is_cache_unused = started.as_ref().is_err_and(|it| {
        it.run_status() == RunStatus::NotRun
            && !matches!(it, SendError::Declined(StatusCode::SERVICE_UNAVAILABLE))
    });
    if !is_cache_unused && let Some(held) = cache.take() {
        call.progress = PromptProgress::Lost;
        call.held_version = None;
        held.mark_taken();
    }
    match started {
        Ok(started) => Ok((engine, started)),
        Err(error) => Err((engine, error)),
    }
}

/// Cache of a prompt at the engine that read it; freed on drop unless it was taken
struct HeldCache {
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
    let target = SendTarget {
        endpoint: &engine,
        work_guard: step.work_guard,
        once: false,
        expects_signature: false,
        may_start: &may_start,
    };
    let expected = milliseconds(step.pick.expected_ms);
    let deadline = call.prefill_deadline(expected);
    let answer = send(gateway, target, &call.request, &parameters, deadline).await?;
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

/// Sends a request to the engine that generates and waits for the first event
async fn send_generation(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    step: EngineStep,
    stage: EngineStage,
    resume_after: Option<SmolStr>,
) -> Result<Started, SendError> {
    let once = call.route.retry_rule == RetryRule::Once;
    let mut parameters = call.parameters(&step.engine.id, stage);
    parameters.resume_after = resume_after;
    parameters.parts_source = step.parts_source;
    let may_start = || call.start_run(gateway, &step.engine, true);
    let target = SendTarget {
        endpoint: &step.engine,
        work_guard: step.work_guard,
        once,
        expects_signature: true,
        may_start: &may_start,
    };
    let deadline = call.answer_deadline(gateway);
    let sent_at = Instant::now();
    let answer = send(gateway, target, &call.request, &parameters, deadline).await?;
    if !answer.head.status.is_success() {
        let answer = read_whole(gateway, answer, call.deadline).await?;
        return Ok(Started::Failed(relay_whole(answer)));
    }
    let mut stream = EngineStream::new(answer, milliseconds(step.pick.own_ms));
    let first = stream.next(gateway, deadline).await?;
    stream.first_event_at = Instant::now();
    record_prompt_read(gateway, call, &step.engine, &step.pick, sent_at.elapsed());
    Ok(Started::Streaming(Box::new(stream), first))
}

fn milliseconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time / 1000.0).unwrap_or_default()
}

fn stream_response(
    gateway: Rc<Gateway>,
    call: ServingCall,
    record: RequestRecord,
    stream: EngineStream,
    first: StreamItem,
) -> Response<AnswerBody> {
    let status = stream.answer.head.status;
    let headers = client_headers(&stream.answer.headers);
    let events = Box::pin(relay(gateway, call, record, stream, first));
    let mut response = Response::new(AnswerBody::events(events));
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
            item = match stream.next(&gateway, call.deadline).await {
                Ok(next) => {
                    if matches!(next, StreamItem::Events(_)) {
                        gateway.record_pause(&call.pool, paused_at.elapsed());
                    }
                    next
                }
                Err(error) => {
                    let last = stream.splitter.last_id().cloned().or(call.last_event.clone());
                    // Closes the connection, so that this engine stops before another one resumes.
                    let is_relayed = stream.relay.is_some();
                    drop(stream);
                    call.end_run();
                    if let Some(engine) = call.excluded.last().filter(|_| !is_relayed) {
                        call.record_crash_evidence(&gateway, engine, Vec::new(), &error);
                    }
                    match resume(&gateway, &mut call, &error, last).await {
                        Some((resumed, next)) => {
                            if let Some(instance) = &resumed.relay {
                                record.relayed_to = instance.clone();
                            }
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

/// Resumes a failed stream on another engine; `None` if that is not possible
async fn resume(
    gateway: &Rc<Gateway>,
    call: &mut ServingCall,
    error: &SendError,
    last: Option<SmolStr>,
) -> Option<(EngineStream, StreamItem)> {
    let mut cache = None;
    log::info!(
        "event=stream_broken id={} after={last:?} version={} sends={} parts={} error=\"{error}\"",
        call.request.id,
        call.origin.as_ref().map_or("none", |it| it.version.as_str()),
        call.history.sends,
        call.describe_parts(),
    );
    if !call.may_resume {
        return None;
    }
    while let Some(way) = call.next_way(gateway).await {
        if way == SendWay::Relay {
            let sends = call.history.sends;
            match relay_stream(gateway, call, last.clone()).await {
                Some((_, Started::Streaming(stream, item))) => {
                    call.history.record_send(RunStatus::MayHaveRun);
                    return Some((*stream, item));
                }
                None if call.history.sends > sends => continue,
                Some((_, Started::Failed(_))) | None => return None,
            }
        }
        if !call.admit_parts(gateway).await {
            return None;
        }
        let path = plan_path(gateway, call).ok()?;
        if !check_versions(gateway, call, &path).await {
            continue;
        }
        if !call.try_start_send(gateway) {
            return None;
        }
        match start_stream(gateway, call, &mut cache, path, last.clone()).await {
            Ok((engine, Started::Streaming(stream, item))) => {
                call.history.record_send(RunStatus::MayHaveRun);
                call.excluded.push(engine.id);
                return Some((*stream, item));
            }
            Ok((_, Started::Failed(_))) => {
                call.end_run();
                return None;
            }
            Err((engine, error)) => call.record_failure(gateway, &engine, &error),
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
        _ => RelayError::Truncated,
    }
}
