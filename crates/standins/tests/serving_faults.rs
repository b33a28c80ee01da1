//! Faults at each step of serving idempotent requests, against live instances.

mod common;

use catalogue::InstanceState;
use common::Cluster;
use common::fixture::{check_not_run, check_right, query_call, start_trust, wait_for};
use googletest::prelude::*;
use standins::caller::CallOutcome;
use standins::fault::FaultCommand;
use std::time::Duration;
use testcases::cases;

/// Tokens of a stream that lasts about a second.
const LONG_STREAM: u32 = 100;
const STREAMS: usize = 6;
const CRASH_TEXT: &str = "crash-the-engine";

/// Checks that all streams in progress complete despite a fault
async fn streams_survive(fault: impl AsyncFnOnce(&mut Cluster) -> Result<()>) -> Result<()> {
    let mut cluster = start_trust(2).await.or_fail()?;
    let stream =
        |it| cluster.start_completion(it % 2, query_call(&format!("stream {it}"), LONG_STREAM));
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    cluster.busy_engine().await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fault(&mut cluster).await?;
    for stream in streams {
        check_right(&stream.await.or_fail()?)?;
    }
    check_right(&cluster.complete_call(0, &query_call("afterwards", 5)).await)
}

/// Checks that all calls made after a fault are answered
async fn calls_survive(fault: impl AsyncFnOnce(&mut Cluster) -> Result<()>) -> Result<()> {
    let mut cluster = start_trust(2).await.or_fail()?;
    check_right(&cluster.complete_call(0, &query_call("first", 5)).await)?;
    fault(&mut cluster).await?;
    for index in 0..STREAMS {
        let instance = index % cluster.instances.len();
        check_right(&cluster.complete_call(instance, &query_call(&format!("{index}"), 10)).await)?;
    }
    Ok(())
}

async fn apply(cluster: &Cluster, order: FaultCommand) -> Result<()> {
    cluster.fleet.apply(&order).or_fail()
}

async fn apply_to_busy_engine(
    cluster: &Cluster,
    fault: impl FnOnce(catalogue::id::EndpointId) -> FaultCommand,
) -> Result<()> {
    let engine = cluster.busy_engine().await?;
    apply(cluster, fault(engine)).await
}

fn crash(engine: catalogue::id::EndpointId) -> FaultCommand {
    FaultCommand::EngineCrash { engine, down_ms: 3_000 }
}

fn make_unresponsive(engine: catalogue::id::EndpointId) -> FaultCommand {
    FaultCommand::EngineSilent { engine }
}

fn pause(engine: catalogue::id::EndpointId) -> FaultCommand {
    FaultCommand::EnginePause { engine, paused: true }
}

fn leave(engine: catalogue::id::EndpointId) -> FaultCommand {
    FaultCommand::EngineLeave { engine, leaving: true }
}

const LOG_DOWN: FaultCommand = FaultCommand::LogDown { down: true };
const LOG_SLOW: FaultCommand = FaultCommand::LogSlow { delay_ms: 2_000, answer_delay_ms: 2_000 };
const REPORTS_STALE: FaultCommand = FaultCommand::ReportLag { lag_ms: 10_000 };
const LIST_DOWN: FaultCommand = FaultCommand::ListDown { down: true };

async fn kill_first(cluster: &mut Cluster) -> Result<()> {
    let id = cluster.instances.keys().next().cloned();
    cluster.kill(id.as_deref().unwrap_or_default());
    Ok(())
}

async fn pause_first(cluster: &mut Cluster) -> Result<()> {
    cluster.instances[0].pause(true);
    Ok(())
}

async fn partition_from_log(cluster: &mut Cluster) -> Result<()> {
    cluster.instances[0].log.cut();
    Ok(())
}

async fn make_all_unresponsive(cluster: &mut Cluster) -> Result<()> {
    cluster.fleet.engines.values().for_each(|it| it.make_unresponsive());
    Ok(())
}

