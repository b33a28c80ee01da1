//! Shapes of a run: its instances, their requests, and what happens beside the stops.

use std::time::Duration;

/// Instances of a run, and what happens beside their stops
#[derive(Debug, Clone, Copy)]
pub struct RunShape {
    /// Availability zone of each instance; further instances take them in turn
    pub zones: &'static [&'static str],
    /// Deadline that clients state for plain requests
    pub plain_deadline: Duration,
    /// Whether endpoints leave, the store is away and the timeouts of streams change
    pub has_planned_work: bool,
}

/// Instances of one zone
pub const ZONE: RunShape = RunShape {
    zones: &["zone-a", "zone-a", "zone-a"],
    plain_deadline: Duration::from_millis(4000),
    has_planned_work: false,
};

/// Instances in four zones
pub const FLEET: RunShape = RunShape {
    zones: &["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-d"],
    plain_deadline: Duration::from_millis(1500),
    has_planned_work: true,
};

impl RunShape {
    /// Zone of an instance, or of a client, by its number
    pub fn zone(&self, number: usize) -> &'static str {
        self.zones[number % self.zones.len()]
    }

    /// Names of the zones
    pub fn zone_names(&self) -> Vec<&'static str> {
        let mut names = self.zones.to_vec();
        names.dedup();
        names
    }
}
