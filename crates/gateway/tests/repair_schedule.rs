//! Repairs of facts: who gets them, and when.

use gateway::peers::repair::{DigestPair, RepairSchedule};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

/// Number of repairs to one instance within a minute of messages, whose digest at each time is given
fn repairs(digest_at: impl Fn(u64) -> u64) -> usize {
    let start = Instant::now();
    let mut schedule = RepairSchedule::default();
    let address = "10.0.0.1:7".parse().expect("an address");
    let mut sent = 0;
    for step in 0..600 {
        let now = start + Duration::from_millis(100 * step);
        let digests = DigestPair { own: 1, other: digest_at(step) };
        schedule.observe(&"instance".into(), address, digests, now);
        sent += schedule.take_due(now).len();
    }
    sent
}

fn check(digest_at: impl Fn(u64) -> u64, expected: usize) -> Result<()> {
    verify_that!(repairs(digest_at), eq(expected))
}

cases! {
    same_digests_need_no_repair => check(|_| 1, 0),
    digests_that_differ_for_a_moment_need_no_repair => check(|step| if step % 10 == 0 { 2 } else { 1 }, 0),
    instance_without_facts_gets_one_at_once => check(|step| if step == 0 { 0 } else { 1 }, 1),
    // Guards against instances that send each other all facts every second, though that changes nothing.
    repair_without_effect_is_repeated_after_ten_seconds => check(|_| 2, 6),
    repairs_go_on_while_digests_change => check(|step| 2 + step / 10, 60),
}
