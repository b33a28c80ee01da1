//! Ways to decide the number of engines that are compared.

use decide::serving::engine_orders::{EngineOrder, OrderSubject};
use decide::serving::fleet_inputs::FleetInputs;

/// Way to decide the number of engines
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizePolicy {
    /// The number of the start
    Fixed,
    /// As many preemptible engines as the current use needs
    Reactive,
    /// The gateway's
    Planned,
}

impl SizePolicy {
    pub const ALL: [SizePolicy; 3] = [SizePolicy::Fixed, SizePolicy::Reactive, SizePolicy::Planned];

    /// Name in reports
    pub fn name(self) -> &'static str {
        match self {
            SizePolicy::Fixed => "fixed",
            SizePolicy::Reactive => "reactive",
            SizePolicy::Planned => "planned",
        }
    }
}

/// Orders for what the current use needs at `TARGET_USE`, evenly over the zones
pub fn reactive_orders(inputs: &FleetInputs<'_>) -> Vec<EngineOrder> {
    let needed = inputs.measured().max(1);
    let zones = inputs.zones();
    let each = needed.div_ceil(u32::try_from(zones.len()).unwrap_or(1)).min(inputs.rule.max);
    let orders = zones.into_iter().flat_map(|zone| {
        let subject = |is_preemptible| OrderSubject { zone: zone.clone(), is_preemptible };
        [(subject(true), each), (subject(false), 0)]
    });
    // What the first order of a preemptible engine replaces goes when it has come.
    let has_replacements = inputs.engines.iter().any(|it| it.is_preemptible && it.is_ready);
    let is_allowed = |it: &(OrderSubject, u32)| it.0.is_preemptible || has_replacements;
    orders.filter(is_allowed).map(|(subject, count)| EngineOrder { subject, count }).collect()
}
