//! When a plain service began to work on a request, which only its answer shows.

use std::time::Duration;

/// Weight of a new work time in the usual one.
const WORK_WEIGHT: f64 = 0.1;

/// Usual time that services work on a request, by which a request that had to wait is placed
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkTime {
    usual: Option<Duration>,
}

impl WorkTime {
    /// Records the time of a request that a service took up at once
    pub fn record(&mut self, took: Duration) {
        self.usual = Some(match self.usual {
            Some(usual) => usual.mul_f64(1.0 - WORK_WEIGHT) + took.mul_f64(WORK_WEIGHT),
            None => took,
        });
    }

    /// When a service began to work on a request, given the times of the send and of the answer
    ///
    /// A service with a free slot begins on arrival, which the send time misses by half a round trip. With all
    /// slots in use, the answer time minus the usual work time misses it by the difference of this request's
    /// work time from the usual one, at most by the time from the send to the answer.
    pub fn begin(&self, sent_at: Duration, answered_at: Duration, had_slot: bool) -> Duration {
        match self.usual {
            Some(usual) if !had_slot => answered_at.saturating_sub(usual).max(sent_at),
            _ => sent_at,
        }
    }
}
