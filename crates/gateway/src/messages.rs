//! Datagrams between instances, encoded with `bincode`.

use catalogue::id::{EndpointId, InstanceId, PoolName, ZoneName};
use decide::serving::crash_table::{CrashFact, FactDigest};
use decide::serving::endpoint_list::IncarnationStart;
use decide::serving::endpoint_list::ListOffset;
use decide::serving::health::HealthUpdate;
use decide::serving::leader::PeerInstance;
use decide::serving::load::{EndpointWork, WorkCount};
use decide::serving::prompt::PromptPrefix;
use decide::serving::rate_limit::LimitReport;
use decide::serving::route::ConfigVersion;
use decide::serving::store_era::TopicPosition;
use decide::serving::stream_origins::{StreamKey, StreamOrigin, VersionView};
use decide::serving::timing::StageSample;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of a message; the work at 60 endpoints takes about 1,000 bytes, at 640 about 12,000.
pub const MAX_MESSAGE_BYTES: usize = 48 * 1024;
/// Maximum size of a decoded message in memory, where fields are wider.
const MAX_DECODED_BYTES: usize = 256 * 1024;
/// Version of the message format; messages of other versions are ignored.
const MESSAGE_VERSION: u8 = 16;
/// Maximum number of prompt reads in one update; about 60 bytes each, well below
/// `MAX_MESSAGE_BYTES`.
const MAX_UPDATE_READS: usize = 200;
/// Maximum number of facts on crashes in one update; about 30 bytes each.
const MAX_UPDATE_CRASHES: usize = 100;
/// Maximum number of facts on crashes, of requests or of prompt parts, in one repair.
const MAX_REPAIR_CRASHES: usize = 600;
/// Maximum number of leaving endpoints in one repair; the last ones are sent.
const MAX_REPAIR_LEAVING: usize = 400;
/// Maximum number of health changes in one update; about 20 bytes each.
const MAX_UPDATE_HEALTH: usize = 100;
/// Maximum number of limits in one update; about 35 bytes each.
const MAX_UPDATE_LIMITS: usize = 60;
/// Maximum number of leaving endpoints in one update; about 20 bytes each.
const MAX_UPDATE_LEAVING: usize = 100;

/// Maximum number of begun streams in one update; about 10 bytes each.
const MAX_UPDATE_STREAMS: usize = 300;

/// Instances whose work a message contains
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum WorkScope {
    /// Work of the sender
    Own,
    /// Work of the sender's zone, from leader to leader
    Zone,
    /// Work of all instances except the receiver, from leader to member
    Rest,
}

/// Prompt that an engine has read
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PromptRead {
    /// Engine that has read it
    pub engine: EndpointId,
    /// Start of the engine's incarnation, in Unix milliseconds
    pub started_at_ms: u64,
    /// Prefixes of the prompt that the engine now holds in its cache
    pub prefixes: Vec<PromptPrefix>,
    /// Time that it took; `None` if that doesn't show the engine's speed
    pub sample: Option<StageSample>,
}

/// Streams that have begun at endpoints of one pool and software version
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BegunStreams {
    pub origin: StreamOrigin,
    pub streams: Vec<StreamKey>,
}

/// Observations of an instance that it sends to the others
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServingUpdate {
    /// Prompts that engines have read
    pub reads: Vec<PromptRead>,
    /// Requests that ran at endpoints that crashed, or completed after that
    pub crashes: Vec<CrashFact>,
    /// Prompt parts of requests that ran at engines that crashed, or on which an answer has begun after that
    pub part_crashes: Vec<CrashFact>,
    /// Changes in the health of endpoints
    pub health: Vec<(EndpointId, HealthUpdate)>,
    /// Incarnations of endpoints that are leaving by their own notices
    pub leaving: Vec<(EndpointId, IncarnationStart)>,
    /// Limits that endpoints have named, or ended
    pub limits: Vec<LimitReport>,
    /// Streams that have begun, by origin
    pub streams: Vec<BegunStreams>,
}

impl ServingUpdate {
    /// Appends another update; the oldest entries beyond the limits of one message are dropped
    pub fn extend(&mut self, other: ServingUpdate) {
        extend_newest(&mut self.reads, other.reads, MAX_UPDATE_READS);
        extend_newest(&mut self.crashes, other.crashes, MAX_UPDATE_CRASHES);
        extend_facts(&mut self.part_crashes, other.part_crashes, MAX_UPDATE_CRASHES);
        extend_newest(&mut self.health, other.health, MAX_UPDATE_HEALTH);
        extend_newest(&mut self.leaving, other.leaving, MAX_UPDATE_LEAVING);
        extend_newest(&mut self.limits, other.limits, MAX_UPDATE_LIMITS);
        extend_streams(&mut self.streams, other.streams);
    }

