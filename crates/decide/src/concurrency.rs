//! Adaptive concurrency: the fraction of a pool's capacity that an instance uses.
//!
//! Answers that end close to their deadlines show that requests delay each other at the
//! engines, which happens long before all batch slots are taken. Fewer requests are then
//! admitted at once and more of them wait in the queue, which serves urgent requests first
//! and refuses those that can't meet their deadline. The fraction decreases by a factor and
//! increases in fixed steps.

use std::time::Duration;

/// Mean fraction of the allowed time above which the capacity fraction decreases.
const MAX_TIME_FRACTION: f64 = 0.9;
/// Factor on the capacity fraction per answer while answers take too long.
const DECREASE_FACTOR: f64 = 0.97;
/// Increase of the capacity fraction per answer otherwise.
const INCREASE_STEP: f64 = 0.01;
const MIN_CAPACITY_FRACTION: f64 = 0.1;
/// Weight of the newest answer in the moving average.
const ANSWER_WEIGHT: f64 = 0.1;

/// Fraction of a pool's capacity to use
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdaptiveConcurrency {
    capacity_fraction: f64,
    time_fraction: f64,
}

impl Default for AdaptiveConcurrency {
    fn default() -> AdaptiveConcurrency {
        AdaptiveConcurrency { capacity_fraction: 1.0, time_fraction: 0.0 }
    }
}

impl AdaptiveConcurrency {
    /// Fraction of the pool's capacity to use, above 0 and at most 1
    pub fn capacity_fraction(&self) -> f64 {
        self.capacity_fraction
    }

    /// Records an answer that took `took` of the time `allowed`
    pub fn record_answer(&mut self, took: Duration, allowed: Duration) {
        if allowed.is_zero() {
            return;
        }
        let fraction = took.as_secs_f64() / allowed.as_secs_f64();
        self.time_fraction += ANSWER_WEIGHT * (fraction - self.time_fraction);
        let capacity_fraction = if self.time_fraction > MAX_TIME_FRACTION {
            self.capacity_fraction * DECREASE_FACTOR
        } else {
            self.capacity_fraction + INCREASE_STEP
        };
        self.capacity_fraction = capacity_fraction.clamp(MIN_CAPACITY_FRACTION, 1.0);
    }
}
