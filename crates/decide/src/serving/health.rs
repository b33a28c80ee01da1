//! Outlier ejection: endpoints that receive no requests for a time after failures.
//!
//! An endpoint that is unreachable, or that fails a large fraction of its requests, is
//! paused; each further pause without an answer in between is twice as long. An endpoint
//! that broke off a request is unreliable for all instances until it answers again:
//! once-only requests avoid it, and retryable requests probe it. An endpoint whose address
//! is answered by another endpoint is gone until the list shows a new incarnation. A new
//! incarnation starts without failures.

use super::endpoint_list::IncarnationStart;
use super::endpoint_list::ListedEndpoint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Pause after the first failure; a crashed engine restarts within some seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause; bounds the cost of pausing a healthy endpoint.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure fraction at which an endpoint is paused; lookups already fail at a rate of 0.14 on every endpoint.
const MAX_FAILURE_FRACTION: f64 = 0.45;
/// Time for which an endpoint stays unreliable; within a second, lookups reach each of five endpoints.
const UNRELIABLE_DURATION: Duration = Duration::from_secs(3);
/// Fraction of a pool that may be excluded for failures; the rest must carry the load.
const MAX_EXCLUDED_FRACTION: f64 = 0.34;

/// Result of a send
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The endpoint answered without an error
    Answered,
    /// The endpoint answered with an error
    Failed,
    /// The connection broke off, or the answer timed out
    Broken,
    /// No connection, or no answer at all
    Unreachable,
    /// Another endpoint answered at the address
    Misdirected,
}

#[derive(Debug, Clone, Copy, Default)]
struct HealthRecord {
    /// Incarnation that the results are of; 0 until one is known
    started_at_ms: IncarnationStart,
    failure_fraction: f64,
    consecutive_pauses: u32,
    paused_until: Option<Instant>,
    gone_incarnation: Option<u64>,
    unreliable_until: Option<Instant>,
}

/// Change of an endpoint's reliability, sent to the other instances
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum HealthUpdate {
    /// The endpoint broke off a request or was unreachable
    Unreliable,
    /// The endpoint was unreliable and has answered
    Reliable,
}

/// Effect of a recorded result
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthChange {
    /// Whether the result paused the endpoint or marked it as gone
    pub is_paused: bool,
    /// Update to send to the other instances
    pub update: Option<HealthUpdate>,
    /// Whether the update changed the state of this instance
    pub has_changed: bool,
}

/// Health of endpoints as one instance tracks it
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    records: IndexMap<EndpointId, HealthRecord>,
}

impl EndpointHealth {
    /// Records the result of a send
    pub fn record_result(
        &mut self,
        endpoint: &ListedEndpoint,
        result: SendResult,
        now: Instant,
    ) -> HealthChange {
        if !self.adopt_incarnation(endpoint) {
            return HealthChange { is_paused: false, update: None, has_changed: false };
        }
        let is_unreliable = self.is_unreliable(endpoint, now);
        let update = match result {
            SendResult::Answered if is_unreliable => Some(HealthUpdate::Reliable),
            SendResult::Broken | SendResult::Unreachable => Some(HealthUpdate::Unreliable),
            _ => None,
        };
        let has_changed = update.is_some_and(|it| self.apply_update(&endpoint.id, it, now));
        HealthChange { is_paused: self.update_pause(endpoint, result, now), update, has_changed }
    }

    /// Applies an update of an instance; `true` if it changed the state
    pub fn apply_update(
        &mut self,
        endpoint: &EndpointId,
        update: HealthUpdate,
        now: Instant,
    ) -> bool {
        let record = self.records.entry(endpoint.clone()).or_default();
        let was_unreliable = record.unreliable_until.is_some_and(|it| now < it);
        record.unreliable_until = match update {
            HealthUpdate::Unreliable => Some(now + UNRELIABLE_DURATION),
            HealthUpdate::Reliable => None,
        };
        was_unreliable != (update == HealthUpdate::Unreliable)
    }

