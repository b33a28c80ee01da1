//! Idempotency keys: partition, timestamp and validity.

use catalogue::id::IdempotencyKey;
use smol_str::SmolStr;
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Number of streams that keys are distributed over.
pub const PARTITIONS: usize = 4;
/// Age at which a key is too old to claim.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(600);
/// Maximum time by which a key may be ahead of the platform's clock.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(30);
/// Minimum log retention for which claims are safe: it must exceed the claim window.
pub const MIN_RETENTION: Duration = Duration::from_secs(1_200);

/// Index of a partition, below `PARTITIONS`.
pub type PartitionNumber = usize;

pub fn partition_of(key: &IdempotencyKey) -> PartitionNumber {
    (XxHash3_64::oneshot(key.as_bytes()) % PARTITIONS as u64) as PartitionNumber
}

pub fn stream_name(partition: PartitionNumber) -> SmolStr {
    smol_str::format_smolstr!("claims.{partition:02}")
}

/// Reason why a key can't be claimed
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyFault {
    /// idempotency key is not a UUIDv7
    Form,
    /// timestamp of the idempotency key is in the future
    Future,
    /// idempotency key is older than the claim window
    TooOld,
}

impl std::error::Error for KeyFault {}

/// Checks whether a key can be claimed at a time, in milliseconds since the Unix epoch.
///
/// # Errors
/// `KeyFault` if it can't.
pub fn check_key(key: &IdempotencyKey, now_ms: u64) -> Result<(), KeyFault> {
    let key_ms = key_time_ms(key).ok_or(KeyFault::Form)?;
    if key_ms > now_ms + MAX_KEY_SKEW.as_millis() as u64 {
        return Err(KeyFault::Future);
    }
    if key_ms + (CLAIM_WINDOW.as_millis() as u64) < now_ms {
        return Err(KeyFault::TooOld);
    }
    Ok(())
}

/// Timestamp of a key, in milliseconds since the Unix epoch; `None` if it is not a UUIDv7.
pub fn key_time_ms(key: &IdempotencyKey) -> Option<u64> {
    if key.get_version_num() != 7 || key.get_variant() != uuid::Variant::RFC4122 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
