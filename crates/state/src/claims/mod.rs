//! Fold of a claims stream: once-only work of one partition of keys.
//!
//! The first claim of a key wins, and only its holder may dispatch the call. The claim
//! ends with an outcome, or with a release if the call certainly did not run. Keys
//! contain a timestamp, so claims are kept for a limited window: the fold refuses a claim
//! whose key is older than the window by the platform's clock, and the log must retain
//! records for longer than that.

mod claim;
mod item;
mod key;
mod table;
mod text;

pub use claim::KeyClaim;
pub use item::{
    ClaimItem, ClaimOutcome, ClaimToken, KeyStatus, MAX_RECORDED_BODY, RecordedAnswer,
    RequestDigest, Resolution, RunOutcome, UnknownOutcome, UnknownReason,
};
pub use key::{
    CLAIM_WINDOW, KeyFault, MAX_KEY_SKEW, MIN_RETENTION, PARTITIONS, PartitionNumber, check_key,
    key_time_ms, partition_of, stream_name,
};
pub use table::{ClaimTable, EXPIRY_GRACE, MAX_UNKNOWNS};
