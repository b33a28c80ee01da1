//! Instances that are gone, cut off or suspended: who is asked, who counts, and whose entry is removed.

use decide::serving::held_count::{COUNT_HOLD_TIME, HeldCount};
use decide::serving::leader::{InstanceTable, MAX_FULL_MESH_INSTANCES, OwnPlace, PeerInstance};
use googletest::prelude::*;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    // Guard against messages for leaders that are gone, which reach nobody.
    next_leader_is_found_after_many_are_gone => found_leader(),
    absent_instances_do_not_count_for_the_full_mesh => mesh_again(),
    silent_instance_that_was_not_asked_is_present => not_asked(),
    one_lost_answer_makes_nobody_absent => lost_answer(),
    // Guards against an instance that is given up while it is cut off for a short time.
    absent_instance_is_present_once_it_is_heard => heard_again(),
    absent_instances_are_asked_on => asked_on(),
    all_instances_are_asked_in_turn => asked_in_turn(),
    // Guard against entries that stay for good.
    leader_of_the_zone_removes_gone_instances => removed_by(200, 1),
    others_of_the_zone_remove_nothing => removed_by(50, 0),
    zone_without_instances_is_cleared_by_the_overall_leader => cleared_zone(),
    table_stays_small_over_a_year_of_replacements => year(),
    returned_entries_are_removed_again => returned(),
    // Guards against a list that an instance empties because it is cut off itself.
    instance_that_hears_nobody_removes_one_entry => isolated(),
    living_instance_stays_when_its_entry_is_removed => living_stays(),
    // Guard against shares of limits that together exceed them.
    smaller_count_waits_until_a_removed_instance_could_list_itself => held_count(),
    larger_count_holds_at_once => raised_count(),
}

const OWN_POWER: u32 = 100;

fn instance(number: usize, zone: &str, power: u32) -> PeerInstance {
    let port = u16::try_from(10_000 + number).expect("small");
    PeerInstance { address: SocketAddr::from(([127, 0, 0, 1], port)), zone: zone.into(), power }
}

fn id(number: usize) -> String {
    format!("i{number:05}")
}

fn listed(
    numbers: impl IntoIterator<Item = usize>,
) -> IndexMap<catalogue::id::InstanceId, PeerInstance> {
    numbers.into_iter().map(|it| (id(it).into(), instance(it, "zone-a", OWN_POWER))).collect()
}

fn table(count: usize, now: Instant) -> InstanceTable {
    let mut table = InstanceTable::default();
    table.apply_list(listed(0..count), now);
    table
}

/// Lets time pass in which those that are asked answer if they live
fn pass(
    table: &mut InstanceTable,
    from: Instant,
    time: Duration,
    lives: impl Fn(usize) -> bool,
) -> Instant {
    let mut now = from;
    while now < from + time {
        for address in table.take_asked(now) {
            let number = usize::from(address.port()) - 10_000;
            if lives(number) {
                table.record_received(&id(number).into(), now);
            }
        }
        table.remove_unlisted(now);
        now += Duration::from_millis(500);
    }
    now
}

fn present(table: &InstanceTable, now: Instant) -> usize {
    table.present(now).count()
}

fn gone(table: &InstanceTable, power: u32, now: Instant) -> usize {
    let own = OwnPlace { id: &"own".into(), zone: &"zone-a".into(), power };
    table.gone(own, now).len()
}

fn found_leader() -> Result<()> {
    let start = Instant::now();
    let mut table = table(16, start);
    let leader = |table: &InstanceTable, now| {
        table.leader(&"zone-a".into(), None, now).map(|it| it.0.to_string())
    };
    verify_that!(leader(&table, start), some(eq("i00000")))?;
    let now = pass(&mut table, start, Duration::from_secs(3), |it| it >= 12);
    verify_that!(leader(&table, now), some(eq("i00012")))
}

fn mesh_again() -> Result<()> {
    let start = Instant::now();
    let mut table = table(16, start);
    verify_that!(table.is_full_mesh(start), eq(false))?;
    let now = pass(&mut table, start, Duration::from_secs(15), |it| it >= 12);
    verify_that!(present(&table, now), eq(4))?;
    verify_that!(table.len(), eq(16))?;
    verify_that!(table.is_full_mesh(now), eq(true))?;
    // As many as the limit allows are there.
    verify_that!(present(&table, now), lt(MAX_FULL_MESH_INSTANCES))
}

fn not_asked() -> Result<()> {
    let start = Instant::now();
    let table = table(3, start);
    verify_that!(present(&table, start + Duration::from_secs(600)), eq(3))
}

fn lost_answer() -> Result<()> {
    let start = Instant::now();
    let mut table = table(1, start);
    table.record_sent(&id(0).into(), start);
    let later = start + Duration::from_secs(20);
    verify_that!(present(&table, later), eq(1))?;
    verify_that!(table.leader(&"zone-a".into(), None, later), some(anything()))
}

fn heard_again() -> Result<()> {
    let start = Instant::now();
    let mut table = table(3, start);
    let now = pass(&mut table, start, Duration::from_secs(20), |it| it > 0);
    verify_that!(present(&table, now), eq(2))?;
    let ends_silence = table.record_received(&id(0).into(), now);
    verify_that!(ends_silence, eq(false))?;
    verify_that!(present(&table, now), eq(3))
}

