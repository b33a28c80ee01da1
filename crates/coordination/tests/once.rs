//! Once-only work: a key runs at most once, and retries get correct results.

mod common;

use catalogue::id::IdempotencyKey;
use common::{AppendFault, FakeLink, FakeLog};
use coordination::once::{
    ClaimDecision, ClaimPermit, ExecutionState, ForwardError, HomeRoute, OnceError, OnceHandle,
    OnceOutcome, OnceRequest, SettledClaim, parse_key,
};
use coordination::stream::SubmitError;
use googletest::prelude::*;
use state::claims::{
    CLAIM_WINDOW, KeyFault, MAX_KEY_SKEW, PARTITIONS, RecordedAnswer, Resolution, partition_of,
    stream_name,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testcases::cases;
use tokio::time::{Instant, sleep};

const DEADLINE: Duration = Duration::from_secs(3);

fn request(key: IdempotencyKey) -> OnceRequest {
    let deadline = Instant::now() + DEADLINE;
    OnceRequest { key, digest: [7; 32], entry: "register".into(), deadline }
}

fn instance(log: &FakeLog, id: &str) -> (OnceHandle, FakeLink) {
    let (shared, link) = log.shared(id);
    (OnceHandle::new(shared, HomeRoute::none()), link)
}

fn answer() -> RecordedAnswer {
    RecordedAnswer::bounded(201, Vec::new(), "done")
}

fn key_at(time_ms: u64) -> IdempotencyKey {
    uuid::Builder::from_unix_timestamp_millis(time_ms, &[7; 10]).into_uuid()
}

async fn begin(once: &OnceHandle, key: IdempotencyKey) -> Result<ClaimDecision> {
    once.begin(request(key)).await.or_fail()
}

async fn permit(once: &OnceHandle, key: IdempotencyKey) -> Result<ClaimPermit> {
    match begin(once, key).await? {
        ClaimDecision::Run(permit) => Ok(permit),
        other => fail!("claim must win, not {other:?}").map(|()| unreachable!()),
    }
}

async fn dispatched(once: &OnceHandle, key: IdempotencyKey) -> Result<ClaimPermit> {
    let permit = permit(once, key).await?;
    verify_that!(permit.start_dispatch(Instant::now()), eq(true))?;
    Ok(permit)
}

/// A claim, a retry at another instance while it runs, its outcome, and retries after it
async fn check_run(fault: AppendFault) -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    let (second, _) = instance(&log, "b");
    let key = IdempotencyKey::now_v7();
    link.inject([fault; 2]);
    let permit = dispatched(&first, key).await?;
    verify_that!(begin(&second, key).await?, matches_pattern!(ClaimDecision::InProgress))?;
    link.inject([fault; 2]);
    let settled = permit.finish(OnceOutcome::Answered(answer())).await;
    verify_that!(settled, eq(SettledClaim::Recorded))?;
    sleep(Duration::from_secs(60)).await;
    for once in [first, second] {
        let begin = begin(&once, key).await?;
        verify_that!(begin, matches_pattern!(ClaimDecision::Answered(eq(&answer()))))?;
    }
    Ok(())
}

/// Three instances claim the same key concurrently while an append fails
async fn check_race(fault: AppendFault) -> Result<()> {
    let log = FakeLog::new();
    let members = [instance(&log, "a"), instance(&log, "b"), instance(&log, "c")];
    members[0].1.inject([fault]);
    let key = IdempotencyKey::now_v7();
    let claims = members.iter().map(|(once, _)| once.begin(request(key)));
    let begins = futures_util::future::join_all(claims).await;
    let is_run = |it: &std::result::Result<ClaimDecision, OnceError>| {
        matches!(it, Ok(ClaimDecision::Run(_)))
    };
    verify_that!(begins.iter().filter(|it| is_run(it)).count(), eq(1))?;
    let is_waiting = |it: &_| matches!(it, Ok(ClaimDecision::InProgress));
    verify_that!(begins.iter().filter(|it| is_waiting(it)).count(), eq(2))
}

