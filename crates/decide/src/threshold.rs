//! Threshold rule for engine roles, the baseline for `plan`.
//!
//! When the load of one side (prefill or decode) is above the upper bound and that of the
//! other side below the lower bound, an engine changes from the idle to the busy side. The
//! rule ignores the horizon, the cost of an unavailable engine, and mixed engines.

use crate::plan::{PlanDecision, PlanInput, PlanReason, PlannedEngine, RoleChange};
use catalogue::EngineRole;

/// Load of a side above which an engine is added to it.
const UPPER_LOAD: f64 = 0.85;
/// Load of a side below which an engine may be taken from it.
const LOWER_LOAD: f64 = 0.7;

/// Plans at most one change by the thresholds
pub fn plan_roles_by_threshold(input: &PlanInput) -> PlanDecision {
    let mix = &input.mix;
    let prefill = side_load(input, EngineRole::Prefill, mix.prompt_tokens_per_s);
    let decode = side_load(input, EngineRole::Decode, mix.output_tokens_per_s);
    let load_now = prefill.max(decode);
    let decided = |change, reason| PlanDecision { change, reason, load_now, load_after: load_now };
    if input.engines.iter().any(|it| it.changing) {
        return decided(None, PlanReason::ChangeUnderWay);
    }
    if prefill > UPPER_LOAD && decode < LOWER_LOAD {
        let change = change_between(input, EngineRole::Decode, EngineRole::Prefill);
        return decided(change, PlanReason::PrefillOverloaded);
    }
    if decode > UPPER_LOAD && prefill < LOWER_LOAD {
        let change = change_between(input, EngineRole::Prefill, EngineRole::Decode);
        return decided(change, PlanReason::DecodeOverloaded);
    }
    decided(None, PlanReason::WithinBounds)
}

fn side_load(input: &PlanInput, role: EngineRole, tokens_per_s: f64) -> f64 {
    let speed = |it: &PlannedEngine| match role {
        EngineRole::Decode => it.decode_tokens_per_s,
        EngineRole::Prefill | EngineRole::Mixed => it.prefill_tokens_per_s,
    };
    let ready = input.engines.iter().filter(|it| it.ready && it.role == role);
    let total: f64 = ready.map(speed).sum();
    if total > 0.0 { tokens_per_s / total } else { 0.0 }
}

/// Change of the engine with the fewest requests in flight; `None` if the role is at its floor
fn change_between(input: &PlanInput, from: EngineRole, to: EngineRole) -> Option<RoleChange> {
    let floor = match from {
        EngineRole::Decode => input.floors.decode,
        EngineRole::Prefill | EngineRole::Mixed => input.floors.prefill,
    };
    let candidates: Vec<&PlannedEngine> =
        input.engines.iter().filter(|it| it.changeable && it.role == from).collect();
    if candidates.len() <= floor {
        return None;
    }
    let idlest = candidates.into_iter().min_by_key(|it| it.in_flight)?;
    Some(RoleChange { engine: idlest.engine.clone(), to })
}
