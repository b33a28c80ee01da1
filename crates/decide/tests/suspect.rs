//! Suspected requests: two strikes refuse a request, an end without a crash clears it.

use decide::fingerprint::fingerprint;
use decide::suspect::{STRIKE_LIFETIME, SuspectDecision, SuspectTable};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

fn check_strikes(endpoints: &[&str], decision: SuspectDecision) -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    for endpoint in endpoints {
        table.strike(1, &(*endpoint).into(), now);
    }
    verify_that!(table.decision(1, now), eq(decision))
}

fn check_unrelated_is_cleared() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.clear(1, now);
    verify_that!(table.decision(1, now), eq(SuspectDecision::Clear))
}

fn check_refused_stays_refused() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.strike(1, &"e2".into(), now);
    table.clear(1, now);
    verify_that!(table.decision(1, now), eq(SuspectDecision::Refuse))
}

fn check_strikes_expire() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    verify_that!(table.decision(1, now + STRIKE_LIFETIME), eq(SuspectDecision::Clear))
}

fn check_same_fingerprint(one: &str, other: &str, is_same: bool) -> Result<()> {
    let equal = fingerprint("summaries", one) == fingerprint("summaries", other);
    verify_that!(equal, eq(is_same))
}

fn check_progress(strikes_after: &[&str], decision: SuspectDecision) -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.record_progress(1, now);
    for endpoint in strikes_after {
        table.strike(1, &(*endpoint).into(), now);
        table.record_progress(1, now);
    }
    verify_that!(table.decision(1, now), eq(decision))
}

fn check_refused_by_progress() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.strike(1, &"e2".into(), now);
    table.record_progress(1, now);
    verify_that!(table.decision(1, now), eq(SuspectDecision::Refuse))
}

/// Plays crashes in which request 1, which crashes endpoints, ran beside request 2; each crash is
/// reported for these requests in this order
fn check_neighbour(
    crashes: &[(&str, &[u64])],
    between: Duration,
    decision: SuspectDecision,
) -> Result<()> {
    let mut now = Instant::now();
    let mut table = SuspectTable::default();
    for (endpoint, reports) in crashes {
        for fingerprint in *reports {
            table.strike(*fingerprint, &(*endpoint).into(), now);
        }
        // The unrelated request continues elsewhere after each crash.
        table.record_progress(2, now);
        now += between;
    }
    verify_that!(table.decision(1, now), eq(SuspectDecision::Refuse))?;
    verify_that!(table.decision(2, now), eq(decision))
}

cases! {
    neighbour_in_three_crashes_is_served => check_neighbour(
        &[("e1", &[1, 2]), ("e2", &[1, 2]), ("e3", &[1, 2])],
        Duration::from_millis(300),
        SuspectDecision::Clear
    ),
    neighbour_reported_first_is_served => check_neighbour(
        &[("e1", &[2, 1]), ("e2", &[2, 1]), ("e3", &[2, 1])],
        Duration::from_millis(300),
        SuspectDecision::Clear
    ),
    crash_of_a_recovered_endpoint_is_another_one => check_neighbour(
        &[("e1", &[1]), ("e2", &[1]), ("e1", &[2]), ("e2", &[2]), ("e3", &[2])],
        Duration::from_secs(30),
        SuspectDecision::Refuse
    ),
    unrelated_request_that_continues_is_cleared => check_progress(&[], SuspectDecision::Clear),
    unrelated_request_in_two_crashes_is_served => check_progress(&["e2"], SuspectDecision::Isolate),
    late_crashing_request_is_refused_at_the_third_crash => check_progress(&["e2", "e3"], SuspectDecision::Refuse),
    refused_stays_refused_when_it_continues => check_refused_by_progress(),
    no_strike => check_strikes(&[], SuspectDecision::Clear),
    one_strike => check_strikes(&["e1"], SuspectDecision::Isolate),
    same_crash_reported_twice => check_strikes(&["e1", "e1"], SuspectDecision::Isolate),
    two_strikes => check_strikes(&["e1", "e2"], SuspectDecision::Refuse),
    unrelated_request_is_cleared => check_unrelated_is_cleared(),
    refused_stays_refused => check_refused_stays_refused(),
    strikes_expire => check_strikes_expire(),
    whitespace_does_not_change_the_fingerprint => check_same_fingerprint("Read this", " read\n this ", true),
    digit_changes_the_fingerprint => check_same_fingerprint("filing 17", "filing 18", false),
}