/// A claim unconfirmed at its deadline isn't dispatched, and its key is free once the log is back
async fn check_unconfirmed(fault: AppendFault) -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    let (second, _) = instance(&log, "b");
    let key = IdempotencyKey::now_v7();
    link.set(|it| it.latency = Duration::from_millis(4));
    link.inject([fault]);
    let claim = tokio::spawn({
        let first = first.clone();
        async move { first.begin(request(key)).await.map(|_| ()) }
    });
    sleep(Duration::from_millis(3)).await;
    link.set(|it| it.is_down = true);
    let error = claim.await.or_fail()?.err().or_fail()?;
    verify_that!(error, matches_pattern!(OnceError::Unconfirmed(_)))?;
    verify_that!(error.ran(), eq(ExecutionState::Unknown))?;
    link.restore();
    sleep(Duration::from_secs(60)).await;
    dispatched(&second, key).await?;
    Ok(())
}

async fn check_log_down() -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    link.disconnect();
    let key = IdempotencyKey::now_v7();
    let error = first.begin(request(key)).await.err().or_fail()?;
    verify_that!(error, eq(OnceError::Unconfirmed(SubmitError::Down)))?;
    link.restore();
    sleep(Duration::from_secs(5)).await;
    verify_that!(log.records(&stream_name(partition_of(&key))), is_empty())
}

/// The holder is killed before or after dispatch; a retry at another instance gets `Unknown`
async fn check_killed(is_dispatched: bool) -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    let (second, _) = instance(&log, "b");
    let key = IdempotencyKey::now_v7();
    let permit = permit(&first, key).await?;
    if is_dispatched {
        verify_that!(permit.start_dispatch(Instant::now()), eq(true))?;
    }
    link.disconnect();
    std::mem::forget(permit);
    verify_that!(begin(&second, key).await?, matches_pattern!(ClaimDecision::InProgress))?;
    sleep(Duration::from_secs(60)).await;
    verify_that!(begin(&second, key).await?, matches_pattern!(ClaimDecision::Unknown))?;
    let unknowns = second.unknown_outcomes().await.or_fail()?;
    verify_that!(unknowns.len(), eq(1))?;
    second.resolve(key, Resolution::Ran, "ann".into()).await.or_fail()?;
    verify_that!(second.unknown_outcomes().await.or_fail()?, is_empty())?;
    let begin = begin(&second, key).await?;
    verify_that!(begin, matches_pattern!(ClaimDecision::Resolved(eq(&Resolution::Ran))))
}

/// Dropping a permit settles its claim
async fn check_dropped(is_dispatched: bool) -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let (second, _) = instance(&log, "b");
    let key = IdempotencyKey::now_v7();
    let permit = permit(&first, key).await?;
    verify_that!(!is_dispatched || permit.start_dispatch(Instant::now()), eq(true))?;
    drop(permit);
    sleep(Duration::from_secs(1)).await;
    if is_dispatched {
        return verify_that!(begin(&second, key).await?, matches_pattern!(ClaimDecision::Unknown));
    }
    dispatched(&second, key).await?;
    Ok(())
}

/// A caller disconnects while its claim is in flight
async fn check_caller_gone() -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    link.set(|it| it.latency = Duration::from_millis(400));
    let key = IdempotencyKey::now_v7();
    let claim = first.begin(request(key));
    let gone = tokio::time::timeout(Duration::from_millis(300), claim).await;
    verify_that!(gone.is_err(), eq(true))?;
    sleep(Duration::from_secs(10)).await;
    dispatched(&first, key).await?;
    Ok(())
}

async fn check_paused_holder() -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let key = IdempotencyKey::now_v7();
    let permit = permit(&first, key).await?;
    sleep(DEADLINE).await;
    verify_that!(permit.start_dispatch(Instant::now()), eq(false))?;
    verify_that!(permit.release().await, eq(SettledClaim::Recorded))?;
    dispatched(&first, key).await?;
    Ok(())
}

