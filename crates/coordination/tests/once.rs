//! Once-only work: a key runs at most once, and what a retry is told is true.

mod common;

use catalogue::id::IdempotencyKey;
use common::{FakeLink, FakeLog};
use coordination::once::{HomeRoute, OnceBegin, OnceHandle, OnceOutcome, OnceRequest};
use googletest::prelude::*;
use state::claims::RecordedAnswer;
use std::time::Duration;
use testcases::cases;
use tokio::time::Instant;

fn request(key: IdempotencyKey) -> OnceRequest {
    let deadline = Instant::now() + Duration::from_secs(3);
    OnceRequest { key, digest: [7; 32], entry: "register".into(), deadline }
}

fn instance(log: &FakeLog, id: &str) -> (OnceHandle, FakeLink) {
    let (shared, link) = log.shared(id);
    (OnceHandle::new(shared, HomeRoute::none()), link)
}

fn answer() -> RecordedAnswer {
    RecordedAnswer::bounded(201, Vec::new(), "done")
}

async fn check_retry_gets_answer() -> googletest::Result<()> {
    let log = FakeLog::new();
    let (first, _) = instance(&log, "a");
    let (second, _) = instance(&log, "b");
    let key = IdempotencyKey::now_v7();
    let OnceBegin::Run(permit) = first.begin(request(key)).await.or_fail()? else {
        return fail!("first claim must win");
    };
    verify_that!(permit.may_dispatch(Instant::now()), eq(true))?;
    let begin = second.begin(request(key)).await.or_fail()?;
    verify_that!(begin, matches_pattern!(OnceBegin::InProgress))?;
    permit.finish(OnceOutcome::Answered(answer())).await;
    let begin = second.begin(request(key)).await.or_fail()?;
    verify_that!(begin, matches_pattern!(OnceBegin::Answered(eq(&answer()))))
}

cases! { paused
    retry_gets_the_answer => check_retry_gets_answer(),
}
