//! A day's mix squeezed into a minute, as a list of seeded arrivals.
//!
//! The share of prompt work among all engine work swings between a quarter and three
//! quarters, twice up and once down. The offered work follows what the fleet of the
//! moment could do at most with its engines split in the best way for the mix of the
//! moment.

use catalogue::id::TokenCount;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use standins::deployment::DeploymentKind;
use standins::engine::EngineSpeed;
use std::time::Duration;

/// Length of the day.
pub const DAY: Duration = Duration::from_secs(60);
/// One hour of the day.
const HOUR: Duration = Duration::from_millis(2_500);
/// Hours at which the swings begin, by the schedule of the day before.
const SWING_HOURS: [f64; 3] = [6.0, 13.0, 20.0];
/// Hours by which they come early, since the clocks have changed.
const EARLY_HOURS: f64 = 1.0;
/// Time that a swing takes.
const SWING: Duration = Duration::from_secs(3);
const LOW_SHARE: f64 = 0.25;
const HIGH_SHARE: f64 = 0.75;
/// Speed of the tokens, relative to an engine's own speed.
pub const SPEED_FACTOR: f64 = 3.0;
/// Calls of plain services a second.
const SERVICE_RATE: f64 = 12.0;
/// Time for the first token beyond the time that the prompt takes by itself.
const FIRST_TOKEN_SLACK: Duration = Duration::from_millis(2_000);
/// Time for each token that a caller accepts.
const TOKEN_PACE: Duration = Duration::from_millis(60);
/// Factor by which reading the prompt may take longer than by itself.
const PROMPT_SLACK: f64 = 2.0;

/// Kind of a call
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Long reading: summary or contract check
    Long,
    /// Short draft: clerk query or pitch draft
    Short,
    /// Once-only call: register entry or booking
    Once,
    /// View: lookup
    View,
}

impl CallKind {
    /// All kinds
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

/// One call to make
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Number
    pub serial: usize,
    /// Since the start of the day
    pub at: Duration,
    pub kind: CallKind,
    pub prompt_tokens: TokenCount,
    pub output_tokens: TokenCount,
    /// Time for the whole answer
    pub time_allowed: Duration,
    /// Instance that the balancer gives it to
    pub instance: usize,
}

/// What a schedule is made from
#[derive(Debug, Clone)]
pub struct ScheduleInput {
    pub seed: u64,
    pub deployment: DeploymentKind,
    pub load: f64,
    pub instances: usize,
    pub speed: EngineSpeed,
    /// Engines that serve at a time of the day
    pub engines_at: fn(Duration, usize) -> usize,
}

/// Share of prompt work at a time of the day
pub fn prompt_share(at: Duration) -> f64 {
    let mut share = LOW_SHARE;
    for (index, hour) in SWING_HOURS.iter().enumerate() {
        let begin = HOUR.mul_f64(hour - EARLY_HOURS);
        let done = at.saturating_sub(begin).as_secs_f64() / SWING.as_secs_f64();
        let target = if index % 2 == 0 { HIGH_SHARE } else { LOW_SHARE };
        share += (target - share) * done.min(1.0);
    }
    share
}

/// Engine-seconds a second that engines can do at a prompt share when split in the best way
pub fn best_capacity(share: f64, engines: usize) -> f64 {
    let capacity = |prefill: usize| {
        let decode = engines - prefill;
        (prefill as f64 / share).min(decode as f64 / (1.0 - share))
    };
    (1..engines).map(capacity).fold(0.0, f64::max)
}

/// All calls of the day in their order
pub fn arrivals(input: &ScheduleInput) -> Vec<PlannedCall> {
    let mut rng = ChaCha8Rng::seed_from_u64(input.seed);
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    while at < DAY {
        let rates = rates_at(input, at);
        let total = rates.long + rates.short + SERVICE_RATE;
        let gap = -(1.0 - rng.random::<f64>()).ln() / total;
        at += Duration::from_secs_f64(gap);
        let kind = draw_kind(&rates, rng.random_range(0.0..total), &mut rng);
        calls.push(planned_call(input, kind, at, calls.len(), &mut rng));
    }
    calls
}

/// Arrivals a second of the two kinds of generation
struct ArrivalRates {
    long: f64,
    short: f64,
}

/// Rates that give the offered work and the share of prompt work of the moment
fn rates_at(input: &ScheduleInput, at: Duration) -> ArrivalRates {
    let engines = (input.engines_at)(at, input.deployment.plan().engines);
    let share = prompt_share(at);
    let offered = input.load * best_capacity(share, engines) * SPEED_FACTOR;
    let (long_prompt, long_output) = mean_work(input, CallKind::Long);
    let (short_prompt, short_output) = mean_work(input, CallKind::Short);
    let prompt = offered * share;
    let output = offered - prompt;
    let divisor = long_prompt * short_output - short_prompt * long_output;
    let long = (prompt * short_output - output * short_prompt) / divisor;
    let short = (output * long_prompt - prompt * long_output) / divisor;
    ArrivalRates { long: long.max(0.0), short: short.max(0.0) }
}

/// Engine-seconds that a mean call takes on prefill and on decode, at speed 1
fn mean_work(input: &ScheduleInput, kind: CallKind) -> (f64, f64) {
    let (prompt, output) = sizes(input.deployment, kind);
    let mean = |(least, most): (TokenCount, TokenCount)| f64::from(least + most) / 2.0;
    let speed = EngineSpeed { factor: 1.0, ..input.speed.clone() };
    (mean(prompt) / speed.prefill_tokens_per_s, mean(output) / speed.decode_tokens_per_s())
}

/// Least and most tokens of prompt and output
fn sizes(
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

fn draw_kind(rates: &ArrivalRates, place: f64, rng: &mut impl Rng) -> CallKind {
    if place < rates.long {
        CallKind::Long
    } else if place < rates.long + rates.short {
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
    let (prompt, output) = sizes(input.deployment, kind);
    let prompt_tokens = rng.random_range(prompt.0..=prompt.1);
    let output_tokens = rng.random_range(output.0..=output.1);
    let time_allowed = time_allowed(&input.speed, prompt_tokens, output_tokens);
    PlannedCall { serial, at, kind, prompt_tokens, output_tokens, time_allowed, instance }
}

fn time_allowed(speed: &EngineSpeed, prompt: TokenCount, output: TokenCount) -> Duration {
    let reading = f64::from(prompt) / speed.prefill_tokens_per_s * PROMPT_SLACK;
    let first = FIRST_TOKEN_SLACK + Duration::from_secs_f64(reading);
    (first + TOKEN_PACE * output).div_f64(SPEED_FACTOR)
}