async fn check_one_dispatch() -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let permit = dispatched(&first, IdempotencyKey::now_v7()).await?;
    verify_that!(permit.start_dispatch(Instant::now()), eq(false))?;
    permit.undo_dispatch();
    verify_that!(permit.start_dispatch(Instant::now()), eq(true))
}

/// An outcome that can't be recorded during an outage is recorded after it
async fn check_outcome_in_outage(outcome: OnceOutcome) -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    let (second, _) = instance(&log, "b");
    let key = IdempotencyKey::now_v7();
    let permit = dispatched(&first, key).await?;
    link.disconnect();
    verify_that!(permit.finish(outcome.clone()).await, eq(SettledClaim::Pending))?;
    verify_that!(begin(&second, key).await?, matches_pattern!(ClaimDecision::InProgress))?;
    sleep(Duration::from_secs(120)).await;
    verify_that!(begin(&second, key).await?, matches_pattern!(ClaimDecision::Unknown))?;
    link.restore();
    sleep(Duration::from_secs(30)).await;
    let retried = begin(&second, key).await?;
    match outcome {
        OnceOutcome::Answered(_) => {
            verify_that!(retried, matches_pattern!(ClaimDecision::Answered(_)))
        }
        OnceOutcome::Unknown => verify_that!(retried, matches_pattern!(ClaimDecision::Unknown)),
    }
}

async fn check_resolved_stays() -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let key = IdempotencyKey::now_v7();
    let permit = dispatched(&first, key).await?;
    let early = first.resolve(key, Resolution::NotRun, "ann".into()).await;
    verify_that!(early.is_err(), eq(true))?;
    permit.finish(OnceOutcome::Unknown).await;
    let resolutions = [Resolution::NotRun, Resolution::Ran];
    let races = resolutions.map(|it| first.resolve(key, it, "ann".into()));
    let races = futures_util::future::join_all(races).await;
    verify_that!(races.iter().filter(|it| it.is_ok()).count(), eq(1))?;
    verify_that!(begin(&first, key).await?, matches_pattern!(ClaimDecision::Resolved(_)))
}

async fn check_mismatch() -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let key = IdempotencyKey::now_v7();
    let permit = dispatched(&first, key).await?;
    permit.finish(OnceOutcome::Answered(answer())).await;
    let other_body = OnceRequest { digest: [8; 32], ..request(key) };
    let begin = first.begin(other_body).await.or_fail()?;
    verify_that!(begin, matches_pattern!(ClaimDecision::Mismatch))?;
    let other_entry = OnceRequest { entry: "booking".into(), ..request(key) };
    let begin = first.begin(other_entry).await.or_fail()?;
    verify_that!(begin, matches_pattern!(ClaimDecision::Mismatch))
}

async fn check_key(key: IdempotencyKey, fault: KeyFault, ran: ExecutionState) -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let error = first.begin(request(key)).await.err().or_fail()?;
    verify_that!(error, eq(OnceError::Key(fault)))?;
    verify_that!(error.ran(), eq(ran))
}

async fn check_aged_key(
    age: impl Fn(u64) -> u64,
    fault: KeyFault,
    ran: ExecutionState,
) -> Result<()> {
    let now_ms = FakeLog::new().now_ms();
    check_key(key_at(age(now_ms)), fault, ran).await
}

async fn check_header(header: Option<&str>, error: OnceError) -> Result<()> {
    verify_that!(parse_key(header), err(eq(error)))?;
    verify_that!(error.ran(), eq(ExecutionState::No))
}

