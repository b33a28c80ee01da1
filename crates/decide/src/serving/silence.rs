//! Requests whose end at an endpoint was not seen.
//!
//! An endpoint that crashes with its machine closes no connection, so a request that runs
//! there times out, as it does at one that is only slow. A request that its client abandons
//! has no connection any more, though the endpoint may still crash on it. A connection that
//! breaks off while no endpoint answers may be a fault of the link. The list tells: an
//! endpoint that has ended without draining leaves it, or comes back as a new incarnation.

use super::endpoint_list::IncarnationStart;
use super::endpoint_list::{EndpointList, ListedEndpoint};
use super::prompt::PartKey;
use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after a timeout within which the list shows that the endpoint has ended; the platform removes it
/// after three heartbeats of silence.
const MAX_LIST_DELAY: Duration = Duration::from_secs(10);
/// Time after which a sign of life shows that an endpoint has survived an abandoned request.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of requests that are remembered; the oldest are dropped.
const MAX_REQUESTS: usize = 200;

/// Why the end of a request was not seen
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The endpoint didn't answer in time
    TimedOut,
    /// The client left
    Abandoned,
    /// The connection broke off while this instance seemed to be cut from all endpoints
    Cut,
}

/// Request whose end at an incarnation of an endpoint was not seen
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentRequest {
    pub cause: SilenceCause,
    pub fingerprint: Fingerprint,
    /// Shared parts of its prompt, if an engine was to answer and had not begun
    pub parts: Vec<PartKey>,
    /// Whether many requests look the same, see `crash_table`
    pub is_common: bool,
    pub endpoint: EndpointId,
    pub started_at_ms: IncarnationStart,
    pub at: Instant,
}

/// Recent requests whose end was not seen
#[derive(Debug, Clone, Default)]
pub struct SilentRequests {
    requests: VecDeque<SilentRequest>,
}

impl SilentRequests {
    /// Records a request
    pub fn push(&mut self, request: SilentRequest) {
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
    }

    /// Removes and returns the requests whose endpoint lives, since the same incarnation accepts a connection or answers
    pub fn take_alive(&mut self, endpoint: &ListedEndpoint, now: Instant) -> Vec<SilentRequest> {
        let has_survived = |it: &SilentRequest| {
            it.cause == SilenceCause::TimedOut
                || now.saturating_duration_since(it.at) > MAX_CRASH_DELAY
        };
        let is_alive = |it: &SilentRequest| {
            it.endpoint == endpoint.id
                && it.started_at_ms == endpoint.started_at_ms
                && has_survived(it)
        };
        let (alive, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(is_alive);
        self.requests = others;
        Vec::from(alive)
    }

    /// Removes and returns the requests whose endpoint has ended, since nothing listens at its address
    pub fn take_ended(&mut self, endpoint: &ListedEndpoint, now: Instant) -> Vec<SilentRequest> {
        let is_ended = |it: &SilentRequest| {
            it.endpoint == endpoint.id
                && it.started_at_ms == endpoint.started_at_ms
                && now.saturating_duration_since(it.at) <= MAX_LIST_DELAY
        };
        let (ended, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(is_ended);
        self.requests = others;
        Vec::from(ended)
    }

    /// Whether no request is remembered
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes and returns the requests whose endpoints have crashed, as the list shows now
    pub fn take_crashed(&mut self, list: &EndpointList, now: Instant) -> Vec<SilentRequest> {
        let mut crashed = Vec::new();
        self.requests.retain(|it| {
            if now.saturating_duration_since(it.at) > MAX_LIST_DELAY {
                return false;
            }
            match list.get(&it.endpoint) {
                Some(listed) if listed.started_at_ms > it.started_at_ms => {}
                // A draining endpoint may end at any time.
                Some(listed) => return listed.is_ready,
                None => {}
            }
            crashed.push(it.clone());
            false
        });
        crashed
    }
}
