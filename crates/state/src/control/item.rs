//! Items of a control stream and what becomes of them.

use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, Offset, OrderId};
use smol_str::SmolStr;

/// Name of a duty that one instance at a time may hold.
pub type DutyName = SmolStr;

/// Item of the stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlItem {
    /// Claims or renews a lease
    LeaseClaim {
        /// Duty
        duty: DutyName,
        /// Last offset of the lease; 0 if it was never claimed
        base: Offset,
        /// Claimer
        holder: InstanceId,
        /// Fencing number of the tenure to renew; 0 to begin one
        fence: Fence,
        /// Term, in milliseconds
        term_ms: u64,
    },
    /// Gives a lease up
    LeaseRelease {
        /// Duty
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
    },
    /// Plans a change of an engine; the plan's id is its offset
    Plan {
        /// Duty under which it is planned
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Engine to change
        engine: EndpointId,
        /// What it serves
        from: ModelTarget,
        /// What it is to serve
        to: ModelTarget,
    },
    /// Withdraws a plan whose order has not been sent
    Withdrawn {
        /// Duty under which it is withdrawn
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan
        plan: OrderId,
    },
    /// Announces an order that is about to be sent
    OrderSent {
        /// Duty under which it is sent
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan that it carries out
        plan: OrderId,
        /// Longest time for which the order may still take effect, in milliseconds
        lifetime_ms: u64,
    },
    /// Tells that an order can't take effect any more
    OrderDone {
        /// Plan that it carried out
        plan: OrderId,
        /// Fencing number under which it was sent
        fence: Fence,
        /// How it ended
        result: OrderResult,
    },
    /// Frees an engine from an earlier holder's order
    OrderLapsed {
        /// Duty under which it is judged
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan of the order
        plan: OrderId,
        /// Why it can't take effect any more
        proof: LapseProof,
    },
    /// Opens a changed engine for requests again
    Opened {
        /// Duty under which it is opened
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan
        plan: OrderId,
    },
}

/// End of an order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Engine plays its new part
    Ready,
    /// Engine refused the order
    Refused,
    /// Order never left
    Unsent,
}

/// Why an earlier holder's order can't take effect any more
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LapseProof {
    /// Engine refuses old fencing numbers and has seen a newer one
    EngineFences,
    /// Holder has left the list and the order's lifetime has run
    HolderGone,
}

/// What became of an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlOutcome {
    /// Took effect at this offset
    Accepted(Offset),
    /// Has no effect
    Refused(ControlRefusal),
}

/// Why an item has no effect
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ControlRefusal {
    /// lease has moved on to offset {0}
    LeaseMoved(Offset),
    /// fencing number is not that of the lease
    Fenced,
    /// engine has an open plan
    EngineBusy,
    /// no such plan in this step
    PlanStep,
    /// engine has an open order of an earlier tenure
    OrderOpen,
}

impl std::error::Error for ControlRefusal {}
