//! Settings of planning, in milliseconds and counts.

use coordination::lease::LeaseTiming;
use decide::change::ChangeBounds;
use decide::plan::RoleFloors;
use std::time::Duration;

/// Rule by which roles follow the mix
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleRule {
    /// By cost over a horizon
    #[default]
    Cost,
    /// By thresholds, to compare with
    Threshold,
}

/// Section `planner` of the settings
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerSettings {
    /// Whether roles follow the mix; plans that exist are carried out in any case
    pub roles: bool,
    /// Rule by which they do
    pub rule: RoleRule,
    /// Between two steps
    pub tick_ms: u64,
    /// Time over which a change must pay
    pub horizon_ms: u64,
    /// Time that an engine is away to change its role, drain included
    pub away_ms: u64,
    /// Term of the planner's lease
    pub lease_term_ms: u64,
    /// Between two renewals of the lease
    pub lease_renewal_ms: u64,
    /// For every listed instance to confirm a plan
    pub confirm_ms: u64,
    /// For work in flight to end
    pub drain_ms: u64,
    /// For one call of a peer or an engine
    pub call_ms: u64,
    /// Longest time for which a sent order may still take effect
    pub order_lifetime_ms: u64,
    /// Least engines that read prompts
    pub floor_prefill: usize,
    /// Least engines that generate
    pub floor_decode: usize,
    /// Longest time that the weight store may need for a load that is started
    pub store_wait_ms: u64,
}

impl Default for PlannerSettings {
    fn default() -> PlannerSettings {
        PlannerSettings {
            roles: true,
            rule: RoleRule::default(),
            tick_ms: 500,
            horizon_ms: 120_000,
            away_ms: 8_000,
            lease_term_ms: 6_000,
            lease_renewal_ms: 2_000,
            confirm_ms: 5_000,
            drain_ms: 60_000,
            call_ms: 1_000,
            order_lifetime_ms: 10_000,
            floor_prefill: 1,
            floor_decode: 1,
            store_wait_ms: 120_000,
        }
    }
}

impl PlannerSettings {
    /// Between two steps
    pub fn tick(&self) -> Duration {
        Duration::from_millis(self.tick_ms)
    }

    /// Time over which a change must pay
    pub fn horizon(&self) -> Duration {
        Duration::from_millis(self.horizon_ms)
    }

    /// Time that an engine is away
    pub fn away(&self) -> Duration {
        Duration::from_millis(self.away_ms)
    }

    /// For one call of a peer or an engine
    pub fn call(&self) -> Duration {
        Duration::from_millis(self.call_ms)
    }

    /// Longest time for which a sent order may still take effect
    pub fn order_lifetime(&self) -> Duration {
        Duration::from_millis(self.order_lifetime_ms)
    }

    /// Longest time that the weight store may need for a load that is started
    pub fn store_wait(&self) -> Duration {
        Duration::from_millis(self.store_wait_ms)
    }

    /// Times of the planner's lease
    pub fn lease(&self) -> LeaseTiming {
        LeaseTiming {
            term: Duration::from_millis(self.lease_term_ms),
            renewal: Duration::from_millis(self.lease_renewal_ms),
            ..LeaseTiming::default()
        }
    }

    /// Bounds of a change
    pub fn bounds(&self) -> ChangeBounds {
        ChangeBounds {
            confirm: Duration::from_millis(self.confirm_ms),
            drain: Duration::from_millis(self.drain_ms),
        }
    }

    /// Least engines of each role
    pub fn floors(&self) -> RoleFloors {
        RoleFloors { prefill: self.floor_prefill, decode: self.floor_decode }
    }
}
