//! All stand-ins of a deployment: the platform, the engines and the services.

use crate::deployment::{DeploymentKind, DeploymentPlan, MODEL_VERSION, NEXT_MODEL_VERSION};
use crate::engine::{
    EngineExecution, EngineSettings, EngineStandin, OrderConflict, OrderRecord, conflicts,
};
use crate::list::ListStandin;
use crate::log::{LogSettings, LogStandin};
use crate::server::{ANY_PORT, StandinServer};
use crate::service::{ServiceExecution, ServiceStandin};
use crate::weights::WeightStandin;
use catalogue::id::{EndpointId, InstanceId, PoolName, ZoneName};
use catalogue::{EngineRole, InstanceKind, InstanceState, ListedInstance};
use indexmap::IndexMap;
use platform::weights::StoredModel;
use smol_str::{SmolStr, format_smolstr};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Listening addresses of the platform; port 0 lets the operating system choose
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformAddresses {
    pub log: SocketAddr,
    pub instances: SocketAddr,
    pub weights: SocketAddr,
    /// Control port of the stand-ins
    pub control: SocketAddr,
}

impl Default for PlatformAddresses {
    fn default() -> PlatformAddresses {
        let [log, instances, weights, control] = [ANY_PORT; 4];
        PlatformAddresses { log, instances, weights, control }
    }
}

/// Entry instance that is in the list from the start
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInstance {
    pub id: InstanceId,
    pub zone: ZoneName,
    /// Address that its peers connect to
    pub peer: SocketAddr,
}

#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    pub deployment: DeploymentKind,
    pub listen: PlatformAddresses,
    pub log: LogSettings,
    /// Time until a change of the list becomes visible, in milliseconds
    pub list_lag_ms: u64,
    /// Bandwidth of the weight store, in bytes per second
    pub weight_bytes_per_s: u64,
    /// Size of the model's weights, in bytes
    pub model_bytes: u64,
    /// Settings of every engine; the fleet sets each engine's model and seed
    pub engine: EngineSettings,
    /// Versions of the engines' software, by turns; empty if they state none
    pub engine_versions: Vec<SmolStr>,
    /// Number of engines that ignore fencing numbers; these are the last ones of the pool
    pub engines_ignoring_fence: usize,
    /// Entry instances that are in the list from the start
    pub instances: Vec<EntryInstance>,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            deployment: DeploymentKind::Trust,
            listen: PlatformAddresses::default(),
            log: LogSettings::default(),
            list_lag_ms: 500,
            weight_bytes_per_s: 2_000_000_000,
            model_bytes: 8_000_000_000,
            engine: EngineSettings::default(),
            engine_versions: Vec::new(),
            engines_ignoring_fence: 0,
            instances: Vec::new(),
        }
    }
}

impl FleetSettings {
    /// Default settings of a deployment
    pub fn of(deployment: DeploymentKind) -> FleetSettings {
        FleetSettings { deployment, ..FleetSettings::default() }
    }
}

/// Running stand-ins of a deployment
#[derive(Clone)]
pub struct Fleet {
    pub plan: DeploymentPlan,
    pub log: LogStandin,
    pub list: ListStandin,
    pub weights: WeightStandin,
    /// Engines by id
    pub engines: IndexMap<EndpointId, EngineStandin>,
    /// Services by id
    pub services: IndexMap<EndpointId, ServiceStandin>,
    log_server: Arc<StandinServer>,
}

impl Fleet {
    /// Starts the stand-ins of a deployment
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start(settings: FleetSettings) -> io::Result<Fleet> {
        let plan = settings.deployment.plan();
        let log = LogStandin::new(settings.log.clone());
        let log_server = Arc::new(log.serve_at(settings.listen.log)?);
        let weights = start_weights(&settings, &plan)?;
        let engines = start_engines(&settings, &plan, &weights)?;
        let services = start_services(&plan)?;
        let mut listed = listed_engines(&settings, &plan, &engines);
        listed.extend(listed_services(&plan, &services));
        listed.extend(settings.instances.iter().map(|it| listed_instance(&plan, it)));
        let lag = Duration::from_millis(settings.list_lag_ms);
        let list = ListStandin::start_at(settings.listen.instances, listed, lag)?;
        Ok(Fleet { plan, log, list, weights, engines, services, log_server })
    }

    pub fn log_address(&self) -> SocketAddr {
        self.log_server.address()
    }

    /// HTTP server of the log, for faults of its connections
    pub fn log_server(&self) -> &StandinServer {
        &self.log_server
    }

    /// Adds an entry instance to the list
    pub fn register_instance(&self, id: InstanceId, zone: ZoneName, peer_address: SocketAddr) {
        let instance = EntryInstance { id, zone, peer: peer_address };
        self.list.put(listed_instance(&self.plan, &instance));
    }

    /// Withdraws an engine: it refuses new work immediately and is listed as leaving
    pub fn withdraw(&self, engine: &str) {
        if let Some(it) = self.engines.get(engine) {
            it.set_leaving(true);
        }
        self.list.set_state(engine, InstanceState::Leaving);
    }

