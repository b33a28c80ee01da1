//! Keeps the suspected requests and prompt parts in the platform's store.
//!
//! Instances exchange what they know of crashes and repair it, but all of them may end at
//! once. Each therefore reads the records at its start, before it is ready if the store
//! answers soon enough, and the one that reads the store for others writes them. Requests
//! never wait for the store.

use crate::follow::read_from;
use crate::state::Gateway;
use crate::store_backoff::{ReadFailure, StoreBackoff};
use bytes::Bytes;
use decide::serving::crash_table::{FactDigest, StrikeScope, SuspectStrikes};
use decide::serving::store_era::EraChange;
use decide::serving::suspects::{RECORD_FORMAT, StoredSuspects, SuspectKey, SuspectRecord};
use indexmap::IndexMap;
use platform_adapter::store::{KeyedRecord, SUSPECT_TOPIC, StoreError};
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};

/// Maximum number of requests, and of parts, that are kept.
const MAX_SUSPECTS: usize = 64;
/// Pause from a change until it is written: the status of an endpoint is often known soon after its crash.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Pause after a write, so that changes in quick succession are written together.
const WRITE_PAUSE: Duration = Duration::from_millis(400);
/// Interval of checks without a change, for what has expired.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

type CurrentSuspects = IndexMap<SuspectKey, (SuspectStrikes, bool)>;

/// Reads the records once, and then keeps them up to date while `writes_for_others` says so
pub async fn keep_suspects(gateway: Rc<Gateway>, writes_for_others: impl Fn(Instant) -> bool) {
    let mut eras = gateway.era_changes.subscribe();
    let mut backoff = StoreBackoff::new(SUSPECT_TOPIC);
    let mut stored = StoredSuspects::default();
    let mut is_started = false;
    let mut is_read_due = true;
    loop {
        if is_read_due && (!is_started || writes_for_others(Instant::now())) {
            eras.mark_unchanged();
            match read_from(&gateway, SUSPECT_TOPIC, None, Duration::ZERO).await {
                Ok((batch, _)) => {
                    backoff.succeeded();
                    stored.replace(record_keys(&batch.records));
                    // Later, this instance knows more than a copy that the store has come back from.
                    if !is_started {
                        gateway.apply_stored_suspects(&batch.records);
                        gateway.has_read_suspects.set(true);
                        is_started = true;
                    }
                    is_read_due = false;
                }
                Err(failure) => {
                    sleep(pause_after(&mut backoff, &failure)).await;
                    continue;
                }
            }
        }
        if write_changes(&gateway, &mut stored, &writes_for_others).await {
            sleep(WRITE_PAUSE).await;
            continue;
        }
        tokio::select! {
            // A timeout leads to the next check as well.
            _ = timeout(CHECK_INTERVAL, gateway.suspects_changed.notified()) => {
                sleep(SETTLE_TIME).await;
            }
            _ = eras.changed() => is_read_due = true,
        }
    }
}

fn pause_after(backoff: &mut StoreBackoff, failure: &ReadFailure) -> Duration {
    match failure.error {
        StoreError::OtherEra => WRITE_PAUSE,
        _ => backoff.failed(failure),
    }
}

