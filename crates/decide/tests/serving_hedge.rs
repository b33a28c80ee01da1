//! Decisions on hedged requests: the learned delay, the ratio, and each reason against one.

use catalogue::id::EndpointId;
use decide::serving::hedge::{HedgeHistory, HedgeReason, HedgeRequest};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    // Guard against a second copy that costs capacity, comes too late, or repeats a crash.
    sound_request_is_hedged => decided(|_, _| (), Ok(())),
    none_without_a_ratio => decided(|_, it| it.ratio = 0.0, Err(HedgeReason::Off)),
    none_with_an_unreadable_ratio => decided(|_, it| it.ratio = f64::NAN, Err(HedgeReason::Off)),
    none_under_overload => decided(|it, _| it.record_refusal(start()), Err(HedgeReason::Overload)),
    none_to_a_full_endpoint => decided(|_, it| it.target_load = Some((3, 6)), Err(HedgeReason::Full)),
    none_without_another_endpoint => decided(|_, it| it.target_load = None, Err(HedgeReason::Full)),
    none_while_store_or_instances_are_away => decided(|_, it| it.is_current = false, Err(HedgeReason::OutOfDate)),
    none_near_the_deadline => decided(|_, it| it.time_left = Duration::from_millis(30), Err(HedgeReason::NearDeadline)),
    none_of_a_suspected_request => decided(|_, it| it.is_suspected = true, Err(HedgeReason::Suspected)),
    none_that_retries_need => decided(|_, it| it.has_spare_retries = false, Err(HedgeReason::Retries)),
    none_when_all_endpoints_are_slow => decided(all_slow, Err(HedgeReason::CommonCause)),
    none_before_times_are_learned => unlearned(),
    overload_is_forgotten => overload_ends(),
    ratio_bounds_the_hedges => ratio(),
    delay_follows_the_times => delay_is_learned(),
    slow_endpoint_is_known_and_tried_again => slow_endpoint(),
}

const REQUEST: HedgeRequest = HedgeRequest {
    ratio: 0.03,
    time_left: Duration::from_secs(1),
    is_suspected: false,
    is_current: true,
    target_load: Some((0, 6)),
    has_spare_retries: true,
};

thread_local! {
    static START: Instant = Instant::now();
}

fn start() -> Instant {
    START.with(|it| *it)
}

fn endpoint(number: usize) -> EndpointId {
    format!("e{number}").into()
}

/// History of 200 requests that took 20 ms
fn history() -> HedgeHistory {
    let mut history = HedgeHistory::default();
    for number in 0..200 {
        history.record_request(start());
        history.record_time(&endpoint(number % 10), Duration::from_millis(20), start());
    }
    history
}

fn all_slow(history: &mut HedgeHistory, _: &mut HedgeRequest) {
    for number in 0..10 {
        history.record_time(&endpoint(number), Duration::from_millis(160), start());
    }
}

fn decided(
    change: fn(&mut HedgeHistory, &mut HedgeRequest),
    expected: std::result::Result<(), HedgeReason>,
) -> Result<()> {
    let (mut history, mut request) = (history(), REQUEST);
    change(&mut history, &mut request);
    verify_that!(history.try_hedge(&request, start()), eq(expected))
}

fn unlearned() -> Result<()> {
    let mut history = HedgeHistory::default();
    history.record_request(start());
    verify_that!(history.delay(), none())?;
    verify_that!(history.try_hedge(&REQUEST, start()), eq(Err(HedgeReason::Unlearned)))
}

fn overload_ends() -> Result<()> {
    let mut history = history();
    history.record_refusal(start());
    let later = start() + Duration::from_millis(2100);
    verify_that!(history.try_hedge(&REQUEST, later), ok(anything()))
}

fn ratio() -> Result<()> {
    let mut history = history();
    // A higher configured ratio changes nothing.
    for request in [REQUEST, HedgeRequest { ratio: 0.5, ..REQUEST }] {
        for _ in 0..20 {
            let _ = history.try_hedge(&request, start());
        }
    }
    verify_that!(history.try_hedge(&REQUEST, start()), eq(Err(HedgeReason::Ratio)))?;
    let later = start() + Duration::from_secs(11);
    for _ in 0..100 {
        history.record_request(later);
    }
    let sent = (0..20).filter(|_| history.try_hedge(&REQUEST, later).is_ok()).count();
    verify_that!(sent, eq(3))
}

fn delay_is_learned() -> Result<()> {
    let mut history = history();
    verify_that!(history.delay(), some(eq(Duration::from_millis(40))))?;
    for number in 0..400 {
        history.record_time(&endpoint(number % 10), Duration::from_millis(200), start());
    }
    verify_that!(history.delay(), some(eq(Duration::from_millis(400))))
}

fn slow_endpoint() -> Result<()> {
    let mut history = history();
    for _ in 0..3 {
        history.record_time(&endpoint(1), Duration::from_millis(160), start());
    }
    verify_that!(history.is_slow(&endpoint(1), start()), eq(true))?;
    verify_that!(history.is_slow(&endpoint(2), start()), eq(false))?;
    let later = start() + Duration::from_secs(20);
    verify_that!(history.is_slow(&endpoint(1), later), eq(false))
}