/// After the claim window ends, the key is refused as too old and never runs a second time
async fn check_window() -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let key = IdempotencyKey::now_v7();
    let permit = dispatched(&first, key).await?;
    permit.finish(OnceOutcome::Answered(answer())).await;
    let mut results = Vec::new();
    for _ in 0..40 {
        sleep(CLAIM_WINDOW / 10).await;
        log.age_out(2 * CLAIM_WINDOW);
        let (fresh, _) = instance(&log, "b");
        results.push(fresh.begin(request(key)).await);
    }
    let is_expected = |it: &std::result::Result<ClaimDecision, OnceError>| match it {
        Ok(ClaimDecision::Answered(_)) => true,
        Err(error) => *error == OnceError::Key(KeyFault::TooOld),
        _ => false,
    };
    verify_that!(results.iter().find(|it| !is_expected(it)), none())?;
    verify_that!(results.last().or_fail()?.is_err(), eq(true))
}

/// Unknown outcomes survive after the log has deleted the records of their claims
async fn check_unknowns_are_carried() -> Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let key = IdempotencyKey::now_v7();
    dispatched(&first, key).await?.finish(OnceOutcome::Unknown).await;
    for _ in 0..180 {
        sleep(Duration::from_secs(60)).await;
        log.age_out(Duration::from_secs(3_600));
    }
    let (fresh, _) = instance(&log, "b");
    let unknowns = fresh.unknown_outcomes().await.or_fail()?;
    verify_that!(unknowns.len(), eq(1))?;
    verify_that!(unknowns[0].key, eq(key))?;
    fresh.resolve(key, Resolution::Ran, "ann".into()).await.or_fail()?;
    for _ in 0..180 {
        sleep(Duration::from_secs(60)).await;
        log.age_out(Duration::from_secs(3_600));
    }
    let (fresh, _) = instance(&log, "c");
    verify_that!(fresh.unknown_outcomes().await.or_fail()?, is_empty())
}

/// Fault of the home when an item is forwarded to it
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HomeFault {
    None,
    Unreached,
    Unresponsive,
    AnswerLost,
}

/// A claim forwarded to a failing home is appended directly too and counts once
async fn check_home(fault: HomeFault) -> Result<()> {
    let log = FakeLog::new();
    let (home, _) = instance(&log, "h");
    let (shared, _) = log.shared("a");
    let (link, records) = (home.clone(), Arc::new(Mutex::new(0)));
    let calls = records.clone();
    let route = HomeRoute {
        home: Arc::new(|_| Some("h".into())),
        forward: Arc::new(move |_, item| {
            let home = link.clone();
            *calls.lock().unwrap() += 1;
            Box::pin(async move {
                match fault {
                    HomeFault::None => {
                        home.append_forwarded(item).await.map_err(|_| ForwardError::Unknown)
                    }
                    HomeFault::Unreached => Err(ForwardError::NoEffect),
                    HomeFault::Unresponsive => std::future::pending().await,
                    HomeFault::AnswerLost => {
                        let _ = home.append_forwarded(item).await;
                        Err(ForwardError::Unknown)
                    }
                }
            })
        }),
    };
    let first = OnceHandle::new(shared, route);
    let key = IdempotencyKey::now_v7();
    let permit = dispatched(&first, key).await?;
    verify_that!(*records.lock().or_fail()?, eq(1))?;
    verify_that!(begin(&home, key).await?, matches_pattern!(ClaimDecision::InProgress))?;
    permit.finish(OnceOutcome::Answered(answer())).await;
    verify_that!(begin(&home, key).await?, matches_pattern!(ClaimDecision::Answered(_)))?;
    verify_that!(begin(&first, key).await?, matches_pattern!(ClaimDecision::Answered(_)))
}

/// The home's reply is lost while the log is unreachable: the claim's result is unknown
async fn check_home_claimed_answer_lost() -> Result<()> {
    let log = FakeLog::new();
    let (home, _) = instance(&log, "h");
    let (shared, link) = log.shared("a");
    let server = home.clone();
    let route = HomeRoute {
        home: Arc::new(|_| Some("h".into())),
        forward: Arc::new(move |_, item| {
            let home = server.clone();
            Box::pin(async move {
                let _ = home.append_forwarded(item).await;
                Err(ForwardError::Unknown)
            })
        }),
    };
    link.disconnect();
    let first = OnceHandle::new(shared, route);
    let key = IdempotencyKey::now_v7();
    let error = first.begin(request(key)).await.err().or_fail()?;
    verify_that!(error, eq(OnceError::Unconfirmed(SubmitError::Unknown)))?;
    link.restore();
    sleep(Duration::from_secs(30)).await;
    dispatched(&home, key).await?;
    Ok(())
}

