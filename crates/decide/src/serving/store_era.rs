//! Era of the platform's store, which rises each time it comes back from a copy.
//!
//! After a return the store gives out offsets again that it had given out before, so an
//! offset means something only within its era. A position carries both, and the
//! positions of earlier eras are void.

use super::endpoint_list::ListOffset;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Number of times that the store has come back from a copy, from an unknown start.
pub type StoreEra = u64;

/// Time without an answer of the known era after which a lower one is accepted. Late answers are at most
/// a long poll old; a higher era that was seen by mistake must not stop all reads for good.
const FALL_TIME: Duration = Duration::from_secs(6);

/// Position in a topic
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TopicPosition {
    /// Era in which the offset was given out
    pub era: StoreEra,
    /// Offset of the next record to read
    pub offset: ListOffset,
}

/// What an answer's era shows
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The answer is of the known era
    None,
    /// The store has come back from a copy; all earlier positions are void
    Returned {
        /// Era known before; `None` if this is the first one
        from: Option<StoreEra>,
    },
    /// The answer is of an earlier era and must be dropped
    Outdated,
}

/// Era seen last
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    era: Option<StoreEra>,
    outdated_since: Option<Instant>,
}

impl EraTracker {
    /// Era seen last; 0 before the first
    pub fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Whether a position is of the era seen last
    pub fn is_current(&self, position: &TopicPosition) -> bool {
        position.era == self.era()
    }

    /// Records the era of an answer; `None` if it has no readable one, which counts as the era seen last
    pub fn observe(&mut self, seen: Option<StoreEra>, now: Instant) -> EraChange {
        let Some(seen) = seen.filter(|it| Some(*it) != self.era) else {
            self.outdated_since = None;
            return EraChange::None;
        };
        if self.era.is_some_and(|it| seen < it) {
            let since = *self.outdated_since.get_or_insert(now);
            if now.saturating_duration_since(since) < FALL_TIME {
                return EraChange::Outdated;
            }
        }
        self.outdated_since = None;
        EraChange::Returned { from: self.era.replace(seen) }
    }
}
