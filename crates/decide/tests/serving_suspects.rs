//! Records of suspected requests and parts: what is kept, and what a start makes of them.

use decide::serving::crash_table::{
    BrokenEndpoint, CrashTable, EndpointStatus, FactDigest, REFUSAL_TIME, StrikeScope,
};
use decide::serving::suspects::{StoredSuspects, SuspectChanges, SuspectKey, SuspectRecord};
use googletest::prelude::*;
use indexmap::IndexMap;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    key_is_parsed_as_formatted => check_keys(),
    malformed_keys_are_no_keys => check_malformed_keys(),
    // Guards against a refusal that ends with all instances.
    restored_request_is_refused_for_the_rest_of_its_time => check_restored(),
    // Guards against refusals without an end by a clock that was set back.
    strike_of_the_future_has_just_happened => check_future(),
    // Guards against bystanders that are kept as suspects.
    explained_bystander_is_no_suspect => check_bystander(),
    most_struck_suspects_are_kept => check_limit(),
    new_and_changed_records_are_written => check_changes(&[(1, 7), (2, 8)], &[(1, 7), (2, 9), (3, 5)], &[2, 3], &[]),
    records_that_no_longer_hold_are_removed => check_changes(&[(1, 7), (2, 8)], &[(2, 8)], &[], &[1]),
    // Guards against a record that nobody removes, since the instance that wrote it is gone.
    record_of_another_writer_is_removed => check_other_writer(),
}

/// Time of day of the tests
const UNIX: Duration = Duration::from_secs(1_800_000_000);

fn broken(id: u64) -> BrokenEndpoint {
    BrokenEndpoint { id: format!("i-{id}").into(), started_at_ms: 7, status: EndpointStatus::Ended }
}

/// Table in which these requests have run at the endpoints that crashed, ten seconds apart; and the time after that
fn table(crashes: &[&[u64]]) -> (CrashTable, Instant) {
    let (mut table, mut now) = (CrashTable::default(), Instant::now());
    for (endpoint, requests) in crashes.iter().enumerate() {
        for request in *requests {
            table.record_strike(*request, &broken(endpoint as u64), now, now);
        }
        now += Duration::from_secs(10);
    }
    (table, now)
}

fn suspects(table: &CrashTable, limit: usize, now: Instant) -> Vec<u64> {
    let suspects = table.suspects(limit, |_| StrikeScope::All, now);
    suspects.iter().map(|it| it.fingerprint).collect()
}

fn check_keys() -> Result<()> {
    for key in [SuspectKey::Request(0), SuspectKey::Part(u64::MAX), SuspectKey::Request(0xa5)] {
        verify_that!(SuspectKey::parse(&key.format()), some(eq(key)))?;
    }
    Ok(())
}

fn check_malformed_keys() -> Result<()> {
    for key in
        ["", "request", "request-", "part-1", "part-+000000000000001", "other-0000000000000001"]
    {
        verify_that!(SuspectKey::parse(key), none())?;
    }
    Ok(())
}

/// Records the only suspect of a table, and restores it after some time by a clock that is `behind`
fn restored(after: Duration, behind: Duration) -> (CrashTable, Instant) {
    let (table, now) = table(&[&[1], &[1], &[1]]);
    let suspects = table.suspects(9, |_| StrikeScope::All, now);
    let record = SuspectRecord::new(&suspects[0], false, now, UNIX);
    let mut restored = CrashTable::default();
    let later = now + after;
    for fact in record.facts(1, UNIX + after - behind) {
        restored.merge(&fact, later);
    }
    (restored, later)
}

fn check_restored() -> Result<()> {
    let (table, now) = restored(Duration::from_secs(60), Duration::ZERO);
    verify_that!(table.strike_count(1, StrikeScope::Ended, now), eq(3))?;
    let end = now + REFUSAL_TIME - Duration::from_secs(70);
    let is_refused = |at| table.is_refused(1, StrikeScope::Ended, at);
    verify_that!(is_refused(end - Duration::from_secs(1)), eq(true))?;
    verify_that!(is_refused(end + Duration::from_secs(1)), eq(false))
}

fn check_future() -> Result<()> {
    let (table, now) = restored(Duration::from_secs(60), Duration::from_secs(7200));
    let is_refused = |at| table.is_refused(1, StrikeScope::Ended, at);
    verify_that!(is_refused(now), eq(true))?;
    verify_that!(is_refused(now + REFUSAL_TIME), eq(false))
}

fn check_bystander() -> Result<()> {
    let (table, now) = table(&[&[1], &[1, 2], &[1, 2], &[1, 2]]);
    verify_that!(suspects(&table, 9, now), eq(&vec![1]))
}

fn check_limit() -> Result<()> {
    let (table, now) = table(&[&[1], &[1], &[1], &[2], &[2], &[2], &[2]]);
    verify_that!(suspects(&table, 9, now), eq(&vec![2, 1]))?;
    verify_that!(suspects(&table, 1, now), eq(&vec![2]))
}

fn records(digests: &[(u64, FactDigest)]) -> IndexMap<SuspectKey, FactDigest> {
    digests.iter().map(|(request, digest)| (SuspectKey::Request(*request), *digest)).collect()
}

fn keys(requests: &[u64]) -> Vec<SuspectKey> {
    requests.iter().map(|it| SuspectKey::Request(*it)).collect()
}

fn check_changes(
    stored: &[(u64, FactDigest)],
    current: &[(u64, FactDigest)],
    written: &[u64],
    removed: &[u64],
) -> Result<()> {
    let mut suspects = StoredSuspects::default();
    suspects.confirm(records(stored));
    let expected = SuspectChanges { written: keys(written), removed: keys(removed) };
    verify_that!(suspects.changes(&records(current)), eq(&expected))?;
    suspects.confirm(records(current));
    verify_that!(suspects.changes(&records(current)).is_empty(), eq(true))
}

/// Another instance has written what this one knew as well; later it no longer holds
fn check_other_writer() -> Result<()> {
    let mut suspects = StoredSuspects::default();
    suspects.note_others(&records(&[(1, 7), (2, 8)]));
    let expected = SuspectChanges { written: keys(&[2]), removed: keys(&[1]) };
    verify_that!(suspects.changes(&records(&[(2, 8)])), eq(&expected))
}
