//! Edits of the catalogue: races, lost answers, outages, restarts.

mod common;

use catalogue::id::Revision;
use catalogue::{CatalogueEntry, EntryKind, EntryLimits, RequestClass};
use common::{AppendFault, FakeLink, FakeLog};
use coordination::catalogue::{CatalogueHandle, EditError};
use googletest::prelude::*;
use state::catalogue::CATALOGUE_STREAM;
use std::time::Duration;
use testcases::cases;

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

async fn in_force(handle: &CatalogueHandle, revision: Revision) -> googletest::Result<u32> {
    let mut views = handle.subscribe();
    let wait = views.wait_for(|it| it.revision("register") >= revision);
    let view =
        tokio::time::timeout(Duration::from_secs(8), wait).await.or_fail()?.or_fail()?.clone();
    Ok(view.entry("register").or_fail()?.entry.limits.in_flight)
}

async fn check_seen_by_all() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a").await;
    let (second, _) = instance(&log, "b").await;
    let revision = put(&first, 5, 0).await.or_fail()?;
    verify_that!(in_force(&second, revision).await?, eq(5))?;
    verify_that!(second.history("register").len(), eq(1))
}

async fn check_append_fault(fault: AppendFault) -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a").await;
    let (second, _) = instance(&log, "b").await;
    link.fault([fault]);
    let revision = put(&first, 5, 0).await.or_fail()?;
    let later = put(&second, 6, revision).await.or_fail()?;
    tokio::time::sleep(Duration::from_secs(60)).await;
    verify_that!(in_force(&first, later).await?, eq(6))?;
    verify_that!(first.history("register").len(), eq(2))?;
    verify_that!(first.view(), eq(&second.view()))?;
    verify_that!(log.records(CATALOGUE_STREAM).len(), ge(2))
}

cases! { paused
    edit_is_seen_by_all => check_seen_by_all(),
    request_lost => check_append_fault(AppendFault::LostRequest),
    answer_lost => check_append_fault(AppendFault::LostAnswer),
    append_late => check_append_fault(AppendFault::Late(Duration::from_secs(20))),
    record_doubled => check_append_fault(AppendFault::Doubled),
    record_damaged => check_append_fault(AppendFault::Damaged),
    rate_limited => check_append_fault(AppendFault::Limited),
}
