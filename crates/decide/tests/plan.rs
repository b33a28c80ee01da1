//! Role planning: when a change is made, which change, and how many.

use catalogue::EngineRole::{self, Decode, Mixed, Prefill};
use decide::mix::WorkloadMix;
use decide::plan::{
    ChangeCosts, PlanInput, PlanReason, PlannedEngine, RoleChange, RoleFloors, plan_roles,
};
use decide::threshold::plan_roles_by_threshold;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, Strategy, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use smol_str::format_smolstr;
use std::time::Duration;
use testcases::cases;

const PREFILL_SPEED: f64 = 12_000.0;
const DECODE_SPEED: f64 = 1_000.0;
const UNAVAILABLE: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_secs(1);

fn engines(roles: &[EngineRole]) -> Vec<PlannedEngine> {
    let engine = |(index, role): (usize, &EngineRole)| PlannedEngine {
        engine: format_smolstr!("e{index}"),
        zone: "a".into(),
        role: *role,
        ready: true,
        changing: false,
        changeable: true,
        prefill_tokens_per_s: PREFILL_SPEED,
        decode_tokens_per_s: DECODE_SPEED,
        in_flight: index as u32,
    };
    roles.iter().enumerate().map(engine).collect()
}

/// Mix that needs these numbers of engines on each side at full speed
fn mix(prefill: f64, decode: f64) -> WorkloadMix {
    WorkloadMix {
        prompt_tokens_per_s: prefill * PREFILL_SPEED,
        output_tokens_per_s: decode * DECODE_SPEED,
        ..WorkloadMix::default()
    }
}

fn input(roles: &[EngineRole], mix: WorkloadMix) -> PlanInput {
    PlanInput {
        engines: engines(roles),
        mix,
        costs: ChangeCosts {
            unavailable: UNAVAILABLE,
            store_busy: Duration::ZERO,
            since_last_change: None,
        },
        horizon: Duration::from_secs(120),
        floors: RoleFloors { prefill: 1, decode: 1 },
    }
}

const SPLIT: [EngineRole; 7] = [Prefill, Prefill, Decode, Decode, Decode, Decode, Decode];

fn check_stays(change: impl Fn(&mut PlanInput), reason: PlanReason) -> Result<()> {
    let mut input = input(&SPLIT, mix(2.4, 2.0));
    change(&mut input);
    let decision = plan_roles(&input);
    verify_that!((decision.change, decision.reason), eq(&(None, reason)))
}

fn check_change(roles: &[EngineRole], mix: WorkloadMix, from: EngineRole) -> Result<()> {
    let input = input(roles, mix);
    let decision = plan_roles(&input);
    let change = decision.change.or_fail()?;
    let engine = input.engines.iter().find(|it| it.engine == change.engine).or_fail()?;
    verify_that!((engine.role, change.to), eq((from, Mixed)))?;
    verify_that!(decision.load_after, lt(decision.load_now))
}

fn check_floor_is_restored() -> Result<()> {
    let mut input = input(&[Decode, Decode, Decode], mix(0.1, 0.5));
    input.costs.since_last_change = Some(Duration::ZERO);
    let decision = plan_roles(&input);
    verify_that!(decision.change, some(anything()))?;
    verify_that!(decision.reason, eq(PlanReason::BelowFloor))
}

type Planner = fn(&PlanInput) -> decide::plan::PlanDecision;

