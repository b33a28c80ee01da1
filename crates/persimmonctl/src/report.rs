//! Bodies of an instance's answers, with the fields that the tables show.

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
    pub entry: SmolStr,
    /// Accepted edits, oldest first
    pub lines: Vec<HistoryLine>,
}

/// `GET /admin/outcomes`
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct OutcomeList {
    /// Calls whose outcome is unknown
    pub outcomes: Vec<UnknownOutcome>,
}

/// `GET /admin/status`
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct StatusReport {
    /// Instance that answers
    pub instance: InstanceReport,
    pub catalogue: CatalogueReport,
    /// Admission queues
    #[serde(default)]
    pub queues: Vec<QueueReport>,
    #[serde(default)]
    pub endpoints: Vec<EndpointReport>,
    /// Entry instances in the platform's list
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// Other instances, with their state by heartbeats
    #[serde(default)]
    pub peers: Vec<PeerReport>,
}

/// Instance that answers
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct InstanceReport {
    pub id: InstanceId,
    pub zone: ZoneName,
    pub region: RegionName,
    pub deployment: SmolStr,
    /// Whether it accepts new connections
    pub ready: bool,
    /// Whether it is stopping
    pub draining: bool,
    /// Whether it reaches neither the log nor a peer
    pub isolated: bool,
    /// Number of requests in flight
    pub in_flight: u32,
}

/// Progress of an instance in reading the catalogue from the log
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct CatalogueReport {
    /// Last offset read
    pub offset: Offset,
    /// Whether it has read all records that existed at its start
    pub caught_up: bool,
    /// Whether it stopped at a record of a newer version
    pub stopped: bool,
    /// Time since the last answer of the log, in milliseconds
    pub log_contact_ms: Option<u64>,
}

/// Admission queue of a pool
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct QueueReport {
    /// Name of the pool, with `.long` for the queue of long prompts
    pub pool: PoolName,
    /// Number of queued requests
    pub queued: usize,
    /// Number of admitted requests that have not ended
    pub admitted: u32,
}

/// State of an endpoint on the instance
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointReport {
    pub id: EndpointId,
    pub pool: PoolName,
    pub zone: ZoneName,
    pub address: SocketAddr,
    /// `None` for a plain service
    pub role: Option<EngineRole>,
    /// Whether it gets new work
    pub accepting: bool,
    /// Whether it is listed as leaving or missing from the list
    pub leaving: bool,
    /// Whether an open plan blocks new work
    pub closed: bool,
    /// Whether the last contact failed or no report has been read yet
    pub unreachable: bool,
    /// Requests in flight from the instance
    pub in_flight: u32,
    /// Running requests, as last reported
    pub running: u32,
    /// Waiting requests, as last reported
    pub waiting: u32,
    /// Age of the last report, in milliseconds; `None` without a report
    pub report_age_ms: Option<u64>,
}

/// Another instance
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct PeerReport {
    pub id: InstanceId,
    pub zone: ZoneName,
    /// Address of the port for other instances
    pub address: SocketAddr,
    /// Whether it is considered live
    pub live: bool,
}
