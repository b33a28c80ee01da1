//! Number of instances by which limits are shared.
//!
//! A larger number counts at once, a smaller one only after it has been the largest for
//! some time. An instance that was removed from the list though it lives uses its share
//! on, and lists itself again in that time.

use std::time::{Duration, Instant};

/// Time for which a larger number still counts; twice the interval at which instances read the list.
pub const COUNT_HOLD_TIME: Duration = Duration::from_secs(240);

/// Largest of the recent numbers
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldCount {
    held: usize,
    /// Largest number that was recorded while a larger one counted
    next: usize,
    held_until: Option<Instant>,
}

impl HeldCount {
    /// Number that counts
    pub fn get(&self) -> usize {
        self.held
    }

    /// Records a number that counts if it is larger, but doesn't replace a larger one
    pub fn raise(&mut self, count: usize) {
        self.held = self.held.max(count);
    }

    /// Records a number that may replace a larger one
    pub fn record(&mut self, count: usize, now: Instant) {
        let is_over = self.held_until.is_some_and(|it| now >= it);
        if count >= self.held || is_over {
            self.held = if count >= self.held { count } else { self.next.max(count) };
            self.next = 0;
            self.held_until = Some(now + COUNT_HOLD_TIME);
        } else {
            self.next = self.next.max(count);
            self.held_until.get_or_insert(now + COUNT_HOLD_TIME);
        }
    }
}
