//! Retry budget: retries stay within a tenth of the requests.

use decide::retry::{RetryBudget, backoff};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::time::{Duration, Instant};
use testcases::cases;

/// Every attempt fails and takes as many retries as the budget allows.
fn check_outage(requests: u32) -> Result<()> {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    let now = Instant::now();
    for _ in 0..requests {
        budget.earn();
        while budget.spend(now) {
            retries += 1;
        }
    }
    let allowed = requests / 10 + 2;
    verify_that!(retries, all!(le(allowed), ge(requests / 10 - 1)))
}

fn check_saved_retries_are_bounded() -> Result<()> {
    let mut budget = RetryBudget::default();
    for _ in 0..10_000 {
        budget.earn();
    }
    let now = Instant::now();
    let retries = (0..100).filter(|_| budget.spend(now)).count();
    verify_that!(retries, eq(10))
}

/// An instance that drains has no arrivals, but streams that must start again elsewhere
fn check_refill_by_time() -> Result<()> {
    let mut budget = RetryBudget::default();
    let start = Instant::now();
    let spent = |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.spend(now)).count();
    verify_that!(spent(&mut budget, start), eq(2))?;
    verify_that!(spent(&mut budget, start + Duration::from_secs(1)), eq(5))?;
    verify_that!(spent(&mut budget, start + Duration::from_secs(3600)), eq(10))
}

fn check_backoff(attempt: u32, bound_ms: u64) -> Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let pauses: Vec<Duration> = (0..200).map(|_| backoff(attempt, &mut rng)).collect();
    let bound = Duration::from_millis(bound_ms);
    verify_that!(pauses, each(le(&bound)))?;
    verify_that!(pauses.iter().max().copied(), some(ge(bound / 2)))
}

cases! {
    outage_of_100_requests => check_outage(100),
    outage_of_5000_requests => check_outage(5_000),
    saved_retries_are_bounded => check_saved_retries_are_bounded(),
    retries_are_earned_by_time => check_refill_by_time(),
    first_backoff => check_backoff(1, 20),
    third_backoff => check_backoff(3, 80),
    backoff_is_capped => check_backoff(40, 1_000),
}
