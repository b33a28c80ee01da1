//! Permit to dispatch a claimed call, and the record of how it ended.
//!
//! The permit exists from before the claim is submitted. Whatever becomes of it, the
//! claim is settled: with the outcome given to it, else as unknown if dispatch had
//! begun, else by a release. The record is repeated while the log is out of reach.

use super::OnceHandle;
use catalogue::id::IdempotencyKey;
use state::claims::{
    CLAIM_WINDOW, ClaimItem, ClaimToken, RecordedAnswer, RunOutcome, UnknownReason,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time for one try to record how a claim ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that `finish` and `release` wait for the record.
const SETTLE_WAIT: Duration = Duration::from_secs(2);
const SETTLE_RETRY: Duration = Duration::from_millis(500);

/// How a dispatched call ended
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceOutcome {
    /// The endpoint gave a whole answer
    Answered(RecordedAnswer),
    /// Bytes left and no whole answer came
    Unknown,
}

/// Whether the end of a claim is in the log
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettledClaim {
    /// Recorded
    Recorded,
    /// Not yet: it is repeated in the background
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

    /// Marks the claim as settled by the verdict itself, so that nothing is recorded
    pub(super) fn void(mut self) {
        self.is_settled = true;
    }

    /// Key of the call
    pub fn key(&self) -> IdempotencyKey {
        self.key
    }

    /// Whether the call may leave now; if so, it counts as dispatched from here on
    ///
    /// To be asked right before the first byte leaves, and again before each other
    /// endpoint that is tried after `not_dispatched`.
    pub fn may_dispatch(&self, now: Instant) -> bool {
        let is_first = !self.is_dispatched.load(Ordering::Acquire);
        let may = is_first && now < self.deadline;
        if may {
            self.is_dispatched.store(true, Ordering::Release);
        }
        may
    }

    /// Takes `may_dispatch` back: it is certain that no byte left
    pub fn not_dispatched(&self) {
        self.is_dispatched.store(false, Ordering::Release);
    }

    /// Records how the call ended
    pub async fn finish(mut self, outcome: OnceOutcome) -> SettledClaim {
        let outcome = match outcome {
            OnceOutcome::Answered(answer) => RunOutcome::Answered(answer),
            OnceOutcome::Unknown => RunOutcome::Unknown(UnknownReason::NoAnswer),
        };
        self.settle(outcome_item(self.key, self.token, outcome)).await
    }

    /// Frees the key: it is certain that the call did not and will not run
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
