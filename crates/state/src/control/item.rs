//! Items of a control stream and their outcomes.

use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, Offset, OrderId};
use smol_str::SmolStr;

/// Name of a duty; at most one instance at a time holds its lease.
pub type DutyName = SmolStr;

/// Item of a control stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlItem {
    /// Claims or renews a lease
    LeaseClaim {
        duty: DutyName,
        /// Last offset of the lease; 0 if it was never claimed
        base: Offset,
        /// Instance that claims or renews
        holder: InstanceId,
        /// Fencing number of the lease to renew; 0 for a new claim
        fence: Fence,
        /// Lease term, in milliseconds
        term_ms: u64,
    },
    LeaseRelease {
        duty: DutyName,
        /// Fencing number of the lease
        fence: Fence,
    },
    /// Plans a change of an engine; the plan's id is its offset
    Plan {
        /// Duty under which it is planned
        duty: DutyName,
        /// Fencing number of the lease
        fence: Fence,
        /// Engine to change
        engine: EndpointId,
        /// Role and model that it serves
        from: ModelTarget,
        /// Role and model that it is to serve
        to: ModelTarget,
    },
    /// Withdraws a plan that has no open order and has not taken effect
    Withdrawn {
        /// Duty under which it is withdrawn
        duty: DutyName,
        /// Fencing number of the lease
        fence: Fence,
        plan: OrderId,
    },
    /// Announces an order that is about to be sent
    OrderSent {
        /// Duty under which it is sent
        duty: DutyName,
        /// Fencing number of the lease
        fence: Fence,
        /// Plan that it carries out
        plan: OrderId,
        /// Maximum time for which the order may still take effect, in milliseconds
        lifetime_ms: u64,
    },
    /// Reports that an order can't take effect any more
    OrderDone {
        /// Plan that it carried out
        plan: OrderId,
        /// Fencing number under which it was sent
        fence: Fence,
        /// How it ended
        result: OrderResult,
    },
    /// Closes an earlier holder's order that has expired
    OrderLapsed {
        /// Duty under which it is closed
        duty: DutyName,
        /// Fencing number of the lease
        fence: Fence,
        /// Plan of the order
        plan: OrderId,
        /// Why the order can't take effect any more
        proof: ExpiryProof,
    },
    /// Opens a changed engine for requests again
    Opened {
        /// Duty under which it is opened
        duty: DutyName,
        /// Fencing number of the lease
        fence: Fence,
        plan: OrderId,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Engine serves its new role and model
    Ready,
    /// Engine refused the order
    Refused,
    /// Order was never sent
    Unsent,
}

/// Why an earlier holder's order can't take effect any more
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpiryProof {
    /// Engine refuses old fencing numbers and has received a newer one
    EngineFences,
    /// Holder has left the platform's list and the order's lifetime has passed
    HolderGone,
}

/// Outcome of an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The item took effect at this offset
    Accepted(Offset),
    /// The item has no effect
    Refused(ControlRefusal),
}

/// Reason why an item has no effect
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ControlRefusal {
    /// lease has changed at offset {0}
    LeaseMoved(Offset),
    /// fencing number is not that of the current lease
    Fenced,
    /// engine has an open plan
    EngineBusy,
    /// no plan with this id in the required step
    PlanStep,
    /// engine has an open order of an earlier holder
    OrderOpen,
}

impl std::error::Error for ControlRefusal {}
