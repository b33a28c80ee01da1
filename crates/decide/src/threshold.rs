//! Threshold rule for roles, the baseline that planning is measured against.
//!
//! When one side is loaded above the upper bound and the other below the lower one,
//! an engine of the idle side changes to the busy one. It knows no horizon, no cost
//! of being away and no mixed engines.

use crate::plan::{EngineFigures, PlanDecision, PlanInput, PlanReason, RoleChange};
use catalogue::EngineRole;

/// Load above which a side asks for an engine.
const UPPER_LOAD: f64 = 0.85;
/// Load below which a side gives one up.
const LOWER_LOAD: f64 = 0.7;

/// Plans at most one change by thresholds alone
pub fn threshold_roles(input: &PlanInput) -> PlanDecision {
    let mix = &input.mix;
    let prefill = side_load(input, EngineRole::Prefill, mix.prompt_tokens_per_s);
    let decode = side_load(input, EngineRole::Decode, mix.output_tokens_per_s);
    let load_now = prefill.max(decode);
    let decided = |change, reason| PlanDecision { change, reason, load_now, load_after: load_now };
    if input.engines.iter().any(|it| it.changing) {
        return decided(None, PlanReason::ChangeUnderWay);
    }
    if prefill > UPPER_LOAD && decode < LOWER_LOAD {
        let change = taken_from(input, EngineRole::Decode, EngineRole::Prefill);
        return decided(change, PlanReason::PrefillOverloaded);
    }
    if decode > UPPER_LOAD && prefill < LOWER_LOAD {
        let change = taken_from(input, EngineRole::Prefill, EngineRole::Decode);
        return decided(change, PlanReason::DecodeOverloaded);
    }
    decided(None, PlanReason::WithinBounds)
}

fn side_load(input: &PlanInput, role: EngineRole, tokens_per_s: f64) -> f64 {
    let speed = |it: &EngineFigures| match role {
        EngineRole::Decode => it.decode_tokens_per_s,
        EngineRole::Prefill | EngineRole::Mixed => it.prefill_tokens_per_s,
    };
    let ready = input.engines.iter().filter(|it| it.ready && it.role == role);
    let total: f64 = ready.map(speed).sum();
    if total > 0.0 { tokens_per_s / total } else { 0.0 }
}

/// Change of the engine of a role with the least in flight, if the floor allows it
fn taken_from(input: &PlanInput, from: EngineRole, to: EngineRole) -> Option<RoleChange> {
    let floor = match from {
        EngineRole::Decode => input.floors.decode,
        EngineRole::Prefill | EngineRole::Mixed => input.floors.prefill,
    };
    let candidates: Vec<&EngineFigures> =
        input.engines.iter().filter(|it| it.changeable && it.role == from).collect();
    if candidates.len() <= floor {
        return None;
    }
    let idlest = candidates.into_iter().min_by_key(|it| it.in_flight)?;
    Some(RoleChange { engine: idlest.engine.clone(), to })
}
