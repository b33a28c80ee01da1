//! Whether an instance serves, and for how long it has been out of touch.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Standing of an instance
#[derive(Debug)]
pub struct NodeStanding {
    is_started: AtomicBool,
    is_draining: AtomicBool,
    in_flight: Arc<AtomicU32>,
    contact: Mutex<Instant>,
    isolation: Duration,
}

/// Request counted as in flight until dropped
#[derive(Debug)]
pub struct FlightPass {
    in_flight: Arc<AtomicU32>,
}

impl Drop for FlightPass {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl NodeStanding {
    /// Standing of an instance that has just started
    pub fn new(isolation: Duration) -> NodeStanding {
        NodeStanding {
            is_started: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            in_flight: Arc::default(),
            contact: Mutex::new(Instant::now()),
            isolation,
        }
    }

    /// Notes that the catalogue and the control streams have been read
    pub fn set_started(&self) {
        self.is_started.store(true, Ordering::Relaxed);
    }

    /// Whether the catalogue and the control streams have been read
    pub fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Relaxed)
    }

    /// Notes that the instance is stopping; true the first time
    pub fn set_draining(&self) -> bool {
        !self.is_draining.swap(true, Ordering::Relaxed)
    }

    /// Whether the instance is stopping
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Notes that the log or a peer answered
    pub fn note_contact(&self, at: Instant) {
        let mut contact = self.contact.lock().unwrap_or_else(PoisonError::into_inner);
        *contact = (*contact).max(at);
    }

    /// Whether neither the log nor a peer has answered for too long
    pub fn is_isolated(&self) -> bool {
        let contact = self.contact.lock().unwrap_or_else(PoisonError::into_inner);
        contact.elapsed() > self.isolation
    }

    /// Whether new callers should be sent here
    pub fn is_ready(&self) -> bool {
        self.is_started() && !self.is_draining() && !self.is_isolated()
    }

    /// Counts a request as in flight
    pub fn fly(&self) -> FlightPass {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightPass { in_flight: self.in_flight.clone() }
    }

    /// Requests in flight
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}
