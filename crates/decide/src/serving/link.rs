//! Whether this instance reaches the endpoints.
//!
//! That one endpoint doesn't answer is the endpoint's fault. If several don't, one after the
//! other and without an answer of another in between, the link of this instance may be
//! cut. It then checks some endpoints; if none answers, it is cut until one does. Answers
//! on connections that were open before don't count against refused ones: a cut may leave
//! these alone. At an endpoint whose slots are all in use, a check waits like any other
//! request. Its silence shows nothing until there was no answer for longer than is usual.

use catalogue::id::EndpointId;
use indexmap::IndexSet;
use std::time::{Duration, Instant};

/// Number of endpoints that must fail, without an answer in between, before the link has to be checked.
const FAILED_ENDPOINTS: usize = 2;
/// Time after an answer on a new connection in which failures cause no check.
const SOUND_TIME: Duration = Duration::from_millis(100);
/// Time after an answer within which a silent check shows nothing: endpoints that are full are silent, too.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// State of the link to the endpoints
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    #[default]
    Sound,
    /// Several endpoints have failed, and the check hasn't ended
    Unverified,
    /// No endpoint answers this instance
    Cut,
}

/// What a check of one endpoint has shown
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The endpoint has answered
    Answered,
    /// The connection was refused or reset
    Refused,
    /// There was no answer in time
    Silent,
    /// There was none, but the endpoint is full, so that the check may wait for a slot
    Full,
}

/// Evidence on the link
#[derive(Debug, Clone, Default)]
pub struct LinkMonitor {
    state: LinkState,
    /// Endpoints that have failed since the last answer on a new connection
    failed: IndexSet<EndpointId>,
    last_answer_at: Option<Instant>,
    /// Last answer on a new connection
    sound_at: Option<Instant>,
    /// Whether a request has waited longer than usual, and no endpoint has answered since
    is_overdue: bool,
}

impl LinkMonitor {
    /// State of the link
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Records that a connection to an endpoint could not be opened, or broke off before an answer; `true` if this
    /// makes a check due
    ///
    /// `listed` is the number of endpoints that are listed.
    pub fn record_failure(&mut self, endpoint: &EndpointId, listed: usize, now: Instant) -> bool {
        self.failed.insert(endpoint.clone());
        let is_proven = |it: Instant| now.saturating_duration_since(it) < SOUND_TIME;
        let is_unverified = self.failed.len() >= FAILED_ENDPOINTS.min(listed)
            && !self.sound_at.is_some_and(is_proven);
        if self.state == LinkState::Sound && is_unverified {
            self.state = LinkState::Unverified;
            return true;
        }
        false
    }

    /// Records that a request has waited longer than usual while no endpoint answers
    pub fn record_overdue(&mut self) {
        self.is_overdue = true;
    }

    /// Result of a check that was not answered in time
    pub fn silent_result(&self, is_full: bool) -> CheckResult {
        if is_full && !self.is_overdue { CheckResult::Full } else { CheckResult::Silent }
    }

    /// Records an answer of an endpoint to a request
    pub fn record_answer(&mut self, is_new_connection: bool, now: Instant) {
        self.last_answer_at = Some(now);
        self.is_overdue = false;
        if is_new_connection {
            self.failed.clear();
            self.sound_at = Some(now);
            self.state = LinkState::Sound;
        }
    }

    /// Whether an endpoint has answered lately, on any connection
    pub fn has_answer(&self, now: Instant) -> bool {
        let is_recent = |it: Instant| now.saturating_duration_since(it) < ANSWER_TIME;
        self.last_answer_at.is_some_and(is_recent)
    }

    /// Time for which a request that was sent at a moment has seen no answer, to itself or to another one
    pub fn silence(&self, sent_at: Instant, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_answer_at.map_or(sent_at, |it| it.max(sent_at)))
    }

    /// Decides on the link by the results of a check; returns the new state
    pub fn decide(&mut self, results: &[CheckResult], now: Instant) -> LinkState {
        let has_answered = results.contains(&CheckResult::Answered);
        let is_silent = results.contains(&CheckResult::Silent);
        let is_full = results.contains(&CheckResult::Full) || is_silent && self.has_answer(now);
        self.state = match self.state {
            _ if has_answered || results.is_empty() => LinkState::Sound,
            LinkState::Cut => LinkState::Cut,
            _ if is_full => LinkState::Sound,
            _ => LinkState::Cut,
        };
        if self.state == LinkState::Sound {
            self.failed.clear();
            self.sound_at = Some(now);
            self.is_overdue &= !has_answered;
        }
        self.state
    }
}
