//! Random faults of the soak test, one or two at a time.

use crate::SoakPlan;
use crate::environment::SoakEnvironment;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use standins::fault::FaultCommand;
use standins::log::LostAnswer;
use std::time::{Duration, Instant};

const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);
const FORGET_DELAY: Duration = Duration::from_secs(2);
const PAIR_FRACTION: f64 = 0.3;
const FAULT_KINDS: u32 = 18;
const SLOW_SPEED: f64 = 0.3;

/// Planned stop of an instance
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainResult {
    pub instance: SmolStr,
    /// Number of requests that the instance cut off
    pub cut: u32,
}

/// Injects faults until the plan ends, then clears them
pub async fn run(
    environment: SoakEnvironment,
    plan: SoakPlan,
    mut rng: ChaCha8Rng,
) -> Vec<DrainResult> {
    let mut drains = Vec::new();
    while Instant::now() < plan.until {
        tokio::time::sleep(FAULT_INTERVAL.mul_f64(rng.random_range(0.3..1.7))).await;
        let count = if rng.random_bool(PAIR_FRACTION) { 2 } else { 1 };
        for _ in 0..count {
            drains.extend(inject(&environment, &mut rng).await);
        }
    }
    clear_faults(&environment).await;
    drains
}

async fn inject(environment: &SoakEnvironment, rng: &mut ChaCha8Rng) -> Option<DrainResult> {
    let time = Duration::from_millis(rng.random_range(500..6_000));
    let kind = rng.random_range(0..FAULT_KINDS);
    match kind {
        0..=13 => {
            let (on, off) = standin_fault(kind, environment, rng)?;
            println!("fault {on:?} for {time:?}");
            switch(environment, on, off, time);
        }
        14 => replace_killed(environment, rng).await,
        15 => return drain(environment, rng).await,
        16 => partition(environment, rng, time, true).await,
        _ => partition(environment, rng, time, false).await,
    }
    None
}

/// Command that starts a fault, and the one that ends it, if any
fn standin_fault(
    kind: u32,
    environment: &SoakEnvironment,
    rng: &mut ChaCha8Rng,
) -> Option<(FaultCommand, Option<FaultCommand>)> {
    let engines: Vec<SmolStr> = environment.fleet.engines.keys().cloned().collect();
    let services: Vec<SmolStr> = environment.fleet.services.keys().cloned().collect();
    let engine = engines.choose(rng)?.clone();
    let service = services.choose(rng)?.clone();
    let down_ms = rng.random_range(500..4_000);
    let count = rng.random_range(1..4);
    let when =
        if rng.random_bool(0.5) { LostAnswer::BeforeEffect } else { LostAnswer::AfterEffect };
    Some(match kind {
        0 => (FaultCommand::LogDown { down: true }, Some(FaultCommand::LogDown { down: false })),
        1 => (log_slow(200, 300), Some(log_slow(0, 0))),
        2 => (FaultCommand::LogLoseAnswers { when, count }, None),
        3 => (FaultCommand::LogSilent, None),
        4 => (FaultCommand::ListDown { down: true }, Some(FaultCommand::ListDown { down: false })),
        5 => (FaultCommand::EngineCrash { engine, down_ms }, None),
        6 => (FaultCommand::EngineSilent { engine }, None),
        7 => (
            FaultCommand::EnginePause { engine: engine.clone(), paused: true },
            Some(FaultCommand::EnginePause { engine, paused: false }),
        ),
        8 => (
            FaultCommand::EngineSpeed { engine: engine.clone(), factor: SLOW_SPEED },
            Some(FaultCommand::EngineSpeed { engine, factor: 1.0 }),
        ),
        9 => (
            FaultCommand::EngineLeave { engine: engine.clone(), leaving: true },
            Some(FaultCommand::EngineLeave { engine, leaving: false }),
        ),
        10 => (service_slow(&service, 400), Some(service_slow(&service, 0))),
        11 => (FaultCommand::ServiceLoseAnswers { service, when, count }, None),
        12 => (FaultCommand::ServiceCrash { service, down_ms }, None),
        _ => (FaultCommand::ServiceSilent { service }, None),
    })
}

