//! Generations as callers request them.

use catalogue::CatalogueEntry;
use catalogue::id::{ModelName, RequestId, TokenCount};
use catalogue::prefix::PieceHash;
use decide::fingerprint::Fingerprint;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Generation requested by a caller
#[derive(Debug)]
pub struct GenerationJob {
    /// Request id
    pub request: RequestId,
    pub entry: Arc<CatalogueEntry>,
    pub model: ModelName,
    pub prompt: String,
    /// Length of the prompt
    pub prompt_tokens: TokenCount,
    /// Number of tokens to generate
    pub max_tokens: TokenCount,
    /// Chained hashes of the prompt's pieces, for cache matching
    pub pieces: Vec<PieceHash>,
    /// Identifies equal requests, to track those that crash engines
    pub fingerprint: Fingerprint,
    pub arrived: Instant,
    /// When the complete answer is due
    pub deadline: Instant,
}

impl GenerationJob {
    /// Time left until the deadline
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time left until the deadline, in milliseconds
    pub fn time_left_ms(&self) -> u64 {
        self.time_left().as_millis() as u64
    }
}
