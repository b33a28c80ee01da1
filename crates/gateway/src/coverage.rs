//! Whether this instance has to read a topic of the store itself.
//!
//! The leader of a zone reads the store and sends updates to its zone. Each update
//! covers a topic for a short time. An instance reads the topic itself when the
//! coverage runs out, or when an update shows that an earlier one was lost.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Longest wait of a leader's read for a change. This and the next two constants are fractions of the
/// time in which a change must be in force.
pub const LEADER_WAIT_FRACTION: f64 = 0.35;
/// Age of the last read from which a leader sends no updates.
pub const LEADER_READ_AGE_FRACTION: f64 = 0.45;
/// Time that an update covers. Its sum with `LEADER_READ_AGE_FRACTION` and the duration of a read
/// must stay below 1.
pub const COVERAGE_FRACTION: f64 = 0.3;

/// Time after a full read at the start in which an instance waits for the updates of its leader.
pub const START_FRACTION: f64 = 0.6;

/// Coverage of one topic by updates from another instance
#[derive(Debug, Default)]
pub struct TopicCoverage {
    until: Cell<Option<Instant>>,
    has_missed: Cell<bool>,
    missed: Notify,
}

impl TopicCoverage {
    /// Records an update that covers the topic for `duration`
    pub fn extend(&self, duration: Duration, now: Instant) {
        self.until.set(Some(now + duration));
    }

    /// Records that an update was lost, so that the topic is read at once
    pub fn record_missed(&self) {
        self.has_missed.set(true);
        self.missed.notify_one();
    }

    /// Waits until the topic has to be read; `true` if an update was lost
    pub async fn wait_until_due(&self) -> bool {
        loop {
            if self.has_missed.take() {
                return true;
            }
            match self.until.get().filter(|it| Instant::now() < *it) {
                None => return false,
                Some(until) => {
                    tokio::select! {
                        () = sleep_until(until.into()) => {}
                        () = self.missed.notified() => {}
                    }
                }
            }
        }
    }
}
