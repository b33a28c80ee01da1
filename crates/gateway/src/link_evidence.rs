//! State of the link to the endpoints, with the evidence against endpoints that is held back.

use crate::messages::PeerMessage;
use decide::serving::link::{LinkMonitor, LinkState};
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Silence after which a request is given up at an endpoint while the link is cut.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// What shows an endpoint's failure
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceKind {
    /// No connection could be opened
    Connect,
    /// An open connection broke off
    Broken,
}

/// Change of the state of the instance
type StateChange<State> = Box<dyn FnOnce(&State)>;

/// Evidence against an endpoint that is held back
pub struct HeldEvidence<State> {
    pub kind: EvidenceKind,
    /// Applied once the link is known to be sound
    pub apply: StateChange<State>,
    /// Applied instead if the link turns out to be cut
    pub if_cut: StateChange<State>,
}

/// Link of this instance to the endpoints
pub struct EndpointLink<State> {
    pub monitor: RefCell<LinkMonitor>,
    /// Evidence against endpoints that is held back
    pub held: RefCell<Vec<HeldEvidence<State>>>,
    /// Notified when evidence is held
    pub has_held: Notify,
    /// Notified when a check is due
    pub check_due: Notify,
    /// Notified when a check has ended
    pub settled: Notify,
}

impl<State> Default for EndpointLink<State> {
    fn default() -> EndpointLink<State> {
        EndpointLink {
            monitor: RefCell::default(),
            held: RefCell::default(),
            has_held: Notify::new(),
            check_due: Notify::new(),
            settled: Notify::new(),
        }
    }
}

impl<State> EndpointLink<State> {
    /// State of the link
    pub fn state(&self) -> LinkState {
        self.monitor.borrow().state()
    }

    /// Whether no endpoint answers this instance
    pub fn is_cut(&self) -> bool {
        self.state() == LinkState::Cut
    }

    /// Waits until the link is verified
    pub async fn settle(&self) {
        loop {
            let settled = self.settled.notified();
            if self.state() != LinkState::Unverified {
                return;
            }
            settled.await;
        }
    }

    /// Waits until the link has been cut for `SILENCE_LIMIT`
    pub async fn silence(&self) {
        loop {
            let settled = self.settled.notified();
            if self.is_cut() {
                sleep(SILENCE_LIMIT).await;
                if self.is_cut() {
                    return;
                }
            } else {
                settled.await;
            }
        }
    }
}

/// What another instance says of its own link
#[derive(Debug, Clone, Copy)]
pub struct ReportedLink {
    pub reaches_endpoints: bool,
    /// Whether it takes over requests, which a starting or stopping instance declines
    pub takes_requests: bool,
    pub at: Instant,
}

impl ReportedLink {
    /// What the sender of a message that has just arrived says
    pub fn of(message: &PeerMessage) -> ReportedLink {
        let PeerMessage { reaches_endpoints, takes_requests, .. } = *message;
        ReportedLink { reaches_endpoints, takes_requests, at: Instant::now() }
    }

    /// Link of an instance that has not taken a request over
    pub fn declined() -> ReportedLink {
        ReportedLink { reaches_endpoints: false, takes_requests: false, at: Instant::now() }
    }
}
