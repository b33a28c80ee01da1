//! Instances and endpoints, as in the platform's list.

use crate::id::{ModelName, PoolName, RegionName, ZoneName};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Stages of a generation that an engine serves
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts and decodes; each of the two slows the other
    Mixed,
    /// Reads prompts and exports the cache
    Prefill,
    /// Imports the cache and decodes
    Decode,
}

impl EngineRole {
    /// Name in logs and metrics
    pub fn name(self) -> &'static str {
        match self {
            EngineRole::Mixed => "mixed",
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        }
    }

    /// Whether an engine of this role reads prompts
    pub fn prefills(self) -> bool {
        self != EngineRole::Decode
    }

    /// Whether an engine of this role decodes
    pub fn decodes(self) -> bool {
        self != EngineRole::Prefill
    }
}

/// Kind of an endpoint
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Language-model engine
    Engine,
    /// Plain HTTP service
    Service,
}

/// Kind of an entry in the platform's list
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Instance of this system
    Entry,
    /// Language-model engine
    Engine,
    /// Plain HTTP service
    Service,
}

/// State of an instance in the platform's list
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new work
    Live,
    /// Accepts no new work; about to stop
    Leaving,
}

/// Entry of the platform's list of instances and endpoints
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Id of the instance or endpoint
    pub id: SmolStr,
    /// Kind of instance or endpoint
    pub kind: InstanceKind,
    /// Pool of an endpoint; name of the deployment for an instance
    pub pool: PoolName,
    /// Availability zone of the instance or endpoint
    pub zone: ZoneName,
    /// Region of the zone
    pub region: RegionName,
    /// Serving address of an endpoint; peer address of an instance
    pub address: SocketAddr,
    /// Whether it accepts new work
    pub state: InstanceState,
    /// Whether the engine refuses orders with an old fencing number
    #[serde(default)]
    pub checks_fence: bool,
    /// Version of an endpoint's software; empty if it states none
    #[serde(default)]
    pub version: SmolStr,
}

/// Role and model that an order assigns to an engine
///
/// An order is absolute: it does not depend on the engine's current state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ModelTarget {
    /// Role to take
    pub role: EngineRole,
    /// Model to load
    pub model: ModelName,
    /// Version of the model
    pub version: SmolStr,
    /// Adapter of the model; `None` for the bare model
    #[serde(default)]
    pub adapter: Option<SmolStr>,
}
