//! Volume of the log.

use gateway::journal::{LineLimit, LineVerdict};
use googletest::prelude::*;
use testcases::cases;

cases! {
    lines_of_a_second_are_bounded => bounded(),
    warnings_are_always_written => warnings(),
    next_second_says_what_was_left_out => left_out(),
}

fn written(limit: &mut LineLimit, second: u64, is_urgent: bool) -> usize {
    let verdicts = (0..1000).map(|_| limit.verdict(second, is_urgent));
    verdicts.filter(|it| *it != LineVerdict::LeaveOut).count()
}

fn bounded() -> Result<()> {
    let mut limit = LineLimit::default();
    for second in 1..4 {
        verify_that!(written(&mut limit, second, false), eq(400))?;
    }
    Ok(())
}

fn warnings() -> Result<()> {
    let mut limit = LineLimit::default();
    written(&mut limit, 1, false);
    verify_that!(written(&mut limit, 1, true), eq(1000))
}

fn left_out() -> Result<()> {
    let mut limit = LineLimit::default();
    written(&mut limit, 1, false);
    verify_that!(limit.verdict(2, false), eq(LineVerdict::Write { left_out: 600 }))?;
    verify_that!(limit.verdict(2, false), eq(LineVerdict::Write { left_out: 0 }))
}
