//! Repairs what instances know of requests and endpoints.
//!
//! A new fact is sent once, with the next message. An instance that starts, is cut or loses
//! the message lacks it. Each message therefore carries a digest of all facts that its
//! sender knows. Where the digests of two instances stay different, each sends the other all
//! of its facts; one that knows none has just started and gets them at once.

use super::PeerExchange;
use crate::messages::{FactRepair, MessageBody};
use catalogue::id::InstanceId;
use decide::serving::crash_table::FactDigest;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which digests must differ before a repair; messages in flight make them differ for a moment.
const REPAIR_DELAY: Duration = Duration::from_millis(250);
/// Interval of repairs for one instance.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a message after which an instance gets no more repairs.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while neither digest changes: the last repair had no effect.
const FUTILE_REPAIR_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of repairs that are sent at once.
const MAX_REPAIRS: usize = 4;

/// Digests of this instance and of another one
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestPair {
    pub own: FactDigest,
    pub other: FactDigest,
}

impl DigestPair {
    /// Whether both instances know the same facts
    pub fn is_same(self) -> bool {
        self.own == self.other
    }

    /// Time for which they must differ before a repair; an instance that knows nothing has just started
    fn repair_delay(self) -> Duration {
        if self.other == 0 { Duration::ZERO } else { REPAIR_DELAY }
    }
}

struct PendingRepair {
    address: SocketAddr,
    digests: DigestPair,
    seen_at: Instant,
    due_at: Instant,
    /// Digests at the last repair, and its time
    repaired: Option<(DigestPair, Instant)>,
}

impl PendingRepair {
    fn is_due(&self, now: Instant) -> bool {
        let is_futile = self.repaired.is_some_and(|(digests, at)| {
            digests == self.digests && now < at + FUTILE_REPAIR_INTERVAL
        });
        self.due_at <= now && !is_futile
    }
}

/// Instances whose digests differ from the own one
#[derive(Default)]
pub struct RepairSchedule {
    pending: IndexMap<InstanceId, PendingRepair>,
}

impl RepairSchedule {
    /// Records the digest in a message of an instance
    pub fn observe(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        digests: DigestPair,
        now: Instant,
    ) {
        if digests.is_same() {
            self.pending.swap_remove(instance);
            return;
        }
        let pending = self.pending.entry(instance.clone()).or_insert(PendingRepair {
            address,
            digests,
            seen_at: now,
            due_at: now + digests.repair_delay(),
            repaired: None,
        });
        pending.address = address;
        pending.digests = digests;
        pending.seen_at = now;
    }

    /// Addresses of the instances that get a repair now
    pub fn take_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_silent =
            |it: &PendingRepair| now.saturating_duration_since(it.seen_at) > SILENCE_TIMEOUT;
        self.pending.retain(|_, it| !is_silent(it));
        let due = self.pending.values_mut().filter(|it| it.is_due(now)).take(MAX_REPAIRS);
        let addresses = due.map(|it| {
            it.due_at = now + REPAIR_INTERVAL;
            it.repaired = Some((it.digests, now));
            it.address
        });
        addresses.collect()
    }
}

impl PeerExchange {
    /// Sends all facts to the instances that lack some, or have others
    pub(super) async fn send_repairs(&self, now: Instant) {
        let addresses = self.repairs.borrow_mut().take_due(now);
        if addresses.is_empty() {
            return;
        }
        let leaving = {
            let notices = self.gateway.notices.borrow();
            notices.reports().map(|(id, start)| (id.clone(), start)).collect()
        };
        let repair = FactRepair::new(self.gateway.crashes.borrow().facts(now), leaving);
        let parts = self.gateway.part_suspects.table.borrow().facts(now);
        let part_repair = FactRepair::of_parts(parts);
        for address in addresses {
            log::info!(
                "event=facts_repaired to={address} crashes={} parts={} leaving={}",
                repair.crashes.len(),
                part_repair.part_crashes.len(),
                repair.leaving.len(),
            );
            // Together they may exceed the size of a message.
            self.send(MessageBody::Repair(repair.clone()), address).await;
            if !part_repair.part_crashes.is_empty() {
                self.send(MessageBody::Repair(part_repair.clone()), address).await;
            }
        }
    }
}