/// Number of changes over a day whose prompt share alternates between two values
///
/// The planner receives the mix with a delay of two seconds and with some noise.
fn changes_over_swings(roles: &[EngineRole], swings: u32, planner: Planner) -> u32 {
    let mut input = input(roles, WorkloadMix::default());
    let mut pending: Option<(RoleChange, u32)> = None;
    let mut changes = 0;
    let mut since_last_change = 1_000;
    for second in 0..swings * 120 {
        let seen = second.saturating_sub(2);
        let share = if (seen / 120) % 2 == 0 { 0.25 } else { 0.7 };
        let noise = 1.0 + 0.1 * f64::from(second * 7 % 11) / 11.0;
        input.mix = mix(5.0 * share * noise, 5.0 * (1.0 - share) / noise);
        if let Some((change, end)) = pending.take() {
            let engine = input.engines.iter_mut().find(|it| it.engine == change.engine);
            if let Some(engine) = engine {
                (engine.ready, engine.changing) = (second >= end, second < end);
                engine.role = change.to;
            }
            if second < end {
                pending = Some((change, end));
            } else {
                since_last_change = 0;
            }
        }
        since_last_change += TICK.as_secs() as u32;
        input.costs.since_last_change = Some(TICK * since_last_change);
        if let Some(change) = planner(&input).change {
            changes += 1;
            pending = Some((change, second + UNAVAILABLE.as_secs() as u32));
        }
    }
    changes
}

fn check_few_changes(roles: &[EngineRole], swings: u32) -> Result<()> {
    let changes = changes_over_swings(roles, swings, plan_roles);
    verify_that!(changes, le(2 * swings))
}

fn check_fewer_than_thresholds() -> Result<()> {
    let planned = changes_over_swings(&SPLIT, 8, plan_roles);
    let by_threshold = changes_over_swings(&SPLIT, 8, plan_roles_by_threshold);
    verify_that!(planned, lt(by_threshold))
}

cases! {
    within_bounds => check_stays(|it| it.mix = mix(1.2, 3.0), PlanReason::WithinBounds),
    change_under_way => check_stays(|it| it.engines[0].changing = true, PlanReason::ChangeUnderWay),
    store_is_busy => check_stays(
        |it| it.costs.store_busy = Duration::from_secs(1),
        PlanReason::StoreBusy
    ),
    last_change_is_recent => check_stays(
        |it| it.costs.since_last_change = Some(UNAVAILABLE),
        PlanReason::TooSoon
    ),
    horizon_too_short_to_pay => check_stays(
        |it| it.horizon = UNAVAILABLE,
        PlanReason::NoGain
    ),
    nothing_changeable => check_stays(
        |it| it.engines.iter_mut().for_each(|it| it.changeable = false),
        PlanReason::NoGain
    ),
    too_many_prompts => check_change(&SPLIT, mix(2.4, 2.0), Decode),
    too_much_output => check_change(&[Prefill, Prefill, Prefill, Decode], mix(1.0, 1.2), Prefill),
    floor_is_restored => check_floor_is_restored(),
    few_changes_from_a_split => check_few_changes(&SPLIT, 8),
    no_change_of_mixed_engines => {
        verify_that!(changes_over_swings(&[Mixed; 7], 8, plan_roles), eq(0))
    },
    fewer_changes_than_thresholds => check_fewer_than_thresholds(),
}

fn roles() -> impl Strategy<Value = Vec<EngineRole>> {
    let role = (0..3_usize).prop_map(|it| [Prefill, Decode, Mixed][it]);
    proptest::collection::vec(role, 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn a_change_keeps_the_floors_and_does_not_raise_the_load(
        roles in roles(),
        prefill in 0.0..8.0,
        decode in 0.0..8.0,
    ) {
        let input = input(&roles, mix(prefill, decode));
        let decision = plan_roles(&input);
        let Some(change) = decision.change else {
            return Ok(());
        };
        let mut after = input.engines;
        for engine in after.iter_mut().filter(|it| it.engine == change.engine) {
            prop_assert!(engine.role != change.to);
            engine.role = change.to;
        }
        let count = |keep: fn(EngineRole) -> bool| after.iter().filter(|it| keep(it.role)).count();
        prop_assert!(count(EngineRole::prefills) >= 1 && count(EngineRole::decodes) >= 1);
        let restores_floor = decision.reason == PlanReason::BelowFloor;
        prop_assert!(restores_floor || decision.load_after <= decision.load_now);
    }
}
