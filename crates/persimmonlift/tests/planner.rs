//! Planned changes on live stand-ins: what they cut, and what a fault leaves behind.
//!
//! A catalogue edit asks for another version of the model, so every engine has to be
//! changed in turn.

mod harness;

use catalogue::id::EndpointId;
use catalogue::{CatalogueEntry, EntryKind};
use googletest::prelude::*;
use harness::*;
use http::Request;
use http_body_util::Full;
use persimmonlift::node::NodeHandle;
use persimmonlift::settings::NodeSettings;
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

/// Fault that meets a change
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

fn quick(settings: &mut NodeSettings) {
    // A single instance has no peer to tell an outage of the log from its own isolation.
    settings.timeouts.isolation_ms = 60_000;
    settings.planner.roles = false;
    settings.planner.tick_ms = 50;
    settings.planner.call_ms = 400;
    settings.planner.confirm_ms = 1_000;
    settings.planner.lease_term_ms = 1_500;
    settings.planner.lease_renewal_ms = 400;
    settings.planner.order_lifetime_ms = 1_000;
}

async fn ask_for_next_version(deployment: &Deployment) -> Result<()> {
    let catalogue = &deployment.nodes[0].context().catalogue;
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

/// Sends streams one after the other until told to stop; answers how many were whole
async fn stream_on(caller: SocketAddr, stop: Arc<AtomicBool>, lane: usize) -> Result<u32> {
    let client = HttpClient::new();
    let mut whole = 0;
    while !stop.load(Ordering::Relaxed) {
        let prompt = prompt(lane * 1_000 + whole as usize, 200);
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{caller}/v1/completions"))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(completion_body("summaries", &prompt, 30, true).into()))
            .or_fail()?;
        check_streamed(&send(&client, request).await?, &prompt, 30)?;
        whole += 1;
    }
    Ok(whole)
}

/// Streams through some instances, to be ended by `whole`
struct StreamLanes {
    stop: Arc<AtomicBool>,
    lanes: tokio::task::JoinSet<Result<u32>>,
}

impl StreamLanes {
    fn start<'a>(nodes: impl Iterator<Item = &'a NodeHandle>) -> StreamLanes {
        let stop = Arc::new(AtomicBool::new(false));
        let mut lanes = tokio::task::JoinSet::new();
        for (index, node) in nodes.enumerate() {
            for lane in 0..16 {
                lanes.spawn(stream_on(node.caller_address(), stop.clone(), index * 16 + lane));
            }
        }
        StreamLanes { stop, lanes }
    }

    /// Checks that every stream was whole
    async fn whole(mut self) -> Result<()> {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(lane) = self.lanes.join_next().await {
            verify_that!(lane.or_fail()??, gt(0))?;
        }
        Ok(())
    }
}

fn check_orders(deployment: &Deployment) -> Result<()> {
    verify_that!(deployment.fleet.conflicts(), is_empty())?;
    // Work that a crashed engine lost was not cut by the plan.
    let cut: u32 = deployment.fleet.orders().iter().map(|it| it.cut).sum();
    verify_that!(cut, eq(0))
}

async fn check_change(nodes: usize, fault: ChangeFault, ignoring_fence: usize) -> Result<()> {
    let deployment = Deployment::start_with(nodes, fleet(ignoring_fence), quick).await?;
    let lanes = StreamLanes::start(deployment.nodes.iter());
    ask_for_next_version(&deployment).await?;
    let gone = strike(&deployment, fault).await?;
    await_next_version(&deployment, &gone).await?;
    lanes.whole().await?;
    check_orders(&deployment)
}

