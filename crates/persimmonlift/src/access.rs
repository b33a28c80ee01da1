//! Authentication of callers and the entries that their keys may call.

use crate::refusal::{CallerRefusal, RefusalCause};
use catalogue::id::KeyHash;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use state::catalogue::{CatalogueView, VersionedEntry};
use std::fmt::Write;
use std::sync::Arc;

const BEARER: &str = "Bearer ";

/// Bearer token of a request, if any
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(BEARER).map(str::trim).filter(|it| !it.is_empty())
}

/// Lower-case hex SHA-256 of a key
pub fn key_hash(key: &str) -> KeyHash {
    let digest = Sha256::digest(key.as_bytes());
    let mut hash = String::with_capacity(2 * digest.len());
    for byte in digest {
        // Writing to a string can't fail.
        let _ = write!(hash, "{byte:02x}");
    }
    SmolStr::from(hash)
}

/// Hash of the caller's bearer key
///
/// # Errors
/// `NoKey` if the request has no bearer key.
pub fn caller_key(headers: &HeaderMap) -> Result<KeyHash, CallerRefusal> {
    match bearer(headers) {
        Some(key) => Ok(key_hash(key)),
        None => Err(CallerRefusal::not_run(RefusalCause::NoKey)),
    }
}

/// Entries that a key may call
pub fn callable_entries<'a>(
    view: &'a CatalogueView,
    key: &'a KeyHash,
) -> impl Iterator<Item = &'a Arc<VersionedEntry>> {
    view.entries().filter(move |it| it.entry.caller_key_sha256.contains(key))
}

/// Looks up an entry that the key may call
///
/// # Errors
/// `UnknownKey` if the key may call no entry at all. `NoEntry` both if the entry is
/// absent and if it belongs to another owner, so callers can't probe for entries.
pub fn find_entry(
    view: &CatalogueView,
    key: &KeyHash,
    name: &str,
) -> Result<Arc<VersionedEntry>, CallerRefusal> {
    let entry = view.entry(name).filter(|it| it.entry.caller_key_sha256.contains(key));
    if let Some(entry) = entry {
        return Ok(entry.clone());
    }
    let is_known = callable_entries(view, key).next().is_some();
    let cause = if is_known { RefusalCause::NoEntry } else { RefusalCause::UnknownKey };
    Err(CallerRefusal::not_run(cause))
}
