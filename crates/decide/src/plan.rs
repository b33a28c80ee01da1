//! Planning of engine roles.
//!
//! The measured mix gives the seconds of prefill and of decode work that arrive per
//! second. An assignment of roles is rated by the load of its busier side. A change pays
//! if the work that overflows during the horizon without it exceeds, by a margin, the work
//! that overflows with it, including the time while the engine is unavailable. Mixed engines
//! serve any mix because routing divides them between prefill and decode, so a change to
//! mixed is preferred to one that the next mix would reverse. Planning does not depend on
//! the time of day.

use crate::mix::WorkloadMix;
use catalogue::EngineRole;
use catalogue::id::{EndpointId, ZoneName};
use std::time::Duration;

/// Load of a side up to which its work meets the deadlines.
const MAX_LOAD: f64 = 0.85;
/// Smallest gain that justifies a change, in engine-seconds over the horizon.
const MIN_GAIN_ENGINE_S: f64 = 1.0;
/// Factor by which the overflow without a change must exceed the overflow with it.
const MIN_GAIN_FACTOR: f64 = 1.5;
/// Load by which a change to mixed may be worse than another and still be preferred, since a
/// mixed engine also serves the next mix.
const MIXED_ADVANTAGE: f64 = 0.1;

/// Engine as input to planning
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedEngine {
    pub engine: EndpointId,
    /// Availability zone of the engine
    pub zone: ZoneName,
    /// Current role, or the role that it is changing to
    pub role: EngineRole,
    /// Whether it serves requests now
    pub ready: bool,
    /// Whether a change of the engine is in progress
    pub changing: bool,
    /// Whether the planner may change its role
    pub changeable: bool,
    /// Prompt tokens read per second when busy
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated per second with a full batch
    pub decode_tokens_per_s: f64,
    /// Requests in flight on the engine
    pub in_flight: u32,
}

/// Costs of a role change
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeCosts {
    /// Time for which an engine is unavailable during a change, drain included
    pub unavailable: Duration,
    /// Time until the weight store can serve another load
    pub store_busy: Duration,
    /// Time since the pool's last change ended; `None` if no change is known
    pub since_last_change: Option<Duration>,
}

/// Minimum numbers of engines
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleFloors {
    /// Engines that read prompts
    pub prefill: usize,
    /// Engines that generate
    pub decode: usize,
}

/// Inputs of a planning step
#[derive(Debug, Clone, PartialEq)]
pub struct PlanInput {
    pub engines: Vec<PlannedEngine>,
    /// Measured workload mix
    pub mix: WorkloadMix,
    pub costs: ChangeCosts,
    /// Time within which a change must recover its cost
    pub horizon: Duration,
    /// Minimum numbers of engines
    pub floors: RoleFloors,
}

/// Change of one engine's role
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    pub engine: EndpointId,
    /// New role
    pub to: EngineRole,
}

/// Reason for the decision of a planning step
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(displaydoc::Display)]
pub enum PlanReason {
    /// another change is in progress
    ChangeUnderWay,
    /// last change is too recent
    TooSoon,
    /// weight store is busy
    StoreBusy,
    /// load of both sides is within bounds
    WithinBounds,
    /// no change pays within the horizon
    NoGain,
    /// number of engines is below a floor
    BelowFloor,
    /// prefill load is above its bound
    PrefillOverloaded,
    /// decode load is above its bound
    DecodeOverloaded,
}

/// Decision of one planning step
#[derive(Debug, Clone, PartialEq)]
pub struct PlanDecision {
    /// Change to make; `None` to change nothing
    pub change: Option<RoleChange>,
    /// Reason for the decision
    pub reason: PlanReason,
    /// Load of the busier side now; 1 is full speed
    pub load_now: f64,
    /// Load of the busier side after the change; 1 is full speed
    pub load_after: f64,
}

/// Total speeds in tokens per second and numbers of engines on the two sides
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct PoolSpeeds {
    prefill: f64,
    decode: f64,
    mixed_prefill: f64,
    mixed_decode: f64,
    prefill_engines: usize,
    decode_engines: usize,
}

/// Plans at most one change for the pool
pub fn plan_roles(input: &PlanInput) -> PlanDecision {
    let now = load(&speeds(&input.engines, None), &input.mix, input.horizon);
    let unchanged = |reason| PlanDecision { change: None, reason, load_now: now, load_after: now };
    if input.engines.iter().any(|it| it.changing) {
        return unchanged(PlanReason::ChangeUnderWay);
    }
    if !input.costs.store_busy.is_zero() {
        return unchanged(PlanReason::StoreBusy);
    }
    if is_below_floor(input) {
        return restore_floor(input).unwrap_or_else(|| unchanged(PlanReason::NoGain));
    }
    if input.costs.since_last_change.is_some_and(|it| it < min_change_interval(&input.costs)) {
        return unchanged(PlanReason::TooSoon);
    }
    if now <= MAX_LOAD {
        return unchanged(PlanReason::WithinBounds);
    }
    best_change(input, now).unwrap_or_else(|| unchanged(PlanReason::NoGain))
}

/// Minimum time between two changes of a pool
fn min_change_interval(costs: &ChangeCosts) -> Duration {
    costs.unavailable * 2
}

fn speeds(engines: &[PlannedEngine], change: Option<&RoleChange>) -> PoolSpeeds {
    let mut sum = PoolSpeeds::default();
    for engine in engines.iter().filter(|it| it.ready) {
        let changed = change.filter(|it| it.engine == engine.engine);
        match changed.map_or(engine.role, |it| it.to) {
            EngineRole::Prefill => {
                sum.prefill += engine.prefill_tokens_per_s;
                sum.prefill_engines += 1;
            }
            EngineRole::Decode => {
                sum.decode += engine.decode_tokens_per_s;
                sum.decode_engines += 1;
            }
            EngineRole::Mixed => {
                sum.mixed_prefill += engine.prefill_tokens_per_s;
                sum.mixed_decode += engine.decode_tokens_per_s;
                sum.prefill_engines += 1;
                sum.decode_engines += 1;
            }
        }
    }
    sum
}

