//! State of the orders for engines: demand, plans, and engines that have answered.

use bytes::Bytes;
use catalogue::id::{EndpointId, PoolName};
use decide::serving::endpoint_list::IncarnationStart;
use decide::serving::fleet_demand::DemandMeter;
use decide::serving::fleet_size::{FleetPlan, PlanRecord};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::time::Instant;

/// Format of the recorded plans.
const PLAN_FORMAT: u32 = 1;
/// Plans of all pools as the holder records them
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct RecordedPlans {
    format: u32,
    pools: IndexMap<PoolName, PlanRecord>,
}

/// Demand for engines and plans for their number; empty unless this instance decides it
#[derive(Default)]
pub struct ScalingState {
    pub meters: RefCell<IndexMap<PoolName, DemandMeter>>,
    pub plans: RefCell<IndexMap<PoolName, FleetPlan>>,
    /// Incarnations that have answered a health check
    pub confirmed: RefCell<IndexMap<EndpointId, IncarnationStart>>,
    /// Engines whose health is being checked
    pub checking: RefCell<Vec<EndpointId>>,
    /// Plans that were staged last
    pub staged: RefCell<Bytes>,
}

impl ScalingState {
    /// Records a request to a pool
    pub fn record_asked(&self, pool: &PoolName) {
        if let Some(meter) = self.meters.borrow_mut().get_mut(pool) {
            meter.record_asked();
        }
    }

    /// Records a request that was refused for lack of capacity
    pub fn record_refused(&self, pool: &PoolName) {
        if let Some(meter) = self.meters.borrow_mut().get_mut(pool) {
            meter.record_refused();
        }
    }

    /// Starts with the plans of the earlier holder
    pub fn start(&self, recorded: Option<&Bytes>, now: Instant) {
        let plans = recorded.and_then(|it| serde_json::from_slice::<RecordedPlans>(it).ok());
        let plans = plans.map(|it| it.pools).unwrap_or_default().into_iter();
        let plans = plans.map(|(pool, record)| (pool, FleetPlan::resume(record, now)));
        *self.plans.borrow_mut() = plans.collect();
        self.staged.take();
    }

    /// Forgets everything, since another instance decides
    pub fn stop(&self) {
        self.meters.take();
        self.plans.take();
        self.confirmed.take();
    }

    /// Plans to be recorded for the next holder
    pub fn recorded(&self) -> Bytes {
        let plans = self.plans.borrow();
        let pools = plans.iter().map(|(pool, it)| (pool.clone(), it.record()));
        let plans = RecordedPlans { format: PLAN_FORMAT, pools: pools.collect() };
        Bytes::from(serde_json::to_vec(&plans).unwrap_or_default())
    }
}
