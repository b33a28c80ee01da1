//! Instances and endpoints as the platform lists them.

use crate::id::{ModelName, PoolName, RegionName, ZoneName};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Part that an engine plays in serving a request
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts and generates tokens, each slowing the other
    Mixed,
    /// Reads prompts and exports their cache
    Prefill,
    /// Imports cache and generates tokens
    Decode,
}

impl EngineRole {
    /// Name as it stands in logs and metrics
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

    /// Whether an engine of this role generates tokens
    pub fn decodes(self) -> bool {
        self != EngineRole::Prefill
    }
}

/// Kind of a back end
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Language-model engine
    Engine,
    /// Plain HTTP service
    Service,
}

/// Kind of a listed instance
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Entry instance of this system
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
    /// In service
    Live,
    /// Leaving: takes no new work
    Leaving,
}

/// One line of the platform's list of instances
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Instance or endpoint id
    pub id: SmolStr,
    /// What runs there
    pub kind: InstanceKind,
    /// Pool of an endpoint; the deployment's name for an entry instance
    pub pool: PoolName,
    /// Availability zone
    pub zone: ZoneName,
    /// Region
    pub region: RegionName,
    /// Serving address of an endpoint, peer address of an entry instance
    pub address: SocketAddr,
    /// Live or leaving
    pub state: InstanceState,
    /// Whether the engine refuses orders with an old fencing number
    #[serde(default)]
    pub checks_fence: bool,
}

/// What an engine is to serve: the content of an absolute order
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ModelTarget {
    /// Role to play
    pub role: EngineRole,
    /// Model to have loaded
    pub model: ModelName,
    /// Version of the model
    pub version: SmolStr,
    /// Adapter on top of the model
    #[serde(default)]
    pub adapter: Option<SmolStr>,
}
