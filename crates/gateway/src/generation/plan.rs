//! Plans the engines that a generation goes through.

use super::NO_ENDPOINT;
use crate::incarnation_check::IncarnationCheck;
use crate::serving_call::ServingCall;
use crate::state::{Gateway, WorkGuard};
use catalogue::id::EndpointId;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::pick::{
    EnginePick, EngineView, GenerationPlan, GenerationRequest, PlanOutcome, plan_generation,
};
use decide::serving::prompt::PromptShape;
use decide::serving::route::RetryRule;
use smol_str::{SmolStr, format_smolstr};
use std::rc::Rc;
use tokio::time::Instant;

/// One engine of a path; the work_guard counts the request in its load
pub(super) struct EngineStep {
    pub(super) engine: ListedEndpoint,
    pub(super) pick: EnginePick,
    pub(super) parts_source: Option<SmolStr>,
    pub(super) work_guard: WorkGuard,
}

/// Engines that a request goes through
pub(super) struct EnginePath {
    pub(super) prefill: Option<EngineStep>,
    pub(super) generate: EngineStep,
}

/// Chooses the engines for a generation, without one that it waits at; the error is the reason for the log
pub(super) fn plan_path(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    waits_at: Option<&EndpointId>,
) -> Result<EnginePath, &'static str> {
    let endpoints = gateway.ready_endpoints(call);
    let prompt = call.prompt.clone().unwrap_or_default();
    let excluded = call.excluded.iter().chain(waits_at).cloned().collect::<Vec<_>>();
    let outcome = plan_among(gateway, call, &prompt, &endpoints, &excluded);
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

/// Chooses among some engines
fn plan_among(
    gateway: &Gateway,
    call: &ServingCall,
    prompt: &PromptShape,
    endpoints: &[ListedEndpoint],
    excluded: &[EndpointId],
) -> PlanOutcome {
    let request = GenerationRequest {
        prompt,
        zone: &gateway.settings.zone,
        excluded,
        objective: call.route.objective,
        pause_limit: call.route.pause_limit,
        time_left: call.deadline.saturating_duration_since(Instant::now()),
        progress: call.progress,
        has_waited: call.has_waited,
        draw: rand::random(),
    };
    let mut timings = gateway.timings.borrow_mut();
    let view = EngineView {
        endpoints,
        load: &gateway.load.borrow(),
        caches: &gateway.caches.borrow(),
        timing: timings.entry(call.pool.clone()).or_default(),
        now: Instant::now().into_std(),
    };
    plan_generation(&request, &view)
}

/// Whether a generation would go to other engines than a silent one now
pub(super) fn has_path(gateway: &Gateway, call: &ServingCall, silent: &EndpointId) -> bool {
    let prompt = call.prompt.clone().unwrap_or_default();
    let engines = gateway.alternatives(call, silent);
    matches!(plan_among(gateway, call, &prompt, &engines, &[]), PlanOutcome::Plan(_))
}

/// Checks that the engines of a path are the listed incarnations if the stream may be resumed; `false` if another path is
/// needed, since the stream must not go on at these
pub(super) async fn check_versions(
    gateway: &Gateway,
    call: &mut ServingCall,
    path: &EnginePath,
) -> bool {
    if call.route.retry_rule != RetryRule::Resumable {
        return true;
    }
    let reader = path.prefill.as_ref().map(|it| &it.engine);
    call.is_version_known = true;
    for engine in reader.into_iter().chain([&path.generate.engine]) {
        let check = gateway.check_incarnation(engine).await;
        if check == IncarnationCheck::Listed {
            continue;
        }
        call.is_version_known = false;
        if call.origin.is_some() {
            // A stream that has begun waits for engines that are only silent, as all endpoints are.
            let is_awaited = check == IncarnationCheck::Silent
                && gateway.link.is_cut()
                && call.history.may_have_run;
            if !is_awaited {
                call.excluded.push(engine.id.clone());
            }
            return false;
        }
    }
    true
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
