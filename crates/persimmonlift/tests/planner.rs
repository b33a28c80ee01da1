//! Planned changes on running stand-ins: they cut no stream, and they continue after
//! faults.
//!
//! A catalogue edit requests another version of the model, so the planner has to change
//! every engine in turn.

mod harness;

use catalogue::id::EndpointId;
use catalogue::{CatalogueEntry, EntryKind};
use googletest::prelude::*;
use harness::*;
use http::Request;
use http_body_util::Full;
use persimmonlift::instance::InstanceHandle;
use persimmonlift::settings::InstanceSettings;
use platform::http::HttpClient;
use smol_str::SmolStr;
use standins::deployment::{DeploymentKind, NEXT_MODEL_VERSION};
use standins::fleet::FleetSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use testcases::cases;

const POOL: &str = "summary";

/// Fault that is injected during a change
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeFault {
    None,
    EngineCrash,
    EngineGone,
    LogOutage,
}

fn fleet(ignoring_fence: usize) -> FleetSettings {
    let mut fleet = FleetSettings::of(DeploymentKind::Trust);
    fleet.engine.change_ms = 300;
    fleet.engine.report_lag_ms = 100;
    fleet.model_bytes = 20_000_000;
    fleet.engine.restart_ms = 300;
    fleet.engines_ignoring_fence = ignoring_fence;
    fleet.list_lag_ms = 100;
    fleet
}

fn short_timeouts(settings: &mut InstanceSettings) {
    // Without a peer, an outage of the log would make a single instance count as isolated.
    settings.timeouts.isolation_ms = 60_000;
    settings.planner.roles = false;
    settings.planner.tick_ms = 50;
    settings.planner.call_ms = 400;
    settings.planner.confirm_ms = 1_000;
    settings.planner.lease_term_ms = 1_500;
    settings.planner.lease_renewal_ms = 400;
    settings.planner.order_lifetime_ms = 1_000;
}

async fn request_next_version(deployment: &Deployment) -> Result<()> {
    let catalogue = &deployment.instances[0].context().catalogue;
    for entry in DeploymentKind::Trust.entries(KEY) {
        let EntryKind::Engine { model, adapter, .. } = entry.kind.clone() else {
            continue;
        };
        let kind = EntryKind::Engine { model, adapter, version: NEXT_MODEL_VERSION.into() };
        let base = catalogue.view().entry(&entry.name).map_or(0, |it| it.revision);
        let edit = CatalogueEntry { kind, ..entry };
        catalogue.put(edit, base, "test".into()).await.or_fail()?;
    }
    Ok(())
}

fn served_versions(deployment: &Deployment, except: &[EndpointId]) -> Vec<SmolStr> {
    let engines = deployment.fleet.engines.iter().filter(|it| !except.contains(it.0));
    engines.map(|(_, it)| it.state()).filter(|it| it.ready).map(|it| it.target.version).collect()
}

async fn await_next_version(deployment: &Deployment, except: &[EndpointId]) -> Result<()> {
    let expected = deployment.fleet.engines.len() - except.len();
    await_until("every engine serves the next version", || {
        let versions = served_versions(deployment, except);
        versions.iter().filter(|it| *it == NEXT_MODEL_VERSION).count() == expected
    })
    .await
}

/// Sends streams one after another until `stop` is set; returns how many were complete
async fn run_streams(caller: SocketAddr, stop: Arc<AtomicBool>, worker: usize) -> Result<u32> {
    let client = HttpClient::new();
    let mut complete = 0;
    while !stop.load(Ordering::Relaxed) {
        let prompt = prompt(worker * 1_000 + complete as usize, 200);
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{caller}/v1/completions"))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(completion_body("summaries", &prompt, 30, true).into()))
            .or_fail()?;
        check_streamed(&send(&client, request).await?, &prompt, 30)?;
        complete += 1;
    }
    Ok(complete)
}

/// Background streams through some instances; `stop_and_check` ends them
struct StreamWorkers {
    stop: Arc<AtomicBool>,
    workers: tokio::task::JoinSet<Result<u32>>,
}

