//! Edits of the catalogue: races, lost answers, outages, restarts.

mod common;

use catalogue::id::Revision;
use catalogue::{CatalogueEntry, EntryKind, EntryLimits, RequestClass};
use common::{AppendFault, FakeLink, FakeLog};
use coordination::catalogue::{CatalogueHandle, EditError};
use googletest::prelude::*;
use state::catalogue::CATALOGUE_STREAM;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testcases::cases;

const IN_FORCE: Duration = Duration::from_secs(8);

fn entry(name: &str, in_flight: u32) -> CatalogueEntry {
    CatalogueEntry {
        name: name.into(),
        owner: "trust".into(),
        class: RequestClass::Standard,
        idempotent: false,
        pool: "register".into(),
        endpoints: Vec::new(),
        caller_key_sha256: vec!["0".repeat(64).into()],
        kind: EntryKind::Service,
        limits: EntryLimits {
            requests_per_s: 10.0,
            tokens_per_s: 1.0,
            in_flight,
            prompt_tokens: 1,
            output_tokens: 1,
            deadline_ms: 1_000,
            first_token_ms: 1_000,
        },
    }
}

async fn instance(log: &FakeLog, id: &str) -> (CatalogueHandle, FakeLink) {
    let (shared, link) = log.shared(id);
    let handle = CatalogueHandle::start(shared).await.unwrap();
    handle.caught_up().await;
    (handle, link)
}

async fn put(handle: &CatalogueHandle, limit: u32, base: u64) -> Result<Revision, EditError> {
    handle.put(entry("register", limit), base, "ann".into()).await
}

fn limit(handle: &CatalogueHandle) -> Option<u32> {
    handle.view().entry("register").map(|it| it.entry.limits.in_flight)
}

async fn in_force(handle: &CatalogueHandle, revision: Revision) -> googletest::Result<u32> {
    let mut views = handle.subscribe();
    let wait = views.wait_for(|it| it.revision("register") >= revision);
    let view = tokio::time::timeout(IN_FORCE, wait).await.or_fail()?.or_fail()?.clone();
    Ok(view.entry("register").or_fail()?.entry.limits.in_flight)
}

async fn check_edit_propagates() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let (second, _) = instance(&log, "b").await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    verify_that!(in_force(&second, revision).await?, eq(5))?;
    verify_that!(second.history("register").len(), eq(1))
}

/// One append fails; the edit and a later one are both accepted once, in order
async fn check_append_fault(fault: AppendFault) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    let (second, _) = instance(&log, "b").await;
    link.inject([fault]);
    let revision = put(&first, 5, 0).await.or_fail()?;
    let later = put(&second, 6, revision).await.or_fail()?;
    tokio::time::sleep(Duration::from_secs(60)).await;
    verify_that!(in_force(&first, later).await?, eq(6))?;
    verify_that!(first.history("register").len(), eq(2))?;
    verify_that!(first.view(), eq(&second.view()))
}

/// Three operators edit the same base revision concurrently while one append fails
async fn check_race(fault: AppendFault) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    let (second, _) = instance(&log, "b").await;
    let (third, _) = instance(&log, "c").await;
    link.inject([fault]);
    let edits = tokio::join!(put(&first, 1, 0), put(&second, 2, 0), put(&third, 3, 0));
    let edits = [edits.0, edits.1, edits.2];
    let won: Vec<_> = edits.iter().filter_map(|it| it.as_ref().ok()).collect();
    verify_that!(won.len(), eq(1))?;
    let conflict = EditError::Conflict { current: *won[0] };
    let lost: Vec<_> = edits.iter().filter_map(|it| it.as_ref().err()).collect();
    verify_that!(lost, each(eq(&&conflict)))?;
    tokio::time::sleep(Duration::from_secs(60)).await;
    let winner = edits.iter().position(Result::is_ok).or_fail()? as u32 + 1;
    for handle in [first, second, third] {
        verify_that!(limit(&handle), some(eq(winner)))?;
    }
    Ok(())
}

/// The history takes longer to transfer than a call may take
async fn check_slow_link() -> googletest::Result<()> {
    const EDITS: u32 = 600;
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let mut revision = 0;
    for limit in 1..=EDITS {
        revision = put(&first, limit, revision).await.or_fail()?;
    }
    let (shared, link) = log.shared("b");
    link.set(|it| it.record_time = Duration::from_millis(4));
    let second = CatalogueHandle::start(shared).await.or_fail()?;
    verify_that!(in_force(&second, revision).await?, eq(EDITS))
}

/// An edit refused during an outage takes no effect, also not after it
async fn check_outage() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    link.disconnect();
    verify_that!(put(&first, 6, revision).await, err(eq(&EditError::Down)))?;
    verify_that!(limit(&first), some(eq(5)))?;
    link.restore();
    tokio::time::sleep(Duration::from_secs(60)).await;
    verify_that!(limit(&first), some(eq(5)))?;
    put(&first, 7, revision).await.or_fail()?;
    verify_that!(limit(&first), some(eq(7)))
}

