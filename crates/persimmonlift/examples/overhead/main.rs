//! Measures the overhead of an instance compared with direct connections to engines.
//!
//! The real binary runs as a separate process; the stand-ins run in this process. Half
//! of the streams go to the engines directly and half through the instance at the same
//! time, so that both see the same load on the same engines.
//!
//! `cargo build --release && cargo run --release --example overhead`

mod instance;
mod load;

use instance::{InstanceProcess, ProcessUsage};
use load::{LoadPlan, LoadResult, run_load};
use standins::deployment::DeploymentKind;
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, FleetSettings};
use std::error::Error;
use std::time::{Duration, Instant};

/// Streams per target in the latency measurement
const LATENCY_STREAMS: usize = 125;
/// Streams in the measurement of throughput and memory
const OPEN_STREAMS: usize = 1_000;
/// Time between two tokens of a stream
const STEP: Duration = Duration::from_millis(5);
const IDLE_TIME: Duration = Duration::from_secs(10);

fn engine_settings() -> EngineSettings {
    let mut settings = EngineSettings::default();
    settings.speed.prefill_tokens_per_s = 10_000_000.0;
    settings.speed.step_us = STEP.as_micros() as u64;
    settings.speed.step_per_request_us = 0;
    settings.speed.batch_limit = 2_000;
    settings.speed.waiting_limit = 2_000;
    settings
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let engine = engine_settings();
    let fleet = Fleet::start(FleetSettings { engine, ..FleetSettings::of(DeploymentKind::Trust) })?;
    let instance = InstanceProcess::start(&fleet).await?;
    let engines: Vec<_> = fleet.engines.values().map(|it| it.address()).collect();
    report_idle(&instance).await?;
    report_latency(&instance, &engines).await?;
    report_streams(&instance).await?;
    Ok(())
}

async fn report_idle(instance: &InstanceProcess) -> Result<(), Box<dyn Error>> {
    let before = instance.usage()?;
    tokio::time::sleep(IDLE_TIME).await;
    let after = instance.usage()?;
    let share = (after.processor - before.processor).as_secs_f64() / IDLE_TIME.as_secs_f64();
    println!("idle: {:.2}% of a core, {} KB resident", share * 100.0, after.resident_kb);
    Ok(())
}

async fn report_latency(
    instance: &InstanceProcess,
    engines: &[std::net::SocketAddr],
) -> Result<(), Box<dyn Error>> {
    let direct = LoadPlan { streams: LATENCY_STREAMS, requests: 20, tokens: 100 };
    let (direct, through) = tokio::join!(
        run_load(direct, |number| engines[number % engines.len()], load::LoadTarget::Direct),
        run_load(direct, |_| instance.caller, load::LoadTarget::Instance),
    );
    let rate = through.tokens as f64 / through.time.as_secs_f64();
    println!("latency at {rate:.0} tokens/s through the instance and as many directly:");
    print_row("first token", &direct, &through, |it| &it.first_token_us);
    print_row("between tokens", &direct, &through, |it| &it.between_us);
    println!("  faults: direct {}, through {}", direct.faults, through.faults);
    Ok(())
}

fn print_row(
    name: &str,
    direct: &LoadResult,
    through: &LoadResult,
    pick: impl Fn(&LoadResult) -> &hdrhistogram::Histogram<u64>,
) {
    for quantile in [0.5, 0.99] {
        let (direct, through) =
            (pick(direct).value_at_quantile(quantile), pick(through).value_at_quantile(quantile));
        println!(
            "  {name} p{:.0}: direct {direct} us, through {through} us, added {} us",
            quantile * 100.0,
            through as i64 - direct as i64
        );
    }
}

async fn report_streams(instance: &InstanceProcess) -> Result<(), Box<dyn Error>> {
    let plan = LoadPlan { streams: OPEN_STREAMS, requests: 3, tokens: 500 };
    let before = instance.usage()?;
    let started = Instant::now();
    let load = tokio::spawn(run_load(
        plan,
        {
            let caller = instance.caller;
            move |_| caller
        },
        load::LoadTarget::Instance,
    ));
    let mut peak_kb = 0;
    while !load.is_finished() {
        peak_kb = peak_kb.max(instance.usage()?.resident_kb);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let result = load.await?;
    let after: ProcessUsage = instance.usage()?;
    let processor = (after.processor - before.processor).as_secs_f64();
    println!(
        "{OPEN_STREAMS} open streams: {} tokens in {:.1} s, {:.0} tokens/s, faults {}",
        result.tokens,
        started.elapsed().as_secs_f64(),
        result.tokens as f64 / started.elapsed().as_secs_f64(),
        result.faults
    );
    println!("  {:.0} relayed tokens/s a core", result.tokens as f64 / processor);
    println!("  {} KB resident at the most", peak_kb);
    Ok(())
}
