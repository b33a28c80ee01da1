//! Carries out the open plan of a pool, one step at a time.

use super::PlannerContext;
use super::exclusion::PlanExclusion;
use crate::pool::EndpointPool;
use catalogue::id::{Fence, InstanceId, OrderId};
use catalogue::{InstanceKind, ListedInstance};
use coordination::control::{ControlError, ControlHandle};
use coordination::lease::{HeldLease, LeaseHandle};
use decide::change::{ChangeFacts, ChangeStep, ConfirmCount, EngineFacts, OrderFacts, next_step};
use futures_util::future::join_all;
use indexmap::IndexSet;
use peer::message::{ConfirmRequest, PeerReply, PeerRequest};
use platform::engine::{EngineError, EngineOrder, EngineState, RefusalReason};
use state::control::{
    ControlItem, DutyName, EnginePlan, ExpiryProof, OrderEnd, OrderResult, PlanStep, SenderFacts,
    expiry_proof,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Carries out changes of a pool's engines
#[derive(Debug, Clone)]
pub struct ChangeExecutor {
    pub context: PlannerContext,
    pub pool: Arc<EndpointPool>,
    /// Control stream of the pool
    pub control: ControlHandle,
    /// Duty whose lease authorizes the orders
    pub duty: DutyName,
    /// This instance's own exclusion of engines with an open plan
    pub exclusion: PlanExclusion,
    /// Instances that need not confirm again
    pub idle: IdleInstances,
}

/// Instances that have confirmed a plan with no requests in flight on the engine
///
/// Their confirmation is final: an instance that has read the plan sends no more work to
/// the engine, and a replacement instance reads the plan before it becomes ready.
#[derive(Debug, Clone, Default)]
pub struct IdleInstances {
    table: Arc<Mutex<IdleTable>>,
}

#[derive(Debug, Default)]
struct IdleTable {
    plan: OrderId,
    instances: IndexSet<(InstanceId, SocketAddr)>,
}

impl IdleInstances {
    fn contains(&self, plan: OrderId, instance: &ListedInstance) -> bool {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.plan == plan && table.instances.contains(&(instance.id.clone(), instance.address))
    }

    fn insert(&self, plan: OrderId, instance: &ListedInstance) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if table.plan != plan {
            *table = IdleTable { plan, instances: IndexSet::new() };
        }
        table.instances.insert((instance.id.clone(), instance.address));
    }
}

#[derive(Debug)]
pub enum StepOutcome {
    /// The step was taken, or there was nothing to do yet
    Done,
    /// The lease is not held, or would expire too soon
    LeaseNotHeld,
    /// The step failed and is retried on the next tick
    Failed(StepError),
}

/// Failure of a step
#[derive(Debug, displaydoc::Display)]
pub enum StepError {
    /// {0}
    Control(ControlError),
    /// order failed: {0}
    Order(EngineError),
}

impl std::error::Error for StepError {}

impl From<ControlError> for StepError {
    fn from(error: ControlError) -> StepError {
        StepError::Control(error)
    }
}

impl ChangeExecutor {
    /// Takes the next step of a plan
    pub async fn step(&self, plan: OrderId, lease: &LeaseHandle) -> StepOutcome {
        let (Some(plan), Some(held)) = (self.control.view().plan(plan).cloned(), lease.held())
        else {
            return StepOutcome::LeaseNotHeld;
        };
        let facts = self.facts(&plan, held).await;
        let step = next_step(&facts, &self.context.settings.timeouts());
        log::info!(
            "event=plan_step pool={} plan={} engine={} step={step:?} missing={} in_flight={} age_ms={}",
            self.pool.name(),
            plan.id,
            plan.engine,
            facts.confirms.missing,
            facts.confirms.in_flight,
            facts.age.as_millis(),
        );
        match self.apply_step(step, &plan, held.fence, lease).await {
            Ok(end) => end,
            Err(error) => StepOutcome::Failed(error),
        }
    }

