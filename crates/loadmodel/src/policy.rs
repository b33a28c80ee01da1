//! Policies that choose engines, from random choice to one with a perfect view.

use decide::serving::cache::PromptCaches;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::load::FleetLoad;
use decide::serving::pick::{
    EnginePick, EngineView, GenerationPlan, GenerationRequest, PlanOutcome, plan_generation,
};
use decide::serving::timing::PoolTiming;
use std::time::Instant;

/// View of an instance when a request arrives
pub struct InstanceView<'a> {
    /// Listed engines
    pub engines: &'a [ListedEndpoint],
    /// Work of this instance, and of the others as last received
    pub load: &'a FleetLoad,
    /// Cached prompts by engine, as last received
    pub caches: &'a PromptCaches,
    /// Times of the engines as the instance has learned them
    pub timing: &'a PoolTiming,
    pub now: Instant,
    /// Exact work and caches, without the delay of messages
    pub actual: (&'a FleetLoad, &'a PromptCaches),
}

impl<'a> InstanceView<'a> {
    /// View for the gateway's policy, with these caches
    pub fn with_caches(&self, caches: &'a PromptCaches) -> EngineView<'a> {
        let &InstanceView { engines, load, timing, now, .. } = self;
        EngineView { endpoints: engines, load, caches, timing, now }
    }
}

/// Instances that keep to a pause that an engine has requested
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseScope {
    None,
    /// The one that received the request for a pause
    Receiver,
    /// All, at once
    All,
}

/// Named policy
#[derive(Clone, Copy)]
pub struct ChoicePolicy {
    /// Name in reports
    pub name: &'static str,
    /// Whether engines have cached all sessions from the start and never evict any
    pub is_warm: bool,
    /// Instances that keep to a pause
    pub pauses: PauseScope,
    pub plan: fn(&GenerationRequest<'_>, &InstanceView<'_>) -> PlanOutcome,
}

const GATEWAY: ChoicePolicy = ChoicePolicy {
    name: "known_holders",
    is_warm: false,
    pauses: PauseScope::Receiver,
    plan: |request, view| plan_generation(request, &view.with_caches(view.caches)),
};

/// All policies; `known_holders` is the gateway's, the last two are upper bounds
pub const POLICIES: [ChoicePolicy; 8] = [
    ChoicePolicy { name: "random", plan: random, ..GATEWAY },
    ChoicePolicy { name: "least_work", plan: least_work, ..GATEWAY },
    ChoicePolicy {
        name: "unknown_holders",
        plan: |request, view| plan_generation(request, &view.with_caches(&PromptCaches::default())),
        ..GATEWAY
    },
    GATEWAY,
    ChoicePolicy { name: "ignored_pauses", pauses: PauseScope::None, ..GATEWAY },
    ChoicePolicy { name: "shared_pauses", pauses: PauseScope::All, ..GATEWAY },
    ChoicePolicy { name: "fresh_view", plan: fresh_view, ..GATEWAY },
    ChoicePolicy { name: "warm_fresh_view", is_warm: true, plan: fresh_view, ..GATEWAY },
];

/// Finds a policy by name
pub fn policy(name: &str) -> Option<ChoicePolicy> {
    POLICIES.into_iter().find(|it| it.name == name)
}

fn fresh_view(request: &GenerationRequest<'_>, view: &InstanceView<'_>) -> PlanOutcome {
    let engines = EngineView { load: view.actual.0, ..view.with_caches(view.actual.1) };
    plan_generation(request, &engines)
}

fn random(request: &GenerationRequest<'_>, view: &InstanceView<'_>) -> PlanOutcome {
    let index = usize::try_from(request.draw).unwrap_or(usize::MAX);
    let engines = usable(request, view);
    match engines.len() {
        0 => PlanOutcome::NoEngine,
        count => PlanOutcome::Plan(whole(request, view, engines[index % count])),
    }
}

fn least_work(request: &GenerationRequest<'_>, view: &InstanceView<'_>) -> PlanOutcome {
    let engines = usable(request, view);
    let least_loaded = engines.into_iter().min_by_key(|it| view.load.total_at(&it.id).requests);
    least_loaded.map_or(PlanOutcome::NoEngine, |it| PlanOutcome::Plan(whole(request, view, it)))
}

fn usable<'a>(request: &GenerationRequest<'_>, view: &InstanceView<'a>) -> Vec<&'a ListedEndpoint> {
    let is_usable = |it: &&ListedEndpoint| {
        it.role == Some(catalogue::EngineRole::Mixed) && !request.excluded.contains(&it.id)
    };
    view.engines.iter().filter(is_usable).collect()
}

fn whole(
    request: &GenerationRequest<'_>,
    view: &InstanceView<'_>,
    engine: &ListedEndpoint,
) -> GenerationPlan {
    GenerationPlan::Whole(EnginePick {
        endpoint: engine.id.clone(),
        version: engine.version.clone(),
        work: view.load.total_at(&engine.id),
        unread_tokens: u64::from(request.prompt.prompt_tokens),
        holder: None,
        expected_ms: 0.0,
        own_ms: 0.0,
        wait_ms: 0.0,
        cost_ms: 0.0,
        timed: None,
    })
}
