//! Records of usage in the duties' topic: a snapshot of counts, and the fixed reports.
//!
//! Each report is written once, under a key of a ring, so that a long outage of the
//! control API doesn't make the records grow.

use bytes::Bytes;
use decide::serving::store_era::StoreEra;
use decide::serving::usage_ledger::{FixedReport, RECORD_FORMAT, UsageSnapshot};
use decide::serving::usage_report::WindowNumber;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};

/// Key of the snapshot
pub const SNAPSHOT_KEY: &str = "usage";
/// Number of fixed reports that are kept until they are accepted; older ones are given up.
pub const MAX_FIXED: WindowNumber = 32;
/// Maximum size of a decoded record in memory.
const MAX_DECODED_BYTES: usize = 64 * 1024 * 1024;

/// Key of the report of a window
pub fn report_key(window: WindowNumber) -> SmolStr {
    format_smolstr!("report.{}", window % MAX_FIXED)
}

/// All keys of reports
pub fn report_keys() -> impl Iterator<Item = SmolStr> {
    (0..MAX_FIXED).map(report_key)
}

/// Encodes a record
///
/// # Errors
/// The encoder's error.
pub fn encode(record: &impl Serialize) -> Result<Bytes, bincode::error::EncodeError> {
    Ok(bincode::serde::encode_to_vec(record, bincode::config::standard())?.into())
}

/// Encodes a record, followed by the era of the store in which it is written
///
/// # Errors
/// The encoder's error.
pub fn encode_in_era(
    record: &impl Serialize,
    era: StoreEra,
) -> Result<Bytes, bincode::error::EncodeError> {
    Ok([encode(record)?, encode(&era)?].concat().into())
}

/// Era of the store in which a report was written; `None` if it is malformed or a build before has written it
pub fn report_era(bytes: &[u8]) -> Option<StoreEra> {
    let (_, length) = decode_start::<FixedReport>(bytes)?;
    decode_start(&bytes[length..]).map(|it| it.0)
}

/// The same of a snapshot
pub fn snapshot_era(bytes: &[u8]) -> Option<StoreEra> {
    let (_, length) = decode_start::<UsageSnapshot>(bytes)?;
    decode_start(&bytes[length..]).map(|it| it.0)
}

/// Decodes a snapshot; `None` if it is malformed or of another format
pub fn decode_snapshot(bytes: &[u8]) -> Option<UsageSnapshot> {
    decode::<UsageSnapshot>(bytes).filter(|it| it.format == RECORD_FORMAT)
}

/// Decodes a fixed report; `None` if it is malformed or of another format
pub fn decode_report(bytes: &[u8]) -> Option<FixedReport> {
    decode::<FixedReport>(bytes).filter(|it| it.format == RECORD_FORMAT)
}

/// Fields that a newer version has appended are ignored
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode_start(bytes).map(|it| it.0)
}

/// Decodes the value at the start of bytes; also returns its length
fn decode_start<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    bincode::serde::decode_from_slice(bytes, config).ok()
}
