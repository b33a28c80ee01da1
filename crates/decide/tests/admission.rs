//! Admission queue: order of service, early refusals with a retry time, no starvation.

use catalogue::RequestClass::{self, Batch, Interactive, Standard, Urgent};
use decide::admission::{AdmissionQueue, ArrivingRequest, RefuseReason};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use std::time::{Duration, Instant};
use testcases::cases;

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn arriving(class: RequestClass, deadline: Instant) -> ArrivingRequest {
    ArrivingRequest { class, deadline, service_time: SERVICE_TIME }
}

/// Order in which requests of these classes and deadlines are served
fn check_order(arrivals: &[(RequestClass, u64)], order: &[usize]) -> Result<()> {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(100);
    for (index, (class, seconds)) in arrivals.iter().enumerate() {
        queue.push(arriving(*class, now + Duration::from_secs(*seconds)), index, now).or_fail()?;
    }
    let served: Vec<usize> = std::iter::from_fn(|| queue.pop(now)).map(|it| it.item).collect();
    verify_that!(served, eq(order))
}

fn check_full() -> Result<()> {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let mut queue = AdmissionQueue::new(2);
    queue.push(arriving(Interactive, deadline), 0, now).or_fail()?;
    queue.push(arriving(Batch, deadline), 1, now).or_fail()?;
    let refused = queue.push(arriving(Batch, deadline), 2, now);
    verify_that!(refused, err(matches_pattern!(RefuseReason::QueueFull { .. })))?;
    queue.push(arriving(Urgent, deadline), 3, now).or_fail()?;
    verify_that!(queue.take_displaced().map(|it| it.item), some(eq(1)))?;
    verify_that!(queue.take_displaced().map(|it| it.item), none())
}

/// Queue that serves ten requests per second
fn steady_queue(waiting: usize, now: &mut Instant) -> AdmissionQueue<usize> {
    let mut queue = AdmissionQueue::new(1_000);
    for index in 0..waiting + 50 {
        let deadline = *now + Duration::from_secs(1_000);
        let _ = queue.push(arriving(Interactive, deadline), index, *now);
    }
    for _ in 0..50 {
        *now += SERVICE_TIME;
        queue.pop(*now);
    }
    queue
}

fn check_too_late(class: RequestClass, allowed: Duration, is_refused: bool) -> Result<()> {
    let mut now = Instant::now();
    let mut queue = steady_queue(50, &mut now);
    let pushed = queue.push(arriving(class, now + allowed), 0, now);
    match pushed {
        Err(reason) => {
            verify_that!(is_refused, eq(true))?;
            verify_that!(reason, matches_pattern!(RefuseReason::TooLate { .. }))?;
            verify_that!(reason.retry_after(), ge(Duration::from_secs(4)))
        }
        Ok(_) => verify_that!(is_refused, eq(false)),
    }
}

fn check_expired_is_returned_immediately() -> Result<()> {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(10);
    queue.push(arriving(Urgent, now + Duration::from_secs(1)), 7, now).or_fail()?;
    let last_start = now + Duration::from_millis(900);
    verify_that!(queue.take_expired(last_start), is_empty())?;
    let later = last_start + Duration::from_millis(1);
    verify_that!(queue.pop(later).map(|it| it.item), none())?;
    verify_that!(queue.take_expired(later).len(), eq(1))
}

/// One batch request waits while interactive requests keep arriving
fn check_batch_is_served(turns: usize) -> Result<()> {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(100);
    let mut queue = AdmissionQueue::new(1_000);
    queue.push(arriving(Batch, deadline), usize::MAX, now).or_fail()?;
    let mut served = Vec::new();
    for turn in 0..turns {
        let later = now + Duration::from_millis(turn as u64 + 1);
        queue.push(arriving(Interactive, deadline), turn, later).or_fail()?;
        served.extend(queue.pop(later).map(|it| it.item));
    }
    verify_that!(served, contains(eq(&usize::MAX)))
}

fn check_cancelled() -> Result<()> {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(10);
    let ticket = queue.push(arriving(Urgent, now + Duration::from_secs(9)), 1, now).or_fail()?;
    verify_that!(queue.cancel(ticket).map(|it| it.item), some(eq(1)))?;
    verify_that!(queue.cancel(ticket).map(|it| it.item), none())?;
    verify_that!(queue.is_empty(), eq(true))
}

cases! {
    urgent_is_served_first => check_order(&[(Batch, 9), (Standard, 9), (Urgent, 9)], &[2, 1, 0]),
    earlier_deadline_is_served_first => check_order(&[(Urgent, 9), (Urgent, 5)], &[1, 0]),
    arrival_breaks_ties => check_order(&[(Urgent, 9), (Urgent, 9)], &[0, 1]),
    full_queue_keeps_the_urgent => check_full(),
    late_request_is_refused => check_too_late(Interactive, Duration::from_secs(4), true),
    request_in_time_is_queued => check_too_late(Interactive, Duration::from_secs(7), false),
    urgent_is_not_delayed_by_others => check_too_late(Urgent, Duration::from_secs(1), false),
    expired_is_returned_immediately => check_expired_is_returned_immediately(),
    batch_is_not_starved => check_batch_is_served(16),
    cancelled => check_cancelled(),
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn every_request_is_served_refused_or_returned_once(
        arrivals in proptest::collection::vec((0..4_usize, 0..3_000_u64, 0..80_u64), 1..100),
    ) {
        let mut now = Instant::now();
        let mut queue = AdmissionQueue::new(20);
        let mut ended = Vec::new();
        for (index, (class, allowed, pause)) in arrivals.iter().enumerate() {
            now += Duration::from_millis(*pause);
            let deadline = now + Duration::from_millis(*allowed);
            if queue.push(arriving(RequestClass::ALL[*class], deadline), index, now).is_err() {
                ended.push(index);
            }
            ended.extend(queue.take_displaced().map(|it| it.item));
            ended.extend(queue.take_expired(now).into_iter().map(|it| it.item));
            prop_assert!(queue.len() <= 20);
            if index % 3 > 0 {
                continue;
            }
            if let Some(served) = queue.pop(now) {
                prop_assert!(now + SERVICE_TIME <= served.request.deadline);
                ended.push(served.item);
            }
        }
        ended.extend(queue.take_expired(now).into_iter().map(|it| it.item));
        ended.extend(std::iter::from_fn(|| queue.pop(now)).map(|it| it.item));
        ended.sort_unstable();
        prop_assert!(ended.into_iter().eq(0..arrivals.len()));
    }
}
