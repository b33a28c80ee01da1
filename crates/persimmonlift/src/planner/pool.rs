//! Planner of one pool: takes one step per tick.
//!
//! The holder of the lease carries out the open plan, or makes one if none is open.
//! Ticks never overlap, and each step reads the current state again.

use super::PlannerContext;
use super::change::{ChangeExecutor, IdleInstances, StepOutcome};
use super::exclusion::PlanExclusion;
use super::input::{MixTracker, plan_input, wanted_change, wanted_models};
use super::settings::RoleRule;
use crate::pool::EndpointPool;
use catalogue::id::{EndpointId, PoolName};
use catalogue::{EngineRole, InstanceKind, InstanceState, ListedInstance, ModelTarget};
use coordination::control::ControlHandle;
use coordination::lease::{HeldLease, LeaseHandle};
use decide::plan::{PlanReason, plan_roles};
use decide::threshold::plan_roles_by_threshold;
use platform::engine::LoadReport;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use smol_str::format_smolstr;
use state::control::{ControlItem, DutyName, PlanStep};
use std::sync::Arc;
use std::time::Instant;

/// Handle of a pool's planner; dropping the last clone stops it
#[derive(Clone)]
pub struct PoolPlannerHandle {
    pub(super) exclusion: PlanExclusion,
    pub(super) control: ControlHandle,
    lease: LeaseHandle,
    _guard: Arc<PoolGuard>,
}

impl std::fmt::Debug for PoolPlannerHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PoolPlannerHandle").finish_non_exhaustive()
    }
}

struct PoolGuard(ActorRef<PoolMessage>);

impl Drop for PoolGuard {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}

impl PoolPlannerHandle {
    /// Releases the lease
    pub async fn release(&self) {
        self.lease.release().await;
    }
}

/// Message to the planner of a pool
#[derive(Debug)]
pub enum PoolMessage {
    /// Take a step
    Tick,
}

#[derive(Debug)]
pub struct PoolPlanner;

/// State of the planner of one pool
pub struct PoolState {
    executor: ChangeExecutor,
    lease: LeaseHandle,
    mix: MixTracker,
    last_opened: usize,
    last_change: Option<Instant>,
    last_reason: Option<PlanReason>,
}

impl PoolPlanner {
    /// Starts to follow a pool and to apply for its planner lease
    ///
    /// # Errors
    /// `ractor::SpawnErr` if an actor can't be started.
    pub async fn start(
        context: PlannerContext,
        pool: Arc<EndpointPool>,
    ) -> Result<PoolPlannerHandle, ractor::SpawnErr> {
        let control = ControlHandle::start(context.shared.clone(), pool.name()).await?;
        let duty = planner_duty(pool.name());
        let lease =
            LeaseHandle::start(control.clone(), duty.clone(), context.settings.lease()).await?;
        let exclusion = PlanExclusion::new(control.clone(), pool.clone());
        tokio::spawn(exclusion.clone().follow());
        let executor = ChangeExecutor {
            context,
            pool,
            control: control.clone(),
            duty,
            exclusion: exclusion.clone(),
            idle: IdleInstances::default(),
        };
        let state = PoolState {
            executor,
            lease: lease.clone(),
            mix: MixTracker::default(),
            last_opened: 0,
            last_change: None,
            last_reason: None,
        };
        let (actor, _) = Actor::spawn(None, PoolPlanner, state).await?;
        Ok(PoolPlannerHandle { exclusion, control, lease, _guard: Arc::new(PoolGuard(actor)) })
    }
}

/// Duty name of a pool's planner lease
pub fn planner_duty(pool: &PoolName) -> DutyName {
    format_smolstr!("planner.{pool}")
}

impl Actor for PoolPlanner {
    type Msg = PoolMessage;
    type State = PoolState;
    type Arguments = PoolState;

    async fn pre_start(
        &self,
        myself: ActorRef<PoolMessage>,
        state: PoolState,
    ) -> Result<PoolState, ActorProcessingErr> {
        myself.send_after(state.executor.context.settings.tick(), || PoolMessage::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<PoolMessage>,
        message: PoolMessage,
        state: &mut PoolState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PoolMessage::Tick => state.tick().await,
        }
        myself.send_after(state.executor.context.settings.tick(), || PoolMessage::Tick);
        Ok(())
    }
}

impl PoolState {
    async fn tick(&mut self) {
        let reports = self.executor.pool.reports();
        let mix = self.mix.update(&reports, Instant::now());
        self.note_closed_plans();
        let Some(held) = self.lease.held() else {
            return;
        };
        let plans: Vec<_> = self.executor.control.view().plans().map(|it| it.id).collect();
        for plan in &plans {
            let end = self.executor.step(*plan, &self.lease).await;
            if let StepOutcome::Failed(error) = end {
                log::warn!("event=plan_step_failed plan={plan} reason=\"{error}\"");
            }
        }
        if !plans.is_empty() {
            return;
        }
        if self.plan_models(&reports, held).await {
            return;
        }
        if self.executor.context.settings.roles {
            self.plan_roles(mix, held).await;
        }
    }

