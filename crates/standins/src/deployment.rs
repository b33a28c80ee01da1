//! Fleets and catalogues of the two sample deployments.

use catalogue::entry::{EntryKind, EntryLimits};
use catalogue::id::{KeyHash, ModelName, PoolName};
use catalogue::{CatalogueEntry, EngineRole, ModelTarget, RequestClass};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, format_smolstr};

/// Version of all models at the start
pub const MODEL_VERSION: &str = "1";
/// Second version in the weight store, for tests that change the version
pub const NEXT_MODEL_VERSION: &str = "2";

/// Sample deployment to start
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// Húsagerðarvaktin Statistical Trust
    Trust,
    /// Dongelek Brand Partners
    Dongelek,
}

/// Size and names of a deployment
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentPlan {
    /// Name of the deployment and of the pool of its entry instances
    pub name: SmolStr,
    pub region: SmolStr,
    pub zones: Vec<SmolStr>,
    /// Name of the engines' pool
    pub engine_pool: PoolName,
    pub engines: usize,
    /// Model that all engines serve
    pub model: ModelName,
    /// Name of the services' pool
    pub service_pool: PoolName,
    pub services: usize,
    /// Number of entry instances
    pub instances: usize,
}

impl DeploymentKind {
    /// Parses the name that settings and command lines use
    pub fn parse(name: &str) -> Option<DeploymentKind> {
        match name {
            "trust" => Some(DeploymentKind::Trust),
            "dongelek" => Some(DeploymentKind::Dongelek),
            _ => None,
        }
    }

    /// Size and names of the deployment
    pub fn plan(self) -> DeploymentPlan {
        match self {
            DeploymentKind::Trust => DeploymentPlan {
                name: "trust".into(),
                region: "south".into(),
                zones: zones("south", 3),
                engine_pool: "summary".into(),
                engines: 7,
                model: "dossier".into(),
                service_pool: "register".into(),
                services: 3,
                instances: 6,
            },
            DeploymentKind::Dongelek => DeploymentPlan {
                name: "dongelek".into(),
                region: "central".into(),
                zones: zones("central", 4),
                engine_pool: "sales".into(),
                engines: 8,
                model: "sales".into(),
                service_pool: "booking".into(),
                services: 4,
                instances: 7,
            },
        }
    }

    /// Catalogue entries that callers with `key` may use
    pub fn entries(self, key: &str) -> Vec<CatalogueEntry> {
        let plan = self.plan();
        let names = match self {
            DeploymentKind::Trust => {
                ["summaries", "clerk-queries", "register-entries", "register-lookups"]
            }
            DeploymentKind::Dongelek => {
                ["contract-checks", "pitch-drafts", "bookings", "availability"]
            }
        };
        let hash = key_hash(key);
        vec![
            engine_entry(&plan, names[0], RequestClass::Urgent, &hash),
            engine_entry(&plan, names[1], RequestClass::Interactive, &hash),
            service_entry(&plan, names[2], false, &hash),
            service_entry(&plan, names[3], true, &hash),
        ]
    }
}

impl DeploymentPlan {
    /// Zone of the endpoint or instance with this index; zones are assigned round-robin
    pub fn zone(&self, index: usize) -> SmolStr {
        self.zones[index % self.zones.len()].clone()
    }

    /// Target of the engines at the start
    pub fn target(&self, role: EngineRole) -> ModelTarget {
        let model = self.model.clone();
        ModelTarget { role, model, version: MODEL_VERSION.into(), adapter: None }
    }
}

/// Lower-case hex SHA-256 of a caller's key
pub fn key_hash(key: &str) -> KeyHash {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|it| format!("{it:02x}")).collect::<String>().into()
}

fn zones(region: &str, count: usize) -> Vec<SmolStr> {
    ["a", "b", "c", "d"].iter().take(count).map(|it| format_smolstr!("{region}-{it}")).collect()
}

fn engine_entry(
    plan: &DeploymentPlan,
    name: &str,
    class: RequestClass,
    hash: &KeyHash,
) -> CatalogueEntry {
    let kind = EntryKind::Engine {
        model: plan.model.clone(),
        version: MODEL_VERSION.into(),
        adapter: None,
    };
    CatalogueEntry {
        name: name.into(),
        owner: plan.name.clone(),
        class,
        idempotent: true,
        pool: plan.engine_pool.clone(),
        endpoints: Vec::new(),
        caller_key_sha256: vec![hash.clone()],
        kind,
        limits: limits(30_000),
    }
}

fn service_entry(
    plan: &DeploymentPlan,
    name: &str,
    idempotent: bool,
    hash: &KeyHash,
) -> CatalogueEntry {
    CatalogueEntry {
        name: name.into(),
        owner: plan.name.clone(),
        class: RequestClass::Standard,
        idempotent,
        pool: plan.service_pool.clone(),
        endpoints: Vec::new(),
        caller_key_sha256: vec![hash.clone()],
        kind: EntryKind::Service,
        limits: limits(10_000),
    }
}

fn limits(deadline_ms: u64) -> EntryLimits {
    EntryLimits {
        requests_per_s: 2_000.0,
        tokens_per_s: 1e9,
        in_flight: 2_000,
        prompt_tokens: 64_000,
        output_tokens: 4_000,
        deadline_ms,
        first_token_ms: 10_000,
    }
}
