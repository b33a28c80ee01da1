//! Compares two methods of draining an engine before a change: waiting for the
//! confirmation of every instance, and waiting for a fixed grace period.
//!
//! `cargo run --release -p standins --example drain [-- --rounds N]`
//!
//! All engines of the Trust change their version one after the other while they serve
//! streams of mixed length. Both methods are measured with all instances informed of
//! the change, and the grace period also with one instance that isn't informed.

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
const STREAM_TASKS: usize = 60;
const MAX_OUTPUT_TOKENS: u32 = 400;
const CHANGE_MS: u64 = 1_000;
const MODEL_BYTES: u64 = 200_000_000;
const WARM_UP: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(180);
const GRACE_PERIODS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(8)];

/// How an engine is drained
#[derive(Debug, Clone, Copy)]
enum DrainMethod {
    /// Wait until every instance has confirmed
    Confirmed,
    /// Wait for a fixed period; `unreached` instances aren't informed of the change
    Grace { period: Duration, unreached: usize },
}

/// Result of changing all engines
#[derive(Debug, Clone, Copy, Default)]
struct DrainResult {
    cut: u32,
    wrong: u32,
    took: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let mut arguments = pico_args::Arguments::from_env();
    let rounds: u64 = arguments.opt_value_from_str("--rounds")?.unwrap_or(2);
    println!("method                   seed  cut by orders  incorrect answers  time per engine");
    for method in methods() {
        for seed in 1..=rounds {
            let result = measure(method, seed).await?;
            let per_engine = result.took.as_secs_f64() / engine_count() as f64;
            println!(
                "{:<24} {seed:>4} {:>14} {:>18} {per_engine:>14.1} s",
                method_name(method),
                result.cut,
                result.wrong
            );
        }
    }
    Ok(())
}

fn methods() -> Vec<DrainMethod> {
    let mut methods = vec![DrainMethod::Confirmed];
    methods.extend(GRACE_PERIODS.map(|period| DrainMethod::Grace { period, unreached: 0 }));
    methods.extend(GRACE_PERIODS.map(|period| DrainMethod::Grace { period, unreached: 1 }));
    methods
}

fn method_name(method: DrainMethod) -> String {
    match method {
        DrainMethod::Confirmed => "confirmed".to_owned(),
        DrainMethod::Grace { period, unreached } => {
            format!("grace {} s, {unreached} unreached", period.as_secs())
        }
    }
}

fn engine_count() -> usize {
    DeploymentKind::Trust.plan().engines
}

async fn measure(method: DrainMethod, seed: u64) -> Result<DrainResult, Box<dyn Error>> {
    let mut fleet = FleetSettings::of(DeploymentKind::Trust);
    fleet.engine.change_ms = CHANGE_MS;
    fleet.model_bytes = MODEL_BYTES;
    let cluster = Arc::new(Cluster::start(fleet, INSTANCES).await?);
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for task in 0..STREAM_TASKS {
        tasks.spawn(run_streams(cluster.clone(), stop.clone(), seed, task));
    }
    tokio::time::sleep(WARM_UP).await;
    let started = Instant::now();
    match method {
        DrainMethod::Confirmed => change_confirmed(&cluster).await?,
        DrainMethod::Grace { period, unreached } => {
            change_after(&cluster, period, unreached).await?
        }
    }
    let took = started.elapsed();
    stop.store(true, Ordering::Relaxed);
    let wrong = tasks.join_all().await.into_iter().sum();
    let cut = cluster.fleet.orders().iter().map(|it| it.cut).sum();
    Ok(DrainResult { cut, wrong, took })
}

/// Runs streams one after the other; returns the number of incomplete or wrong answers
async fn run_streams(cluster: Arc<Cluster>, stop: Arc<AtomicBool>, seed: u64, task: usize) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + task as u64);
    let addresses = cluster.addresses();
    let mut wrong = 0;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let call = CompletionCall {
            entry: "summaries".into(),
            model: cluster.fleet.plan.model.clone(),
            prompt: format!("filing {task}/{number}"),
            max_tokens: rng.random_range(1..=MAX_OUTPUT_TOKENS),
            stream: true,
        };
        let outcome = cluster.caller.complete(addresses[task % addresses.len()], &call).await;
        wrong += u32::from(!outcome.is_right());
    }
    wrong
}

/// Requests the next version in the catalogue, so that the planner changes the engines
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

/// Closes each engine at the informed instances, waits for `period` and orders the change
async fn change_after(
    cluster: &Cluster,
    period: Duration,
    unreached: usize,
) -> Result<(), Box<dyn Error>> {
    // Without the log, the planner can't revert the unplanned changes; serving continues.
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
    for instance in cluster.instances.values().skip(unreached) {
        if let Some(pool) = instance.handle.context().registry.pool(&cluster.fleet.plan.engine_pool)
        {
            pool.set_closed(engine, is_closed);
        }
    }
}

async fn await_version(engine: &EngineStandin) {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let state = engine.state();
        let is_done = state.ready && state.target.version == NEXT_MODEL_VERSION;
        if is_done || Instant::now() > deadline {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}