    /// State of an engine; `None` if it doesn't answer
    pub async fn engine_state(&self, address: SocketAddr) -> Option<EngineState> {
        match self.context.engines.state(address, self.context.settings.call()).await {
            Ok(state) => Some(state),
            Err(error) => {
                log::info!("event=engine_state_unread address={address} reason=\"{error}\"");
                None
            }
        }
    }

    async fn apply_step(
        &self,
        step: ChangeStep,
        plan: &EnginePlan,
        fence: Fence,
        lease: &LeaseHandle,
    ) -> Result<StepOutcome, StepError> {
        let duty = self.duty.clone();
        let id = plan.id;
        let item = match step {
            ChangeStep::Wait(_) => return Ok(StepOutcome::Done),
            ChangeStep::Order => return self.order(plan, fence, lease).await,
            ChangeStep::RaiseFence => return self.send(plan, fence, lease).await,
            ChangeStep::Withdraw(_) => ControlItem::Withdrawn { duty, fence, plan: id },
            ChangeStep::Lapse { engine_fences } => {
                let proof =
                    if engine_fences { ExpiryProof::EngineFences } else { ExpiryProof::HolderGone };
                ControlItem::OrderLapsed { duty, fence, plan: id, proof }
            }
            ChangeStep::RecordReady => {
                ControlItem::OrderDone { plan: id, fence, result: OrderResult::Ready }
            }
            ChangeStep::RecordGone => {
                ControlItem::OrderDone { plan: id, fence, result: OrderResult::Refused }
            }
            ChangeStep::Open => ControlItem::Opened { duty, fence, plan: id },
        };
        self.control.append(item).await?;
        Ok(StepOutcome::Done)
    }

    /// Records the order in the control stream, then sends it to the engine
    async fn order(
        &self,
        plan: &EnginePlan,
        fence: Fence,
        lease: &LeaseHandle,
    ) -> Result<StepOutcome, StepError> {
        let lifetime_ms = self.context.settings.order_lifetime_ms;
        let duty = self.duty.clone();
        let item = ControlItem::OrderSent { duty, fence, plan: plan.id, lifetime_ms };
        self.control.append(item).await?;
        self.send(plan, fence, lease).await
    }

    async fn send(
        &self,
        plan: &EnginePlan,
        fence: Fence,
        lease: &LeaseHandle,
    ) -> Result<StepOutcome, StepError> {
        let Some(address) = self.address_of(plan) else {
            return Ok(StepOutcome::Done);
        };
        let order = EngineOrder {
            order: plan.id,
            fence,
            issuer: self.control.instance().clone(),
            target: plan.to.clone(),
        };
        let timeout = self.context.settings.call();
        if !lease_outlasts(lease, fence, timeout) {
            return Ok(StepOutcome::LeaseNotHeld);
        }
        log::info!("event=order plan={} engine={} fence={fence}", plan.id, plan.engine);
        match self.context.engines.order(address, &order, timeout).await {
            Ok(_) => Ok(StepOutcome::Done),
            Err(EngineError::Refused(RefusalReason::StaleFence)) => {
                let result = OrderResult::Refused;
                self.control
                    .append(ControlItem::OrderDone { plan: plan.id, fence, result })
                    .await?;
                Ok(StepOutcome::Done)
            }
            Err(error) => Err(StepError::Order(error)),
        }
    }

    async fn facts(&self, plan: &EnginePlan, held: HeldLease) -> ChangeFacts {
        let order = self.order_facts(plan, held.fence);
        let address = self.address_of(plan);
        let confirms = match order {
            OrderFacts::None => self.confirmations(plan).await,
            _ => ConfirmCount::default(),
        };
        let engine = match address {
            Some(address) => self.engine_state(address).await,
            None => None,
        };
        ChangeFacts {
            age: self.control.plan_observed(plan.id).unwrap_or_default(),
            own_plan: plan.fence == held.fence,
            order,
            confirms,
            listed: address.is_some(),
            engine: engine.map(|it| engine_facts(&it, plan, held.fence)),
        }
    }

