//! Serving status of an instance: started, draining, isolated, requests in flight.

use crate::stop::FinalAnswers;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Serving status of an instance
#[derive(Debug)]
pub struct ServingStatus {
    is_started: AtomicBool,
    is_draining: AtomicBool,
    in_flight: Arc<AtomicU32>,
    contact: Mutex<Instant>,
    isolation: Duration,
    /// Answers to requests that are left at the end of a drain
    pub final_answers: FinalAnswers,
}

/// Counts a request as in flight until dropped
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<AtomicU32>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServingStatus {
    /// Status of a starting instance, isolated after `isolation` without contact
    pub fn new(isolation: Duration) -> ServingStatus {
        ServingStatus {
            is_started: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            in_flight: Arc::default(),
            contact: Mutex::new(Instant::now()),
            isolation,
            final_answers: FinalAnswers::default(),
        }
    }

    /// Records that the catalogue and the control streams have been read
    pub fn set_started(&self) {
        self.is_started.store(true, Ordering::Relaxed);
    }

    /// Whether the catalogue and the control streams have been read
    pub fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Relaxed)
    }

    /// Records that the instance is stopping; true on the first call
    pub fn set_draining(&self) -> bool {
        !self.is_draining.swap(true, Ordering::Relaxed)
    }

    /// Whether the instance is stopping
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Records an answer from the log or a peer
    pub fn note_contact(&self, at: Instant) {
        let mut contact = self.contact.lock().unwrap_or_else(PoisonError::into_inner);
        *contact = (*contact).max(at);
    }

    /// Whether neither the log nor a peer has answered within the isolation timeout
    pub fn is_isolated(&self) -> bool {
        let contact = self.contact.lock().unwrap_or_else(PoisonError::into_inner);
        contact.elapsed() > self.isolation
    }

    /// Whether the instance should receive new connections
    pub fn is_ready(&self) -> bool {
        self.is_started() && !self.is_draining() && !self.is_isolated()
    }

    /// Counts a request as in flight
    pub fn count_in_flight(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { in_flight: self.in_flight.clone() }
    }

    /// Number of requests in flight
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Permits held until the answer to a call has been sent
#[derive(Debug)]
pub struct CallPermits {
    pub in_flight: InFlightGuard,
    /// One of the instance's `max_in_flight` slots
    pub slot: tokio::sync::OwnedSemaphorePermit,
}
