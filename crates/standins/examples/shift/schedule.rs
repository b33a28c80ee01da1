//! Seeded arrivals of a day that is compressed into a minute.
//!
//! The fraction of prompt work in all engine work swings between a quarter and three
//! quarters, twice up and once down. The offered work is proportional to the capacity
//! that the serving engines would have at that time with the best split for the mix.

use catalogue::id::TokenCount;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use standins::deployment::DeploymentKind;
use standins::engine::EngineSpeed;
use std::time::Duration;

/// Length of the compressed day.
pub const DAY_LENGTH: Duration = Duration::from_secs(60);
/// Length of one hour of the day.
const HOUR_LENGTH: Duration = Duration::from_millis(2_500);
/// Hours at which the swings began on the previous day.
const SWING_HOURS: [f64; 3] = [6.0, 13.0, 20.0];
/// Hours by which the swings begin earlier, since daylight saving time has changed.
const EARLY_HOURS: f64 = 1.0;
const SWING_TIME: Duration = Duration::from_secs(3);
const LOW_FRACTION: f64 = 0.25;
const HIGH_FRACTION: f64 = 0.75;
/// Speed of the engines, relative to their normal speed.
pub const SPEED_FACTOR: f64 = 3.0;
/// Calls of plain services per second.
const SERVICE_RATE: f64 = 12.0;
/// Time allowed for the first token in addition to the prefill.
const FIRST_TOKEN_SLACK: Duration = Duration::from_millis(2_000);
/// Time allowed for each output token.
const TOKEN_PACE: Duration = Duration::from_millis(60);
/// Factor by which the prefill may take longer than on an idle engine.
const PROMPT_SLACK: f64 = 2.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Long prompt: summary or contract check
    Long,
    /// Short prompt: clerk query or pitch draft
    Short,
    /// Once-only call: register entry or booking
    Once,
    /// Idempotent service call: lookup
    View,
}

impl CallKind {
    pub const ALL: [CallKind; 4] =
        [CallKind::Long, CallKind::Short, CallKind::Once, CallKind::View];

    /// Name in figures
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Long => "long",
            CallKind::Short => "short",
            CallKind::Once => "once",
            CallKind::View => "view",
        }
    }

    /// Whether engines serve it
    pub fn is_generation(self) -> bool {
        matches!(self, CallKind::Long | CallKind::Short)
    }
}

/// Scheduled call
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Position in the schedule
    pub serial: usize,
    /// Time since the start of the day
    pub at: Duration,
    pub kind: CallKind,
    pub prompt_tokens: TokenCount,
    pub output_tokens: TokenCount,
    /// Time allowed for the complete answer
    pub time_allowed: Duration,
    /// Index of the instance that the balancer selects
    pub instance: usize,
}

#[derive(Debug, Clone)]
pub struct ScheduleInput {
    pub seed: u64,
    pub deployment: DeploymentKind,
    pub load: f64,
    pub instances: usize,
    pub speed: EngineSpeed,
    /// Number of serving engines at a time of the day, out of all engines
    pub engines_at: fn(Duration, usize) -> usize,
}

/// Fraction of prompt work at a time of the day
pub fn prompt_fraction(at: Duration) -> f64 {
    let mut fraction = LOW_FRACTION;
    for (index, hour) in SWING_HOURS.iter().enumerate() {
        let begin = HOUR_LENGTH.mul_f64(hour - EARLY_HOURS);
        let done = at.saturating_sub(begin).as_secs_f64() / SWING_TIME.as_secs_f64();
        let target = if index % 2 == 0 { HIGH_FRACTION } else { LOW_FRACTION };
        fraction += (target - fraction) * done.min(1.0);
    }
    fraction
}

/// Capacity of engines with the best split for a prompt fraction, in engine-seconds per second
pub fn best_capacity(fraction: f64, engines: usize) -> f64 {
    let capacity = |prefill: usize| {
        let decode = engines - prefill;
        (prefill as f64 / fraction).min(decode as f64 / (1.0 - fraction))
    };
    (1..engines).map(capacity).fold(0.0, f64::max)
}

