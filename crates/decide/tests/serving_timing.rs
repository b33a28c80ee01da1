//! Learned times of engines of any speed, and what follows from them for the choice.

use catalogue::EngineRole;
use catalogue::id::EndpointId;
use decide::serving::cache::PromptCaches;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::load::FleetLoad;
use decide::serving::pick::{
    EngineView, GenerationPlan, GenerationRequest, PlanOutcome, PromptProgress, plan_generation,
};
use decide::serving::prompt::{PromptPart, PromptShape};
use decide::serving::timing::{PoolTiming, StageSample, TimedStage};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    engines_of_20_tokens_a_millisecond_are_learned => speed_is_learned(20.0),
    engines_of_112_tokens_a_millisecond_are_learned => speed_is_learned(112.0),
    engines_of_942_tokens_a_millisecond_are_learned => speed_is_learned(942.0),
    engines_of_3000_tokens_a_millisecond_are_learned => speed_is_learned(3000.0),
    changed_speed_is_learned_again => change_is_learned(),
    outliers_do_not_move_the_times => outliers_are_ignored(),
    prompts_of_one_size_keep_the_time_per_token => one_size_fits(),
    overload_leaves_the_times_as_they_were => overload_is_not_timed(),
    flooded_engines_are_learned_from_loaded_sends => flood_is_timed(),
    stale_counts_of_quick_engines_are_discounted => waits_are_learned(),
    estimate_that_refuses_everything_expires => estimate_expires(),
    slow_engine_is_avoided_and_tried_again => slow_engine(),
    largest_prompts_on_slow_engines_are_served_late => large_is_served_late(),
    largest_prompts_yield_to_a_queue => large_yields(),
    reading_beside_streams_with_short_pauses_is_avoided => pauses_are_kept(),
    full_engines_are_avoided_since_they_preempt => preemption_is_avoided(),
    full_batch_waits_as_long_as_generations_hold_slots => slots_are_waited_for(),
}

const ENGINE: &str = "m0";

fn sample(stage: TimedStage, tokens: u32, took_ms: f64) -> StageSample {
    StageSample { stage, tokens, took_ms: took_ms as f32, is_loaded: false }
}

/// Records samples on a line, one each 20 ms; returns the time after the last one
fn learn(
    timing: &mut PoolTiming,
    stage: TimedStage,
    (fixed_ms, tokens_per_ms): (f64, f64),
    count: u32,
    start: Instant,
) -> Instant {
    let mut at = start;
    for number in 0..count {
        let tokens = 300 + number * 7919 % 9000;
        // Noise of a tenth, as on a machine with other work.
        let noise = 0.9 + 0.2 * f64::from(number % 5) / 4.0;
        let took_ms = (fixed_ms + f64::from(tokens) / tokens_per_ms) * noise;
        timing.record(&ENGINE.into(), sample(stage, tokens, took_ms), at);
        at += Duration::from_millis(20);
    }
    at
}

/// Ratio of the real to the expected time
fn ratio(
    timing: &PoolTiming,
    stage: TimedStage,
    line: (f64, f64),
    (tokens, now): (f64, Instant),
) -> f64 {
    (line.0 + tokens / line.1) / timing.stage(stage, now).ms(tokens)
}

/// 40 sends, which one of hundreds of instances hears of within seconds, are enough
fn speed_is_learned(tokens_per_ms: f64) -> Result<()> {
    let line = (3000.0 / tokens_per_ms + 2.0, tokens_per_ms);
    for stage in [TimedStage::Whole, TimedStage::Prefill, TimedStage::Decode, TimedStage::Fetch] {
        let mut timing = PoolTiming::default();
        let now = learn(&mut timing, stage, line, 40, Instant::now());
        for tokens in [500.0, 3000.0, 12_000.0] {
            let ratio = ratio(&timing, stage, line, (tokens, now));
            verify_that!(ratio, all!(ge(0.7), le(1.4)))?;
        }
    }
    Ok(())
}

