//! Carries out the open plan of a pool, a step at a time.

use super::PlannerParts;
use super::gate::PlanGate;
use crate::pool::EndpointPool;
use catalogue::id::{Fence, InstanceId, OrderId};
use catalogue::{InstanceKind, ListedInstance};
use coordination::control::{ControlError, ControlHandle};
use coordination::lease::{HeldLease, LeaseKeeper};
use decide::change::{ChangeFacts, ChangeStep, ConfirmCount, EngineFacts, OrderFacts, next_step};
use futures_util::future::join_all;
use indexmap::IndexSet;
use peer::message::{PeerReply, PeerRequest, PlanQuestion};
use platform::engine::{EngineError, EngineOrder, EngineState, RefusalReason};
use state::control::{
    ControlItem, DutyName, EnginePlan, LapseProof, OrderEnd, OrderResult, PlanStep, SenderFacts,
    lapse_proof,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What changes of a pool's engines are carried out with
#[derive(Debug, Clone)]
pub struct ChangeDesk {
    /// Parts of the instance
    pub parts: PlannerParts,
    /// Pool
    pub pool: Arc<EndpointPool>,
    /// Control stream of the pool
    pub control: ControlHandle,
    /// Duty whose lease orders are given under
    pub duty: DutyName,
    /// Own gate of the pool
    pub gate: PlanGate,
    /// Instances that need not be asked again
    pub idle: IdleInstances,
}

/// Instances that have confirmed a plan with nothing in flight
///
/// Once an instance has read the plan it sends the engine nothing more, so it stays
/// idle there. A replaced one reads the plan before it is ready.
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
    fn has(&self, plan: OrderId, instance: &ListedInstance) -> bool {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.plan == plan && table.instances.contains(&(instance.id.clone(), instance.address))
    }

    fn note(&self, plan: OrderId, instance: &ListedInstance) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if table.plan != plan {
            *table = IdleTable { plan, instances: IndexSet::new() };
        }
        table.instances.insert((instance.id.clone(), instance.address));
    }
}

/// How a step ended
#[derive(Debug)]
pub enum StepEnd {
    /// Taken, or nothing to do yet
    Taken,
    /// Lease is not held for long enough
    NotHeld,
    /// Failed; to be tried again
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

impl ChangeDesk {
    /// Takes the next step of a plan
    pub async fn step(&self, plan: OrderId, keeper: &LeaseKeeper) -> StepEnd {
        let (Some(plan), Some(lease)) = (self.control.view().plan(plan).cloned(), keeper.held())
        else {
            return StepEnd::NotHeld;
        };
        let facts = self.facts(&plan, lease).await;
        let step = next_step(&facts, &self.parts.settings.bounds());
        log::info!(
            "event=plan_step pool={} plan={} engine={} step={step:?} missing={} in_flight={} age_ms={}",
            self.pool.name(),
            plan.id,
            plan.engine,
            facts.confirms.missing,
            facts.confirms.in_flight,
            facts.age.as_millis(),
        );
        match self.act(step, &plan, lease.fence, keeper).await {
            Ok(end) => end,
            Err(error) => StepEnd::Failed(error),
        }
    }

    /// State of an engine, if it answers
    pub async fn engine_state(&self, address: SocketAddr) -> Option<EngineState> {
        match self.parts.engines.state(address, self.parts.settings.call()).await {
            Ok(state) => Some(state),
            Err(error) => {
                log::info!("event=engine_state_unread address={address} reason=\"{error}\"");
                None
            }
        }
    }

