//! Leases, plans and orders, and the proof that an order has expired.

use super::item::{DutyName, ExpiryProof, OrderResult};
use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, Offset, OrderId};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DutyLease {
    /// Current or last holder
    pub holder: InstanceId,
    /// Fencing number: offset of the holder's first claim
    pub fence: Fence,
    /// Offset of the last claim, renewal or release
    pub last: Offset,
    /// Lease term, in milliseconds
    pub term_ms: u64,
    /// Whether the holder released it
    pub released: bool,
}

impl DutyLease {
    /// Time after a claim or renewal for which the lease holds
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }
}

/// Planned change of an engine
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EnginePlan {
    /// Offset of the plan's record
    pub id: OrderId,
    /// Duty under which it was planned
    pub duty: DutyName,
    /// Fencing number under which it was planned
    pub fence: Fence,
    /// Engine to change
    pub engine: EndpointId,
    /// Role and model that it served
    pub from: ModelTarget,
    /// Role and model that it is to serve
    pub to: ModelTarget,
    pub step: PlanStep,
    /// Orders sent under the plan, oldest first; only the last can be open
    pub orders: Vec<EngineOrder>,
    /// Time of the plan by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

impl EnginePlan {
    /// Last order, if it may still take effect
    pub fn open_order(&self) -> Option<&EngineOrder> {
        self.orders.last().filter(|it| it.end.is_none())
    }

    /// Whether the plan is open, which closes the engine for requests
    pub fn is_open(&self) -> bool {
        matches!(self.step, PlanStep::Planned | PlanStep::Done)
    }
}

/// Progress of a plan
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// Engine has to be drained and sent the order
    Planned,
    /// Engine serves its new role and model but is not open for requests yet
    Done,
    /// Engine is open for requests
    Opened,
    /// Plan was withdrawn without taking effect
    Withdrawn,
}

/// Order sent under a plan
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineOrder {
    /// Instance that sent it
    pub holder: InstanceId,
    /// Fencing number in the order
    pub fence: Fence,
    /// Offset of the record that announces it
    pub offset: Offset,
    /// Maximum time for which it may take effect, in milliseconds
    pub lifetime_ms: u64,
    /// How it ended; `None` while it may take effect
    pub end: Option<OrderEnd>,
}

impl EngineOrder {
    /// Maximum time for which it may take effect
    pub fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime_ms)
    }
}

/// How an order ended
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// Reported by its sender
    Done(OrderResult),
    /// Expired, as proved by a later holder
    #[serde(rename = "lapsed")]
    Expired(ExpiryProof),
}

/// Facts known to a new holder about the sender of an open order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderFacts {
    /// Whether the engine refuses old fencing numbers and has confirmed the new one
    pub engine_fences: bool,
    /// Whether the sender is absent from the platform's list
    pub is_unlisted: bool,
    /// Time since this instance first observed the order's announcement
    pub observed: Duration,
}

/// Proof that an earlier holder's order can't take effect any more, if there is one.
///
/// A sender that is still listed may be paused between announcing and sending its order
/// for any length of time; only an engine that checks fencing numbers is protected from
/// the late order.
pub fn expiry_proof(order: &EngineOrder, facts: SenderFacts) -> Option<ExpiryProof> {
    if facts.engine_fences {
        return Some(ExpiryProof::EngineFences);
    }
    let is_gone = facts.is_unlisted && facts.observed >= order.lifetime();
    is_gone.then_some(ExpiryProof::HolderGone)
}
