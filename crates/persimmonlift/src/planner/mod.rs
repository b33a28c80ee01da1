//! Planned changes of engines: which one, and how it is carried out.
//!
//! For each pool of engines this instance follows the pool's control stream and keeps
//! new work away from engines with an open plan (`gate`). One instance at a time
//! holds the pool's planner lease. It plans a change when `figures` and
//! `decide::plan` call for one, and carries it out a step at a time (`change`): plan,
//! confirmations, drain, order, opening. Nothing of it is kept here: a new holder goes
//! on from the control stream and the engine's own state.

pub mod change;
pub mod figures;
pub mod gate;
pub mod pool;
pub mod settings;

use crate::pool::EndpointPool;
use crate::registry::EndpointRegistry;
use catalogue::InstanceKind;
use catalogue::id::PoolName;
use coordination::catalogue::CatalogueHandle;
use coordination::control::ControlHandle;
use coordination::shared::SharedLog;
use gate::PlanGate;
use indexmap::IndexMap;
use peer::client::PeerClient;
use peer::message::{PlanAnswer, PlanQuestion};
use platform::engine::EngineClient;
use platform::weights::WeightClient;
use pool::{PoolPlanner, PoolPlannerHandle};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use settings::PlannerSettings;
use std::sync::{Arc, Mutex, PoisonError};

/// What planning needs of its instance
#[derive(Debug, Clone)]
pub struct PlannerParts {
    /// Settings
    pub settings: PlannerSettings,
    /// Way to the log
    pub shared: SharedLog,
    /// Catalogue, for the models that entries ask for
    pub catalogue: CatalogueHandle,
    /// Endpoints and instances
    pub registry: Arc<EndpointRegistry>,
    /// Client of other instances
    pub peers: PeerClient,
    /// Client of engines
    pub engines: EngineClient,
    /// Client of the weight store
    pub weights: WeightClient,
}

/// Why a plan is not confirmed
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ConfirmError {
    /// pool is not followed here
    PoolUnknown,
    /// plan has not been read here or is closed
    PlanUnread,
}

impl std::error::Error for ConfirmError {}

type PoolTable = Arc<Mutex<IndexMap<PoolName, PoolPlannerHandle>>>;

/// Planning of all engine pools by one instance; dropping it ends it
#[derive(Debug, Clone)]
pub struct RolePlanner {
    pools: PoolTable,
    _guard: Arc<PlannerGuard>,
}

#[derive(Debug)]
struct PlannerGuard(ActorRef<SetMessage>);

impl Drop for PlannerGuard {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}

impl RolePlanner {
    /// Starts to follow the pools and to stand for their leases
    ///
    /// # Errors
    /// `ractor::SpawnErr` if an actor can't be started.
    pub async fn start(parts: PlannerParts) -> Result<RolePlanner, ractor::SpawnErr> {
        let pools = PoolTable::default();
        let (actor, _) = Actor::spawn(None, SetActor, (parts, pools.clone())).await?;
        Ok(RolePlanner { pools, _guard: Arc::new(PlannerGuard(actor)) })
    }

    /// Confirms that nothing new goes to a plan's engine
    ///
    /// # Errors
    /// `ConfirmError` if the plan is not known here.
    pub fn confirm(&self, question: &PlanQuestion) -> Result<PlanAnswer, ConfirmError> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.get(&question.pool).ok_or(ConfirmError::PoolUnknown)?;
        pool.gate().confirm(question)
    }

    /// Whether the control stream of every listed pool of engines has been read
    ///
    /// Before that, an open plan may be unknown here, and its engine would get work.
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

    /// Gives all leases up
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
enum SetMessage {
    Look,
}

struct SetActor;

struct SetState {
    parts: PlannerParts,
    pools: PoolTable,
}

impl Actor for SetActor {
    type Msg = SetMessage;
    type State = SetState;
    type Arguments = (PlannerParts, PoolTable);

    async fn pre_start(
        &self,
        myself: ActorRef<SetMessage>,
        (parts, pools): Self::Arguments,
    ) -> Result<SetState, ActorProcessingErr> {
        let mut state = SetState { parts, pools };
        state.look().await;
        myself.send_interval(state.parts.settings.tick(), || SetMessage::Look);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<SetMessage>,
        message: SetMessage,
        state: &mut SetState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SetMessage::Look => state.look().await,
        }
        Ok(())
    }
}

impl SetState {
    /// Starts a planner for each new pool with engines
    async fn look(&mut self) {
        for pool in self.parts.registry.pools() {
            if !has_engine(&pool) || self.lock().contains_key(pool.name()) {
                continue;
            }
            match PoolPlanner::start(self.parts.clone(), pool.clone()).await {
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
    fn gate(&self) -> &PlanGate {
        &self.gate
    }

    fn control(&self) -> &ControlHandle {
        &self.control
    }
}
