//! Next step of a planned change of an engine.
//!
//! A change goes: plan, confirmations by every listed instance, drain, announcement
//! of the order, order, record of its end, opening. Whoever holds the lease may take
//! the change over at any point, so each step is decided from facts that can be read
//! anew: the fold of the control stream, the confirmations, and the engine's state.

use std::time::Duration;

/// Bounds of a change
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeBounds {
    /// For every listed instance to confirm
    pub confirm: Duration,
    /// For the work in flight to end
    pub drain: Duration,
}

/// Confirmations of a plan by the listed instances
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfirmCount {
    /// Instances that did not answer, or have not read the plan
    pub missing: u32,
    /// Requests that confirming instances have in flight on the engine
    pub in_flight: u32,
}

/// Order under the plan
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFacts {
    /// None was announced, or the last one ended without success
    None,
    /// Announced under the lease now held
    Own,
    /// Announced under an earlier lease, and may still take effect
    Earlier {
        /// Whether its sender is certain not to act any more
        sender_gone: bool,
    },
    /// Refused by the engine under the lease now held
    Refused,
    /// Taken by the engine
    Done,
}

/// State of the engine as it tells it
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineFacts {
    /// Whether it serves
    pub ready: bool,
    /// Whether it serves or is about to serve what the plan says
    pub on_target: bool,
    /// Whether the plan's order is the last one it took
    pub took_order: bool,
    /// Requests that run or wait there
    pub in_flight: u32,
    /// Whether it refuses old fencing numbers
    pub checks_fence: bool,
    /// Whether it has seen the fencing number of the lease now held
    pub saw_fence: bool,
}

/// All that a step is decided from
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeFacts {
    /// Time since this instance first saw the plan
    pub age: Duration,
    /// Whether the plan was made under the lease now held
    pub own_plan: bool,
    /// Order under the plan
    pub order: OrderFacts,
    /// Confirmations
    pub confirms: ConfirmCount,
    /// Whether the platform lists the engine
    pub listed: bool,
    /// State of the engine, if it answered
    pub engine: Option<EngineFacts>,
}

/// Step to take
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStep {
    /// Look again later
    Wait(WaitReason),
    /// Give the plan up
    Withdraw(WithdrawReason),
    /// Announce the order, then send it
    Order,
    /// Send the order again so that the engine sees the new fencing number
    RaiseFence,
    /// Record that an earlier sender's order can't take effect any more
    Lapse {
        /// Whether the engine refuses it; otherwise its sender is gone
        engine_fences: bool,
    },
    /// Record that the engine plays its new part
    RecordReady,
    /// Record that the order has no effect, since its engine is gone
    RecordGone,
    /// Open the engine for requests
    Open,
}

/// What a change waits for
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum WaitReason {
    /// instances have yet to confirm
    Confirmations,
    /// requests are in flight
    Drain,
    /// engine does not answer
    EngineSilent,
    /// engine is changing
    EngineChanging,
    /// an earlier holder may still send its order
    EarlierHolder,
}

/// Why a plan is given up
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
    /// engine is not listed any more
    EngineGone,
    /// plan is an earlier holder's, whose order was never announced
    EarlierHolder,
}

/// Decides the next step of a change
pub fn next_step(facts: &ChangeFacts, bounds: &ChangeBounds) -> ChangeStep {
    match facts.order {
        OrderFacts::Done => ChangeStep::Open,
        OrderFacts::Refused => ChangeStep::Withdraw(WithdrawReason::Refused),
        OrderFacts::Own => after_order(facts),
        OrderFacts::Earlier { sender_gone } => take_over(facts, sender_gone),
        OrderFacts::None if !facts.own_plan => ChangeStep::Withdraw(WithdrawReason::EarlierHolder),
        OrderFacts::None => before_order(facts, bounds),
    }
}

fn before_order(facts: &ChangeFacts, bounds: &ChangeBounds) -> ChangeStep {
    if !facts.listed {
        return ChangeStep::Withdraw(WithdrawReason::EngineGone);
    }
    if facts.confirms.missing > 0 {
        return wait_until(
            facts.age > bounds.confirm,
            WaitReason::Confirmations,
            WithdrawReason::NotConfirmed,
        );
    }
    let is_late = facts.age > bounds.confirm + bounds.drain;
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
    if !engine.on_target || !engine.took_order {
        // A crash half-way leaves the engine as it was; the order is absolute.
        return ChangeStep::Order;
    }
    if engine.ready {
        return ChangeStep::RecordReady;
    }
    ChangeStep::Wait(WaitReason::EngineChanging)
}

fn take_over(facts: &ChangeFacts, sender_gone: bool) -> ChangeStep {
    let fences = facts.engine.filter(|it| it.checks_fence);
    match fences {
        Some(engine) if engine.saw_fence => ChangeStep::Lapse { engine_fences: true },
        _ if sender_gone => ChangeStep::Lapse { engine_fences: false },
        Some(_) => ChangeStep::RaiseFence,
        None => ChangeStep::Wait(WaitReason::EarlierHolder),
    }
}
