//! Random faults of the soak, one or two at a time.

use crate::SoakPlan;
use crate::world::SoakWorld;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use standins::fault::FaultCommand;
use standins::log::LostAnswer;
use std::time::{Duration, Instant};

const CALM: Duration = Duration::from_millis(1_500);
const FORGET_DELAY: Duration = Duration::from_secs(2);
const PAIR_SHARE: f64 = 0.3;
const KINDS: u32 = 18;
const SLOW_SPEED: f64 = 0.3;

/// Planned stop of an instance
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainEvidence {
    /// Instance
    pub instance: SmolStr,
    /// Requests that it cut
    pub cut: u32,
}

/// Switches faults on and off until shortly before the plan ends
pub async fn run(world: SoakWorld, plan: SoakPlan, mut rng: ChaCha8Rng) -> Vec<DrainEvidence> {
    let mut drains = Vec::new();
    while Instant::now() < plan.until {
        tokio::time::sleep(CALM.mul_f64(rng.random_range(0.3..1.7))).await;
        let count = if rng.random_bool(PAIR_SHARE) { 2 } else { 1 };
        for _ in 0..count {
            drains.extend(inject(&world, &mut rng).await);
        }
    }
    calm(&world).await;
    drains
}

async fn inject(world: &SoakWorld, rng: &mut ChaCha8Rng) -> Option<DrainEvidence> {
    let time = Duration::from_millis(rng.random_range(500..6_000));
    let kind = rng.random_range(0..KINDS);
    match kind {
        0..=13 => {
            let (on, off) = standin_fault(kind, world, rng)?;
            println!("fault {on:?} for {time:?}");
            switch(world, on, off, time);
        }
        14 => replace_killed(world, rng).await,
        15 => return drain(world, rng).await,
        16 => part(world, rng, time, true).await,
        _ => part(world, rng, time, false).await,
    }
    None
}

/// A fault and what ends it
fn standin_fault(
    kind: u32,
    world: &SoakWorld,
    rng: &mut ChaCha8Rng,
) -> Option<(FaultCommand, Option<FaultCommand>)> {
    let engines: Vec<SmolStr> = world.fleet.engines.keys().cloned().collect();
    let services: Vec<SmolStr> = world.fleet.services.keys().cloned().collect();
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

fn switch(world: &SoakWorld, on: FaultCommand, off: Option<FaultCommand>, time: Duration) {
    let fleet = world.fleet.clone();
    // The orders name endpoints of this fleet only.
    let _ = fleet.apply(&on);
    if let Some(off) = off {
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let _ = fleet.apply(&off);
        });
    }
}

async fn replace_killed(world: &SoakWorld, rng: &mut ChaCha8Rng) {
    let Some(instance) = world.live().choose(rng).cloned() else {
        return;
    };
    println!("fault kill of {}", instance.id);
    world.retire(&instance.id);
    let mut cluster = world.cluster.lock().await;
    cluster.kill(&instance.id);
    tokio::time::sleep(FORGET_DELAY).await;
    cluster.remove_from_list(&instance.id);
    replace(world, &mut cluster).await;
}

async fn drain(world: &SoakWorld, rng: &mut ChaCha8Rng) -> Option<DrainEvidence> {
    let instance = world.live().choose(rng).cloned()?;
    println!("fault drain of {}", instance.id);
    world.retire(&instance.id);
    let mut cluster = world.cluster.lock().await;
    world.fleet.list.mark(&instance.id, catalogue::InstanceState::Leaving);
    let stopping = cluster.instances.shift_remove(&instance.id)?;
    let report = stopping.handle.drain().await;
    drop(stopping);
    cluster.remove_from_list(&instance.id);
    replace(world, &mut cluster).await;
    Some(DrainEvidence { instance: instance.id, cut: report.cut })
}

async fn replace(world: &SoakWorld, cluster: &mut crate::common::Cluster) {
    if let Err(error) = cluster.add_instance().await {
        println!("replacement failed: {error}");
    }
    world.refresh(cluster);
}

/// Parts an instance from the log or from the list
async fn part(world: &SoakWorld, rng: &mut ChaCha8Rng, time: Duration, is_log: bool) {
    let Some(instance) = world.live().choose(rng).cloned() else {
        return;
    };
    println!(
        "fault partition of {} from {} for {time:?}",
        instance.id,
        if is_log { "log" } else { "list" }
    );
    with_link(world, &instance.id, is_log, true).await;
    let world = world.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        with_link(&world, &instance.id, is_log, false).await;
    });
}

async fn with_link(world: &SoakWorld, id: &SmolStr, is_log: bool, cut: bool) {
    let cluster = world.cluster.lock().await;
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

async fn calm(world: &SoakWorld) {
    world.fleet.log.set_faults(|it| *it = standins::log::LogFaults::default());
    world.fleet.list.set_down(false);
    for engine in world.fleet.engines.values() {
        engine.pause(false);
        engine.set_speed(1.0);
        world.fleet.readmit(engine.id());
    }
    for service in world.fleet.services.values() {
        service.set_faults(|it| *it = standins::service::ServiceFaults::default());
    }
}
