//! Measures the time until another instance holds a duty after its holder is killed.
//!
//! `cargo run --release -p coordination --example lease_takeover -- --kills 10`

mod common;

use common::{AnyError, LatencyTable, RunOptions, SharedStandin};
use coordination::control::ControlHandle;
use coordination::lease::{LeaseHandle, LeaseTiming};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const DUTY: &str = "planner.summary";
const POLL: Duration = Duration::from_millis(5);
/// Time from acquiring the duty until the holder is killed.
const HOLD_TIME: Duration = Duration::from_millis(2_700);

async fn member(standin: &SharedStandin, index: usize) -> Result<LeaseHandle, AnyError> {
    let control = ControlHandle::start(standin.shared(index), &"summary".into()).await?;
    Ok(LeaseHandle::start(control, DUTY.into(), LeaseTiming::default()).await?)
}

async fn holder(members: &[LeaseHandle]) -> usize {
    loop {
        if let Some(index) = members.iter().position(|it| it.held().is_some()) {
            return index;
        }
        sleep(POLL).await;
    }
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut arguments = pico_args::Arguments::from_env();
    let kills: usize = arguments.opt_value_from_str("--kills")?.unwrap_or(10);
    let options = RunOptions::parse(&mut arguments)?;
    let standin = SharedStandin::start(options)?;
    let mut members = Vec::new();
    for index in 0..options.instances {
        members.push(member(&standin, index).await?);
    }
    let mut takeovers = LatencyTable::new()?;
    for kill in 0..kills {
        let index = holder(&members).await;
        sleep(HOLD_TIME).await;
        drop(members.remove(index));
        let start = Instant::now();
        holder(&members).await;
        takeovers.record(start.elapsed());
        members.push(member(&standin, options.instances + kill).await?);
    }
    let timing = LeaseTiming::default();
    println!("instances={} kills={kills} term_ms={}", options.instances, timing.term.as_millis());
    println!("kill to held by another: {}", takeovers.line());
    Ok(())
}
