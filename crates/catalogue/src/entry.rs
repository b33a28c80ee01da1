//! Catalogue entries and their validation.
//!
//! Operators write an entry as a TOML file; on the wire it is JSON. Field names of durations
//! end with the unit, and methods return them as `Duration`.

use crate::class::RequestClass;
use crate::fleet::EndpointKind;
use crate::id::{EndpointId, EntryName, KeyHash, ModelName, OwnerName, PoolName, TokenCount};
use smol_str::SmolStr;
use std::time::Duration;

/// Maximum length of the name of an entry, owner, pool or model, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest deadline that an entry may set.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
const KEY_HASH_HEX_DIGITS: usize = 64;

/// Kind of endpoint that serves an entry, with the model of an engine
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum EntryKind {
    /// Engines with a language model
    Engine {
        /// Model that the engines must have loaded
        model: ModelName,
        /// Version of the model
        version: SmolStr,
        /// Adapter of the model; `None` for the bare model
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<SmolStr>,
    },
    /// Plain HTTP services
    Service,
}

/// Limits of an entry over all instances together
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryLimits {
    pub requests_per_s: f64,
    /// Prompt and output tokens per second; ignored for services
    #[serde(default = "unlimited_tokens")]
    pub tokens_per_s: f64,
    /// Maximum number of requests in flight
    pub in_flight: u32,
    /// Maximum prompt length
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens: TokenCount,
    /// Maximum output length
    #[serde(default = "default_output_tokens")]
    pub output_tokens: TokenCount,
    /// Time limit for the complete answer, in milliseconds
    pub deadline_ms: u64,
    /// Time limit for the first token, in milliseconds
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
}

impl EntryLimits {
    /// Time limit for the complete answer
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Time limit for the first token
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }
}

fn unlimited_tokens() -> f64 {
    1e12
}

fn default_prompt_tokens() -> TokenCount {
    128_000
}

fn default_output_tokens() -> TokenCount {
    16_000
}

fn default_first_token_ms() -> u64 {
    10_000
}

/// Entry of the catalogue
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueEntry {
    /// Name, unique within the catalogue
    pub name: EntryName,
    /// Firm or team that owns it
    pub owner: OwnerName,
    /// Urgency class of its requests
    pub class: RequestClass,
    /// Whether its requests may run more than once
    pub idempotent: bool,
    /// Pool of endpoints that serves it
    pub pool: PoolName,
    /// Endpoints of the pool that may serve it; if empty, all of them
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointId>,
    /// SHA-256 hashes of the keys that may call it, in lower-case hex
    pub caller_key_sha256: Vec<KeyHash>,
    /// Kind of endpoint, with the model of an engine
    pub kind: EntryKind,
    /// Limits over all instances together
    pub limits: EntryLimits,
}

impl CatalogueEntry {
    /// Kind of endpoint that serves the entry
    pub fn endpoint_kind(&self) -> EndpointKind {
        match self.kind {
            EntryKind::Engine { .. } => EndpointKind::Engine,
            EntryKind::Service => EndpointKind::Service,
        }
    }

    /// Whether the entry allows the endpoint id; does not check the pool
    pub fn allows_endpoint(&self, endpoint: &str) -> bool {
        self.endpoints.is_empty() || self.endpoints.iter().any(|it| it == endpoint)
    }

    /// All faults of the entry; empty if it is valid
    pub fn faults(&self) -> Vec<EntryFault> {
        let mut faults = Vec::new();
        check_name("name", &self.name, &mut faults);
        check_name("owner", &self.owner, &mut faults);
        check_name("pool", &self.pool, &mut faults);
        self.check_keys(&mut faults);
        self.check_kind(&mut faults);
        self.limits.check(&mut faults);
        faults
    }

    fn check_keys(&self, faults: &mut Vec<EntryFault>) {
        if self.caller_key_sha256.is_empty() {
            faults.push(EntryFault::NoCallerKey);
        }
        for hash in &self.caller_key_sha256 {
            if !is_key_hash(hash) {
                faults.push(EntryFault::KeyHash(hash.clone()));
            }
        }
    }

    fn check_kind(&self, faults: &mut Vec<EntryFault>) {
        let EntryKind::Engine { model, version, .. } = &self.kind else {
            return;
        };
        check_name("kind.model", model, faults);
        check_name("kind.version", version, faults);
        if !self.idempotent {
            faults.push(EntryFault::EngineNotIdempotent);
        }
    }
}

impl EntryLimits {
    fn check(&self, faults: &mut Vec<EntryFault>) {
        check_rate("limits.requests_per_s", self.requests_per_s, faults);
        check_rate("limits.tokens_per_s", self.tokens_per_s, faults);
        check_count("limits.in_flight", self.in_flight.into(), faults);
        check_count("limits.prompt_tokens", self.prompt_tokens.into(), faults);
        check_count("limits.output_tokens", self.output_tokens.into(), faults);
        check_count("limits.deadline_ms", self.deadline_ms, faults);
        check_count("limits.first_token_ms", self.first_token_ms, faults);
        if self.deadline() > MAX_DEADLINE {
            faults.push(EntryFault::DeadlineTooLong);
        }
    }
}

/// Validation error of a catalogue entry
#[derive(Debug, Clone, PartialEq)]
#[derive(displaydoc::Display)]
pub enum EntryFault {
    /// {0} must be 1 to 64 letters, digits, '-', '_' or '.'
    Name(&'static str),
    /// {0} must be a finite rate above 0
    Rate(&'static str),
    /// {0} must be above 0
    Count(&'static str),
    /// limits.deadline_ms must be at most 3600000
    DeadlineTooLong,
    /// caller_key_sha256 must contain at least one key
    NoCallerKey,
    /// caller_key_sha256: {0} is not the lower-case hex of a SHA-256
    KeyHash(KeyHash),
    /// idempotent must be true for an entry that engines serve
    EngineNotIdempotent,
}

impl std::error::Error for EntryFault {}

fn check_name(field: &'static str, name: &str, faults: &mut Vec<EntryFault>) {
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    let is_valid_length = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if !is_valid_length || !name.chars().all(is_allowed) {
        faults.push(EntryFault::Name(field));
    }
}

fn check_rate(field: &'static str, rate: f64, faults: &mut Vec<EntryFault>) {
    if !rate.is_finite() || rate <= 0.0 {
        faults.push(EntryFault::Rate(field));
    }
}

fn check_count(field: &'static str, count: u64, faults: &mut Vec<EntryFault>) {
    if count == 0 {
        faults.push(EntryFault::Count(field));
    }
}

fn is_key_hash(hash: &str) -> bool {
    let is_hex = |it: u8| it.is_ascii_digit() || (b'a'..=b'f').contains(&it);
    hash.len() == KEY_HASH_HEX_DIGITS && hash.bytes().all(is_hex)
}