    /// Removes a begun stream
    pub fn remove_stream(&mut self, stream: StreamKey) {
        for begun in &mut self.streams {
            begun.streams.retain(|it| *it != stream);
        }
        self.streams.retain(|it| !it.streams.is_empty());
    }
}

/// Appends entries and drops the oldest ones beyond a limit
fn extend_newest<T>(entries: &mut Vec<T>, newer: Vec<T>, limit: usize) {
    entries.extend(newer);
    entries.drain(..entries.len().saturating_sub(limit));
}

/// Appends streams by origin, and drops the oldest ones of the first origins beyond the limit
fn extend_streams(begun: &mut Vec<BegunStreams>, newer: Vec<BegunStreams>) {
    for BegunStreams { origin, streams } in newer {
        match begun.iter_mut().find(|it| it.origin == origin) {
            Some(known) => known.streams.extend(streams),
            None => begun.push(BegunStreams { origin, streams }),
        }
    }
    let count = begun.iter().map(|it| it.streams.len()).sum::<usize>();
    let mut excess = count.saturating_sub(MAX_UPDATE_STREAMS);
    for it in begun.iter_mut() {
        let dropped = excess.min(it.streams.len());
        it.streams.drain(..dropped);
        excess -= dropped;
    }
    begun.retain(|it| !it.streams.is_empty());
}

/// Appends facts without those that say the same, and drops the oldest ones beyond a limit
///
/// Many instances see the crash of one engine, or the next answers on a popular part, at the same time.
fn extend_facts(facts: &mut Vec<CrashFact>, newer: Vec<CrashFact>, limit: usize) {
    let same = |one: &CrashFact, other: &CrashFact| {
        let id = |it: &CrashFact| it.broken.as_ref().map(|it| it.id.clone());
        one.fingerprint == other.fingerprint && id(one) == id(other)
    };
    for fact in newer {
        facts.retain(|it| !same(it, &fact));
        facts.push(fact);
    }
    facts.drain(..facts.len().saturating_sub(limit));
}

/// Facts that an instance knows, for one that lacks some
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FactRepair {
    /// Requests that ran at endpoints that crashed, or completed after that
    pub crashes: Vec<CrashFact>,
    /// Prompt parts of requests that ran at engines that crashed, or on which an answer has begun after that
    pub part_crashes: Vec<CrashFact>,
    /// Incarnations of endpoints that are leaving by their own notices
    pub leaving: Vec<(EndpointId, IncarnationStart)>,
}

impl FactRepair {
    /// Repair of what is known of requests and endpoints that fits into a message
    pub fn new(
        mut crashes: Vec<CrashFact>,
        mut leaving: Vec<(EndpointId, IncarnationStart)>,
    ) -> FactRepair {
        crashes.truncate(MAX_REPAIR_CRASHES);
        leaving.reverse();
        leaving.truncate(MAX_REPAIR_LEAVING);
        FactRepair { crashes, leaving, part_crashes: Vec::new() }
    }

    /// Repair of what is known of prompt parts that fits into a message
    pub fn of_parts(mut part_crashes: Vec<CrashFact>) -> FactRepair {
        part_crashes.truncate(MAX_REPAIR_CRASHES);
        FactRepair { part_crashes, ..FactRepair::default() }
    }
}

/// Endpoint records that the sender has read from the store in one era
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Position of the first record
    pub from: TopicPosition,
    /// Position after the last one
    pub to: TopicPosition,
    /// Key, value (`None` if the key was deleted) and offset of each record
    pub records: Vec<(EndpointId, Option<Vec<u8>>, ListOffset)>,
}

/// State of the store, sent by the instance that reads it for others
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Version of the configuration in force
    pub config_version: ConfigVersion,
    /// Position after the configurations that the sender has read, in the same era as the endpoint records
    pub config_end: TopicPosition,
    /// That configuration as the store holds it, if it is new and fits into a message
    pub config: Option<Vec<u8>>,
    /// Whether the sender transfers that configuration to whoever asks
    pub offers_config: bool,
    /// Endpoint records, possibly none
    pub endpoints: EndpointUpdate,
    /// Time left in which removed endpoints stay in use, since the store has just become readable again, in
    /// milliseconds. Encoded after the rest of the message, where builds that don't know it ignore it.
    #[serde(skip)]
    pub grace_left_ms: u16,
}

