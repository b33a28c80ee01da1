//! Answers of a node, as far as the tables need them.

use catalogue::id::{EndpointId, InstanceId, Offset, PoolName, RegionName, ZoneName};
use catalogue::{EngineRole, ListedInstance};
use smol_str::SmolStr;
use state::catalogue::{HistoryLine, VersionedEntry};
use state::claims::UnknownOutcome;
use std::net::SocketAddr;

/// `GET /admin/catalogue`
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryList {
    /// Entries with their revisions
    pub entries: Vec<VersionedEntry>,
}

/// `GET /admin/history/{entry}`
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryHistory {
    /// Entry
    pub entry: SmolStr,
    /// Accepted edits, oldest first
    pub lines: Vec<HistoryLine>,
}

/// `GET /admin/outcomes`
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct OutcomeList {
    /// Calls whose outcome is not known
    pub outcomes: Vec<UnknownOutcome>,
}

/// `GET /admin/status`
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct NodeStatus {
    /// The instance itself
    pub instance: InstanceReport,
    /// How far it has read the catalogue
    pub catalogue: CatalogueReport,
    /// Queues by pool
    #[serde(default)]
    pub queues: Vec<QueueReport>,
    /// Endpoints
    #[serde(default)]
    pub endpoints: Vec<EndpointReport>,
    /// Entry instances in the platform's list
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// Other instances, as found by heartbeats
    #[serde(default)]
    pub peers: Vec<PeerReport>,
}

/// The instance that answers
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct InstanceReport {
    /// Id
    pub id: InstanceId,
    /// Availability zone
    pub zone: ZoneName,
    /// Region
    pub region: RegionName,
    /// Deployment
    pub deployment: SmolStr,
    /// Whether callers should be sent there
    pub ready: bool,
    /// Whether it is stopping
    pub draining: bool,
    /// Whether it reaches neither log nor peers
    pub isolated: bool,
    /// Requests in flight
    pub in_flight: u32,
}

/// How far an instance has read the catalogue
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct CatalogueReport {
    /// Last offset read
    pub offset: Offset,
    /// Whether it has read all there was at its start
    pub caught_up: bool,
    /// Whether it stopped at a record that it can't read
    pub stopped: bool,
    /// Time since the log answered, in milliseconds
    pub log_contact_ms: Option<u64>,
}

/// Queue of a pool
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct QueueReport {
    /// Pool
    pub pool: PoolName,
    /// Requests that wait
    pub queued: usize,
    /// Requests let through
    pub admitted: u32,
}

/// Endpoint as the instance sees it
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointReport {
    /// Endpoint
    pub id: EndpointId,
    /// Pool
    pub pool: PoolName,
    /// Availability zone
    pub zone: ZoneName,
    /// Serving address
    pub address: SocketAddr,
    /// Role of an engine
    pub role: Option<EngineRole>,
    /// Whether it gets new work
    pub accepting: bool,
    /// Whether it is leaving
    pub leaving: bool,
    /// Whether a planned change keeps new work away
    pub closed: bool,
    /// Whether it could not be reached
    pub unreachable: bool,
    /// The instance's own requests there
    pub in_flight: u32,
    /// Requests that run there, as last reported
    pub running: u32,
    /// Requests that wait there, as last reported
    pub waiting: u32,
    /// Age of the last report, in milliseconds
    pub report_age_ms: Option<u64>,
}

/// Another instance
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct PeerReport {
    /// Id
    pub id: InstanceId,
    /// Availability zone
    pub zone: ZoneName,
    /// Peer address
    pub address: SocketAddr,
    /// Whether it is thought live
    pub live: bool,
}