impl StreamWorkers {
    fn start<'a>(instances: impl Iterator<Item = &'a InstanceHandle>) -> StreamWorkers {
        let stop = Arc::new(AtomicBool::new(false));
        let mut workers = tokio::task::JoinSet::new();
        for (index, instance) in instances.enumerate() {
            for worker in 0..16 {
                workers.spawn(run_streams(
                    instance.caller_address(),
                    stop.clone(),
                    index * 16 + worker,
                ));
            }
        }
        StreamWorkers { stop, workers }
    }

    /// Stops the workers and checks that all streams were complete
    async fn stop_and_check(mut self) -> Result<()> {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(worker) = self.workers.join_next().await {
            verify_that!(worker.or_fail()??, gt(0))?;
        }
        Ok(())
    }
}

fn check_orders(deployment: &Deployment) -> Result<()> {
    verify_that!(deployment.fleet.conflicts(), is_empty())?;
    // Counts only work cut by orders, not work lost by a crashed engine.
    let cut: u32 = deployment.fleet.orders().iter().map(|it| it.cut).sum();
    verify_that!(cut, eq(0))
}

async fn check_change(instances: usize, fault: ChangeFault, ignoring_fence: usize) -> Result<()> {
    let deployment =
        Deployment::start_with(instances, fleet(ignoring_fence), short_timeouts).await?;
    let workers = StreamWorkers::start(deployment.instances.iter());
    request_next_version(&deployment).await?;
    let removed = inject_fault(&deployment, fault).await?;
    await_next_version(&deployment, &removed).await?;
    workers.stop_and_check().await?;
    check_orders(&deployment)
}

/// The instance that sent the first order is killed; another one takes over the plan.
async fn check_holder_killed(ignoring_fence: usize) -> Result<()> {
    let mut deployment = Deployment::start_with(3, fleet(ignoring_fence), short_timeouts).await?;
    request_next_version(&deployment).await?;
    await_until("an engine is ordered", || !deployment.fleet.orders().is_empty()).await?;
    let holder = deployment.fleet.orders().swap_remove(0).issuer;
    let index = deployment.instances.iter().position(|it| *it.id() == holder).or_fail()?;
    deployment.instances.remove(index).kill();
    let workers = StreamWorkers::start(deployment.instances.iter());
    deployment.fleet.list.remove(&holder);
    await_next_version(&deployment, &[]).await?;
    workers.stop_and_check().await?;
    let orders = deployment.fleet.orders();
    let others = orders.iter().filter(|it| it.issuer != holder);
    verify_that!(others.count(), gt(0))?;
    check_orders(&deployment)
}

/// Waits for the first order, then injects the fault; returns the engines removed by it
async fn inject_fault(deployment: &Deployment, fault: ChangeFault) -> Result<Vec<EndpointId>> {
    await_until("an engine is ordered", || !deployment.fleet.orders().is_empty()).await?;
    let order = deployment.fleet.orders().swap_remove(0);
    let engine = &deployment.fleet.engines[&order.engine];
    match fault {
        ChangeFault::None => {}
        ChangeFault::EngineCrash => engine.crash(),
        ChangeFault::EngineGone => {
            engine.crash_for(Duration::from_secs(3_600));
            deployment.fleet.list.remove(&order.engine);
            return Ok(vec![order.engine.clone()]);
        }
        ChangeFault::LogOutage => {
            deployment.fleet.log.set_down(true);
            tokio::time::sleep(Duration::from_secs(2)).await;
            let during = deployment.fleet.orders().len();
            tokio::time::sleep(Duration::from_millis(500)).await;
            verify_that!(deployment.fleet.orders().len(), eq(during))?;
            deployment.fleet.log.set_down(false);
        }
    }
    Ok(Vec::new())
}

