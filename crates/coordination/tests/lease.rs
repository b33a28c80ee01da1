//! Leases, plans and orders: at most one holder, and no orders by earlier holders.

mod common;

use catalogue::id::{Fence, Offset};
use catalogue::{EngineRole, ModelTarget};
use common::{AppendFault, FakeLink, FakeLog};
use coordination::control::{ControlError, ControlHandle};
use coordination::lease::{HeldLease, LeaseHandle, LeaseTiming};
use googletest::prelude::*;
use state::control::{
    ControlItem, ControlRefusal, ExpiryProof, OrderResult, SenderFacts, expiry_proof,
};
use std::time::Duration;
use testcases::cases;
use tokio::time::Instant;

const DUTY: &str = "planner.summary";
const LIFETIME_MS: u64 = 30_000;

struct Member {
    control: ControlHandle,
    lease: LeaseHandle,
    link: FakeLink,
}

async fn member(log: &FakeLog, id: &str) -> Member {
    let (shared, link) = log.shared(id);
    let control = ControlHandle::start(shared, &"summary".into()).await.unwrap();
    let lease = LeaseHandle::start(control.clone(), DUTY.into(), LeaseTiming::default());
    Member { control, lease: lease.await.unwrap(), link }
}

impl Member {
    async fn held(&self) -> googletest::Result<HeldLease> {
        let mut changes = self.lease.subscribe();
        let wait = changes.wait_for(Option::is_some);
        tokio::time::timeout(Duration::from_secs(30), wait).await.or_fail()?.or_fail()?;
        self.lease.held().or_fail()
    }

    async fn plan(&self, fence: Fence) -> std::result::Result<Offset, ControlError> {
        let item = ControlItem::Plan {
            duty: DUTY.into(),
            fence,
            engine: "engine-1".into(),
            from: target(EngineRole::Prefill),
            to: target(EngineRole::Decode),
        };
        self.control.append(item).await
    }

    async fn send(&self, fence: Fence, plan: Offset) -> std::result::Result<Offset, ControlError> {
        let item =
            ControlItem::OrderSent { duty: DUTY.into(), fence, plan, lifetime_ms: LIFETIME_MS };
        self.control.append(item).await
    }
}

fn target(role: EngineRole) -> ModelTarget {
    ModelTarget { role, model: "dossier".into(), version: "1".into(), adapter: None }
}

fn refused(refusal: ControlRefusal) -> ControlError {
    ControlError::Refused(refusal)
}

