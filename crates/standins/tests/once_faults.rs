//! Faults at each step of once-only work, against live instances.
//!
//! Under every fault, a key runs at most once, an answered call has run, and a call
//! that is always refused as "not run" has not run.

mod common;

use common::Cluster;
use common::fixture::{check_right, register_call, start_trust, wait_for};
use googletest::prelude::*;
use standins::caller::{CallOutcome, RanStatus, ServiceCall};
use standins::log::LostAnswer;
use std::time::Duration;
use testcases::cases;

/// Delay of the service's answer, so that faults are injected while the call is dispatched.
const SERVICE_TIME: Duration = Duration::from_millis(400);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const RETRIES: usize = 6;
const INSTANCES: usize = 3;

/// Fault that is injected during a once-only call
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OnceFault {
    Kill,
    Pause,
    LogPartition,
    LogDown,
    LogSlow,
    LogUnresponsive,
    LogAnswerLost,
    LogAppendLost,
    ServiceAnswerLost,
    ServiceUnresponsive,
    ServiceCrash,
    ListDown,
}

use OnceFault::*;

const ALL: [OnceFault; 12] = [
    Kill,
    Pause,
    LogPartition,
    LogDown,
    LogSlow,
    LogUnresponsive,
    LogAnswerLost,
    LogAppendLost,
    ServiceAnswerLost,
    ServiceUnresponsive,
    ServiceCrash,
    ListDown,
];

fn inject(cluster: &mut Cluster, fault: OnceFault) {
    let fleet = cluster.fleet.clone();
    let services = || fleet.services.values();
    match fault {
        Kill => {
            let id = cluster.instances.keys().next().cloned().unwrap_or_default();
            cluster.kill(&id);
        }
        Pause => {
            if let Some(instance) = cluster.instances.values().next() {
                instance.pause(true);
            }
        }
        LogPartition => {
            if let Some(instance) = cluster.instances.values().next() {
                instance.log.cut();
            }
        }
        LogDown => fleet.log.set_down(true),
        LogSlow => fleet.log.set_faults(|it| {
            it.delay = Duration::from_millis(400);
            it.answer_delay = Duration::from_millis(400);
        }),
        LogUnresponsive => fleet.log_server().make_unresponsive(),
        LogAnswerLost => fleet.log.lose_answers(LostAnswer::AfterEffect, 2),
        LogAppendLost => fleet.log.lose_answers(LostAnswer::BeforeEffect, 2),
        ServiceAnswerLost => services().for_each(|it| it.set_faults(|it| it.cut_after = 1)),
        ServiceUnresponsive => services().for_each(|it| it.server().make_unresponsive()),
        ServiceCrash => services().for_each(|it| it.crash(Duration::from_millis(500))),
        ListDown => fleet.list.set_down(true),
    }
}

/// Ends all injected faults and replaces killed instances
async fn clear_faults(cluster: &mut Cluster) -> Result<()> {
    cluster.fleet.log.set_faults(|it| *it = standins::log::LogFaults::default());
    cluster.fleet.list.set_down(false);
    for service in cluster.fleet.services.values() {
        service.set_faults(|it| *it = standins::service::ServiceFaults::default());
    }
    for instance in cluster.instances.values() {
        instance.pause(false);
        instance.log.restore().await.or_fail()?;
    }
    while cluster.instances.len() < INSTANCES {
        cluster.add_instance().await.or_fail()?;
    }
    Ok(())
}

