//! How much of a pool's room an instance uses, from how much of their time its
//! answers take.
//!
//! Answers that come close to their deadlines mean that requests hold each other up
//! at the engines, long before all places of the batches are taken. Then less is let
//! in at once and more waits, where the urgent go first and the hopeless are refused.
//! The room is cut by a factor and given back by steps.

use std::time::Duration;

/// Mean part of their time that answers may take before the room is cut.
const MAX_TIME_PART: f64 = 0.9;
/// Factor of the room while answers take too long.
const CUT_FACTOR: f64 = 0.97;
/// Part of the room given back by an answer while they don't.
const GROWTH: f64 = 0.01;
/// Least part of the room that is used.
const MIN_ROOM: f64 = 0.1;
/// Weight of the newest answer in the mean.
const ANSWER_WEIGHT: f64 = 0.1;

/// Part of the room to use
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPace {
    room: f64,
    time_part: f64,
}

impl Default for AdmissionPace {
    fn default() -> AdmissionPace {
        AdmissionPace { room: 1.0, time_part: 0.0 }
    }
}

impl AdmissionPace {
    /// Part of the room to use, above 0 and at most 1
    pub fn room(&self) -> f64 {
        self.room
    }

    /// Notes an answer that took `took` of the time `allowed`
    pub fn ended(&mut self, took: Duration, allowed: Duration) {
        if allowed.is_zero() {
            return;
        }
        let part = took.as_secs_f64() / allowed.as_secs_f64();
        self.time_part += ANSWER_WEIGHT * (part - self.time_part);
        let room = if self.time_part > MAX_TIME_PART {
            self.room * CUT_FACTOR
        } else {
            self.room + GROWTH
        };
        self.room = room.clamp(MIN_ROOM, 1.0);
    }
}
