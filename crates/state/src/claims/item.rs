//! Items of a claims stream and their outcomes.

use super::key::KeyFault;
use super::text::{base64_body, hex_digest};
use catalogue::id::{EntryName, IdempotencyKey, InstanceId, Offset};
use smol_str::SmolStr;
use uuid::Uuid;

/// Largest body of a recorded answer, in bytes.
pub const MAX_RECORDED_BODY: usize = 64 * 1024;

/// Id of one attempt to claim a key.
pub type ClaimToken = Uuid;
/// SHA-256 of method, path and body.
pub type RequestDigest = [u8; 32];

/// Item of a claims stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimItem {
    /// Claims a key
    Claim {
        key: IdempotencyKey,
        /// Id of the attempt
        token: ClaimToken,
        /// Digest of the request
        #[serde(with = "hex_digest")]
        digest: RequestDigest,
        /// Catalogue entry that was called
        entry: EntryName,
        /// Instance that dispatches the call if the claim is won
        holder: InstanceId,
        /// Time left until the call's deadline, in milliseconds
        deadline_ms: u64,
    },
    /// Records the outcome of a dispatched call
    Outcome {
        key: IdempotencyKey,
        /// Id of the claim
        token: ClaimToken,
        outcome: RunOutcome,
    },
    /// Releases the key of a claim that certainly did not and will not run
    Release {
        key: IdempotencyKey,
        /// Id of the claim
        token: ClaimToken,
    },
    /// Records an operator's resolution of an unknown outcome
    Resolve {
        key: IdempotencyKey,
        /// Whether the call ran
        resolution: Resolution,
        /// Operator who resolved it
        editor: SmolStr,
    },
    /// Appends unknown outcomes again before the log's retention deletes them
    Carry {
        /// Last offset folded when the list was made
        through: Offset,
        unknowns: Vec<UnknownOutcome>,
    },
}

/// Outcome of a dispatched call
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The endpoint sent a complete answer
    Answered(RecordedAnswer),
    /// Bytes were sent and no complete answer arrived
    Unknown(UnknownReason),
}

/// Answer kept for retries
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status
    pub status: u16,
    /// Headers to return to the caller
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body, empty if it was larger than `MAX_RECORDED_BODY`
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
    /// Whether the body is complete
    pub is_whole: bool,
}

impl RecordedAnswer {
    /// Answer to record; a body larger than `MAX_RECORDED_BODY` is left out
    pub fn bounded(
        status: u16,
        headers: Vec<(SmolStr, SmolStr)>,
        body: impl Into<Vec<u8>>,
    ) -> RecordedAnswer {
        let body = body.into();
        let is_whole = body.len() <= MAX_RECORDED_BODY;
        RecordedAnswer { status, headers, body: if is_whole { body } else { Vec::new() }, is_whole }
    }
}

/// Reason why it is unknown whether a claimed call ran
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// endpoint sent no complete answer
    NoAnswer,
    /// holder recorded no outcome in time
    #[serde(rename = "lapsed")]
    Expired,
}

/// Operator's resolution of an unknown outcome
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resolution {
    /// it ran
    Ran,
    /// it did not run
    NotRun,
}

/// Claim whose outcome is unknown
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct UnknownOutcome {
    pub key: IdempotencyKey,
    /// Id of the claim
    pub token: ClaimToken,
    /// Digest of the request
    #[serde(with = "hex_digest")]
    pub digest: RequestDigest,
    /// Catalogue entry that was called
    pub entry: EntryName,
    /// Instance that holds the claim
    pub holder: InstanceId,
    /// Time of the claim by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Why the outcome is unknown
    pub reason: UnknownReason,
}

/// Status of a claimed key
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyStatus {
    /// Claimed, without an outcome so far
    Open,
    /// The call ran with this answer
    Answered(RecordedAnswer),
    /// The call may have run
    Unknown(UnknownReason),
    /// The outcome was unknown until an operator resolved it
    Resolved {
        /// Whether the call ran
        resolution: Resolution,
        /// Operator who resolved it
        editor: SmolStr,
    },
}

/// Outcome of an item
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The claim is the key's first and only one
    Won,
    /// The key has another claim, with this status
    Held(KeyStatus),
    /// The key has a claim of a different request
    Mismatch,
    /// The key can't be claimed
    Refused(KeyFault),
    /// The claim was released before it was appended
    Void,
    /// The outcome, release, resolution or list of unknown outcomes took effect
    Recorded,
    /// The item has no effect
    Ignored,
}