    async fn act(
        &self,
        step: ChangeStep,
        plan: &EnginePlan,
        fence: Fence,
        keeper: &LeaseKeeper,
    ) -> Result<StepEnd, StepError> {
        let duty = self.duty.clone();
        let id = plan.id;
        let item = match step {
            ChangeStep::Wait(_) => return Ok(StepEnd::Taken),
            ChangeStep::Order => return self.order(plan, fence, keeper).await,
            ChangeStep::RaiseFence => return self.send(plan, fence, keeper).await,
            ChangeStep::Withdraw(_) => ControlItem::Withdrawn { duty, fence, plan: id },
            ChangeStep::Lapse { engine_fences } => {
                let proof =
                    if engine_fences { LapseProof::EngineFences } else { LapseProof::HolderGone };
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
        Ok(StepEnd::Taken)
    }

    /// Announces the order and sends it once the fold has the announcement
    async fn order(
        &self,
        plan: &EnginePlan,
        fence: Fence,
        keeper: &LeaseKeeper,
    ) -> Result<StepEnd, StepError> {
        let lifetime_ms = self.parts.settings.order_lifetime_ms;
        let duty = self.duty.clone();
        let item = ControlItem::OrderSent { duty, fence, plan: plan.id, lifetime_ms };
        self.control.append(item).await?;
        self.send(plan, fence, keeper).await
    }

    async fn send(
        &self,
        plan: &EnginePlan,
        fence: Fence,
        keeper: &LeaseKeeper,
    ) -> Result<StepEnd, StepError> {
        let Some(address) = self.address_of(plan) else {
            return Ok(StepEnd::Taken);
        };
        let order = EngineOrder {
            order: plan.id,
            fence,
            issuer: self.control.instance().clone(),
            target: plan.to.clone(),
        };
        let timeout = self.parts.settings.call();
        if !outlasts(keeper, fence, timeout) {
            return Ok(StepEnd::NotHeld);
        }
        log::info!("event=order plan={} engine={} fence={fence}", plan.id, plan.engine);
        match self.parts.engines.order(address, &order, timeout).await {
            Ok(_) => Ok(StepEnd::Taken),
            Err(EngineError::Refused(RefusalReason::StaleFence)) => {
                let result = OrderResult::Refused;
                self.control
                    .append(ControlItem::OrderDone { plan: plan.id, fence, result })
                    .await?;
                Ok(StepEnd::Taken)
            }
            Err(error) => Err(StepError::Order(error)),
        }
    }

    async fn facts(&self, plan: &EnginePlan, lease: HeldLease) -> ChangeFacts {
        let order = self.order_facts(plan, lease.fence);
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
            own_plan: plan.fence == lease.fence,
            order,
            confirms,
            listed: address.is_some(),
            engine: engine.map(|it| engine_facts(&it, plan, lease.fence)),
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
                    left_list: !self.entries().iter().any(|it| it.id == order.holder),
                    observed: self.control.order_observed(plan.id).unwrap_or_default(),
                };
                OrderFacts::Earlier { sender_gone: lapse_proof(order, facts).is_some() }
            }
            Some(OrderEnd::Done(_)) if order.fence == fence => OrderFacts::Refused,
            Some(_) => OrderFacts::None,
        }
    }

    /// Asks every listed instance, this one included, to confirm the plan
    async fn confirmations(&self, plan: &EnginePlan) -> ConfirmCount {
        let question = PlanQuestion {
            pool: self.pool.name().clone(),
            plan: plan.id,
            engine: plan.engine.clone(),
        };
        let entries = self.entries();
        let others = entries.iter().filter(|it| it.id != *self.control.instance());
        let busy: Vec<&ListedInstance> = others.filter(|it| !self.idle.has(plan.id, it)).collect();
        let asked = busy.iter().map(|it| self.ask(it.address, question.clone()));
        let mut answers = join_all(asked).await;
        for (instance, answer) in busy.iter().zip(&answers) {
            if *answer == Some(0) {
                self.idle.note(plan.id, instance);
            }
        }
        answers.push(self.gate.confirm(&question).ok().map(|it| it.in_flight));
        // Without a list nobody knows who has to confirm.
        let unlisted = u32::from(entries.is_empty());
        ConfirmCount {
            missing: unlisted + answers.iter().filter(|it| it.is_none()).count() as u32,
            in_flight: answers.iter().flatten().sum(),
        }
    }

    async fn ask(&self, address: SocketAddr, question: PlanQuestion) -> Option<u32> {
        let timeout = self.parts.settings.call();
        let request = PeerRequest::ConfirmPlan(question);
        match self.parts.peers.call(address, request, timeout).await {
            Ok(PeerReply::Confirmed(answer)) => Some(answer.in_flight),
            Ok(_) => None,
            Err(error) => {
                log::info!("event=plan_unconfirmed peer={address} reason=\"{error}\"");
                None
            }
        }
    }

    fn entries(&self) -> Vec<ListedInstance> {
        self.parts.registry.entry_instances().borrow().clone()
    }

    fn address_of(&self, plan: &EnginePlan) -> Option<SocketAddr> {
        let reports = self.pool.reports();
        let is_engine =
            |it: &&ListedInstance| it.id == plan.engine && it.kind == InstanceKind::Engine;
        reports.iter().map(|it| &it.0).find(is_engine).map(|it| it.address)
    }
}

/// Whether the lease holds for as long as an order may be under way
fn outlasts(keeper: &LeaseKeeper, fence: Fence, call: Duration) -> bool {
    let answered = tokio::time::Instant::now() + call;
    keeper.held().is_some_and(|it| it.fence == fence && it.expires > answered)
}

fn engine_facts(state: &EngineState, plan: &EnginePlan, fence: Fence) -> EngineFacts {
    EngineFacts {
        ready: state.ready,
        on_target: state.target == plan.to,
        took_order: state.order == plan.id,
        in_flight: state.in_flight,
        checks_fence: state.checks_fence,
        saw_fence: state.fence >= fence,
    }
}
