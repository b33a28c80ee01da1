//! Permit to dispatch a claimed call, which also records the call's outcome.
//!
//! The permit is created before the claim is submitted and settles the claim in every
//! case: by `finish` or `release`, or, if it is dropped, as unknown when the call was
//! dispatched and by a release otherwise. Appending is retried while the log is
//! unreachable.

use super::OnceHandle;
use catalogue::id::IdempotencyKey;
use state::claims::{
    CLAIM_WINDOW, ClaimItem, ClaimToken, RecordedAnswer, RunOutcome, UnknownReason,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Timeout of one attempt to record the outcome of a claim.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that `finish` and `release` wait for the record to be appended.
const SETTLE_WAIT: Duration = Duration::from_secs(2);
const SETTLE_RETRY: Duration = Duration::from_millis(500);

/// Outcome of a dispatched call
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceOutcome {
    /// The endpoint sent a complete answer
    Answered(RecordedAnswer),
    /// Bytes were sent and no complete answer arrived
    Unknown,
}

/// Whether the outcome of a claim is in the log
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettledClaim {
    Recorded,
    /// Not recorded yet; retried in the background
    Pending,
}

/// Permit to dispatch one call once
#[derive(Debug)]
pub struct ClaimPermit {
    once: OnceHandle,
    key: IdempotencyKey,
    token: ClaimToken,
    deadline: Instant,
    is_dispatched: AtomicBool,
    is_settled: bool,
}

impl ClaimPermit {
    pub(super) fn new(
        once: OnceHandle,
        key: IdempotencyKey,
        token: ClaimToken,
        deadline: Instant,
    ) -> ClaimPermit {
        let is_dispatched = AtomicBool::new(false);
        ClaimPermit { once, key, token, deadline, is_dispatched, is_settled: false }
    }

    /// Disarms the permit: the claim needs no further record, so dropping it appends none
    pub(super) fn disarm(mut self) {
        self.is_settled = true;
    }

    pub fn key(&self) -> IdempotencyKey {
        self.key
    }

    /// Whether the call may be dispatched now; if so, marks it as dispatched
    ///
    /// Call it right before the first byte is sent, and again before trying another
    /// endpoint after `undo_dispatch`.
    pub fn start_dispatch(&self, now: Instant) -> bool {
        let is_first = !self.is_dispatched.load(Ordering::Acquire);
        let is_allowed = is_first && now < self.deadline;
        if is_allowed {
            self.is_dispatched.store(true, Ordering::Release);
        }
        is_allowed
    }

    /// Undoes `start_dispatch` when certainly no byte was sent
    pub fn undo_dispatch(&self) {
        self.is_dispatched.store(false, Ordering::Release);
    }

    /// Records the outcome of the call
    pub async fn finish(mut self, outcome: OnceOutcome) -> SettledClaim {
        let outcome = match outcome {
            OnceOutcome::Answered(answer) => RunOutcome::Answered(answer),
            OnceOutcome::Unknown => RunOutcome::Unknown(UnknownReason::NoAnswer),
        };
        self.settle(outcome_item(self.key, self.token, outcome)).await
    }

    /// Releases the key of a call that certainly did not and will not run
    pub async fn release(mut self) -> SettledClaim {
        self.settle(ClaimItem::Release { key: self.key, token: self.token }).await
    }

    async fn settle(&mut self, item: ClaimItem) -> SettledClaim {
        self.is_settled = true;
        let (done, recorded) = oneshot::channel();
        tokio::spawn(record(self.once.clone(), self.key, item, Some(done)));
        match tokio::time::timeout(SETTLE_WAIT, recorded).await {
            Ok(Ok(())) => SettledClaim::Recorded,
            _ => SettledClaim::Pending,
        }
    }
}

impl Drop for ClaimPermit {
    fn drop(&mut self) {
        if self.is_settled || tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        if !*self.is_dispatched.get_mut() {
            let item = ClaimItem::Release { key: self.key, token: self.token };
            tokio::spawn(record(self.once.clone(), self.key, item, None));
            return;
        }
        let outcome = RunOutcome::Unknown(UnknownReason::NoAnswer);
        let item = outcome_item(self.key, self.token, outcome);
        tokio::spawn(record(self.once.clone(), self.key, item, None));
    }
}

fn outcome_item(key: IdempotencyKey, token: ClaimToken, outcome: RunOutcome) -> ClaimItem {
    ClaimItem::Outcome { key, token, outcome }
}

async fn record(
    once: OnceHandle,
    key: IdempotencyKey,
    item: ClaimItem,
    done: Option<oneshot::Sender<()>>,
) {
    let give_up = Instant::now() + CLAIM_WINDOW;
    while Instant::now() < give_up {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        match once.state.submit(&key, item.clone(), deadline).await {
            Ok(_) => {
                if let Some(done) = done {
                    let _ = done.send(());
                }
                return;
            }
            Err(error) => log::warn!("event=claim_not_settled key={key} error={error}"),
        }
        tokio::time::sleep(SETTLE_RETRY).await;
    }
    log::error!("event=claim_left_open key={key}");
}
