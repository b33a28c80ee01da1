//! Leader of each availability zone, which aggregates the work of the zone's instances.
//!
//! A small group of instances forms a full mesh: each sends its state to all others. In a
//! larger group, each instance sends its state to the leader of its zone, and the leaders
//! exchange the sums. The instance with the most processor power is the leader; the lowest id breaks
//! ties. A leader that doesn't answer is skipped until it is heard from again. Instances may disagree
//! about the leader for a moment: an instance acts as leader for every instance that sends to it.
//!
//! Absent instances don't count for the size of the group and get no messages, but are asked whether they
//! answer. An instance stays in the table as long as it is listed or answers.

use super::contact::{ABSENCE_TIME, InstanceContact};
use catalogue::id::{InstanceId, ZoneName};
use indexmap::{IndexMap, IndexSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum number of instances in a full mesh; in a larger one, the cost of the messages exceeds
/// the benefit of fresher state.
pub const MAX_FULL_MESH_INSTANCES: usize = 12;
/// Maximum number of instances that are asked at once because they don't answer, or another of their zone doesn't.
const MAX_ASKED: usize = 8;

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

/// This instance among the others
#[derive(Debug, Clone, Copy)]
pub struct OwnPlace<'a> {
    pub id: &'a InstanceId,
    pub zone: &'a ZoneName,
    pub power: u32,
}

#[derive(Debug, Clone)]
struct KnownInstance {
    instance: PeerInstance,
    is_listed: bool,
    contact: InstanceContact,
}

/// Known instances, and which of them answer
#[derive(Debug, Clone, Default)]
pub struct InstanceTable {
    instances: IndexMap<InstanceId, KnownInstance>,
    heard_at: Option<Instant>,
}

impl InstanceTable {
    /// Adds or replaces an instance that has sent a message; `true` if it was not known
    pub fn insert(&mut self, id: InstanceId, instance: PeerInstance) -> bool {
        match self.instances.get_mut(&id) {
            Some(known) => known.instance = instance,
            None => {
                let contact = InstanceContact::default();
                let known = KnownInstance { instance, is_listed: false, contact };
                self.instances.insert(id, known);
                return true;
            }
        }
        false
    }

    /// Replaces the list; instances that aren't listed any more stay as long as they answer
    pub fn apply_list(&mut self, listed: IndexMap<InstanceId, PeerInstance>, now: Instant) {
        self.instances.values_mut().for_each(|it| it.is_listed = false);
        for (id, instance) in listed {
            let is_moved = self.address(&id) != Some(instance.address);
            self.insert(id.clone(), instance);
            if let Some(known) = self.instances.get_mut(&id) {
                known.is_listed = true;
                if is_moved {
                    known.contact = InstanceContact::default();
                    known.contact.expect_answer(now);
                }
            }
        }
        let unlisted = self.instances.values_mut().filter(|it| !it.is_listed);
        unlisted
            .filter(|it| !it.contact.is_heard(now))
            .for_each(|it| it.contact.expect_answer(now));
    }

    /// Records that the entry of an instance was removed from the list
    pub fn record_unlisted(&mut self, id: &InstanceId) {
        if let Some(known) = self.instances.get_mut(id) {
            known.is_listed = false;
        }
    }

    /// Removes the instances that are neither listed nor answer, and returns their ids
    pub fn remove_unlisted(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_over = |it: &KnownInstance| !it.is_listed && it.contact.is_absent(now);
        let over = self.instances.iter().filter(|it| is_over(it.1));
        let over = over.map(|it| it.0.clone()).collect::<Vec<_>>();
        self.instances.retain(|_, it| !is_over(it));
        over
    }