fn log_slow(delay_ms: u64, answer_delay_ms: u64) -> FaultCommand {
    FaultCommand::LogSlow { delay_ms, answer_delay_ms }
}

fn service_slow(service: &SmolStr, answer_delay_ms: u64) -> FaultCommand {
    FaultCommand::ServiceSlow { service: service.clone(), delay_ms: 0, answer_delay_ms }
}

fn switch(
    environment: &SoakEnvironment,
    on: FaultCommand,
    off: Option<FaultCommand>,
    time: Duration,
) {
    let fleet = environment.fleet.clone();
    // The commands refer only to endpoints of this fleet.
    let _ = fleet.apply(&on);
    if let Some(off) = off {
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let _ = fleet.apply(&off);
        });
    }
}

async fn replace_killed(environment: &SoakEnvironment, rng: &mut ChaCha8Rng) {
    let Some(instance) = environment.live().choose(rng).cloned() else {
        return;
    };
    println!("fault kill of {}", instance.id);
    environment.remove_live(&instance.id);
    let mut cluster = environment.cluster.lock().await;
    cluster.kill(&instance.id);
    tokio::time::sleep(FORGET_DELAY).await;
    cluster.remove_from_list(&instance.id);
    replace(environment, &mut cluster).await;
}

async fn drain(environment: &SoakEnvironment, rng: &mut ChaCha8Rng) -> Option<DrainResult> {
    let instance = environment.live().choose(rng).cloned()?;
    println!("fault drain of {}", instance.id);
    environment.remove_live(&instance.id);
    let mut cluster = environment.cluster.lock().await;
    environment.fleet.list.set_state(&instance.id, catalogue::InstanceState::Leaving);
    let stopping = cluster.instances.shift_remove(&instance.id)?;
    let report = stopping.handle.drain().await;
    drop(stopping);
    cluster.remove_from_list(&instance.id);
    replace(environment, &mut cluster).await;
    Some(DrainResult { instance: instance.id, cut: report.cut })
}

async fn replace(environment: &SoakEnvironment, cluster: &mut crate::common::Cluster) {
    if let Err(error) = cluster.add_instance().await {
        println!("replacement failed: {error}");
    }
    environment.update_live(cluster);
}

/// Partitions an instance from the log or from the list of instances
async fn partition(
    environment: &SoakEnvironment,
    rng: &mut ChaCha8Rng,
    time: Duration,
    is_log: bool,
) {
    let Some(instance) = environment.live().choose(rng).cloned() else {
        return;
    };
    println!(
        "fault partition of {} from {} for {time:?}",
        instance.id,
        if is_log { "log" } else { "list" }
    );
    set_link(environment, &instance.id, is_log, true).await;
    let environment = environment.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        set_link(&environment, &instance.id, is_log, false).await;
    });
}

async fn set_link(environment: &SoakEnvironment, id: &SmolStr, is_log: bool, cut: bool) {
    let cluster = environment.cluster.lock().await;
    let Some(instance) = cluster.instances.get(id) else {
        return;
    };
    let link = if is_log { &instance.log } else { &instance.list };
    if cut {
        link.cut();
    } else if let Err(error) = link.restore().await {
        println!("link not restored: {error}");
    }
}

async fn clear_faults(environment: &SoakEnvironment) {
    environment.fleet.log.set_faults(|it| *it = standins::log::LogFaults::default());
    environment.fleet.list.set_down(false);
    for engine in environment.fleet.engines.values() {
        engine.pause(false);
        engine.set_speed(1.0);
        environment.fleet.readmit(engine.id());
    }
    for service in environment.fleet.services.values() {
        service.set_faults(|it| *it = standins::service::ServiceFaults::default());
    }
}