    fn note_closed_plans(&mut self) {
        let view = self.executor.control.view();
        let last = view.closed().iter().rfind(|it| it.step == PlanStep::Opened);
        let last_opened = last.map_or(0, |it| it.id as usize);
        if last_opened != self.last_opened {
            self.last_opened = last_opened;
            self.last_change = Some(Instant::now());
        }
    }

    /// Plans to load a model that entries need, on one engine at a time; returns whether a
    /// plan was made
    async fn plan_models(
        &self,
        reports: &[(ListedInstance, Option<LoadReport>)],
        held: HeldLease,
    ) -> bool {
        let catalogue = self.executor.context.catalogue.view();
        for (engine, _) in reports.iter().filter(|it| is_changeable(it)) {
            let wanted = wanted_models(&catalogue, self.executor.pool.name(), &engine.id);
            let Some(state) = self.executor.engine_state(engine.address).await else {
                continue;
            };
            let Some(target) = wanted_change(&state.target, &wanted) else {
                continue;
            };
            if self.store_has_capacity(&target).await {
                return self.plan(&engine.id, state.target, target, held, "model").await;
            }
        }
        false
    }

    async fn store_has_capacity(&self, target: &ModelTarget) -> bool {
        let bound = self.executor.context.settings.store_wait();
        match self.executor.context.weights.report().await {
            Ok(report) => {
                let time = report.load_time(&target.model, &target.version);
                if time.is_none() {
                    log::warn!("event=weights_missing model={}", target.model);
                }
                time.is_some_and(|it| it <= bound)
            }
            Err(error) => {
                log::warn!("event=weights_unread reason=\"{error}\"");
                false
            }
        }
    }

    async fn plan_roles(&mut self, mix: decide::mix::WorkloadMix, held: HeldLease) {
        let executor = &self.executor;
        let since_last_change = self.last_change.map(|it| it.elapsed());
        let view = executor.control.view();
        let input =
            plan_input(&executor.pool, &view, mix, &executor.context.settings, since_last_change);
        let decision = match executor.context.settings.rule {
            RoleRule::Cost => plan_roles(&input),
            RoleRule::Threshold => plan_roles_by_threshold(&input),
        };
        if decision.change.is_some() || self.last_reason != Some(decision.reason) {
            log::info!(
                "event=plan_roles pool={} engines={} prompt_per_s={:.0} output_per_s={:.0} load={:.2} load_after={:.2} reason=\"{}\"",
                executor.pool.name(),
                input.engines.len(),
                mix.prompt_tokens_per_s,
                mix.output_tokens_per_s,
                decision.load_now,
                decision.load_after,
                decision.reason,
            );
        }
        self.last_reason = Some(decision.reason);
        let Some(change) = decision.change else {
            return;
        };
        self.plan_role(&change.engine, change.to, held).await;
    }

    async fn plan_role(&self, engine: &EndpointId, role: EngineRole, held: HeldLease) {
        let reports = self.executor.pool.reports();
        let Some((listed, _)) = reports.iter().find(|it| it.0.id == *engine) else {
            return;
        };
        let Some(state) = self.executor.engine_state(listed.address).await else {
            return;
        };
        let target = ModelTarget { role, ..state.target.clone() };
        self.plan(engine, state.target, target, held, "role").await;
    }

    async fn plan(
        &self,
        engine: &EndpointId,
        from: ModelTarget,
        to: ModelTarget,
        held: HeldLease,
        cause: &str,
    ) -> bool {
        log::info!(
            "event=plan pool={} engine={engine} cause={cause} from={} to={} version={} fence={}",
            self.executor.pool.name(),
            from.role.name(),
            to.role.name(),
            to.version,
            held.fence,
        );
        let item = ControlItem::Plan {
            duty: self.executor.duty.clone(),
            fence: held.fence,
            engine: engine.clone(),
            from,
            to,
        };
        match self.executor.control.append(item).await {
            Ok(_) => true,
            Err(error) => {
                log::warn!("event=plan_not_made engine={engine} reason=\"{error}\"");
                false
            }
        }
    }
}

fn is_changeable(engine: &(ListedInstance, Option<LoadReport>)) -> bool {
    let (listed, report) = engine;
    let is_live = listed.kind == InstanceKind::Engine && listed.state == InstanceState::Live;
    is_live && report.as_ref().is_some_and(|it| it.accepting)
}
