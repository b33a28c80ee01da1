//! Requests between instances and their replies.
//!
//! The variants are numbered by their order, so a new one goes to the end of its
//! enum. A change of an existing one needs a new `frame::FRAME_VERSION`.

use catalogue::id::{EndpointId, EntryName, InstanceId, Offset, PoolName, StreamName};

/// Hash of a prompt's content that stays the same when it is sent again.
pub type PromptFingerprint = u64;

/// Request to another instance
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerRequest {
    /// Tells that the sender is live, and which instances it found down
    Ping(PeerNews),
    /// Asks the home of a stream to append an item
    Submit(SubmitRequest),
    /// Asks for records of a log stream that the sender can't read itself
    Relay(RelayRequest),
    /// Asks the home of entries for a share of their limits
    Grant(GrantRequest),
    /// Reports a request that was in flight when its endpoint crashed
    Strike(StrikeReport),
    /// Asks whether the plan has been read and nothing more goes to its engine
    ConfirmPlan(PlanQuestion),
    /// Passes on load reports of engines
    Digest(ReportDigest),
}

/// Reply to a request
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerReply {
    /// Reply to `Ping`
    Pong(PeerNews),
    /// Reply to `Submit`
    Submitted(SubmitReply),
    /// Reply to `Relay`
    Records(RelayedBatch),
    /// Reply to `Grant`
    Granted(GrantReply),
    /// Reply to `Strike`
    Strikes(StrikeCount),
    /// Reply to `ConfirmPlan`
    Confirmed(PlanAnswer),
    /// Reply to `Digest`
    Noted,
}

/// What two instances tell each other with every heartbeat
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerNews {
    /// Instance that speaks
    pub instance: InstanceId,
    /// Requests that it has in flight
    pub load: u32,
    /// Instances that do not answer heartbeats
    pub down: Vec<DownNotice>,
}

/// Instance that does not answer heartbeats
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DownNotice {
    /// Instance
    pub instance: InstanceId,
    /// Time since a heartbeat to it last failed, in milliseconds
    pub age_ms: u32,
}

/// Item to append
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubmitRequest {
    /// Stream
    pub stream: StreamName,
    /// Item, encoded by its owner
    pub item: String,
    /// Time for the verdict, in milliseconds
    pub timeout_ms: u64,
}

/// What became of an item
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum SubmitReply {
    /// Verdict, encoded by its owner
    Judged(String),
    /// It has no effect
    Void,
    /// It may yet take effect
    Unknown,
}

/// Part of a log stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RelayRequest {
    /// Stream
    pub stream: StreamName,
    /// First offset wanted
    pub from: Offset,
    /// Most records to return
    pub max: u32,
}

/// Records of a log stream
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RelayedBatch {
    /// Offset of the oldest record that the replier has
    pub earliest: Offset,
    /// Offset after the newest record that the replier has
    pub next: Offset,
    /// Records in order, without a gap
    pub records: Vec<RelayedRecord>,
}

/// Record of a log stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RelayedRecord {
    /// Position in the stream
    pub offset: Offset,
    /// Time of the append, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Content as appended
    pub data: String,
}

/// Rates of an entry
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryRates {
    /// Requests a second
    pub requests_per_s: f64,
    /// Tokens a second
    pub tokens_per_s: f64,
    /// Requests in flight
    pub in_flight: f64,
}

/// What an instance needs of the limits of entries that have one home
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantRequest {
    /// Instance that asks
    pub instance: InstanceId,
    /// Entries with demand
    pub demands: Vec<EntryDemand>,
}

/// Demand for one entry
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryDemand {
    /// Entry
    pub entry: EntryName,
    /// What was asked for
    pub rates: EntryRates,
    /// Requests in flight
    pub held: u32,
}

/// Shares of the limits of entries
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantReply {
    /// One for each entry that the replier knows
    pub grants: Vec<EntryGrant>,
}

/// Share of one entry's limits
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryGrant {
    /// Entry
    pub entry: EntryName,
    /// What the instance may use
    pub rates: EntryRates,
    /// Time that the share holds, in milliseconds
    pub ttl_ms: u64,
}

/// Request in flight on an endpoint that crashed
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StrikeReport {
    /// Fingerprint of its prompt
    pub fingerprint: PromptFingerprint,
    /// Endpoint that crashed; none to only ask for the count
    pub endpoint: Option<EndpointId>,
}

/// Crashes that a fingerprint took part in
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StrikeCount {
    /// Different endpoints that crashed
    pub strikes: u32,
}

/// Planned change to be confirmed
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PlanQuestion {
    /// Pool
    pub pool: PoolName,
    /// Offset of the plan record
    pub plan: Offset,
    /// Engine that is to change
    pub engine: EndpointId,
}

/// Confirmation of a planned change
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PlanAnswer {
    /// Requests that the replier still has in flight on the engine
    pub in_flight: u32,
}

/// Load reports of engines
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReportDigest {
    /// Instance that polled the engines
    pub watcher: InstanceId,
    /// One line an engine
    pub lines: Vec<DigestLine>,
}

/// Load of one engine
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DigestLine {
    /// Engine
    pub engine: EndpointId,
    /// Age of the report, in milliseconds
    pub age_ms: u32,
    /// Report, encoded by its owner
    pub report: Vec<u8>,
}
