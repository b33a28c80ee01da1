//! Faults at each step of serving idempotent requests, against live instances.

mod common;

use catalogue::InstanceState;
use common::Cluster;
use common::scene::{check_not_run, check_right, query, trust, wait_for};
use googletest::prelude::*;
use standins::caller::CallOutcome;
use standins::fault::FaultCommand;
use std::time::Duration;
use testcases::cases;

/// Tokens of a stream that lasts about a second.
const LONG_STREAM: u32 = 100;
const STREAMS: usize = 6;
const POISON: &str = "crash-the-engine";

/// A fault while streams run: every answer is whole
async fn streams_survive(fault: impl AsyncFnOnce(&mut Cluster) -> Result<()>) -> Result<()> {
    let mut cluster = trust(2).await.or_fail()?;
    let stream = |it| cluster.start_query(it % 2, query(&format!("stream {it}"), LONG_STREAM));
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    cluster.busy_engine().await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fault(&mut cluster).await?;
    for stream in streams {
        check_right(&stream.await.or_fail()?)?;
    }
    check_right(&cluster.ask(0, &query("afterwards", 5)).await)
}

/// A fault before calls arrive: every answer is right
async fn calls_survive(fault: impl AsyncFnOnce(&mut Cluster) -> Result<()>) -> Result<()> {
    let mut cluster = trust(2).await.or_fail()?;
    check_right(&cluster.ask(0, &query("first", 5)).await)?;
    fault(&mut cluster).await?;
    for index in 0..STREAMS {
        let index_of_instance = index % cluster.nodes.len();
        check_right(&cluster.ask(index_of_instance, &query(&format!("{index}"), 10)).await)?;
    }
    Ok(())
}

async fn apply(cluster: &Cluster, order: FaultCommand) -> Result<()> {
    cluster.fleet.apply(&order).or_fail()
}

async fn on_busy(
    cluster: &Cluster,
    fault: impl FnOnce(catalogue::id::EndpointId) -> FaultCommand,
) -> Result<()> {
    let engine = cluster.busy_engine().await?;
    apply(cluster, fault(engine)).await
}

fn crash(engine: catalogue::id::EndpointId) -> FaultCommand {
    FaultCommand::EngineCrash { engine, down_ms: 3_000 }
}

