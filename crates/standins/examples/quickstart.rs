//! Runs the system in one process: stand-ins of the platform and the Trust's
//! endpoints, and three instances on loopback, under a short mixed load.
//!
//! `cargo run --release -p standins --example quickstart [-- --once]`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{ADMIN_TOKEN, CALLER_KEY, Cluster};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use standins::load::{LoadMix, send_until_right};
use standins::result_table::ResultTable;
use standins::server::ANY_PORT;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;

const INSTANCES: usize = 3;
const CALLS: usize = 120;
const CALL_INTERVAL: Duration = Duration::from_millis(80);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const PROGRESS_STEP: usize = 20;
const SEED: u64 = 1;

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    env_logger::init();
    let mut arguments = pico_args::Arguments::from_env();
    let once = arguments.contains("--once");
    println!("Starting the platform, 7 engines, 3 services and {INSTANCES} instances ...");
    let cluster = Cluster::start(FleetSettings::of(DeploymentKind::Trust), INSTANCES).await?;
    let control = cluster.fleet.serve_control(ANY_PORT)?;
    print_addresses(&cluster);
    print_commands(&cluster, &control.address().to_string());
    let table = run_load(&cluster).await?;
    println!("\n{table}");
    println!("{} of {} calls were answered whole and their own", table.right(), table.sent());
    if once {
        let code = if table.is_all_right() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        return Ok(code);
    }
    println!("Running until Ctrl-C.");
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}

async fn run_load(cluster: &Cluster) -> Result<ResultTable, Box<dyn Error>> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut mix = LoadMix::new(DeploymentKind::Trust);
    let addresses = cluster.addresses();
    let mut calls = JoinSet::new();
    println!("\nSending {CALLS} calls ...");
    for index in 0..CALLS {
        let call = mix.next(&mut rng);
        let address = addresses[index % addresses.len()];
        let caller = cluster.caller.clone();
        calls.spawn(send_until_right(call, caller, vec![address], RETRY_PAUSE));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let mut table = ResultTable::default();
    while let Some(record) = calls.join_next().await {
        table.add(&record?);
        if (table.sent() as usize).is_multiple_of(PROGRESS_STEP) {
            println!("{} calls have ended, {} of them right", table.sent(), table.right());
        }
    }
    Ok(table)
}

fn print_addresses(cluster: &Cluster) {
    let addresses = cluster.fleet.addresses();
    println!("log {}, list {}", addresses.log, addresses.instances);
    for (id, instance) in &cluster.instances {
        let (caller, admin) = (instance.handle.caller_address(), instance.handle.admin_address());
        println!("{id}: callers {caller}, operators {admin}");
    }
    println!("callers' key {CALLER_KEY}, operators' token {ADMIN_TOKEN}");
}

fn print_commands(cluster: &Cluster, control: &str) {
    let instance = &cluster.instances[0].handle;
    let (caller, admin) = (instance.caller_address(), instance.admin_address());
    println!("\nTo try:");
    println!(
        "  curl -N -H 'Authorization: Bearer {CALLER_KEY}' http://{caller}/v1/completions \\\n    \
         -d '{{\"model\":\"clerk-queries\",\"prompt\":\"How many storeys?\",\"max_tokens\":20,\"stream\":true}}'"
    );
    println!("  curl -H 'Authorization: Bearer {ADMIN_TOKEN}' http://{admin}/admin/status");
    println!(
        "  curl -d '{{\"fault\":\"engine_crash\",\"engine\":\"summary-1\",\"down_ms\":5000}}' http://{control}/faults"
    );
    println!("  curl http://{control}/executions");
}