/// Load of the busier side with the best division of the mixed engines' time
fn load(speeds: &PoolSpeeds, mix: &WorkloadMix, horizon: Duration) -> f64 {
    let seconds = horizon.as_secs_f64().max(1.0);
    let prompt = mix.prompt_tokens_per_s + mix.queued_prompt_tokens / seconds;
    let output = mix.output_tokens_per_s + mix.queued_output_tokens / seconds;
    let all_prefill = ratio(prompt, speeds.prefill + speeds.mixed_prefill);
    let all_decode = ratio(output, speeds.decode + speeds.mixed_decode);
    if speeds.mixed_prefill == 0.0 {
        return all_prefill.max(all_decode);
    }
    // The best division loads both sides equally. With the mixed speeds mp and md, that load is
    // (prompt / mp + output / md) / (prefill / mp + decode / md + 1).
    let work = prompt / speeds.mixed_prefill + output / speeds.mixed_decode;
    let capacity =
        speeds.prefill / speeds.mixed_prefill + speeds.decode / speeds.mixed_decode + 1.0;
    (work / capacity).max(all_prefill).max(all_decode)
}

fn ratio(work: f64, speed: f64) -> f64 {
    if work <= 0.0 {
        0.0
    } else if speed <= 0.0 {
        f64::INFINITY
    } else {
        work / speed
    }
}

fn is_below_floor(input: &PlanInput) -> bool {
    let speeds = speeds(&input.engines, None);
    speeds.prefill_engines < input.floors.prefill || speeds.decode_engines < input.floors.decode
}

fn keeps_floor(input: &PlanInput, change: &RoleChange) -> bool {
    let speeds = speeds(&input.engines, Some(change));
    speeds.prefill_engines >= input.floors.prefill && speeds.decode_engines >= input.floors.decode
}

fn restore_floor(input: &PlanInput) -> Option<PlanDecision> {
    let changes = possible_changes(input);
    let (change, after) = least_loaded(input, &changes)?;
    let now = load(&speeds(&input.engines, None), &input.mix, input.horizon);
    let reason = PlanReason::BelowFloor;
    Some(PlanDecision { change: Some(change), reason, load_now: now, load_after: after })
}

fn best_change(input: &PlanInput, now: f64) -> Option<PlanDecision> {
    let changes = possible_changes(input);
    let (change, after) = least_loaded(input, &changes)?;
    if !pays(input, &change, now, after) {
        return None;
    }
    let reason = match change.to {
        EngineRole::Decode => PlanReason::DecodeOverloaded,
        EngineRole::Prefill | EngineRole::Mixed => PlanReason::PrefillOverloaded,
    };
    Some(PlanDecision { change: Some(change), reason, load_now: now, load_after: after })
}

/// Whether the change saves enough overflow over the horizon, given the engine's unavailability
fn pays(input: &PlanInput, change: &RoleChange, now: f64, after: f64) -> bool {
    let engines = input.engines.iter().filter(|it| it.ready).count() as f64;
    let horizon = input.horizon.as_secs_f64();
    let unavailable_s = input.costs.unavailable.as_secs_f64().min(horizon);
    let others: Vec<PlannedEngine> =
        input.engines.iter().filter(|it| it.engine != change.engine).cloned().collect();
    let during = load(&speeds(&others, None), &input.mix, input.horizon);
    let overflow_without = overflow(now) * engines * horizon;
    let overflow_with = overflow(during) * engines * unavailable_s
        + overflow(after) * engines * (horizon - unavailable_s);
    let saved = overflow_without - overflow_with;
    saved > MIN_GAIN_ENGINE_S && overflow_without > overflow_with * MIN_GAIN_FACTOR
}

/// Fraction of the work that exceeds the bound at a load
fn overflow(load: f64) -> f64 {
    if load <= MAX_LOAD { 0.0 } else { 1.0 - MAX_LOAD / load }
}

fn possible_changes(input: &PlanInput) -> Vec<RoleChange> {
    let mut changes = Vec::new();
    for engine in input.engines.iter().filter(|it| it.ready && it.changeable) {
        for to in [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed] {
            let change = RoleChange { engine: engine.engine.clone(), to };
            if to != engine.role && keeps_floor(input, &change) {
                changes.push(change);
            }
        }
    }
    changes
}

/// Change with the lowest load after it; the fewest requests in flight break ties
fn least_loaded(input: &PlanInput, changes: &[RoleChange]) -> Option<(RoleChange, f64)> {
    let in_flight = |change: &RoleChange| {
        let engine = input.engines.iter().find(|it| it.engine == change.engine);
        engine.map_or(0, |it| it.in_flight)
    };
    let load_of = |change| load(&speeds(&input.engines, Some(change)), &input.mix, input.horizon);
    let mut best: Option<(&RoleChange, f64)> = None;
    for change in changes {
        let advantage = if change.to == EngineRole::Mixed { MIXED_ADVANTAGE } else { 0.0 };
        let after = load_of(change) - advantage;
        let is_better = best
            .is_none_or(|(other, lowest)| (after, in_flight(change)) < (lowest, in_flight(other)));
        if is_better {
            best = Some((change, after));
        }
    }
    best.map(|(change, _)| (change.clone(), load_of(change)))
}
