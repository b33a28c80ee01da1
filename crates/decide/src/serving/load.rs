//! Work in flight at the endpoints, from all instances.
//!
//! An instance knows its own work exactly and hears of the others' work a moment
//! late: from each of them, or summed up by the lead of its zone. What was said last
//! counts until its sender has been silent for a while.

use catalogue::id::{EndpointId, InstanceId};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time after which a silent instance's work no longer counts.
pub const PEER_SILENCE: Duration = Duration::from_secs(2);

/// Work of one kind at one endpoint
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCount {
    /// Requests in flight
    pub requests: u32,
    /// Prompt tokens of those that have not answered yet
    pub unread_tokens: u64,
}

impl WorkCount {
    fn plus(self, other: WorkCount) -> WorkCount {
        WorkCount {
            requests: self.requests + other.requests,
            unread_tokens: self.unread_tokens + other.unread_tokens,
        }
    }
}

/// Work by endpoint.
pub type EndpointWork = IndexMap<EndpointId, WorkCount>;

#[derive(Debug, Clone)]
struct PeerLoad {
    heard_at: Instant,
    work: EndpointWork,
}

/// Work by endpoint
#[derive(Debug, Clone, Default)]
pub struct FleetLoad {
    own: IndexMap<EndpointId, WorkCount>,
    peers: IndexMap<InstanceId, PeerLoad>,
    rest: Option<PeerLoad>,
    most_instances: usize,
}

impl FleetLoad {
    /// Notes a request that is sent now
    pub fn sent(&mut self, endpoint: &EndpointId, unread_tokens: u64) {
        let count = self.own.entry(endpoint.clone()).or_default();
        count.requests += 1;
        count.unread_tokens += unread_tokens;
    }

    /// Notes that the endpoint has read the prompt of a request
    pub fn read(&mut self, endpoint: &EndpointId, unread_tokens: u64) {
        if let Some(count) = self.own.get_mut(endpoint) {
            count.unread_tokens = count.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Notes that a request has left the endpoint
    pub fn ended(&mut self, endpoint: &EndpointId) {
        if let Some(count) = self.own.get_mut(endpoint) {
            count.requests = count.requests.saturating_sub(1);
            if *count == WorkCount::default() {
                self.own.swap_remove(endpoint);
            }
        }
    }

    /// Takes in what another instance says of its work
    pub fn heard(&mut self, instance: InstanceId, work: EndpointWork, now: Instant) {
        self.peers.insert(instance, PeerLoad { heard_at: now, work });
        self.most_instances = self.most_instances.max(self.instances());
    }

    /// Takes in the work of all other instances, as a lead sums it up
    pub fn heard_rest(&mut self, work: EndpointWork, now: Instant) {
        self.rest = Some(PeerLoad { heard_at: now, work });
    }

    /// Work that a member of this lead doesn't know: all but its own
    pub fn rest_for(&self, member: &InstanceId) -> EndpointWork {
        self.sum_with(|id| id != member)
    }

    /// Work of this instance and of some others together
    pub fn sum_with(&self, is_included: impl Fn(&InstanceId) -> bool) -> EndpointWork {
        let mut sum = self.own.clone();
        let included = self.peers.iter().filter(|(id, _)| is_included(id));
        for (endpoint, count) in included.flat_map(|(_, it)| &it.work) {
            let total = sum.entry(endpoint.clone()).or_default();
            *total = total.plus(*count);
        }
        sum
    }

    /// Age of the oldest message that counts; zero if none does
    pub fn age(&self, now: Instant) -> Duration {
        let age = |it: &PeerLoad| now.saturating_duration_since(it.heard_at);
        match &self.rest {
            Some(rest) => age(rest),
            None => self.peers.values().map(age).max().unwrap_or_default(),
        }
    }

    /// Notes how many instances are listed, this one included
    pub fn listed(&mut self, instances: usize) {
        self.most_instances = self.most_instances.max(instances);
    }

    /// Drops instances that have been silent
    pub fn expire(&mut self, now: Instant) {
        let is_heard = |it: &PeerLoad| now.saturating_duration_since(it.heard_at) < PEER_SILENCE;
        self.peers.retain(|_, it| is_heard(it));
        self.rest = self.rest.take().filter(is_heard);
    }

    /// Instances heard of lately, this one included
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// Most instances ever heard of or listed; one that is cut off doesn't take the others for gone
    pub fn most_instances(&self) -> usize {
        self.most_instances.max(1)
    }

    /// This instance's work
    pub fn own(&self) -> &IndexMap<EndpointId, WorkCount> {
        &self.own
    }

    /// This instance's work at an endpoint
    pub fn own_at(&self, endpoint: &EndpointId) -> WorkCount {
        self.own.get(endpoint).copied().unwrap_or_default()
    }

    /// All instances' work at an endpoint
    pub fn total_at(&self, endpoint: &EndpointId) -> WorkCount {
        if let Some(rest) = &self.rest {
            let rest = rest.work.get(endpoint).copied().unwrap_or_default();
            return self.own_at(endpoint).plus(rest);
        }
        self.peers
            .values()
            .filter_map(|it| it.work.get(endpoint))
            .fold(self.own_at(endpoint), |sum, it| sum.plus(*it))
    }
}
