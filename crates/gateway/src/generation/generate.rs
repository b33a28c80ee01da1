//! Sends a generation to the engine that generates, and waits for its first event.

use super::engine_stream::{EngineStream, StreamItem};
use super::plan::{EngineStep, has_path};
use crate::attempt::{SendError, SendTarget, WholeAnswer, read_whole, send};
use crate::connections::ConnectionReuse;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::pick::EnginePick;
use decide::serving::route::RetryRule;
use platform_adapter::head::EngineStage;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Result of a send along a path: a stream, or a complete error answer of the engine
pub(super) enum Started {
    Streaming(Box<EngineStream>, StreamItem),
    Failed(WholeAnswer),
}

/// Records that the engine of a pick has read the prompt, and how long that took
pub(super) fn record_prompt_read(
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

/// Sends a request to the engine that generates and waits for the first event
pub(super) async fn send_generation(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    step: EngineStep,
    stage: EngineStage,
    resume_after: Option<SmolStr>,
    is_hedge: bool,
) -> Result<Started, SendError> {
    let once = call.route.retry_rule == RetryRule::Once;
    let mut parameters = call.parameters(&step.engine.id, stage);
    parameters.resume_after = resume_after.clone();
    parameters.parts_source = step.parts_source;
    let may_start = || match is_hedge {
        true => call.start_hedge(gateway, &step.engine),
        false => call.start_run(gateway, &step.engine, true),
    };
    let reuse = match once && !gateway.may_reuse_connection(&call.pool) {
        true => ConnectionReuse::Never,
        false => ConnectionReuse::Unrefused,
    };
    let retry_at = call.answer_deadline(gateway);
    let target = SendTarget {
        endpoint: &step.engine,
        work_guard: step.work_guard,
        reuse,
        expects_signature: true,
        may_start: &may_start,
        connect_by: retry_at,
        usual: call.route.objective,
        deadline: call.deadline,
    };
    let sent_at = Instant::now();
    let has_path = || has_path(gateway, call, &step.engine.id);
    let given_up = call.retry_due(gateway, retry_at, has_path);
    let answer = send(gateway, target, &call.request, &parameters, given_up).await?;
    if !answer.head.status.is_success() {
        let answer = read_whole(gateway, answer, call.deadline).await?;
        return Ok(Started::Failed(answer));
    }
    let mut stream = EngineStream::new(answer, call, resume_after, milliseconds(step.pick.own_ms));
    let first = tokio::select! {
        biased;
        first = stream.next(call.deadline, call.deadline) => first?,
        () = call.retry_due(gateway, retry_at, has_path) => return Err(SendError::TimedOut),
    };
    stream.first_event_at = Instant::now();
    stream.event_limit = call.route.event_limit();
    record_prompt_read(gateway, call, &step.engine, &step.pick, sent_at.elapsed());
    Ok(Started::Streaming(Box::new(stream), first))
}

pub(super) fn milliseconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time / 1000.0).unwrap_or_default()
}
