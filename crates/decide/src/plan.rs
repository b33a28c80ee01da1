//! Planning of engine roles.
//!
//! The measured mix gives the seconds of prefill and of decode work that arrive each
//! second. A division of the engines into roles is as good as its most loaded side.
//! A change is worth it when the work that would overflow during the horizon without
//! it exceeds, by a margin, what overflows with it while the engine is away. Mixed
//! engines serve any mix, as routing parts them into readers and writers, so a change
//! to mixed is preferred to one that the next mix would undo. Nothing depends on the
//! time of day.

use crate::mix::MixFigures;
use catalogue::EngineRole;
use catalogue::id::{EndpointId, ZoneName};
use std::time::Duration;

/// Load of a side up to which its work is in time.
const LOAD_BOUND: f64 = 0.85;
/// Overflow, in engine-seconds over the horizon, below which nothing is changed.
const MIN_GAIN_ENGINE_S: f64 = 1.0;
/// Factor by which the gain must exceed the cost of being away.
const GAIN_FACTOR: f64 = 1.5;
/// Load by which a mixed engine may be worse and still be taken, since it serves the next
/// mix as well.
const MIXED_ADVANTAGE: f64 = 0.1;

/// Engine as the planner sees it
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFigures {
    /// Engine
    pub engine: EndpointId,
    /// Its availability zone
    pub zone: ZoneName,
    /// Role it plays or is changing to
    pub role: EngineRole,
    /// Whether it serves now
    pub ready: bool,
    /// Whether a change of it is under way
    pub changing: bool,
    /// Whether it may be ordered to change
    pub changeable: bool,
    /// Prompt tokens read a second when busy
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated a second when its batch is full
    pub decode_tokens_per_s: f64,
    /// Requests in flight there
    pub in_flight: u32,
}

/// Cost of a change
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeCosts {
    /// Time that an engine is away to change its role, drain included
    pub away: Duration,
    /// Time that the weight store needs before it could serve another load
    pub store_busy: Duration,
    /// Time since the last change of the pool ended; `None` if none is known
    pub since_last: Option<Duration>,
}

/// Least engines of each role
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleFloors {
    /// Engines that read prompts
    pub prefill: usize,
    /// Engines that generate
    pub decode: usize,
}

/// All that a planning step looks at
#[derive(Debug, Clone, PartialEq)]
pub struct PlanInput {
    /// Engines of the pool
    pub engines: Vec<EngineFigures>,
    /// Measured mix
    pub mix: MixFigures,
    /// Cost of a change
    pub costs: ChangeCosts,
    /// Time over which a change must pay
    pub horizon: Duration,
    /// Least engines of each role
    pub floors: RoleFloors,
}

/// Change of one engine's role
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Engine
    pub engine: EndpointId,
    /// Role it is to play
    pub to: EngineRole,
}

/// Why a planning step decided as it did
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(displaydoc::Display)]
pub enum PlanReason {
    /// another change is under way
    ChangeUnderWay,
    /// last change is too recent
    TooSoon,
    /// weight store is busy
    StoreBusy,
    /// both sides are within bounds
    WithinBounds,
    /// no change pays within the horizon
    NoGain,
    /// a role lacks its least number of engines
    BelowFloor,
    /// prefill is over its bound
    PrefillOverloaded,
    /// decode is over its bound
    DecodeOverloaded,
}

/// Decision of one planning step
#[derive(Debug, Clone, PartialEq)]
pub struct PlanDecision {
    /// Change to make, if any
    pub change: Option<RoleChange>,
    /// Why
    pub reason: PlanReason,
    /// Load of the busier side now, 1 at its full speed
    pub load_now: f64,
    /// Load of the busier side once the change is made
    pub load_after: f64,
}

/// Speeds of the two sides, in tokens a second
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct PoolSpeeds {
    prefill: f64,
    decode: f64,
    mixed_prefill: f64,
    mixed_decode: f64,
    prefills: usize,
    decodes: usize,
}

