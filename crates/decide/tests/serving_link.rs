//! When the link to the endpoints is unverified, and when it counts as cut.

use decide::serving::link::{CheckResult, LinkMonitor, LinkState};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    one_failing_endpoint_is_its_own_fault => failures(&["a", "a", "a"], 8, LinkState::Sound),
    two_failing_endpoints_leave_the_link_unverified => failures(&["a", "b"], 8, LinkState::Unverified),
    only_endpoint_leaves_the_link_unverified => failures(&["a"], 1, LinkState::Unverified),
    link_without_an_answer_is_cut => check(&[CheckResult::Refused, CheckResult::Silent], LinkState::Cut),
    one_answer_shows_a_sound_link => check(&[CheckResult::Refused, CheckResult::Answered], LinkState::Sound),
    nothing_to_check_leaves_the_link_sound => check(&[], LinkState::Sound),
    answer_on_a_new_connection_verifies_the_link => answered(true, LinkState::Sound),
    // Guards against a cut that goes unnoticed, since connections that were open before live on.
    answer_on_an_old_connection_leaves_it_unverified => answered(false, LinkState::Unverified),
    // Guards against a cut that is seen where all endpoints are only full.
    silent_check_beside_answers_shows_full_endpoints => full(),
    // Guards against a cut that is seen where all endpoints are full and work for seconds.
    silent_check_of_full_endpoints_shows_nothing => silent_while_full(&[], LinkState::Sound),
    // Guards against a cut that goes unnoticed while the endpoints are taken for full ones.
    silent_check_of_full_endpoints_counts_after_the_usual_time =>
        silent_while_full(&[FullStep::Overdue], LinkState::Cut),
    answer_since_shows_full_endpoints_again =>
        silent_while_full(&[FullStep::Overdue, FullStep::Answer], LinkState::Sound),
    full_endpoints_don_t_end_a_cut => silent_while_full(&[FullStep::Cut], LinkState::Cut),
    cut_ends_with_an_answer_to_a_check => regained(),
    // Guards against a cut that lasts until a check, though an endpoint has answered a request.
    cut_ends_with_an_answer_to_a_request => regained_by_request(),
}

fn unverified(now: Instant) -> LinkMonitor {
    let mut monitor = LinkMonitor::default();
    monitor.record_failure(&"a".into(), 8, now);
    assert!(monitor.record_failure(&"b".into(), 8, now), "two endpoints have failed");
    monitor
}

fn failures(endpoints: &[&str], listed: usize, expected: LinkState) -> Result<()> {
    let mut monitor = LinkMonitor::default();
    for endpoint in endpoints {
        monitor.record_failure(&(*endpoint).into(), listed, Instant::now());
    }
    verify_that!(monitor.state(), eq(expected))
}

fn check(results: &[CheckResult], expected: LinkState) -> Result<()> {
    let now = Instant::now();
    verify_that!(unverified(now).decide(results, now), eq(expected))
}

fn answered(is_new_connection: bool, expected: LinkState) -> Result<()> {
    let now = Instant::now();
    let mut monitor = unverified(now);
    monitor.record_answer(is_new_connection, now);
    verify_that!(monitor.state(), eq(expected))
}

fn full() -> Result<()> {
    let now = Instant::now();
    let mut monitor = unverified(now);
    monitor.record_answer(false, now);
    let at = |ms| now + Duration::from_millis(ms);
    let mut refused = monitor.clone();
    verify_that!(refused.decide(&[CheckResult::Refused], at(300)), eq(LinkState::Cut))?;
    let mut silent = monitor.clone();
    verify_that!(silent.decide(&[CheckResult::Silent], at(300)), eq(LinkState::Sound))?;
    verify_that!(monitor.decide(&[CheckResult::Silent], at(500)), eq(LinkState::Cut))
}

/// What happens before full endpoints are checked
enum FullStep {
    /// A request has waited longer than usual
    Overdue,
    Answer,
    Cut,
}

fn silent_while_full(steps: &[FullStep], expected: LinkState) -> Result<()> {
    let now = Instant::now();
    let mut monitor = unverified(now);
    for step in steps {
        match step {
            FullStep::Overdue => monitor.record_overdue(),
            FullStep::Answer => monitor.record_answer(false, now),
            FullStep::Cut => {
                monitor.decide(&[CheckResult::Refused], now);
            }
        }
    }
    let results = [monitor.silent_result(true), monitor.silent_result(true)];
    verify_that!(monitor.decide(&results, now + Duration::from_secs(1)), eq(expected))?;
    verify_that!(monitor.silent_result(false), eq(CheckResult::Silent))
}

fn regained() -> Result<()> {
    let now = Instant::now();
    let mut monitor = unverified(now);
    monitor.decide(&[CheckResult::Refused], now);
    monitor.record_answer(false, now);
    verify_that!(monitor.state(), eq(LinkState::Cut))?;
    verify_that!(monitor.decide(&[CheckResult::Refused], now), eq(LinkState::Cut))?;
    verify_that!(monitor.decide(&[CheckResult::Answered], now), eq(LinkState::Sound))?;
    verify_that!(monitor.record_failure(&"c".into(), 8, now), eq(false))
}

fn regained_by_request() -> Result<()> {
    let now = Instant::now();
    let mut monitor = unverified(now);
    monitor.decide(&[CheckResult::Refused], now);
    monitor.record_answer(true, now);
    verify_that!(monitor.state(), eq(LinkState::Sound))
}
