//! Generates load and measures the latency of its tokens.

use crate::instance::KEY;
use bytes::Bytes;
use catalogue::id::RequestId;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use platform::engine::GenerateRequest;
use platform::http::HttpClient;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const MAX_US: u64 = 60_000_000;
/// Unit of the pauses between the requests of a stream.
const PAUSE_STEP: Duration = Duration::from_micros(900);
/// Period over which the streams start.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Amount of load
#[derive(Debug, Clone, Copy)]
pub struct LoadPlan {
    pub streams: usize,
    /// Consecutive requests per stream
    pub requests: usize,
    pub tokens: u32,
}

/// Destination of the requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadTarget {
    Direct,
    Instance,
}

/// Measured result
#[derive(Debug)]
pub struct LoadResult {
    pub first_token_us: Histogram<u64>,
    pub between_us: Histogram<u64>,
    pub tokens: u64,
    pub faults: u64,
    pub time: Duration,
}

impl LoadResult {
    fn new() -> LoadResult {
        let histogram = || Histogram::new_with_max(MAX_US, 3).unwrap_or_else(|_| unreachable!());
        LoadResult {
            first_token_us: histogram(),
            between_us: histogram(),
            tokens: 0,
            faults: 0,
            time: Duration::ZERO,
        }
    }

    fn add(&mut self, other: &LoadResult) {
        self.first_token_us.add(&other.first_token_us).unwrap_or_default();
        self.between_us.add(&other.between_us).unwrap_or_default();
        self.tokens += other.tokens;
        self.faults += other.faults;
    }
}

/// Runs all streams of a plan
pub async fn run_load(
    plan: LoadPlan,
    address: impl Fn(usize) -> SocketAddr,
    target: LoadTarget,
) -> LoadResult {
    let client = HttpClient::new();
    let started = Instant::now();
    let mut streams = JoinSet::new();
    for number in 0..plan.streams {
        let stream =
            Stream { client: client.clone(), address: address(number), target, number, plan };
        streams.spawn(stream.run());
    }
    let mut total = LoadResult::new();
    while let Some(result) = streams.join_next().await {
        match result {
            Ok(result) => total.add(&result),
            Err(_) => total.faults += 1,
        }
    }
    total.time = started.elapsed();
    total
}

struct Stream {
    client: HttpClient,
    address: SocketAddr,
    target: LoadTarget,
    number: usize,
    plan: LoadPlan,
}

impl Stream {
    async fn run(self) -> LoadResult {
        // Spread the starts over a second, so that the streams aren't synchronized.
        tokio::time::sleep(START_SPREAD.mul_f64(self.number as f64 / self.plan.streams as f64))
            .await;
        let mut result = LoadResult::new();
        for index in 0..self.plan.requests {
            // Vary the pause, so that requests aren't aligned with the engines' steps.
            tokio::time::sleep(PAUSE_STEP * ((self.number * 7 + index * 13) % 17) as u32).await;
            let before = result.tokens;
            let is_read = self.request(index, &mut result).await;
            if !is_read || result.tokens - before != u64::from(self.plan.tokens) {
                result.faults += 1;
            }
        }
        result
    }

    async fn request(&self, index: usize, result: &mut LoadResult) -> bool {
        let Ok(request) = self.build(index) else {
            return false;
        };
        let sent = Instant::now();
        let Ok(mut response) = self.client.send(request).await else {
            return false;
        };
        if !response.status().is_success() {
            let body = response.into_body().collect().await.map(|it| it.to_bytes());
            eprintln!("refused: {:?}", body.unwrap_or_default());
            return false;
        }
        let mut last: Option<Instant> = None;
        while let Some(frame) = response.frame().await {
            let Some(data) = frame.ok().and_then(|it| it.into_data().ok()) else {
                return false;
            };
            let tokens = self.count(&data);
            if tokens == 0 {
                continue;
            }
            let now = Instant::now();
            match last {
                None => result.first_token_us.saturating_record((now - sent).as_micros() as u64),
                Some(last) => {
                    result.between_us.saturating_record((now - last).as_micros() as u64);
                }
            }
            last = Some(now);
            result.tokens += tokens;
        }
        true
    }

    fn build(&self, index: usize) -> Result<Request<Full<Bytes>>, http::Error> {
        let prompt = format!("filing {} {index}", self.number);
        let (path, body) = match self.target {
            LoadTarget::Direct => ("/generate", self.direct_body(&prompt, index)),
            LoadTarget::Instance => ("/v1/completions", self.caller_body(&prompt)),
        };
        Request::builder()
            .method("POST")
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(body.into()))
    }

    fn caller_body(&self, prompt: &str) -> Vec<u8> {
        let tokens = self.plan.tokens;
        let body = json!({
            "model": "summaries", "prompt": prompt, "max_tokens": tokens, "stream": true
        });
        body.to_string().into_bytes()
    }

    fn direct_body(&self, prompt: &str, index: usize) -> Vec<u8> {
        let request: RequestId = format!("direct-{}-{index}", self.number).into();
        let body = GenerateRequest {
            request,
            model: "dossier".into(),
            prompt: prompt.to_owned(),
            max_tokens: self.plan.tokens,
            from_token: 0,
            priority: 0,
            deadline_ms: 30_000,
            import: None,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Number of tokens in a chunk; chunks end at the end of a line or an event
    fn count(&self, data: &[u8]) -> u64 {
        let mark: &[u8] = match self.target {
            LoadTarget::Direct => b"{\"token\"",
            LoadTarget::Instance => b"\"finish_reason\":null",
        };
        data.windows(mark.len()).filter(|it| *it == mark).count() as u64
    }
}
