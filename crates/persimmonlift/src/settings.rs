//! Settings of an instance, read from a TOML file.
//!
//! `check` compares the file with the table of keys and reports all faults at once; only
//! a file without faults is converted to `InstanceSettings`. Secrets are stored in separate
//! files and read last.

use crate::planner::settings::PlannerSettings;
use crate::settings_check::{SettingFault, check_table};
use catalogue::id::{InstanceId, RegionName, ZoneName};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Worker threads of a small instance.
const DEFAULT_WORKERS: usize = 4;

#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    pub instance: InstanceIdentity,
    pub listen: ListenSettings,
    pub platform: PlatformSettings,
    pub secrets: SecretSettings,
    #[serde(default)]
    pub limits: LimitSettings,
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    #[serde(default)]
    pub metrics: MetricSettings,
    #[serde(default)]
    pub planner: PlannerSettings,
}

/// Identity and location of an instance
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceIdentity {
    /// Unique id
    pub id: InstanceId,
    pub zone: ZoneName,
    pub region: RegionName,
    /// Name under which the platform lists the instances of the deployment
    pub deployment: SmolStr,
}

/// Addresses that an instance listens on
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' port
    pub caller: SocketAddr,
    /// Operators' port
    pub admin: SocketAddr,
    /// Port for other instances
    pub peer: SocketAddr,
}

/// Addresses of the platform
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Append-only log
    pub log: SocketAddr,
    /// List of instances
    pub instances: SocketAddr,
    /// Weight store
    pub weights: SocketAddr,
}

/// Files with an instance's secrets
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// Token of the operators' port
    pub admin_token_file: PathBuf,
    /// Token with which instances authenticate to each other
    pub peer_token_file: PathBuf,
}

/// Limits on memory, connections and requests
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes
    pub max_body_bytes: usize,
    /// Maximum size of an answer of a plain service, in bytes
    pub max_answer_bytes: usize,
    /// Maximum total size of request bodies in memory, in bytes
    pub max_held_bytes: usize,
    /// Maximum number of connections per port
    pub max_connections: usize,
    /// Maximum number of requests in flight
    pub max_in_flight: usize,
    /// Maximum number of requests in one admission queue
    pub queue_length: usize,
    pub worker_threads: usize,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            max_body_bytes: 4 << 20,
            max_answer_bytes: 8 << 20,
            max_held_bytes: 128 << 20,
            max_connections: 8_192,
            max_in_flight: 4_096,
            queue_length: 1_024,
            worker_threads: DEFAULT_WORKERS,
        }
    }
}

/// Timeouts and intervals, in milliseconds
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeoutSettings {
    /// Timeout for reading the head of a request
    pub head_ms: u64,
    /// Timeout for reading the body of a request
    pub body_ms: u64,
    /// Timeout of a write to a caller that makes no progress
    pub write_stall_ms: u64,
    /// Timeout for an engine to accept or refuse a generation
    pub engine_head_ms: u64,
    /// Timeout between two tokens of a stream
    pub between_tokens_ms: u64,
    /// Timeout of a call to the platform
    pub platform_ms: u64,
    /// How long the platform's log keeps records
    pub log_retention_ms: u64,
    /// Interval between two reads of the instance list
    pub list_ms: u64,
    /// Interval between two reads of an engine's report
    pub report_ms: u64,
    /// Time without contact to the log or a peer after which the instance turns unready
    pub isolation_ms: u64,
    /// Pause between turning unready and accepting no more connections
    pub drain_pause_ms: u64,
    /// Timeout for requests in flight to end after the pause
    pub drain_bound_ms: u64,
}

impl Default for TimeoutSettings {
    fn default() -> TimeoutSettings {
        TimeoutSettings {
            head_ms: 5_000,
            body_ms: 15_000,
            write_stall_ms: 20_000,
            engine_head_ms: 1_500,
            between_tokens_ms: 2_000,
            platform_ms: 1_000,
            log_retention_ms: 3_600_000,
            list_ms: 500,
            report_ms: 250,
            isolation_ms: 5_000,
            drain_pause_ms: 2_000,
            drain_bound_ms: 120_000,
        }
    }
}

