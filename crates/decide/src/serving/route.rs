//! Routes and pools of the configuration in force.
//!
//! A configuration replaces the previous one as a whole, and only if its version is
//! higher, so that an instance never returns to an older one.

use super::customers::CustomerTable;
use catalogue::id::{PoolName, ZoneName};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;

/// Wait for an event of a stream after which it is given up, in multiples of the pause that its route allows.
/// A healthy engine's pauses grow to several times that while it reads long prompts or moves between batches.
const EVENT_LIMIT_PAUSES: u32 = 20;
/// Shortest such wait; an engine that is suspended for a moment goes on within it.
const MIN_EVENT_LIMIT: Duration = Duration::from_secs(5);

pub type RouteName = SmolStr;
/// Version of a configuration; later configurations have higher versions.
pub type ConfigVersion = u64;

/// Which requests of a route are retryable after they may have run
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryRule {
    /// Any request may run more than once
    Retryable,
    /// A stream may be resumed after its last complete event
    Resumable,
    /// A request that may have run is never retried
    Once,
}

impl RetryRule {
    /// Whether a request that may have run is retryable
    pub fn allows_second_run(self) -> bool {
        !matches!(self, RetryRule::Once)
    }
}

/// Pool that receives a weighted share of a route's requests
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Pool of endpoints
    pub pool: PoolName,
    /// Weight relative to the route's other targets
    pub weight: u32,
}

/// Route from a host and a path prefix to pools of endpoints
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    pub name: RouteName,
    /// Host name in lower case, without a port
    pub host: SmolStr,
    /// Prefix of the request paths, starting and ending with a slash
    pub path_prefix: SmolStr,
    /// Whether answers are event streams
    pub is_stream: bool,
    /// Which requests are retryable
    pub retry_rule: RetryRule,
    /// Time limit for the complete answer
    pub timeout: Duration,
    /// Latency objective: time within which an answer counts in full
    pub objective: Duration,
    /// Priority; 0 is the highest
    pub rank: u8,
    /// Longest pause between two events of an answer in time; `None` if the route states none
    pub pause_limit: Option<Duration>,
    /// Pools that serve the route; never empty
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints that one request may be sent to
    pub max_attempts: u32,
    /// Whether requests need no key and belong to no customer
    pub is_public: bool,
}

impl RouteConfig {
    /// Wait for the next event of a stream after which it is given up; `None` if only the deadline ends it
    ///
    /// A route that states no pause allows one as long as its objective.
    pub fn event_limit(&self) -> Option<Duration> {
        let pause = self.pause_limit.unwrap_or(self.objective);
        let limit = pause.saturating_mul(EVENT_LIMIT_PAUSES).max(MIN_EVENT_LIMIT);
        (!pause.is_zero()).then_some(limit)
    }

    /// Target of a request, chosen by weight; `draw` is uniform in 0..1
    pub fn target(&self, draw: f64) -> &RouteTarget {
        let total: f64 = self.targets.iter().map(|it| f64::from(it.weight)).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return target;
            }
        }
        &self.targets[self.targets.len() - 1]
    }
}

/// Configured capacity of each engine of a pool
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Maximum number of requests in one batch
    pub slots: u32,
    /// Cache capacity of an engine, in tokens
    pub cache_tokens: u64,
}

/// Rule by which the number of a pool's engines is ordered
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingRule {
    /// Least and largest number of engines in each zone, of both kinds together
    pub min: u32,
    pub max: u32,
    /// Time from an order until new engines serve
    pub startup: Duration,
    /// Price of a preemptible engine relative to another one; `None` if there are none
    pub preemptible_price: Option<f64>,
    /// Price of an engine-second by zone
    pub zone_prices: IndexMap<ZoneName, f64>,
}

/// Pool of interchangeable endpoints
#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    /// Maximum number of connections that an endpoint accepts from all instances together
    pub max_connections: u32,
    /// Path that answers whether an endpoint is healthy
    pub health_path: SmolStr,
    /// Second copies that may be sent per request; 0: none
    pub hedge_ratio: f64,
    /// Capacity of the engines; `None` for a plain service
    pub engine: Option<EngineCapacity>,
    /// Rule for the number of engines; `None` if it is fixed
    pub scaling: Option<ScalingRule>,
}

/// Limits on clients' connections and requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes
    pub max_body_bytes: usize,
    /// Time limit for reading a request head
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed
    pub idle_timeout: Duration,
}

/// Complete configuration
#[derive(Debug, Clone, PartialEq)]
pub struct ServingConfig {
    pub version: ConfigVersion,
    /// Routes of all hosts
    pub routes: Vec<RouteConfig>,
    pub pools: IndexMap<PoolName, PoolConfig>,
    /// Limits on clients' connections and requests
    pub limits: ClientLimits,
    /// Customers and their keys; `None` if requests need no key
    pub customers: Option<Rc<CustomerTable>>,
}

impl ServingConfig {
    /// Route of the host with the longest matching path prefix
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteConfig> {
        let host = strip_port(host);
        self.routes
            .iter()
            .filter(|it| it.host.eq_ignore_ascii_case(host) && path.starts_with(&*it.path_prefix))
            .max_by_key(|it| it.path_prefix.len())
    }

    /// Whether its version is higher than that of `current`
    pub fn replaces(&self, current: Option<&ServingConfig>) -> bool {
        current.is_none_or(|it| self.version > it.version)
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}
