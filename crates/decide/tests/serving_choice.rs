//! Choice of endpoints under patterns of load.

use catalogue::EngineRole;
use catalogue::id::EndpointId;
use decide::serving::cache::PromptCaches;
use decide::serving::deadline::DeadlinePeak;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::load::{FleetLoad, WorkCount};
use decide::serving::pick::{
    EnginePick, EngineView, GenerationPlan, GenerationRequest, PlanOutcome, PromptProgress,
    pick_service, plan_generation,
};
use decide::serving::prompt::{PromptPart, PromptShape};
use decide::serving::timing::{PoolTiming, StageSample, TimedStage};
use googletest::prelude::*;
use indexmap::IndexMap;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    idle_engines_share_prompts_by_affinity => affinity_is_stable(),
    prompts_with_a_common_prefix_spread_by_their_own_parts => affinity_spreads(),
    largest_prompts_are_served_while_there_is_capacity => largest_is_served(),
    long_prompts_under_load_go_to_prefill_engines => burst_is_split(),
    short_prompts_stay_on_one_engine => short_is_whole(),
    long_outputs_stay_on_one_engine => long_output_is_whole(),
    overload_is_refused_at_once => overload_is_refused(),
    burst_that_clears_in_time_is_served => burst_is_served(),
    client_retries_yield_to_first_attempts => client_retry(),
    client_retries_are_served_while_there_is_capacity => client_retry_with_capacity(),
    queue_of_another_instance_is_avoided => peers_work_counts(),
    unresponsive_instance_no_longer_counts => unresponsive_peer(),
    held_prompt_goes_to_the_least_loaded_engine => held_prompt(),
    lost_prompt_is_not_read_separately_again => lost_prompt(),
    no_engine_is_distinguished_from_full_engines => no_engine(),
    excluded_engine_is_not_tried_again => excluded(),
    service_in_the_own_zone_is_preferred => own_zone_first(),
    busy_service_in_the_own_zone_is_skipped => other_zone_when_busy(),
    instances_with_one_stale_view_do_not_herd => herd(),
    returning_session_goes_to_the_engine_that_holds_it => session_returns(),
    busy_holder_is_fetched_from => holder_is_fetched_from(),
    cold_session_counts_as_unread => cold_session(),
    restarted_engine_holds_nothing => holder_restarted(),
    evicted_session_is_not_expected => holder_is_small(),
    sessions_under_uneven_load_are_read_once => sessions_are_read_once(),
    client_retries_are_detected_by_their_time_left => time_left(),
}

/// Cache capacity of an engine, in tokens; from the engine specification
const CACHE_TOKENS: u64 = 2_000_000;

fn engine(id: &str, role: EngineRole) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "engines".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "zone-a".into(),
        version: "v1".into(),
        slots: 6,
        is_ready: true,
        role: Some(role),
        started_at_ms: 1,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    }
}

fn service(id: &str, zone: &str) -> ListedEndpoint {
    ListedEndpoint { zone: zone.into(), role: None, ..engine(id, EngineRole::Mixed) }
}

/// Fleet of a typical site: five mixed and two prefill engines
fn fleet() -> Vec<ListedEndpoint> {
    let mut engines =
        (0..5).map(|it| engine(&format!("m{it}"), EngineRole::Mixed)).collect::<Vec<_>>();
    engines.extend((0..2).map(|it| engine(&format!("p{it}"), EngineRole::Prefill)));
    engines
}

fn prompt(session: usize, own: u32, output: u32) -> PromptShape {
    let part = |id: String, tokens| PromptPart { id: id.into(), tokens };
    PromptShape {
        prompt_tokens: 6300 + own,
        output_tokens: output,
        parts: vec![
            part("start".into(), 2520),
            part(format!("session-{session}"), 3780),
            part(format!("own-{session}-{own}"), own),
        ],
    }
}

/// Times of engines that read 660 tokens in a millisecond, 290 beside decoding
fn register_timing(now: Instant) -> PoolTiming {
    let mut timing = PoolTiming::default();
    let engine = EndpointId::from("any");
    for number in 0..80 {
        let at = now + Duration::from_millis(20 * number);
        let tokens = 150 * number as u32;
        let lines = [
            (TimedStage::Whole, 8.5, 290.0),
            (TimedStage::Prefill, 7.4, 660.0),
            (TimedStage::Decode, 6.0, 3400.0),
            (TimedStage::Fetch, 2.0, 6000.0),
        ];
        for (stage, fixed_ms, tokens_per_ms) in lines {
            let took_ms = fixed_ms + f64::from(tokens) / tokens_per_ms;
            timing.record(
                &engine,
                StageSample { stage, tokens, took_ms: took_ms as f32, is_loaded: false },
                at,
            );
        }
    }
    timing
}

