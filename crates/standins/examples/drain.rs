//! Compares two ways of emptying an engine before it is changed: waiting for every
//! instance's confirmation, and waiting for a fixed grace period.
//!
//! `cargo run --release -p standins --example drain [-- --rounds N]`
//!
//! All engines of the Trust change their version one after the other under streams of
//! mixed length. Each way is measured with all instances reached, and the grace period
//! also with one instance that doesn't hear of the change.

#[path = "../tests/common/mod.rs"]
mod common;

use catalogue::{CatalogueEntry, EntryKind, ModelTarget};
use common::{CALLER_KEY, Cluster};
use platform::engine::{EngineClient, EngineOrder};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::caller::CompletionCall;
use standins::deployment::{DeploymentKind, NEXT_MODEL_VERSION};
use standins::engine::EngineStandin;
use standins::fleet::FleetSettings;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const INSTANCES: usize = 3;
const LANES: usize = 60;
const MAX_TOKENS: u32 = 400;
const CHANGE_MS: u64 = 1_000;
const MODEL_BYTES: u64 = 200_000_000;
const WARM_UP: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(180);
const GRACE_PERIODS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(8)];

/// How an engine is emptied
#[derive(Debug, Clone, Copy)]
enum DrainWay {
    /// Every instance confirms
    Confirmed,
    /// Fixed period, with some instances that don't hear of it
    Grace { period: Duration, unreached: usize },
}

/// What a round of changes did
#[derive(Debug, Clone, Copy, Default)]
struct DrainFigures {
    cut: u32,
    wrong: u32,
    took: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let mut arguments = pico_args::Arguments::from_env();
    let rounds: u64 = arguments.opt_value_from_str("--rounds")?.unwrap_or(2);
    println!("way                      seed  cut by orders  answers not whole  time per engine");
    for way in ways() {
        for seed in 1..=rounds {
            let figures = measure(way, seed).await?;
            let per_engine = figures.took.as_secs_f64() / engines() as f64;
            println!(
                "{:<24} {seed:>4} {:>14} {:>18} {per_engine:>14.1} s",
                name(way),
                figures.cut,
                figures.wrong
            );
        }
    }
    Ok(())
}

fn ways() -> Vec<DrainWay> {
    let mut ways = vec![DrainWay::Confirmed];
    ways.extend(GRACE_PERIODS.map(|period| DrainWay::Grace { period, unreached: 0 }));
    ways.extend(GRACE_PERIODS.map(|period| DrainWay::Grace { period, unreached: 1 }));
    ways
}

fn name(way: DrainWay) -> String {
    match way {
        DrainWay::Confirmed => "confirmed".to_owned(),
        DrainWay::Grace { period, unreached } => {
            format!("grace {} s, {unreached} unreached", period.as_secs())
        }
    }
}

fn engines() -> usize {
    DeploymentKind::Trust.plan().engines
}

async fn measure(way: DrainWay, seed: u64) -> Result<DrainFigures, Box<dyn Error>> {
    let mut fleet = FleetSettings::of(DeploymentKind::Trust);
    fleet.engine.change_ms = CHANGE_MS;
    fleet.model_bytes = MODEL_BYTES;
    let cluster = Arc::new(Cluster::start(fleet, INSTANCES).await?);
    let stop = Arc::new(AtomicBool::new(false));
    let mut lanes = JoinSet::new();
    for lane in 0..LANES {
        lanes.spawn(run_lane(cluster.clone(), stop.clone(), seed, lane));
    }
    tokio::time::sleep(WARM_UP).await;
    let started = Instant::now();
    match way {
        DrainWay::Confirmed => change_confirmed(&cluster).await?,
        DrainWay::Grace { period, unreached } => change_after(&cluster, period, unreached).await?,
    }
    let took = started.elapsed();
    stop.store(true, Ordering::Relaxed);
    let wrong = lanes.join_all().await.into_iter().sum();
    let cut = cluster.fleet.orders().iter().map(|it| it.cut).sum();
    Ok(DrainFigures { cut, wrong, took })
}

/// Streams one after the other; answers how many were not whole
async fn run_lane(cluster: Arc<Cluster>, stop: Arc<AtomicBool>, seed: u64, lane: usize) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + lane as u64);
    let addresses = cluster.addresses();
    let mut wrong = 0;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let call = CompletionCall {
            entry: "summaries".into(),
            model: cluster.fleet.plan.model.clone(),
            prompt: format!("filing {lane}/{number}"),
            max_tokens: rng.random_range(1..=MAX_TOKENS),
            stream: true,
        };
        let outcome = cluster.caller.complete(addresses[lane % addresses.len()], &call).await;
        wrong += u32::from(!outcome.is_right());
    }
    wrong
}

/// Asks for the next version in the catalogue and lets the planner change the engines
async fn change_confirmed(cluster: &Cluster) -> Result<(), Box<dyn Error>> {
    let catalogue = &cluster.instances[0].handle.context().catalogue;
    for entry in DeploymentKind::Trust.entries(CALLER_KEY) {
        let EntryKind::Engine { model, adapter, .. } = entry.kind.clone() else {
            continue;
        };
        let kind = EntryKind::Engine { model, adapter, version: NEXT_MODEL_VERSION.into() };
        let base = catalogue.view().entry(&entry.name).map_or(0, |it| it.revision);
        catalogue.put(CatalogueEntry { kind, ..entry }, base, "drain".into()).await?;
    }
    for engine in cluster.fleet.engines.values() {
        await_version(engine).await;
    }
    Ok(())
}

/// Closes each engine where the change is heard of, waits and orders
async fn change_after(
    cluster: &Cluster,
    period: Duration,
    unreached: usize,
) -> Result<(), Box<dyn Error>> {
    // Without the log the planner can't undo what it hasn't planned; serving goes on.
    cluster.fleet.log.set_down(true);
    let client = EngineClient::new();
    for (index, (id, engine)) in cluster.fleet.engines.iter().enumerate() {
        set_closed(cluster, id, unreached, true);
        tokio::time::sleep(period).await;
        let target =
            ModelTarget { version: NEXT_MODEL_VERSION.into(), ..engine.state().target.clone() };
        let number = index as u64 + 1;
        let order = EngineOrder { order: number, fence: number, issuer: "drain".into(), target };
        client.order(engine.address(), &order, CALL_TIMEOUT).await?;
        await_version(engine).await;
        set_closed(cluster, id, unreached, false);
    }
    Ok(())
}

fn set_closed(cluster: &Cluster, engine: &str, unreached: usize, is_closed: bool) {
    for node in cluster.instances.values().skip(unreached) {
        if let Some(pool) = node.handle.context().registry.pool(&cluster.fleet.plan.engine_pool) {
            pool.set_closed(engine, is_closed);
        }
    }
}

async fn await_version(engine: &EngineStandin) {
    let due = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let state = engine.state();
        let is_done = state.ready && state.target.version == NEXT_MODEL_VERSION;
        if is_done || Instant::now() > due {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}
