//! Claim of one key and its status.

use super::item::{
    ClaimOutcome, ClaimToken, KeyStatus, RequestDigest, UnknownOutcome, UnknownReason,
};
use super::text::hex_digest;
use catalogue::id::{EntryName, IdempotencyKey, InstanceId};

#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyClaim {
    /// Id of the claim
    pub token: ClaimToken,
    /// Digest of the request
    #[serde(with = "hex_digest")]
    pub digest: RequestDigest,
    /// Catalogue entry that was called
    pub entry: EntryName,
    /// Instance that may dispatch the call
    pub holder: InstanceId,
    /// Time of the claim by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Time by the platform's clock after which the outcome counts as unknown, in
    /// milliseconds since the Unix epoch
    #[serde(rename = "lapses_ms")]
    pub expires_ms: u64,
    /// Recorded status; see `status_at` for expiry
    #[serde(rename = "standing")]
    pub status: KeyStatus,
}

impl KeyClaim {
    /// Status at a time by the platform's clock
    pub fn status_at(&self, now_ms: u64) -> KeyStatus {
        match &self.status {
            KeyStatus::Open if now_ms > self.expires_ms => {
                KeyStatus::Unknown(UnknownReason::Expired)
            }
            status => status.clone(),
        }
    }

    /// Whether its holder has not yet recorded the outcome
    pub(super) fn is_unsettled(&self) -> bool {
        matches!(self.status, KeyStatus::Open | KeyStatus::Unknown(UnknownReason::Expired))
    }

    pub(super) fn to_unknown(&self, key: &IdempotencyKey, reason: UnknownReason) -> UnknownOutcome {
        UnknownOutcome {
            key: *key,
            token: self.token,
            digest: self.digest,
            entry: self.entry.clone(),
            holder: self.holder.clone(),
            time_ms: self.time_ms,
            reason,
        }
    }
}

/// Outcome of a claim of a key that already has a claim.
pub(super) fn evaluate_later_claim(
    claim: &KeyClaim,
    token: &ClaimToken,
    digest: &RequestDigest,
    entry: &EntryName,
    now_ms: u64,
) -> ClaimOutcome {
    if claim.token == *token && claim.status == KeyStatus::Open {
        return ClaimOutcome::Won;
    }
    if claim.digest != *digest || claim.entry != *entry {
        return ClaimOutcome::Mismatch;
    }
    ClaimOutcome::Held(claim.status_at(now_ms))
}

/// Claim restored from an unknown outcome, whose original records the log may have deleted.
pub(super) fn carried_claim(unknown: &UnknownOutcome) -> KeyClaim {
    KeyClaim {
        token: unknown.token,
        digest: unknown.digest,
        entry: unknown.entry.clone(),
        holder: unknown.holder.clone(),
        time_ms: unknown.time_ms,
        expires_ms: unknown.time_ms,
        status: KeyStatus::Unknown(unknown.reason),
    }
}
