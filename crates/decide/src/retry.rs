//! Retry budget and back-off.
//!
//! Every request earns a fixed part of a retry, so that retries stay a bounded
//! part of the work however many attempts fail.

use rand::Rng;
use std::time::Duration;

/// Retries earned by one request.
const RETRY_RATIO: f64 = 0.1;
/// Most retries saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Retries that a fresh budget starts with.
const INITIAL_RETRIES: f64 = 2.0;
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Retries that may still be spent
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: INITIAL_RETRIES }
    }
}

impl RetryBudget {
    /// Notes a first attempt
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry if the budget has it
    pub fn spend(&mut self) -> bool {
        let has_one = self.saved >= 1.0;
        if has_one {
            self.saved -= 1.0;
        }
        has_one
    }
}

/// Pause before a retry, drawn from zero to a bound that doubles with each attempt; from 1
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let bound = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    bound.mul_f64(rng.random::<f64>())
}
