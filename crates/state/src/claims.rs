//! Fold of a claims stream: once-only work of one partition of keys.
//!
//! The first claim of a key wins and is the only one that may ever dispatch; it
//! ends with an outcome, or with a release if it certainly did not run. Keys carry
//! their time, so claims are kept for a window only: the fold refuses a claim whose
//! key is older than the window by the platform's clock, and the log must keep
//! records for longer than that.

use crate::stream::ItemPlace;
use catalogue::id::{EntryName, IdempotencyKey, InstanceId, Offset};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::time::Duration;
use twox_hash::XxHash3_64;
use uuid::Uuid;

/// Streams that keys are spread over.
pub const PARTITIONS: usize = 4;
/// Time after which a key is too old to claim.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(600);
/// Time by which a key may be ahead of the platform's clock.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(30);
/// Shortest retention of the log under which keys are safe.
pub const MIN_RETENTION: Duration = Duration::from_secs(1_200);
/// Time after a claim's deadline at which its outcome counts as unknown.
pub const LAPSE_GRACE: Duration = Duration::from_secs(30);
/// Unknown outcomes kept of each partition.
pub const MAX_UNKNOWNS: usize = 10_000;
/// Largest body of a recorded answer, in bytes.
pub const MAX_RECORDED_BODY: usize = 64 * 1024;
/// Time between two prunings, in milliseconds by the platform's clock.
const PRUNE_INTERVAL_MS: u64 = 60_000;

/// Number of a partition, below `PARTITIONS`.
pub type PartitionNumber = usize;
/// Id of one attempt to claim a key.
pub type ClaimToken = Uuid;
/// SHA-256 of method, path and body.
pub type RequestDigest = [u8; 32];

/// Partition of a key.
pub fn partition_of(key: &IdempotencyKey) -> PartitionNumber {
    (XxHash3_64::oneshot(key.as_bytes()) % PARTITIONS as u64) as PartitionNumber
}

/// Name of a partition's stream.
pub fn stream_name(partition: PartitionNumber) -> SmolStr {
    smol_str::format_smolstr!("claims.{partition:02}")
}

/// Why a key can't be claimed
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyFault {
    /// idempotency key is not a UUIDv7
    Form,
    /// idempotency key lies in the future
    Future,
    /// idempotency key is older than the window
    TooOld,
}

impl std::error::Error for KeyFault {}

/// Checks a key against a time, in milliseconds since the Unix epoch.
///
/// # Errors
/// `KeyFault`.
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

