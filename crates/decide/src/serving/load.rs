//! Work in flight at the endpoints, over all instances.
//!
//! An instance counts its own work exactly. It receives the others' work with a delay,
//! either from each of them or as a sum from the leader of its zone. The latest message of
//! a sender counts until no message has arrived from it for `PEER_TIMEOUT`.

use super::held_count::HeldCount;
use super::leader::MAX_FULL_MESH_INSTANCES;
use super::rate_limit::{FleetDemand, OwnDemand};
use catalogue::id::{EndpointId, InstanceId};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time without a message after which an instance's work no longer counts.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of instances that one which has not read the list assumes; the design size.
const ASSUMED_INSTANCES: usize = 400;
/// Time without a leader's sum after which the reports of members replace it.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// Work in flight at one endpoint
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCount {
    /// Requests in flight
    pub requests: u32,
    /// Prompt tokens that the endpoint has yet to read
    pub unread_tokens: u64,
    /// Demand at an endpoint that has named a limit, in thousandths of a request a second
    pub demand: u32,
    /// Requests sent to such an endpoint within the window of the limit
    pub sent: u32,
}

impl WorkCount {
    fn add(self, other: WorkCount) -> WorkCount {
        WorkCount {
            requests: self.requests.saturating_add(other.requests),
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
            demand: self.demand.saturating_add(other.demand),
            sent: self.sent.saturating_add(other.sent),
        }
    }
}

/// Work by endpoint.
pub type EndpointWork = IndexMap<EndpointId, WorkCount>;

#[derive(Debug, Clone)]
struct PeerLoad {
    received_at: Instant,
    work: EndpointWork,
}

/// Work of this instance and of its peers, by endpoint
#[derive(Debug, Clone, Default)]
pub struct FleetLoad {
    own: IndexMap<EndpointId, WorkCount>,
    peers: IndexMap<InstanceId, PeerLoad>,
    /// Sum over all other instances, as the leader of the zone reported it
    others: Option<PeerLoad>,
    instances: HeldCount,
    has_list: bool,
    /// Number of instances by the own list
    own_listed: Option<usize>,
}

impl FleetLoad {
    /// Records a request that is sent to an endpoint
    pub fn record_sent(&mut self, endpoint: &EndpointId, unread_tokens: u64) {
        let count = self.own.entry(endpoint.clone()).or_default();
        count.requests += 1;
        count.unread_tokens += unread_tokens;
    }

    /// Replaces this instance's demand at the endpoints that have named a limit
    pub fn record_demands(&mut self, demands: &[(EndpointId, OwnDemand)]) {
        self.own.values_mut().for_each(|it| *it = WorkCount { demand: 0, sent: 0, ..*it });
        for (endpoint, OwnDemand { rate, sent }) in demands {
            // Coarse steps, so that small changes cause no message.
            let demand = (rate * 10.0).round() as u32 * 100;
            let count = self.own.entry(endpoint.clone()).or_default();
            *count = WorkCount { demand, sent: *sent, ..*count };
        }
        self.own.retain(|_, it| *it != WorkCount::default());
    }

    /// Demand at an endpoint as all instances know it
    pub fn fleet_demand(&self, endpoint: &EndpointId) -> FleetDemand {
        let rate = |demand: u32| f64::from(demand) / 1000.0;
        let own = self.own_at(endpoint);
        let total = self.total_at(endpoint);
        FleetDemand {
            own: rate(own.demand),
            others: rate(total.demand.saturating_sub(own.demand)),
            others_sent: total.sent.saturating_sub(own.sent),
            instances: self.listed_instances().unwrap_or(ASSUMED_INSTANCES),
            is_known: self.hears_others(),
        }
    }

    /// Whether the others' work is known: by the messages of most instances, or through a leader
    pub fn hears_others(&self) -> bool {
        let has_leaders = self.max_instances() > MAX_FULL_MESH_INSTANCES;
        let hears_leaders = has_leaders && (self.others.is_some() || !self.peers.is_empty());
        self.has_list && (hears_leaders || 2 * self.instance_count() > self.max_instances())
    }

