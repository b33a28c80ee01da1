//! Measures goodput while the mix of prompts and outputs shifts, with real instances.
//!
//! Six instances in one process serve open-loop, seeded arrivals over loopback, with
//! stand-in engines that run faster than normal. One day is compressed into a minute:
//! the fraction of prompt work swings one hour earlier than on the previous day, an
//! engine crashes, another one is withdrawn, load reports lag and the log is down for
//! some seconds.
//!
//! `cargo run --release -p standins --example shift -- --help`

mod caller;
mod chart;
mod day;
mod environment;
mod faults;
mod figures;
mod files;
mod options;
mod schedule;

use figures::DayFigures;
use options::{RolePolicy, ShiftOptions, USAGE};
use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    if std::env::args().any(|it| it == "--help") {
        print!("{USAGE}");
        return Ok(());
    }
    let options = options::parse()?;
    std::fs::create_dir_all(&options.out)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    if options.compare {
        return runtime.block_on(compare(&options));
    }
    match options.policy {
        RolePolicy::BestStatic => drop(runtime.block_on(best_static(&options))?),
        _ => drop(runtime.block_on(run(&options))?),
    }
    Ok(())
}

/// Runs one day and writes its figures, calls and chart
async fn run(options: &ShiftOptions) -> Result<DayFigures, Box<dyn Error>> {
    let record = day::run_day(options).await?;
    let figures = DayFigures::of(&record, options);
    figures.print();
    let stem = format!("{}-{}", figures.policy, options.seed);
    files::write_lines(&options.out.join(format!("{stem}.jsonl")), &record, &figures)?;
    chart::draw(&options.out.join(format!("{stem}.svg")), &record, &stem)?;
    Ok(figures)
}

/// Runs every static split and returns the figures of the best one
async fn best_static(options: &ShiftOptions) -> Result<DayFigures, Box<dyn Error>> {
    let engines = options.deployment.plan().engines;
    let mut best: Option<DayFigures> = None;
    for count in 1..engines {
        let policy = RolePolicy::Static(count);
        let figures = run(&ShiftOptions { policy, ..options.clone() }).await?;
        if best.as_ref().is_none_or(|it| figures.goodput > it.goodput) {
            best = Some(figures);
        }
    }
    best.ok_or_else(|| "the fleet has fewer than two engines".into())
}

async fn compare(options: &ShiftOptions) -> Result<(), Box<dyn Error>> {
    let with = |policy| ShiftOptions { policy, ..options.clone() };
    let lift = run(&with(RolePolicy::Lift)).await?;
    let threshold = run(&with(RolePolicy::Threshold)).await?;
    let mixed = run(&with(RolePolicy::Mixed)).await?;
    let fixed = best_static(options).await?;
    for other in [&fixed, &threshold, &mixed] {
        println!(
            "compare seed={} lift={:.4} {}={:.4} ratio={:.3} role_changes={}/{}",
            options.seed,
            lift.goodput,
            other.policy,
            other.goodput,
            lift.goodput / other.goodput,
            lift.role_changes,
            other.role_changes,
        );
    }
    Ok(())
}