/// Time in a key, in milliseconds since the Unix epoch; none if it is not a UUIDv7.
pub fn key_time_ms(key: &IdempotencyKey) -> Option<u64> {
    if key.get_version_num() != 7 || key.get_variant() != uuid::Variant::RFC4122 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

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
    fn is_unsettled(&self) -> bool {
        matches!(self.standing, KeyStanding::Open | KeyStanding::Unknown(UnknownReason::Lapsed))
    }

    fn unknown(&self, key: &IdempotencyKey, reason: UnknownReason) -> UnknownOutcome {
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

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct KeyRecord {
    claim: Option<KeyClaim>,
    released: Vec<ClaimToken>,
    resolved: Option<(Resolution, SmolStr)>,
}

/// Claims of a partition after an offset
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimTable {
    keys: IndexMap<IdempotencyKey, KeyRecord>,
    now_ms: u64,
    /// Last offset folded
    through: Offset,
    /// Offset of the last record that settled or freed a claim
    settled: Offset,
}

impl ClaimTable {
    /// Claim of a key
    pub fn claim(&self, key: &IdempotencyKey) -> Option<&KeyClaim> {
        self.keys.get(key).and_then(|it| it.claim.as_ref())
    }

    /// Number of keys held
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Claims whose outcome isn't known at a time by the platform's clock, oldest first
    pub fn unknowns(&self, now_ms: u64) -> Vec<UnknownOutcome> {
        let now_ms = now_ms.max(self.now_ms);
        let unknown = |(key, record): (&IdempotencyKey, &KeyRecord)| {
            let claim = record.claim.as_ref()?;
            match claim.standing_at(now_ms) {
                KeyStanding::Unknown(reason) => Some(claim.unknown(key, reason)),
                _ => None,
            }
        };
        self.keys.iter().filter_map(unknown).collect()
    }

    /// Item that repeats the unknown outcomes at a time by the platform's clock; none
    /// if there are none
    pub fn carry(&self, now_ms: u64) -> Option<ClaimItem> {
        let unknowns = self.unknowns(now_ms);
        (!unknowns.is_empty()).then_some(ClaimItem::Carry { through: self.through, unknowns })
    }

    /// Folds one item
    pub fn apply(&mut self, place: ItemPlace, item: &ClaimItem) -> ClaimOutcome {
        let before_ms = self.now_ms;
        self.now_ms = before_ms.max(place.time_ms);
        if self.now_ms / PRUNE_INTERVAL_MS != before_ms / PRUNE_INTERVAL_MS {
            self.prune();
        }
        self.through = place.offset;
        let outcome = match item {
            ClaimItem::Claim { key, .. } => self.apply_claim(key, item),
            ClaimItem::Outcome { key, token, outcome } => self.apply_outcome(key, token, outcome),
            ClaimItem::Release { key, token } => self.apply_release(key, token),
            ClaimItem::Resolve { key, resolution, editor } => {
                self.apply_resolution(key, *resolution, editor)
            }
            ClaimItem::Carry { through, unknowns } if self.settled <= *through => {
                return self.apply_carry(unknowns);
            }
            ClaimItem::Carry { .. } => ClaimOutcome::Ignored,
        };
        if outcome == ClaimOutcome::Recorded {
            self.settled = place.offset;
        }
        outcome
    }

    fn apply_claim(&mut self, key: &IdempotencyKey, item: &ClaimItem) -> ClaimOutcome {
        let ClaimItem::Claim { token, digest, entry, holder, deadline_ms, .. } = item else {
            return ClaimOutcome::Ignored;
        };
        if let Err(fault) = check_key(key, self.now_ms) {
            return ClaimOutcome::Refused(fault);
        }
        let now_ms = self.now_ms;
        let deadline_ms = (*deadline_ms).min(CLAIM_WINDOW.as_millis() as u64);
        let record = self.keys.entry(*key).or_default();
        if record.released.contains(token) {
            return ClaimOutcome::Void;
        }
        if let Some(claim) = &record.claim {
            return judge_later(claim, token, digest, entry, now_ms);
        }
        let lapse_ms = deadline_ms + LAPSE_GRACE.as_millis() as u64;
        record.claim = Some(KeyClaim {
            token: *token,
            digest: *digest,
            entry: entry.clone(),
            holder: holder.clone(),
            time_ms: now_ms,
            lapses_ms: now_ms + lapse_ms,
            standing: KeyStanding::Open,
        });
        ClaimOutcome::Won
    }

    fn apply_outcome(
        &mut self,
        key: &IdempotencyKey,
        token: &ClaimToken,
        outcome: &RunOutcome,
    ) -> ClaimOutcome {
        let record = self.keys.get_mut(key);
        let claim = record.and_then(|it| it.claim.as_mut()).filter(|it| it.token == *token);
        let Some(claim) = claim else {
            return ClaimOutcome::Ignored;
        };
        match (&claim.standing, outcome) {
            (KeyStanding::Open, RunOutcome::Unknown(reason)) => {
                claim.standing = KeyStanding::Unknown(*reason);
            }
            (KeyStanding::Open | KeyStanding::Unknown(_), RunOutcome::Answered(answer)) => {
                claim.standing = KeyStanding::Answered(answer.clone());
            }
            _ => return ClaimOutcome::Ignored,
        }
        ClaimOutcome::Recorded
    }

    fn apply_release(&mut self, key: &IdempotencyKey, token: &ClaimToken) -> ClaimOutcome {
        let record = self.keys.entry(*key).or_default();
        if record.released.contains(token) {
            return ClaimOutcome::Ignored;
        }
        match &record.claim {
            Some(claim) if claim.token == *token && !claim.is_unsettled() => {
                return ClaimOutcome::Ignored;
            }
            Some(claim) if claim.token == *token => record.claim = None,
            _ => {}
        }
        record.released.push(*token);
        ClaimOutcome::Recorded
    }

    fn apply_resolution(
        &mut self,
        key: &IdempotencyKey,
        resolution: Resolution,
        editor: &SmolStr,
    ) -> ClaimOutcome {
        let now_ms = self.now_ms;
        let record = self.keys.entry(*key).or_default();
        let is_unknown = |it: &KeyClaim| matches!(it.standing_at(now_ms), KeyStanding::Unknown(_));
        match &mut record.claim {
            Some(claim) if is_unknown(claim) => {
                claim.standing = KeyStanding::Resolved { resolution, editor: editor.clone() };
            }
            Some(_) => return ClaimOutcome::Ignored,
            None if record.resolved.is_some() || !record.released.is_empty() => {
                return ClaimOutcome::Ignored;
            }
            None => {}
        }
        record.resolved = Some((resolution, editor.clone()));
        ClaimOutcome::Recorded
    }

    fn apply_carry(&mut self, unknowns: &[UnknownOutcome]) -> ClaimOutcome {
        for unknown in unknowns {
            let record = self.keys.entry(unknown.key).or_default();
            if record.claim.is_none() {
                record.claim = Some(carried_claim(unknown));
            }
        }
        ClaimOutcome::Recorded
    }

    fn prune(&mut self) {
        let now_ms = self.now_ms;
        let margin_ms = MAX_KEY_SKEW.as_millis() as u64;
        let mut unknowns = 0;
        for record in self.keys.values_mut() {
            let Some(claim) = &mut record.claim else {
                continue;
            };
            if claim.standing == KeyStanding::Open {
                claim.standing = claim.standing_at(now_ms);
            }
            unknowns += usize::from(matches!(claim.standing, KeyStanding::Unknown(_)));
        }
        let mut surplus = unknowns.saturating_sub(MAX_UNKNOWNS);
        self.keys.retain(|key, record| {
            if check_key(key, now_ms.saturating_sub(margin_ms)).is_ok() {
                return true;
            }
            let standing = record.claim.as_ref().map(|it| &it.standing);
            match standing {
                Some(KeyStanding::Open) => true,
                Some(KeyStanding::Unknown(_)) if surplus == 0 => true,
                Some(KeyStanding::Unknown(_)) => {
                    surplus -= 1;
                    false
                }
                _ => false,
            }
        });
    }
}

fn judge_later(
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

fn carried_claim(unknown: &UnknownOutcome) -> KeyClaim {
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

/// Digest as lower-case hex
mod hex_digest {
    use super::RequestDigest;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        digest: &RequestDigest,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut text = String::with_capacity(64);
        for byte in digest {
            text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
            text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
        }
        serializer.serialize_str(&text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestDigest, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut digest = RequestDigest::default();
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return Err(serde::de::Error::custom("digest is not 64 hex digits"));
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(serde::de::Error::custom)?;
        }
        Ok(digest)
    }
}

/// Body as base64
mod base64_body {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(body))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(serde::de::Error::custom)
    }
}