    /// Records that the endpoint has read the prompt of a request
    pub fn record_read(&mut self, endpoint: &EndpointId, unread_tokens: u64) {
        if let Some(count) = self.own.get_mut(endpoint) {
            count.unread_tokens = count.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Records that a request at the endpoint has ended
    pub fn record_ended(&mut self, endpoint: &EndpointId) {
        if let Some(count) = self.own.get_mut(endpoint) {
            count.requests = count.requests.saturating_sub(1);
            if *count == WorkCount::default() {
                self.own.swap_remove(endpoint);
            }
        }
    }

    /// Replaces the work of another instance with what it reported
    pub fn apply_report(&mut self, instance: InstanceId, work: EndpointWork, now: Instant) {
        self.peers.insert(instance, PeerLoad { received_at: now, work });
        // Without a leader, this instance has become one itself.
        self.others = self
            .others
            .take()
            .filter(|it| now.saturating_duration_since(it.received_at) < LEADER_TIMEOUT);
        self.instances.raise(self.instance_count());
    }

    /// Replaces the work of all other instances with the sum that the leader reported
    pub fn apply_leader_report(&mut self, work: EndpointWork, now: Instant) {
        self.others = Some(PeerLoad { received_at: now, work });
    }

    /// Work of all instances but `member`, for this leader to send to it
    pub fn total_without(&self, member: &InstanceId) -> EndpointWork {
        self.total_with(|id| id != member)
    }

    /// Work of this instance and of the others that `is_included` selects
    pub fn total_with(&self, is_included: impl Fn(&InstanceId) -> bool) -> EndpointWork {
        let mut sum = self.own.clone();
        let included = self.peers.iter().filter(|(id, _)| is_included(id));
        for (endpoint, count) in included.flat_map(|(_, it)| &it.work) {
            let total = sum.entry(endpoint.clone()).or_default();
            *total = total.add(*count);
        }
        sum
    }

    /// Age of the oldest message that still counts; zero if there is none
    pub fn age(&self, now: Instant) -> Duration {
        let age = |it: &PeerLoad| now.saturating_duration_since(it.received_at);
        match &self.others {
            Some(others) => age(others),
            None => self.peers.values().map(age).max().unwrap_or_default(),
        }
    }

    /// Number of instances, this one included; `None` until it is known
    pub fn listed_instances(&self) -> Option<usize> {
        self.has_list.then(|| self.max_instances())
    }

    /// Whether this instance has read the list
    pub fn is_list_read(&self) -> bool {
        self.own_listed.is_some()
    }

    /// Number of instances that is reported to others, this one included; `None` until it is known
    pub fn reported_instances(&self) -> Option<usize> {
        self.own_listed.or_else(|| self.listed_instances())
    }

    /// Records the number of instances that this one knows after it has read the list, itself included
    pub fn record_listed(&mut self, instances: usize, now: Instant) {
        self.own_listed = Some(instances);
        self.record_reported(instances, now);
    }

    /// Records the number of instances that another one has reported
    pub fn record_reported(&mut self, instances: usize, now: Instant) {
        self.instances.record(instances, now);
        self.has_list = true;
    }

    /// Drops the work of instances whose last message is too old
    pub fn expire(&mut self, now: Instant) {
        let is_recent =
            |it: &PeerLoad| now.saturating_duration_since(it.received_at) < PEER_TIMEOUT;
        self.peers.retain(|_, it| is_recent(it));
        self.others = self.others.take().filter(is_recent);
    }

    /// Number of instances with recent messages, this one included
    pub fn instance_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Largest number of instances known lately; an isolated instance must not count the others as gone
    pub fn max_instances(&self) -> usize {
        self.instances.get().max(1)
    }

    /// Work of this instance
    pub fn own(&self) -> &IndexMap<EndpointId, WorkCount> {
        &self.own
    }

    /// Work of this instance at an endpoint
    pub fn own_at(&self, endpoint: &EndpointId) -> WorkCount {
        self.own.get(endpoint).copied().unwrap_or_default()
    }

    /// Work of all instances at an endpoint
    pub fn total_at(&self, endpoint: &EndpointId) -> WorkCount {
        if let Some(others) = &self.others {
            let others = others.work.get(endpoint).copied().unwrap_or_default();
            return self.own_at(endpoint).add(others);
        }
        self.peers
            .values()
            .filter_map(|it| it.work.get(endpoint))
            .fold(self.own_at(endpoint), |sum, it| sum.add(*it))
    }
}
