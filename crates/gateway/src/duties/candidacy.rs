//! Whether this instance follows the lease and may acquire it.
//!
//! Candidates are the instances that read the store for others. Others become candidates
//! for a while if the holder asks them to, since it stops or can't renew its term, or if
//! no holder has been heard of for long: the usual candidates may be cut off from the
//! store, or of a software version without duties.

use catalogue::id::Fence;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time for which an instance that was asked, or that hears of no holder, is a candidate; a term and a margin pass
/// between its first read and its acquisition.
const CANDIDACY_TIME: Duration = Duration::from_secs(12);
/// Highest order of a candidate; instances ask no more than this.
const MAX_ORDER: u32 = 10;
/// Delay of a candidate behind the one that was asked with the next lower order, so that they seldom race.
const ORDER_DELAY: Duration = Duration::from_millis(150);
/// Time without a holder, in waits of the lease, after which others become candidates.
const QUIET_WAITS: f64 = 1.5;
/// Candidates a second of all instances together while no holder is heard of.
const QUIET_CANDIDATES_PER_S: f64 = 2.0;

/// Candidacy for a while
#[derive(Debug, Clone, Copy)]
struct LimitedCandidacy {
    from: Instant,
    /// Token of the holder to be succeeded; `None` if no holder was heard of
    after: Option<Fence>,
}

/// Reasons to be a candidate for a while
#[derive(Debug, Default)]
pub struct DutyCandidacy {
    limited: Cell<Option<LimitedCandidacy>>,
    heard_at: Cell<Option<Instant>>,
    /// Whether other instances should be asked to become candidates
    successors_wanted: Cell<bool>,
}

impl DutyCandidacy {
    /// Records that a holder is in office
    pub fn record_holder(&self, fence: Fence, now: Instant) {
        self.heard_at.set(Some(now));
        let limited = self.limited.get();
        self.limited.set(limited.filter(|it| it.after.is_some_and(|after| fence <= after)));
    }

    /// Records that the holder asks for a successor
    pub fn record_request(&self, after: Fence, order: u8, now: Instant) {
        let order = u32::from(order).min(MAX_ORDER);
        self.start(Some(after), now + ORDER_DELAY * order, now);
    }

    fn start(&self, after: Option<Fence>, from: Instant, now: Instant) {
        if self.limited.get().is_none_or(|it| now >= it.from + CANDIDACY_TIME) {
            self.limited.set(Some(LimitedCandidacy { from, after }));
        }
    }

    /// Ends the candidacy for a while, since this instance can't read the store
    pub fn end(&self) {
        self.limited.set(None);
    }

    /// Whether this instance is a candidate for a while
    pub fn is_limited(&self, now: Instant) -> bool {
        self.limited.get().is_some_and(|it| now >= it.from && now < it.from + CANDIDACY_TIME)
    }

    /// Becomes a candidate if no holder has been heard of for long; `chance` is a random number below 1, drawn once in
    /// each interval
    pub fn check_quiet(
        &self,
        wait: Duration,
        instances: usize,
        interval: Duration,
        chance: f64,
        now: Instant,
    ) {
        let heard_at = self.heard_at.get().unwrap_or_else(|| {
            self.heard_at.set(Some(now));
            now
        });
        let is_quiet = now.saturating_duration_since(heard_at) > wait.mul_f64(QUIET_WAITS);
        let share = QUIET_CANDIDATES_PER_S * interval.as_secs_f64() / instances.max(1) as f64;
        if is_quiet && chance < share {
            self.start(None, now, now);
        }
    }

    /// Has other instances asked to become candidates
    pub fn want_successors(&self) {
        self.successors_wanted.set(true);
    }

    /// Whether other instances should be asked now
    pub fn take_successors_wanted(&self) -> bool {
        self.successors_wanted.take()
    }
}
