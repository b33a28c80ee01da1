//! Prompt parts that crash the engines that begin to write an answer on them.
//!
//! Requests with such a part may differ in all else, so each part of a prompt that other
//! requests may share gains a strike when an engine ends before the answer has begun. An
//! answer that begins clears the parts of its prompt. A part with as many strikes as a
//! crashing request becomes suspected, unless a part with more strikes explains its crashes.
//!
//! Sound parts that few requests have may run beside several crashes and share all strikes
//! of the crashing one. Requests with a suspected part therefore run one at a time as tests.
//! A test that succeeds clears the part; one that crashes its engine adds a strike to it,
//! which then explains the others. With `MAX_TESTED_STRIKES` a part is refused, but for a
//! test that decides between parts with the same crashes, and tested at long intervals. One
//! on which answers had begun before is tested soon: many engines may have ended at once for
//! a reason of their own.

use super::crash_table::{CrashTable, MAX_STRIKES, StrikeScope};
use super::prompt::PartKey;
use std::time::{Duration, Instant};

/// Strikes from which a part is refused; the users' rules count requests from the fifth crash on.
pub const MAX_TESTED_STRIKES: usize = 5;

/// Decision on a request by the parts of its prompt
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartDecision {
    /// No part is suspected
    Admit,
    /// These parts are suspected; the request may run as their only test
    Test(Vec<PartKey>),
    /// This part crashes engines
    Refuse(PartKey),
}

/// Decides on a request with these shared parts; `first_refusal` is the time for which a part is refused at first
pub fn decide_parts(
    table: &CrashTable,
    parts: &[PartKey],
    first_refusal: impl Fn(PartKey) -> Duration,
    now: Instant,
) -> PartDecision {
    let scope = StrikeScope::Lost;
    let mut suspected = Vec::new();
    for part in parts {
        let strikes = table.unexplained_strikes(*part, scope, now);
        if strikes < MAX_STRIKES {
            continue;
        }
        let is_ambiguous = || {
            let mut others = table.with_same_strikes(*part, scope, now);
            strikes <= MAX_TESTED_STRIKES && others.any(|it| !parts.contains(&it))
        };
        let first_refusal = first_refusal(*part);
        let refusal = table.refusal_left(*part, MAX_TESTED_STRIKES, first_refusal, scope, now);
        if refusal.is_some() && !is_ambiguous() {
            return PartDecision::Refuse(*part);
        }
        suspected.push(*part);
    }
    if suspected.is_empty() { PartDecision::Admit } else { PartDecision::Test(suspected) }
}