    /// Forgets the results of an earlier incarnation; `false` if a later one is known
    fn adopt_incarnation(&mut self, endpoint: &ListedEndpoint) -> bool {
        let started_at_ms = endpoint.started_at_ms;
        let record = self.records.entry(endpoint.id.clone()).or_default();
        if (1..started_at_ms).contains(&record.started_at_ms) {
            *record = HealthRecord::default();
        }
        record.started_at_ms = record.started_at_ms.max(started_at_ms);
        record.started_at_ms == started_at_ms
    }

    fn update_pause(
        &mut self,
        endpoint: &ListedEndpoint,
        result: SendResult,
        now: Instant,
    ) -> bool {
        let record = self.records.entry(endpoint.id.clone()).or_default();
        let outcome = if result == SendResult::Answered { 0.0 } else { 1.0 };
        record.failure_fraction += OUTCOME_WEIGHT * (outcome - record.failure_fraction);
        match result {
            SendResult::Answered => {
                record.consecutive_pauses = 0;
                record.paused_until = None;
                false
            }
            SendResult::Failed | SendResult::Broken
                if record.failure_fraction < MAX_FAILURE_FRACTION =>
            {
                false
            }
            SendResult::Failed | SendResult::Broken | SendResult::Unreachable => {
                let pause = FIRST_PAUSE * (1 << record.consecutive_pauses.min(4));
                record.consecutive_pauses += 1;
                record.paused_until = Some(now + pause.min(MAX_PAUSE));
                true
            }
            SendResult::Misdirected => {
                record.gone_incarnation = Some(endpoint.started_at_ms);
                true
            }
        }
    }

    /// Endpoints that are not gone, without the paused ones unless too many are paused
    pub fn usable(&self, endpoints: Vec<ListedEndpoint>, now: Instant) -> Vec<ListedEndpoint> {
        let present = endpoints.into_iter().filter(|it| !self.is_gone(it)).collect::<Vec<_>>();
        exclude(present, |it| self.is_paused(it, now))
    }

    /// Whether the endpoint's incarnation may be there, paused or not
    pub fn is_present(&self, endpoint: &ListedEndpoint) -> bool {
        !self.is_gone(endpoint)
    }

    /// Whether nothing speaks against the endpoint: it is neither gone, paused nor unreliable
    pub fn is_sound(&self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let is_failing = self.is_paused(endpoint, now) || self.is_unreliable(endpoint, now);
        !is_failing && !self.is_gone(endpoint)
    }

    /// Endpoints for a once-only request: without the unreliable ones unless too many are unreliable
    pub fn reliable(&self, usable: Vec<ListedEndpoint>, now: Instant) -> Vec<ListedEndpoint> {
        exclude(usable, |it| self.is_unreliable(it, now))
    }

    /// Drops the records of endpoints that are no longer listed
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }

    /// Ends all pauses, since the failures were those of this instance's link
    pub fn clear_pauses(&mut self) {
        for record in self.records.values_mut() {
            record.failure_fraction = 0.0;
            record.consecutive_pauses = 0;
            record.paused_until = None;
            record.unreliable_until = None;
        }
    }

    fn is_gone(&self, endpoint: &ListedEndpoint) -> bool {
        let record = self.records.get(&endpoint.id);
        record.is_some_and(|it| it.gone_incarnation == Some(endpoint.started_at_ms))
    }

    fn is_unreliable(&self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let record = self.records.get(&endpoint.id);
        record.and_then(|it| it.unreliable_until).is_some_and(|it| now < it)
    }

    fn is_paused(&self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let record = self.records.get(&endpoint.id);
        let record = record.filter(|it| it.started_at_ms >= endpoint.started_at_ms);
        record.and_then(|it| it.paused_until).is_some_and(|it| now < it)
    }
}

/// Removes the endpoints that `is_excluded` selects, or none if it selects too many or all
fn exclude(
    endpoints: Vec<ListedEndpoint>,
    is_excluded: impl Fn(&ListedEndpoint) -> bool,
) -> Vec<ListedEndpoint> {
    let excluded = endpoints.iter().filter(|it| is_excluded(it)).count();
    let most = (endpoints.len() as f64 * MAX_EXCLUDED_FRACTION).max(1.0);
    if excluded as f64 > most || excluded == endpoints.len() {
        return endpoints;
    }
    endpoints.into_iter().filter(|it| !is_excluded(it)).collect()
}
