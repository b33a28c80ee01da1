//! Messages on usage with windows that no sound instance states: the holder goes on to report the present ones.

use catalogue::id::Fence;
use decide::serving::usage_ledger::{LedgerTimes, UsageLedger, WindowStep};
use decide::serving::usage_report::{UsageReport, UsageTiming, WindowNumber};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

cases! {
    // Guard against a message after which the holder takes all windows for fixed and reports none any more.
    last_window_as_not_fixed => reported(UsageReport { unfixed: WindowNumber::MAX, ..odd() }),
    far_window_as_not_fixed => reported(UsageReport { unfixed: FIRST * 2, ..odd() }),
    // Guard against a holder that reports all windows since 1970, one after the other, before the present ones.
    first_window_of_all => reported(UsageReport { first: 0, ..odd() }),
    first_window_long_ago => reported(UsageReport { first: FIRST / 2, ..odd() }),
    // Guard against a sum that is out of range.
    last_window_as_first => reported(UsageReport { first: WindowNumber::MAX, ..odd() }),
    last_window_as_now => reported(UsageReport { now: WindowNumber::MAX, ..odd() }),
    last_window_as_open => reported(UsageReport { open: WindowNumber::MAX, ..odd() }),
    counts_of_the_last_window => reported(UsageReport { counts: counts(WindowNumber::MAX), ..odd() }),
    counts_of_the_first_window_of_all => reported(UsageReport { counts: counts(0), ..odd() }),
    largest_counts => reported(UsageReport { counts: counts(FIRST), ..odd() }),
    largest_clock => reported(UsageReport { clock: u64::MAX, ..odd() }),
}

const WINDOW_MS: u64 = 5000;
const FIRST: WindowNumber = 340_000_000;
const FENCE: Fence = 1;
/// Time by which a window must be reported, after its start
const BOUND_MS: u64 = WINDOW_MS + 10_000;

fn timing() -> UsageTiming {
    UsageTiming::new(Duration::from_millis(WINDOW_MS), Duration::from_secs(10))
}

/// Message of an instance that started in the first window and has counted nothing
fn report(source: u64) -> UsageReport {
    UsageReport {
        fence: FENCE,
        instance: format!("instance-{source}").into(),
        source,
        sequence: 1,
        first: FIRST,
        now: FIRST,
        open: FIRST,
        unfixed: 0,
        is_last: false,
        clock: FIRST * WINDOW_MS * 1000,
        counts: Vec::new(),
    }
}

fn odd() -> UsageReport {
    report(9)
}

fn counts(window: WindowNumber) -> Vec<(WindowNumber, Vec<(catalogue::id::CustomerName, u32)>)> {
    vec![(window, vec![("b".into(), u32::MAX), ("c".into(), u32::MAX)])]
}

fn times(at_ms: u64) -> LedgerTimes {
    let unix = Duration::from_millis(FIRST * WINDOW_MS + at_ms);
    LedgerTimes { unix, boot: Duration::from_secs(1000) + Duration::from_millis(at_ms) }
}

/// The counts of the first window are reported in time, at whatever moment the odd message comes
fn reported(odd: UsageReport) -> Result<()> {
    for odd_at in [0, 2000, 7000] {
        for is_first_start in [true, false] {
            // Without a first start, the first window isn't known in full.
            let expected = if is_first_start { FIRST } else { FIRST + 1 };
            verify_that!(fixed(&odd, odd_at, is_first_start), contains(eq(&expected)))?;
        }
    }
    Ok(())
}

/// Windows with the counts of a sound instance that are fixed in time
fn fixed(odd: &UsageReport, odd_at: u64, is_first_start: bool) -> Vec<WindowNumber> {
    let mut ledger = UsageLedger::new(timing());
    ledger.start_term(times(0).boot);
    let mut fixed = Vec::new();
    for at_ms in (0..BOUND_MS + WINDOW_MS).step_by(250) {
        if at_ms == odd_at {
            ledger.apply(odd, FENCE, times(at_ms));
        }
        let now = FIRST + at_ms / WINDOW_MS;
        let counts = (FIRST..=now).map(|it| (it, vec![("a".into(), 1)])).collect();
        ledger.apply(&UsageReport { now, open: now, counts, ..report(1) }, FENCE, times(at_ms));
        // The holder takes a step in each 100 ms.
        for _ in 0..3 {
            match ledger.step(times(at_ms), is_first_start) {
                WindowStep::Wait => break,
                WindowStep::Skip(to) => ledger.record_fixed(to),
                WindowStep::Fix(window, counts) => {
                    ledger.record_fixed(window + 1);
                    let is_counted = counts.iter().any(|it| it.0 == "a" && it.1 == 1);
                    fixed.extend(Some(window).filter(|_| is_counted));
                }
            }
        }
    }
    fixed
}