fn change_is_learned() -> Result<()> {
    let mut timing = PoolTiming::default();
    let at = learn(&mut timing, TimedStage::Prefill, (8.0, 660.0), 100, Instant::now());
    let slow = (40.0, 60.0);
    let now = learn(&mut timing, TimedStage::Prefill, slow, 70, at);
    verify_that!(ratio(&timing, TimedStage::Prefill, slow, (3000.0, now)), all!(ge(0.7), le(1.4)))
}

/// Every fifth send meets a lost packet or a slow engine
fn outliers_are_ignored() -> Result<()> {
    let mut timing = PoolTiming::default();
    let line = (40.0, 56.0);
    let mut at = Instant::now();
    for number in 0..100 {
        let tokens = 300 + number * 7919 % 9000;
        let took_ms = line.0 + f64::from(tokens) / line.1;
        let took_ms = if number % 5 == 0 { took_ms + 1000.0 } else { took_ms };
        timing.record(&ENGINE.into(), sample(TimedStage::Whole, tokens, took_ms), at);
        at += Duration::from_millis(20);
    }
    verify_that!(ratio(&timing, TimedStage::Whole, line, (3000.0, at)), all!(ge(0.7), le(1.4)))
}

fn one_size_fits() -> Result<()> {
    let mut timing = PoolTiming::default();
    let mut at = Instant::now();
    let initial = timing.stage(TimedStage::Whole, at).ms_per_token;
    for _ in 0..100 {
        timing.record(&ENGINE.into(), sample(TimedStage::Whole, 1100, 60.0), at);
        at += Duration::from_millis(20);
    }
    verify_that!(timing.stage(TimedStage::Whole, at).ms(1100.0), near(60.0, 1.0))?;
    verify_that!(timing.stage(TimedStage::Whole, at).ms_per_token, near(initial, initial))
}

fn engine(id: &str, role: EngineRole, slots: u32) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "engines".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "zone-a".into(),
        version: "v1".into(),
        slots,
        is_ready: true,
        role: Some(role),
        started_at_ms: 1,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    }
}

/// Request with one part of its own, so that no engine holds any of it
fn prompt(tokens: u32) -> PromptShape {
    let parts = vec![PromptPart { id: "own".into(), tokens }];
    PromptShape { prompt_tokens: tokens, output_tokens: 100, parts }
}

/// Times of engines that read 60 tokens in a millisecond, 40 beside decoding
fn slow_timing(now: Instant) -> PoolTiming {
    let mut timing = PoolTiming::default();
    learn(&mut timing, TimedStage::Whole, (40.0, 40.0), 64, now);
    learn(&mut timing, TimedStage::Prefill, (32.0, 60.0), 64, now);
    learn(&mut timing, TimedStage::Decode, (26.0, 1200.0), 64, now);
    timing
}

fn plan(
    engines: &[ListedEndpoint],
    load: &FleetLoad,
    timing: &PoolTiming,
    prompt: &PromptShape,
    (pause_ms, now): (u64, Instant),
) -> PlanOutcome {
    let zone = "zone-a".into();
    let request = GenerationRequest {
        prompt,
        zone: &zone,
        excluded: &[],
        objective: Duration::from_millis(500),
        pause_limit: Some(Duration::from_millis(pause_ms)),
        time_left: Duration::from_secs(5),
        progress: PromptProgress::Unread,
        has_waited: false,
        draw: 1,
    };
    let view =
        EngineView { endpoints: engines, load, caches: &PromptCaches::default(), timing, now };
    plan_generation(&request, &view)
}

/// Time that a whole generation of 2,000 tokens is expected to take
fn expected_ms(timing: &PoolTiming, now: Instant) -> f64 {
    timing.stage(TimedStage::Whole, now).ms(2000.0)
}

