//! Fold of a control stream: leases, plans and orders of one pool.
//!
//! A lease claim names the lease's last offset and is accepted only if that is
//! still the last one; the waiting out of terms is the claimer's business. The
//! offset that began a tenure is its fencing number. Plans and orders count only
//! under the fencing number of the lease that is held, and an engine has at most
//! one open order.

use crate::stream::ItemPlace;
use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, Offset, OrderId};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::time::Duration;

/// Start of the name of every control stream; the pool follows.
pub const CONTROL_PREFIX: &str = "control.";
/// Closed plans that are kept for operators.
pub const MAX_CLOSED_PLANS: usize = 64;

/// Name of a duty that one instance at a time may hold.
pub type DutyName = SmolStr;

/// Item of the stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlItem {
    /// Claims or renews a lease
    LeaseClaim {
        /// Duty
        duty: DutyName,
        /// Last offset of the lease; 0 if it was never claimed
        base: Offset,
        /// Claimer
        holder: InstanceId,
        /// Fencing number of the tenure to renew; 0 to begin one
        fence: Fence,
        /// Term, in milliseconds
        term_ms: u64,
    },
    /// Gives a lease up
    LeaseRelease {
        /// Duty
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
    },
    /// Plans a change of an engine; the plan's id is its offset
    Plan {
        /// Duty under which it is planned
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Engine to change
        engine: EndpointId,
        /// What it serves
        from: ModelTarget,
        /// What it is to serve
        to: ModelTarget,
    },
    /// Withdraws a plan whose order has not been sent
    Withdrawn {
        /// Duty under which it is withdrawn
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan
        plan: OrderId,
    },
    /// Announces an order that is about to be sent
    OrderSent {
        /// Duty under which it is sent
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan that it carries out
        plan: OrderId,
        /// Longest time for which the order may still take effect, in milliseconds
        lifetime_ms: u64,
    },
    /// Tells that an order can't take effect any more
    OrderDone {
        /// Plan that it carried out
        plan: OrderId,
        /// Fencing number under which it was sent
        fence: Fence,
        /// How it ended
        result: OrderResult,
    },
    /// Frees an engine from an earlier holder's order
    OrderLapsed {
        /// Duty under which it is judged
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan of the order
        plan: OrderId,
        /// Why it can't take effect any more
        proof: LapseProof,
    },
    /// Opens a changed engine for requests again
    Opened {
        /// Duty under which it is opened
        duty: DutyName,
        /// Fencing number of the tenure
        fence: Fence,
        /// Plan
        plan: OrderId,
    },
}

/// End of an order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Engine plays its new part
    Ready,
    /// Engine refused the order
    Refused,
    /// Order never left
    Unsent,
}

/// Why an earlier holder's order can't take effect any more
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LapseProof {
    /// Engine refuses old fencing numbers and has seen a newer one
    EngineFences,
    /// Holder has left the list and the order's lifetime has run
    HolderGone,
}

/// Lease of a duty
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DutyLease {
    /// Who holds or held it last
    pub holder: InstanceId,
    /// Offset that began the tenure
    pub fence: Fence,
    /// Offset of the last claim, renewal or release
    pub last: Offset,
    /// Term, in milliseconds
    pub term_ms: u64,
    /// Whether the holder gave it up
    pub released: bool,
}

impl DutyLease {
    /// Time after a renewal for which it holds
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }
}

/// Planned change of an engine
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EnginePlan {
    /// Id: offset of the plan
    pub id: OrderId,
    /// Duty under which it was planned
    pub duty: DutyName,
    /// Fencing number under which it was planned
    pub fence: Fence,
    /// Engine to change
    pub engine: EndpointId,
    /// What it served
    pub from: ModelTarget,
    /// What it is to serve
    pub to: ModelTarget,
    /// How far it is
    pub step: PlanStep,
    /// Orders under the plan, oldest first; the last may be open
    pub orders: Vec<EngineOrder>,
    /// Time of the plan by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

impl EnginePlan {
    /// Order that may still take effect
    pub fn open_order(&self) -> Option<&EngineOrder> {
        self.orders.last().filter(|it| it.end.is_none())
    }

    /// Whether requests may not go to the engine
    pub fn is_open(&self) -> bool {
        matches!(self.step, PlanStep::Planned | PlanStep::Done)
    }
}

/// How far a plan is
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// Engine is to be drained and ordered
    Planned,
    /// Engine plays its new part and isn't open yet
    Done,
    /// Engine is open for requests
    Opened,
    /// Given up
    Withdrawn,
}

