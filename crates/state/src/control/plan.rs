//! Leases, plans and orders as they stand, and when an order can't act any more.

use super::item::{DutyName, LapseProof, OrderResult};
use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, Offset, OrderId};
use std::time::Duration;

/// Lease of a duty
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DutyLease {
    /// Who holds or held it last
    pub holder: InstanceId,
    /// Offset that began the tenure
    pub fence: Fence,
    /// Offset of the last claim, renewal or release
    pub last: Offset,
    /// Term, in milliseconds
    pub term_ms: u64,
    /// Whether the holder gave it up
    pub released: bool,
}

impl DutyLease {
    /// Time after a renewal for which it holds
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }
}

/// Planned change of an engine
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EnginePlan {
    /// Id: offset of the plan
    pub id: OrderId,
    /// Duty under which it was planned
    pub duty: DutyName,
    /// Fencing number under which it was planned
    pub fence: Fence,
    /// Engine to change
    pub engine: EndpointId,
    /// What it served
    pub from: ModelTarget,
    /// What it is to serve
    pub to: ModelTarget,
    /// How far it is
    pub step: PlanStep,
    /// Orders under the plan, oldest first; the last may be open
    pub orders: Vec<EngineOrder>,
    /// Time of the plan by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

impl EnginePlan {
    /// Order that may still take effect
    pub fn open_order(&self) -> Option<&EngineOrder> {
        self.orders.last().filter(|it| it.end.is_none())
    }

    /// Whether requests may not go to the engine
    pub fn is_open(&self) -> bool {
        matches!(self.step, PlanStep::Planned | PlanStep::Done)
    }
}

/// How far a plan is
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// Engine is to be drained and ordered
    Planned,
    /// Engine plays its new part and isn't open yet
    Done,
    /// Engine is open for requests
    Opened,
    /// Given up
    Withdrawn,
}

/// Order sent under a plan
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineOrder {
    /// Who sent it
    pub holder: InstanceId,
    /// Fencing number that it carries
    pub fence: Fence,
    /// Offset of its announcement
    pub offset: Offset,
    /// Longest time for which it may take effect, in milliseconds
    pub lifetime_ms: u64,
    /// How it ended; none while it may take effect
    pub end: Option<OrderEnd>,
}

impl EngineOrder {
    /// Longest time for which it may take effect
    pub fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime_ms)
    }
}

/// How an order ended
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// Its sender said so
    Done(OrderResult),
    /// A later holder proved that it can't act
    Lapsed(LapseProof),
}

/// What a new holder knows of the sender of an open order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderFacts {
    /// Whether the engine refuses old fencing numbers and has confirmed the new one
    pub engine_fences: bool,
    /// Whether the sender is absent from the platform's list
    pub left_list: bool,
    /// Time since this instance first saw the order's announcement
    pub observed: Duration,
}

/// Proof that an earlier holder's order can't take effect any more, if there is one.
///
/// A sender that is still listed may be paused between its announcement and its
/// order, for any time; only an engine that checks fencing numbers is safe from it.
pub fn lapse_proof(order: &EngineOrder, facts: SenderFacts) -> Option<LapseProof> {
    if facts.engine_fences {
        return Some(LapseProof::EngineFences);
    }
    let is_gone = facts.left_list && facts.observed >= order.lifetime();
    is_gone.then_some(LapseProof::HolderGone)
}