/// Writes what the store lacks and removes what it holds in vain; `true` if there was anything
async fn write_changes(
    gateway: &Gateway,
    stored: &mut StoredSuspects,
    writes_for_others: &impl Fn(Instant) -> bool,
) -> bool {
    let now = Instant::now();
    let current = gateway.current_suspects(now);
    let digests = current.iter().map(|(key, it)| (*key, digest(it))).collect::<IndexMap<_, _>>();
    if !writes_for_others(now) {
        stored.note_others(&digests);
        return false;
    }
    let changes = stored.changes(&digests);
    if changes.is_empty() {
        return false;
    }
    let unix = unix_time();
    let written = changes.written.iter().filter_map(|key| {
        let (suspect, was_served) = current.get(key)?;
        let record = SuspectRecord::new(suspect, *was_served, now, unix);
        Some((key.format(), Bytes::from(serde_json::to_vec(&record).ok()?)))
    });
    let removed = changes.removed.iter().map(|it| (it.format(), Bytes::new()));
    let records = written.chain(removed).collect::<Vec<(SmolStr, Bytes)>>();
    let reply = gateway.store.append_all(SUSPECT_TOPIC, &records).await;
    let outcome = if reply.result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.store_call("append", outcome, reply.progress.bytes);
    let is_outdated = gateway.observe_era(reply.era) == EraChange::Outdated;
    let (written, removed) = (changes.written.len(), changes.removed.len());
    match reply.result {
        Ok(()) if !is_outdated => {
            log::info!("event=suspects_stored written={written} removed={removed}");
            stored.confirm(digests);
        }
        Ok(()) => log::info!("event=store_answer_dropped topic={SUSPECT_TOPIC} call=append"),
        Err(error) => {
            log::info!(
                "event=suspects_not_stored written={written} removed={removed} error=\"{error}\""
            );
        }
    }
    true
}

fn digest((suspect, was_served): &(SuspectStrikes, bool)) -> FactDigest {
    suspect.digest ^ FactDigest::from(*was_served)
}

/// Keys of the records that this build can read
fn record_keys(records: &[KeyedRecord]) -> impl Iterator<Item = SuspectKey> {
    records.iter().filter_map(|it| decode_record(it).map(|(key, _)| key))
}

/// Decodes a record; `None` if it is deleted, malformed or of another format
fn decode_record(record: &KeyedRecord) -> Option<(SuspectKey, SuspectRecord)> {
    let key = SuspectKey::parse(&record.key)?;
    let decoded: SuspectRecord = serde_json::from_slice(record.value.as_deref()?).ok()?;
    Some((key, decoded)).filter(|it| it.1.format == RECORD_FORMAT)
}

/// Time of day since the start of 1970
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Gateway {
    /// Adds what the store holds of suspected requests and parts
    fn apply_stored_suspects(&self, records: &[KeyedRecord]) {
        let (now, unix) = (Instant::now(), unix_time());
        let mut strikes = 0;
        for (key, record) in records.iter().filter_map(decode_record).take(2 * MAX_SUSPECTS) {
            for fact in record.facts(key.fingerprint(), unix) {
                let is_new = match key {
                    SuspectKey::Request(_) => self.apply_crash_fact(&fact, "store", now),
                    SuspectKey::Part(_) => self.apply_part_fact(&fact, "store", now),
                };
                strikes += usize::from(is_new);
            }
            match key {
                SuspectKey::Request(it) => {
                    self.restored_suspects.borrow_mut().insert(it);
                    if record.was_served {
                        self.completed.borrow_mut().put(it, ());
                    }
                }
                // The instances that answered on it may have ended, so that it is tested soon.
                SuspectKey::Part(it) => {
                    self.part_suspects.answered.borrow_mut().put(it, ());
                }
            }
        }
        log::info!("event=suspects_read records={} strikes={strikes}", records.len());
    }

    /// Requests and parts that should be in the store, and whether this instance had served each before
    fn current_suspects(&self, now: Instant) -> CurrentSuspects {
        let completed = self.completed.borrow();
        let scope = |it| match completed.contains(&it) {
            true => StrikeScope::Ended,
            false => StrikeScope::All,
        };
        let requests = self.crashes.borrow().suspects(MAX_SUSPECTS, scope, now);
        let requests = requests.into_iter().map(|it| {
            let was_served = completed.contains(&it.fingerprint);
            (SuspectKey::Request(it.fingerprint), (it, was_served))
        });
        let table = self.part_suspects.table.borrow();
        let parts = table.suspects(MAX_SUSPECTS, |_| StrikeScope::Lost, now);
        let parts = parts.into_iter().map(|it| (SuspectKey::Part(it.fingerprint), (it, false)));
        requests.chain(parts).collect()
    }
}