/// Runs three members under a disturbance and checks every 100 ms that at most one holds the lease
async fn check_one_holder(disturb: impl Fn(usize, &[Member])) -> googletest::Result<()> {
    let log = FakeLog::new();
    let members = [member(&log, "a").await, member(&log, "b").await, member(&log, "c").await];
    let mut terms: Vec<(usize, HeldLease)> = Vec::new();
    for step in 0..1_200 {
        if step % 100 == 50 {
            disturb(step / 100, &members);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let holders: Vec<_> = (0..3).filter(|it| members[*it].lease.held().is_some()).collect();
        verify_that!(holders.len(), le(1))?;
        if let Some(index) = holders.first() {
            terms.push((*index, members[*index].lease.held().or_fail()?));
        }
    }
    for pair in terms.windows(2) {
        let is_same = pair[0].0 == pair[1].0 && pair[0].1.fence == pair[1].1.fence;
        verify_that!(is_same || pair[0].1.fence < pair[1].1.fence, eq(true))?;
    }
    verify_that!(terms.len(), ge(300))?;
    restore_all(&members);
    tokio::time::sleep(Duration::from_secs(15)).await;
    verify_that!(holder(&members).is_some(), eq(true))
}

fn holder(members: &[Member]) -> Option<&Member> {
    members.iter().find(|it| it.lease.held().is_some())
}

fn inject_holder_faults(members: &[Member], fault: AppendFault) {
    if let Some(holder) = holder(members) {
        holder.link.inject([fault, fault, fault]);
    }
}

fn restore_all(members: &[Member]) {
    for member in members {
        member.link.restore();
    }
}

fn disconnect_holder(round: usize, members: &[Member]) {
    restore_all(members);
    if let Some(holder) = holder(members)
        && round.is_multiple_of(2)
    {
        holder.link.disconnect();
    }
}

fn hang_holder(members: &[Member]) {
    restore_all(members);
    if let Some(holder) = holder(members) {
        holder.link.set(|it| it.hangs = true);
    }
}

fn disconnect_all(round: usize, members: &[Member]) {
    for member in members {
        member.link.set(|it| it.is_down = round.is_multiple_of(2));
    }
}

fn slow_down_all(members: &[Member]) {
    for member in members {
        member.link.set(|it| it.latency = Duration::from_millis(800));
    }
}

async fn check_killed() -> googletest::Result<()> {
    let log = FakeLog::new();
    let first = member(&log, "a").await;
    let fence = first.held().await?.fence;
    let second = member(&log, "b").await;
    drop(first);
    let start = Instant::now();
    verify_that!(second.held().await?.fence, gt(fence))?;
    verify_that!(start.elapsed(), le(Duration::from_secs(8)))
}

async fn check_released() -> googletest::Result<()> {
    let log = FakeLog::new();
    let first = member(&log, "a").await;
    let fence = first.held().await?.fence;
    let second = member(&log, "b").await;
    first.lease.release().await;
    verify_that!(first.lease.held(), none())?;
    let start = Instant::now();
    verify_that!(second.held().await?.fence, gt(fence))?;
    verify_that!(start.elapsed(), le(Duration::from_secs(2)))
}

/// A former holder's late items are refused at each step of a plan
async fn check_stale_holder(step: &str) -> googletest::Result<()> {
    let log = FakeLog::new();
    let first = member(&log, "a").await;
    let stale = first.held().await?.fence;
    let plan = first.plan(stale).await.or_fail()?;
    let second = member(&log, "b").await;
    first.lease.release().await;
    let fence = second.held().await?.fence;
    let duty = DUTY.into();
    let acted = match step {
        "plan" => first.plan(stale).await,
        "order" => first.send(stale, plan).await,
        "open" => first.control.append(ControlItem::Opened { duty, fence: stale, plan }).await,
        _ => first.control.append(ControlItem::Withdrawn { duty, fence: stale, plan }).await,
    };
    verify_that!(acted, err(eq(refused(ControlRefusal::Fenced))))?;
    second.send(fence, plan).await.or_fail()?;
    Ok(())
}

/// The holder is dropped after announcing an order; the next one needs proof that it expired
async fn check_open_order(
    facts: SenderFacts,
    proof: Option<ExpiryProof>,
) -> googletest::Result<()> {
    let log = FakeLog::new();
    let first = member(&log, "a").await;
    let fence = first.held().await?.fence;
    let plan = first.plan(fence).await.or_fail()?;
    first.send(fence, plan).await.or_fail()?;
    drop(first);
    let second = member(&log, "b").await;
    let fence = second.held().await?.fence;
    let blocked = second.send(fence, plan).await;
    verify_that!(blocked, err(eq(refused(ControlRefusal::OrderOpen))))?;
    let withdrawn = ControlItem::Withdrawn { duty: DUTY.into(), fence, plan };
    let withdrawn = second.control.append(withdrawn).await;
    verify_that!(withdrawn, err(eq(refused(ControlRefusal::OrderOpen))))?;
    let view = second.control.view();
    let order = view.open_order("engine-1").or_fail()?;
    verify_that!(expiry_proof(order, facts), eq(proof))?;
    if let Some(proof) = proof {
        let expired = ControlItem::OrderLapsed { duty: DUTY.into(), fence, plan, proof };
        second.control.append(expired).await.or_fail()?;
        second.send(fence, plan).await.or_fail()?;
    }
    Ok(())
}

fn facts(engine_fences: bool, is_unlisted: bool, observed_s: u64) -> SenderFacts {
    SenderFacts { engine_fences, is_unlisted, observed: Duration::from_secs(observed_s) }
}

/// A plan completes although each of its appends fails several times
async fn check_plan(fault: AppendFault) -> googletest::Result<()> {
    let log = FakeLog::new();
    let first = member(&log, "a").await;
    let fence = first.held().await?.fence;
    let duty = || DUTY.into();
    first.link.inject([fault; 5]);
    let plan = first.plan(fence).await.or_fail()?;
    let busy = first.plan(fence).await;
    verify_that!(busy, err(eq(refused(ControlRefusal::EngineBusy))))?;
    first.link.inject([fault; 5]);
    first.send(fence, plan).await.or_fail()?;
    let done = ControlItem::OrderDone { plan, fence, result: OrderResult::Ready };
    first.link.inject([fault; 5]);
    first.control.append(done).await.or_fail()?;
    verify_that!(first.control.view().open_order("engine-1"), none())?;
    first.link.inject([fault; 5]);
    first.control.append(ControlItem::Opened { duty: duty(), fence, plan }).await.or_fail()?;
    let view = first.control.view();
    verify_that!(view.plan_for_engine("engine-1"), none())?;
    verify_that!(view.closed().len(), eq(1))
}

/// A new instance restores leases, plans and open orders from a checkpoint
async fn check_start() -> googletest::Result<()> {
    let log = FakeLog::new();
    let first = member(&log, "a").await;
    let fence = first.held().await?.fence;
    let plan = first.plan(fence).await.or_fail()?;
    first.send(fence, plan).await.or_fail()?;
    for _ in 0..120 {
        tokio::time::sleep(Duration::from_secs(60)).await;
        log.age_out(Duration::from_secs(3_600));
    }
    let fresh = member(&log, "b").await;
    fresh.control.caught_up().await;
    verify_that!(log.records("control.summary")[0].offset, gt(plan))?;
    verify_that!(fresh.control.view(), eq(&first.control.view()))?;
    verify_that!(fresh.control.view().lease(DUTY).or_fail()?.fence, eq(fence))?;
    verify_that!(fresh.control.order_observed(plan).or_fail()?, le(Duration::from_secs(1)))
}

cases! { paused
    one_holder => check_one_holder(|_, _| ()),
    one_holder_cut_off => check_one_holder(disconnect_holder),
    one_holder_on_unresponsive_connection => check_one_holder(|_, members| hang_holder(members)),
    one_holder_answers_lost => check_one_holder(
        |_, members| inject_holder_faults(members, AppendFault::LostAnswer)
    ),
    one_holder_requests_lost => check_one_holder(
        |_, members| inject_holder_faults(members, AppendFault::LostRequest)
    ),
    one_holder_appends_late => check_one_holder(
        |_, members| inject_holder_faults(members, AppendFault::Late(Duration::from_secs(9)))
    ),
    one_holder_records_doubled => check_one_holder(
        |_, members| inject_holder_faults(members, AppendFault::Duplicated)
    ),
    one_holder_log_down => check_one_holder(disconnect_all),
    one_holder_log_slow => check_one_holder(|_, members| slow_down_all(members)),
    killed_holder_is_replaced => check_killed(),
    released_lease_is_free_at_once => check_released(),
    stale_holder_plans => check_stale_holder("plan"),
    stale_holder_orders => check_stale_holder("order"),
    stale_holder_opens => check_stale_holder("open"),
    stale_holder_withdraws => check_stale_holder("withdraw"),
    open_order_of_listed_holder => check_open_order(facts(false, false, 3_600), None),
    open_order_within_lifetime => check_open_order(facts(false, true, 29), None),
    open_order_of_gone_holder => check_open_order(
        facts(false, true, 30), Some(ExpiryProof::HolderGone)
    ),
    open_order_on_fencing_engine => check_open_order(
        facts(true, false, 0), Some(ExpiryProof::EngineFences)
    ),
    plan => check_plan(AppendFault::None),
    plan_answers_lost => check_plan(AppendFault::LostAnswer),
    plan_requests_lost => check_plan(AppendFault::LostRequest),
    plan_records_doubled => check_plan(AppendFault::Duplicated),
    plan_records_damaged => check_plan(AppendFault::Damaged),
    start_from_checkpoint => check_start(),
}
