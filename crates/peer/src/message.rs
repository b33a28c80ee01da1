//! Requests between instances and their replies.
//!
//! `bincode` numbers variants by their order, so add a new variant at the end of its
//! enum. Changing an existing one requires a new `frame::FRAME_VERSION`.

use catalogue::id::{EndpointId, EntryName, InstanceId, Offset, PoolName, StreamName};

/// Hash of a prompt's content; a retried prompt has the same fingerprint.
pub type PromptFingerprint = u64;

/// Request to another instance
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerRequest {
    /// Heartbeat with the sender's load and the instances that it considers down
    Ping(PeerUpdate),
    /// Asks the home of a stream to append an item
    Submit(SubmitRequest),
    /// Asks for records of a log stream that the sender can't read itself
    Relay(RelayRequest),
    /// Asks the home of entries for a share of the entries' limits
    Grant(GrantRequest),
    /// Reports a request that was in flight on an endpoint when the endpoint crashed
    Strike(StrikeReport),
    /// Asks whether the receiver has read a plan and sends its engine no new requests
    ConfirmPlan(ConfirmRequest),
    /// Forwards load reports of engines
    Digest(ReportDigest),
}

/// Reply to a request
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerReply {
    /// Reply to `Ping`
    Pong(PeerUpdate),
    /// Reply to `Submit`
    Submitted(SubmitReply),
    /// Reply to `Relay`
    Records(RelayedBatch),
    /// Reply to `Grant`
    Granted(GrantReply),
    /// Reply to `Strike`
    Strikes(StrikeCount),
    /// Reply to `ConfirmPlan`
    Confirmed(ConfirmReply),
    /// Reply to `Digest`
    Acknowledged,
}

/// Content of a heartbeat and of its reply
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerUpdate {
    /// Sender
    pub instance: InstanceId,
    /// Requests that the sender has in flight
    pub load: u32,
    /// Instances that the sender considers down, newest failures first
    pub down: Vec<DownNotice>,
}

/// Notice that an instance doesn't answer heartbeats
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DownNotice {
    /// Instance that is considered down
    pub instance: InstanceId,
    /// Time since a heartbeat to it last failed, in milliseconds
    pub age_ms: u32,
}

/// Request to append an item
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubmitRequest {
    pub stream: StreamName,
    /// Item, as JSON
    pub item: String,
    /// Time within which the fold's outcome is needed, in milliseconds
    pub timeout_ms: u64,
}

/// Result of a `Submit` request
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum SubmitReply {
    /// Outcome of the item in the fold, as JSON
    Applied(String),
    /// The item has no effect
    NoEffect,
    /// The item may still take effect
    Unknown,
}

/// Request for records of a log stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RelayRequest {
    pub stream: StreamName,
    /// Offset of the first record to return
    pub from: Offset,
    /// Maximum number of records to return
    pub max: u32,
}

/// Records of a log stream
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RelayedBatch {
    /// Offset of the oldest record that the replying instance has
    pub earliest: Offset,
    /// Offset after the newest record that the replying instance has
    pub next: Offset,
    /// Records with consecutive offsets
    pub records: Vec<RelayedRecord>,
}

/// Record of a log stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RelayedRecord {
    pub offset: Offset,
    /// Time of the append, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Text as appended
    pub data: String,
}

/// Rates and concurrency of an entry
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryRates {
    pub requests_per_s: f64,
    pub tokens_per_s: f64,
    /// Number of requests in flight
    pub in_flight: f64,
}

/// Demand of an instance for shares of the limits of entries that have the same home
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantRequest {
    /// Requesting instance
    pub instance: InstanceId,
    /// Entries with demand
    pub demands: Vec<EntryDemand>,
}

#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryDemand {
    pub entry: EntryName,
    /// Rates and concurrency requested by callers, including refused requests
    pub rates: EntryRates,
    /// Number of requests in flight
    pub held: u32,
}

/// Shares of the limits of entries
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantReply {
    /// One grant for each requested entry that the replying instance has in its catalogue
    pub grants: Vec<EntryGrant>,
}

/// Share of one entry's limits
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryGrant {
    pub entry: EntryName,
    /// Rates and concurrency that the instance may use
    pub rates: EntryRates,
    /// Time for which the share is valid, counted from when it was requested, in milliseconds
    pub ttl_ms: u64,
}

/// Request that was in flight on an endpoint that crashed
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StrikeReport {
    /// Fingerprint of the request's prompt
    pub fingerprint: PromptFingerprint,
    /// Endpoint that crashed; `None` to only query the count
    pub endpoint: Option<EndpointId>,
}

/// Number of crashes during requests with a fingerprint
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StrikeCount {
    /// Number of distinct endpoints that crashed
    pub strikes: u32,
}

/// Plan that the receiver has to confirm
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfirmRequest {
    pub pool: PoolName,
    /// Offset of the plan record
    pub plan: Offset,
    /// Engine that the plan changes
    pub engine: EndpointId,
}

/// Confirmation of a planned change
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfirmReply {
    /// Requests that the replying instance still has in flight on the engine
    pub in_flight: u32,
}

/// Load reports of engines
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReportDigest {
    /// Instance that polled the engines
    pub watcher: InstanceId,
    /// One line per engine
    pub lines: Vec<DigestLine>,
}

/// Load of one engine
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DigestLine {
    pub engine: EndpointId,
    /// Age of the report, in milliseconds
    pub age_ms: u32,
    /// Report, in an encoding that this crate doesn't interpret
    pub report: Vec<u8>,
}
