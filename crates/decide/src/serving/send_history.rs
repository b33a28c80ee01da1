//! History of a request's sends: whether it is retryable, and which final answer is correct.

use super::route::RetryRule;

/// Whether an endpoint may have run a request
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunStatus {
    /// The endpoint has not run it and never will
    NotRun,
    /// The endpoint may have run it or may still run it
    MayHaveRun,
}

/// Final answer to a request that is not retried
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalStep {
    /// Refuse the request: it has not run
    Refuse,
    /// Fail the request: its outcome is unknown
    Fail,
}

/// Sends of one request so far
#[derive(Debug, Clone, Copy)]
pub struct SendHistory {
    /// Number of endpoints that it was sent to
    pub sends: u32,
    /// Whether any of these endpoints may have run it
    pub may_have_run: bool,
}

impl SendHistory {
    /// Creates the history of a request before its first send
    pub fn new() -> SendHistory {
        SendHistory { sends: 0, may_have_run: false }
    }

    /// Records a send and whether the endpoint may have run the request
    pub fn record_send(&mut self, status: RunStatus) {
        self.sends += 1;
        self.may_have_run |= status == RunStatus::MayHaveRun;
    }

    /// Whether the route's rule and limit allow another send
    pub fn may_send(&self, rule: RetryRule, max_attempts: u32) -> bool {
        self.sends < max_attempts && (!self.may_have_run || rule.allows_second_run())
    }

    /// Final answer when the request is not retried
    pub fn final_step(&self) -> FinalStep {
        if self.may_have_run { FinalStep::Fail } else { FinalStep::Refuse }
    }
}

impl Default for SendHistory {
    fn default() -> SendHistory {
        SendHistory::new()
    }
}
