//! Pairs of faults during a planned change of engines, against live instances.
//!
//! A catalogue edit requests another version of the model, so every engine is changed
//! in turn. Two faults are injected when an order is sent, and cleared after
//! `FAULT_TIME`. The tests check that no engine accepts conflicting orders, that no
//! change cuts a request, and that in the end all engines serve the requested version.

mod common;

use catalogue::EntryKind;
use catalogue::id::{EndpointId, InstanceId};
use common::fixture::{query_call, wait_for_long};
use common::{CALLER_KEY, Cluster};
use googletest::prelude::*;
use persimmonlift::settings::InstanceSettings;
use smol_str::SmolStr;
use standins::caller::CallOutcome;
use standins::deployment::{DeploymentKind, MODEL_VERSION, NEXT_MODEL_VERSION};
use standins::fleet::{Fleet, FleetSettings};
use standins::log::{LogFaults, LostAnswer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use testcases::cases;
use tokio::task::JoinSet;

const INSTANCES: usize = 3;
const STREAM_TASKS: usize = 9;
const FAULT_TIME: Duration = Duration::from_millis(1_200);

/// Fault that is injected during a change
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeFault {
    HolderKilled,
    HolderPartitioned,
    HolderPaused,
    LogDown,
    LogSlow,
    LogAnswerLost,
    EngineCrash,
    EngineUnresponsive,
    EnginePaused,
    EngineWithdrawn,
}

use ChangeFault::*;

const ALL: [ChangeFault; 10] = [
    HolderKilled,
    HolderPartitioned,
    HolderPaused,
    LogDown,
    LogSlow,
    LogAnswerLost,
    EngineCrash,
    EngineUnresponsive,
    EnginePaused,
    EngineWithdrawn,
];

fn fleet(ignoring_fence: usize) -> FleetSettings {
    let mut fleet = FleetSettings::of(DeploymentKind::Trust);
    fleet.engine.change_ms = 200;
    fleet.engine.restart_ms = 300;
    fleet.engine.report_lag_ms = 100;
    fleet.engine.speed.factor = 2.0;
    fleet.model_bytes = 20_000_000;
    fleet.list_lag_ms = 100;
    fleet.engines_ignoring_fence = ignoring_fence;
    fleet
}

fn set_short_times(settings: &mut InstanceSettings) {
    settings.planner.roles = false;
    settings.planner.tick_ms = 50;
    settings.planner.call_ms = 400;
    settings.planner.confirm_ms = 1_000;
    settings.planner.lease_term_ms = 1_500;
    settings.planner.lease_renewal_ms = 400;
    settings.planner.order_lifetime_ms = 1_000;
}

/// Order whose engine and issuer the faults affect
struct FaultedOrder {
    engine: EndpointId,
    holder: InstanceId,
}

fn inject(cluster: &mut Cluster, fault: ChangeFault, order: &FaultedOrder, tasks: &StreamTasks) {
    let fleet = cluster.fleet.clone();
    let engine = &fleet.engines[&order.engine];
    match fault {
        HolderKilled => {
            if let Some(instance) = cluster.instances.get(&order.holder) {
                tasks.allow_cut(instance.handle.caller_address());
            }
            cluster.kill(&order.holder);
            cluster.remove_from_list(&order.holder);
        }
        HolderPartitioned => {
            if let Some(instance) = cluster.instances.get(&order.holder) {
                instance.log.cut();
            }
        }
        HolderPaused => {
            if let Some(instance) = cluster.instances.get(&order.holder) {
                instance.pause(true);
            }
        }
        LogDown => fleet.log.set_down(true),
        LogSlow => fleet.log.set_faults(|it| {
            it.delay = Duration::from_millis(300);
            it.answer_delay = Duration::from_millis(300);
        }),
        LogAnswerLost => fleet.log.lose_answers(LostAnswer::AfterEffect, 2),
        EngineCrash => engine.crash(),
        EngineUnresponsive => engine.make_unresponsive(),
        EnginePaused => engine.pause(true),
        EngineWithdrawn => fleet.withdraw(&order.engine),
    }
}

/// Ends all injected faults and replaces killed instances
async fn clear_faults(cluster: &mut Cluster, order: &FaultedOrder) -> Result<()> {
    cluster.fleet.log.set_faults(|it| *it = LogFaults::default());
    cluster.fleet.engines[&order.engine].pause(false);
    cluster.fleet.readmit(&order.engine);
    for instance in cluster.instances.values() {
        instance.pause(false);
        instance.log.restore().await.or_fail()?;
    }
    while cluster.instances.len() < INSTANCES {
        cluster.add_instance().await.or_fail()?;
    }
    Ok(())
}

async fn request_version(cluster: &Cluster, version: &str) -> Result<()> {
    for entry in DeploymentKind::Trust.entries(CALLER_KEY) {
        let mut current = cluster.admin(0).get(&entry.name).await.or_fail()?;
        if let EntryKind::Engine { version: wanted, .. } = &mut current.entry.kind {
            *wanted = version.into();
            cluster.admin(0).put(&current.entry, current.revision).await.or_fail()?;
        }
    }
    Ok(())
}

fn all_serve(fleet: &Fleet, version: &str) -> bool {
    let states = fleet.engines.values().map(|it| it.state());
    states.into_iter().all(|it| it.ready && it.target.version == version)
}

/// Tasks that send streams through all instances until they are stopped
struct StreamTasks {
    stop: Arc<AtomicBool>,
    killed: Arc<Mutex<Vec<SocketAddr>>>,
    tasks: JoinSet<Vec<(SocketAddr, CallOutcome)>>,
}

impl StreamTasks {
    fn start(cluster: &Cluster) -> StreamTasks {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for task in 0..STREAM_TASKS {
            let addresses = cluster.addresses();
            let address = addresses[task % addresses.len()];
            let (caller, stop) = (cluster.caller.clone(), stop.clone());
            tasks.spawn(async move {
                let mut outcomes = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let call = query_call(&format!("{task} {}", outcomes.len()), 30);
                    let outcome = caller.complete(address, &call).await;
                    let is_right = outcome.is_right();
                    outcomes.push((address, outcome));
                    if !is_right {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                }
                outcomes
            });
        }
        StreamTasks { stop, killed: Arc::default(), tasks }
    }

    /// Allows calls at a killed instance to be cut
    fn allow_cut(&self, address: SocketAddr) {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner).push(address);
    }

    /// Stops the tasks and checks that every call was answered correctly or refused as not run
    async fn check(mut self) -> Result<()> {
        self.stop.store(true, Ordering::Relaxed);
        let killed = self.killed.lock().unwrap_or_else(PoisonError::into_inner).clone();
        while let Some(outcomes) = self.tasks.join_next().await {
            for (address, outcome) in outcomes.or_fail()? {
                let is_allowed = outcome.is_right() || outcome.is_not_run();
                if !is_allowed && !killed.contains(&address) {
                    return fail!("neither answered nor refused as not run: {outcome:?}");
                }
            }
        }
        Ok(())
    }
}

