//! Rate limit of log lines.

use gateway::log_writer::{LineDecision, LineLimit};
use googletest::prelude::*;
use testcases::cases;

cases! {
    lines_of_a_second_are_bounded => bounded(),
    warnings_are_always_written => warnings(),
    next_second_reports_suppressed_lines => suppressed(),
}

fn written(limit: &mut LineLimit, second: u64, is_urgent: bool) -> usize {
    let decisions = (0..1000).map(|_| limit.decide(second, is_urgent));
    decisions.filter(|it| *it != LineDecision::Suppress).count()
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

fn suppressed() -> Result<()> {
    let mut limit = LineLimit::default();
    written(&mut limit, 1, false);
    verify_that!(limit.decide(2, false), eq(LineDecision::Write { suppressed: 600 }))?;
    verify_that!(limit.decide(2, false), eq(LineDecision::Write { suppressed: 0 }))
}
