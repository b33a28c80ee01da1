//! Membership: the platform's list, observations, notices and homes.

use catalogue::{InstanceKind, InstanceState, ListedInstance};
use googletest::prelude::*;
use indexmap::IndexMap;
use peer::membership::{
    ANSWER_TTL, FAILURES_TO_DOWN, MAX_NOTICES, Member, MemberTable, NOTICE_TTL,
};
use peer::message::{DownNotice, PeerUpdate};
use peer::ring;
use std::time::Duration;
use testcases::cases;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn line(number: usize) -> ListedInstance {
    ListedInstance {
        id: format!("i{number:03}").into(),
        kind: InstanceKind::Entry,
        pool: "trust".into(),
        zone: format!("z{}", number % 3).into(),
        region: "south".into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        state: InstanceState::Live,
        checks_fence: false,
        version: Default::default(),
    }
}

fn lines(count: usize) -> Vec<ListedInstance> {
    (0..count).map(line).collect()
}

/// Table of instance 0 with `count` instances listed
fn table(count: usize) -> MemberTable {
    let me = line(0);
    let me =
        Member { id: me.id, zone: me.zone, region: me.region, address: me.address, is_live: true };
    let mut table = MemberTable::new(me);
    table.set_list(&lines(count), "trust");
    table
}

fn live_count(table: &MemberTable, now: Instant) -> usize {
    table.view(now).live().count()
}

fn fail(table: &mut MemberTable, id: &str, now: Instant) {
    for _ in 0..FAILURES_TO_DOWN {
        table.record_failure(id, now);
    }
}

fn notice(id: &str, age: Duration) -> PeerUpdate {
    let notice = DownNotice { instance: id.into(), age_ms: age.as_millis() as u32 };
    PeerUpdate { instance: "i002".into(), load: 0, down: vec![notice] }
}

fn check_listed(change: fn(&mut ListedInstance), live: usize) -> Result<()> {
    let mut listed = lines(3);
    change(&mut listed[1]);
    let mut table = table(1);
    table.set_list(&listed, "trust");
    verify_that!(live_count(&table, Instant::now()), eq(live))
}

fn check_one_failure() -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    table.record_failure("i001", now);
    verify_that!(live_count(&table, now), eq(3))
}

fn check_failures() -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    fail(&mut table, "i001", now);
    verify_that!(live_count(&table, now), eq(2))?;
    verify_that!(live_count(&table, now + NOTICE_TTL), eq(3))
}

fn check_answer_after_failures() -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    fail(&mut table, "i001", now);
    table.record_answer("i001", now);
    verify_that!(live_count(&table, now), eq(3))
}

fn check_notice(age: Duration, live: usize) -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    table.apply_update(&notice("i001", age), now);
    verify_that!(live_count(&table, now), eq(live))
}

fn check_answer_overrides_notice() -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    table.record_answer("i001", now);
    table.apply_update(&notice("i001", Duration::ZERO), now);
    verify_that!(live_count(&table, now), eq(3))?;
    verify_that!(live_count(&table, now + ANSWER_TTL), eq(2))
}

/// A notice keeps its age when it is forwarded, so it expires on all instances.
fn check_notice_ages() -> Result<()> {
    let (mut first, mut second, now) = (table(3), table(3), Instant::now());
    first.apply_update(&notice("i001", SECOND), now);
    let forwarded = first.peer_update(0, now + SECOND);
    verify_that!(
        forwarded.down,
        elements_are![eq(&DownNotice { instance: "i001".into(), age_ms: 2_000 })]
    )?;
    second.apply_update(&forwarded, now + SECOND);
    verify_that!(live_count(&second, now + SECOND), eq(2))?;
    verify_that!(live_count(&second, now + NOTICE_TTL - SECOND), eq(3))
}

fn check_notice_of_unlisted() -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    table.apply_update(&notice("i999", Duration::ZERO), now);
    verify_that!(table.peer_update(0, now).down, is_empty())
}

fn check_notice_bound() -> Result<()> {
    let (mut table, now) = (table(100), Instant::now());
    for number in 1..100 {
        fail(&mut table, &line(number).id, now);
    }
    verify_that!(table.peer_update(0, now).down.len(), eq(MAX_NOTICES))
}

/// An instance replaced at another address, under the same id, counts as live.
fn check_replaced() -> Result<()> {
    let (mut table, now) = (table(3), Instant::now());
    fail(&mut table, "i001", now);
    let mut listed = lines(3);
    listed[1].address = ([127, 0, 0, 1], 9).into();
    table.set_list(&listed, "trust");
    verify_that!(live_count(&table, now), eq(3))
}

