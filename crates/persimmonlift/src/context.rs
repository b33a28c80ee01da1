//! What all requests of an instance share.

use crate::admin_status::StatusReports;
use crate::gate::PoolGate;
use crate::meters::EntryMeters;
use crate::metrics::ServingMetrics;
use crate::peers::{GrantHome, PeerLinks};
use crate::planner::RolePlanner;
use crate::pool::EndpointPool;
use crate::registry::EndpointRegistry;
use crate::settings::{NodeSecrets, NodeSettings};
use crate::standing::NodeStanding;
use crate::suspects::SuspectRegister;
use catalogue::id::{PoolName, TokenCount};
use coordination::catalogue::CatalogueHandle;
use coordination::once::OnceHandle;
use decide::parts::LONG_PROMPT_TOKENS;
use indexmap::IndexMap;
use platform::engine::EngineClient;
use platform::service::ServiceClient;
use smol_str::format_smolstr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Semaphore;

/// Bytes of request bodies that one permit of `held` stands for.
pub const HELD_UNIT_BYTES: usize = 1_024;

/// Shared parts of an instance
#[derive(Debug)]
pub struct NodeContext {
    /// Settings
    pub settings: NodeSettings,
    /// Secrets
    pub secrets: NodeSecrets,
    /// Endpoints
    pub registry: Arc<EndpointRegistry>,
    /// Catalogue
    pub catalogue: CatalogueHandle,
    /// Once-only work
    pub once: OnceHandle,
    /// Planned changes of engines
    pub planner: RolePlanner,
    /// Client of engines
    pub engines: EngineClient,
    /// Client of engines that never reuses a connection
    pub fresh_engines: EngineClient,
    /// Client of services for calls that may be repeated
    pub services: ServiceClient,
    /// Client of services for calls that may not
    pub once_services: ServiceClient,
    /// Limits of entries
    pub meters: EntryMeters,
    /// Limits given out to other instances
    pub grants: GrantHome,
    /// Other instances
    pub peers: PeerLinks,
    /// Suspects
    pub suspects: Arc<SuspectRegister>,
    /// Metrics
    pub metrics: ServingMetrics,
    /// Whether it serves, drains or is isolated
    pub standing: NodeStanding,
    /// Room for request bodies
    pub held: Arc<Semaphore>,
    /// Places for requests in work
    pub places: Arc<Semaphore>,
    /// Admission by pool
    pub gates: PoolGates,
    /// Reports for the status page
    pub reports: StatusReports,
}

/// Gates of the pools that were asked for
#[derive(Debug)]
pub struct PoolGates {
    gates: Mutex<IndexMap<PoolName, Arc<PoolGate>>>,
    capacity: usize,
}

impl PoolGates {
    /// No gates yet; each queue will hold at most `capacity` requests
    pub fn new(capacity: usize) -> PoolGates {
        PoolGates { gates: Mutex::default(), capacity }
    }

    /// Gate of a pool, for long prompts or for the others
    ///
    /// Long prompts hold each other up at the engines that read them, long before the
    /// places of the batches are taken; others must not wait for that.
    pub fn gate(&self, pool: &Arc<EndpointPool>, prompt_tokens: TokenCount) -> Arc<PoolGate> {
        let is_long = prompt_tokens >= LONG_PROMPT_TOKENS;
        let name =
            if is_long { format_smolstr!("{}.long", pool.name()) } else { pool.name().clone() };
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || PoolGate::start(pool.clone(), self.capacity);
        gates.entry(name).or_insert_with(start).clone()
    }

    /// All gates with their pools' names
    pub fn all(&self) -> Vec<(PoolName, Arc<PoolGate>)> {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates.iter().map(|(name, gate)| (name.clone(), gate.clone())).collect()
    }
}