fn asked_on() -> Result<()> {
    let start = Instant::now();
    let mut table = table(12, start);
    // All others are cut off for long, and are heard within the time after which instances are in touch.
    let now = pass(&mut table, start, Duration::from_secs(300), |_| false);
    verify_that!(present(&table, now), eq(0))?;
    let now = pass(&mut table, now, Duration::from_secs(3), |_| true);
    verify_that!(present(&table, now), eq(12))
}

fn asked_in_turn() -> Result<()> {
    let start = Instant::now();
    let mut table = table(294, start);
    let now = pass(&mut table, start, Duration::from_secs(60), |_| true);
    // One of them dies, and nobody sends to it.
    let now = pass(&mut table, now, Duration::from_secs(200), |it| it != 150);
    verify_that!(present(&table, now), eq(293))
}

fn removed_by(power: u32, expected: usize) -> Result<()> {
    let start = Instant::now();
    let mut table = table(4, start);
    let early = pass(&mut table, start, Duration::from_secs(20), |it| it > 0);
    verify_that!(gone(&table, power, early), eq(0))?;
    let now = pass(&mut table, early, Duration::from_secs(20), |it| it > 0);
    verify_that!(gone(&table, power, now), eq(expected))
}

fn cleared_zone() -> Result<()> {
    let start = Instant::now();
    let mut table = InstanceTable::default();
    let mut entries = listed(0..4);
    entries.insert("far".into(), instance(4, "zone-b", 500));
    table.apply_list(entries, start);
    let now = pass(&mut table, start, Duration::from_secs(60), |it| it < 4);
    verify_that!(gone(&table, 200, now), eq(1))?;
    verify_that!(gone(&table, 50, now), eq(0))
}

/// 82 instances are replaced each day, and removed from the list within minutes
fn year() -> Result<()> {
    const LIVE: usize = 24;
    let mut now = Instant::now();
    let mut table = table(LIVE, now);
    let mut largest = 0;
    for replaced in 0..82 * 365 {
        let live = replaced + 1..replaced + 1 + LIVE;
        // The list is read with the old entry, then without it; 17 minutes pass until the next replacement.
        let entries = |from: usize| {
            let entry = |it: usize| (id(it).into(), instance(it % 400, "zone-a", OWN_POWER));
            (from..live.end).map(entry).collect::<IndexMap<_, _>>()
        };
        table.apply_list(entries(replaced), now);
        table.apply_list(entries(live.start), now);
        for _ in 0..4 {
            table.record_sent(&id(replaced).into(), now);
            now += Duration::from_secs(2);
        }
        table.remove_unlisted(now);
        for number in live.clone() {
            table.record_received(&id(number).into(), now);
        }
        largest = largest.max(table.len());
    }
    verify_that!(largest, le(LIVE + 1))
}

/// The store comes back from a copy whose list is a day old
fn returned() -> Result<()> {
    let start = Instant::now();
    let mut table = table(6, start);
    let now = pass(&mut table, start, Duration::from_secs(5), |_| true);
    table.apply_list(listed(0..88), now);
    let now = pass(&mut table, now, Duration::from_secs(30), |it| it < 6);
    verify_that!(table.is_full_mesh(now), eq(true))?;
    let mut now = pass(&mut table, now, Duration::from_secs(120), |it| it < 6);
    let mut reads = 0;
    while gone(&table, 200, now) > 0 {
        let own = OwnPlace { id: &"own".into(), zone: &"zone-a".into(), power: 200 };
        for id in table.gone(own, now) {
            table.record_unlisted(&id);
        }
        now = pass(&mut table, now, Duration::from_secs(60), |it| it < 6);
        reads += 1;
    }
    verify_that!(table.len(), eq(6))?;
    // Six instances are heard from, so about seven entries are removed at a time.
    verify_that!(reads, le(82 / 4))
}

fn isolated() -> Result<()> {
    let start = Instant::now();
    let mut table = table(294, start);
    let now = pass(&mut table, start, Duration::from_secs(600), |_| false);
    verify_that!(gone(&table, 200, now), eq(1))
}

fn living_stays() -> Result<()> {
    let start = Instant::now();
    let mut table = table(20, start);
    let now = pass(&mut table, start, Duration::from_secs(5), |_| true);
    table.apply_list(listed(1..20), now);
    let now = pass(&mut table, now, Duration::from_secs(60), |_| true);
    verify_that!(table.len(), eq(20))?;
    pass(&mut table, now, Duration::from_secs(60), |it| it > 0);
    verify_that!(table.len(), eq(19))
}

fn held_count() -> Result<()> {
    let start = Instant::now();
    let mut count = HeldCount::default();
    count.record(16, start);
    let mut now = start;
    while now < start + COUNT_HOLD_TIME {
        count.record(4, now);
        verify_that!(count.get(), eq(16))?;
        now += Duration::from_secs(10);
    }
    count.record(4, now + Duration::from_secs(1));
    verify_that!(count.get(), eq(4))
}

fn raised_count() -> Result<()> {
    let start = Instant::now();
    let mut count = HeldCount::default();
    count.record(4, start);
    count.record(16, start);
    verify_that!(count.get(), eq(16))?;
    // It is listed again before the time is over.
    let later = start + COUNT_HOLD_TIME / 2;
    count.record(15, later);
    count.record(16, later);
    count.record(15, start + COUNT_HOLD_TIME + Duration::from_secs(1));
    verify_that!(count.get(), eq(16))
}
