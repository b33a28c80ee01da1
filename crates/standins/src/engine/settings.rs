//! Speeds and limits of an engine.

use catalogue::ModelTarget;
use catalogue::id::TokenCount;
use smol_str::SmolStr;
use std::time::Duration;

/// Speeds of an engine
///
/// A step generates one token for each decoding request of the batch and prefills up
/// to `chunk_tokens` prompt tokens; its duration grows with both.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpeed {
    /// Prompt tokens prefilled per second
    pub prefill_tokens_per_s: f64,
    /// Maximum number of prompt tokens prefilled in one step
    pub chunk_tokens: TokenCount,
    /// Base duration of a step that decodes, in microseconds
    pub step_us: u64,
    /// Time that each decoding request adds to a step, in microseconds
    pub step_per_request_us: u64,
    /// Maximum number of requests in the batch
    pub batch_limit: u32,
    /// Maximum number of waiting requests
    pub waiting_limit: u32,
    /// Tokens of imported cache read per second
    pub import_tokens_per_s: f64,
    /// Speed-up: all times of the engine are divided by it
    pub factor: f64,
}

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        EngineSpeed {
            prefill_tokens_per_s: 12_000.0,
            chunk_tokens: 1_000,
            step_us: 18_000,
            step_per_request_us: 350,
            batch_limit: 32,
            waiting_limit: 256,
            import_tokens_per_s: 200_000.0,
            factor: 1.0,
        }
    }
}

impl EngineSpeed {
    /// Duration of a step that decodes `decoding` requests and prefills `prompt_tokens`
    pub fn step_time(&self, decoding: usize, prompt_tokens: TokenCount) -> Duration {
        let base = if decoding > 0 { self.step_us as f64 } else { 0.0 };
        let decode_us = base + self.step_per_request_us as f64 * decoding as f64;
        let prefill_s = f64::from(prompt_tokens) / self.prefill_tokens_per_s;
        self.scaled(Duration::from_secs_f64(decode_us / 1e6 + prefill_s))
    }

    /// Time to import the cache of a prompt
    pub fn import_time(&self, tokens: TokenCount) -> Duration {
        self.scaled(Duration::from_secs_f64(f64::from(tokens) / self.import_tokens_per_s))
    }

    /// Tokens that a full batch generates per second
    pub fn decode_tokens_per_s(&self) -> f64 {
        let step = self.step_time(self.batch_limit as usize, 0);
        f64::from(self.batch_limit) / step.as_secs_f64()
    }

    /// `time` divided by the speed-up factor
    pub fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.factor)
    }
}

#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    pub speed: EngineSpeed,
    /// Target at the start
    pub target: ModelTarget,
    /// Whether it refuses orders with an outdated fencing number
    pub checks_fence: bool,
    /// Maximum number of cached pieces
    pub cache_pieces: usize,
    /// Time from a cache event to its publication, in milliseconds
    pub event_lag_ms: u64,
    /// Fraction of cache events that are never published
    pub event_loss: f64,
    /// Age of the load report, in milliseconds
    pub report_lag_ms: u64,
    /// Time for which a change of target makes the engine unavailable, in milliseconds;
    /// the loading of weights is added to it
    pub change_ms: u64,
    /// Time from a crash to the restart, in milliseconds
    pub restart_ms: u64,
    /// Text in a prompt that crashes the engine; empty for none
    pub poison: SmolStr,
    /// Seed of the random loss of cache events
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            speed: EngineSpeed::default(),
            target: ModelTarget {
                role: catalogue::EngineRole::Mixed,
                model: "model".into(),
                version: "1".into(),
                adapter: None,
            },
            checks_fence: true,
            cache_pieces: 400,
            event_lag_ms: 300,
            event_loss: 0.02,
            report_lag_ms: 500,
            change_ms: 3_000,
            restart_ms: 2_000,
            poison: SmolStr::default(),
            seed: 1,
        }
    }
}

impl EngineSettings {
    /// Time that a change of target takes, without the loading of weights
    pub fn change_time(&self) -> Duration {
        self.speed.scaled(Duration::from_millis(self.change_ms))
    }

    /// Time from a crash to the restart
    pub fn restart_time(&self) -> Duration {
        self.speed.scaled(Duration::from_millis(self.restart_ms))
    }
}