impl TimeoutSettings {
    /// Timeout for reading the head of a request
    pub fn head(&self) -> Duration {
        Duration::from_millis(self.head_ms)
    }

    /// Timeout for reading the body of a request
    pub fn body(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Timeout of a write to a caller that makes no progress
    pub fn write_stall(&self) -> Duration {
        Duration::from_millis(self.write_stall_ms)
    }

    /// Timeout for an engine to accept or refuse a generation
    pub fn engine_head(&self) -> Duration {
        Duration::from_millis(self.engine_head_ms)
    }

    /// Timeout between two tokens of a stream
    pub fn between_tokens(&self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }

    /// Timeout of a call to the platform
    pub fn platform(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    /// How long the platform's log keeps records
    pub fn log_retention(&self) -> Duration {
        Duration::from_millis(self.log_retention_ms)
    }

    /// Interval between two reads of the instance list
    pub fn list(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    /// Interval between two reads of an engine's report
    pub fn report(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }

    /// Time without contact to the log or a peer after which the instance turns unready
    pub fn isolation(&self) -> Duration {
        Duration::from_millis(self.isolation_ms)
    }

    /// Pause between turning unready and accepting no more connections
    pub fn drain_pause(&self) -> Duration {
        Duration::from_millis(self.drain_pause_ms)
    }

    /// Timeout for requests in flight to end after the pause
    pub fn drain_bound(&self) -> Duration {
        Duration::from_millis(self.drain_bound_ms)
    }
}

/// Export of metrics
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Address of a statsd daemon; without it no metrics are sent
    #[serde(skip_serializing_if = "Option::is_none")]
    pub statsd: Option<SocketAddr>,
}

#[derive(Clone, PartialEq, Eq)]
pub struct InstanceSecrets {
    /// Token of the operators' port
    pub admin_token: SmolStr,
    /// Token with which instances authenticate to each other
    pub peer_token: SmolStr,
}

impl fmt::Debug for InstanceSecrets {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("InstanceSecrets").finish_non_exhaustive()
    }
}

impl InstanceSettings {
    /// Settings with all optional values at their defaults
    pub fn new(
        instance: InstanceIdentity,
        listen: ListenSettings,
        platform: PlatformSettings,
    ) -> InstanceSettings {
        InstanceSettings {
            instance,
            listen,
            platform,
            secrets: SecretSettings {
                admin_token_file: PathBuf::new(),
                peer_token_file: PathBuf::new(),
            },
            limits: LimitSettings::default(),
            timeouts: TimeoutSettings::default(),
            metrics: MetricSettings::default(),
            planner: PlannerSettings::default(),
        }
    }

    /// Parses the text of a settings file
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(text: &str) -> Result<InstanceSettings, Vec<SettingFault>> {
        let table: toml::Table =
            toml::from_str(text).map_err(|it| vec![SettingFault::syntax(&it)])?;
        let faults = check_table(&table);
        if !faults.is_empty() {
            return Err(faults);
        }
        toml::from_str(text).map_err(|it| vec![SettingFault::syntax(&it)])
    }

    /// Reads the secrets from their files
    ///
    /// # Errors
    /// All files that can't be read or are empty.
    pub fn read_secrets(&self) -> Result<InstanceSecrets, Vec<SettingFault>> {
        let admin = read_secret("secrets.admin_token_file", &self.secrets.admin_token_file);
        let peer = read_secret("secrets.peer_token_file", &self.secrets.peer_token_file);
        match (admin, peer) {
            (Ok(admin_token), Ok(peer_token)) => Ok(InstanceSecrets { admin_token, peer_token }),
            (admin, peer) => Err(admin.err().into_iter().chain(peer.err()).collect()),
        }
    }
}

fn read_secret(key: &str, path: &Path) -> Result<SmolStr, SettingFault> {
    let text = std::fs::read_to_string(path).map_err(|it| SettingFault::unreadable(key, it))?;
    let secret = SmolStr::new(text.trim());
    if secret.is_empty() { Err(SettingFault::empty_secret(key)) } else { Ok(secret) }
}
