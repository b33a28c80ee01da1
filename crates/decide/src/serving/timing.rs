//! Times of the stages of a generation, learned from what engines took.
//!
//! Engines differ in speed by orders of magnitude and state none, so each stage has a
//! line, a fixed time plus a time per token, that is fitted to recent samples. Sends to
//! engines with little other work are the best samples: otherwise the wait for other prompts
//! would count as slowness, and an overload would lower the estimate of the engines' speed.
//! Sends to loaded engines count only while there are no others, since engines that are
//! much slower than the initial estimate would be flooded and never found idle. The wait is
//! added by the caller, from counted work. Without any recent sample, the initial estimate
//! holds again, so that a wrong estimate that refuses everything doesn't last. The fit is
//! the Theil-Sen estimator, the median of the slopes between samples, so that a quarter of
//! outliers doesn't move it.
//!
//! Engines of a pool that are faster or slower than the others have a factor each. It
//! returns to 1 by itself, so that a slow engine is tried again after it has recovered.

use catalogue::id::EndpointId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Samples that a fit uses at most.
const MAX_SAMPLES: usize = 64;
/// Samples from which a fit no longer uses the initial line.
const MIN_SAMPLES: usize = 16;
/// Shortest interval between two samples of a stage; spreads the samples of a large fleet over time.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time without a send to an idle engine after which loaded ones are timed too.
const LOADED_DELAY: Duration = Duration::from_secs(2);
/// Age from which a sample no longer counts.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(20);
/// New samples after which a stage is fitted again; each fit compares all pairs of samples.
const FIT_INTERVAL_SAMPLES: usize = 4;
/// Difference in tokens from which two samples say something about the time per token.
const MIN_SLOPE_TOKENS: f64 = 200.0;
/// Pairs of samples below which the time per token is kept.
const MIN_SLOPES: usize = 12;
/// Prompt sizes at which the initial line stands in for samples, in tokens.
const INITIAL_TOKENS: [f64; 6] = [0.0, 500.0, 1500.0, 3000.0, 6000.0, 12000.0];
/// Weight of one sample in an engine's factor.
const FACTOR_WEIGHT: f64 = 0.2;
/// Ratios of observed to expected time that one sample counts as, at least and at most.
const FACTOR_RANGE: (f64, f64) = (0.4, 8.0);
/// Smallest expected wait that says something about the real one, as a fraction of the own time.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// Steps of the wait factor towards a larger and a smaller observed one, and its bounds. The factor
/// settles where a quarter of the waits are longer.
const WAIT_STEPS: (f64, f64) = (0.03, -0.01);
const WAIT_RANGE: (f64, f64) = (0.3, 1.5);
/// Time after which an engine's factor has returned half of the way to 1.
const FACTOR_HALF_LIFE: Duration = Duration::from_secs(4);
/// Initial mean time that a generation with a short output holds a slot, in milliseconds.
const INITIAL_HOLD_MS: f64 = 60.0;
/// Initial mean pause between two events of a stream, in milliseconds.
const INITIAL_PAUSE_MS: f64 = 60.0;
/// Weight of one generation in the mean hold of a slot, and of one pause in the mean pause.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Part of a generation that is timed by itself
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum TimedStage {
    /// Reading the unread prompt and generating the first token on one engine
    Whole,
    /// Reading the unread prompt on an engine that does nothing else
    Prefill,
    /// Transferring the whole prompt's cache and generating the first token
    Decode,
    /// Fetching cached tokens before the rest is read
    Fetch,
}

/// Time that a stage took for a number of tokens
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StageSample {
    pub stage: TimedStage,
    /// Tokens that the engine read, transferred or fetched
    pub tokens: u32,
    /// Time in milliseconds
    pub took_ms: f32,
    /// Whether the engine had much other work; the tokens include those of the other prompts
    pub is_loaded: bool,
}

/// Expected time of a stage as a line over tokens
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageTime {
    /// Time without any tokens, in milliseconds
    pub fixed_ms: f64,
    pub ms_per_token: f64,
}

