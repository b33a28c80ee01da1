//! Whether a topic of the store has to be read by this instance itself.
//!
//! The lead of a zone reads the store and tells its zone what is new. An instance is
//! covered for a short time after each such message, and reads itself when none comes,
//! or when a message shows that it has missed something.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Parts of the time in which a change is to be in force. Together with a reading they stay below it:
/// a lead waits for a change for at most this part,
pub const LEAD_WAIT_PART: f64 = 0.35;
/// tells its zone only if its last reading is not older than this part,
pub const LEAD_AGE_PART: f64 = 0.45;
/// and covers it for this part.
pub const COVER_PART: f64 = 0.3;

/// Coverage of one topic
#[derive(Debug, Default)]
pub struct TopicCoverage {
    until: Cell<Option<Instant>>,
    has_missed: Cell<bool>,
    missed: Notify,
}

impl TopicCoverage {
    /// Notes a message that covers the topic for a time
    pub fn extend(&self, time: Duration, now: Instant) {
        self.until.set(Some(now + time));
    }

    /// Notes that something was missed, so that the topic is read at once
    pub fn note_missed(&self) {
        self.has_missed.set(true);
        self.missed.notify_one();
    }

    /// Waits until the topic has to be read; `true` if something was missed
    pub async fn wait_due(&self) -> bool {
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
