//! What to do after a send has failed, and what may be said to the client.

use super::route::RepeatRule;

/// What is known of a request that was sent
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunKnowledge {
    /// The endpoint certainly didn't run it and won't
    NotRun,
    /// It may have run
    MayHaveRun,
}

/// What to do next
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Send to another endpoint
    SendAgain,
    /// Refuse: it has not run
    Refuse,
    /// Fail: its outcome isn't known
    Fail,
}

/// State of a request after its latest send
#[derive(Debug, Clone, Copy)]
pub struct SendHistory {
    /// Endpoints it was sent to
    pub sends: u32,
    /// Whether any of them may have run it
    pub may_have_run: bool,
}

impl SendHistory {
    /// History before the first send
    pub fn new() -> SendHistory {
        SendHistory { sends: 0, may_have_run: false }
    }

    /// Notes a send and what is known of it
    pub fn note(&mut self, knowledge: RunKnowledge) {
        self.sends += 1;
        self.may_have_run |= knowledge == RunKnowledge::MayHaveRun;
    }

    /// Whether another send is allowed by the route's rules
    pub fn may_send(&self, repeat: RepeatRule, max_attempts: u32) -> bool {
        self.sends < max_attempts && (!self.may_have_run || repeat.allows_second_run())
    }

    /// Final answer when nothing more is sent
    pub fn give_up(&self) -> NextStep {
        if self.may_have_run { NextStep::Fail } else { NextStep::Refuse }
    }
}

impl Default for SendHistory {
    fn default() -> SendHistory {
        SendHistory::new()
    }
}