fn silent(engine: catalogue::id::EndpointId) -> FaultCommand {
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
const REPORTS_LATE: FaultCommand = FaultCommand::ReportLag { lag_ms: 10_000 };
const LIST_DOWN: FaultCommand = FaultCommand::ListDown { down: true };

async fn kill_first(cluster: &mut Cluster) -> Result<()> {
    let id = cluster.nodes.keys().next().cloned();
    cluster.kill(id.as_deref().unwrap_or_default());
    Ok(())
}

async fn pause_first(cluster: &mut Cluster) -> Result<()> {
    cluster.nodes[0].pause(true);
    Ok(())
}

async fn part_from_log(cluster: &mut Cluster) -> Result<()> {
    cluster.nodes[0].log.cut();
    Ok(())
}

async fn silence_all(cluster: &mut Cluster) -> Result<()> {
    cluster.fleet.engines.values().for_each(|it| it.silence());
    Ok(())
}

/// An engine that is withdrawn gets no request after a few seconds
async fn withdrawn_engine_gets_nothing_new() -> Result<()> {
    let cluster = trust(2).await.or_fail()?;
    check_right(&cluster.ask(0, &query("first", 5)).await)?;
    // Only the list tells: the engine itself would still take work.
    cluster.fleet.list.mark("summary-1", InstanceState::Leaving);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let engine = &cluster.fleet.engines["summary-1"];
    let before = engine.executions().len();
    let calls = (0..40).map(|it| cluster.start_query(it % 2, query(&format!("{it}"), 10)));
    for call in calls.collect::<Vec<_>>() {
        check_right(&call.await.or_fail()?)?;
    }
    verify_that!(engine.executions().len(), eq(before))
}

/// A request that crashes engines is refused in the end; its neighbours are answered
async fn crashing_request_is_refused() -> Result<()> {
    let cluster = trust(2).await.or_fail()?;
    apply(&cluster, FaultCommand::Poison { text: POISON.into() }).await?;
    let stream = |it| cluster.start_query(it % 2, query(&format!("neighbour {it}"), 40));
    let neighbours: Vec<_> = (0..STREAMS).map(stream).collect();
    let poisoned = query(POISON, 10);
    for index in 0..6 {
        let outcome = cluster.ask(index % 2, &poisoned).await;
        verify_that!(outcome.is_right(), eq(false))?;
    }
    check_not_run(&cluster.ask(0, &poisoned).await)?;
    for neighbour in neighbours {
        check_right(&neighbour.await.or_fail()?)?;
    }
    Ok(())
}

/// Streams of a killed instance are cut; the others' are whole
async fn kill_cuts_only_its_own() -> Result<()> {
    let mut cluster = trust(2).await.or_fail()?;
    let stream = |it| cluster.start_query(it % 2, query(&format!("stream {it}"), LONG_STREAM));
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
    check_right(&cluster.ask(0, &query("afterwards", 5)).await)
}

/// A drained instance ends every stream whole and is refused work
async fn drain_cuts_nothing(faults: &[FaultCommand]) -> Result<()> {
    let cluster = trust(2).await.or_fail()?;
    let stream = |it| cluster.start_query(0, query(&format!("stream {it}"), LONG_STREAM));
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    let flying = || cluster.fleet.engines.values().map(|it| it.state().in_flight).sum::<u32>();
    wait_for(|| flying() as usize == STREAMS).await?;
    for fault in faults {
        apply(&cluster, fault.clone()).await?;
    }
    let report = cluster.nodes[0].handle.drain().await;
    verify_that!(report.cut, eq(0))?;
    for stream in streams {
        check_right(&stream.await.or_fail()?)?;
    }
    let outcome = cluster.ask(0, &query("late", 5)).await;
    verify_that!(matches!(outcome, CallOutcome::Cut(_)), eq(true))?;
    check_right(&cluster.ask(1, &query("elsewhere", 5)).await)
}

cases! { async
    call_after_kill_of_instance => calls_survive(kill_first),
    call_while_paused => calls_survive(pause_first),
    call_after_engine_crash => calls_survive(async |it| {
        apply(it, crash("summary-1".into())).await
    }),
    call_on_silent_connections => calls_survive(silence_all),
    call_with_engine_paused => calls_survive(async |it| apply(it, pause("summary-1".into())).await),
    call_with_engine_withdrawn => calls_survive(async |it| {
        apply(it, leave("summary-1".into())).await
    }),
    call_with_late_reports => calls_survive(async |it| apply(it, REPORTS_LATE).await),
    call_with_list_down => calls_survive(async |it| apply(it, LIST_DOWN).await),
    call_with_log_down => calls_survive(async |it| apply(it, LOG_DOWN).await),
    call_with_log_slow => calls_survive(async |it| apply(it, LOG_SLOW).await),
    call_while_parted_from_log => calls_survive(part_from_log),
    call_with_log_down_and_engine_crash => calls_survive(async |it| {
        apply(it, LOG_DOWN).await?;
        apply(it, crash("summary-1".into())).await
    }),
    stream_over_engine_crash => streams_survive(async |it| on_busy(it, crash).await),
    stream_over_silent_connection => streams_survive(async |it| on_busy(it, silent).await),
    stream_over_paused_engine => streams_survive(async |it| on_busy(it, pause).await),
    stream_while_paused => streams_survive(pause_first),
    stream_over_withdrawn_engine => streams_survive(async |it| on_busy(it, leave).await),
    stream_with_late_reports => streams_survive(async |it| apply(it, REPORTS_LATE).await),
    stream_with_list_down => streams_survive(async |it| apply(it, LIST_DOWN).await),
    stream_with_log_down => streams_survive(async |it| apply(it, LOG_DOWN).await),
    stream_with_log_slow => streams_survive(async |it| apply(it, LOG_SLOW).await),
    stream_while_parted_from_log => streams_survive(part_from_log),
    stream_over_crash_and_silence => streams_survive(async |it| {
        on_busy(it, crash).await?;
        silence_all(it).await
    }),
    withdrawn_engine_is_left_alone => withdrawn_engine_gets_nothing_new(),
    stream_over_kill_of_instance => kill_cuts_only_its_own(),
    crashing_request => crashing_request_is_refused(),
    drain => drain_cuts_nothing(&[]),
    drain_with_log_down => drain_cuts_nothing(&[LOG_DOWN]),
    drain_with_list_down => drain_cuts_nothing(&[LIST_DOWN]),
    drain_with_log_slow => drain_cuts_nothing(&[LOG_SLOW]),
    drain_with_late_reports => drain_cuts_nothing(&[REPORTS_LATE]),
    drain_with_engine_silent => drain_cuts_nothing(&[silent("summary-1".into())]),
    drain_with_engine_withdrawn => drain_cuts_nothing(&[leave("summary-1".into())]),
    drain_with_engine_paused => drain_cuts_nothing(&[pause("summary-1".into())]),
    drain_with_log_down_and_engine_crash => drain_cuts_nothing(&[
        LOG_DOWN,
        crash("summary-1".into()),
    ]),
    drain_with_engine_crash => drain_cuts_nothing(&[crash("summary-1".into())]),
}
