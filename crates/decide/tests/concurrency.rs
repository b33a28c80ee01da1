//! Capacity fraction of an instance, by the fraction of the allowed time that its answers take.

use decide::concurrency::AdaptiveConcurrency;
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

const ALLOWED: Duration = Duration::from_secs(10);

fn after(answers: usize, took_s: u64, mut concurrency: AdaptiveConcurrency) -> AdaptiveConcurrency {
    for _ in 0..answers {
        concurrency.record_answer(Duration::from_secs(took_s), ALLOWED);
    }
    concurrency
}

fn check_in_time() -> Result<()> {
    verify_that!(after(500, 5, AdaptiveConcurrency::default()).capacity_fraction(), eq(1.0))
}

fn check_late() -> Result<()> {
    let concurrency = after(200, 12, AdaptiveConcurrency::default());
    verify_that!(concurrency.capacity_fraction(), gt(0.0))?;
    verify_that!(concurrency.capacity_fraction(), lt(0.2))
}

fn check_recovery() -> Result<()> {
    let concurrency = after(200, 12, AdaptiveConcurrency::default());
    verify_that!(after(200, 5, concurrency).capacity_fraction(), eq(1.0))
}

fn check_single_late_answer() -> Result<()> {
    let concurrency = after(50, 5, AdaptiveConcurrency::default());
    verify_that!(after(1, 12, concurrency).capacity_fraction(), eq(1.0))
}

fn check_no_time() -> Result<()> {
    let mut concurrency = AdaptiveConcurrency::default();
    concurrency.record_answer(ALLOWED, Duration::ZERO);
    verify_that!(concurrency, eq(AdaptiveConcurrency::default()))
}

cases! {
    answers_in_time_keep_the_capacity => check_in_time(),
    late_answers_reduce_the_capacity_but_not_to_zero => check_late(),
    capacity_recovers => check_recovery(),
    one_late_answer_changes_nothing => check_single_late_answer(),
    answer_without_allowed_time_is_ignored => check_no_time(),
}
