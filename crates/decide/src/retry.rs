//! Retry budget and backoff.
//!
//! Every request earns a fixed fraction of a retry, so that retries stay a bounded
//! fraction of the work even if all attempts fail.

use rand::Rng;
use std::time::Duration;

/// Retries earned per request.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of saved retries.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Saved retries of a new budget.
const INITIAL_RETRIES: f64 = 2.0;
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Budget of retries, earned by first attempts
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
    /// Records a first attempt
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; `false` if the budget is empty
    pub fn spend(&mut self) -> bool {
        let has_one = self.saved >= 1.0;
        if has_one {
            self.saved -= 1.0;
        }
        has_one
    }
}

/// Backoff with full jitter: uniform from zero to a bound that doubles with each attempt, from 1 on
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let bound = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    bound.mul_f64(rng.random::<f64>())
}
