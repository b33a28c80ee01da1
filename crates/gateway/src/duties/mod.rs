//! Duties that one instance at a time fulfils, under a lease in the platform's store.
//!
//! The lease and what its holder records are in one topic, to which all writes are
//! conditional appends. `decide::serving::duty_lease` decides when to take, renew and give
//! up the lease; `duty_task` carries that out. Where the settings have no duties, no task
//! runs and nothing is sent.

pub mod candidacy;
pub mod clock;
pub mod writes;

use crate::metrics::DutyMetrics;
use bytes::Bytes;
use candidacy::DutyCandidacy;
use catalogue::id::{Fence, InstanceId};
use clock::lease_time;
use decide::serving::duty_lease::{DutyLease, LeaseChange, LeaseTiming, LossReason};
use decide::serving::store_era::StoreEra;
use indexmap::IndexMap;
use platform_adapter::settings::InstanceSettings;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;
use writes::PendingWrites;

/// Longest wait for the outcome of a write; two calls of the longest duration, with the read between them.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest delay of the release by calls under the lease; longer than their timeout.
const MAX_RELEASE_DELAY: Duration = Duration::from_millis(1100);

/// Time without a word of a holder after which one with a lower token is believed; holders announce themselves twice a
/// second. A token that the store has never granted would hold for good otherwise.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Instance that fulfils the duties
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DutyHolder {
    pub instance: InstanceId,
    /// Fencing token of its term
    pub fence: Fence,
}

/// Holder as this instance has heard of it
struct KnownHolder {
    holder: DutyHolder,
    heard_at: Instant,
}

/// Error of a write under the lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum DutyWriteError {
    /// this instance doesn't hold the lease
    NotHeld,
    /// the store didn't answer, or the answer was lost
    Unanswered,
}

impl std::error::Error for DutyWriteError {}

/// Call under the lease that is being made; the release waits for its end
#[derive(Debug)]
pub struct DutyCall {
    pub fence: Fence,
    calls: Rc<Cell<usize>>,
}

impl Drop for DutyCall {
    fn drop(&mut self) {
        self.calls.set(self.calls.get() - 1);
    }
}

/// Lets no call under the lease begin until dropped
pub struct CallPause {
    pauses: Rc<Cell<usize>>,
}

impl Drop for CallPause {
    fn drop(&mut self) {
        self.pauses.set(self.pauses.get() - 1);
    }
}

/// What an instance knows of the duties
#[derive(Default)]
pub struct DutyState {
    fence: watch::Sender<Option<Fence>>,
    holder: RefCell<Option<KnownHolder>>,
    own: InstanceId,
    metrics: DutyMetrics,
    /// Newest values of the topic, as it was read and written
    pub values: RefCell<IndexMap<SmolStr, Bytes>>,
    /// `None` where the settings have no duties
    pub lease: RefCell<Option<DutyLease>>,
    /// Values to be recorded
    pub writes: RefCell<PendingWrites>,
    /// Number of calls under the lease that are being made
    calls: Rc<Cell<usize>>,
    /// Number of reasons for which no call may begin
    call_pauses: Rc<Cell<usize>>,
    /// Time of SIGTERM
    stopped_at: Cell<Option<Instant>>,
    /// Whether to follow the lease
    pub candidacy: DutyCandidacy,
    /// Wakes the task of the lease
    pub wake: Notify,
}

impl DutyState {
    /// State of a starting instance
    pub fn new(settings: &InstanceSettings, metrics: DutyMetrics) -> DutyState {
        let lease = settings.duties.as_ref().map(|it| {
            let timing = LeaseTiming::new(it.lease_term);
            let (own, is_first) = (settings.instance.clone(), settings.is_first_start);
            DutyLease::new(own, rand::random(), timing, is_first, lease_time())
        });
        let own = settings.instance.clone();
        DutyState { lease: RefCell::new(lease), own, metrics, ..DutyState::default() }
    }

    /// Fencing token if this instance holds the lease now; check it right before each call under the lease
    pub fn fence(&self) -> Option<Fence> {
        self.lease.borrow().as_ref()?.fence(lease_time())
    }

    /// Begins a call under the lease; `None` if it isn't held
    ///
    /// Send it at once, and drop the result after its end: another instance must not call before it.
    pub fn begin_call(&self) -> Option<DutyCall> {
        let fence = self.fence().filter(|_| self.call_pauses.get() == 0)?;
        self.calls.set(self.calls.get() + 1);
        Some(DutyCall { fence, calls: self.calls.clone() })
    }

    /// Lets no call under the lease begin until the result is dropped
    pub fn pause_calls(&self) -> CallPause {
        self.call_pauses.set(self.call_pauses.get() + 1);
        CallPause { pauses: self.call_pauses.clone() }
    }

    /// Whether no call may begin now
    pub fn has_paused_calls(&self) -> bool {
        self.call_pauses.get() > 0
    }

    /// Rest of the own term, beyond which a call under the lease must not be waited for; `None` if the lease isn't held
    pub fn time_left(&self) -> Option<Duration> {
        self.lease.borrow().as_ref()?.time_left(lease_time())
    }