/// Order sent under a plan
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineOrder {
    /// Who sent it
    pub holder: InstanceId,
    /// Fencing number that it carries
    pub fence: Fence,
    /// Offset of its announcement
    pub offset: Offset,
    /// Longest time for which it may take effect, in milliseconds
    pub lifetime_ms: u64,
    /// How it ended; none while it may take effect
    pub end: Option<OrderEnd>,
}

impl EngineOrder {
    /// Longest time for which it may take effect
    pub fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime_ms)
    }
}

/// How an order ended
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// Its sender said so
    Done(OrderResult),
    /// A later holder proved that it can't act
    Lapsed(LapseProof),
}

/// What became of an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlOutcome {
    /// Took effect at this offset
    Accepted(Offset),
    /// Has no effect
    Refused(ControlRefusal),
}

/// Why an item has no effect
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ControlRefusal {
    /// lease has moved on to offset {0}
    LeaseMoved(Offset),
    /// fencing number is not that of the lease
    Fenced,
    /// engine has an open plan
    EngineBusy,
    /// no such plan in this step
    PlanStep,
    /// engine has an open order of an earlier tenure
    OrderOpen,
}

impl std::error::Error for ControlRefusal {}

/// Leases, plans and orders of a pool after an offset
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ControlView {
    leases: IndexMap<DutyName, DutyLease>,
    plans: IndexMap<OrderId, EnginePlan>,
    closed: Vec<EnginePlan>,
}

impl ControlView {
    /// Lease of a duty
    pub fn lease(&self, duty: &str) -> Option<&DutyLease> {
        self.leases.get(duty)
    }

    /// All leases by duty
    pub fn leases(&self) -> impl Iterator<Item = (&DutyName, &DutyLease)> {
        self.leases.iter()
    }

    /// Last offset of a duty's lease; 0 if it was never claimed
    pub fn lease_offset(&self, duty: &str) -> Offset {
        self.leases.get(duty).map_or(0, |it| it.last)
    }

    /// Open plans, oldest first
    pub fn plans(&self) -> impl Iterator<Item = &EnginePlan> {
        self.plans.values()
    }

    /// Open plan of an id
    pub fn plan(&self, id: OrderId) -> Option<&EnginePlan> {
        self.plans.get(&id)
    }

    /// Open plan of an engine
    pub fn plan_of(&self, engine: &str) -> Option<&EnginePlan> {
        self.plans.values().find(|it| it.engine == engine)
    }

    /// Closed plans that are kept, oldest first
    pub fn closed(&self) -> &[EnginePlan] {
        &self.closed
    }

    /// Order to the engine that may still take effect
    pub fn open_order(&self, engine: &str) -> Option<&EngineOrder> {
        self.plan_of(engine).and_then(EnginePlan::open_order)
    }

    /// Folds one item
    pub fn apply(&mut self, place: ItemPlace, item: &ControlItem) -> ControlOutcome {
        let applied = match item {
            ControlItem::LeaseClaim { .. } => self.claim(place, item),
            ControlItem::LeaseRelease { duty, fence } => self.release(place, duty, *fence),
            ControlItem::Plan { .. } => self.add_plan(place, item),
            ControlItem::Withdrawn { duty, fence, plan } => self.withdraw(duty, *fence, *plan),
            ControlItem::OrderSent { duty, fence, plan, lifetime_ms } => {
                self.send_order(place, duty, *fence, *plan, *lifetime_ms)
            }
            ControlItem::OrderDone { plan, fence, result } => {
                self.end_order(*plan, *fence, *result)
            }
            ControlItem::OrderLapsed { duty, fence, plan, proof } => {
                self.lapse_order(duty, *fence, *plan, *proof)
            }
            ControlItem::Opened { duty, fence, plan } => self.open(duty, *fence, *plan),
        };
        match applied {
            Ok(()) => ControlOutcome::Accepted(place.offset),
            Err(refusal) => ControlOutcome::Refused(refusal),
        }
    }

