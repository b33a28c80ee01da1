//! Random arrivals of requests, by kind and load pattern.

use crate::SimTime;
use crate::engine::EngineSpec;
use decide::serving::prompt::{PromptPart, PromptShape};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use smol_str::format_smolstr;
use std::time::Duration;

/// Half period of the swing between kinds, in milliseconds; from the users' recorded days.
const SWING_MS: SimTime = 2800.0;
/// Factors of a kind's rate in its own and in the other half of a swing; from the users' recorded days.
const SWING_HIGH: f64 = 1.75;
const SWING_LOW: f64 = 0.55;
/// Start, length and rate factor of a burst; from the users' recorded days.
const BURST_AT_MS: SimTime = 6000.0;
const BURST_MS: SimTime = 3000.0;
const BURST_FACTOR: f64 = 1.8;
/// Number of different common parts that a kind's prompts start with; from the users' specification.
const COMMON_PARTS: usize = 4;
/// Largest rate factor of any pattern.
const MAX_RATE_FACTOR: f64 = 2.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestKind {
    /// Name in reports
    pub name: &'static str,
    /// Requests per second
    pub rate: f64,
    /// Log-normal length of a request's own prompt part: mean in tokens, standard deviation of the logarithm
    pub own_tokens: (f64, f64),
    /// Tokens of the part that many sessions share and of the part of one session
    pub shared_tokens: [f64; 2],
    pub sessions: usize,
    /// Tokens of an answer
    pub output_tokens: f64,
    /// Latency objective of the first token
    pub objective: Duration,
    /// Time after which the client disconnects
    pub client_timeout: Duration,
}

/// Kinds of request in the users' specification, with rates scaled to a number of engines
pub fn usual_kinds(engines: usize) -> [RequestKind; 2] {
    let scale = engines as f64 / 7.0;
    [
        RequestKind {
            name: "summary",
            rate: 235.0 * scale,
            own_tokens: (2890.0, 1.0),
            shared_tokens: [2520.0, 3780.0],
            sessions: (1594.0 * scale) as usize,
            output_tokens: 2.0,
            objective: Duration::from_millis(120),
            client_timeout: Duration::from_secs(2),
        },
        RequestKind {
            name: "query",
            rate: 2.5 * scale,
            own_tokens: (141.0, 0.8),
            shared_tokens: [47.0, 32.0],
            sessions: 16,
            output_tokens: 90.0 * 65.0,
            objective: Duration::from_millis(200),
            client_timeout: Duration::from_secs(15),
        },
    ]
}

/// The usual kinds for engines of another speed: fewer requests and longer objectives for slower ones
pub fn scaled_kinds(spec: &EngineSpec, engines: usize) -> [RequestKind; 2] {
    let scale = spec.time_scale();
    usual_kinds(engines).map(|kind| RequestKind {
        rate: kind.rate / scale,
        objective: kind.objective.mul_f64(scale),
        client_timeout: kind.client_timeout.mul_f64(scale),
        ..kind
    })
}

/// Change of the load over time
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPattern {
    /// The usual rate
    Steady,
    /// The rates of the kinds alternate between high and low
    PromptSwing,
    /// The rates of all kinds are higher for a time
    Burst,
    /// Always more than the engines can serve
    Overload,
}

impl LoadPattern {
    pub const ALL: [LoadPattern; 4] =
        [LoadPattern::Steady, LoadPattern::PromptSwing, LoadPattern::Burst, LoadPattern::Overload];

    /// Name in reports
    pub fn name(self) -> &'static str {
        match self {
            LoadPattern::Steady => "steady",
            LoadPattern::PromptSwing => "prompt_swing",
            LoadPattern::Burst => "burst",
            LoadPattern::Overload => "overload",
        }
    }

    /// Factor of a kind's rate at a time
    fn factor(self, kind: usize, at: SimTime) -> f64 {
        match self {
            LoadPattern::Steady => 1.0,
            LoadPattern::PromptSwing => {
                let half = (at / SWING_MS) as usize % 2;
                if half == kind % 2 { SWING_HIGH } else { SWING_LOW }
            }
            LoadPattern::Burst => {
                let is_burst = (BURST_AT_MS..BURST_AT_MS + BURST_MS).contains(&at);
                if is_burst { BURST_FACTOR } else { 1.0 }
            }
            LoadPattern::Overload => MAX_RATE_FACTOR,
        }
    }
}

/// Request to the simulated fleet
#[derive(Debug, Clone, PartialEq)]
pub struct SimRequest {
    /// First arrival
    pub arrived_at: SimTime,
    /// Index of its kind
    pub kind: usize,
    /// Structure of its prompt
    pub prompt: PromptShape,
    /// Latency objective of the first token
    pub objective: Duration,
    /// Time after which the client disconnects
    pub client_timeout: Duration,
    /// Index of the instance that receives it
    pub instance: usize,
}

/// Draws the arrivals of a run of `length`, in order of arrival
pub fn draw_arrivals(
    kinds: &[RequestKind],
    pattern: LoadPattern,
    instances: usize,
    length: SimTime,
    rng: &mut ChaCha8Rng,
) -> Vec<SimRequest> {
    let mut requests = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let interval = Exp::new(kind.rate * MAX_RATE_FACTOR / 1000.0).expect("a positive rate");
        let mut at = interval.sample(rng);
        while at < length {
            if rng.random_bool(pattern.factor(index, at) / MAX_RATE_FACTOR) {
                let number = requests.len();
                requests.push(draw_request(index, kind, at, number, instances, rng));
            }
            at += interval.sample(rng);
        }
    }
    requests.sort_by(|one, other| one.arrived_at.total_cmp(&other.arrived_at));
    requests
}

fn draw_request(
    kind_index: usize,
    kind: &RequestKind,
    arrived_at: SimTime,
    number: usize,
    instances: usize,
    rng: &mut ChaCha8Rng,
) -> SimRequest {
    let (mean, spread) = kind.own_tokens;
    let own = LogNormal::new(mean.ln() - spread * spread / 2.0, spread).expect("a spread");
    let own_tokens = own.sample(rng).clamp(1.0, 14.0 * mean) as u32;
    let session = rng.random_range(0..kind.sessions);
    let [common_tokens, session_tokens] = kind.shared_tokens.map(|it| it as u32);
    let part = |id, tokens| PromptPart { id, tokens };
    // All prompts of a session start with the same common part.
    let common = session % COMMON_PARTS;
    let parts = vec![
        part(format_smolstr!("{}-{common}", kind.name), common_tokens),
        part(format_smolstr!("{}-{common}-{session}", kind.name), session_tokens),
        part(format_smolstr!("{}-own-{number}", kind.name), own_tokens),
    ];
    let prompt_tokens = common_tokens + session_tokens + own_tokens;
    let prompt = PromptShape { prompt_tokens, output_tokens: kind.output_tokens as u32, parts };
    SimRequest {
        arrived_at,
        kind: kind_index,
        prompt,
        objective: kind.objective,
        client_timeout: kind.client_timeout,
        instance: rng.random_range(0..instances),
    }
}
