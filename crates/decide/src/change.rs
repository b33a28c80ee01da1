//! Next step of a planned change of an engine.
//!
//! The steps of a change are: plan, confirmations by all listed instances, drain,
//! announcement of the order, order, record of its result, opening. Any later lease holder
//! may continue the change, so each step is decided only from facts that it can read
//! itself: the fold of the control stream, the confirmations, and the engine's state.

use std::time::Duration;

/// Time limits of a change
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeTimeouts {
    /// Time for all listed instances to confirm the plan
    pub confirm: Duration,
    /// Time for the requests in flight to end after the confirmations
    pub drain: Duration,
}

/// Confirmations of a plan by the listed instances
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfirmCount {
    /// Listed instances that have not answered or have not read the plan
    pub missing: u32,
    /// Requests in flight on the engine from instances that have confirmed
    pub in_flight: u32,
}

/// State of the plan's order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFacts {
    /// No order was announced, or the last one failed
    None,
    /// Announced under the current lease
    Own,
    /// Announced under an earlier lease; may still take effect
    Earlier {
        /// Whether its sender can certainly no longer act
        sender_gone: bool,
    },
    /// Announced under the current lease and refused by the engine
    Refused,
    /// Carried out by the engine
    Done,
}

/// State of the engine as it reports it
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineFacts {
    /// Whether it serves requests
    pub ready: bool,
    /// Whether it serves the plan's target or is changing to it
    pub on_target: bool,
    /// Whether the plan's order is the last one that it accepted
    pub accepted_order: bool,
    /// Requests that run or wait on the engine
    pub in_flight: u32,
    /// Whether it refuses orders with an old fencing number
    pub checks_fence: bool,
    /// Whether it has received the fencing number of the current lease
    pub received_fence: bool,
}

/// Inputs of the decision on the next step
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeFacts {
    /// Time since this instance first read the plan
    pub age: Duration,
    /// Whether the plan was made under the current lease
    pub own_plan: bool,
    /// State of the plan's order
    pub order: OrderFacts,
    /// Confirmations of the plan
    pub confirms: ConfirmCount,
    /// Whether the platform lists the engine
    pub listed: bool,
    /// State of the engine; `None` if it did not answer
    pub engine: Option<EngineFacts>,
}

/// Step to take
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStep {
    /// Decide again later
    Wait(WaitReason),
    /// Withdraw the plan
    Withdraw(WithdrawReason),
    /// Announce the order, then send it
    Order,
    /// Send the order again so that the engine receives the new fencing number
    RaiseFence,
    /// Record that the order of an earlier lease holder can no longer take effect
    Lapse {
        /// `true` if the engine refuses the order, `false` if its sender is gone
        engine_fences: bool,
    },
    /// Record that the engine serves its new target
    RecordReady,
    /// Record that the order has no effect because its engine is gone
    RecordGone,
    /// Open the engine to requests
    Open,
}

/// What a change waits for
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum WaitReason {
    /// not all listed instances have confirmed the plan
    Confirmations,
    /// requests are still in flight
    Drain,
    /// engine does not answer
    EngineSilent,
    /// engine is still changing
    EngineChanging,
    /// an earlier lease holder may still send its order
    EarlierHolder,
}

/// Why a plan is withdrawn
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum WithdrawReason {
    /// a listed instance did not confirm in time
    NotConfirmed,
    /// requests in flight did not end in time
    NotDrained,
    /// engine did not answer in time
    EngineSilent,
    /// engine refused the order
    Refused,
    /// engine is no longer listed
    EngineGone,
    /// plan was made by an earlier lease holder that never announced its order
    EarlierHolder,
}

/// Decides the next step of a change
pub fn next_step(facts: &ChangeFacts, timeouts: &ChangeTimeouts) -> ChangeStep {
    match facts.order {
        OrderFacts::Done => ChangeStep::Open,
        OrderFacts::Refused => ChangeStep::Withdraw(WithdrawReason::Refused),
        OrderFacts::Own => after_order(facts),
        OrderFacts::Earlier { sender_gone } => take_over(facts, sender_gone),
        OrderFacts::None if !facts.own_plan => ChangeStep::Withdraw(WithdrawReason::EarlierHolder),
        OrderFacts::None => before_order(facts, timeouts),
    }
}

fn before_order(facts: &ChangeFacts, timeouts: &ChangeTimeouts) -> ChangeStep {
    if !facts.listed {
        return ChangeStep::Withdraw(WithdrawReason::EngineGone);
    }
    if facts.confirms.missing > 0 {
        return wait_until(
            facts.age > timeouts.confirm,
            WaitReason::Confirmations,
            WithdrawReason::NotConfirmed,
        );
    }
    let is_late = facts.age > timeouts.confirm + timeouts.drain;
    let Some(engine) = facts.engine else {
        return wait_until(is_late, WaitReason::EngineSilent, WithdrawReason::EngineSilent);
    };
    if facts.confirms.in_flight > 0 || engine.in_flight > 0 {
        return wait_until(is_late, WaitReason::Drain, WithdrawReason::NotDrained);
    }
    ChangeStep::Order
}

fn wait_until(is_late: bool, wait: WaitReason, withdraw: WithdrawReason) -> ChangeStep {
    if is_late { ChangeStep::Withdraw(withdraw) } else { ChangeStep::Wait(wait) }
}

fn after_order(facts: &ChangeFacts) -> ChangeStep {
    let Some(engine) = facts.engine else {
        return if facts.listed {
            ChangeStep::Wait(WaitReason::EngineSilent)
        } else {
            ChangeStep::RecordGone
        };
    };
    if !engine.on_target || !engine.accepted_order {
        // An engine that crashes during the change keeps its old state. Orders are absolute, so the
        // order can be sent again.
        return ChangeStep::Order;
    }
    if engine.ready {
        return ChangeStep::RecordReady;
    }
    ChangeStep::Wait(WaitReason::EngineChanging)
}

fn take_over(facts: &ChangeFacts, sender_gone: bool) -> ChangeStep {
    let fencing_engine = facts.engine.filter(|it| it.checks_fence);
    match fencing_engine {
        Some(engine) if engine.received_fence => ChangeStep::Lapse { engine_fences: true },
        _ if sender_gone => ChangeStep::Lapse { engine_fences: false },
        Some(_) => ChangeStep::RaiseFence,
        None => ChangeStep::Wait(WaitReason::EarlierHolder),
    }
}