fn planned(
    request: &GenerationRequest<'_>,
    endpoints: &[ListedEndpoint],
    load: &FleetLoad,
    caches: &PromptCaches,
) -> PlanOutcome {
    let now = Instant::now();
    let timing = register_timing(now);
    let view =
        EngineView { endpoints, load, caches, timing: &timing, now: now + Duration::from_secs(2) };
    plan_generation(request, &view)
}

fn plan_with(
    load: &FleetLoad,
    prompt: &PromptShape,
    change: impl Fn(&mut GenerationRequest<'_>),
) -> PlanOutcome {
    let zone = "zone-a".into();
    let mut request = GenerationRequest {
        prompt,
        zone: &zone,
        excluded: &[],
        objective: Duration::from_millis(120),
        pause_limit: Some(Duration::from_millis(120)),
        time_left: Duration::from_secs(2),
        progress: PromptProgress::Unread,
        has_waited: false,
        draw: 1,
    };
    change(&mut request);
    planned(&request, &fleet(), load, &warm_caches(prompt))
}

/// Caches of a fleet in which every engine holds the shared parts of a prompt
fn warm_caches(prompt: &PromptShape) -> PromptCaches {
    let mut caches = PromptCaches::default();
    let prefixes = prompt.prefixes();
    for engine in fleet() {
        caches.record_prompt(&engine, &prefixes[..prompt.shared_parts().len()], CACHE_TOKENS);
    }
    caches
}

/// Plan of a generation with these caches
fn plan_cached(load: &FleetLoad, prompt: &PromptShape, caches: &PromptCaches) -> PlanOutcome {
    let zone = "zone-a".into();
    let request = GenerationRequest {
        prompt,
        zone: &zone,
        excluded: &[],
        objective: Duration::from_millis(120),
        pause_limit: Some(Duration::from_millis(120)),
        time_left: Duration::from_secs(2),
        progress: PromptProgress::Unread,
        has_waited: false,
        draw: 1,
    };
    planned(&request, &fleet(), load, caches)
}

/// Caches of a fleet in which one engine has read a prompt
fn caches_with(engine: &ListedEndpoint, prompt: &PromptShape) -> PromptCaches {
    let mut caches = PromptCaches::default();
    caches.record_prompt(engine, &prompt.prefixes(), CACHE_TOKENS);
    caches
}

fn plan(load: &FleetLoad, prompt: &PromptShape) -> PlanOutcome {
    plan_with(load, prompt, |_| {})
}

/// Load with equal work at every engine
fn even_load(requests: u32, unread_tokens: u64) -> FleetLoad {
    let mut load = FleetLoad::default();
    for engine in fleet() {
        for _ in 0..requests {
            load.record_sent(&engine.id, unread_tokens / u64::from(requests));
        }
    }
    load
}

fn whole(outcome: PlanOutcome) -> EndpointId {
    match outcome {
        PlanOutcome::Plan(GenerationPlan::Whole(pick)) => pick.endpoint,
        other => panic!("plan is not on one engine: {other:?}"),
    }
}

fn affinity_is_stable() -> Result<()> {
    let load = FleetLoad::default();
    let first = whole(plan(&load, &prompt(1, 500, 390)));
    for _ in 0..10 {
        verify_that!(whole(plan(&load, &prompt(1, 500, 390))), eq(&first))?;
    }
    Ok(())
}

fn affinity_spreads() -> Result<()> {
    let load = FleetLoad::default();
    let mut counts = IndexMap::<EndpointId, usize>::new();
    for session in 0..500 {
        *counts.entry(whole(plan(&load, &prompt(session, 500, 390)))).or_default() += 1;
    }
    verify_that!(counts.len(), eq(5))?;
    verify_that!(counts.values().max(), some(le(&160)))
}

fn burst_is_split() -> Result<()> {
    let load = even_load(3, 1500);
    let outcome = plan(&load, &prompt(1, 6000, 390));
    let PlanOutcome::Plan(GenerationPlan::Split { prefill, decode }) = outcome else {
        return fail!("not split: {outcome:?}");
    };
    verify_that!(prefill.endpoint.as_str(), starts_with("p"))?;
    verify_that!(decode.endpoint.as_str(), starts_with("m"))
}

/// The largest prompt of the users' specification, at usual load
fn largest_is_served() -> Result<()> {
    let outcome = plan(&even_load(2, 6000), &prompt(1, 39_600, 2));
    let PlanOutcome::Plan(plan) = outcome else {
        return fail!("refused: {outcome:?}");
    };
    verify_that!(plan.expected_ms(), lt(120.0))
}

fn short_is_whole() -> Result<()> {
    let load = even_load(3, 1500);
    let short = PromptShape { prompt_tokens: 220, output_tokens: 390, parts: Vec::new() };
    verify_that!(whole(plan(&load, &short)).as_str(), starts_with("m"))
}

fn long_output_is_whole() -> Result<()> {
    let load = even_load(3, 1500);
    verify_that!(whole(plan(&load, &prompt(1, 6000, 13_845))).as_str(), starts_with("m"))
}

fn overload_is_refused() -> Result<()> {
    let load = even_load(12, 60_000);
    verify_that!(plan(&load, &prompt(1, 2890, 390)), matches_pattern!(PlanOutcome::Full(gt(&90.0))))
}

/// Half of the reported unread work is already done when the report arrives
fn burst_is_served() -> Result<()> {
    let load = even_load(3, 15_000);
    let outcome = plan(&load, &prompt(1, 500, 390));
    let PlanOutcome::Plan(plan) = outcome else {
        return fail!("refused: {outcome:?}");
    };
    verify_that!(plan.expected_ms(), lt(60.0))
}

fn client_retry() -> Result<()> {
    let load = even_load(6, 9_000);
    let first = plan(&load, &prompt(1, 500, 390));
    verify_that!(first, matches_pattern!(PlanOutcome::Plan(anything())))?;
    let back = plan_with(&load, &prompt(1, 500, 390), |it| it.has_waited = true);
    verify_that!(back, matches_pattern!(PlanOutcome::Full(anything())))
}

fn client_retry_with_capacity() -> Result<()> {
    let back = plan_with(&even_load(1, 0), &prompt(1, 2890, 390), |it| it.has_waited = true);
    verify_that!(back, matches_pattern!(PlanOutcome::Plan(anything())))
}

fn peers_work_counts() -> Result<()> {
    let mut load = FleetLoad::default();
    let home = whole(plan(&load, &prompt(1, 500, 390)));
    let work = WorkCount { requests: 9, unread_tokens: 20_000, ..WorkCount::default() };
    load.apply_report("peer".into(), [(home.clone(), work)].into_iter().collect(), Instant::now());
    verify_that!(whole(plan(&load, &prompt(1, 500, 390))), not(eq(&home)))
}

fn unresponsive_peer() -> Result<()> {
    let mut load = FleetLoad::default();
    let now = Instant::now();
    let work = WorkCount { requests: 9, unread_tokens: 0, ..WorkCount::default() };
    load.apply_report("peer".into(), [("m0".into(), work)].into_iter().collect(), now);
    verify_that!(load.total_at(&"m0".into()).requests, eq(9))?;
    load.expire(now + Duration::from_secs(3));
    verify_that!(load.total_at(&"m0".into()).requests, eq(0))?;
    verify_that!(load.max_instances(), eq(2))
}

fn held_prompt() -> Result<()> {
    let mut load = even_load(3, 0);
    load.record_ended(&"m2".into());
    let held = plan_with(&load, &prompt(1, 9000, 390), |it| it.progress = PromptProgress::Held);
    let PlanOutcome::Plan(GenerationPlan::Decode(pick)) = held else {
        return fail!("plan does not decode from the cache: {held:?}");
    };
    verify_that!(pick.endpoint.as_str(), eq("m2"))
}

fn lost_prompt() -> Result<()> {
    let load = even_load(3, 1500);
    let lost = plan_with(&load, &prompt(1, 6000, 390), |it| it.progress = PromptProgress::Lost);
    verify_that!(whole(lost).as_str(), starts_with("m"))
}

fn no_engine() -> Result<()> {
    let zone = "zone-a".into();
    let prompt = prompt(1, 500, 390);
    let request = GenerationRequest {
        prompt: &prompt,
        zone: &zone,
        excluded: &[],
        objective: Duration::from_millis(120),
        pause_limit: Some(Duration::from_millis(120)),
        time_left: Duration::from_secs(2),
        progress: PromptProgress::Unread,
        has_waited: false,
        draw: 1,
    };
    let readers = [engine("p0", EngineRole::Prefill)];
    verify_that!(
        planned(&request, &readers, &FleetLoad::default(), &PromptCaches::default()),
        eq(&PlanOutcome::NoEngine)
    )
}

fn excluded() -> Result<()> {
    let load = FleetLoad::default();
    let prompt = prompt(1, 500, 390);
    let home = whole(plan(&load, &prompt));
    let zone = "zone-a".into();
    let request = GenerationRequest {
        prompt: &prompt,
        zone: &zone,
        excluded: std::slice::from_ref(&home),
        objective: Duration::from_millis(120),
        pause_limit: Some(Duration::from_millis(120)),
        time_left: Duration::from_secs(2),
        progress: PromptProgress::Unread,
        has_waited: false,
        draw: 1,
    };
    verify_that!(whole(planned(&request, &fleet(), &load, &warm_caches(&prompt))), not(eq(&home)))
}

fn own_zone_first() -> Result<()> {
    let services = [service("s1", "zone-b"), service("s2", "zone-a"), service("s3", "zone-c")];
    let load = FleetLoad::default();
    for draw in 0..20 {
        let picked = pick_service(services.iter(), &load, &"zone-a".into(), &[], draw);
        verify_that!(picked.expect("one").id.as_str(), eq("s2"))?;
    }
    Ok(())
}

fn other_zone_when_busy() -> Result<()> {
    let services = [service("s1", "zone-b"), service("s2", "zone-a")];
    let mut load = FleetLoad::default();
    for _ in 0..4 {
        load.record_sent(&"s2".into(), 0);
    }
    let picked = pick_service(services.iter(), &load, &"zone-a".into(), &[], 1);
    verify_that!(picked.expect("one").id.as_str(), eq("s1"))
}

fn time_left() -> Result<()> {
    let mut peak = DeadlinePeak::default();
    let now = Instant::now();
    let milliseconds = Duration::from_millis;
    for left in [1900, 1720, 2000, 1700, 1999] {
        verify_that!(peak.has_waited(milliseconds(left), now), eq(false))?;
    }
    verify_that!(peak.has_waited(milliseconds(1640), now), eq(true))?;
    // If all clients have less time, their requests count as first attempts after the peak expires.
    let later = now + Duration::from_secs(21);
    verify_that!(peak.has_waited(milliseconds(1000), later), eq(false))?;
    verify_that!(peak.has_waited(milliseconds(900), later), eq(false))
}

/// Pick of a plan that reads the prompt
fn reader(outcome: PlanOutcome) -> EnginePick {
    match outcome {
        PlanOutcome::Plan(
            GenerationPlan::Whole(pick) | GenerationPlan::Split { prefill: pick, .. },
        ) => pick,
        other => panic!("plan has no engine that reads: {other:?}"),
    }
}

fn session_returns() -> Result<()> {
    let load = FleetLoad::default();
    for holder in ["m1", "m4"] {
        let caches = caches_with(&engine(holder, EngineRole::Mixed), &prompt(7, 500, 390));
        let pick = reader(plan_cached(&load, &prompt(7, 400, 390), &caches));
        verify_that!(pick.endpoint.as_str(), eq(holder))?;
        verify_that!(pick.unread_tokens, eq(400))?;
        verify_that!(pick.holder, none())?;
    }
    Ok(())
}

fn holder_is_fetched_from() -> Result<()> {
    let mut load = FleetLoad::default();
    for _ in 0..6 {
        load.record_sent(&"p1".into(), 3000);
    }
    let caches = caches_with(&engine("p1", EngineRole::Prefill), &prompt(7, 500, 390));
    let pick = reader(plan_cached(&load, &prompt(7, 400, 390), &caches));
    verify_that!(pick.endpoint.as_str(), not(eq("p1")))?;
    verify_that!(pick.unread_tokens, eq(400))?;
    verify_that!(pick.holder, some(eq(&EndpointId::from("p1"))))
}

fn cold_session() -> Result<()> {
    let caches = caches_with(&engine("m1", EngineRole::Mixed), &prompt(7, 500, 390));
    // Another session shares the first part only.
    let pick = reader(plan_cached(&FleetLoad::default(), &prompt(8, 400, 390), &caches));
    verify_that!(pick.unread_tokens, eq(3780 + 400))
}

fn holder_restarted() -> Result<()> {
    let before = engine("m1", EngineRole::Mixed);
    let after = ListedEndpoint { started_at_ms: 2, ..before.clone() };
    let prefixes = prompt(7, 500, 390).prefixes();
    let mut caches = caches_with(&before, &prompt(7, 500, 390));
    verify_that!(caches.held_tokens(&before, &prefixes), eq(6800))?;
    verify_that!(caches.held_tokens(&after, &prefixes), eq(0))?;
    caches.record_prompt(&after, &prompt(8, 500, 390).prefixes(), CACHE_TOKENS);
    verify_that!(caches.held_tokens(&after, &prefixes), eq(2520))
}

fn holder_is_small() -> Result<()> {
    let holder = engine("m1", EngineRole::Mixed);
    let mut caches = PromptCaches::default();
    for session in 0..4 {
        caches.record_prompt(&holder, &prompt(session, 500, 390).prefixes(), 2 * 6800);
    }
    verify_that!(caches.held_tokens(&holder, &prompt(0, 500, 390).prefixes()), eq(2520))?;
    verify_that!(caches.held_tokens(&holder, &prompt(3, 500, 390).prefixes()), eq(6800))
}

/// Sessions return repeatedly while the load on the engines shifts. The shared parts of a session
/// must be read once, not at each engine that the uneven load makes preferable.
fn sessions_are_read_once() -> Result<()> {
    const SESSIONS: usize = 40;
    const ROUNDS: usize = 10;
    let engines = fleet();
    let mut caches = PromptCaches::default();
    let mut read_tokens = 0;
    for round in 0..ROUNDS {
        for session in 0..SESSIONS {
            let mut load = FleetLoad::default();
            for number in 0..3 {
                let busy = &engines[(round + session + number) % engines.len()];
                (0..6).for_each(|_| load.record_sent(&busy.id, 1500));
            }
            let own = 400 + u32::try_from(round).expect("few rounds");
            let prompt = prompt(session, own, 390);
            let pick = reader(plan_cached(&load, &prompt, &caches));
            read_tokens += pick.unread_tokens - u64::from(own);
            let reader = engines.iter().find(|it| it.id == pick.endpoint).expect("listed");
            caches.record_prompt(reader, &prompt.prefixes(), CACHE_TOKENS);
        }
    }
    // Each session's part once; the common part is too short for a fetch, so once per engine at most.
    verify_that!(read_tokens, le((3780 * SESSIONS + 2520 * engines.len()) as u64))
}

/// Instances decide at the same time on the same view of a large fleet
fn herd() -> Result<()> {
    let zone = "zone-a".into();
    let engines =
        (0..20).map(|it| engine(&format!("m{it}"), EngineRole::Mixed)).collect::<Vec<_>>();
    let mut load = FleetLoad::default();
    for engine in &engines[1..] {
        load.record_sent(&engine.id, 0);
    }
    let mut counts = IndexMap::<EndpointId, usize>::new();
    for number in 0..200 {
        let prompt = prompt(number, 500, 390);
        let request = GenerationRequest {
            prompt: &prompt,
            zone: &zone,
            excluded: &[],
            objective: Duration::from_millis(120),
            pause_limit: Some(Duration::from_millis(120)),
            time_left: Duration::from_secs(2),
            progress: PromptProgress::Held,
            has_waited: false,
            draw: number as u64,
        };
        let outcome = planned(&request, &engines, &load, &PromptCaches::default());
        let PlanOutcome::Plan(GenerationPlan::Decode(pick)) = outcome else {
            return fail!("plan does not decode from the cache: {outcome:?}");
        };
        *counts.entry(pick.endpoint).or_default() += 1;
    }
    // 200 requests over 20 engines: the idle engine must not receive all of them.
    verify_that!(counts.values().max(), some(le(&40)))?;
    verify_that!(counts.len(), ge(18))
}
