//! Planned changes of engines' roles and models.
//!
//! For each pool of engines, every instance follows the pool's control stream and sends
//! no new work to engines with an open plan (`exclusion`). One instance at a time holds
//! the pool's planner lease. It plans a change if `decide::plan` finds one worthwhile
//! for the current load (`input`), and carries it out step by step (`change`): plan,
//! confirmations, drain, order, opening. The holder keeps no state of its own: a new
//! holder continues from the control stream and the engine's state.

pub mod change;
pub mod exclusion;
pub mod input;
pub mod pool;
pub mod settings;

use crate::pool::EndpointPool;
use crate::registry::EndpointRegistry;
use catalogue::InstanceKind;
use catalogue::id::PoolName;
use coordination::catalogue::CatalogueHandle;
use coordination::control::ControlHandle;
use coordination::shared::SharedLog;
use exclusion::PlanExclusion;
use indexmap::IndexMap;
use peer::client::PeerClient;
use peer::message::{ConfirmReply, ConfirmRequest};
use platform::engine::EngineClient;
use platform::weights::WeightClient;
use pool::{PoolPlanner, PoolPlannerHandle};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use settings::PlannerSettings;
use std::sync::{Arc, Mutex, PoisonError};

/// Settings, clients and views that planning uses
#[derive(Debug, Clone)]
pub struct PlannerContext {
    pub settings: PlannerSettings,
    /// Access to the log
    pub shared: SharedLog,
    /// Source of the models that entries need
    pub catalogue: CatalogueHandle,
    /// Endpoints and listed instances
    pub registry: Arc<EndpointRegistry>,
    /// Client of other instances
    pub peers: PeerClient,
    /// Client of engines
    pub engines: EngineClient,
    /// Client of the weight store
    pub weights: WeightClient,
}

/// Reason why a plan is not confirmed
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ConfirmError {
    /// this instance doesn't follow the pool
    PoolUnknown,
    /// this instance has not read the plan, or the plan is closed
    PlanUnread,
}

impl std::error::Error for ConfirmError {}

type PoolTable = Arc<Mutex<IndexMap<PoolName, PoolPlannerHandle>>>;

/// Planners of all engine pools on one instance; dropping the last clone stops them
#[derive(Debug, Clone)]
pub struct RolePlanner {
    pools: PoolTable,
    _guard: Arc<PlannerGuard>,
}

#[derive(Debug)]
struct PlannerGuard(ActorRef<PoolSetMessage>);

impl Drop for PlannerGuard {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}

impl RolePlanner {
    /// Starts to follow the pools and to apply for their planner leases
    ///
    /// # Errors
    /// `ractor::SpawnErr` if an actor can't be started.
    pub async fn start(context: PlannerContext) -> Result<RolePlanner, ractor::SpawnErr> {
        let pools = PoolTable::default();
        let (actor, _) = Actor::spawn(None, PoolSetActor, (context, pools.clone())).await?;
        Ok(RolePlanner { pools, _guard: Arc::new(PlannerGuard(actor)) })
    }

    /// Confirms that this instance sends no new work to a plan's engine
    ///
    /// # Errors
    /// `ConfirmError` if this instance doesn't have the plan.
    pub fn confirm(&self, request: &ConfirmRequest) -> Result<ConfirmReply, ConfirmError> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.get(&request.pool).ok_or(ConfirmError::PoolUnknown)?;
        pool.exclusion().confirm(request)
    }

    /// Whether the control stream of every listed pool of engines has been read
    ///
    /// Before that, this instance may have missed an open plan and send work to its engine.
    pub fn is_caught_up(&self, registry: &EndpointRegistry) -> bool {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let is_read = |pool: &Arc<EndpointPool>| {
            pools.get(pool.name()).is_some_and(|it| it.control().status().is_caught_up)
        };
        registry.pools().iter().filter(|it| has_engine(it)).all(is_read)
    }

    /// Control streams by pool, for operators and for relays to peers
    pub fn controls(&self) -> Vec<(PoolName, ControlHandle)> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.iter().map(|(name, it)| (name.clone(), it.control().clone())).collect()
    }

    /// Leases and plans of all pools, for the status page
    pub fn status(&self) -> serde_json::Value {
        let pools = self.controls().into_iter().map(|(pool, control)| {
            let view = control.view();
            let status = control.status();
            serde_json::json!({
                "pool": pool,
                "offset": status.through,
                "caught_up": status.is_caught_up,
                "leases": view.leases().collect::<IndexMap<_, _>>(),
                "plans": view.plans().collect::<Vec<_>>(),
                "closed": view.closed(),
            })
        });
        pools.collect()
    }

    /// Releases all leases
    pub async fn release(&self) {
        let handles: Vec<PoolPlannerHandle> = {
            let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
            pools.values().cloned().collect()
        };
        for handle in handles {
            handle.release().await;
        }
    }
}

/// Message to the actor that starts a planner for each pool
#[derive(Debug)]
enum PoolSetMessage {
    Scan,
}

struct PoolSetActor;

struct PoolSetState {
    context: PlannerContext,
    pools: PoolTable,
}

impl Actor for PoolSetActor {
    type Msg = PoolSetMessage;
    type State = PoolSetState;
    type Arguments = (PlannerContext, PoolTable);

    async fn pre_start(
        &self,
        myself: ActorRef<PoolSetMessage>,
        (context, pools): Self::Arguments,
    ) -> Result<PoolSetState, ActorProcessingErr> {
        let mut state = PoolSetState { context, pools };
        state.scan().await;
        myself.send_interval(state.context.settings.tick(), || PoolSetMessage::Scan);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<PoolSetMessage>,
        message: PoolSetMessage,
        state: &mut PoolSetState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PoolSetMessage::Scan => state.scan().await,
        }
        Ok(())
    }
}

impl PoolSetState {
    /// Starts a planner for each new pool with engines
    async fn scan(&mut self) {
        for pool in self.context.registry.pools() {
            if !has_engine(&pool) || self.lock().contains_key(pool.name()) {
                continue;
            }
            match PoolPlanner::start(self.context.clone(), pool.clone()).await {
                Ok(handle) => {
                    self.lock().insert(pool.name().clone(), handle);
                }
                Err(error) => {
                    log::error!(
                        "event=planner_not_started pool={} reason=\"{error}\"",
                        pool.name()
                    );
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<PoolName, PoolPlannerHandle>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn has_engine(pool: &EndpointPool) -> bool {
    pool.reports().iter().any(|it| it.0.kind == InstanceKind::Engine)
}

impl PoolPlannerHandle {
    fn exclusion(&self) -> &PlanExclusion {
        &self.exclusion
    }

    fn control(&self) -> &ControlHandle {
        &self.control
    }
}
