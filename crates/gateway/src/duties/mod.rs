//! Duties that one instance at a time fulfils, under a lease in the platform's store.
//!
//! The lease and what its holder records are in one topic, to which all writes are
//! conditional appends. `decide::serving::duty_lease` decides when to take, renew and give
//! up the lease; `lease_task` carries that out. Where the settings have no duties, no task
//! runs and nothing is sent.

pub mod candidacy;
pub mod clock;
pub mod lease_task;
pub mod record;
mod writes;

use crate::state::Gateway;
use bytes::Bytes;
use candidacy::DutyCandidacy;
use catalogue::id::{Fence, InstanceId};
use clock::lease_time;
use decide::serving::duty_lease::{DutyLease, LeaseChange, LeaseTiming};
use decide::serving::store_era::StoreEra;
use indexmap::IndexMap;
use platform_adapter::settings::InstanceSettings;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;
use writes::PendingWrites;

/// Longest wait for the outcome of a write; two calls of the longest duration, with the read between them.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Instance that fulfils the duties
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DutyHolder {
    pub instance: InstanceId,
    /// Fencing token of its term
    pub fence: Fence,
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

/// What an instance knows of the duties
#[derive(Default)]
pub struct DutyState {
    fence: watch::Sender<Option<Fence>>,
    holder: RefCell<Option<DutyHolder>>,
    values: RefCell<IndexMap<SmolStr, Bytes>>,
    /// `None` where the settings have no duties
    lease: RefCell<Option<DutyLease>>,
    writes: RefCell<PendingWrites>,
    /// Whether to follow the lease
    pub candidacy: DutyCandidacy,
    /// Wakes the task of the lease
    wake: Notify,
}

impl DutyState {
    /// State of a starting instance
    pub fn new(settings: &InstanceSettings) -> DutyState {
        let lease = settings.duties.as_ref().map(|it| {
            let timing = LeaseTiming::new(it.lease_term);
            let (own, is_first) = (settings.instance.clone(), settings.is_first_start);
            DutyLease::new(own, rand::random(), timing, is_first, lease_time())
        });
        DutyState { lease: RefCell::new(lease), ..DutyState::default() }
    }

    /// Fencing token if this instance holds the lease now; check it right before each call under the lease
    pub fn fence(&self) -> Option<Fence> {
        self.lease.borrow().as_ref()?.fence(lease_time())
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
        self.holder.borrow().clone()
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
    pub fn give_up(&self, gateway: &Gateway, fence: Fence) {
        self.change(gateway, |lease| lease.give_up(fence));
    }

    /// Ends the own term and has it released; the lease is not acquired any more
    pub fn stop(&self) {
        if let Some(lease) = self.lease.borrow_mut().as_mut() {
            if lease.fence(lease_time()).is_some() {
                self.candidacy.want_successors();
            }
            lease.stop();
            self.fence.send_if_modified(|it| it.take().is_some());
            self.wake.notify_one();
        }
    }

    /// Records a holder that another instance has announced; `true` if its token is the highest so far
    pub fn record_holder(&self, gateway: &Gateway, announced: &DutyHolder) -> bool {
        let mut holder = self.holder.borrow_mut();
        let highest = holder.as_ref().map(|it| it.fence);
        if highest < Some(announced.fence) {
            log::info!(
                "event=duty_holder instance={} fence={}",
                announced.instance,
                announced.fence
            );
            gateway.metrics.duty_fence.set(i64::try_from(announced.fence).unwrap_or(i64::MAX));
            *holder = Some(announced.clone());
        }
        highest <= Some(announced.fence)
    }

    /// Applies a change to the lease, and logs and counts what it means for the own term
    fn change(&self, gateway: &Gateway, change: impl FnOnce(&mut DutyLease) -> LeaseChange) {
        let now = lease_time();
        let change = match self.lease.borrow_mut().as_mut() {
            Some(lease) => change(lease),
            None => return,
        };
        match change {
            LeaseChange::None => {}
            LeaseChange::Taken(fence) => {
                log::info!("event=duty_taken fence={fence}");
                gateway.metrics.duty_changed("taken".to_owned());
                let instance = gateway.settings.instance.clone();
                self.record_holder(gateway, &DutyHolder { instance, fence });
            }
            LeaseChange::Renewed(fence) => {
                log::debug!("event=duty_renewed fence={fence}");
                gateway.metrics.duty_changed("renewed".to_owned());
            }
            LeaseChange::Lost(fence, reason) => {
                log::warn!("event=duty_lost fence={fence} reason={reason}");
                gateway.metrics.duty_changed(format!("lost_{reason}"));
            }
            LeaseChange::Released(fence) => {
                log::info!("event=duty_released fence={fence}");
                gateway.metrics.duty_changed("released".to_owned());
            }
        }
        let fence = self.lease.borrow().as_ref().and_then(|it| it.fence(now));
        let has_term = self.lease.borrow().as_ref().is_some_and(DutyLease::has_term);
        if !has_term {
            self.writes.borrow_mut().fail();
        }
        gateway.metrics.duty_held.set(i64::from(fence.is_some()));
        self.fence.send_if_modified(|it| std::mem::replace(it, fence) != fence);
    }
}

/// Ends the own term, since the store has come back from a copy
pub fn observe_era(gateway: &Gateway, era: StoreEra) {
    let duties = &gateway.duties;
    duties.change(gateway, |lease| lease.observe_era(era, lease_time()));
    duties.wake.notify_one();
}