/// All calls of the day in order of time
pub fn arrivals(input: &ScheduleInput) -> Vec<PlannedCall> {
    let mut rng = ChaCha8Rng::seed_from_u64(input.seed);
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    while at < DAY_LENGTH {
        let rates = rates_at(input, at);
        let total = rates.long + rates.short + SERVICE_RATE;
        let gap = -(1.0 - rng.random::<f64>()).ln() / total;
        at += Duration::from_secs_f64(gap);
        let kind = draw_kind(&rates, rng.random_range(0.0..total), &mut rng);
        calls.push(planned_call(input, kind, at, calls.len(), &mut rng));
    }
    calls
}

/// Arrivals per second of the two kinds of generation
struct ArrivalRates {
    long: f64,
    short: f64,
}

/// Rates that give the offered work and the fraction of prompt work at a time
fn rates_at(input: &ScheduleInput, at: Duration) -> ArrivalRates {
    let engines = (input.engines_at)(at, input.deployment.plan().engines);
    let fraction = prompt_fraction(at);
    let offered = input.load * best_capacity(fraction, engines) * SPEED_FACTOR;
    let (long_prompt, long_output) = mean_work(input, CallKind::Long);
    let (short_prompt, short_output) = mean_work(input, CallKind::Short);
    let prompt = offered * fraction;
    let output = offered - prompt;
    let divisor = long_prompt * short_output - short_prompt * long_output;
    let long = (prompt * short_output - output * short_prompt) / divisor;
    let short = (output * long_prompt - prompt * long_output) / divisor;
    ArrivalRates { long: long.max(0.0), short: short.max(0.0) }
}

/// Mean engine-seconds that a call needs for prefill and for decode, at normal speed
fn mean_work(input: &ScheduleInput, kind: CallKind) -> (f64, f64) {
    let (prompt, output) = token_ranges(input.deployment, kind);
    let mean = |(least, most): (TokenCount, TokenCount)| f64::from(least + most) / 2.0;
    let speed = EngineSpeed { factor: 1.0, ..input.speed.clone() };
    (mean(prompt) / speed.prefill_tokens_per_s, mean(output) / speed.decode_tokens_per_s())
}

/// Minimum and maximum numbers of prompt tokens and of output tokens
fn token_ranges(
    deployment: DeploymentKind,
    kind: CallKind,
) -> ((TokenCount, TokenCount), (TokenCount, TokenCount)) {
    match (deployment, kind) {
        (DeploymentKind::Trust, CallKind::Long) => ((3_000, 9_000), (30, 90)),
        (DeploymentKind::Trust, _) => ((100, 500), (60, 160)),
        (DeploymentKind::Dongelek, CallKind::Long) => ((4_000, 10_000), (2, 6)),
        (DeploymentKind::Dongelek, _) => ((100, 400), (80, 200)),
    }
}

fn draw_kind(rates: &ArrivalRates, position: f64, rng: &mut impl Rng) -> CallKind {
    if position < rates.long {
        CallKind::Long
    } else if position < rates.long + rates.short {
        CallKind::Short
    } else if rng.random_bool(0.5) {
        CallKind::Once
    } else {
        CallKind::View
    }
}

fn planned_call(
    input: &ScheduleInput,
    kind: CallKind,
    at: Duration,
    serial: usize,
    rng: &mut impl Rng,
) -> PlannedCall {
    let instance = rng.random_range(0..input.instances);
    if !kind.is_generation() {
        let time_allowed = Duration::from_secs(5);
        return PlannedCall {
            serial,
            at,
            kind,
            prompt_tokens: 0,
            output_tokens: 0,
            time_allowed,
            instance,
        };
    }
    let (prompt, output) = token_ranges(input.deployment, kind);
    let prompt_tokens = rng.random_range(prompt.0..=prompt.1);
    let output_tokens = rng.random_range(output.0..=output.1);
    let time_allowed = time_allowed(&input.speed, prompt_tokens, output_tokens);
    PlannedCall { serial, at, kind, prompt_tokens, output_tokens, time_allowed, instance }
}

fn time_allowed(speed: &EngineSpeed, prompt: TokenCount, output: TokenCount) -> Duration {
    let prefill = f64::from(prompt) / speed.prefill_tokens_per_s * PROMPT_SLACK;
    let first = FIRST_TOKEN_SLACK + Duration::from_secs_f64(prefill);
    (first + TOKEN_PACE * output).div_f64(SPEED_FACTOR)
}