    /// Number of other instances
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no other instance is known
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// All other instances, also absent ones
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerInstance)> {
        self.instances.iter().map(|(id, it)| (id, &it.instance))
    }

    /// Other instances that aren't absent
    pub fn present(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &PeerInstance)> {
        let present = self.instances.iter().filter(move |it| !it.1.contact.is_absent(now));
        present.map(|(id, it)| (id, &it.instance))
    }

    /// Address of an instance
    pub fn address(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.instances.get(id).map(|it| it.instance.address)
    }

    /// Whether the instances that aren't absent form a full mesh
    pub fn is_full_mesh(&self, now: Instant) -> bool {
        let counted = self.present(now).take(MAX_FULL_MESH_INSTANCES);
        counted.count() < MAX_FULL_MESH_INSTANCES
    }

    /// Records a message sent to an instance, which must answer
    pub fn record_sent(&mut self, id: &InstanceId, now: Instant) {
        if let Some(known) = self.instances.get_mut(id) {
            known.contact.record_sent(now);
        }
    }

    /// Records a message received from an instance; `true` if it ends a time in which none was heard
    pub fn record_received(&mut self, id: &InstanceId, now: Instant) -> bool {
        if let Some(known) = self.instances.get_mut(id) {
            known.contact.record_received(now);
        }
        let before = self.heard_at.replace(now);
        before.is_some_and(|it| now.saturating_duration_since(it) > ABSENCE_TIME)
    }

    /// Instances that are asked now whether they answer: those that don't, those of a zone in which one has just
    /// stopped answering, and the one that was heard from the longest ago
    pub fn take_asked(&mut self, now: Instant) -> Vec<SocketAddr> {
        let has_stopped = |it: &InstanceContact| !it.is_answering(now) && !it.is_absent(now);
        let stopped = self.instances.values().filter(|it| has_stopped(&it.contact));
        let silent_zones = stopped.map(|it| it.instance.zone.clone()).collect::<IndexSet<_>>();
        let is_due = |it: &KnownInstance| {
            it.contact.is_ask_due(silent_zones.contains(&it.instance.zone), now)
        };
        let due = self.instances.iter().filter(|it| is_due(it.1));
        let mut due = due
            .map(|(id, it)| (it.contact.last_at(), rank(id, it.instance.power), id.clone()))
            .collect::<Vec<_>>();
        due.sort();
        let mut asked = due.into_iter().take(MAX_ASKED).map(|it| it.2).collect::<IndexSet<_>>();
        let silent = self.instances.iter().filter(|it| {
            let last_at = it.1.contact.last_at();
            last_at.is_none_or(|it| now.saturating_duration_since(it) > ABSENCE_TIME)
        });
        asked.extend(silent.min_by_key(|it| it.1.contact.last_at()).map(|it| it.0.clone()));
        asked.iter().for_each(|id| self.record_sent(id, now));
        asked.iter().filter_map(|id| self.address(id)).collect()
    }

    /// Listed instances whose entries this one removes, since they are gone
    ///
    /// The leader of a zone removes its entries. One that hears few others is probably cut off itself, so it removes
    /// one more than it hears.
    pub fn gone(&self, own: OwnPlace<'_>, now: Instant) -> Vec<InstanceId> {
        let rank = Some((own.id, own.power));
        let leads_zone = self.leader(own.zone, rank, now).is_none();
        let leads_all = self.overall_leader((own.id, own.power), now).is_none();
        let is_own = |zone: &ZoneName| match zone == own.zone {
            true => leads_zone,
            false => leads_all && self.leader(zone, None, now).is_none(),
        };
        let heard = self.instances.values().filter(|it| it.contact.is_heard(now)).count();
        let gone = self.instances.iter().filter(|(_, it)| it.is_listed && it.contact.is_gone(now));
        let own = gone.filter(|(_, it)| is_own(&it.instance.zone)).map(|(id, _)| id.clone());
        own.take(heard + 1).collect()
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
        let candidates = self
            .instances
            .iter()
            .filter(|(_, it)| is_candidate(&it.instance) && it.contact.is_answering(now))
            .map(|(id, it)| (id, &it.instance));
        let best = candidates.min_by_key(|(id, it)| rank(id, it.power))?;
        match own {
            Some((id, power)) if rank(id, power) < rank(best.0, best.1.power) => None,
            _ => Some(best),
        }
    }

    /// Other instances that answer by rank, the highest-ranked first
    pub fn ranked(&self, now: Instant) -> Vec<(&InstanceId, &PeerInstance)> {
        let answering = self.instances.iter().filter(|it| it.1.contact.is_answering(now));
        let mut instances = answering.map(|(id, it)| (id, &it.instance)).collect::<Vec<_>>();
        instances.sort_by_key(|(id, it)| rank(id, it.power));
        instances
    }

    /// Zones of the other instances
    pub fn zones(&self) -> Vec<ZoneName> {
        let zones = self.instances.values().map(|it| it.instance.zone.clone());
        zones.collect::<IndexSet<_>>().into_iter().collect()
    }
}

/// Sort key: most processor power first, then by id
fn rank(id: &InstanceId, power: u32) -> (u32, &InstanceId) {
    (u32::MAX - power, id)
}
