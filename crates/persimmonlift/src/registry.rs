//! Endpoints and instances of the deployment, updated by an actor.
//!
//! The actor reads the platform's list at a fixed interval and runs a watcher task per
//! engine, which reads the engine's report and cache events. If the list can't be read,
//! the registry stays unchanged. Requests read the registry without waiting for the
//! actor.

use crate::pool::{EndpointPool, EndpointStatus};
use arc_swap::ArcSwap;
use catalogue::id::{EndpointId, PoolName};
use catalogue::{InstanceKind, InstanceState, ListedInstance};
use indexmap::IndexMap;
use platform::engine::EngineClient;
use platform::instances::{InstanceClient, InstanceList};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Pools and entry instances as last listed
#[derive(Debug)]
pub struct EndpointRegistry {
    pools: ArcSwap<IndexMap<PoolName, Arc<EndpointPool>>>,
    entries: watch::Sender<Vec<ListedInstance>>,
}

impl Default for EndpointRegistry {
    fn default() -> EndpointRegistry {
        EndpointRegistry { pools: ArcSwap::default(), entries: watch::Sender::new(Vec::new()) }
    }
}

impl EndpointRegistry {
    /// Looks up a pool by name
    pub fn pool(&self, name: &str) -> Option<Arc<EndpointPool>> {
        self.pools.load().get(name).cloned()
    }

    /// All pools
    pub fn pools(&self) -> Vec<Arc<EndpointPool>> {
        self.pools.load().values().cloned().collect()
    }

    /// Entry instances in the platform's list, leaving ones included
    pub fn entry_instances(&self) -> watch::Receiver<Vec<ListedInstance>> {
        self.entries.subscribe()
    }

    /// Number of live entry instances, at least 1
    pub fn instance_count(&self) -> usize {
        let entries = self.entries.borrow();
        entries.iter().filter(|it| it.state == InstanceState::Live).count().max(1)
    }

    /// Endpoints of all pools
    pub fn status(&self) -> Vec<EndpointStatus> {
        self.pools.load().values().flat_map(|it| it.status()).collect()
    }

    /// Applies the platform's list
    pub fn apply_list(&self, list: &InstanceList) {
        let now = Instant::now();
        let mut listed: IndexMap<PoolName, Vec<ListedInstance>> = IndexMap::new();
        for instance in list.instances.iter().filter(|it| it.kind != InstanceKind::Entry) {
            listed.entry(instance.pool.clone()).or_default().push(instance.clone());
        }
        self.add_pools(listed.keys());
        for pool in self.pools.load().values() {
            pool.apply_list(listed.get(pool.name()).map_or(&[], Vec::as_slice), now);
        }
        let entries = list.instances.iter().filter(|it| it.kind == InstanceKind::Entry);
        let entries: Vec<_> = entries.cloned().collect();
        self.entries.send_if_modified(|it| {
            let is_changed = *it != entries;
            *it = entries;
            is_changed
        });
    }

    fn add_pools<'a>(&self, names: impl Iterator<Item = &'a PoolName>) {
        let mut pools = IndexMap::clone(&self.pools.load());
        let before = pools.len();
        for name in names {
            if !pools.contains_key(name) {
                pools.insert(name.clone(), Arc::new(EndpointPool::new(name.clone())));
            }
        }
        if pools.len() > before {
            self.pools.store(Arc::new(pools));
        }
    }
}

/// Arguments of the actor
#[derive(Debug, Clone)]
pub struct RegistryConfig {
    /// Registry to update
    pub registry: Arc<EndpointRegistry>,
    /// Client of the platform's list
    pub instances: InstanceClient,
    /// Client for reports and cache events
    pub engines: EngineClient,
    /// Interval between two reads of the list
    pub list_interval: Duration,
    /// Interval between two reads of a report
    pub report_interval: Duration,
    /// Timeout of one call to an engine
    pub timeout: Duration,
}