/// Retries the call with its key at one instance after another until it is answered
async fn retry(cluster: &Cluster, call: &ServiceCall, outcomes: &mut Vec<CallOutcome>) {
    for index in 0..RETRIES {
        if outcomes.last().is_some_and(CallOutcome::is_right) {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        outcomes.push(cluster.call((index + 1) % cluster.instances.len(), call).await);
    }
}

fn check_consistency(
    cluster: &Cluster,
    call: &ServiceCall,
    outcomes: &[CallOutcome],
) -> Result<()> {
    let runs = cluster.run_count(call);
    if runs > 1 {
        return fail!("ran {runs} times: {outcomes:?}");
    }
    if runs == 0 && outcomes.iter().any(CallOutcome::is_right) {
        return fail!("answered but never ran: {outcomes:?}");
    }
    if runs > 0 && outcomes.iter().all(CallOutcome::is_not_run) {
        return fail!("ran although refused as not run: {outcomes:?}");
    }
    Ok(())
}

/// Injects the faults before the key is claimed
async fn at_claim(faults: &[OnceFault]) -> Result<()> {
    let mut cluster = start_trust(INSTANCES).await.or_fail()?;
    claim_under(&mut cluster, faults).await
}

async fn claim_under(cluster: &mut Cluster, faults: &[OnceFault]) -> Result<()> {
    let call = register_call();
    faults.iter().for_each(|it| inject(cluster, *it));
    let mut outcomes = vec![cluster.call(0, &call).await];
    check_consistency(cluster, &call, &outcomes)?;
    clear_faults(cluster).await?;
    retry(cluster, &call, &mut outcomes).await;
    check_consistency(cluster, &call, &outcomes)
}

/// Injects the faults while the service runs the call, before its outcome is recorded
async fn at_dispatch(faults: &[OnceFault]) -> Result<()> {
    let mut cluster = start_trust(INSTANCES).await.or_fail()?;
    dispatch_under(&mut cluster, faults).await
}

async fn dispatch_under(cluster: &mut Cluster, faults: &[OnceFault]) -> Result<()> {
    for service in cluster.fleet.services.values() {
        service.set_faults(|it| it.answer_delay = SERVICE_TIME);
    }
    let call = register_call();
    let first = cluster.start_service_call(0, call.clone());
    let fleet = cluster.fleet.clone();
    let key = call.key.clone().unwrap_or_default();
    wait_for(|| fleet.execution_count(&key) > 0 || first.is_finished()).await?;
    faults.iter().for_each(|it| inject(cluster, *it));
    let mut outcomes = vec![first.await.or_fail()?];
    clear_faults(cluster).await?;
    retry(cluster, &call, &mut outcomes).await;
    check_consistency(cluster, &call, &outcomes)
}

/// Combines a fault with each later one of `ALL`, at both steps
async fn pairs_with(first: OnceFault) -> Result<()> {
    let mut cluster = start_trust(INSTANCES).await.or_fail()?;
    let later = ALL.into_iter().skip_while(|it| *it != first).skip(1);
    for second in later {
        let pair = || format!("{first:?} with {second:?}");
        claim_under(&mut cluster, &[first, second]).await.with_failure_message(pair)?;
        dispatch_under(&mut cluster, &[first, second]).await.with_failure_message(pair)?;
    }
    Ok(())
}

/// Checks that nothing runs while the log is down
///
/// The refusal may be "unknown", since an earlier attempt with the key can't be ruled out.
async fn nothing_runs_while_log_is_down() -> Result<()> {
    let cluster = start_trust(1).await.or_fail()?;
    cluster.fleet.log.set_down(true);
    let call = register_call();
    let refusal = cluster.call(0, &call).await;
    let CallOutcome::Refused { status, ran, .. } = refusal else {
        return fail!("expected a refusal, got {refusal:?}");
    };
    verify_that!(status.as_u16(), eq(503))?;
    verify_that!(ran, any!(eq(RanStatus::No), eq(RanStatus::Unknown)))?;
    verify_that!(cluster.run_count(&call), eq(0))?;
    cluster.fleet.log.set_down(false);
    let mut outcomes = Vec::new();
    retry(&cluster, &call, &mut outcomes).await;
    verify_that!(outcomes.last().is_some_and(CallOutcome::is_right), eq(true))?;
    verify_that!(cluster.run_count(&call), eq(1))
}

async fn unknown_outcome_is_not_rerun() -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    for service in cluster.fleet.services.values() {
        service.set_faults(|it| it.cut_after = 1);
    }
    let call = register_call();
    let first = cluster.call(0, &call).await;
    let second = cluster.call(1, &call).await;
    for outcome in [first, second] {
        verify_that!(outcome.is_right() || outcome.is_not_run(), eq(false))?;
    }
    verify_that!(cluster.run_count(&call), eq(1))
}

async fn same_key_at_all_instances() -> Result<()> {
    let cluster = start_trust(INSTANCES).await.or_fail()?;
    let call = register_call();
    let calls: Vec<_> =
        (0..9).map(|it| cluster.start_service_call(it % INSTANCES, call.clone())).collect();
    let mut rights = 0;
    for call in calls {
        rights += usize::from(call.await.or_fail()?.is_right());
    }
    verify_that!(rights, ge(1))?;
    verify_that!(cluster.run_count(&call), eq(1))
}

async fn recorded_answer_is_returned() -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    let call = register_call();
    check_right(&cluster.call(0, &call).await)?;
    check_right(&cluster.call(1, &call).await)?;
    verify_that!(cluster.run_count(&call), eq(1))
}

cases! { async
    claim_after_kill => at_claim(&[Kill]),
    claim_while_paused => at_claim(&[Pause]),
    claim_while_partitioned_from_log => at_claim(&[LogPartition]),
    claim_with_log_down => at_claim(&[LogDown]),
    claim_with_log_slow => at_claim(&[LogSlow]),
    claim_on_unresponsive_log_connection => at_claim(&[LogUnresponsive]),
    claim_with_answer_lost => at_claim(&[LogAnswerLost]),
    claim_with_append_lost => at_claim(&[LogAppendLost]),
    claim_with_list_down => at_claim(&[ListDown]),
    claim_with_service_crashed => at_claim(&[ServiceCrash]),
    dispatch_under_kill => at_dispatch(&[Kill]),
    dispatch_while_paused => at_dispatch(&[Pause]),
    dispatch_while_partitioned_from_log => at_dispatch(&[LogPartition]),
    dispatch_with_log_down => at_dispatch(&[LogDown]),
    dispatch_with_log_slow => at_dispatch(&[LogSlow]),
    dispatch_on_unresponsive_log_connection => at_dispatch(&[LogUnresponsive]),
    dispatch_with_log_answer_lost => at_dispatch(&[LogAnswerLost]),
    dispatch_with_answer_lost => at_dispatch(&[ServiceAnswerLost]),
    dispatch_on_unresponsive_connection => at_dispatch(&[ServiceUnresponsive]),
    dispatch_under_service_crash => at_dispatch(&[ServiceCrash]),
    once_pairs_with_kill => pairs_with(Kill),
    once_pairs_with_pause => pairs_with(Pause),
    once_pairs_with_log_partition => pairs_with(LogPartition),
    once_pairs_with_log_down => pairs_with(LogDown),
    once_pairs_with_log_slow => pairs_with(LogSlow),
    once_pairs_with_log_unresponsive => pairs_with(LogUnresponsive),
    once_pairs_with_log_answer_lost => pairs_with(LogAnswerLost),
    once_pairs_with_log_append_lost => pairs_with(LogAppendLost),
    once_pairs_with_service_answer_lost => pairs_with(ServiceAnswerLost),
    once_pairs_with_service_unresponsive => pairs_with(ServiceUnresponsive),
    once_pairs_with_service_crash => pairs_with(ServiceCrash),
    nothing_runs_with_log_down => nothing_runs_while_log_is_down(),
    unknown_outcome => unknown_outcome_is_not_rerun(),
    racing_callers => same_key_at_all_instances(),
    recorded_answer => recorded_answer_is_returned(),
}
