//! Suspects: two strikes refuse, an end without a crash clears.

use decide::fingerprint::fingerprint;
use decide::suspect::{STRIKE_LIFETIME, SuspectTable, SuspectVerdict};
use googletest::prelude::*;
use std::time::Instant;
use testcases::cases;

fn check_strikes(endpoints: &[&str], verdict: SuspectVerdict) -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    for endpoint in endpoints {
        table.strike(1, &(*endpoint).into(), now);
    }
    verify_that!(table.verdict(1, now), eq(verdict))
}

fn check_innocent_gets_clear() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.clear(1, now);
    verify_that!(table.verdict(1, now), eq(SuspectVerdict::Clear))
}

fn check_refused_stays_refused() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.strike(1, &"e2".into(), now);
    table.clear(1, now);
    verify_that!(table.verdict(1, now), eq(SuspectVerdict::Refuse))
}

fn check_strikes_age() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    verify_that!(table.verdict(1, now + STRIKE_LIFETIME), eq(SuspectVerdict::Clear))
}

fn check_same_fingerprint(one: &str, other: &str, is_same: bool) -> Result<()> {
    let equal = fingerprint("summaries", one) == fingerprint("summaries", other);
    verify_that!(equal, eq(is_same))
}

fn check_progress(strikes_after: &[&str], verdict: SuspectVerdict) -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.progress(1, now);
    for endpoint in strikes_after {
        table.strike(1, &(*endpoint).into(), now);
        table.progress(1, now);
    }
    verify_that!(table.verdict(1, now), eq(verdict))
}

fn check_refused_by_progress() -> Result<()> {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    table.strike(1, &"e1".into(), now);
    table.strike(1, &"e2".into(), now);
    table.progress(1, now);
    verify_that!(table.verdict(1, now), eq(SuspectVerdict::Refuse))
}

cases! {
    neighbour_that_goes_on_is_clear => check_progress(&[], SuspectVerdict::Clear),
    neighbour_of_two_crashes_is_served => check_progress(&["e2"], SuspectVerdict::Isolate),
    late_crasher_is_refused_at_the_third => check_progress(&["e2", "e3"], SuspectVerdict::Refuse),
    refused_stays_refused_when_it_goes_on => check_refused_by_progress(),
    no_strike => check_strikes(&[], SuspectVerdict::Clear),
    one_strike => check_strikes(&["e1"], SuspectVerdict::Isolate),
    same_crash_told_twice => check_strikes(&["e1", "e1"], SuspectVerdict::Isolate),
    two_strikes => check_strikes(&["e1", "e2"], SuspectVerdict::Refuse),
    innocent_gets_clear => check_innocent_gets_clear(),
    refused_stays_refused => check_refused_stays_refused(),
    strikes_age => check_strikes_age(),
    spacing_does_not_hide => check_same_fingerprint("Read this", " read\n this ", true),
    digit_makes_another => check_same_fingerprint("filing 17", "filing 18", false),
}
