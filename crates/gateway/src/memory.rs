//! Bounds on the memory that an instance holds for slow clients and endpoints.
//!
//! Streams, whole answers and request bodies have a bound each, so that slow readers of
//! one kind leave the others their memory.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Memory of an instance whose settings state none, in bytes; that of the smallest one.
const DEFAULT_MEMORY: usize = 160_000_000;
/// Parts of the memory, as divisors. The process itself takes about 20 MB; the rest covers buffers of
/// the HTTP library and tables that grow with the deployment.
const STREAM_DIVISOR: usize = 4;
const ANSWER_DIVISOR: usize = 10;
const BODY_DIVISOR: usize = 10;

/// Memory of an instance by what it is held for
pub struct MemoryBudget {
    /// Events of streams whose clients are slow
    pub streams: HeldBytes,
    /// Whole answers, until the client has taken them
    pub answers: HeldBytes,
    /// Bodies of requests
    pub bodies: HeldBytes,
}

impl MemoryBudget {
    /// Bounds of an instance with this memory in bytes; `None` if its settings state none
    pub fn new(memory: Option<usize>) -> MemoryBudget {
        let memory = memory.unwrap_or(DEFAULT_MEMORY);
        MemoryBudget {
            streams: HeldBytes::new(memory / STREAM_DIVISOR),
            answers: HeldBytes::new(memory / ANSWER_DIVISOR),
            bodies: HeldBytes::new(memory / BODY_DIVISOR),
        }
    }

    /// Bytes that are held now, of all kinds
    pub fn used(&self) -> usize {
        [&self.streams, &self.answers, &self.bodies].iter().map(|it| it.state.used.get()).sum()
    }
}

/// Bytes held for one purpose, with their bound
#[derive(Debug, Clone)]
pub struct HeldBytes {
    state: Rc<HeldState>,
}

#[derive(Debug)]
struct HeldState {
    limit: usize,
    used: Cell<usize>,
    /// Whether a share has been admitted beyond the bound
    has_overdraft: Cell<bool>,
    /// Notified once there is room again
    room: Notify,
}

impl HeldState {
    fn is_full(&self) -> bool {
        self.used.get() >= self.limit
    }
}

impl HeldBytes {
    fn new(limit: usize) -> HeldBytes {
        let state = HeldState {
            limit,
            used: Cell::default(),
            has_overdraft: Cell::default(),
            room: Notify::new(),
        };
        HeldBytes { state: Rc::new(state) }
    }

    /// Whether the bound is reached
    pub fn is_full(&self) -> bool {
        self.state.is_full()
    }

    /// Share of one request, empty at first
    pub fn share(&self) -> MemoryShare {
        MemoryShare { state: self.state.clone(), bytes: 0, has_overdraft: false }
    }
}

/// Bytes held for one request, returned when dropped
#[derive(Debug)]
pub struct MemoryShare {
    state: Rc<HeldState>,
    bytes: usize,
    /// Whether it may grow though the bound is reached
    has_overdraft: bool,
}

impl MemoryShare {
    /// Number of bytes
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds bytes, whether or not the bound is reached
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.state.used.set(self.state.used.get() + bytes);
    }

    /// Returns bytes
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let was_full = self.state.is_full();
        self.state.used.set(self.state.used.get() - bytes);
        if was_full && !self.state.is_full() {
            self.state.room.notify_waiters();
        }
    }

    /// Whether the share may grow; beyond the bound one share at a time may, until it is dropped
    ///
    /// Without it, shares that have filled the memory in part would all wait for each other.
    pub fn may_grow(&mut self) -> bool {
        if !self.has_overdraft && self.state.is_full() {
            self.has_overdraft = !self.state.has_overdraft.replace(true);
            return self.has_overdraft;
        }
        true
    }

    /// Waits until the share may grow
    pub async fn wait_room(&mut self) {
        let state = self.state.clone();
        loop {
            let room = state.room.notified();
            if self.may_grow() {
                return;
            }
            room.await;
        }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.shrink(self.bytes);
        if self.has_overdraft {
            self.state.has_overdraft.set(false);
            self.state.room.notify_waiters();
        }
    }
}
