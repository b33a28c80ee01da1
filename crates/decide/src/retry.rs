//! Retry budget and backoff.
//!
//! Every request earns a fixed fraction of a retry, so that retries stay a bounded
//! fraction of the work even if all attempts fail. A few are earned by time, so that an
//! instance without arrivals, such as a draining one, can still complete what it has.

use rand::Rng;
use std::time::{Duration, Instant};

/// Retries earned per request.
const RETRY_RATIO: f64 = 0.1;
/// Retries earned per second, whether or not there are requests.
const RETRIES_PER_S: f64 = 5.0;
/// Maximum number of saved retries.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Saved retries of a new budget.
const INITIAL_RETRIES: f64 = 2.0;
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Budget of retries, earned by first attempts and by time
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
    refilled_at: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: INITIAL_RETRIES, refilled_at: None }
    }
}

impl RetryBudget {
    /// Records a first attempt
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; `false` if the budget is empty
    pub fn spend(&mut self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.refilled_at.unwrap_or(now));
        let earned = since.as_secs_f64() * RETRIES_PER_S;
        self.saved = (self.saved + earned).min(MAX_SAVED_RETRIES);
        self.refilled_at = Some(now);
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
