//! Steps of a planned change, with a fault before each step.

use decide::change::*;
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

const TIMEOUTS: ChangeTimeouts =
    ChangeTimeouts { confirm: Duration::from_secs(5), drain: Duration::from_secs(60) };

const IDLE_ENGINE: EngineFacts = EngineFacts {
    ready: true,
    on_target: false,
    accepted_order: false,
    in_flight: 0,
    checks_fence: true,
    received_fence: false,
};

/// Plan that all instances have confirmed, for an idle engine
const CONFIRMED: ChangeFacts = ChangeFacts {
    age: Duration::from_secs(1),
    own_plan: true,
    order: OrderFacts::None,
    confirms: ConfirmCount { missing: 0, in_flight: 0 },
    listed: true,
    engine: Some(IDLE_ENGINE),
};

const CHANGED: EngineFacts = EngineFacts { on_target: true, accepted_order: true, ..IDLE_ENGINE };

fn check(facts: ChangeFacts, step: ChangeStep) -> Result<()> {
    verify_that!(next_step(&facts, &TIMEOUTS), eq(step))
}

fn missing(age_s: u64) -> ChangeFacts {
    let confirms = ConfirmCount { missing: 1, in_flight: 0 };
    ChangeFacts { age: Duration::from_secs(age_s), confirms, ..CONFIRMED }
}

fn busy(age_s: u64) -> ChangeFacts {
    let confirms = ConfirmCount { missing: 0, in_flight: 3 };
    ChangeFacts { age: Duration::from_secs(age_s), confirms, ..CONFIRMED }
}

fn ordered(engine: Option<EngineFacts>) -> ChangeFacts {
    ChangeFacts { order: OrderFacts::Own, engine, ..CONFIRMED }
}

fn earlier(sender_gone: bool, engine: Option<EngineFacts>) -> ChangeFacts {
    let order = OrderFacts::Earlier { sender_gone };
    ChangeFacts { own_plan: false, order, engine, ..CONFIRMED }
}

fn engine(change: impl FnOnce(&mut EngineFacts)) -> Option<EngineFacts> {
    let mut engine = CHANGED;
    change(&mut engine);
    Some(engine)
}

cases! {
    confirmed_and_idle_is_ordered => check(CONFIRMED, ChangeStep::Order),
    unconfirmed_waits => check(missing(1), ChangeStep::Wait(WaitReason::Confirmations)),
    unconfirmed_too_long_is_withdrawn => check(
        missing(6),
        ChangeStep::Withdraw(WithdrawReason::NotConfirmed)
    ),
    unconfirmed_is_never_ordered_on_an_idle_engine => check(
        ChangeFacts { engine: Some(IDLE_ENGINE), ..missing(4) },
        ChangeStep::Wait(WaitReason::Confirmations)
    ),
    busy_waits => check(busy(6), ChangeStep::Wait(WaitReason::Drain)),
    busy_too_long_is_withdrawn => check(
        busy(66),
        ChangeStep::Withdraw(WithdrawReason::NotDrained)
    ),
    work_of_an_unlisted_instance_waits => check(
        ChangeFacts { engine: Some(EngineFacts { in_flight: 1, ..IDLE_ENGINE }), ..CONFIRMED },
        ChangeStep::Wait(WaitReason::Drain)
    ),
    silent_engine_waits => check(
        ChangeFacts { engine: None, ..CONFIRMED },
        ChangeStep::Wait(WaitReason::EngineSilent)
    ),
    withdrawn_engine_ends_the_plan => check(
        ChangeFacts { listed: false, engine: None, ..CONFIRMED },
        ChangeStep::Withdraw(WithdrawReason::EngineGone)
    ),
    unordered_plan_of_an_earlier_holder_is_withdrawn => check(
        ChangeFacts { own_plan: false, ..CONFIRMED },
        ChangeStep::Withdraw(WithdrawReason::EarlierHolder)
    ),
    changing_engine_waits => check(
        ordered(engine(|it| it.ready = false)),
        ChangeStep::Wait(WaitReason::EngineChanging)
    ),
    ready_engine_is_recorded => check(ordered(engine(|_| ())), ChangeStep::RecordReady),
    lost_order_is_repeated => check(
        ordered(engine(|it| it.accepted_order = false)),
        ChangeStep::Order
    ),
    engine_back_in_its_old_role_is_ordered_again => check(
        ordered(engine(|it| it.on_target = false)),
        ChangeStep::Order
    ),
    engine_gone_after_the_order_is_recorded => check(
        ChangeFacts { listed: false, ..ordered(None) },
        ChangeStep::RecordGone
    ),
    refused_order_ends_the_plan => check(
        ChangeFacts { order: OrderFacts::Refused, ..CONFIRMED },
        ChangeStep::Withdraw(WithdrawReason::Refused)
    ),
    recorded_change_is_opened => check(
        ChangeFacts { order: OrderFacts::Done, own_plan: false, ..CONFIRMED },
        ChangeStep::Open
    ),
    fencing_engine_is_shown_the_new_number => check(
        earlier(false, engine(|_| ())),
        ChangeStep::RaiseFence
    ),
    fencing_engine_that_saw_it_frees_the_plan => check(
        earlier(false, engine(|it| it.received_fence = true)),
        ChangeStep::Lapse { engine_fences: true }
    ),
    other_engine_waits_for_a_listed_sender => check(
        earlier(false, engine(|it| it.checks_fence = false)),
        ChangeStep::Wait(WaitReason::EarlierHolder)
    ),
    other_engine_is_free_once_the_sender_is_gone => check(
        earlier(true, engine(|it| it.checks_fence = false)),
        ChangeStep::Lapse { engine_fences: false }
    ),
    silent_engine_waits_for_a_listed_sender => check(
        earlier(false, None),
        ChangeStep::Wait(WaitReason::EarlierHolder)
    ),
}
