//! Routes and services of the configuration in force.
//!
//! A configuration replaces the one before as a whole, and only by a higher version,
//! so that an instance never goes back.

use catalogue::id::PoolName;
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::time::Duration;

/// Name of a route.
pub type RouteName = SmolStr;
/// Version of a configuration; later ones are higher.
pub type ConfigVersion = u64;

/// What may be repeated of a route's requests
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepeatRule {
    /// Any request may run again
    Repeatable,
    /// A stream may be continued after its last whole event
    Resumable,
    /// A request that may have run is never sent again
    Once,
}

impl RepeatRule {
    /// Whether a request that may have run may be sent again
    pub fn allows_second_run(self) -> bool {
        !matches!(self, RepeatRule::Once)
    }
}

/// Part of a route's requests that goes to a pool
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Pool of endpoints
    pub pool: PoolName,
    /// Weight against the other targets
    pub weight: u32,
}

/// Route of a configuration
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRoute {
    /// Name
    pub name: RouteName,
    /// Host, in lower case and without a port
    pub host: SmolStr,
    /// Start of the paths it takes, from slash to slash
    pub path_prefix: SmolStr,
    /// Whether answers are event streams
    pub is_stream: bool,
    /// What may be repeated
    pub repeat: RepeatRule,
    /// Longest time until the final answer
    pub timeout: Duration,
    /// Time within which an answer counts in full
    pub objective: Duration,
    /// Rank among the kinds of request, 0 first
    pub rank: u8,
    /// Where requests go; never empty
    pub targets: Vec<RouteTarget>,
    /// Most endpoints that one request may be sent to
    pub max_attempts: u32,
}

impl ServiceRoute {
    /// Target of a request, drawn by `draw`, uniform in 0..1
    pub fn target(&self, draw: f64) -> &RouteTarget {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return target;
            }
        }
        &self.targets[self.targets.len() - 1]
    }
}

/// Engines of a pool, as far as the configuration describes them
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineShape {
    /// Requests in one batch
    pub slots: u32,
    /// Cache memory of an engine, in tokens
    pub cache_tokens: u64,
}

/// Pool of like endpoints
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePool {
    /// Most connections that an endpoint accepts from all callers together
    pub max_connections: u32,
    /// Shape of the engines; `None` for a plain service
    pub engine: Option<EngineShape>,
}

/// Bounds on what a client may send
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes
    pub max_head_bytes: usize,
    /// Largest body, in bytes
    pub max_body_bytes: usize,
    /// Longest time for a head
    pub head_timeout: Duration,
    /// Longest time that a connection stays idle
    pub idle_timeout: Duration,
}

/// Configuration as a whole
#[derive(Debug, Clone, PartialEq)]
pub struct ServingConfig {
    /// Version
    pub version: ConfigVersion,
    /// Routes
    pub routes: Vec<ServiceRoute>,
    /// Pools by name
    pub pools: IndexMap<PoolName, ServicePool>,
    /// Bounds on clients
    pub limits: ClientLimits,
}

impl ServingConfig {
    /// Route with the longest prefix of the path among those of the host
    pub fn route(&self, host: &str, path: &str) -> Option<&ServiceRoute> {
        let host = bare_host(host);
        self.routes
            .iter()
            .filter(|it| it.host.eq_ignore_ascii_case(host) && path.starts_with(&*it.path_prefix))
            .max_by_key(|it| it.path_prefix.len())
    }

    /// Whether it is to replace the one in force
    pub fn replaces(&self, current: Option<&ServingConfig>) -> bool {
        current.is_none_or(|it| self.version > it.version)
    }
}

fn bare_host(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}