/// Requests, unread prompt tokens, demand and recent sends at an endpoint.
pub type ListedWork = (EndpointId, u32, u64, u32, u32);

/// Content of a message
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MessageBody {
    /// Work by endpoint, with observations since the last message
    Work(WorkScope, Vec<ListedWork>, ServingUpdate),
    Store(StoreUpdate),
    Repair(FactRepair),
    /// Question for the origin of a stream on a route to a pool
    OriginQuery {
        stream: StreamKey,
        pool: PoolName,
    },
    /// Answer to such a question; without an origin, what the sender's list tells
    OriginAnswer {
        stream: StreamKey,
        origin: Option<StreamOrigin>,
        view: VersionView,
    },
}

impl MessageBody {
    /// Whether it is a question for the origin of a stream, or the answer to one
    pub fn is_origin(&self) -> bool {
        matches!(self, MessageBody::OriginQuery { .. } | MessageBody::OriginAnswer { .. })
    }
}

/// Message between instances
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerMessage {
    version: u8,
    /// Sender
    pub instance: InstanceId,
    /// Sender's availability zone
    pub zone: ZoneName,
    /// Sender's share of a core, in thousandths
    pub power: u32,
    /// Number of instances that the sender knows; 0 until it knows it
    pub instances: u32,
    /// Digest of the facts that the sender knows
    pub digest: FactDigest,
    /// Whether the sender reaches the endpoints
    pub reaches_endpoints: bool,
    pub body: MessageBody,
    /// Whether the sender takes over requests of instances that reach no endpoint. Encoded after the rest, where
    /// builds that don't know it ignore it.
    #[serde(skip, default = "default_takes_requests")]
    pub takes_requests: bool,
}

/// What a message of a build means that doesn't say whether it takes requests over
fn default_takes_requests() -> bool {
    true
}

impl PeerMessage {
    /// Message of an instance in the current format version
    pub fn new(
        instance: InstanceId,
        sender: &PeerInstance,
        instances: Option<usize>,
        digest: FactDigest,
        reaches_endpoints: bool,
        body: MessageBody,
    ) -> PeerMessage {
        let (zone, power) = (sender.zone.clone(), sender.power);
        let instances = instances.and_then(|it| u32::try_from(it).ok()).unwrap_or(0);
        let version = MESSAGE_VERSION;
        PeerMessage {
            version,
            instance,
            zone,
            power,
            instances,
            digest,
            reaches_endpoints,
            body,
            takes_requests: default_takes_requests(),
        }
    }

    /// Encodes the message
    ///
    /// # Errors
    /// The encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>, bincode::error::EncodeError> {
        let mut bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())?;
        bytes.push(u8::from(self.takes_requests));
        if let MessageBody::Store(update) = &self.body {
            bytes.extend(update.grace_left_ms.to_be_bytes());
        }
        Ok(bytes)
    }

    /// Decodes a message; `None` if it is malformed or of another version
    pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let (mut message, length): (PeerMessage, _) =
            bincode::serde::decode_from_slice(bytes, config).ok()?;
        let mut rest = bytes.get(length..).unwrap_or_default();
        if let Some((takes_requests, after)) = rest.split_first() {
            message.takes_requests = *takes_requests != 0;
            rest = after;
        }
        if let (MessageBody::Store(update), Some(left)) = (&mut message.body, rest.first_chunk()) {
            update.grace_left_ms = u16::from_be_bytes(*left);
        }
        Some(message).filter(|it| it.version == MESSAGE_VERSION)
    }

    /// Sender as an entry of the instance table
    pub fn sender(&self, address: SocketAddr) -> PeerInstance {
        PeerInstance { address, zone: self.zone.clone(), power: self.power }
    }
}

/// Encodes work by endpoint as a message body
pub fn work_body(scope: WorkScope, work: &EndpointWork, update: ServingUpdate) -> MessageBody {
    let work =
        work.iter().map(|(id, it)| (id.clone(), it.requests, it.unread_tokens, it.demand, it.sent));
    MessageBody::Work(scope, work.collect(), update)
}

/// Decodes work by endpoint from a message body
pub fn received_work(work: Vec<ListedWork>) -> EndpointWork {
    let counts = work.into_iter().map(|(endpoint, requests, unread_tokens, demand, sent)| {
        (endpoint, WorkCount { requests, unread_tokens, demand, sent })
    });
    counts.collect()
}
