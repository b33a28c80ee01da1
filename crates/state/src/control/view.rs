//! Fold of a pool's leases, plans and orders.

use super::item::{
    ControlItem, ControlOutcome, ControlRefusal, DutyName, ExpiryProof, OrderResult,
};
use super::plan::{DutyLease, EngineOrder, EnginePlan, OrderEnd, PlanStep};
use crate::stream::ItemPosition;
use catalogue::id::{Fence, InstanceId, Offset, OrderId};
use indexmap::IndexMap;

/// Maximum number of closed plans kept for operators.
pub const MAX_CLOSED_PLANS: usize = 64;

/// Leases, plans and orders of a pool as folded through an offset
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ControlView {
    leases: IndexMap<DutyName, DutyLease>,
    plans: IndexMap<OrderId, EnginePlan>,
    closed: Vec<EnginePlan>,
}

impl ControlView {
    pub fn lease(&self, duty: &str) -> Option<&DutyLease> {
        self.leases.get(duty)
    }

    pub fn leases(&self) -> impl Iterator<Item = (&DutyName, &DutyLease)> {
        self.leases.iter()
    }

    /// Last offset of a duty's lease; 0 if the duty was never claimed
    pub fn lease_offset(&self, duty: &str) -> Offset {
        self.leases.get(duty).map_or(0, |it| it.last)
    }

    /// Open plans, oldest first
    pub fn plans(&self) -> impl Iterator<Item = &EnginePlan> {
        self.plans.values()
    }

    /// Open plan with this id
    pub fn plan(&self, id: OrderId) -> Option<&EnginePlan> {
        self.plans.get(&id)
    }

    /// Open plan of an engine
    pub fn plan_for_engine(&self, engine: &str) -> Option<&EnginePlan> {
        self.plans.values().find(|it| it.engine == engine)
    }

    /// Closed plans that are kept, oldest first
    pub fn closed(&self) -> &[EnginePlan] {
        &self.closed
    }

    /// Order to an engine that may still take effect
    pub fn open_order(&self, engine: &str) -> Option<&EngineOrder> {
        self.plan_for_engine(engine).and_then(EnginePlan::open_order)
    }

    /// Folds one item
    pub fn apply(&mut self, position: ItemPosition, item: &ControlItem) -> ControlOutcome {
        let applied = match item {
            ControlItem::LeaseClaim { .. } => self.claim(position, item),
            ControlItem::LeaseRelease { duty, fence } => self.release(position, duty, *fence),
            ControlItem::Plan { .. } => self.add_plan(position, item),
            ControlItem::Withdrawn { duty, fence, plan } => self.withdraw(duty, *fence, *plan),
            ControlItem::OrderSent { duty, fence, plan, lifetime_ms } => {
                self.send_order(position, duty, *fence, *plan, *lifetime_ms)
            }
            ControlItem::OrderDone { plan, fence, result } => {
                self.end_order(*plan, *fence, *result)
            }
            ControlItem::OrderLapsed { duty, fence, plan, proof } => {
                self.expire_order(duty, *fence, *plan, *proof)
            }
            ControlItem::Opened { duty, fence, plan } => self.open(duty, *fence, *plan),
        };
        match applied {
            Ok(()) => ControlOutcome::Accepted(position.offset),
            Err(refusal) => ControlOutcome::Refused(refusal),
        }
    }

    fn claim(&mut self, position: ItemPosition, item: &ControlItem) -> Result<(), ControlRefusal> {
        let ControlItem::LeaseClaim { duty, base, holder, fence, term_ms } = item else {
            return Ok(());
        };
        let last = self.lease_offset(duty);
        if *base != last {
            return Err(ControlRefusal::LeaseMoved(last));
        }
        let fence =
            if *fence == 0 { position.offset } else { self.check_renewal(duty, holder, *fence)? };
        let lease = DutyLease {
            holder: holder.clone(),
            fence,
            last: position.offset,
            term_ms: *term_ms,
            released: false,
        };
        self.leases.insert(duty.clone(), lease);
        Ok(())
    }

    fn check_renewal(
        &self,
        duty: &str,
        holder: &InstanceId,
        fence: Fence,
    ) -> Result<Fence, ControlRefusal> {
        let is_same = |it: &&DutyLease| it.fence == fence && it.holder == *holder && !it.released;
        let lease = self.leases.get(duty).filter(is_same);
        lease.map(|it| it.fence).ok_or(ControlRefusal::Fenced)
    }

