//! A whole deployment with the system's own instances, in one process.

// Each test and example uses a part of it.
#![allow(dead_code)]

use catalogue::CatalogueEntry;
use catalogue::id::InstanceId;
use indexmap::IndexMap;
use persimmonlift::node::{Node, NodeHandle, StartError};
use persimmonlift::settings::{
    InstanceSettings, ListenSettings, NodeSecrets, NodeSettings, PlatformSettings,
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
pub mod scene;

/// Bearer key of the callers.
pub const CALLER_KEY: &str = "caller-key";
/// Token of the operators' port.
pub const ADMIN_TOKEN: &str = "admin-token";
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
const SHORT_DRAIN_PAUSE_MS: u64 = 300;

/// Failure to bring a cluster up
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ClusterError {
    /// stand-ins can't start: {0}
    Fleet(io::Error),
    /// instance can't start: {0}
    Node(StartError),
    /// operators' call failed: {0}
    Admin(admin::AdminError),
    /// instances are not ready in time
    NotReady,
}

impl std::error::Error for ClusterError {}

/// Instance with its own links to the platform
pub struct ClusterNode {
    /// Instance
    pub handle: NodeHandle,
    /// Its link to the log
    pub log: NetworkLink,
    /// Its link to the list
    pub list: NetworkLink,
    /// Link of its peers to it
    pub peer: NetworkLink,
}

impl ClusterNode {
    /// Holds up all that it exchanges with the platform and its peers, or lets it go
    pub fn pause(&self, paused: bool) {
        for link in [&self.log, &self.list, &self.peer] {
            link.pause(paused);
        }
    }
}

/// Stand-ins and instances
pub struct Cluster {
    /// Stand-ins
    pub fleet: Fleet,
    /// Instances by id
    pub nodes: IndexMap<InstanceId, ClusterNode>,
    /// Caller of the deployment
    pub caller: CallerClient,
    tune: fn(&mut NodeSettings),
    // Of its own, since a killed instance's port may go to another deployment's.
    peer_token: SmolStr,
    started: usize,
}

impl Cluster {
    /// Starts a deployment with `instances` instances and its catalogue in force
    ///
    /// # Errors
    /// `ClusterError`.
    pub async fn start(settings: FleetSettings, instances: usize) -> Result<Cluster, ClusterError> {
        let entries = settings.deployment.entries(CALLER_KEY);
        Cluster::start_with(settings, instances, &entries, |_| {}).await
    }

    /// The same with a catalogue and with settings of the instances of its own
    ///
    /// # Errors
    /// `ClusterError`.
    pub async fn start_with(
        settings: FleetSettings,
        instances: usize,
        entries: &[CatalogueEntry],
        tune: fn(&mut NodeSettings),
    ) -> Result<Cluster, ClusterError> {
        // Another test of the process may have set it.
        let _ = env_logger::try_init();
        let fleet = Fleet::start(settings).map_err(ClusterError::Fleet)?;
        let caller = CallerClient::new(CALLER_KEY, CALL_TIMEOUT);
        let peer_token = format_smolstr!("{}", uuid::Uuid::now_v7());
        let mut cluster =
            Cluster { fleet, nodes: IndexMap::new(), caller, tune, peer_token, started: 0 };
        for _ in 0..instances {
            cluster.add_node().await?;
        }
        cluster.publish(entries).await?;
        cluster.wait_ready(entries.len()).await?;
        Ok(cluster)
    }

    /// Starts one more instance and lists it; its id
    ///
    /// # Errors
    /// `ClusterError`.
    pub async fn add_node(&mut self) -> Result<InstanceId, ClusterError> {
        let id = format_smolstr!("{}-{}", self.fleet.plan.name, self.started + 1);
        let zone = self.fleet.plan.zone(self.started);
        self.started += 1;
        let log = NetworkLink::to(self.fleet.log_address()).map_err(ClusterError::Fleet)?;
        let list = NetworkLink::to(self.fleet.list.address()).map_err(ClusterError::Fleet)?;
        let instance = InstanceSettings {
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
        let mut settings = NodeSettings::new(instance, listen, platform);
        settings.timeouts.drain_pause_ms = SHORT_DRAIN_PAUSE_MS;
        (self.tune)(&mut settings);
        let secrets =
            NodeSecrets { admin_token: ADMIN_TOKEN.into(), peer_token: self.peer_token.clone() };
        let handle = Node::start(settings, secrets).await.map_err(ClusterError::Node)?;
        let peer = NetworkLink::to(handle.peer_address()).map_err(ClusterError::Fleet)?;
        self.fleet.register_instance(id.clone(), zone, peer.address());
        self.nodes.insert(id.clone(), ClusterNode { handle, log, list, peer });
        Ok(id)
    }

    /// Kills an instance at once; the platform lists it until `forget`
    pub fn kill(&mut self, id: &str) {
        if let Some(node) = self.nodes.shift_remove(id) {
            node.handle.kill();
        }
    }

    /// Removes an instance from the platform's list
    pub fn forget(&self, id: &str) {
        self.fleet.list.remove(id);
    }

    /// Callers' addresses
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|it| it.handle.caller_address()).collect()
    }

    /// Operators' client of one instance
    pub fn admin(&self, index: usize) -> admin::AdminClient {
        admin::AdminClient::new(self.nodes[index].handle.admin_address(), ADMIN_TOKEN)
    }

    /// Puts entries into the catalogue
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
        for index in 0..self.nodes.len() {
            let address = self.nodes[index].handle.caller_address();
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
