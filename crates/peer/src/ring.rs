//! Selects the instances that an instance sends heartbeats to.
//!
//! The instances form a ring ordered by the hashes of their ids, so neighbours are spread
//! over zones. Each sends to those at distances 1, 2, 4, 8 and so on. The number of
//! targets grows with the logarithm of the number of instances, each instance receives
//! heartbeats from as many others, and an update reaches all in as many rounds.

use catalogue::id::InstanceId;
use twox_hash::XxHash3_64;

/// Targets of `me` among the other instances, nearest first.
pub fn targets(me: &InstanceId, others: impl Iterator<Item = InstanceId>) -> Vec<InstanceId> {
    let mut ring: Vec<_> = others.filter(|it| it != me).collect();
    ring.push(me.clone());
    ring.sort_by_cached_key(|it| (XxHash3_64::oneshot(it.as_bytes()), it.clone()));
    let index = ring.iter().position(|it| it == me).unwrap_or_default();
    let distances = std::iter::successors(Some(1), |it| Some(it * 2));
    distances
        .take_while(|it| *it < ring.len())
        .map(|it| ring[(index + it) % ring.len()].clone())
        .collect()
}