/// Checks that a withdrawn engine gets no requests once the list shows it as leaving
///
/// The engine itself would still accept them, so the instances depend on the list alone.
async fn withdrawn_engine_gets_no_requests() -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    check_right(&cluster.complete_call(0, &query_call("first", 5)).await)?;
    // Only the list shows the withdrawal; the engine itself accepts work.
    cluster.fleet.list.set_state("summary-1", InstanceState::Leaving);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let engine = &cluster.fleet.engines["summary-1"];
    let before = engine.executions().len();
    let calls =
        (0..40).map(|it| cluster.start_completion(it % 2, query_call(&format!("{it}"), 10)));
    for call in calls.collect::<Vec<_>>() {
        check_right(&call.await.or_fail()?)?;
    }
    verify_that!(engine.executions().len(), eq(before))
}

/// Checks that a request that crashes engines is finally refused as not run, and that
/// unrelated requests are answered
async fn crashing_request_is_refused() -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    apply(&cluster, FaultCommand::Poison { text: CRASH_TEXT.into() }).await?;
    let stream = |it| cluster.start_completion(it % 2, query_call(&format!("neighbour {it}"), 40));
    let unrelated: Vec<_> = (0..STREAMS).map(stream).collect();
    let crashing = query_call(CRASH_TEXT, 10);
    for index in 0..6 {
        let outcome = cluster.complete_call(index % 2, &crashing).await;
        verify_that!(outcome.is_right(), eq(false))?;
    }
    check_not_run(&cluster.complete_call(0, &crashing).await)?;
    for stream in unrelated {
        check_right(&stream.await.or_fail()?)?;
    }
    Ok(())
}

/// Checks that killing an instance cuts no streams of other instances, and that no stream is
/// refused as not run
async fn kill_cuts_only_its_own() -> Result<()> {
    let mut cluster = start_trust(2).await.or_fail()?;
    let stream =
        |it| cluster.start_completion(it % 2, query_call(&format!("stream {it}"), LONG_STREAM));
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    cluster.busy_engine().await?;
    kill_first(&mut cluster).await?;
    for (index, stream) in streams.into_iter().enumerate() {
        let outcome = stream.await.or_fail()?;
        verify_that!(outcome.is_not_run(), eq(false))?;
        if index % 2 == 1 {
            check_right(&outcome)?;
        }
    }
    check_right(&cluster.complete_call(0, &query_call("afterwards", 5)).await)
}

/// Checks that a drained instance completes all its streams and then accepts no calls
async fn drain_cuts_nothing(faults: &[FaultCommand]) -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    let stream = |it| cluster.start_completion(0, query_call(&format!("stream {it}"), LONG_STREAM));
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    let in_flight = || cluster.fleet.engines.values().map(|it| it.state().in_flight).sum::<u32>();
    wait_for(|| in_flight() as usize == STREAMS).await?;
    for fault in faults {
        apply(&cluster, fault.clone()).await?;
    }
    let report = cluster.instances[0].handle.drain().await;
    verify_that!(report.cut, eq(0))?;
    for stream in streams {
        check_right(&stream.await.or_fail()?)?;
    }
    let outcome = cluster.complete_call(0, &query_call("late", 5)).await;
    verify_that!(matches!(outcome, CallOutcome::Cut(_)), eq(true))?;
    check_right(&cluster.complete_call(1, &query_call("elsewhere", 5)).await)
}

/// Checks that a draining instance completes its streams although several engines were paused before
/// they answered, so that more of them start again than an instance without arrivals has retries
async fn drain_retries_all(paused: usize) -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    check_right(&cluster.complete_call(0, &query_call("first", 5)).await)?;
    for engine in cluster.fleet.engines.keys().take(paused) {
        apply(&cluster, pause(engine.clone())).await?;
    }
    let stream = |it| cluster.start_completion(0, query_call(&format!("stream {it}"), 20));
    let streams: Vec<_> = (0..2 * STREAMS).map(stream).collect();
    let report = cluster.instances[0].handle.drain().await;
    verify_that!(report.cut, eq(0))?;
    for stream in streams {
        check_right(&stream.await.or_fail()?)?;
    }
    Ok(())
}