/// An edit given up as unknown and appended late doesn't replace one accepted meanwhile
async fn check_late_after_give_up() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    link.inject([AppendFault::Late(Duration::from_secs(20))]);
    let edit = tokio::spawn({
        let first = first.clone();
        async move { put(&first, 5, 0).await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    link.disconnect();
    verify_that!(edit.await.or_fail()?, err(eq(&EditError::Unknown)))?;
    link.restore();
    put(&first, 6, 0).await.or_fail()?;
    tokio::time::sleep(Duration::from_secs(60)).await;
    verify_that!(log.records(CATALOGUE_STREAM).len(), eq(2))?;
    verify_that!(limit(&first), some(eq(6)))
}

/// The editing instance is dropped while its edit is in flight
async fn check_killed_editor(faults: Vec<AppendFault>) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    let (second, _) = instance(&log, "b").await;
    link.inject(faults);
    let _ = tokio::time::timeout(Duration::from_millis(1), put(&first, 5, 0)).await;
    drop(first);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let base = second.view().revision("register");
    put(&second, 6, base).await.or_fail()?;
    let (fresh, _) = instance(&log, "c").await;
    verify_that!(fresh.view(), eq(&second.view()))?;
    verify_that!(limit(&fresh), some(eq(6)))
}

/// A late copy of an entry's first edit doesn't restore the entry after its removal
async fn check_removed_stays() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    link.inject([AppendFault::Late(Duration::from_secs(60))]);
    let revision = put(&first, 5, 0).await.or_fail()?;
    let removal = first.remove("register".into(), revision, "ben".into()).await.or_fail()?;
    tokio::time::sleep(Duration::from_secs(120)).await;
    verify_that!(limit(&first), none())?;
    let recreated = put(&first, 6, 0).await;
    verify_that!(recreated, err(eq(&EditError::Conflict { current: removal })))?;
    put(&first, 6, removal).await.or_fail()?;
    verify_that!(limit(&first), some(eq(6)))
}

/// The view survives hours of retention, with and without replaced instances
async fn check_retention(keeps_instance: bool) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (mut handle, _) = instance(&log, "a").await;
    put(&handle, 5, 0).await.or_fail()?;
    let view = handle.view();
    for hour in 0..4 {
        for _ in 0..60 {
            tokio::time::sleep(Duration::from_secs(60)).await;
            log.age_out(Duration::from_secs(3_600));
        }
        if !keeps_instance {
            handle = instance(&log, &format!("b{hour}")).await.0;
        }
    }
    let (fresh, _) = instance(&log, "z").await;
    verify_that!(log.records(CATALOGUE_STREAM)[0].offset, gt(1))?;
    verify_that!(log.records(CATALOGUE_STREAM).len(), le(8))?;
    verify_that!(handle.view(), eq(&view))?;
    verify_that!(fresh.view(), eq(&view))
}

/// An instance disconnected for longer than the retention catches up from a checkpoint
async fn check_overrun() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let (second, link) = instance(&log, "b").await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    in_force(&second, revision).await?;
    link.disconnect();
    let revision = put(&first, 6, revision).await.or_fail()?;
    for _ in 0..90 {
        tokio::time::sleep(Duration::from_secs(60)).await;
        log.age_out(Duration::from_secs(3_600));
    }
    verify_that!(limit(&second), some(eq(5)))?;
    link.restore();
    verify_that!(in_force(&second, revision).await?, eq(6))?;
    verify_that!(second.view(), eq(&first.view()))
}

async fn check_no_checkpoint() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    put(&first, 6, revision).await.or_fail()?;
    log.trim(CATALOGUE_STREAM, 2);
    let (shared, _) = log.shared("b");
    let fresh = CatalogueHandle::start(shared).await.or_fail()?;
    tokio::time::sleep(Duration::from_secs(60)).await;
    verify_that!(fresh.status().is_caught_up, eq(false))?;
    verify_that!(fresh.view().entries().count(), eq(0))?;
    tokio::time::sleep(Duration::from_secs(1_000)).await;
    verify_that!(fresh.status().is_caught_up, eq(true))?;
    verify_that!(fresh.view(), eq(&first.view()))
}

/// A read damaged in transit is retried; a record damaged in the log is skipped
async fn check_damage() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let (second, link) = instance(&log, "b").await;
    link.set(|it| it.damaged_reads = 1);
    let revision = put(&first, 5, 0).await.or_fail()?;
    verify_that!(in_force(&second, revision).await?, eq(5))?;
    verify_that!(second.status().damaged_records, eq(0))?;
    log.push(CATALOGUE_STREAM, "rubbish".into());
    let revision = put(&first, 6, revision).await.or_fail()?;
    verify_that!(in_force(&second, revision).await?, eq(6))?;
    verify_that!(second.status().damaged_records, eq(1))
}