    fn order_facts(&self, plan: &EnginePlan, fence: Fence) -> OrderFacts {
        if plan.step == PlanStep::Done {
            return OrderFacts::Done;
        }
        let Some(order) = plan.orders.last() else {
            return OrderFacts::None;
        };
        match order.end {
            None if order.fence == fence => OrderFacts::Own,
            None => {
                let facts = SenderFacts {
                    engine_fences: false,
                    is_unlisted: !self.entries().iter().any(|it| it.id == order.holder),
                    observed: self.control.order_observed(plan.id).unwrap_or_default(),
                };
                OrderFacts::Earlier { sender_gone: expiry_proof(order, facts).is_some() }
            }
            Some(OrderEnd::Done(_)) if order.fence == fence => OrderFacts::Refused,
            Some(_) => OrderFacts::None,
        }
    }

    /// Collects confirmations of the plan from all listed instances, including this one
    async fn confirmations(&self, plan: &EnginePlan) -> ConfirmCount {
        let request = ConfirmRequest {
            pool: self.pool.name().clone(),
            plan: plan.id,
            engine: plan.engine.clone(),
        };
        let entries = self.entries();
        let others = entries.iter().filter(|it| it.id != *self.control.instance());
        let pending: Vec<&ListedInstance> =
            others.filter(|it| !self.idle.contains(plan.id, it)).collect();
        let calls = pending.iter().map(|it| self.request_confirmation(it.address, request.clone()));
        let mut answers = join_all(calls).await;
        for (instance, answer) in pending.iter().zip(&answers) {
            if *answer == Some(0) {
                self.idle.insert(plan.id, instance);
            }
        }
        answers.push(self.exclusion.confirm(&request).ok().map(|it| it.in_flight));
        // Without a list it is unknown which instances must confirm, so one counts as missing.
        let unlisted = u32::from(entries.is_empty());
        ConfirmCount {
            missing: unlisted + answers.iter().filter(|it| it.is_none()).count() as u32,
            in_flight: answers.iter().flatten().sum(),
        }
    }

    async fn request_confirmation(
        &self,
        address: SocketAddr,
        request: ConfirmRequest,
    ) -> Option<u32> {
        let timeout = self.context.settings.call();
        let request = PeerRequest::ConfirmPlan(request);
        match self.context.peers.call(address, request, timeout).await {
            Ok(PeerReply::Confirmed(answer)) => Some(answer.in_flight),
            Ok(_) => None,
            Err(error) => {
                log::info!("event=plan_unconfirmed peer={address} reason=\"{error}\"");
                None
            }
        }
    }

    fn entries(&self) -> Vec<ListedInstance> {
        self.context.registry.entry_instances().borrow().clone()
    }

    fn address_of(&self, plan: &EnginePlan) -> Option<SocketAddr> {
        let reports = self.pool.reports();
        let is_planned_engine =
            |it: &&ListedInstance| it.id == plan.engine && it.kind == InstanceKind::Engine;
        reports.iter().map(|it| &it.0).find(is_planned_engine).map(|it| it.address)
    }
}

/// Whether the lease outlasts the timeout of a call that sends an order
fn lease_outlasts(lease: &LeaseHandle, fence: Fence, call: Duration) -> bool {
    let call_ends = tokio::time::Instant::now() + call;
    lease.held().is_some_and(|it| it.fence == fence && it.expires > call_ends)
}

fn engine_facts(state: &EngineState, plan: &EnginePlan, fence: Fence) -> EngineFacts {
    EngineFacts {
        ready: state.ready,
        on_target: state.target == plan.to,
        accepted_order: state.order == plan.id,
        in_flight: state.in_flight,
        checks_fence: state.checks_fence,
        received_fence: state.fence >= fence,
    }
}
