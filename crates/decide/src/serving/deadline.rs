//! Detection of requests that a client retries after a refusal.
//!
//! Such a request arrives with less time until its deadline than the first attempt had.
//! Its answer is already late, while that of a first attempt can still be in time. The
//! initial time is estimated by the largest recent time left on the route.

use std::time::{Duration, Instant};

/// Fraction of the peak below which a request has waited before; first attempts vary by 0.15.
const FIRST_ATTEMPT_FRACTION: f64 = 0.84;
/// Time after which the peak is replaced by the next request's time left.
const PEAK_LIFETIME: Duration = Duration::from_secs(20);

/// Largest recent time left of a route's requests
#[derive(Debug, Clone, Copy, Default)]
pub struct DeadlinePeak {
    peak: Duration,
    seen_at: Option<Instant>,
}

impl DeadlinePeak {
    /// Records a request's time left; `true` if it has waited before
    pub fn has_waited(&mut self, time_left: Duration, now: Instant) -> bool {
        let is_old = |it: Instant| now.saturating_duration_since(it) > PEAK_LIFETIME;
        if time_left >= self.peak || self.seen_at.is_none_or(is_old) {
            self.peak = time_left;
            self.seen_at = Some(now);
        }
        time_left < self.peak.mul_f64(FIRST_ATTEMPT_FRACTION)
    }
}
