//! Results of the gateway's policy under patterns of load.

use decide::serving::pick::{GenerationRequest, PlanOutcome, plan_generation};
use googletest::prelude::*;
use loadmodel::arrivals::{LoadPattern, draw_arrivals, scaled_kinds};
use loadmodel::engine::{EngineSpec, ShedRule};
use loadmodel::fleet::{FleetSize, run};
use loadmodel::policy::{ChoicePolicy, InstanceView, policy};
use loadmodel::report::RunReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use testcases::cases;

cases! {
    prompt_swing_with_cold_cache => known_holders_help(LoadPattern::PromptSwing),
    burst_with_cold_cache => known_holders_help(LoadPattern::Burst),
    client_retries_after_refusal => retries_yield(),
    delayed_views_do_not_herd => views_are_late(),
    steady_load_is_served_in_time => steady_is_served(),
    queries_are_served_beside_summaries => queries_are_served(),
    times_of_engines_of_20_tokens_a_millisecond_are_learned => times_are_learned(20.0, 8),
    times_of_engines_of_112_tokens_a_millisecond_are_learned => times_are_learned(112.0, 128),
    times_of_engines_of_942_tokens_a_millisecond_are_learned => times_are_learned(942.0, 6),
    times_of_engines_of_3000_tokens_a_millisecond_are_learned => times_are_learned(3000.0, 8),
    honoured_pauses_avoid_sends_under_overload => pauses_avoid_sends(LoadPattern::Overload),
    pauses_bind_only_who_received_them => shared_pauses_cost(LoadPattern::PromptSwing),
    honoured_pauses_avoid_sends_in_a_burst => pauses_avoid_sends(LoadPattern::Burst),
    one_seed_gives_one_result => runs_repeat(),
}

const SIZE: FleetSize =
    FleetSize { instances: 7, readers: 2, mixed: 5, engine: EngineSpec::REGISTER, shed: None };
const SECONDS: f64 = 15.0;
const SEEDS: u64 = 3;

fn simulate(policy: ChoicePolicy, pattern: LoadPattern, seed: u64) -> RunReport {
    simulate_engines(SIZE.engine, policy, pattern, seed)
}

fn simulate_engines(
    engine: EngineSpec,
    policy: ChoicePolicy,
    pattern: LoadPattern,
    seed: u64,
) -> RunReport {
    simulate_fleet(FleetSize { engine, ..SIZE }, policy, pattern, seed)
}

fn simulate_fleet(
    size: FleetSize,
    policy: ChoicePolicy,
    pattern: LoadPattern,
    seed: u64,
) -> RunReport {
    let kinds = scaled_kinds(&size.engine, size.readers + size.mixed);
    let length = SECONDS * 1000.0 * size.engine.time_scale();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let arrivals = draw_arrivals(&kinds, pattern, size.instances, length, &mut rng);
    run(policy, size, kinds.len(), arrivals, &mut rng)
}

/// Honouring the pauses of engines that shed requests avoids sends that they would shed
fn pauses_avoid_sends(pattern: LoadPattern) -> Result<()> {
    const SHED: ShedRule = ShedRule { waiting: 6, pause_ms: 300 };
    let size = FleetSize { shed: Some(SHED), ..SIZE };
    let shed_sends = |name: &str| -> usize {
        let reports = (0..SEEDS).map(|it| simulate_fleet(size, named(name), pattern, it));
        reports.map(|it| it.shed).sum()
    };
    verify_that!(shed_sends("known_holders"), lt(shed_sends("ignored_pauses")))
}

/// Pauses that all instances keep to leave engines idle, so that fewer summaries are served in time
fn shared_pauses_cost(pattern: LoadPattern) -> Result<()> {
    const SHED: ShedRule = ShedRule { waiting: 2, pause_ms: 300 };
    let size = FleetSize { shed: Some(SHED), ..SIZE };
    let in_time = |name: &str| -> usize {
        let reports = (0..SEEDS).map(|it| simulate_fleet(size, named(name), pattern, it));
        reports.map(|it| it.kinds[0].in_time).sum()
    };
    verify_that!(in_time("shared_pauses"), lt(in_time("known_holders")))
}

fn named(name: &str) -> ChoicePolicy {
    policy(name).expect("a policy of that name")
}

/// Mean fraction of the summaries served in time
fn in_time(policy: ChoicePolicy, pattern: LoadPattern) -> f64 {
    let fractions = (0..SEEDS).map(|it| simulate(policy, pattern, it).kinds[0].in_time_fraction());
    fractions.sum::<f64>() / SEEDS as f64
}

/// With known cache holders, engines read fewer shared tokens and serve more requests in time
fn known_holders_help(pattern: LoadPattern) -> Result<()> {
    for seed in 0..SEEDS {
        let known = simulate(named("known_holders"), pattern, seed);
        let unknown = simulate(named("unknown_holders"), pattern, seed);
        verify_that!(known.read_again, lt(unknown.read_again))?;
        verify_that!(known.kinds[0].in_time, gt(unknown.kinds[0].in_time))?;
    }
    Ok(())
}

fn ignore_client_retry(request: &GenerationRequest<'_>, view: &InstanceView<'_>) -> PlanOutcome {
    let request = GenerationRequest { has_waited: false, ..request.clone() };
    plan_generation(&request, &view.with_caches(view.caches))
}

/// Client retries leave free capacity to first attempts, which can still be in time
fn retries_yield() -> Result<()> {
    let without_yielding =
        ChoicePolicy { name: "retries_equal", plan: ignore_client_retry, ..named("known_holders") };
    let with_yielding = in_time(named("known_holders"), LoadPattern::Overload);
    verify_that!(with_yielding, gt(in_time(without_yielding, LoadPattern::Overload)))
}

/// With views that are 20 ms late, the gateway's policy loses less against fresh views than
/// choosing the least busy engine does
fn views_are_late() -> Result<()> {
    let pattern = LoadPattern::Burst;
    let fresh = in_time(named("fresh_view"), pattern);
    let late = in_time(named("known_holders"), pattern);
    verify_that!(fresh - late, lt(fresh - in_time(named("least_work"), pattern)))?;
    verify_that!(late, gt(0.8 * fresh))
}

/// The engines can serve the users' usual load
fn steady_is_served() -> Result<()> {
    verify_that!(in_time(named("known_holders"), LoadPattern::Steady), gt(0.95))
}

/// Long answers still get batch slots while summaries take all remaining capacity
fn queries_are_served() -> Result<()> {
    for seed in 0..SEEDS {
        let queries = &simulate(named("known_holders"), LoadPattern::Burst, seed).kinds[1];
        verify_that!(queries.in_time + queries.late, ge(queries.asked * 9 / 10))?;
    }
    Ok(())
}

/// Engines differ in speed and batch size; instances know neither and learn their times
fn times_are_learned(read_tokens_per_ms: f64, slots: u32) -> Result<()> {
    let engine = EngineSpec::at_speed(read_tokens_per_ms, slots);
    let report = simulate_engines(engine, named("known_holders"), LoadPattern::Steady, 1);
    verify_that!(report.kinds[0].in_time_fraction(), gt(0.9))?;
    for mut ratios in report.ratios {
        ratios.sort_by(f64::total_cmp);
        verify_that!(ratios.len(), gt(100))?;
        verify_that!(ratios[ratios.len() / 2], all!(ge(0.7), le(1.4)))?;
    }
    Ok(())
}

fn runs_repeat() -> Result<()> {
    let simulate = || simulate(named("known_holders"), LoadPattern::PromptSwing, 1);
    verify_that!(simulate(), eq(&simulate()))
}
