//! Requests suspected of crashing endpoints, shared with the other instances.

use catalogue::id::EndpointId;
use decide::fingerprint::Fingerprint;
use decide::suspect::{SuspectDecision, SuspectTable};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::broadcast;

/// Strikes buffered for a slow receiver; older ones are dropped.
const NOTICE_CAPACITY: usize = 1_024;

/// Strike to send to the other instances
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeNotice {
    /// Fingerprint of the request
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed while running it
    pub endpoint: EndpointId,
}

/// Suspects known to this instance
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
    /// Whether to run a request normally, isolated or not at all
    pub fn decision(&self, fingerprint: Fingerprint) -> SuspectDecision {
        self.lock().decision(fingerprint, Instant::now())
    }

    /// Records a crash detected by this instance and queues it for the others
    pub fn strike(&self, fingerprint: Fingerprint, endpoint: &EndpointId) -> SuspectDecision {
        let notice = StrikeNotice { fingerprint, endpoint: endpoint.clone() };
        let _ = self.notices.send(notice);
        self.lock().strike(fingerprint, endpoint, Instant::now())
    }

    /// Records a crash reported by another instance
    pub fn strike_from_peer(&self, notice: &StrikeNotice) {
        self.lock().strike(notice.fingerprint, &notice.endpoint, Instant::now());
    }

    /// Number of endpoints known to have crashed while running a request
    pub fn count(&self, fingerprint: Fingerprint) -> u32 {
        self.lock().strike_count(fingerprint, Instant::now()) as u32
    }

    /// Records that a request completed
    pub fn clear(&self, fingerprint: Fingerprint) {
        self.lock().clear(fingerprint, Instant::now());
    }

    /// Records that a request makes progress on another endpoint after a crash
    pub fn progress(&self, fingerprint: Fingerprint) {
        self.lock().record_progress(fingerprint, Instant::now());
    }

    /// Strikes that count, the last requests first, at most `limit`
    pub fn known(&self, limit: usize) -> Vec<StrikeNotice> {
        let table = self.lock();
        let strikes = table.strikes(Instant::now()).take(limit);
        let notices = strikes.map(|(fingerprint, endpoint)| StrikeNotice {
            fingerprint,
            endpoint: endpoint.clone(),
        });
        notices.collect()
    }

    /// Subscribes to strikes that this instance records from now on
    pub fn notices(&self) -> broadcast::Receiver<StrikeNotice> {
        self.notices.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
