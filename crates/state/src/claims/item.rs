//! Items of a claims stream and what becomes of them.

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

/// Item of the stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimItem {
    /// Claims a key
    Claim {
        /// Key
        key: IdempotencyKey,
        /// Id of the attempt
        token: ClaimToken,
        /// Digest of the request
        #[serde(with = "hex_digest")]
        digest: RequestDigest,
        /// Entry that was called
        entry: EntryName,
        /// Instance that would dispatch
        holder: InstanceId,
        /// Time left until the deadline, in milliseconds
        deadline_ms: u64,
    },
    /// Records how the one run ended
    Outcome {
        /// Key
        key: IdempotencyKey,
        /// Id of the claim
        token: ClaimToken,
        /// How it ended
        outcome: RunOutcome,
    },
    /// Frees a key whose claim certainly did not and will not run
    Release {
        /// Key
        key: IdempotencyKey,
        /// Id of the claim
        token: ClaimToken,
    },
    /// Records what an operator found out about an unknown outcome
    Resolve {
        /// Key
        key: IdempotencyKey,
        /// What was found out
        resolution: Resolution,
        /// Who found it out
        editor: SmolStr,
    },
    /// Repeats unknown outcomes before the log forgets them
    Carry {
        /// Offset through which the list was drawn up
        through: Offset,
        /// Unknown outcomes
        unknowns: Vec<UnknownOutcome>,
    },
}

/// How a run ended
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The endpoint answered
    Answered(RecordedAnswer),
    /// Bytes left and no whole answer came
    Unknown(UnknownReason),
}

/// Answer kept for retries
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status
    pub status: u16,
    /// Headers to give back
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body, empty if it was larger than `MAX_RECORDED_BODY`
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
    /// Whether the body is the whole one
    pub is_whole: bool,
}

impl RecordedAnswer {
    /// Answer as it can be recorded: a body that is too large is left out
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

/// Why it isn't known whether a claim ran
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// endpoint gave no whole answer
    NoAnswer,
    /// holder gave no outcome in time
    Lapsed,
}

/// What an operator found out
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resolution {
    /// it ran
    Ran,
    /// it did not run
    NotRun,
}

/// Claim whose outcome isn't known
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct UnknownOutcome {
    /// Key
    pub key: IdempotencyKey,
    /// Id of the claim
    pub token: ClaimToken,
    /// Digest of the request
    #[serde(with = "hex_digest")]
    pub digest: RequestDigest,
    /// Entry that was called
    pub entry: EntryName,
    /// Instance that held the claim
    pub holder: InstanceId,
    /// Time of the claim by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Why it isn't known
    pub reason: UnknownReason,
}

/// Where a claimed key stands
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyStanding {
    /// Claimed, no outcome yet
    Open,
    /// Ran, with this answer
    Answered(RecordedAnswer),
    /// May have run
    Unknown(UnknownReason),
    /// May have run, until an operator found out
    Resolved {
        /// What was found out
        resolution: Resolution,
        /// Who found it out
        editor: SmolStr,
    },
}

/// What became of an item
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Claim is the key's one claim
    Won,
    /// Key has another claim, which stands so
    Held(KeyStanding),
    /// Key has a claim of another request
    Mismatch,
    /// Key can't be claimed
    Refused(KeyFault),
    /// Claim was released before it arrived
    Void,
    /// Outcome, release, resolution or carried list took effect
    Recorded,
    /// Item has no effect
    Ignored,
}