    /// Changes of the token; the end of a term isn't sent at once, so check `fence` too
    pub fn subscribe(&self) -> watch::Receiver<Option<Fence>> {
        self.fence.subscribe()
    }

    /// Holder with the highest token that this instance has heard of
    pub fn holder(&self) -> Option<DutyHolder> {
        self.holder.borrow().as_ref().map(|it| it.holder.clone())
    }

    /// Newest value that a holder has recorded under a key; known to the holder and to candidates
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.values.borrow().get(key).cloned()
    }

    /// Records a value under a key, for this holder and the next ones
    ///
    /// # Errors
    /// `NotHeld` if the lease isn't held; `Unanswered` if it isn't known whether the value was recorded.
    pub async fn write(&self, key: &str, value: Bytes) -> Result<(), DutyWriteError> {
        if self.fence().is_none() {
            return Err(DutyWriteError::NotHeld);
        }
        let (done, outcome) = oneshot::channel();
        self.writes.borrow_mut().add(key, value, done);
        self.wake.notify_one();
        match timeout(WRITE_TIMEOUT, outcome).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(DutyWriteError::Unanswered),
        }
    }

    /// Has a value recorded with the next renewal, instead of an older staged value of the key
    ///
    /// It is dropped if the lease is lost before.
    pub fn stage(&self, key: &str, value: Bytes) {
        if self.fence().is_some() {
            self.writes.borrow_mut().stage(key, value);
        }
    }

    /// Ends the term of a token, since the control API has seen a higher one
    pub fn give_up(&self, fence: Fence) {
        self.change(|lease| lease.give_up(fence));
    }

    /// Ends the own term and has it released; the lease is not acquired any more
    pub fn stop(&self) {
        if let Some(lease) = self.lease.borrow_mut().as_mut() {
            if lease.fence(lease_time()).is_some() {
                self.candidacy.want_successors();
            }
            lease.stop();
            self.stopped_at.set(Some(Instant::now()));
            self.fence.send_if_modified(|it| it.take().is_some());
            self.wake.notify_one();
        }
    }

    /// Whether the release has to wait for the end of calls
    pub fn holds_back_release(&self) -> bool {
        let stopped_at = self.stopped_at.get();
        self.calls.get() > 0 && stopped_at.is_some_and(|it| it.elapsed() < MAX_RELEASE_DELAY)
    }

    /// Records a holder that another instance has announced; `true` unless one with a higher token is in office
    pub fn record_holder(&self, announced: &DutyHolder, now: Instant) -> bool {
        let mut known = self.holder.borrow_mut();
        if let Some(known) = known.as_mut() {
            let is_current = now.saturating_duration_since(known.heard_at) < HOLDER_TIMEOUT;
            if announced.fence < known.holder.fence && is_current {
                return false;
            }
            known.heard_at = now;
            if announced.fence == known.holder.fence {
                return true;
            }
        }
        log::info!("event=duty_holder instance={} fence={}", announced.instance, announced.fence);
        self.metrics.fence.set(i64::try_from(announced.fence).unwrap_or(i64::MAX));
        *known = Some(KnownHolder { holder: announced.clone(), heard_at: now });
        true
    }

    fn record_own(&self, fence: Fence) {
        self.record_holder(&DutyHolder { instance: self.own.clone(), fence }, Instant::now());
    }

    /// Applies a change to the lease, and logs and counts what it means for the own term
    pub fn change(&self, change: impl FnOnce(&mut DutyLease) -> LeaseChange) {
        let now = lease_time();
        let change = match self.lease.borrow_mut().as_mut() {
            Some(lease) => change(lease),
            None => return,
        };
        match change {
            LeaseChange::None => {}
            LeaseChange::Taken(fence) => {
                log::info!("event=duty_taken fence={fence}");
                self.metrics.changed("taken".to_owned());
                self.record_own(fence);
            }
            LeaseChange::Renewed(fence) => {
                log::debug!("event=duty_renewed fence={fence}");
                self.metrics.changed("renewed".to_owned());
                self.record_own(fence);
            }
            LeaseChange::Lost(fence, reason) => {
                log::warn!("event=duty_lost fence={fence} reason={reason}");
                self.metrics.changed(format!("lost_{reason}"));
                if matches!(reason, LossReason::Era | LossReason::RecordGone) {
                    // Others may acquire the lease sooner than this instance.
                    self.candidacy.want_successors();
                }
            }
            LeaseChange::Released(fence) => {
                log::info!("event=duty_released fence={fence}");
                self.metrics.changed("released".to_owned());
            }
        }
        let fence = self.lease.borrow().as_ref().and_then(|it| it.fence(now));
        let has_term = self.lease.borrow().as_ref().is_some_and(DutyLease::has_term);
        if !has_term {
            self.writes.borrow_mut().fail();
        }
        self.metrics.held.set(i64::from(fence.is_some()));
        self.fence.send_if_modified(|it| std::mem::replace(it, fence) != fence);
    }

    /// Ends the own term, since the store has come back from a copy
    pub fn observe_era(&self, era: StoreEra) {
        self.change(|lease| lease.observe_era(era, lease_time()));
        self.wake.notify_one();
    }
}