/// Sends that wait for other prompts leave the times alone while there are others
fn overload_is_not_timed() -> Result<()> {
    let now = Instant::now();
    let mut timing = slow_timing(now);
    let engines = [engine(ENGINE, EngineRole::Mixed, 128)];
    let mut load = FleetLoad::default();
    load.record_sent(&ENGINE.into(), 4000);
    let outcome = plan(&engines, &load, &timing, &prompt(2000), (400, now));
    let PlanOutcome::Plan(GenerationPlan::Whole(pick)) = outcome else {
        return fail!("no plan: {outcome:?}");
    };
    let sample = pick.sample(Duration::from_secs(3)).expect("a sample");
    verify_that!(sample.is_loaded, eq(true))?;
    let before = expected_ms(&timing, now);
    for number in 0..100 {
        let at = now + Duration::from_millis(1300 + 10 * number);
        timing.record(&ENGINE.into(), sample, at);
    }
    verify_that!(expected_ms(&timing, now + Duration::from_secs(2)), near(before, 0.1))
}

/// Engines ten times slower than the initial estimate are never found idle
fn flood_is_timed() -> Result<()> {
    let mut timing = PoolTiming::default();
    let mut at = Instant::now();
    for number in 0..40 {
        let tokens = 2000 + 3000 * number;
        let sample = StageSample {
            is_loaded: true,
            ..sample(TimedStage::Whole, tokens, f64::from(tokens) / 10.0)
        };
        timing.record(&ENGINE.into(), sample, at);
        at += Duration::from_millis(100);
    }
    verify_that!(expected_ms(&timing, at), all!(ge(150.0), le(300.0)))
}

/// Work of other instances is already done when its count arrives
fn waits_are_learned() -> Result<()> {
    let mut timing = PoolTiming::default();
    (0..100).for_each(|_| timing.record_wait(10.0, 20.0, Duration::from_millis(12)));
    verify_that!(timing.wait_factor(), near(0.3, 0.01))?;
    // Waits that are not counted at all must not make engines look slow without limit.
    (0..1000).for_each(|_| timing.record_wait(10.0, 20.0, Duration::from_millis(900)));
    verify_that!(timing.wait_factor(), near(1.5, 0.01))
}

fn estimate_expires() -> Result<()> {
    let mut timing = PoolTiming::default();
    let initial = expected_ms(&timing, Instant::now());
    let at = learn(&mut timing, TimedStage::Whole, (9000.0, 1.0), 64, Instant::now());
    verify_that!(expected_ms(&timing, at), gt(9000.0))?;
    verify_that!(expected_ms(&timing, at + Duration::from_secs(20)), eq(initial))
}

fn whole(outcome: PlanOutcome) -> EndpointId {
    match outcome {
        PlanOutcome::Plan(GenerationPlan::Whole(pick)) => pick.endpoint,
        other => panic!("plan is not on one engine: {other:?}"),
    }
}

/// One of two engines takes five times as long as the other, and recovers
fn slow_engine() -> Result<()> {
    let start = Instant::now();
    let mut timing = slow_timing(start);
    let engines = [engine("m0", EngineRole::Mixed, 128), engine("m1", EngineRole::Mixed, 128)];
    let load = FleetLoad::default();
    let mut at = start + Duration::from_secs(2);
    let home = whole(plan(&engines, &load, &timing, &prompt(2000), (400, at)));
    for _ in 0..8 {
        timing.record(&home, sample(TimedStage::Whole, 2000, 5.0 * 90.0), at);
        at += Duration::from_millis(50);
    }
    verify_that!(timing.factor(&home, at), ge(2.0))?;
    verify_that!(whole(plan(&engines, &load, &timing, &prompt(2000), (400, at))), not(eq(&home)))?;
    let later = at + Duration::from_secs(15);
    verify_that!(timing.factor(&home, later), le(1.1))?;
    // The other engine is busy, which wouldn't be enough while the first one is slow.
    let mut load = FleetLoad::default();
    engines.iter().filter(|it| it.id != home).for_each(|it| load.record_sent(&it.id, 2000));
    verify_that!(whole(plan(&engines, &load, &timing, &prompt(2000), (400, at))), not(eq(&home)))?;
    verify_that!(whole(plan(&engines, &load, &timing, &prompt(2000), (400, later))), eq(&home))
}

