//! Mixed load with random seeded faults, and a check of what must always hold.
//!
//! `cargo run --release -p standins --example soak -- --seconds 300 --seed 1
//! --deployment trust|dongelek`. Exits 0 only if nothing was broken.

#[path = "../../tests/common/mod.rs"]
mod common;

mod calls;
mod checks;
mod edits;
mod faults;
mod world;

use common::Cluster;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::deployment::DeploymentKind;
use standins::fault::FaultCommand;
use standins::fleet::FleetSettings;
use standins::result_table::ResultTable;
use std::error::Error;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use world::SoakWorld;

const INSTANCES: usize = 4;
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Text that crashes the engine that reads it.
pub const POISON: &str = "crash-the-engine";

/// What to run
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Whose deployment
    pub deployment: DeploymentKind,
    /// Seed of load and faults
    pub seed: u64,
    /// When load, faults and edits end
    pub until: Instant,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    env_logger::init();
    let mut arguments = pico_args::Arguments::from_env();
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(300);
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let name: String = arguments.opt_value_from_str("--deployment")?.unwrap_or("trust".into());
    let deployment = DeploymentKind::parse(&name).ok_or("--deployment trust|dongelek")?;
    let settings = FleetSettings { engines_ignoring_fence: 2, ..FleetSettings::of(deployment) };
    let cluster = Cluster::start(settings, INSTANCES).await?;
    cluster.fleet.apply(&FaultCommand::Poison { text: POISON.into() })?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let plan = SoakPlan { deployment, seed, until };
    println!("soak of {name} for {seconds} s with seed {seed}");
    run(cluster, plan).await
}

async fn run(cluster: Cluster, plan: SoakPlan) -> Result<ExitCode, Box<dyn Error>> {
    let world = SoakWorld::new(cluster);
    let rng = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        rng.set_stream(stream);
        rng
    };
    let load = tokio::spawn(calls::run(world.clone(), plan, rng(1)));
    let poison = tokio::spawn(calls::run_poisoned(world.clone(), plan, rng(2)));
    let first = tokio::spawn(edits::run("first", world.clone(), plan, rng(3)));
    let second = tokio::spawn(edits::run("second", world.clone(), plan, rng(4)));
    let watch = tokio::spawn(edits::watch(world.clone(), plan));
    let faults = tokio::spawn(faults::run(world.clone(), plan, rng(5)));
    let drains = faults.await?;
    let records = load.await?;
    let poisoned = poison.await?;
    let mut accepted = first.await?;
    accepted.extend(second.await?);
    tokio::time::sleep(SETTLE_TIME).await;
    let watched = watch.await?;
    let mut table = ResultTable::default();
    records.iter().for_each(|it| table.add(it));
    println!("\n{table}");
    let evidence = checks::SoakEvidence { records, poisoned, accepted, watched, drains };
    let breaches = checks::check(&world, &evidence).await;
    for breach in &breaches {
        println!("BROKEN {breach}");
    }
    println!("{}", checks::summary(&world, &evidence));
    let code = if breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    println!("{} invariants broken", breaches.len());
    Ok(code)
}
