//! Measured workload mix of prompt and output tokens.
//!
//! The rates are smoothed over a window longer than the delay of the reports, so that
//! planning does not react to noise.

use catalogue::id::TokenCount;
use std::time::{Duration, Instant};

/// Time constant of the exponential smoothing.
pub const MIX_WINDOW: Duration = Duration::from_secs(10);

/// Workload of a pool
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkloadMix {
    /// Prompt tokens that arrive per second, without cache hits
    pub prompt_tokens_per_s: f64,
    /// Output tokens requested per second
    pub output_tokens_per_s: f64,
    /// Prompt tokens waiting to be read
    pub queued_prompt_tokens: f64,
    /// Output tokens waiting to be generated
    pub queued_output_tokens: f64,
}

/// Meter that turns arrivals into smoothed rates
#[derive(Debug, Clone)]
pub struct MixMeter {
    window: Duration,
    prompt_per_s: f64,
    output_per_s: f64,
    weight: f64,
    updated_at: Instant,
}

impl MixMeter {
    /// Creates a meter with the time constant `window`
    pub fn new(window: Duration, now: Instant) -> MixMeter {
        MixMeter { window, prompt_per_s: 0.0, output_per_s: 0.0, weight: 0.0, updated_at: now }
    }

    /// Records the arrival of a request
    pub fn record_arrival(
        &mut self,
        prompt_tokens: TokenCount,
        output_tokens: TokenCount,
        now: Instant,
    ) {
        self.decay(now);
        let window = self.window.as_secs_f64();
        self.prompt_per_s += f64::from(prompt_tokens) / window;
        self.output_per_s += f64::from(output_tokens) / window;
    }

    /// Smoothed rates of prompt and output tokens per second
    pub fn rates(&mut self, now: Instant) -> (f64, f64) {
        self.decay(now);
        let weight = self.weight.max(f64::EPSILON);
        (self.prompt_per_s / weight, self.output_per_s / weight)
    }

    /// Prompt share of the engine time that the workload needs, 0 to 1; `None` without work
    ///
    /// Speeds are in tokens per second.
    pub fn prompt_share(
        &mut self,
        prefill_per_s: f64,
        decode_per_s: f64,
        now: Instant,
    ) -> Option<f64> {
        self.decay(now);
        let prompt = self.prompt_per_s / prefill_per_s;
        let output = self.output_per_s / decode_per_s;
        let share = prompt / (prompt + output);
        share.is_finite().then_some(share)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let kept = (-elapsed / self.window.as_secs_f64()).exp();
        self.prompt_per_s *= kept;
        self.output_per_s *= kept;
        self.weight = self.weight * kept + (1.0 - kept);
        self.updated_at = now;
    }
}