/// A record that this version can't read stops the fold: skipping it would make states differ
async fn check_newer(record: &str) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    log.push(CATALOGUE_STREAM, record.into());
    tokio::time::sleep(Duration::from_secs(1)).await;
    verify_that!(first.status().is_stopped, eq(true))?;
    verify_that!(put(&first, 6, revision).await, err(eq(&EditError::Stopped)))?;
    verify_that!(limit(&first), some(eq(5)))
}

fn unknown_item() -> String {
    let body = serde_json::json!({"items": [{"rename": {"name": "register"}}]});
    state::record::encode(&"z/1".into(), 1, &body).unwrap()
}

/// Which connections of an instance hang
#[derive(Debug, Clone, Copy)]
struct HungLinks {
    log: bool,
    peers: bool,
}

async fn check_partition(hung: HungLinks, is_seen: bool) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let (shared, link) = log.shared("b");
    let peer_down = Arc::new(Mutex::new(false));
    let (peer, down) = (first.clone(), peer_down.clone());
    let shared = shared.with_relay(Arc::new(move |_, from, max| {
        let (peer, is_down) = (peer.clone(), *down.lock().unwrap());
        Box::pin(async move {
            if is_down {
                tokio::time::sleep(Duration::from_secs(600)).await;
            }
            peer.relay(from, max).await
        })
    }));
    let second = CatalogueHandle::start(shared).await.or_fail()?;
    second.caught_up().await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    in_force(&second, revision).await?;
    link.set(|it| it.hangs = hung.log);
    *peer_down.lock().or_fail()? = hung.peers;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let revision = put(&first, 6, revision).await.or_fail()?;
    tokio::time::sleep(IN_FORCE).await;
    let since_contact = second.status().last_contact.or_fail()?.elapsed();
    verify_that!(limit(&second), some(eq(if is_seen { 6 } else { 5 })))?;
    verify_that!(since_contact <= Duration::from_secs(5), eq(is_seen))?;
    link.restore();
    *peer_down.lock().or_fail()? = false;
    verify_that!(in_force(&second, revision).await?, eq(6))
}

async fn check_slow_log() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    let (second, other) = instance(&log, "b").await;
    for slow in [link, other] {
        slow.set(|it| it.latency = Duration::from_millis(600));
    }
    let mut revision = 0;
    for edit in 1..=5 {
        revision = put(&first, edit, revision).await.or_fail()?;
    }
    verify_that!(in_force(&second, revision).await?, eq(5))?;
    verify_that!(first.history("register").len(), eq(5))
}

async fn check_invalid_entry() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let edit = first.put(entry("a/b", 1), 0, "ann".into()).await;
    verify_that!(edit, err(matches_pattern!(EditError::Invalid(len(eq(1))))))?;
    verify_that!(log.records(CATALOGUE_STREAM), is_empty())
}

cases! { paused
    edit_is_seen_by_all => check_edit_propagates(),
    edit_request_lost => check_append_fault(AppendFault::LostRequest),
    edit_answer_lost => check_append_fault(AppendFault::LostAnswer),
    edit_late => check_append_fault(AppendFault::Late(Duration::from_secs(20))),
    edit_doubled => check_append_fault(AppendFault::Duplicated),
    edit_damaged => check_append_fault(AppendFault::Damaged),
    edit_rate_limited => check_append_fault(AppendFault::Limited),
    race => check_race(AppendFault::None),
    race_request_lost => check_race(AppendFault::LostRequest),
    race_answer_lost => check_race(AppendFault::LostAnswer),
    race_late => check_race(AppendFault::Late(Duration::from_secs(20))),
    race_doubled => check_race(AppendFault::Duplicated),
    race_damaged => check_race(AppendFault::Damaged),
    edit_in_outage => check_outage(),
    edit_late_after_give_up => check_late_after_give_up(),
    editor_killed => check_killed_editor(vec![AppendFault::None]),
    editor_killed_request_lost => check_killed_editor(vec![AppendFault::LostRequest]),
    editor_killed_answer_lost => check_killed_editor(vec![AppendFault::LostAnswer]),
    editor_killed_append_late => check_killed_editor(vec![AppendFault::Late(Duration::from_secs(30))]),
    removed_entry_stays_removed => check_removed_stays(),
    retention_with_one_instance => check_retention(true),
    retention_with_instances_replaced => check_retention(false),
    retention_overrun => check_overrun(),
    start_without_checkpoint => check_no_checkpoint(),
    // Guards against an instance that never catches up, since each read of a long history times out
    // before its end and is repeated.
    long_history_is_read_over_a_slow_link => check_slow_link(),
    damaged_records => check_damage(),
    newer_version_stops => check_newer("persimmonlift/2 z 1 0\n{}"),
    unknown_item_stops => check_newer(&unknown_item()),
    partition_of_log => check_partition(HungLinks { log: true, peers: false }, true),
    partition_of_peers => check_partition(HungLinks { log: false, peers: true }, true),
    partition_of_both => check_partition(HungLinks { log: true, peers: true }, false),
    slow_log => check_slow_log(),
    faulty_entry => check_invalid_entry(),
}
