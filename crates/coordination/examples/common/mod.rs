//! Instances that share a stand-in log over sockets, and latency statistics.
#![allow(dead_code)]

use catalogue::{CatalogueEntry, EntryKind, EntryLimits, RequestClass};
use coordination::once::{HomeRoute, OnceHandle};
use coordination::peers::{answer_submit, forward_fn};
use coordination::shared::{LogTiming, SharedLog};
use hdrhistogram::Histogram;
use peer::client::ConnectionTiming;
use peer::{PeerClient, PeerRefusal, PeerRequest, PeerSecret};
use platform::log::LogClient;
use smol_str::format_smolstr;
use standins::log::{LogSettings, LogStandin};
use standins::server::StandinServer;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

pub type AnyError = Box<dyn Error + Send + Sync>;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LOG_RETENTION_MS: u64 = 3_600_000;

/// Options that every measurement takes
#[derive(Debug, Clone, Copy)]
pub struct RunOptions {
    pub instances: usize,
    /// Latency of an append, half before and half after it takes effect, in milliseconds
    pub append_ms: f64,
    /// Rate limit of the log, in appends per second
    pub appends_per_s: f64,
}

impl RunOptions {
    /// Parses the command-line options `--instances`, `--append-ms`, `--appends-per-s`
    pub fn parse(arguments: &mut pico_args::Arguments) -> Result<RunOptions, pico_args::Error> {
        Ok(RunOptions {
            instances: arguments.opt_value_from_str("--instances")?.unwrap_or(7),
            append_ms: arguments.opt_value_from_str("--append-ms")?.unwrap_or(4.0),
            appends_per_s: arguments.opt_value_from_str("--appends-per-s")?.unwrap_or(400.0),
        })
    }
}

/// Log that instances access over sockets
pub struct SharedStandin {
    pub log: LogStandin,
    server: StandinServer,
}

impl SharedStandin {
    /// Starts the log and its server
    pub fn start(options: RunOptions) -> Result<SharedStandin, AnyError> {
        let log = LogStandin::new(LogSettings {
            appends_per_s: options.appends_per_s,
            retention_ms: LOG_RETENTION_MS,
        });
        let half = Duration::from_secs_f64(options.append_ms / 2_000.0);
        log.set_faults(|it| {
            it.delay = half;
            it.answer_delay = half;
        });
        let server = log.serve()?;
        Ok(SharedStandin { log, server })
    }

    /// Log access of a new instance
    pub fn shared(&self, index: usize) -> SharedLog {
        let client = LogClient::over_http(self.server.address(), CALL_TIMEOUT);
        SharedLog::new(client, format_smolstr!("entry-{index}"), LogTiming::default())
    }
}

/// Once-only handles of instances that forward items to homes over peer connections.
pub async fn once_cluster(
    standin: &SharedStandin,
    count: usize,
) -> Result<Vec<OnceHandle>, AnyError> {
    let secret = PeerSecret::new("measurement-only-secret");
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    let addresses: Result<Vec<SocketAddr>, _> =
        listeners.iter().map(|it| it.local_addr()).collect();
    let addresses = Arc::new(addresses?);
    let mut handles = Vec::new();
    for (index, listener) in listeners.into_iter().enumerate() {
        let peers = addresses.clone();
        let client = PeerClient::new(secret.clone(), ConnectionTiming::default());
        let address_of = move |id: &smol_str::SmolStr| {
            let index: usize = id.strip_prefix("entry-")?.parse().ok()?;
            peers.get(index).copied()
        };
        let home = move |stream: &smol_str::SmolStr| {
            let partition: usize = stream.strip_prefix("claims.")?.parse().ok()?;
            Some(format_smolstr!("entry-{}", partition % count))
        };
        let forward = forward_fn(client, address_of);
        let route = HomeRoute { home: Arc::new(home), forward };
        let handle = OnceHandle::new(standin.shared(index), route);
        tokio::spawn(serve(listener, secret.clone(), handle.clone()));
        handles.push(handle);
    }
    Ok(handles)
}

async fn serve(listener: TcpListener, secret: PeerSecret, handle: OnceHandle) {
    peer::server::serve(listener, secret, move |request| {
        let once = handle.clone();
        Box::pin(async move {
            match request {
                PeerRequest::Submit(submit) => answer_submit(&once, submit).await,
                _ => Err(PeerRefusal::Unsupported),
            }
        })
    })
    .await;
}

/// Catalogue entry of a service.
pub fn service_entry(name: &str, in_flight: u32) -> CatalogueEntry {
    CatalogueEntry {
        name: name.into(),
        owner: "trust".into(),
        class: RequestClass::Standard,
        idempotent: false,
        pool: "register".into(),
        endpoints: Vec::new(),
        caller_key_sha256: vec!["0".repeat(64).into()],
        kind: EntryKind::Service,
        limits: EntryLimits {
            requests_per_s: 10.0,
            tokens_per_s: 1.0,
            in_flight,
            prompt_tokens: 1,
            output_tokens: 1,
            deadline_ms: 1_000,
            first_token_ms: 1_000,
        },
    }
}

/// Histogram of latencies, in microseconds
pub struct LatencyTable {
    histogram: Histogram<u64>,
}

impl LatencyTable {
    pub fn new() -> Result<LatencyTable, AnyError> {
        Ok(LatencyTable { histogram: Histogram::new(3)? })
    }

    pub fn record(&mut self, latency: Duration) {
        // The histogram resizes as needed, so recording can't fail.
        let _ = self.histogram.record(latency.as_micros() as u64);
    }

    /// Number of latencies
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Formats percentiles and maximum, in milliseconds
    pub fn line(&self) -> String {
        let ms = |micros: u64| micros as f64 / 1_000.0;
        let percentile = |it: f64| ms(self.histogram.value_at_percentile(it));
        format!(
            "p50_ms={:.1} p90_ms={:.1} p99_ms={:.1} max_ms={:.1}",
            percentile(50.0),
            percentile(90.0),
            percentile(99.0),
            ms(self.histogram.max())
        )
    }
}
