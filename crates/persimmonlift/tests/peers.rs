//! Communication between instances: members, strikes, relayed records, grants, plans.

mod harness;

use googletest::prelude::*;
use harness::*;
use http::{Method, StatusCode};
use peer::message::{ConfirmRequest, EntryDemand, EntryRates, GrantRequest};
use peer::{PeerError, PeerRefusal, PeerReply, PeerRequest};
use persimmonlift::instance::InstanceHandle;
use persimmonlift::settings::InstanceSettings;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::time::Duration;
use testcases::cases;
use uuid::Uuid;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an answer of the log that shows it is cut off; longer than a long poll.
const LOG_CUT_OFF_TIME: Duration = Duration::from_secs(3);
const FINGERPRINT: u64 = 0x5eed;

fn live_peers(instance: &InstanceHandle) -> usize {
    instance.context().peers.view().live_peers().count()
}

async fn start(instances: usize) -> Result<Deployment> {
    start_with(instances, |_| {}).await
}

async fn start_with(
    instances: usize,
    change: impl Fn(&mut InstanceSettings),
) -> Result<Deployment> {
    let fleet = FleetSettings { list_lag_ms: 50, ..FleetSettings::of(DeploymentKind::Trust) };
    let deployment = Deployment::start_with(instances, fleet, change).await?;
    await_until("all instances are live members of each other", || {
        deployment.instances.iter().all(|it| live_peers(it) == instances - 1)
    })
    .await?;
    Ok(deployment)
}

/// Calls instance 1 from instance 0.
async fn call(
    deployment: &Deployment,
    request: PeerRequest,
) -> Result<std::result::Result<PeerReply, PeerError>> {
    let links = &deployment.instances[0].context().peers;
    let view = links.view();
    let member = view.member(deployment.instances[1].id()).or_fail()?;
    Ok(links.call(member, request, CALL_TIMEOUT).await)
}

async fn check_status() -> Result<()> {
    let deployment = start(3).await?;
    let status = deployment.admin(Method::GET, "/admin/status", &[], "").await?.json()?;
    let peers = status["peers"].as_array().or_fail()?;
    verify_that!(peers.len(), eq(2))?;
    verify_that!(peers.iter().all(|it| it["live"] == true), eq(true))
}

/// Heartbeats detect a killed instance that is still listed, and other instances become
/// the homes of its keys.
async fn check_killed() -> Result<()> {
    let mut deployment = start(3).await?;
    deployment.instances.remove(2).kill();
    await_until("the killed instance is detected", || {
        deployment.instances.iter().all(|it| live_peers(it) == 1)
    })
    .await?;
    for number in 0..8 {
        let body = format!("dwelling {number}");
        let answer = deployment.register(0, &Uuid::now_v7().to_string(), &body).await?;
        verify_that!(answer.status, eq(StatusCode::OK))?;
    }
    Ok(())
}

async fn check_strike() -> Result<()> {
    let deployment = start(3).await?;
    deployment.instances[0].context().suspects.strike(FINGERPRINT, &"summary-1".into());
    await_until("all instances have the strike", || {
        deployment.instances.iter().all(|it| it.context().suspects.count(FINGERPRINT) == 1)
    })
    .await
}

async fn check_late_strike() -> Result<()> {
    let mut deployment = start(2).await?;
    deployment.instances[0].context().suspects.strike(FINGERPRINT, &"summary-1".into());
    let settings = settings(&deployment.fleet, 2);
    deployment.add_instance(settings).await?;
    await_until("the instance that started later has the strike", || {
        deployment.instances.iter().all(|it| it.context().suspects.count(FINGERPRINT) == 1)
    })
    .await
}