/// Plans at most one change for the pool
pub fn plan_roles(input: &PlanInput) -> PlanDecision {
    let now = load(&speeds(&input.engines, None), &input.mix, input.horizon);
    let stay = |reason| PlanDecision { change: None, reason, load_now: now, load_after: now };
    if input.engines.iter().any(|it| it.changing) {
        return stay(PlanReason::ChangeUnderWay);
    }
    if !input.costs.store_busy.is_zero() {
        return stay(PlanReason::StoreBusy);
    }
    if is_below_floor(input) {
        return restore_floor(input).unwrap_or_else(|| stay(PlanReason::NoGain));
    }
    if input.costs.since_last.is_some_and(|it| it < dwell(&input.costs)) {
        return stay(PlanReason::TooSoon);
    }
    if now <= LOAD_BOUND {
        return stay(PlanReason::WithinBounds);
    }
    best_change(input, now).unwrap_or_else(|| stay(PlanReason::NoGain))
}

/// Least time between two changes of a pool
fn dwell(costs: &ChangeCosts) -> Duration {
    costs.away * 2
}

fn speeds(engines: &[EngineFigures], change: Option<&RoleChange>) -> PoolSpeeds {
    let mut sum = PoolSpeeds::default();
    for engine in engines.iter().filter(|it| it.ready) {
        let changed = change.filter(|it| it.engine == engine.engine);
        match changed.map_or(engine.role, |it| it.to) {
            EngineRole::Prefill => {
                sum.prefill += engine.prefill_tokens_per_s;
                sum.prefills += 1;
            }
            EngineRole::Decode => {
                sum.decode += engine.decode_tokens_per_s;
                sum.decodes += 1;
            }
            EngineRole::Mixed => {
                sum.mixed_prefill += engine.prefill_tokens_per_s;
                sum.mixed_decode += engine.decode_tokens_per_s;
                sum.prefills += 1;
                sum.decodes += 1;
            }
        }
    }
    sum
}

/// Load of the busier side when mixed engines divide their time in the best way
fn load(speeds: &PoolSpeeds, mix: &MixFigures, horizon: Duration) -> f64 {
    let seconds = horizon.as_secs_f64().max(1.0);
    let prompt = mix.prompt_tokens_per_s + mix.queued_prompt_tokens / seconds;
    let output = mix.output_tokens_per_s + mix.queued_output_tokens / seconds;
    let all_prefill = ratio(prompt, speeds.prefill + speeds.mixed_prefill);
    let all_decode = ratio(output, speeds.decode + speeds.mixed_decode);
    if speeds.mixed_prefill == 0.0 {
        return all_prefill.max(all_decode);
    }
    // With x of the mixed time given to prompts both sides are equally loaded at
    // u = (prompt / mp + output / md) / (prefill / mp + decode / md + 1).
    let work = prompt / speeds.mixed_prefill + output / speeds.mixed_decode;
    let room = speeds.prefill / speeds.mixed_prefill + speeds.decode / speeds.mixed_decode + 1.0;
    (work / room).max(all_prefill).max(all_decode)
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
    speeds.prefills < input.floors.prefill || speeds.decodes < input.floors.decode
}

fn keeps_floor(input: &PlanInput, change: &RoleChange) -> bool {
    let speeds = speeds(&input.engines, Some(change));
    speeds.prefills >= input.floors.prefill && speeds.decodes >= input.floors.decode
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

/// Whether what the change saves over the horizon exceeds what being away costs
fn pays(input: &PlanInput, change: &RoleChange, now: f64, after: f64) -> bool {
    let engines = input.engines.iter().filter(|it| it.ready).count() as f64;
    let horizon = input.horizon.as_secs_f64();
    let away = input.costs.away.as_secs_f64().min(horizon);
    let without: Vec<EngineFigures> =
        input.engines.iter().filter(|it| it.engine != change.engine).cloned().collect();
    let during = load(&speeds(&without, None), &input.mix, input.horizon);
    let stay = overflow(now) * engines * horizon;
    let go = overflow(during) * engines * away + overflow(after) * engines * (horizon - away);
    let saved = stay - go;
    saved > MIN_GAIN_ENGINE_S && stay > go * GAIN_FACTOR
}

/// Part of the work that doesn't fit at a load
fn overflow(load: f64) -> f64 {
    if load <= LOAD_BOUND { 0.0 } else { 1.0 - LOAD_BOUND / load }
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

/// Change with the least load after it; among equals the engine with least in flight
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
            .is_none_or(|(other, least)| (after, in_flight(change)) < (least, in_flight(other)));
        if is_better {
            best = Some((change, after));
        }
    }
    best.map(|(change, _)| (change.clone(), load_of(change)))
}
