//! Fold of a partition's claims.

use super::claim::{KeyClaim, carried_claim, evaluate_later_claim};
use super::item::{
    ClaimItem, ClaimOutcome, ClaimToken, KeyStatus, Resolution, RunOutcome, UnknownOutcome,
};
use super::key::{CLAIM_WINDOW, MAX_KEY_SKEW, check_key};
use crate::stream::ItemPosition;
use catalogue::id::{IdempotencyKey, Offset};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::time::Duration;

/// Time after a claim's deadline at which its outcome counts as unknown.
pub const EXPIRY_GRACE: Duration = Duration::from_secs(30);
/// Maximum number of unknown outcomes kept per partition.
pub const MAX_UNKNOWNS: usize = 10_000;
/// Interval between two prunings, in milliseconds by the platform's clock.
const PRUNE_INTERVAL_MS: u64 = 60_000;

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct KeyRecord {
    claim: Option<KeyClaim>,
    released: Vec<ClaimToken>,
    resolved: Option<(Resolution, SmolStr)>,
}

/// Claims of a partition as folded through an offset
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimTable {
    keys: IndexMap<IdempotencyKey, KeyRecord>,
    now_ms: u64,
    /// Last offset folded
    through: Offset,
    /// Offset of the last record that settled or released a claim
    settled: Offset,
}

impl ClaimTable {
    /// Claim of a key, if there is one
    pub fn claim(&self, key: &IdempotencyKey) -> Option<&KeyClaim> {
        self.keys.get(key).and_then(|it| it.claim.as_ref())
    }

    /// Number of keys in the table
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the table has no keys
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Claims whose outcome is unknown at a time by the platform's clock, oldest first
    pub fn unknowns(&self, now_ms: u64) -> Vec<UnknownOutcome> {
        let now_ms = now_ms.max(self.now_ms);
        let unknown = |(key, record): (&IdempotencyKey, &KeyRecord)| {
            let claim = record.claim.as_ref()?;
            match claim.status_at(now_ms) {
                KeyStatus::Unknown(reason) => Some(claim.to_unknown(key, reason)),
                _ => None,
            }
        };
        self.keys.iter().filter_map(unknown).collect()
    }

    /// Item that appends the unknown outcomes at a time by the platform's clock again;
    /// `None` if there are none
    pub fn carry(&self, now_ms: u64) -> Option<ClaimItem> {
        let unknowns = self.unknowns(now_ms);
        (!unknowns.is_empty()).then_some(ClaimItem::Carry { through: self.through, unknowns })
    }

    /// Folds one item
    pub fn apply(&mut self, position: ItemPosition, item: &ClaimItem) -> ClaimOutcome {
        let before_ms = self.now_ms;
        self.now_ms = before_ms.max(position.time_ms);
        if self.now_ms / PRUNE_INTERVAL_MS != before_ms / PRUNE_INTERVAL_MS {
            self.prune();
        }
        self.through = position.offset;
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
            self.settled = position.offset;
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
            return evaluate_later_claim(claim, token, digest, entry, now_ms);
        }
        let lifetime_ms = deadline_ms + EXPIRY_GRACE.as_millis() as u64;
        record.claim = Some(KeyClaim {
            token: *token,
            digest: *digest,
            entry: entry.clone(),
            holder: holder.clone(),
            time_ms: now_ms,
            expires_ms: now_ms + lifetime_ms,
            status: KeyStatus::Open,
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
        match (&claim.status, outcome) {
            (KeyStatus::Open, RunOutcome::Unknown(reason)) => {
                claim.status = KeyStatus::Unknown(*reason);
            }
            (KeyStatus::Open | KeyStatus::Unknown(_), RunOutcome::Answered(answer)) => {
                claim.status = KeyStatus::Answered(answer.clone());
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
        let is_unknown = |it: &KeyClaim| matches!(it.status_at(now_ms), KeyStatus::Unknown(_));
        match &mut record.claim {
            Some(claim) if is_unknown(claim) => {
                claim.status = KeyStatus::Resolved { resolution, editor: editor.clone() };
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
            if claim.status == KeyStatus::Open {
                claim.status = claim.status_at(now_ms);
            }
            unknowns += usize::from(matches!(claim.status, KeyStatus::Unknown(_)));
        }
        let mut surplus = unknowns.saturating_sub(MAX_UNKNOWNS);
        self.keys.retain(|key, record| {
            if check_key(key, now_ms.saturating_sub(margin_ms)).is_ok() {
                return true;
            }
            let status = record.claim.as_ref().map(|it| &it.status);
            match status {
                Some(KeyStatus::Open) => true,
                Some(KeyStatus::Unknown(_)) if surplus == 0 => true,
                Some(KeyStatus::Unknown(_)) => {
                    surplus -= 1;
                    false
                }
                _ => false,
            }
        });
    }
}
