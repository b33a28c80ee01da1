//! Settings of planning, in milliseconds and counts.

use coordination::lease::LeaseTiming;
use decide::change::ChangeTimeouts;
use decide::plan::RoleFloors;
use std::time::Duration;

/// Rule by which the planner adjusts roles to the mix of prompt and output tokens
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleRule {
    /// Expected cost over the horizon
    #[default]
    Cost,
    /// Fixed thresholds, as a baseline for comparison
    Threshold,
}

/// Section `planner` of the settings
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerSettings {
    /// Whether to plan changes of roles; open plans are carried out in any case
    pub roles: bool,
    pub rule: RoleRule,
    /// Interval between two steps
    pub tick_ms: u64,
    /// Time within which a change must recover its cost
    pub horizon_ms: u64,
    /// Expected time that an engine is unavailable for a change of role, drain included
    pub away_ms: u64,
    /// Term of the planner's lease
    pub lease_term_ms: u64,
    /// Interval between two renewals of the lease
    pub lease_renewal_ms: u64,
    /// Timeout for all listed instances to confirm a plan
    pub confirm_ms: u64,
    /// Timeout for work in flight to end
    pub drain_ms: u64,
    /// Timeout of a call to a peer or an engine
    pub call_ms: u64,
    /// Maximum time after which a sent order may still take effect
    pub order_lifetime_ms: u64,
    /// Minimum number of engines that read prompts
    pub floor_prefill: usize,
    /// Minimum number of engines that generate
    pub floor_decode: usize,
    /// A load is started only if the weight store is expected to finish it within this time
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
    /// Interval between two steps
    pub fn tick(&self) -> Duration {
        Duration::from_millis(self.tick_ms)
    }

    /// Time within which a change must recover its cost
    pub fn horizon(&self) -> Duration {
        Duration::from_millis(self.horizon_ms)
    }

    /// Expected time that an engine is unavailable for a change of role
    pub fn unavailable_time(&self) -> Duration {
        Duration::from_millis(self.away_ms)
    }

    /// Timeout of a call to a peer or an engine
    pub fn call(&self) -> Duration {
        Duration::from_millis(self.call_ms)
    }

    /// Maximum time after which a sent order may still take effect
    pub fn order_lifetime(&self) -> Duration {
        Duration::from_millis(self.order_lifetime_ms)
    }

    /// Maximum expected time of a load from the weight store
    pub fn store_wait(&self) -> Duration {
        Duration::from_millis(self.store_wait_ms)
    }

    /// Timing of the planner's lease
    pub fn lease(&self) -> LeaseTiming {
        LeaseTiming {
            term: Duration::from_millis(self.lease_term_ms),
            renewal: Duration::from_millis(self.lease_renewal_ms),
            ..LeaseTiming::default()
        }
    }

    /// Timeouts of a change
    pub fn timeouts(&self) -> ChangeTimeouts {
        ChangeTimeouts {
            confirm: Duration::from_millis(self.confirm_ms),
            drain: Duration::from_millis(self.drain_ms),
        }
    }

    /// Minimum number of engines per role
    pub fn floors(&self) -> RoleFloors {
        RoleFloors { prefill: self.floor_prefill, decode: self.floor_decode }
    }
}