/// Concurrent claims are batched into shared appends
async fn check_batching() -> Result<()> {
    let log = FakeLog::new();
    let (first, link) = instance(&log, "a");
    link.set(|it| it.latency = Duration::from_millis(10));
    let keys: Vec<_> = (0..400).map(|_| IdempotencyKey::now_v7()).collect();
    let claims = keys.iter().map(|key| permit(&first, *key));
    let permits = futures_util::future::join_all(claims).await;
    verify_that!(permits.iter().filter(|it| it.is_ok()).count(), eq(400))?;
    let appends: usize = (0..PARTITIONS).map(|it| log.records(&stream_name(it)).len()).sum();
    verify_that!(appends, le(48))
}

cases! { paused
    run => check_run(AppendFault::None),
    run_requests_lost => check_run(AppendFault::LostRequest),
    run_answers_lost => check_run(AppendFault::LostAnswer),
    run_appends_late => check_run(AppendFault::Late(Duration::from_millis(700))),
    run_records_doubled => check_run(AppendFault::Duplicated),
    run_records_damaged => check_run(AppendFault::Damaged),
    run_rate_limited => check_run(AppendFault::Limited),
    race => check_race(AppendFault::None),
    race_request_lost => check_race(AppendFault::LostRequest),
    race_answer_lost => check_race(AppendFault::LostAnswer),
    race_late => check_race(AppendFault::Late(Duration::from_millis(700))),
    race_doubled => check_race(AppendFault::Duplicated),
    unconfirmed_request_lost => check_unconfirmed(AppendFault::LostRequest),
    unconfirmed_answer_lost => check_unconfirmed(AppendFault::LostAnswer),
    unconfirmed_late => check_unconfirmed(AppendFault::Late(Duration::from_secs(30))),
    log_down => check_log_down(),
    holder_killed_before_dispatch => check_killed(false),
    holder_killed_after_dispatch => check_killed(true),
    permit_dropped_before_dispatch => check_dropped(false),
    permit_dropped_after_dispatch => check_dropped(true),
    caller_gone_before_claim => check_caller_gone(),
    holder_paused_past_deadline => check_paused_holder(),
    one_dispatch_a_permit => check_one_dispatch(),
    answer_in_outage => check_outcome_in_outage(OnceOutcome::Answered(answer())),
    unknown_in_outage => check_outcome_in_outage(OnceOutcome::Unknown),
    resolution_is_final => check_resolved_stays(),
    other_request_under_key => check_mismatch(),
    key_missing => check_header(None, OnceError::KeyMissing),
    key_not_a_uuid => check_header(Some("7"), OnceError::Key(KeyFault::Form)),
    key_of_version_four => check_key(
        IdempotencyKey::from_bytes([0x44; 16]), KeyFault::Form, ExecutionState::No
    ),
    key_of_the_future => check_aged_key(
        |now| now + MAX_KEY_SKEW.as_millis() as u64 + 1_000, KeyFault::Future, ExecutionState::No
    ),
    key_too_old => check_aged_key(
        |now| now - CLAIM_WINDOW.as_millis() as u64 - 1_000, KeyFault::TooOld, ExecutionState::Unknown
    ),
    window_ends => check_window(),
    unknowns_are_carried => check_unknowns_are_carried(),
    through_home => check_home(HomeFault::None),
    home_unreached => check_home(HomeFault::Unreached),
    home_unresponsive => check_home(HomeFault::Unresponsive),
    home_answer_lost => check_home(HomeFault::AnswerLost),
    home_claimed_answer_lost => check_home_claimed_answer_lost(),
    claims_share_appends => check_batching(),
}
