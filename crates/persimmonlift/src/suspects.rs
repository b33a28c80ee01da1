//! Requests suspected of crashing endpoints, known here and told to peers.

use catalogue::id::EndpointId;
use decide::fingerprint::Fingerprint;
use decide::suspect::{SuspectTable, SuspectVerdict};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::broadcast;

/// Strikes kept for a peer link that lags.
const NOTICE_CAPACITY: usize = 1_024;

/// Strike to tell other instances
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeNotice {
    /// Request
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed under it
    pub endpoint: EndpointId,
}

/// Suspects as this instance knows them
#[derive(Debug)]
pub struct SuspectRegister {
    table: Mutex<SuspectTable>,
    notices: broadcast::Sender<StrikeNotice>,
}

impl Default for SuspectRegister {
    fn default() -> SuspectRegister {
        let (notices, _) = broadcast::channel(NOTICE_CAPACITY);
        SuspectRegister { table: Mutex::default(), notices }
    }
}

impl SuspectRegister {
    /// How a request is to be run
    pub fn verdict(&self, fingerprint: Fingerprint) -> SuspectVerdict {
        self.lock().verdict(fingerprint, Instant::now())
    }

    /// Notes a crash seen here
    pub fn strike(&self, fingerprint: Fingerprint, endpoint: &EndpointId) -> SuspectVerdict {
        let notice = StrikeNotice { fingerprint, endpoint: endpoint.clone() };
        let _ = self.notices.send(notice);
        self.lock().strike(fingerprint, endpoint, Instant::now())
    }

    /// Notes a crash that another instance saw
    pub fn strike_from_peer(&self, notice: &StrikeNotice) {
        self.lock().strike(notice.fingerprint, &notice.endpoint, Instant::now());
    }

    /// Endpoints that crashed under a request, as far as is known here
    pub fn count(&self, fingerprint: Fingerprint) -> u32 {
        self.lock().count(fingerprint, Instant::now()) as u32
    }

    /// Notes that a request ended without a crash
    pub fn clear(&self, fingerprint: Fingerprint) {
        self.lock().clear(fingerprint, Instant::now());
    }

    /// Notes that a request goes on at another endpoint after a crash
    pub fn progress(&self, fingerprint: Fingerprint) {
        self.lock().progress(fingerprint, Instant::now());
    }

    /// Strikes seen here from now on
    pub fn notices(&self) -> broadcast::Receiver<StrikeNotice> {
        self.notices.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
