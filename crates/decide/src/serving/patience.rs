//! Requests that have waited before.
//!
//! A client that was refused comes back with less time left than it had at first. Its
//! answer is late already, while a first attempt can still be in time. How much time
//! clients have at first is learnt from the most that they showed lately.

use std::time::{Duration, Instant};

/// Part of the most time left below which a request has waited before; first attempts vary by 0.15.
const FIRST_ATTEMPT_PART: f64 = 0.84;
/// Time over which the most time left is remembered.
const PEAK_LIFETIME: Duration = Duration::from_secs(20);

/// Most time left that clients of a route showed lately
#[derive(Debug, Clone, Copy, Default)]
pub struct PatiencePeak {
    peak: Duration,
    seen_at: Option<Instant>,
}

impl PatiencePeak {
    /// Notes a request's time left; whether it has waited before
    pub fn has_waited(&mut self, time_left: Duration, now: Instant) -> bool {
        let is_old = |it: Instant| now.saturating_duration_since(it) > PEAK_LIFETIME;
        if time_left >= self.peak || self.seen_at.is_none_or(is_old) {
            self.peak = time_left;
            self.seen_at = Some(now);
        }
        time_left < self.peak.mul_f64(FIRST_ATTEMPT_PART)
    }
}
