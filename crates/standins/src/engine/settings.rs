//! Speeds and limits of an engine.

use catalogue::ModelTarget;
use catalogue::id::TokenCount;
use smol_str::SmolStr;
use std::time::Duration;

/// Speeds of an engine
///
/// A step generates one token for each decoding request of the batch and reads up
/// to `chunk_tokens` of prompts; its time grows with both.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpeed {
    /// Prompt tokens read a second
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens read in one step at most
    pub chunk_tokens: TokenCount,
    /// Time of a decode step, in microseconds
    pub step_us: u64,
    /// Time that each decoding request adds to a step, in microseconds
    pub step_per_request_us: u64,
    /// Requests in the batch at most
    pub batch_limit: u32,
    /// Requests that wait at most
    pub waiting_limit: u32,
    /// Tokens of imported cache read a second
    pub import_tokens_per_s: f64,
    /// Divides all times of the engine
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
    /// Time of a step
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

    /// Tokens generated a second by a full batch
    pub fn decode_tokens_per_s(&self) -> f64 {
        let step = self.step_time(self.batch_limit as usize, 0);
        f64::from(self.batch_limit) / step.as_secs_f64()
    }

    /// A time of the engine divided by its factor
    pub fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.factor)
    }
}

/// Everything that is set about an engine
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Speeds
    pub speed: EngineSpeed,
    /// What it serves at first
    pub target: ModelTarget,
    /// Whether it refuses orders with an old fencing number
    pub checks_fence: bool,
    /// Pieces of cache held at most
    pub cache_pieces: usize,
    /// Time after which a cache event is published, in milliseconds
    pub event_lag_ms: u64,
    /// Share of cache events that are never published
    pub event_loss: f64,
    /// Age of the load report, in milliseconds
    pub report_lag_ms: u64,
    /// Time that a change of role takes the engine away, in milliseconds
    pub change_ms: u64,
    /// Time from a crash to the restart, in milliseconds
    pub restart_ms: u64,
    /// Text in a prompt that crashes the engine; empty for none
    pub poison: SmolStr,
    /// Seed of the loss of events
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
    /// Time that a change of role takes
    pub fn change_time(&self) -> Duration {
        self.speed.scaled(Duration::from_millis(self.change_ms))
    }

    /// Time from a crash to the restart
    pub fn restart_time(&self) -> Duration {
        self.speed.scaled(Duration::from_millis(self.restart_ms))
    }
}
