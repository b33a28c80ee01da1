//! Measures throughput, added latency and appends per second of once-only work.
//!
//! `cargo run --release -p coordination --example once_load -- --rate 200`: calls
//! arrive at random instances at the given rate, run for 5 ms and record their
//! answer. The latency is that of the claim, which the caller waits for. Without
//! `--rate`, `--callers` concurrent callers each send one call after the other.

mod common;

use common::{AnyError, LatencyTable, RunOptions, SharedStandin, once_cluster};
use coordination::once::{ClaimDecision, OnceHandle, OnceOutcome, OnceRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::claims::RecordedAnswer;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};
use uuid::Uuid;

const SERVICE_TIME: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(10);
const ANSWER_BYTES: usize = 300;
const WARM_UP: Duration = Duration::from_secs(2);
const SEED: u64 = 1;

/// Times that one call waited for its claim and for its record; `None` if it failed
type CallTimes = Option<(Duration, Duration)>;

async fn call(once: OnceHandle) -> CallTimes {
    let key = Uuid::now_v7();
    let start = Instant::now();
    let deadline = start + DEADLINE;
    let request = OnceRequest { key, digest: [0; 32], entry: "register".into(), deadline };
    let Ok(ClaimDecision::Run(permit)) = once.begin(request).await else {
        return None;
    };
    let claimed = start.elapsed();
    permit.start_dispatch(Instant::now()).then_some(())?;
    sleep(SERVICE_TIME).await;
    let end = Instant::now();
    let answer = RecordedAnswer::bounded(201, Vec::new(), vec![b'a'; ANSWER_BYTES]);
    permit.finish(OnceOutcome::Answered(answer)).await;
    Some((claimed, end.elapsed()))
}

async fn send_at_rate(
    handles: Vec<OnceHandle>,
    rate: f64,
    end: Instant,
    sender: mpsc::Sender<CallTimes>,
) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut at = Instant::now();
    while at < end {
        sleep_until(at).await;
        let once = handles[rng.random_range(0..handles.len())].clone();
        let sender = sender.clone();
        tokio::spawn(async move {
            let _ = sender.send(call(once).await).await;
        });
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        at += Duration::from_secs_f64(gap);
    }
}

async fn send_in_sequence(once: OnceHandle, end: Instant, sender: mpsc::Sender<CallTimes>) {
    while Instant::now() < end {
        let _ = sender.send(call(once.clone()).await).await;
    }
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut arguments = pico_args::Arguments::from_env();
    let rate: Option<f64> = arguments.opt_value_from_str("--rate")?;
    let callers: usize = arguments.opt_value_from_str("--callers")?.unwrap_or(1_000);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20);
    let options = RunOptions::parse(&mut arguments)?;
    let standin = SharedStandin::start(options)?;
    let handles = once_cluster(&standin, options.instances).await?;
    sleep(WARM_UP).await;
    let appends = standin.log.append_count();
    let start = Instant::now();
    let end = start + Duration::from_secs(seconds);
    let (sender, mut times) = mpsc::channel(1_024);
    match rate {
        Some(rate) => {
            tokio::spawn(send_at_rate(handles, rate, end, sender));
        }
        None => {
            for caller in 0..callers {
                let once = handles[caller % handles.len()].clone();
                tokio::spawn(send_in_sequence(once, end, sender.clone()));
            }
            drop(sender);
        }
    }
    let (mut claims, mut records) = (LatencyTable::new()?, LatencyTable::new()?);
    let mut failed = 0;
    while let Some(time) = times.recv().await {
        match time {
            Some((claimed, recorded)) => {
                claims.record(claimed);
                records.record(recorded);
            }
            None => failed += 1,
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    let appends = (standin.log.append_count() - appends) as f64 / elapsed;
    let calls = claims.len() as f64 / elapsed;
    println!("instances={} calls_per_s={calls:.1} failed={failed}", options.instances);
    println!("appends_per_s={appends:.1} calls_per_append={:.2}", calls / appends);
    println!("claim (added before dispatch): {}", claims.line());
    println!("outcome (after the answer): {}", records.line());
    Ok(())
}
