//! Leader of each availability zone, which aggregates the work of the zone's instances.
//!
//! A small group of instances forms a full mesh: each sends its state to all others. In a
//! larger group, each instance sends its state to the leader of its zone, and the leaders
//! exchange the sums. The instance with the most processor power is the leader; the lowest id breaks
//! ties. A leader that doesn't answer is skipped for some time. Instances may disagree about
//! the leader for a moment: an instance acts as leader for every instance that sends to it.

use catalogue::id::{InstanceId, ZoneName};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of instances in a full mesh; in a larger one, the cost of the messages exceeds
/// the benefit of fresher state.
pub const MAX_FULL_MESH_INSTANCES: usize = 12;
/// Time without an answer after which a leader is skipped; messages are sent at least every 200 ms.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which an unresponsive leader is skipped.
const SKIP_DURATION: Duration = Duration::from_secs(5);

/// Another instance as the platform lists it
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInstance {
    /// Address for messages from other instances
    pub address: SocketAddr,
    /// Availability zone
    pub zone: ZoneName,
    /// Processor share, in thousandths of a core
    pub power: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct LeaderContact {
    unanswered_since: Option<Instant>,
    skipped_until: Option<Instant>,
}

/// Known instances, and which leaders answer
#[derive(Debug, Clone, Default)]
pub struct InstanceTable {
    instances: IndexMap<InstanceId, PeerInstance>,
    contacts: IndexMap<InstanceId, LeaderContact>,
}

impl InstanceTable {
    /// Adds or replaces an instance; `true` if it was not known
    pub fn insert(&mut self, id: InstanceId, instance: PeerInstance) -> bool {
        self.instances.insert(id, instance).is_none()
    }

    /// Number of other instances
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no other instance is known
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// All other instances
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerInstance)> {
        self.instances.iter()
    }

    /// Whether the instances form a full mesh
    pub fn is_full_mesh(&self) -> bool {
        self.instances.len() < MAX_FULL_MESH_INSTANCES
    }

    /// Records a message sent to a leader, which must answer
    pub fn record_sent(&mut self, leader: &InstanceId, now: Instant) {
        let contact = self.contacts.entry(leader.clone()).or_default();
        let since = *contact.unanswered_since.get_or_insert(now);
        if now.saturating_duration_since(since) > LEADER_TIMEOUT {
            contact.skipped_until = Some(now + SKIP_DURATION);
            contact.unanswered_since = None;
        }
    }

    /// Records a message received from an instance
    pub fn record_received(&mut self, id: &InstanceId) {
        self.contacts.swap_remove(id);
    }

    /// Leader of a zone; `None` if it is this instance or none is known
    pub fn leader(
        &self,
        zone: &ZoneName,
        own: Option<(&InstanceId, u32)>,
        now: Instant,
    ) -> Option<(&InstanceId, &PeerInstance)> {
        self.best(|it| it.zone == *zone, own, now)
    }

    /// Leader of all zones, the highest-ranked instance; `None` if it is this instance or none is known
    pub fn overall_leader(
        &self,
        own: (&InstanceId, u32),
        now: Instant,
    ) -> Option<(&InstanceId, &PeerInstance)> {
        self.best(|_| true, Some(own), now)
    }

    fn best(
        &self,
        is_candidate: impl Fn(&PeerInstance) -> bool,
        own: Option<(&InstanceId, u32)>,
        now: Instant,
    ) -> Option<(&InstanceId, &PeerInstance)> {
        let is_skipped = |id: &InstanceId| {
            let contact = self.contacts.get(id);
            contact.and_then(|it| it.skipped_until).is_some_and(|it| now < it)
        };
        let candidates =
            self.instances.iter().filter(|(id, it)| is_candidate(it) && !is_skipped(id));
        let best = candidates.min_by_key(|(id, it)| rank(id, it.power))?;
        match own {
            Some((id, power)) if rank(id, power) < rank(best.0, best.1.power) => None,
            _ => Some(best),
        }
    }

    /// Other instances by rank, the highest-ranked first
    pub fn ranked(&self) -> Vec<(&InstanceId, &PeerInstance)> {
        let mut instances = self.instances.iter().collect::<Vec<_>>();
        instances.sort_by_key(|(id, it)| rank(id, it.power));
        instances
    }

    /// Zones of the other instances
    pub fn zones(&self) -> Vec<ZoneName> {
        let zones = self.instances.values().map(|it| it.zone.clone());
        zones.collect::<indexmap::IndexSet<_>>().into_iter().collect()
    }
}

/// Sort key: most processor power first, then by id
fn rank(id: &InstanceId, power: u32) -> (u32, &InstanceId) {
    (u32::MAX - power, id)
}
