//! True time of a fleet whose clocks jump, and of messages that are delayed.

use catalogue::id::InstanceId;
use decide::serving::true_time::{ClockSample, TrueTime};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

/// True time at boot time zero of the first instance, in milliseconds since 1970.
const EPOCH_MS: i64 = 1_700_000_000_000;
/// Error of the estimate in these tests: messages take 2 ms each way.
const MAX_ERROR_MS: i64 = 5;
const DELAY_MS: i64 = 2;

cases! {
    clock_that_is_right => single(&[]),
    // Guards against windows that are cut by a clock that was stepped while the instance ran.
    clock_stepped_forward_and_back => single(&[(20, 35, 2000)]),
    clock_stepped_back_and_forward => single(&[(20, 35, -2000)]),
    // Guards against an instance that takes its time of day just while the clock is wrong.
    clock_stepped_at_the_start_and_back => single(&[(0, 10, 2000)]),
    clock_stepped_at_the_start_and_back_twice => single(&[(0, 10, -2000), (20, 28, 2000)]),
    third_of_the_clocks_is_ahead_from_the_start => fleet(9, |it| if it < 3 { 2000 } else { 0 }),
    third_of_the_clocks_is_behind_from_the_start => fleet(9, |it| if it < 3 { -2000 } else { 0 }),
    // Guards against a holder that has one of the wrong clocks, and makes it the fleet's.
    third_of_the_clocks_is_wrong_in_both_directions => fleet(9, |it| match it {
        0 | 4 => 2000,
        8 => -2000,
        _ => 0,
    }),
    one_of_three_clocks_is_wrong => fleet(3, |it| if it == 0 { 2000 } else { 0 }),
    // Guards against a median of the few clocks that a new holder has heard first.
    few_of_many_clocks_decide_nothing => few_heard(),
    clock_that_is_not_heard_any_more_does_not_count => silent(),
    delayed_statements_count_less_than_prompt_ones => delayed(),
    of_two_clocks_each_keeps_its_own => two(),
}

fn at(ms: i64) -> Duration {
    Duration::from_millis(u64::try_from(ms).expect("not negative"))
}

fn boot(seconds: i64) -> Duration {
    at(seconds * 1000)
}

fn sample(seconds: i64, step_ms: i64) -> ClockSample {
    ClockSample { boot: boot(seconds), unix: at(EPOCH_MS + seconds * 1000 + step_ms) }
}

/// Time with one sample of a clock that is off by a step
fn started(step_ms: i64) -> TrueTime {
    let mut time = TrueTime::default();
    time.record_sample(sample(0, step_ms));
    time
}

fn name(number: usize) -> InstanceId {
    format!("instance-{number}").into()
}

fn error_ms(time: &TrueTime, seconds: i64) -> i64 {
    let estimate = i64::try_from(time.at(boot(seconds)).as_millis()).expect("small");
    estimate - EPOCH_MS - seconds * 1000
}

/// Steps are from a second to another one, in milliseconds; a third of the samples may be wrong
fn single(steps: &[(i64, i64, i64)]) -> Result<()> {
    let mut time = TrueTime::default();
    for second in 0..60 {
        let step = steps.iter().find(|it| (it.0..it.1).contains(&second)).map_or(0, |it| it.2);
        verify_that!(time.is_sample_due(boot(second)), eq(true))?;
        time.record_sample(sample(second, step));
        let starts_wrong = steps.first().is_some_and(|it| it.0 == 0);
        if !starts_wrong || second > 20 {
            verify_that!(error_ms(&time, second), eq(0))?;
        }
    }
    verify_that!(time.is_confirmed(), eq(false))
}

/// Instance 0 is the holder; the clocks stay wrong
fn fleet(instances: usize, step_ms: impl Fn(usize) -> i64) -> Result<()> {
    let mut times = (0..instances).map(|it| started(step_ms(it))).collect::<Vec<_>>();
    for second in 1..4 {
        for number in 1..instances {
            let stated = times[number].own_statement(boot(second));
            times[0].record_clock(&name(number), stated, boot(second) + at(DELAY_MS));
        }
        times[0].compute_fleet(instances, boot(second));
        let fleet = times[0].fleet_statement(boot(second)).or_fail()?;
        for time in &mut times[1..] {
            time.record_fleet(fleet, boot(second) + at(DELAY_MS));
        }
    }
    for time in &times {
        verify_that!(error_ms(time, 5).abs(), le(MAX_ERROR_MS))?;
        verify_that!(time.is_confirmed(), eq(true))?;
    }
    Ok(())
}

fn few_heard() -> Result<()> {
    let mut time = started(0);
    for number in 0..8 {
        let stated = started(2000).own_statement(boot(1));
        time.record_clock(&name(number), stated, boot(1));
        time.compute_fleet(20, boot(1));
    }
    verify_that!(error_ms(&time, 1), eq(0))
}

fn silent() -> Result<()> {
    let mut time = started(0);
    for number in 0..3 {
        time.record_clock(&name(number), started(2000).own_statement(boot(1)), boot(1));
    }
    time.compute_fleet(3, boot(12));
    verify_that!(time.is_confirmed(), eq(false))
}

fn delayed() -> Result<()> {
    let mut time = started(0);
    for second in 1..20 {
        let delay = if second % 5 == 0 { DELAY_MS } else { 400 };
        let stated = started(0).own_statement(boot(second));
        time.record_fleet(stated, boot(second) + at(delay));
    }
    verify_that!(error_ms(&time, 20).abs(), le(MAX_ERROR_MS))
}

fn two() -> Result<()> {
    let mut time = started(0);
    time.record_clock(&name(1), started(2000).own_statement(boot(1)), boot(1));
    time.compute_fleet(2, boot(1));
    verify_that!(error_ms(&time, 1), eq(0))
}