impl StageTime {
    /// Expected time for a number of tokens, in milliseconds
    pub fn ms(self, tokens: f64) -> f64 {
        self.fixed_ms + self.ms_per_token * tokens
    }
}

/// Fitted line of one stage and the samples behind it
#[derive(Debug, Clone)]
struct StageFit {
    initial: StageTime,
    time: StageTime,
    samples: VecDeque<(Instant, f64, f64)>,
    unfitted: usize,
    idle_at: Option<Instant>,
}

impl StageFit {
    fn new(fixed_ms: f64, ms_per_token: f64) -> StageFit {
        let time = StageTime { fixed_ms, ms_per_token };
        StageFit { initial: time, time, samples: VecDeque::new(), unfitted: 0, idle_at: None }
    }

    fn is_learned(&self) -> bool {
        self.samples.len() >= MIN_SAMPLES
    }

    /// Line to use now
    fn time_at(&self, now: Instant) -> StageTime {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SAMPLE_LIFETIME;
        if self.samples.back().is_some_and(|it| is_recent(it.0)) { self.time } else { self.initial }
    }

    fn record(&mut self, tokens: f64, took_ms: f64, is_loaded: bool, now: Instant) {
        let is_old = |at: Instant, limit| now.saturating_duration_since(at) >= limit;
        if self.samples.back().is_some_and(|it| !is_old(it.0, SAMPLE_INTERVAL)) {
            return;
        }
        if !is_loaded {
            self.idle_at = Some(now);
        } else if self.idle_at.is_some_and(|it| !is_old(it, LOADED_DELAY)) {
            return;
        }
        while self.samples.len() >= MAX_SAMPLES
            || self.samples.front().is_some_and(|it| is_old(it.0, SAMPLE_LIFETIME))
        {
            self.samples.pop_front();
        }
        self.samples.push_back((now, tokens, took_ms));
        self.unfitted += 1;
        if self.unfitted >= FIT_INTERVAL_SAMPLES {
            self.fit();
        }
    }

    fn fit(&mut self) {
        self.unfitted = 0;
        let mut points =
            self.samples.iter().map(|(_, tokens, took)| (*tokens, *took)).collect::<Vec<_>>();
        if !self.is_learned() {
            points.extend(INITIAL_TOKENS.map(|it| (it, self.initial.ms(it))));
        }
        let mut slopes = Vec::new();
        for (index, one) in points.iter().enumerate() {
            for other in &points[..index] {
                let tokens = one.0 - other.0;
                if tokens.abs() >= MIN_SLOPE_TOKENS {
                    slopes.push((one.1 - other.1) / tokens);
                }
            }
        }
        if slopes.len() >= MIN_SLOPES {
            self.time.ms_per_token = median(&mut slopes).max(0.0);
        }
        let slope = self.time.ms_per_token;
        let mut rests = points.iter().map(|it| it.1 - slope * it.0).collect::<Vec<_>>();
        self.time.fixed_ms = median(&mut rests).max(0.0);
    }
}

/// Median of a list that is not empty; reorders the list
fn median(values: &mut [f64]) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Logarithm of an engine's time relative to the pool's
#[derive(Debug, Clone, Copy)]
struct EngineFactor {
    logarithm: f64,
    updated_at: Instant,
}

impl EngineFactor {
    fn logarithm_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.logarithm * 0.5_f64.powf(age.as_secs_f64() / FACTOR_HALF_LIFE.as_secs_f64())
    }
}

/// Learned times of a pool's engines
#[derive(Debug, Clone)]
pub struct PoolTiming {
    whole: StageFit,
    prefill: StageFit,
    decode: StageFit,
    fetch: StageFit,
    hold_ms: f64,
    pause_ms: f64,
    wait_factor: f64,
    factors: IndexMap<EndpointId, EngineFactor>,
}

