//! Endpoints that are left alone for a while, by what came of earlier sends.
//!
//! An endpoint that can't be reached, or that fails a large part of its requests, is
//! paused; each further failure in a row doubles the pause. One whose address answers for another
//! endpoint is gone until the list shows a new incarnation.

use super::roster::ListedEndpoint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Pause after the first failure; a crashed engine is back after some seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause; bounds what a wrong verdict costs.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the mean.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Mean part of failed requests from which an endpoint is paused; lookups fail by 0.14 on all of them.
const MAX_FAILED_PART: f64 = 0.45;
/// Part of a pool that may be paused for failures; the rest must carry the load.
const MAX_PAUSED_PART: f64 = 0.34;

/// What came of a send
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// Answered
    Answered,
    /// Answered with an error, or broke off
    Failed,
    /// No connection, or no answer at all
    Unreachable,
    /// Another endpoint answers at its address
    Misdirected,
}

#[derive(Debug, Clone, Copy, Default)]
struct HealthRecord {
    failed_part: f64,
    failures: u32,
    paused_until: Option<Instant>,
    gone_incarnation: Option<u64>,
}

/// Health of endpoints, as one instance has seen it
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    records: IndexMap<EndpointId, HealthRecord>,
}

impl EndpointHealth {
    /// Notes the result of a send; `true` if the endpoint is paused or gone by it
    pub fn note(&mut self, endpoint: &ListedEndpoint, result: SendResult, now: Instant) -> bool {
        let record = self.records.entry(endpoint.id.clone()).or_default();
        let outcome = if result == SendResult::Answered { 0.0 } else { 1.0 };
        record.failed_part += OUTCOME_WEIGHT * (outcome - record.failed_part);
        match result {
            SendResult::Answered => {
                record.failures = 0;
                record.paused_until = None;
                false
            }
            SendResult::Failed if record.failed_part < MAX_FAILED_PART => false,
            SendResult::Failed | SendResult::Unreachable => {
                let pause = FIRST_PAUSE * (1 << record.failures.min(4));
                record.failures += 1;
                record.paused_until = Some(now + pause.min(MAX_PAUSE));
                true
            }
            SendResult::Misdirected => {
                record.gone_incarnation = Some(endpoint.started_at_ms);
                true
            }
        }
    }

    /// Endpoints to use: those that are neither gone nor paused, unless too many are
    pub fn usable(&self, endpoints: Vec<ListedEndpoint>, now: Instant) -> Vec<ListedEndpoint> {
        let present = endpoints.into_iter().filter(|it| !self.is_gone(it)).collect::<Vec<_>>();
        let paused = present.iter().filter(|it| self.is_paused(it, now)).count();
        if paused as f64 > (present.len() as f64 * MAX_PAUSED_PART).max(1.0) {
            return present;
        }
        present.into_iter().filter(|it| !self.is_paused(it, now)).collect()
    }

    /// Forgets endpoints that are no longer listed
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }

    fn is_gone(&self, endpoint: &ListedEndpoint) -> bool {
        let record = self.records.get(&endpoint.id);
        record.is_some_and(|it| it.gone_incarnation == Some(endpoint.started_at_ms))
    }

    fn is_paused(&self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let record = self.records.get(&endpoint.id);
        record.and_then(|it| it.paused_until).is_some_and(|it| now < it)
    }
}
