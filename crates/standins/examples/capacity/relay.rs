//! Processor time per relayed token: the same streams directly and through an instance.

use crate::environment::{CapacityEnvironment, KEY};
use crate::usage::cpu_time;
use platform::engine::{EngineClient, GenerateRequest, StreamLine};
use smol_str::format_smolstr;
use standins::caller::{CallerClient, CompletionCall};
use standins::deployment::DeploymentKind;
use standins::engine::{EngineSettings, EngineSpeed};
use standins::fleet::FleetSettings;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const STREAMS: [usize; 5] = [7, 14, 28, 56, 112];
const TOKENS: u32 = 2_000;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Processor time and duration of all streams together
struct StreamCost {
    cpu: Duration,
    took: Duration,
}

pub async fn measure() {
    for streams in STREAMS {
        let engine = EngineSettings { speed: fast(), ..EngineSettings::default() };
        let settings = FleetSettings { engine, ..FleetSettings::of(DeploymentKind::Trust) };
        let environment = CapacityEnvironment::start(1, settings).await;
        let direct = cost(streams, |it| direct(engine_address(&environment, it), it)).await;
        let address = environment.instances[0].caller_address();
        let relayed = cost(streams, |it| relayed(address, it)).await;
        let tokens = f64::from(TOKENS) * streams as f64;
        let per_token = |it: &StreamCost| it.cpu.as_secs_f64() * 1e6 / tokens;
        println!(
            "streams={streams} direct_cpu_us_per_token={:.2} relayed_cpu_us_per_token={:.2} added_us={:.2} relayed_tokens_per_s={:.0}",
            per_token(&direct),
            per_token(&relayed),
            per_token(&relayed) - per_token(&direct),
            tokens / relayed.took.as_secs_f64()
        );
    }
}

/// Speed at which an engine generates one token per stream every 2 ms
fn fast() -> EngineSpeed {
    EngineSpeed { step_us: 2_000, step_per_request_us: 0, ..EngineSpeed::default() }
}

async fn cost<F>(streams: usize, start: impl Fn(usize) -> F) -> StreamCost
where
    F: Future<Output = ()> + Send + 'static,
{
    let (cpu, started) = (cpu_time(), Instant::now());
    let mut calls = JoinSet::new();
    for number in 0..streams {
        calls.spawn(start(number));
    }
    calls.join_all().await;
    StreamCost { cpu: cpu_time() - cpu, took: started.elapsed() }
}

fn engine_address(environment: &CapacityEnvironment, number: usize) -> SocketAddr {
    environment.fleet.engines[number % environment.fleet.engines.len()].address()
}

async fn direct(address: SocketAddr, number: usize) {
    let request = GenerateRequest {
        request: format_smolstr!("direct-{number}"),
        model: "dossier".into(),
        prompt: format!("filing {number}"),
        max_tokens: TOKENS,
        from_token: 0,
        priority: 0,
        deadline_ms: TIMEOUT.as_millis() as u64,
        import: None,
    };
    let client = EngineClient::new();
    let mut stream = client.generate(address, &request, TIMEOUT).await.expect("engine answers");
    let mut lines = Vec::new();
    while !lines.iter().any(|it| matches!(it, StreamLine::End { .. })) {
        lines.clear();
        stream.next_lines(TIMEOUT, &mut lines).await.expect("stream continues");
    }
}

async fn relayed(address: SocketAddr, number: usize) {
    let call = CompletionCall {
        entry: "summaries".into(),
        model: "dossier".into(),
        prompt: format!("filing {number}"),
        max_tokens: TOKENS,
        stream: true,
    };
    let outcome = CallerClient::new(KEY, TIMEOUT).complete(address, &call).await;
    assert!(outcome.is_right(), "{outcome:?}");
}