/// Requests a version, injects two faults at an order and waits until the change is complete
async fn change_under(
    cluster: &mut Cluster,
    version: &SmolStr,
    faults: [ChangeFault; 2],
) -> Result<()> {
    let tasks = StreamTasks::start(cluster);
    let fleet = cluster.fleet.clone();
    let before = fleet.orders().len();
    request_version(cluster, version).await?;
    wait_for_long("an order", || fleet.orders().len() > before).await?;
    let newest = fleet.engines.values().flat_map(|it| it.orders().pop()).max_by_key(|it| it.order);
    let newest = newest.or_fail()?;
    let order = FaultedOrder { engine: newest.engine, holder: newest.issuer };
    faults.iter().for_each(|it| inject(cluster, *it, &order, &tasks));
    tokio::time::sleep(FAULT_TIME).await;
    clear_faults(cluster, &order).await?;
    let what = format!("version {version} on all engines after {faults:?}");
    wait_for_long(&what, || all_serve(&fleet, version)).await?;
    tasks.check().await?;
    verify_that!(fleet.conflicts(), is_empty())?;
    let cut: u32 = fleet.orders().iter().map(|it| it.cut).sum();
    verify_that!(cut, eq(0))
}

async fn pairs_with(first: ChangeFault, ignoring_fence: usize) -> Result<()> {
    let entries = DeploymentKind::Trust.entries(CALLER_KEY);
    let cluster =
        Cluster::start_with(fleet(ignoring_fence), INSTANCES, &entries, set_short_times).await;
    let mut cluster = cluster.or_fail()?;
    let versions: [SmolStr; 2] = [NEXT_MODEL_VERSION.into(), MODEL_VERSION.into()];
    let later = ALL.into_iter().skip_while(|it| *it != first).skip(1);
    for (index, second) in later.enumerate() {
        change_under(&mut cluster, &versions[index % 2], [first, second]).await?;
    }
    Ok(())
}

cases! { async
    change_pairs_with_holder_killed => pairs_with(HolderKilled, 0),
    change_pairs_with_holder_partitioned => pairs_with(HolderPartitioned, 0),
    change_pairs_with_holder_paused => pairs_with(HolderPaused, 0),
    change_pairs_with_log_down => pairs_with(LogDown, 0),
    change_pairs_with_log_slow => pairs_with(LogSlow, 0),
    change_pairs_with_log_answer_lost => pairs_with(LogAnswerLost, 0),
    change_pairs_with_engine_crash => pairs_with(EngineCrash, 0),
    change_pairs_with_engine_unresponsive => pairs_with(EngineUnresponsive, 0),
    change_pairs_with_engine_paused => pairs_with(EnginePaused, 0),
    change_pairs_with_holder_killed_ignoring_fence => pairs_with(HolderKilled, 7),
}
