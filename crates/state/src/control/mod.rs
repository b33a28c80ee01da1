//! Fold of a control stream: leases, plans and orders of one pool.
//!
//! A lease claim names the lease's last offset and is accepted only if that is
//! still the last one; the waiting out of terms is the claimer's business. The
//! offset that began a tenure is its fencing number. Plans and orders count only
//! under the fencing number of the lease that is held, and an engine has at most
//! one open order.

mod item;
mod plan;
mod view;

pub use item::{ControlItem, ControlOutcome, ControlRefusal, DutyName, LapseProof, OrderResult};
pub use plan::{DutyLease, EngineOrder, EnginePlan, OrderEnd, PlanStep, SenderFacts, lapse_proof};
pub use view::{ControlView, MAX_CLOSED_PLANS};

/// Start of the name of every control stream; the pool follows.
pub const CONTROL_PREFIX: &str = "control.";