impl Default for PoolTiming {
    /// Times of engines of which nothing is known yet
    fn default() -> PoolTiming {
        PoolTiming {
            whole: StageFit::new(20.0, 0.01),
            prefill: StageFit::new(16.0, 0.005),
            decode: StageFit::new(12.0, 0.0005),
            fetch: StageFit::new(3.0, 0.0005),
            hold_ms: INITIAL_HOLD_MS,
            pause_ms: INITIAL_PAUSE_MS,
            wait_factor: 1.0,
            factors: IndexMap::new(),
        }
    }
}

impl PoolTiming {
    /// Expected time of a stage
    pub fn stage(&self, stage: TimedStage, now: Instant) -> StageTime {
        let fit = match stage {
            TimedStage::Whole => &self.whole,
            TimedStage::Prefill => &self.prefill,
            TimedStage::Decode => &self.decode,
            TimedStage::Fetch => &self.fetch,
        };
        fit.time_at(now)
    }

    /// Mean time that a generation with a short output holds a slot, in milliseconds
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// Time of an engine's stages relative to the pool's
    pub fn factor(&self, engine: &EndpointId, now: Instant) -> f64 {
        self.factors.get(engine).map_or(1.0, |it| it.logarithm_at(now).exp())
    }

    /// Records a sample of an engine
    pub fn record(&mut self, engine: &EndpointId, sample: StageSample, now: Instant) {
        let (tokens, took_ms) = (f64::from(sample.tokens), f64::from(sample.took_ms));
        let fit = match sample.stage {
            TimedStage::Whole => &mut self.whole,
            TimedStage::Prefill => &mut self.prefill,
            TimedStage::Decode => &mut self.decode,
            TimedStage::Fetch => &mut self.fetch,
        };
        let expected_ms = fit.time.ms(tokens);
        let is_learned = fit.is_learned();
        fit.record(tokens, took_ms, sample.is_loaded, now);
        if is_learned && !sample.is_loaded && sample.stage != TimedStage::Fetch && expected_ms > 0.0
        {
            self.update_factor(engine, took_ms / expected_ms, now);
        }
    }

    /// Records how long a generation with a short output held a slot
    pub fn record_hold(&mut self, took: Duration) {
        self.hold_ms += MEAN_WEIGHT * (took.as_secs_f64() * 1000.0 - self.hold_ms);
    }

    /// Real waits relative to those by counted work, which arrives late from other instances
    pub fn wait_factor(&self) -> f64 {
        self.wait_factor
    }

    /// Records a send that would have taken `own_ms` at an idle engine and was to wait `wait_ms` by
    /// counted work; the factor follows
    /// the upper quartile
    pub fn record_wait(&mut self, own_ms: f64, wait_ms: f64, took: Duration) {
        if wait_ms < own_ms * MIN_WAIT_FRACTION {
            return;
        }
        let observed = (took.as_secs_f64() * 1000.0 - own_ms) / wait_ms;
        let is_longer = observed > self.wait_factor;
        let step = if is_longer { WAIT_STEPS.0 } else { WAIT_STEPS.1 };
        self.wait_factor = (self.wait_factor + step).clamp(WAIT_RANGE.0, WAIT_RANGE.1);
    }

    /// Mean pause between two events of a stream, in milliseconds
    pub fn pause_ms(&self) -> f64 {
        self.pause_ms
    }

    /// Records a pause between two events of a stream
    pub fn record_pause(&mut self, took: Duration) {
        self.pause_ms += MEAN_WEIGHT * (took.as_secs_f64() * 1000.0 - self.pause_ms);
    }

    /// Drops the factors of engines that are no longer listed
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.factors.retain(|id, _| is_listed(id));
    }

    fn update_factor(&mut self, engine: &EndpointId, ratio: f64, now: Instant) {
        let observed = ratio.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1).ln();
        let factor = self.factors.entry(engine.clone());
        let factor = factor.or_insert(EngineFactor { logarithm: 0.0, updated_at: now });
        let before = factor.logarithm_at(now);
        factor.logarithm = before + FACTOR_WEIGHT * (observed - before);
        factor.updated_at = now;
    }
}
