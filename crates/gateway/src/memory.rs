//! Bounds on the memory that an instance holds for slow clients and endpoints.
//!
//! Streams, whole answers and request bodies have a bound each, so that slow readers of
//! one kind leave the others their memory.

use std::cell::Cell;
use std::rc::Rc;

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
        [&self.streams, &self.answers, &self.bodies].iter().map(|it| it.used.get()).sum()
    }
}

/// Bytes held for one purpose, with their bound
#[derive(Debug, Clone)]
pub struct HeldBytes {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl HeldBytes {
    fn new(limit: usize) -> HeldBytes {
        HeldBytes { limit, used: Rc::default() }
    }

    /// Whether the bound is reached
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.limit
    }

    /// Share of one request, empty at first
    pub fn share(&self) -> MemoryShare {
        MemoryShare { used: self.used.clone(), bytes: 0 }
    }
}

/// Bytes held for one request, returned when dropped
#[derive(Debug)]
pub struct MemoryShare {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl MemoryShare {
    /// Number of bytes
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds bytes, whether or not the bound is reached
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.used.set(self.used.get() + bytes);
    }

    /// Returns bytes
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.used.set(self.used.get() - bytes);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