    /// Readmits a withdrawn engine
    pub fn readmit(&self, engine: &str) {
        if let Some(it) = self.engines.get(engine) {
            it.set_leaving(false);
        }
        self.list.set_state(engine, InstanceState::Live);
    }

    /// Number of executions under the key, over all services
    pub fn execution_count(&self, key: &str) -> usize {
        self.services.values().map(|it| it.execution_count(key)).sum()
    }

    /// Executions of all services
    pub fn service_executions(&self) -> Vec<ServiceExecution> {
        self.services.values().flat_map(ServiceStandin::executions).collect()
    }

    /// Requests that the engines accepted
    pub fn engine_executions(&self) -> Vec<EngineExecution> {
        self.engines.values().flat_map(EngineStandin::executions).collect()
    }

    /// Orders that the engines received, including refused ones
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.engines.values().flat_map(EngineStandin::orders).collect()
    }

    /// Conflicts among the orders that the engines accepted
    pub fn conflicts(&self) -> Vec<OrderConflict> {
        self.engines.values().flat_map(|it| conflicts(&it.orders())).collect()
    }
}

fn start_weights(settings: &FleetSettings, plan: &DeploymentPlan) -> io::Result<WeightStandin> {
    let stored = |version: &str| StoredModel {
        model: plan.model.clone(),
        version: version.into(),
        bytes: settings.model_bytes,
    };
    let models = [MODEL_VERSION, NEXT_MODEL_VERSION].map(stored).to_vec();
    WeightStandin::start_at(settings.listen.weights, settings.weight_bytes_per_s, models)
}

fn start_engines(
    settings: &FleetSettings,
    plan: &DeploymentPlan,
    weights: &WeightStandin,
) -> io::Result<IndexMap<EndpointId, EngineStandin>> {
    let mut engines = IndexMap::new();
    for index in 0..plan.engines {
        let id = endpoint_id(&plan.engine_pool, index);
        let mut engine = settings.engine.clone();
        engine.target = plan.target(EngineRole::Mixed);
        engine.seed = settings.engine.seed + index as u64;
        engine.checks_fence &= checks_fence(settings, plan, index);
        engines.insert(id.clone(), EngineStandin::start(id, engine, Some(weights.clone()))?);
    }
    Ok(engines)
}

fn start_services(plan: &DeploymentPlan) -> io::Result<IndexMap<EndpointId, ServiceStandin>> {
    let mut services = IndexMap::new();
    for index in 0..plan.services {
        let id = endpoint_id(&plan.service_pool, index);
        services.insert(id.clone(), ServiceStandin::start(id)?);
    }
    Ok(services)
}

fn listed_instance(plan: &DeploymentPlan, instance: &EntryInstance) -> ListedInstance {
    ListedInstance {
        id: instance.id.clone(),
        kind: InstanceKind::Entry,
        pool: plan.name.clone(),
        zone: instance.zone.clone(),
        region: plan.region.clone(),
        address: instance.peer,
        state: InstanceState::Live,
        checks_fence: false,
        version: SmolStr::default(),
    }
}

fn listed_engines(
    settings: &FleetSettings,
    plan: &DeploymentPlan,
    engines: &IndexMap<EndpointId, EngineStandin>,
) -> Vec<ListedInstance> {
    let listed = |(index, engine): (usize, &EngineStandin)| {
        let mut entry = listed_endpoint(plan, InstanceKind::Engine, index, engine.address());
        entry.checks_fence = settings.engine.checks_fence && checks_fence(settings, plan, index);
        let versions = &settings.engine_versions;
        entry.version = versions.get(index % versions.len().max(1)).cloned().unwrap_or_default();
        entry
    };
    engines.values().enumerate().map(listed).collect()
}

fn listed_services(
    plan: &DeploymentPlan,
    services: &IndexMap<EndpointId, ServiceStandin>,
) -> Vec<ListedInstance> {
    let addresses = services.values().map(ServiceStandin::address).enumerate();
    addresses.map(|(index, it)| listed_endpoint(plan, InstanceKind::Service, index, it)).collect()
}

fn listed_endpoint(
    plan: &DeploymentPlan,
    kind: InstanceKind,
    index: usize,
    address: SocketAddr,
) -> ListedInstance {
    let is_engine = kind == InstanceKind::Engine;
    let pool = if is_engine { &plan.engine_pool } else { &plan.service_pool };
    ListedInstance {
        id: endpoint_id(pool, index),
        kind,
        pool: pool.clone(),
        zone: plan.zone(index),
        region: plan.region.clone(),
        address,
        state: InstanceState::Live,
        checks_fence: false,
        version: SmolStr::default(),
    }
}

fn checks_fence(settings: &FleetSettings, plan: &DeploymentPlan, index: usize) -> bool {
    index + settings.engines_ignoring_fence < plan.engines
}

fn endpoint_id(pool: &PoolName, index: usize) -> EndpointId {
    format_smolstr!("{pool}-{}", index + 1)
}