/// The instance that sent the first order is killed at once; another one goes on
async fn check_holder_killed(ignoring_fence: usize) -> Result<()> {
    let mut deployment = Deployment::start_with(3, fleet(ignoring_fence), quick).await?;
    ask_for_next_version(&deployment).await?;
    await_until("an engine is ordered", || !deployment.fleet.orders().is_empty()).await?;
    let holder = deployment.fleet.orders().swap_remove(0).issuer;
    let index = deployment.nodes.iter().position(|it| *it.id() == holder).or_fail()?;
    deployment.nodes.remove(index).kill();
    let lanes = StreamLanes::start(deployment.nodes.iter());
    deployment.fleet.list.remove(&holder);
    await_next_version(&deployment, &[]).await?;
    lanes.whole().await?;
    let orders = deployment.fleet.orders();
    let others = orders.iter().filter(|it| it.issuer != holder);
    verify_that!(others.count(), gt(0))?;
    check_orders(&deployment)
}

/// Waits for a first order and brings the fault; answers engines that are gone for good
async fn strike(deployment: &Deployment, fault: ChangeFault) -> Result<Vec<EndpointId>> {
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

/// A listed instance that never answers keeps every engine as it is
async fn check_unconfirmed() -> Result<()> {
    let deployment = Deployment::start_with(1, fleet(0), quick).await?;
    let silent = std::net::TcpListener::bind("127.0.0.1:0").or_fail()?;
    let address = silent.local_addr().or_fail()?;
    deployment.fleet.register_instance("entry-9".into(), "south-a".into(), address);
    await_until("the silent instance is listed", || {
        let entries = deployment.nodes[0].context().registry.entry_instances();
        entries.borrow().len() == 2
    })
    .await?;
    ask_for_next_version(&deployment).await?;
    let controls = deployment.nodes[0].context().planner.controls();
    let control = controls.iter().find(|it| it.0 == POOL).or_fail()?.1.clone();
    await_until("an unconfirmed plan is withdrawn", || !control.view().closed().is_empty()).await?;
    verify_that!(deployment.fleet.orders(), is_empty())?;
    deployment.fleet.list.remove("entry-9");
    await_next_version(&deployment, &[]).await
}

/// An instance that starts while a plan is open is not ready before it has read it
async fn check_start_under_plan() -> Result<()> {
    let patient = |settings: &mut NodeSettings| {
        quick(settings);
        settings.planner.confirm_ms = 60_000;
    };
    let mut deployment = Deployment::start_with(1, fleet(0), patient).await?;
    let silent = std::net::TcpListener::bind("127.0.0.1:0").or_fail()?;
    let address = silent.local_addr().or_fail()?;
    deployment.fleet.register_instance("entry-9".into(), "south-a".into(), address);
    await_until("the silent instance is listed", || {
        let entries = deployment.nodes[0].context().registry.entry_instances();
        entries.borrow().len() == 2
    })
    .await?;
    ask_for_next_version(&deployment).await?;
    await_until("a plan is open", || planned_engine(&deployment).is_some()).await?;
    let engine = planned_engine(&deployment).or_fail()?;
    let mut settings = settings(&deployment.fleet, 1);
    patient(&mut settings);
    deployment.add_node(settings).await?;
    let context = deployment.nodes[1].context().clone();
    await_until("the new instance is ready", || context.standing.is_ready()).await?;
    let controls = context.planner.controls();
    let known = controls.iter().any(|it| it.1.view().plan_of(&engine).is_some());
    verify_that!(known, eq(true))
}

fn planned_engine(deployment: &Deployment) -> Option<EndpointId> {
    let controls = deployment.nodes[0].context().planner.controls();
    controls.iter().find_map(|it| it.1.view().plans().next().map(|it| it.engine.clone()))
}

/// Before the log is read, a call is refused as not run rather than as unknown
async fn check_call_while_starting() -> Result<()> {
    let mut deployment = Deployment::start_with(1, fleet(0), quick).await?;
    deployment.fleet.log.set_down(true);
    deployment.fleet.list.set_down(true);
    let mut settings = settings(&deployment.fleet, 1);
    quick(&mut settings);
    deployment.add_node(settings).await?;
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
