//! Claim of one key and where it stands.

use super::item::{
    ClaimOutcome, ClaimToken, KeyStanding, RequestDigest, UnknownOutcome, UnknownReason,
};
use super::text::hex_digest;
use catalogue::id::{EntryName, IdempotencyKey, InstanceId};

/// Claim of a key
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyClaim {
    /// Id of the claim
    pub token: ClaimToken,
    /// Digest of the request
    #[serde(with = "hex_digest")]
    pub digest: RequestDigest,
    /// Entry that was called
    pub entry: EntryName,
    /// Instance that dispatches
    pub holder: InstanceId,
    /// Time of the claim by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Time by the platform's clock after which no outcome is expected
    pub lapses_ms: u64,
    /// Where it stands
    pub standing: KeyStanding,
}

impl KeyClaim {
    /// Where the claim stands at a time by the platform's clock
    pub fn standing_at(&self, now_ms: u64) -> KeyStanding {
        match &self.standing {
            KeyStanding::Open if now_ms > self.lapses_ms => {
                KeyStanding::Unknown(UnknownReason::Lapsed)
            }
            standing => standing.clone(),
        }
    }

    /// Whether its holder has not yet said how it ended
    pub(super) fn is_unsettled(&self) -> bool {
        matches!(self.standing, KeyStanding::Open | KeyStanding::Unknown(UnknownReason::Lapsed))
    }

    pub(super) fn unknown(&self, key: &IdempotencyKey, reason: UnknownReason) -> UnknownOutcome {
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

/// Verdict on a claim of a key that has one.
pub(super) fn judge_later(
    claim: &KeyClaim,
    token: &ClaimToken,
    digest: &RequestDigest,
    entry: &EntryName,
    now_ms: u64,
) -> ClaimOutcome {
    if claim.token == *token && claim.standing == KeyStanding::Open {
        return ClaimOutcome::Won;
    }
    if claim.digest != *digest || claim.entry != *entry {
        return ClaimOutcome::Mismatch;
    }
    ClaimOutcome::Held(claim.standing_at(now_ms))
}

/// Claim of an unknown outcome whose own records the log may have forgotten.
pub(super) fn carried_claim(unknown: &UnknownOutcome) -> KeyClaim {
    KeyClaim {
        token: unknown.token,
        digest: unknown.digest,
        entry: unknown.entry.clone(),
        holder: unknown.holder.clone(),
        time_ms: unknown.time_ms,
        lapses_ms: unknown.time_ms,
        standing: KeyStanding::Unknown(unknown.reason),
    }
}