    fn claim(&mut self, place: ItemPlace, item: &ControlItem) -> Result<(), ControlRefusal> {
        let ControlItem::LeaseClaim { duty, base, holder, fence, term_ms } = item else {
            return Ok(());
        };
        let last = self.lease_offset(duty);
        if *base != last {
            return Err(ControlRefusal::LeaseMoved(last));
        }
        let fence = if *fence == 0 { place.offset } else { self.renewable(duty, holder, *fence)? };
        let lease = DutyLease {
            holder: holder.clone(),
            fence,
            last: place.offset,
            term_ms: *term_ms,
            released: false,
        };
        self.leases.insert(duty.clone(), lease);
        Ok(())
    }

    fn renewable(
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
        place: ItemPlace,
        duty: &str,
        fence: Fence,
    ) -> Result<(), ControlRefusal> {
        self.check_fence(duty, fence)?;
        if let Some(lease) = self.leases.get_mut(duty) {
            lease.released = true;
            lease.last = place.offset;
        }
        Ok(())
    }

    fn check_fence(&self, duty: &str, fence: Fence) -> Result<(), ControlRefusal> {
        match self.leases.get(duty) {
            Some(lease) if lease.fence == fence && !lease.released => Ok(()),
            _ => Err(ControlRefusal::Fenced),
        }
    }

    fn add_plan(&mut self, place: ItemPlace, item: &ControlItem) -> Result<(), ControlRefusal> {
        let ControlItem::Plan { duty, fence, engine, from, to } = item else {
            return Ok(());
        };
        self.check_fence(duty, *fence)?;
        if self.plan_of(engine).is_some() {
            return Err(ControlRefusal::EngineBusy);
        }
        let plan = EnginePlan {
            id: place.offset,
            duty: duty.clone(),
            fence: *fence,
            engine: engine.clone(),
            from: from.clone(),
            to: to.clone(),
            step: PlanStep::Planned,
            orders: Vec::new(),
            time_ms: place.time_ms,
        };
        self.plans.insert(plan.id, plan);
        Ok(())
    }

    fn planned(
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
        let plan = self.planned(duty, fence, plan, PlanStep::Planned)?;
        if plan.open_order().is_some() {
            return Err(ControlRefusal::OrderOpen);
        }
        let id = plan.id;
        self.close(id, PlanStep::Withdrawn);
        Ok(())
    }

    fn send_order(
        &mut self,
        place: ItemPlace,
        duty: &str,
        fence: Fence,
        plan: OrderId,
        lifetime_ms: u64,
    ) -> Result<(), ControlRefusal> {
        let holder = self.leases.get(duty).map(|it| it.holder.clone()).unwrap_or_default();
        let plan = self.planned(duty, fence, plan, PlanStep::Planned)?;
        let order = EngineOrder { holder, fence, offset: place.offset, lifetime_ms, end: None };
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

    fn lapse_order(
        &mut self,
        duty: &str,
        fence: Fence,
        plan: OrderId,
        proof: LapseProof,
    ) -> Result<(), ControlRefusal> {
        let plan = self.planned(duty, fence, plan, PlanStep::Planned)?;
        let open = plan.orders.last_mut().filter(|it| it.end.is_none() && it.fence < fence);
        let order = open.ok_or(ControlRefusal::PlanStep)?;
        order.end = Some(OrderEnd::Lapsed(proof));
        Ok(())
    }

    fn open(&mut self, duty: &str, fence: Fence, plan: OrderId) -> Result<(), ControlRefusal> {
        let id = self.planned(duty, fence, plan, PlanStep::Done)?.id;
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

/// What a new holder knows of the sender of an open order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderFacts {
    /// Whether the engine refuses old fencing numbers and has confirmed the new one
    pub engine_fences: bool,
    /// Whether the sender is absent from the platform's list
    pub left_list: bool,
    /// Time since this instance first saw the order's announcement
    pub observed: Duration,
}

/// Proof that an earlier holder's order can't take effect any more, if there is one.
///
/// A sender that is still listed may be paused between its announcement and its
/// order, for any time; only an engine that checks fencing numbers is safe from it.
pub fn lapse_proof(order: &EngineOrder, facts: SenderFacts) -> Option<LapseProof> {
    if facts.engine_fences {
        return Some(LapseProof::EngineFences);
    }
    let is_gone = facts.left_list && facts.observed >= order.lifetime();
    is_gone.then_some(LapseProof::HolderGone)
}