/// The last contact is the time since which half of the targets, two of three, have answered.
fn check_last_contact() -> Result<()> {
    let (mut table, now) = (table(7), Instant::now());
    let targets = table.targets();
    verify_that!(targets.len(), eq(3))?;
    verify_that!(table.view(now).last_contact, none())?;
    table.record_answer(&targets[0].id, now + SECOND);
    verify_that!(table.view(now + SECOND).last_contact, none())?;
    table.record_answer(&targets[1].id, now);
    verify_that!(table.view(now + SECOND).last_contact, some(eq(now)))
}

fn check_alone() -> Result<()> {
    verify_that!(table(1).view(Instant::now()).last_contact, none())
}

/// Homes are spread evenly, and an instance that goes down moves only its own keys.
fn check_homes_stable() -> Result<()> {
    let (mut table, now) = (table(7), Instant::now());
    let before = table.view(now);
    fail(&mut table, "i003", now);
    let after = table.view(now);
    let mut counts: IndexMap<_, u32> = IndexMap::new();
    for key in 0..7_000_u32 {
        let key = key.to_be_bytes();
        let home = before.home(&key).or_fail()?.id.clone();
        let moved = after.home(&key).or_fail()?.id.clone();
        verify_that!(home == moved || home == "i003", eq(true))?;
        *counts.entry(home).or_default() += 1;
    }
    verify_that!(counts.len(), eq(7))?;
    verify_that!(counts.values().all(|it| (800..1_200).contains(it)), eq(true))
}

fn check_homes_ranked() -> Result<()> {
    let view = table(7).view(Instant::now());
    let homes = view.homes(b"engine-1", 2);
    verify_that!(homes.len(), eq(2))?;
    verify_that!(homes[0], eq(view.home(b"engine-1").or_fail()?))?;
    verify_that!(homes[0].id, not(eq(&homes[1].id)))
}

/// Every instance receives heartbeats from as many others as it sends to.
fn check_ring(count: usize, fan_out: usize) -> Result<()> {
    let ids: Vec<_> = lines(count).into_iter().map(|it| it.id).collect();
    let mut senders: IndexMap<_, usize> = IndexMap::new();
    for me in &ids {
        let targets = ring::targets(me, ids.iter().cloned());
        verify_that!(targets.len(), eq(fan_out))?;
        verify_that!(targets, not(contains(eq(me))))?;
        for target in targets {
            *senders.entry(target).or_default() += 1;
        }
    }
    verify_that!(senders.values().all(|it| *it == fan_out), eq(true))
}

/// An update exchanged with the targets reaches all instances within `rounds`.
fn check_spread(count: usize, rounds: usize) -> Result<()> {
    let ids: Vec<_> = lines(count).into_iter().map(|it| it.id).collect();
    let mut has_update: IndexMap<_, bool> = ids.iter().map(|it| (it.clone(), false)).collect();
    has_update[0] = true;
    for _ in 0..rounds {
        let previous = has_update.clone();
        for me in &ids {
            for target in ring::targets(me, ids.iter().cloned()) {
                let is_sent = previous[me] || previous[&target];
                has_update[me] |= is_sent;
                has_update[&target] |= is_sent;
            }
        }
    }
    verify_that!(has_update.values().all(|it| *it), eq(true))
}

cases! {
    listed => check_listed(|_| {}, 3),
    listed_as_leaving => check_listed(|it| it.state = InstanceState::Leaving, 2),
    listed_elsewhere => check_listed(|it| it.pool = "dongelek".into(), 2),
    listed_engine => check_listed(|it| it.kind = InstanceKind::Engine, 2),
    one_failure_is_tolerated => check_one_failure(),
    two_failures_count_until_expiry => check_failures(),
    answer_after_failures => check_answer_after_failures(),
    fresh_notice => check_notice(SECOND, 2),
    old_notice => check_notice(NOTICE_TTL, 3),
    answer_overrides_notice => check_answer_overrides_notice(),
    notice_keeps_its_age => check_notice_ages(),
    notice_of_unlisted_instance => check_notice_of_unlisted(),
    notices_are_bounded => check_notice_bound(),
    replaced_at_other_address => check_replaced(),
    contact_with_half_of_targets => check_last_contact(),
    alone => check_alone(),
    only_homes_of_down_instance_move => check_homes_stable(),
    homes_ranked => check_homes_ranked(),
    ring_alone => check_ring(1, 0),
    ring_of_two => check_ring(2, 1),
    ring_of_seven => check_ring(7, 3),
    ring_at_design_size => check_ring(400, 9),
    update_spreads_to_seven => check_spread(7, 2),
    update_spreads_at_design_size => check_spread(400, 5),
}
