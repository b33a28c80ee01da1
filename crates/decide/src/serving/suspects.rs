//! Suspected requests and prompt parts as the platform's store holds them, beyond the life of all instances.
//!
//! Each record holds the strikes of one request or part, with their times of day. One
//! instance keeps the records up to date; the others only note which ones it may have
//! written, in case they take over. Completions aren't kept: a record whose request
//! completes is removed.

use super::crash_table::{BrokenEndpoint, CrashFact, FactDigest, SuspectStrikes};
use crate::fingerprint::Fingerprint;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};

/// Version of the records; records of other versions are left alone.
pub const RECORD_FORMAT: u32 = 1;
/// Digest of a record that another instance may have written.
const UNKNOWN_RECORD: FactDigest = 0;

/// What a record is about
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SuspectKey {
    Request(Fingerprint),
    Part(Fingerprint),
}

impl SuspectKey {
    /// Key of the record
    pub fn format(self) -> SmolStr {
        match self {
            SuspectKey::Request(fingerprint) => format_smolstr!("request-{fingerprint:016x}"),
            SuspectKey::Part(fingerprint) => format_smolstr!("part-{fingerprint:016x}"),
        }
    }

    /// Parses the key of a record; `None` if it is malformed
    pub fn parse(key: &str) -> Option<SuspectKey> {
        let (kind, digits) = key.split_once('-')?;
        let fingerprint = Fingerprint::from_str_radix(digits, 16).ok()?;
        let parsed = match kind {
            "request" => SuspectKey::Request(fingerprint),
            "part" => SuspectKey::Part(fingerprint),
            _ => return None,
        };
        Some(parsed).filter(|it| it.format() == key)
    }

    /// Request or part that the record is about
    pub fn fingerprint(self) -> Fingerprint {
        match self {
            SuspectKey::Request(fingerprint) | SuspectKey::Part(fingerprint) => fingerprint,
        }
    }
}

/// Strike in a record
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredStrike {
    #[serde(flatten)]
    pub endpoint: BrokenEndpoint,
    /// Time of day, in Unix milliseconds
    pub at_ms: u64,
}

/// Record of a suspected request or part
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRecord {
    pub format: u32,
    /// Whether the writer had served the request before
    pub was_served: bool,
    pub strikes: Vec<StoredStrike>,
}

impl SuspectRecord {
    /// Record of strikes, at a time of day since the start of 1970
    pub fn new(
        suspect: &SuspectStrikes,
        was_served: bool,
        now: Instant,
        unix: Duration,
    ) -> SuspectRecord {
        let strikes = suspect.strikes.iter().map(|(endpoint, at)| {
            let at = unix.saturating_sub(now.saturating_duration_since(*at));
            let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            StoredStrike { endpoint: endpoint.clone(), at_ms }
        });
        SuspectRecord { format: RECORD_FORMAT, was_served, strikes: strikes.collect() }
    }

    /// Its strikes as facts, at a time of day since the start of 1970; a strike of the future has just happened
    pub fn facts(
        &self,
        fingerprint: Fingerprint,
        unix: Duration,
    ) -> impl Iterator<Item = CrashFact> {
        self.strikes.iter().map(move |it| {
            let age = unix.saturating_sub(Duration::from_millis(it.at_ms)).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            CrashFact { fingerprint, broken: Some(it.endpoint.clone()), age_ms }
        })
    }
}

/// What the store lacks, and what it holds in vain
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    pub written: Vec<SuspectKey>,
    pub removed: Vec<SuspectKey>,
}

impl SuspectChanges {
    /// Whether the store holds what it should
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}

/// Records that the store holds, as far as this instance knows
#[derive(Debug, Clone, Default)]
pub struct StoredSuspects {
    records: IndexMap<SuspectKey, FactDigest>,
}

impl StoredSuspects {
    /// Records that the store holds these keys, with unknown content, and no others
    pub fn replace(&mut self, keys: impl Iterator<Item = SuspectKey>) {
        self.records = keys.map(|it| (it, UNKNOWN_RECORD)).collect();
    }

    /// Records that another instance may have written all current records
    pub fn note_others(&mut self, current: &IndexMap<SuspectKey, FactDigest>) {
        self.records.extend(current.keys().map(|it| (*it, UNKNOWN_RECORD)));
    }

    /// What has to be written or removed so that the store holds the current records
    pub fn changes(&self, current: &IndexMap<SuspectKey, FactDigest>) -> SuspectChanges {
        let written =
            current.iter().filter(|(key, digest)| self.records.get(*key) != Some(*digest));
        let removed = self.records.keys().filter(|it| !current.contains_key(*it));
        SuspectChanges {
            written: written.map(|it| *it.0).collect(),
            removed: removed.copied().collect(),
        }
    }

    /// Records that the store holds exactly the current records
    pub fn confirm(&mut self, current: IndexMap<SuspectKey, FactDigest>) {
        self.records = current;
    }
}