/// Message to the actor
#[derive(Debug)]
pub enum RegistryMessage {
    /// Read the list now
    Read,
}

/// Actor that updates the registry
#[derive(Debug)]
pub struct RegistryActor;

/// State of the actor
#[derive(Debug)]
pub struct RegistryState {
    config: RegistryConfig,
    /// A watcher ends when its entry is removed, which closes its channel
    watchers: IndexMap<EndpointId, EngineWatch>,
}

#[derive(Debug)]
struct EngineWatch {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl Actor for RegistryActor {
    type Msg = RegistryMessage;
    type State = RegistryState;
    type Arguments = RegistryConfig;

    async fn pre_start(
        &self,
        myself: ActorRef<RegistryMessage>,
        config: RegistryConfig,
    ) -> Result<RegistryState, ActorProcessingErr> {
        let mut state = RegistryState { config, watchers: IndexMap::new() };
        state.read().await;
        myself.send_interval(state.config.list_interval, || RegistryMessage::Read);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<RegistryMessage>,
        message: RegistryMessage,
        state: &mut RegistryState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            RegistryMessage::Read => state.read().await,
        }
        Ok(())
    }
}

impl RegistryState {
    async fn read(&mut self) {
        match self.config.instances.read().await {
            Ok(list) => self.apply_list(&list),
            Err(error) => log::warn!("event=list_unread reason=\"{error}\""),
        }
    }

    fn apply_list(&mut self, list: &InstanceList) {
        self.config.registry.apply_list(list);
        let engines = list.instances.iter().filter(|it| it.kind == InstanceKind::Engine);
        let engines: Vec<&ListedInstance> = engines.collect();
        self.watchers.retain(|id, it| is_listed(&engines, id, it.address));
        for engine in engines {
            if !self.watchers.contains_key(&engine.id) {
                self.watch(engine);
            }
        }
    }

    fn watch(&mut self, engine: &ListedInstance) {
        let Some(pool) = self.config.registry.pool(&engine.pool) else {
            return;
        };
        let (stop, stopped) = oneshot::channel();
        let watcher = EngineWatcher { config: self.config.clone(), pool, engine: engine.clone() };
        tokio::spawn(watcher.run(stopped));
        let watch = EngineWatch { address: engine.address, _stop: stop };
        self.watchers.insert(engine.id.clone(), watch);
    }
}

fn is_listed(engines: &[&ListedInstance], id: &str, address: SocketAddr) -> bool {
    engines.iter().any(|it| it.id == id && it.address == address)
}

struct EngineWatcher {
    config: RegistryConfig,
    pool: Arc<EndpointPool>,
    engine: ListedInstance,
}

impl EngineWatcher {
    async fn run(self, mut stopped: oneshot::Receiver<()>) {
        let mut interval = tokio::time::interval(self.config.report_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut is_reachable = true;
        loop {
            tokio::select! {
                _ = &mut stopped => return,
                _ = interval.tick() => {}
            }
            let was_reachable = is_reachable;
            is_reachable = self.read_report().await;
            if was_reachable != is_reachable {
                log::info!("event=engine_reached engine={} reached={is_reachable}", self.engine.id);
            }
            if is_reachable {
                self.read_events().await;
            }
        }
    }

    async fn read_report(&self) -> bool {
        match self.config.engines.report(self.engine.address, self.config.timeout).await {
            Ok(report) => {
                self.pool.apply_report(&self.engine.id, &report, Instant::now());
                true
            }
            Err(error) => {
                log::debug!("event=report_unread engine={} reason=\"{error}\"", self.engine.id);
                self.pool.note_unreachable(&self.engine.id);
                false
            }
        }
    }

    async fn read_events(&self) {
        let from = self.pool.next_event(&self.engine.id);
        let call = self.config.engines.events(self.engine.address, from, self.config.timeout);
        if let Ok(events) = call.await {
            self.pool.apply_events(&self.engine.id, &events);
        }
    }
}
