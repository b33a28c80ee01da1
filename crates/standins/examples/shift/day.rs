//! Runs one day: makes open-loop calls, applies the events and records the results.

use crate::caller::{CallContext, CallResult};
use crate::environment::{EnvironmentError, INSTANCES, ShiftEnvironment, engine_speed};
use crate::faults::{DayEvent, all_engines, day_events, engines_at};
use crate::options::ShiftOptions;
use crate::schedule::{DAY_LENGTH, PlannedCall, ScheduleInput, arrivals};
use catalogue::EngineRole;
use standins::fleet::Fleet;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between the start of the instances and the start of the day.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Number of engines by role at one time
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct RoleSample {
    pub at_ms: u64,
    pub prefill: usize,
    pub decode: usize,
    pub mixed: usize,
    /// Engines that are changing their role, down or withdrawn
    pub away: usize,
}

pub struct DayRecord {
    pub results: Vec<CallResult>,
    pub roles: Vec<RoleSample>,
    pub events: Vec<(Duration, DayEvent)>,
    /// Number of orders that engines accepted
    pub role_changes: usize,
    /// Number of requests in flight that orders stopped
    pub cut_by_change: u32,
    /// Number of conflicting orders that engines accepted
    pub conflicts: usize,
    /// Number of once-only calls that ran more than once
    pub doubled: usize,
    /// Number of once-only calls that were answered but never ran
    pub lost_once: usize,
    /// Number of calls that were refused as not run but ran
    pub untrue_refusals: usize,
}

/// Runs one day
///
/// # Errors
/// `EnvironmentError` if the instances can't be started.
pub async fn run_day(options: &ShiftOptions) -> Result<DayRecord, EnvironmentError> {
    let environment = ShiftEnvironment::start(options).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let calls = arrivals(&ScheduleInput {
        seed: options.seed,
        deployment: options.deployment,
        load: options.load,
        instances: INSTANCES,
        speed: engine_speed(),
        engines_at: if options.faults { engines_at } else { all_engines },
    });
    let start = Instant::now();
    let events = day_events(options.faults);
    let sampler = tokio::spawn(sample_roles(environment.fleet.clone(), start));
    let event_task = tokio::spawn(apply_events(environment.fleet.clone(), events.clone(), start));
    let results = make_calls(environment.call_context(options), calls, start).await;
    let roles = sampler.await.unwrap_or_default();
    event_task.abort();
    let record = evaluate(&environment.fleet, results, roles, events);
    for instance in environment.instances {
        tokio::task::spawn_blocking(|| instance.kill());
    }
    Ok(record)
}

async fn make_calls(
    context: CallContext,
    calls: Vec<PlannedCall>,
    start: Instant,
) -> Vec<CallResult> {
    let mut running = JoinSet::new();
    let mut results = Vec::with_capacity(calls.len());
    for call in calls {
        tokio::time::sleep_until(start + call.at).await;
        let context = context.clone();
        running.spawn(async move { context.make(call).await });
        while let Some(Ok(result)) = running.try_join_next() {
            results.push(result);
        }
    }
    while let Some(Ok(result)) = running.join_next().await {
        results.push(result);
    }
    results.sort_by_key(|it| it.call.serial);
    results
}

async fn apply_events(fleet: Fleet, events: Vec<(Duration, DayEvent)>, start: Instant) {
    for (at, event) in events {
        tokio::time::sleep_until(start + at).await;
        event.apply(&fleet);
    }
}

async fn sample_roles(fleet: Fleet, start: Instant) -> Vec<RoleSample> {
    let mut samples = Vec::new();
    while start.elapsed() < DAY_LENGTH {
        samples.push(sample(&fleet, start.elapsed()));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

fn sample(fleet: &Fleet, at: Duration) -> RoleSample {
    let mut sample = RoleSample { at_ms: at.as_millis() as u64, ..RoleSample::default() };
    for engine in fleet.engines.values() {
        let state = engine.state();
        match state.target.role {
            _ if !state.ready => sample.away += 1,
            EngineRole::Prefill => sample.prefill += 1,
            EngineRole::Decode => sample.decode += 1,
            EngineRole::Mixed => sample.mixed += 1,
        }
    }
    sample
}

fn evaluate(
    fleet: &Fleet,
    results: Vec<CallResult>,
    roles: Vec<RoleSample>,
    events: Vec<(Duration, DayEvent)>,
) -> DayRecord {
    use crate::caller::CallEnd;
    let mut record = DayRecord {
        results,
        roles,
        events,
        role_changes: fleet.orders().iter().filter(|it| it.taken).count(),
        cut_by_change: fleet.orders().iter().map(|it| it.cut).sum(),
        conflicts: fleet.conflicts().len(),
        doubled: 0,
        lost_once: 0,
        untrue_refusals: 0,
    };
    for result in &record.results {
        let Some(key) = &result.key else {
            continue;
        };
        let runs = fleet.execution_count(key);
        record.doubled += usize::from(runs > 1);
        let is_done = matches!(result.end, CallEnd::Good | CallEnd::Late);
        record.lost_once += usize::from(is_done && runs == 0);
        record.untrue_refusals += usize::from(result.end == CallEnd::Refused && runs > 0);
    }
    record
}
