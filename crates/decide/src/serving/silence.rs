//! Requests that endpoints went silent on.
//!
//! An endpoint that crashes with its machine closes no connection, so a request that runs
//! there times out, as it does at one that is only slow. The list tells them apart: an
//! endpoint that has ended without draining leaves it, or comes back as a new incarnation.

use super::endpoint_list::{EndpointList, ListedEndpoint};
use super::notice::IncarnationStart;
use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after a timeout within which the list shows that the endpoint has ended; the platform removes it
/// after three heartbeats of silence.
const MAX_LIST_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of timeouts that are remembered; the oldest are dropped.
const MAX_TIMEOUTS: usize = 200;

/// Timeout of a request at an incarnation of an endpoint
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentRequest {
    pub fingerprint: Fingerprint,
    /// Whether many requests look the same, see `crash_table`
    pub is_common: bool,
    pub endpoint: EndpointId,
    pub started_at_ms: IncarnationStart,
    pub at: Instant,
}

/// Recent timeouts
#[derive(Debug, Clone, Default)]
pub struct SilentRequests {
    requests: VecDeque<SilentRequest>,
}

impl SilentRequests {
    /// Records a timeout
    pub fn push(&mut self, request: SilentRequest) {
        if self.requests.len() >= MAX_TIMEOUTS {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
    }

    /// Removes and returns the requests whose endpoint lives, since the same incarnation accepts a connection or answers
    pub fn take_alive(&mut self, endpoint: &ListedEndpoint) -> Vec<SilentRequest> {
        let is_alive = |it: &SilentRequest| {
            it.endpoint == endpoint.id && it.started_at_ms == endpoint.started_at_ms
        };
        let (alive, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(is_alive);
        self.requests = others;
        Vec::from(alive)
    }

    /// Whether no timeout is remembered
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