cases! { async
    call_after_instance_kill => calls_survive(kill_first),
    call_with_instance_paused => calls_survive(pause_first),
    call_after_engine_crash => calls_survive(async |it| {
        apply(it, crash("summary-1".into())).await
    }),
    call_on_unresponsive_connections => calls_survive(make_all_unresponsive),
    call_with_engine_paused => calls_survive(async |it| apply(it, pause("summary-1".into())).await),
    call_with_engine_withdrawn => calls_survive(async |it| {
        apply(it, leave("summary-1".into())).await
    }),
    call_with_stale_reports => calls_survive(async |it| apply(it, REPORTS_STALE).await),
    call_with_list_down => calls_survive(async |it| apply(it, LIST_DOWN).await),
    call_with_log_down => calls_survive(async |it| apply(it, LOG_DOWN).await),
    call_with_log_slow => calls_survive(async |it| apply(it, LOG_SLOW).await),
    call_while_partitioned_from_log => calls_survive(partition_from_log),
    call_with_log_down_and_engine_crash => calls_survive(async |it| {
        apply(it, LOG_DOWN).await?;
        apply(it, crash("summary-1".into())).await
    }),
    stream_with_engine_crash => streams_survive(async |it| apply_to_busy_engine(it, crash).await),
    stream_on_unresponsive_connection => streams_survive(async |it| {
        apply_to_busy_engine(it, make_unresponsive).await
    }),
    stream_with_engine_paused => streams_survive(async |it| apply_to_busy_engine(it, pause).await),
    stream_with_instance_paused => streams_survive(pause_first),
    stream_with_engine_withdrawn => streams_survive(async |it| {
        apply_to_busy_engine(it, leave).await
    }),
    stream_with_stale_reports => streams_survive(async |it| apply(it, REPORTS_STALE).await),
    stream_with_list_down => streams_survive(async |it| apply(it, LIST_DOWN).await),
    stream_with_log_down => streams_survive(async |it| apply(it, LOG_DOWN).await),
    stream_with_log_slow => streams_survive(async |it| apply(it, LOG_SLOW).await),
    stream_while_partitioned_from_log => streams_survive(partition_from_log),
    stream_with_engine_crash_and_unresponsive_connections => streams_survive(async |it| {
        apply_to_busy_engine(it, crash).await?;
        make_all_unresponsive(it).await
    }),
    withdrawn_engine_receives_no_requests => withdrawn_engine_gets_no_requests(),
    stream_with_instance_kill => kill_cuts_only_its_own(),
    crashing_request => crashing_request_is_refused(),
    drain => drain_cuts_nothing(&[]),
    drain_with_log_down => drain_cuts_nothing(&[LOG_DOWN]),
    drain_with_list_down => drain_cuts_nothing(&[LIST_DOWN]),
    drain_with_log_slow => drain_cuts_nothing(&[LOG_SLOW]),
    drain_with_stale_reports => drain_cuts_nothing(&[REPORTS_STALE]),
    drain_with_engine_unresponsive => drain_cuts_nothing(&[make_unresponsive("summary-1".into())]),
    drain_with_engine_withdrawn => drain_cuts_nothing(&[leave("summary-1".into())]),
    drain_with_engine_paused => drain_cuts_nothing(&[pause("summary-1".into())]),
    drain_with_most_engines_paused_at_the_start => drain_retries_all(5),
    drain_with_log_down_and_engine_crash => drain_cuts_nothing(&[
        LOG_DOWN,
        crash("summary-1".into()),
    ]),
    drain_with_engine_crash => drain_cuts_nothing(&[crash("summary-1".into())]),
}