/// An instance that can't reach the log receives edits through its peers.
async fn check_relay() -> Result<()> {
    let mut deployment = start(2).await?;
    let own_log = deployment.fleet.log.serve().or_fail()?;
    let mut settings = settings(&deployment.fleet, 2);
    settings.platform.log = own_log.address();
    deployment.add_instance(settings).await?;
    deployment.await_ready().await?;
    drop(own_log);
    let instances = &deployment.instances;
    let cut_off = &instances[2].context().catalogue;
    await_until("the log is cut off", || {
        cut_off.status().last_log_contact.is_some_and(|it| it.elapsed() > LOG_CUT_OFF_TIME)
    })
    .await?;
    let view = instances[0].context().catalogue.view();
    let mut entry = (*view.entry("summaries").or_fail()?.entry).clone();
    entry.limits.in_flight = 77;
    let base = view.revision("summaries");
    let put = instances[0].context().catalogue.put(entry, base, "test".into());
    let revision = put.await.or_fail()?;
    await_until("the edit is in force on the instance without a log", || {
        cut_off.view().revision("summaries") == revision
    })
    .await?;
    let is_cut_off =
        cut_off.status().last_log_contact.is_some_and(|it| it.elapsed() > LOG_CUT_OFF_TIME);
    verify_that!(is_cut_off, eq(true))?;
    verify_that!(instances[2].context().status.is_ready(), eq(true))
}

/// If the log is down for all, instances that reach each other stay ready.
async fn check_log_down() -> Result<()> {
    let deployment = start_with(3, |it| it.timeouts.isolation_ms = 2_500).await?;
    await_until("all have contact", || {
        deployment.instances.iter().all(|it| it.context().peers.view().last_contact.is_some())
    })
    .await?;
    deployment.fleet.log.set_down(true);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let is_ready = |it: &InstanceHandle| it.context().status.is_ready();
    verify_that!(deployment.instances.iter().all(is_ready), eq(true))?;
    deployment.check_stream(0, &prompt(1, 50), 10).await
}

/// An instance that reaches neither the log nor a peer turns unready.
async fn check_isolated() -> Result<()> {
    let mut deployment = start_with(3, |it| it.timeouts.isolation_ms = 1_500).await?;
    deployment.fleet.log.set_down(true);
    for instance in deployment.instances.drain(1..) {
        instance.kill();
    }
    let status = &deployment.instances[0].context().status;
    await_until("the last instance is isolated", || !status.is_ready()).await
}

/// Instances that read a record of a newer version turn unready even with live peers.
async fn check_newer_record() -> Result<()> {
    let deployment = start_with(2, |it| it.timeouts.isolation_ms = 1_500).await?;
    let record = "persimmonlift/999 other/run 1 0000000000000000\n{}";
    deployment.fleet.log.append("catalogue".into(), record.into()).await.or_fail()?;
    await_until("all are unready", || {
        deployment.instances.iter().all(|it| !it.context().status.is_ready())
    })
    .await
}

async fn check_grant() -> Result<()> {
    let deployment = start(2).await?;
    let rates = EntryRates { requests_per_s: 10.0, tokens_per_s: 1_000.0, in_flight: 4.0 };
    let demands = ["summaries", "unheard-of"]
        .map(|it| EntryDemand { entry: it.into(), rates, held: 1 })
        .to_vec();
    let request = GrantRequest { instance: "entry-1".into(), demands };
    let reply = call(&deployment, PeerRequest::Grant(request)).await?.or_fail()?;
    let PeerReply::Granted(reply) = reply else {
        return fail!("another reply: {reply:?}");
    };
    verify_that!(reply.grants.len(), eq(1))?;
    verify_that!(reply.grants[0].entry.as_str(), eq("summaries"))?;
    verify_that!(reply.grants[0].rates.requests_per_s, gt(0.0))
}

/// An instance doesn't confirm a plan that it has not read.
async fn check_plan_unread() -> Result<()> {
    let deployment = start(2).await?;
    let request = ConfirmRequest { pool: "summary".into(), plan: 999, engine: "summary-1".into() };
    let error = call(&deployment, PeerRequest::ConfirmPlan(request)).await?.unwrap_err();
    verify_that!(matches!(error, PeerError::Refused(PeerRefusal::Behind)), eq(true))
}

cases! { async
    status_names_peers => check_status(),
    killed_instance_is_detected => check_killed(),
    strike_is_sent_to_all => check_strike(),
    // Guards against a crashing request that an instance runs again, since it started after the crashes.
    strike_is_sent_to_an_instance_that_starts_later => check_late_strike(),
    edit_is_relayed_by_peers => check_relay(),
    log_down_for_all_keeps_serving => check_log_down(),
    isolated_turns_unready => check_isolated(),
    newer_record_turns_unready => check_newer_record(),
    home_grants_limits => check_grant(),
    unread_plan_is_not_confirmed => check_plan_unread(),
}
