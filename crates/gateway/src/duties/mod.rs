//! Duties that one instance at a time fulfils, under a lease in the platform's store.
//!
//! The lease and what its holder records are in one topic, to which all writes are
//! conditional appends. `decide::serving::duty_lease` decides when to take, renew and give
//! up the lease.

use bytes::Bytes;
use catalogue::id::{Fence, InstanceId};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::cell::RefCell;
use tokio::sync::watch;

/// Instance that fulfils the duties
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyHolder {
    pub instance: InstanceId,
    /// Fencing token of its term
    pub fence: Fence,
}

/// Error of a write under the lease
#[derive(Debug)]
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
}

impl DutyState {
    /// Fencing token if this instance holds the lease now; check it right before each call under the lease
    pub fn fence(&self) -> Option<Fence> {
        *self.fence.borrow()
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
    pub async fn write(&self, _key: &str, _value: Bytes) -> Result<(), DutyWriteError> {
        Err(DutyWriteError::NotHeld)
    }
}