/// While a listed instance doesn't answer, plans are withdrawn and no order is sent.
async fn check_unconfirmed() -> Result<()> {
    let deployment = Deployment::start_with(1, fleet(0), short_timeouts).await?;
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").or_fail()?;
    let address = unresponsive.local_addr().or_fail()?;
    deployment.fleet.register_instance("entry-9".into(), "south-a".into(), address);
    await_until("the unresponsive instance is listed", || {
        let entries = deployment.instances[0].context().registry.entry_instances();
        entries.borrow().len() == 2
    })
    .await?;
    request_next_version(&deployment).await?;
    let controls = deployment.instances[0].context().planner.controls();
    let control = controls.iter().find(|it| it.0 == POOL).or_fail()?.1.clone();
    await_until("an unconfirmed plan is withdrawn", || !control.view().closed().is_empty()).await?;
    verify_that!(deployment.fleet.orders(), is_empty())?;
    deployment.fleet.list.remove("entry-9");
    await_next_version(&deployment, &[]).await
}

/// An instance that starts while a plan is open becomes ready only after reading it.
async fn check_start_under_plan() -> Result<()> {
    let slow_confirmation = |settings: &mut InstanceSettings| {
        short_timeouts(settings);
        settings.planner.confirm_ms = 60_000;
    };
    let mut deployment = Deployment::start_with(1, fleet(0), slow_confirmation).await?;
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").or_fail()?;
    let address = unresponsive.local_addr().or_fail()?;
    deployment.fleet.register_instance("entry-9".into(), "south-a".into(), address);
    await_until("the unresponsive instance is listed", || {
        let entries = deployment.instances[0].context().registry.entry_instances();
        entries.borrow().len() == 2
    })
    .await?;
    request_next_version(&deployment).await?;
    await_until("a plan is open", || planned_engine(&deployment).is_some()).await?;
    let engine = planned_engine(&deployment).or_fail()?;
    let mut settings = settings(&deployment.fleet, 1);
    slow_confirmation(&mut settings);
    deployment.add_instance(settings).await?;
    let context = deployment.instances[1].context().clone();
    await_until("the new instance is ready", || context.status.is_ready()).await?;
    let controls = context.planner.controls();
    let known = controls.iter().any(|it| it.1.view().plan_for_engine(&engine).is_some());
    verify_that!(known, eq(true))
}

fn planned_engine(deployment: &Deployment) -> Option<EndpointId> {
    let controls = deployment.instances[0].context().planner.controls();
    controls.iter().find_map(|it| it.1.view().plans().next().map(|it| it.engine.clone()))
}

/// Before an instance has read the log, it refuses calls as not run, not as unknown.
async fn check_call_while_starting() -> Result<()> {
    let mut deployment = Deployment::start_with(1, fleet(0), short_timeouts).await?;
    deployment.fleet.log.set_down(true);
    deployment.fleet.list.set_down(true);
    let mut settings = settings(&deployment.fleet, 1);
    short_timeouts(&mut settings);
    deployment.add_instance(settings).await?;
    let answer = deployment.complete(1, &prompt(1, 20), 5).await?;
    verify_that!(answer.code()?.as_str(), eq("starting"))?;
    verify_that!(answer.header("persimmon-ran"), eq("no"))?;
    verify_that!(answer.header("retry-after"), not(eq("")))
}

cases! { async
    start_under_an_open_plan => check_start_under_plan(),
    call_while_starting => check_call_while_starting(),
    change_cuts_no_stream => check_change(1, ChangeFault::None, 0),
    change_before_three_instances_cuts_no_stream => check_change(3, ChangeFault::None, 0),
    change_of_engines_that_ignore_fences_cuts_no_stream => check_change(3, ChangeFault::None, 7),
    engine_crash_half_way => check_change(1, ChangeFault::EngineCrash, 0),
    engine_withdrawn_half_way => check_change(3, ChangeFault::EngineGone, 0),
    log_outage_half_way => check_change(3, ChangeFault::LogOutage, 0),
    holder_killed_half_way => check_holder_killed(0),
    holder_killed_half_way_before_engines_that_ignore_fences => check_holder_killed(7),
    unconfirmed_plan_orders_nothing => check_unconfirmed(),
}