    fn release(
        &mut self,
        position: ItemPosition,
        duty: &str,
        fence: Fence,
    ) -> Result<(), ControlRefusal> {
        self.check_fence(duty, fence)?;
        if let Some(lease) = self.leases.get_mut(duty) {
            lease.released = true;
            lease.last = position.offset;
        }
        Ok(())
    }

    fn check_fence(&self, duty: &str, fence: Fence) -> Result<(), ControlRefusal> {
        match self.leases.get(duty) {
            Some(lease) if lease.fence == fence && !lease.released => Ok(()),
            _ => Err(ControlRefusal::Fenced),
        }
    }

    fn add_plan(
        &mut self,
        position: ItemPosition,
        item: &ControlItem,
    ) -> Result<(), ControlRefusal> {
        let ControlItem::Plan { duty, fence, engine, from, to } = item else {
            return Ok(());
        };
        self.check_fence(duty, *fence)?;
        if self.plan_for_engine(engine).is_some() {
            return Err(ControlRefusal::EngineBusy);
        }
        let plan = EnginePlan {
            id: position.offset,
            duty: duty.clone(),
            fence: *fence,
            engine: engine.clone(),
            from: from.clone(),
            to: to.clone(),
            step: PlanStep::Planned,
            orders: Vec::new(),
            time_ms: position.time_ms,
        };
        self.plans.insert(plan.id, plan);
        Ok(())
    }

    fn plan_in_step(
        &mut self,
        duty: &str,
        fence: Fence,
        plan: OrderId,
        step: PlanStep,
    ) -> Result<&mut EnginePlan, ControlRefusal> {
        self.check_fence(duty, fence)?;
        let plan = self.plans.get_mut(&plan);
        plan.filter(|it| it.duty == duty && it.step == step).ok_or(ControlRefusal::PlanStep)
    }

    fn withdraw(&mut self, duty: &str, fence: Fence, plan: OrderId) -> Result<(), ControlRefusal> {
        let plan = self.plan_in_step(duty, fence, plan, PlanStep::Planned)?;
        if plan.open_order().is_some() {
            return Err(ControlRefusal::OrderOpen);
        }
        let id = plan.id;
        self.close(id, PlanStep::Withdrawn);
        Ok(())
    }

    fn send_order(
        &mut self,
        position: ItemPosition,
        duty: &str,
        fence: Fence,
        plan: OrderId,
        lifetime_ms: u64,
    ) -> Result<(), ControlRefusal> {
        let holder = self.leases.get(duty).map(|it| it.holder.clone()).unwrap_or_default();
        let plan = self.plan_in_step(duty, fence, plan, PlanStep::Planned)?;
        let order = EngineOrder { holder, fence, offset: position.offset, lifetime_ms, end: None };
        match plan.orders.last_mut().filter(|it| it.end.is_none()) {
            Some(open) if open.fence == fence => *open = order,
            Some(_) => return Err(ControlRefusal::OrderOpen),
            None => plan.orders.push(order),
        }
        Ok(())
    }

    fn end_order(
        &mut self,
        plan: OrderId,
        fence: Fence,
        result: OrderResult,
    ) -> Result<(), ControlRefusal> {
        let plan = self.plans.get_mut(&plan).ok_or(ControlRefusal::PlanStep)?;
        let open = plan.orders.last_mut().filter(|it| it.end.is_none() && it.fence == fence);
        let order = open.ok_or(ControlRefusal::PlanStep)?;
        order.end = Some(OrderEnd::Done(result));
        if result == OrderResult::Ready {
            plan.step = PlanStep::Done;
        }
        Ok(())
    }

    fn expire_order(
        &mut self,
        duty: &str,
        fence: Fence,
        plan: OrderId,
        proof: ExpiryProof,
    ) -> Result<(), ControlRefusal> {
        let plan = self.plan_in_step(duty, fence, plan, PlanStep::Planned)?;
        let open = plan.orders.last_mut().filter(|it| it.end.is_none() && it.fence < fence);
        let order = open.ok_or(ControlRefusal::PlanStep)?;
        order.end = Some(OrderEnd::Expired(proof));
        Ok(())
    }

    fn open(&mut self, duty: &str, fence: Fence, plan: OrderId) -> Result<(), ControlRefusal> {
        let id = self.plan_in_step(duty, fence, plan, PlanStep::Done)?.id;
        self.close(id, PlanStep::Opened);
        Ok(())
    }

    fn close(&mut self, id: OrderId, step: PlanStep) {
        let Some(mut plan) = self.plans.shift_remove(&id) else {
            return;
        };
        plan.step = step;
        self.closed.push(plan);
        if self.closed.len() > MAX_CLOSED_PLANS {
            self.closed.remove(0);
        }
    }
}
