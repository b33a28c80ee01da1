//! State shared by all requests of an instance.

use crate::admission::PoolAdmission;
use crate::grant_home::GrantHome;
use crate::meters::EntryMeters;
use crate::metrics::ServingMetrics;
use crate::peer_links::PeerLinks;
use crate::planner::RolePlanner;
use crate::pool::EndpointPool;
use crate::registry::EndpointRegistry;
use crate::settings::{InstanceSecrets, InstanceSettings};
use crate::status::ServingStatus;
use crate::status_reports::StatusReports;
use crate::suspects::SuspectRegister;
use catalogue::id::{PoolName, TokenCount};
use coordination::catalogue::CatalogueHandle;
use coordination::once::OnceHandle;
use decide::mixed_engines::LONG_PROMPT_TOKENS;
use indexmap::IndexMap;
use peer::message::{GrantReply, GrantRequest};
use platform::engine::EngineClient;
use platform::service::ServiceClient;
use smol_str::format_smolstr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Semaphore;

/// Bytes of request bodies per permit of `body_budget`.
pub const HELD_UNIT_BYTES: usize = 1_024;

/// Clients, limits and state of an instance
#[derive(Debug)]
pub struct InstanceContext {
    pub settings: InstanceSettings,
    pub secrets: InstanceSecrets,
    /// Endpoints and listed instances
    pub registry: Arc<EndpointRegistry>,
    pub catalogue: CatalogueHandle,
    /// Once-only calls
    pub once: OnceHandle,
    /// Planned changes of engines
    pub planner: RolePlanner,
    pub engines: EngineClient,
    /// Client of engines that never reuses a connection
    pub fresh_engines: EngineClient,
    /// Client of services for idempotent calls
    pub services: ServiceClient,
    /// Client of services for once-only calls; never reuses a connection
    pub once_services: ServiceClient,
    /// Usage of the entries' limits on this instance
    pub meters: EntryMeters,
    /// Shares of limits granted to instances by this one
    pub grants: GrantHome,
    /// Connections to other instances
    pub peers: PeerLinks,
    /// Requests suspected of crashing endpoints
    pub suspects: Arc<SuspectRegister>,
    pub metrics: ServingMetrics,
    /// Whether the instance is starting, ready, draining or isolated
    pub status: ServingStatus,
    /// Memory for request bodies, in units of `HELD_UNIT_BYTES`
    pub body_budget: Arc<Semaphore>,
    /// One permit per request in flight
    pub request_slots: Arc<Semaphore>,
    pub admissions: PoolAdmissions,
    /// Sections of the status page that other modules add
    pub reports: StatusReports,
}

impl InstanceContext {
    /// Answers a request for shares of limits, as the home of their entries
    pub fn answer_grant(&self, request: &GrantRequest) -> GrantReply {
        let view = self.catalogue.view();
        self.grants.answer(&view, self.registry.instance_count(), request)
    }
}

/// Admission control of each pool that has had a request
#[derive(Debug)]
pub struct PoolAdmissions {
    admissions: Mutex<IndexMap<PoolName, Arc<PoolAdmission>>>,
    capacity: usize,
}

impl PoolAdmissions {
    /// Creates an empty table; each queue will hold at most `capacity` requests
    pub fn new(capacity: usize) -> PoolAdmissions {
        PoolAdmissions { admissions: Mutex::default(), capacity }
    }

    /// Admission control of a pool, either for long prompts or for all others
    ///
    /// Long prompts queue at the prefill engines long before the batch slots are used up.
    /// The separate queue keeps other requests from waiting behind them.
    pub fn admission(
        &self,
        pool: &Arc<EndpointPool>,
        prompt_tokens: TokenCount,
    ) -> Arc<PoolAdmission> {
        let is_long = prompt_tokens >= LONG_PROMPT_TOKENS;
        let name =
            if is_long { format_smolstr!("{}.long", pool.name()) } else { pool.name().clone() };
        let mut admissions = self.admissions.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || PoolAdmission::start(pool.clone(), self.capacity);
        admissions.entry(name).or_insert_with(start).clone()
    }

    /// All admission controls with their names: the pool's, with `.long` for long prompts
    pub fn all(&self) -> Vec<(PoolName, Arc<PoolAdmission>)> {
        let admissions = self.admissions.lock().unwrap_or_else(PoisonError::into_inner);
        admissions.iter().map(|(name, admission)| (name.clone(), admission.clone())).collect()
    }
}
