//! A deployment with stand-ins and instances of the system, all in one process.

// Each test and example uses only some of the items.
#![allow(dead_code)]

use catalogue::CatalogueEntry;
use catalogue::id::InstanceId;
use indexmap::IndexMap;
use persimmonlift::instance::{InstanceHandle, ServingInstance, StartError};
use persimmonlift::settings::{
    InstanceIdentity, InstanceSecrets, InstanceSettings, ListenSettings, PlatformSettings,
};
use smol_str::{SmolStr, format_smolstr};
use standins::caller::CallerClient;
use standins::fleet::{Fleet, FleetSettings};
use standins::link::NetworkLink;
use standins::server::ANY_PORT;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub mod admin;
pub mod fixture;

/// Bearer key of the callers.
pub const CALLER_KEY: &str = "caller-key";
/// Token for the operators' port.
pub const ADMIN_TOKEN: &str = "admin-token";
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
const SHORT_DRAIN_PAUSE_MS: u64 = 300;

/// Failure to start a cluster
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ClusterError {
    /// failed to start the stand-ins: {0}
    Fleet(io::Error),
    /// failed to start an instance: {0}
    Instance(StartError),
    /// operators' request failed: {0}
    Admin(admin::AdminError),
    /// instances did not become ready in time
    NotReady,
}

impl std::error::Error for ClusterError {}

/// Instance with its own network links to the platform
pub struct ClusterInstance {
    pub handle: InstanceHandle,
    /// Link from the instance to the log
    pub log: NetworkLink,
    /// Link from the instance to the list of instances
    pub list: NetworkLink,
    /// Link from the peers to the instance
    pub peer: NetworkLink,
}

impl ClusterInstance {
    /// Pauses or resumes all its links
    pub fn pause(&self, paused: bool) {
        for link in [&self.log, &self.list, &self.peer] {
            link.pause(paused);
        }
    }
}

/// Running stand-ins and instances
pub struct Cluster {
    pub fleet: Fleet,
    /// Instances by id
    pub instances: IndexMap<InstanceId, ClusterInstance>,
    /// Caller with the key of the deployment's catalogue
    pub caller: CallerClient,
    adjust_settings: fn(&mut InstanceSettings),
    // Differs between clusters, since another cluster may reuse the port of a killed instance.
    peer_token: SmolStr,
    started: usize,
}

impl Cluster {
    /// Starts a deployment with a number of instances and waits until its catalogue is in force
    ///
    /// # Errors
    /// `ClusterError`.
    pub async fn start(settings: FleetSettings, instances: usize) -> Result<Cluster, ClusterError> {
        let entries = settings.deployment.entries(CALLER_KEY);
        Cluster::start_with(settings, instances, &entries, |_| {}).await
    }

    /// Starts a deployment with the given catalogue; `adjust_settings` changes the settings of each
    /// instance before its start
    ///
    /// # Errors
    /// `ClusterError`.
    pub async fn start_with(
        settings: FleetSettings,
        instances: usize,
        entries: &[CatalogueEntry],
        adjust_settings: fn(&mut InstanceSettings),
    ) -> Result<Cluster, ClusterError> {
        // Fails if another test of this process has initialized the logger.
        let _ = env_logger::try_init();
        let fleet = Fleet::start(settings).map_err(ClusterError::Fleet)?;
        let caller = CallerClient::new(CALLER_KEY, CALL_TIMEOUT);
        let peer_token = format_smolstr!("{}", uuid::Uuid::now_v7());
        let mut cluster = Cluster {
            fleet,
            instances: IndexMap::new(),
            caller,
            adjust_settings,
            peer_token,
            started: 0,
        };
        for _ in 0..instances {
            cluster.add_instance().await?;
        }
        cluster.publish(entries).await?;
        cluster.wait_ready(entries.len()).await?;
        Ok(cluster)
    }

    /// Starts another instance, adds it to the list and returns its id
    ///
    /// # Errors
    /// `ClusterError`.
    pub async fn add_instance(&mut self) -> Result<InstanceId, ClusterError> {
        let id = format_smolstr!("{}-{}", self.fleet.plan.name, self.started + 1);
        let zone = self.fleet.plan.zone(self.started);
        self.started += 1;
        let log = NetworkLink::to(self.fleet.log_address()).map_err(ClusterError::Fleet)?;
        let list = NetworkLink::to(self.fleet.list.address()).map_err(ClusterError::Fleet)?;
        let instance = InstanceIdentity {
            id: id.clone(),
            zone: zone.clone(),
            region: self.fleet.plan.region.clone(),
            deployment: self.fleet.plan.name.clone(),
        };
        let listen = ListenSettings { caller: ANY_PORT, admin: ANY_PORT, peer: ANY_PORT };
        let platform = PlatformSettings {
            log: log.address(),
            instances: list.address(),
            weights: self.fleet.weights.address(),
        };
        let mut settings = InstanceSettings::new(instance, listen, platform);
        settings.timeouts.drain_pause_ms = SHORT_DRAIN_PAUSE_MS;
        (self.adjust_settings)(&mut settings);
        let secrets = InstanceSecrets {
            admin_token: ADMIN_TOKEN.into(),
            peer_token: self.peer_token.clone(),
        };
        let handle =
            ServingInstance::start(settings, secrets).await.map_err(ClusterError::Instance)?;
        let peer = NetworkLink::to(handle.peer_address()).map_err(ClusterError::Fleet)?;
        self.fleet.register_instance(id.clone(), zone, peer.address());
        self.instances.insert(id.clone(), ClusterInstance { handle, log, list, peer });
        Ok(id)
    }

    /// Kills an instance immediately; it stays in the platform's list until `remove_from_list`
    pub fn kill(&mut self, id: &str) {
        if let Some(instance) = self.instances.shift_remove(id) {
            instance.handle.kill();
        }
    }

    /// Removes an instance from the platform's list
    pub fn remove_from_list(&self, id: &str) {
        self.fleet.list.remove(id);
    }

    /// Addresses for callers, in the order of the instances
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.values().map(|it| it.handle.caller_address()).collect()
    }

    /// Operators' client of the instance at `index`
    pub fn admin(&self, index: usize) -> admin::AdminClient {
        admin::AdminClient::new(self.instances[index].handle.admin_address(), ADMIN_TOKEN)
    }

    /// Creates catalogue entries
    ///
    /// # Errors
    /// `ClusterError::Admin`.
    pub async fn publish(&self, entries: &[CatalogueEntry]) -> Result<(), ClusterError> {
        for entry in entries {
            let deadline = Instant::now() + READY_TIMEOUT;
            while let Err(error) = self.admin(0).put(entry, 0).await {
                if Instant::now() > deadline {
                    return Err(ClusterError::Admin(error));
                }
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until every instance is ready and has `entries` entries in force
    ///
    /// # Errors
    /// `ClusterError::NotReady`.
    pub async fn wait_ready(&self, entries: usize) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready(entries).await {
            if Instant::now() > deadline {
                return Err(ClusterError::NotReady);
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    async fn is_ready(&self, entries: usize) -> bool {
        for index in 0..self.instances.len() {
            let address = self.instances[index].handle.caller_address();
            if !self.caller.is_ready(address).await {
                return false;
            }
            if self.admin(index).list().await.map_or(0, |it| it.len()) < entries {
                return false;
            }
        }
        true
    }
}
