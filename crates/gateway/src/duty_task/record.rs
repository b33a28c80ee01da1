//! Records of the duties' topic.

use bytes::Bytes;
use catalogue::id::Fence;
use decide::serving::duty_lease::{LeaseRecord, RECORD_FORMAT};
use platform_adapter::store::{KeyedRecord, RecordBatch};
use smol_str::SmolStr;

/// Key of the lease
pub const LEASE_KEY: &str = "lease";
/// Largest token of a lease; later terms need higher ones.
const MAX_FENCE: Fence = Fence::MAX / 2;

/// Encodes the record of the lease
///
/// # Errors
/// The encoder's error.
pub fn encode_lease(record: &LeaseRecord) -> serde_json::Result<(SmolStr, Bytes)> {
    Ok((SmolStr::new_static(LEASE_KEY), Bytes::from(serde_json::to_vec(record)?)))
}

/// Decodes a record of the lease; `None` if it is deleted, malformed, out of range or of another format
pub fn decode_lease(record: &KeyedRecord) -> Option<LeaseRecord> {
    let record: LeaseRecord = serde_json::from_slice(record.value.as_deref()?).ok()?;
    Some(record).filter(|it| it.format == RECORD_FORMAT && it.fence <= MAX_FENCE)
}

/// Records of the lease in a batch, in the order of the topic
pub fn lease_records(batch: &RecordBatch) -> Vec<Option<LeaseRecord>> {
    batch.records.iter().filter(|it| it.key == LEASE_KEY).map(decode_lease).collect()
}
