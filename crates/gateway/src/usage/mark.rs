//! What is known of a request's usage while it is served.

use std::cell::Cell;
use std::time::Duration;

/// Send of a request to a plain service
#[derive(Debug, Clone, Copy)]
pub struct ServiceSend {
    /// Boot time
    pub sent_at: Duration,
    /// Whether the service had a free slot, as far as is known
    pub had_slot: bool,
}

/// What is known of a request's usage
#[derive(Debug, Default)]
pub struct UsageMark {
    /// Whether this instance or another one has counted it
    is_counted: Cell<bool>,
    /// Send to a plain service whose outcome is not known
    pub send: Cell<Option<ServiceSend>>,
}

impl UsageMark {
    /// Mark of a request that arrives; another instance may have counted it before it relayed it
    pub fn new(is_counted: bool) -> UsageMark {
        UsageMark { is_counted: Cell::new(is_counted), send: Cell::default() }
    }

    /// Whether the request is counted
    pub fn is_counted(&self) -> bool {
        self.is_counted.get()
    }

    /// Records that another instance has counted the request
    pub fn record_counted(&self) {
        self.is_counted.set(true);
    }
}
