//! Soak test: mixed load under random, seeded faults, with a check of invariants.
//!
//! `cargo run --release -p standins --example soak -- --seconds 300 --seed 1
//! --deployment trust|dongelek`. Exits with 0 only if no invariant was violated.

#[path = "../../tests/common/mod.rs"]
mod common;

mod calls;
mod checks;
mod edits;
mod environment;
mod faults;

use common::Cluster;
use environment::SoakEnvironment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::deployment::DeploymentKind;
use standins::fault::FaultCommand;
use standins::fleet::FleetSettings;
use standins::result_table::ResultTable;
use std::error::Error;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const USAGE: &str = "\
Plays a mixed load under random, seeded faults and checks the promises at the end.

Usage:
    soak [--seconds N] [--seed N] [--deployment trust|dongelek]
    soak --help

Options:
    --seconds N         length of the load (300)
    --seed N            seed of the load, the faults and the edits (1)
    --deployment NAME   deployment to start (trust)
    --help              show this text

Exit codes: 0 no invariant was violated, 1 otherwise.
";
const INSTANCES: usize = 4;
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Text in a prompt that crashes the engine.
pub const CRASH_TEXT: &str = "crash-the-engine";

/// Parameters of a run
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    pub deployment: DeploymentKind,
    /// Seed of the load, the faults and the edits
    pub seed: u64,
    /// Time at which the load, the faults and the edits end
    pub until: Instant,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    env_logger::init();
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    }
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(300);
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let name: String = arguments.opt_value_from_str("--deployment")?.unwrap_or("trust".into());
    let deployment = DeploymentKind::parse(&name).ok_or("--deployment trust|dongelek")?;
    let settings = FleetSettings { engines_ignoring_fence: 2, ..FleetSettings::of(deployment) };
    let cluster = Cluster::start(settings, INSTANCES).await?;
    cluster.fleet.apply(&FaultCommand::Poison { text: CRASH_TEXT.into() })?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let plan = SoakPlan { deployment, seed, until };
    println!("soak of {name} for {seconds} s with seed {seed}");
    run(cluster, plan).await
}

async fn run(cluster: Cluster, plan: SoakPlan) -> Result<ExitCode, Box<dyn Error>> {
    let environment = SoakEnvironment::new(cluster);
    let rng = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        rng.set_stream(stream);
        rng
    };
    let load = tokio::spawn(calls::run(environment.clone(), plan, rng(1)));
    let crashing_load = tokio::spawn(calls::run_crashing(environment.clone(), plan, rng(2)));
    let first = tokio::spawn(edits::run("first", environment.clone(), plan, rng(3)));
    let second = tokio::spawn(edits::run("second", environment.clone(), plan, rng(4)));
    let observation = tokio::spawn(edits::observe(environment.clone(), plan));
    let faults = tokio::spawn(faults::run(environment.clone(), plan, rng(5)));
    let drains = faults.await?;
    let records = load.await?;
    let crashing = crashing_load.await?;
    let mut accepted = first.await?;
    accepted.extend(second.await?);
    tokio::time::sleep(SETTLE_TIME).await;
    let observed = observation.await?;
    let mut table = ResultTable::default();
    records.iter().for_each(|it| table.add(it));
    println!("\n{table}");
    let results = checks::SoakResults { records, crashing, accepted, observed, drains };
    let violations = checks::check(&environment, &results).await;
    for violation in &violations {
        println!("BROKEN {violation}");
    }
    println!("{}", checks::summary(&environment, &results));
    let code = if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    println!("{} invariants broken", violations.len());
    Ok(code)
}
