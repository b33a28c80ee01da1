//! Fold of a control stream: leases, plans and orders of one pool.
//!
//! A lease claim names the lease's last offset and is accepted only if that is
//! still the last one; the claiming instance itself waits until the term has ended. The
//! offset of a holder's first claim is its fencing number. Plans and orders are accepted
//! only under the fencing number of the current lease, and an engine has at most one
//! open order.

mod item;
mod plan;
mod view;

pub use item::{ControlItem, ControlOutcome, ControlRefusal, DutyName, ExpiryProof, OrderResult};
pub use plan::{DutyLease, EngineOrder, EnginePlan, OrderEnd, PlanStep, SenderFacts, expiry_proof};
pub use view::{ControlView, MAX_CLOSED_PLANS};

/// Prefix of the name of every control stream; the pool's name follows.
pub const CONTROL_PREFIX: &str = "control.";