/// Reading 40,000 tokens takes longer than the objective on any of these engines
fn large_is_served_late() -> Result<()> {
    let now = Instant::now();
    let engines = [engine("m0", EngineRole::Mixed, 128), engine("p0", EngineRole::Prefill, 128)];
    let outcome =
        plan(&engines, &FleetLoad::default(), &slow_timing(now), &prompt(40_000), (400, now));
    let PlanOutcome::Plan(plan) = outcome else {
        return fail!("refused: {outcome:?}");
    };
    verify_that!(plan.expected_ms(), all!(gt(500.0), lt(2500.0)))
}

fn large_yields() -> Result<()> {
    let now = Instant::now();
    let engines = [engine("m0", EngineRole::Mixed, 128), engine("p0", EngineRole::Prefill, 128)];
    let mut load = FleetLoad::default();
    engines.iter().for_each(|it| load.record_sent(&it.id, 40_000));
    let outcome = plan(&engines, &load, &slow_timing(now), &prompt(40_000), (400, now));
    verify_that!(outcome, matches_pattern!(PlanOutcome::Full(anything())))
}

/// Reading delays the streams that run beside it. That matters where their pauses have little slack.
fn pauses_are_kept() -> Result<()> {
    let now = Instant::now();
    let engines = [engine("m0", EngineRole::Mixed, 128), engine("p0", EngineRole::Prefill, 128)];
    let mut load = FleetLoad::default();
    (0..3).for_each(|_| load.record_sent(&"m0".into(), 0));
    let mut timing = slow_timing(now);
    (0..200).for_each(|_| timing.record_pause(Duration::from_millis(60)));
    let prompt = prompt(1500);
    let beside = plan(&engines, &load, &timing, &prompt, (1000, now));
    verify_that!(
        beside,
        matches_pattern!(PlanOutcome::Plan(matches_pattern!(GenerationPlan::Whole(anything()))))
    )?;
    let apart = plan(&engines, &load, &timing, &prompt, (70, now));
    verify_that!(
        apart,
        matches_pattern!(PlanOutcome::Plan(matches_pattern!(GenerationPlan::Split { .. })))
    )
}

/// A full engine preempts a running stream for a more urgent request, so one with a free slot is
/// preferred although it has more to read
fn preemption_is_avoided() -> Result<()> {
    let now = Instant::now();
    let engines = [engine("m0", EngineRole::Mixed, 8), engine("m1", EngineRole::Mixed, 8)];
    let mut load = FleetLoad::default();
    (0..8).for_each(|_| load.record_sent(&"m0".into(), 0));
    (0..7).for_each(|_| load.record_sent(&"m1".into(), 200));
    let mut timing = slow_timing(now);
    (0..200).for_each(|_| timing.record_hold(Duration::from_millis(100)));
    let picked = whole(plan(&engines, &load, &timing, &prompt(1000), (1000, now)));
    verify_that!(picked.as_str(), eq("m1"))
}

fn slots_are_waited_for() -> Result<()> {
    let now = Instant::now();
    let engines = [engine("m0", EngineRole::Mixed, 8)];
    let mut load = FleetLoad::default();
    (0..12).for_each(|_| load.record_sent(&"m0".into(), 0));
    let mut timing = slow_timing(now);
    (0..200).for_each(|_| timing.record_hold(Duration::from_millis(160)));
    let outcome = plan(&engines, &load, &timing, &prompt(1000), (400, now));
    let PlanOutcome::Plan(plan) = outcome else {
        return fail!("refused: {outcome:?}");
    };
    // Five requests more than slots, each of which is free every 20 ms.
    verify_that!(plan.expected_ms() - plan.own_ms(), all!(ge(90.0), le(130.0)))
}
