//! Real instances with a stand-in fleet, in one process over loopback.

use crate::caller::CallContext;
use crate::options::{RolePolicy, ShiftOptions};
use crate::schedule::SPEED_FACTOR;
use catalogue::{CatalogueEntry, EngineRole};
use displaydoc::Display;
use persimmonlift::instance::{InstanceHandle, ServingInstance, StartError};
use persimmonlift::planner::settings::RoleRule;
use persimmonlift::settings::{
    InstanceIdentity, InstanceSecrets, InstanceSettings, ListenSettings, PlatformSettings,
};
use platform::http::HttpClient;
use smol_str::format_smolstr;
use standins::engine::{EngineSettings, EngineSpeed};
use standins::fleet::{Fleet, FleetSettings};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Instances of the system.
pub const INSTANCES: usize = 6;
const KEY: &str = "shift-caller";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Time for which a change of role makes an engine unavailable, at normal speed.
const CHANGE_TIME: Duration = Duration::from_secs(4);
/// Times of the planner, shortened like the day.
const PLANNER_TICK: Duration = Duration::from_millis(250);
const AWAY_TIME: Duration = Duration::from_secs(3);
const PLANNING_HORIZON: Duration = Duration::from_secs(15);

/// Stand-ins and instances
pub struct ShiftEnvironment {
    pub fleet: Fleet,
    pub instances: Vec<InstanceHandle>,
}

/// Failure to start the environment
#[derive(Debug, Display)]
pub enum EnvironmentError {
    /// failed to start the stand-ins: {0}
    Fleet(std::io::Error),
    /// failed to start an instance: {0}
    Instance(StartError),
    /// failed to edit the catalogue: {0}
    Catalogue(coordination::catalogue::EditError),
    /// instances did not become ready
    NotReady,
}

impl std::error::Error for EnvironmentError {}

/// Speed of the engines
pub fn engine_speed() -> EngineSpeed {
    EngineSpeed { factor: SPEED_FACTOR, ..EngineSpeed::default() }
}

impl ShiftEnvironment {
    /// Starts the stand-ins and instances and waits until all instances are ready
    ///
    /// # Errors
    /// `EnvironmentError` if a part fails to start or isn't ready in time.
    pub async fn start(options: &ShiftOptions) -> Result<ShiftEnvironment, EnvironmentError> {
        let fleet = Fleet::start(fleet_settings(options)).map_err(EnvironmentError::Fleet)?;
        assign_roles(&fleet, options.policy);
        let mut environment = ShiftEnvironment { fleet, instances: Vec::new() };
        for index in 0..INSTANCES {
            let settings = environment.instance_settings(index, options.policy);
            let zone = settings.instance.zone.clone();
            let instance = ServingInstance::start(settings, secrets())
                .await
                .map_err(EnvironmentError::Instance)?;
            environment.fleet.register_instance(
                instance.id().clone(),
                zone,
                instance.peer_address(),
            );
            environment.instances.push(instance);
        }
        environment.publish(options).await?;
        environment.await_ready().await?;
        Ok(environment)
    }

    /// Context of all calls
    pub fn call_context(&self, options: &ShiftOptions) -> CallContext {
        let entries = options.deployment.entries(KEY);
        CallContext {
            client: HttpClient::new(),
            bearer: KEY.into(),
            model: self.fleet.plan.model.clone(),
            entries: entries.into_iter().map(|it| it.name).collect(),
            instances: self.instances.iter().map(InstanceHandle::caller_address).collect(),
        }
    }

    fn instance_settings(&self, index: usize, policy: RolePolicy) -> InstanceSettings {
        let instance = InstanceIdentity {
            id: format_smolstr!("entry-{}", index + 1),
            zone: self.fleet.plan.zone(index),
            region: self.fleet.plan.region.clone(),
            deployment: self.fleet.plan.name.clone(),
        };
        let listen = ListenSettings { caller: any_port(), admin: any_port(), peer: any_port() };
        let platform = PlatformSettings {
            log: self.fleet.log_address(),
            instances: self.fleet.list.address(),
            weights: self.fleet.weights.address(),
        };
        let mut settings = InstanceSettings::new(instance, listen, platform);
        set_planner(&mut settings, policy);
        settings
    }

    async fn publish(&self, options: &ShiftOptions) -> Result<(), EnvironmentError> {
        let catalogue = &self.instances[0].context().catalogue;
        catalogue.caught_up().await;
        for entry in options.deployment.entries(KEY) {
            let put = catalogue.put(unlimited(entry), 0, "shift".into()).await;
            put.map_err(EnvironmentError::Catalogue)?;
        }
        Ok(())
    }

    async fn await_ready(&self) -> Result<(), EnvironmentError> {
        let started = Instant::now();
        while !self.instances.iter().all(|it| self.is_ready(it)) {
            if started.elapsed() > READY_TIMEOUT {
                return Err(EnvironmentError::NotReady);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    fn is_ready(&self, instance: &InstanceHandle) -> bool {
        let context = instance.context();
        let status = context.registry.status();
        let accepting = status.iter().filter(|it| it.accepting).count();
        let endpoints = self.fleet.engines.len() + self.fleet.services.len();
        let entries = context.catalogue.view().entries().count();
        context.status.is_ready() && entries == 4 && accepting == endpoints
    }
}

/// Raises the limits of an entry so far that they reject no calls
fn unlimited(mut entry: CatalogueEntry) -> CatalogueEntry {
    entry.limits.requests_per_s = 1e6;
    entry.limits.in_flight = 1_000_000;
    entry
}

fn fleet_settings(options: &ShiftOptions) -> FleetSettings {
    let mut settings = FleetSettings::of(options.deployment);
    settings.engine = EngineSettings {
        speed: engine_speed(),
        report_lag_ms: REPORT_LAG.as_millis() as u64,
        change_ms: CHANGE_TIME.as_millis() as u64,
        ..EngineSettings::default()
    };
    settings
}

/// Assigns the roles at the start of the day, when the fraction of prompt work is low; engines
/// start as mixed
fn assign_roles(fleet: &Fleet, policy: RolePolicy) {
    let prefill = match policy {
        RolePolicy::Lift | RolePolicy::Mixed => return,
        RolePolicy::LiftFromSplit | RolePolicy::Threshold | RolePolicy::BestStatic => 2,
        RolePolicy::Static(count) => count,
    };
    for (index, engine) in fleet.engines.values().enumerate() {
        let role = if index < prefill { EngineRole::Prefill } else { EngineRole::Decode };
        engine.set_target(fleet.plan.target(role));
    }
}

fn set_planner(settings: &mut InstanceSettings, policy: RolePolicy) {
    let planner = &mut settings.planner;
    planner.roles =
        matches!(policy, RolePolicy::Lift | RolePolicy::LiftFromSplit | RolePolicy::Threshold);
    planner.rule = match policy {
        RolePolicy::Threshold => RoleRule::Threshold,
        _ => RoleRule::Cost,
    };
    planner.tick_ms = PLANNER_TICK.as_millis() as u64;
    planner.away_ms = AWAY_TIME.as_millis() as u64;
    planner.horizon_ms = PLANNING_HORIZON.as_millis() as u64;
}

fn secrets() -> InstanceSecrets {
    InstanceSecrets { admin_token: "shift-admin".into(), peer_token: "shift-peer".into() }
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}
