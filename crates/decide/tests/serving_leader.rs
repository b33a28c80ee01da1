//! Leaders of zones: which instance is the leader, and what happens when it doesn't answer.

use decide::serving::leader::{InstanceTable, MAX_FULL_MESH_INSTANCES, PeerInstance};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    strongest_instance_leads => leader_is(&[("a", 120), ("b", 500), ("c", 500)], None, Some("b")),
    lowest_id_breaks_ties => leader_is(&[("b", 120), ("a", 120)], None, Some("a")),
    strongest_instance_has_no_leader => leader_is(&[("b", 120)], Some(("z", 500)), None),
    weaker_instance_has_a_leader => leader_is(&[("b", 500)], Some(("a", 120)), Some("b")),
    only_instance_of_a_zone_has_no_leader => leader_is(&[], Some(("a", 120)), None),
    unresponsive_leader_is_skipped => unresponsive_leader(),
    answer_keeps_a_leader => answering_leader(),
    leader_that_answers_again_leads_again => leader_back(),
    few_instances_form_a_full_mesh => full_mesh(),
}

fn instance(power: u32) -> PeerInstance {
    let address = "127.0.0.1:1".parse().expect("an address");
    PeerInstance { address, zone: "zone-a".into(), power }
}

fn table(instances: &[(&str, u32)]) -> InstanceTable {
    let mut table = InstanceTable::default();
    for (id, power) in instances {
        table.insert((*id).into(), instance(*power));
    }
    let elsewhere = PeerInstance { zone: "zone-b".into(), ..instance(900) };
    table.insert("elsewhere".into(), elsewhere);
    table
}

fn leader_is(
    instances: &[(&str, u32)],
    own: Option<(&str, u32)>,
    expected: Option<&str>,
) -> Result<()> {
    let own = own.map(|(id, power)| (id.into(), power));
    let own = own.as_ref().map(|(id, power)| (id, *power));
    let table = table(instances);
    let leader = table.leader(&"zone-a".into(), own, Instant::now());
    verify_that!(leader.map(|it| it.0.as_str()), eq(expected))
}

/// Sends messages to a leader for some time without an answer
fn send_for(table: &mut InstanceTable, time: Duration, from: Instant) -> Instant {
    let mut now = from;
    while now <= from + time {
        table.record_sent(&"a".into(), now);
        now += Duration::from_millis(40);
    }
    now
}

fn leader_at(table: &InstanceTable, now: Instant) -> Option<String> {
    table.leader(&"zone-a".into(), None, now).map(|it| it.0.to_string())
}

fn unresponsive_leader() -> Result<()> {
    let mut table = table(&[("a", 500), ("b", 120)]);
    let now = send_for(&mut table, Duration::from_millis(700), Instant::now());
    verify_that!(leader_at(&table, now), some(eq("b")))?;
    // It leads again only once it is heard from.
    let later = now + Duration::from_secs(6);
    verify_that!(leader_at(&table, later), some(eq("b")))?;
    table.record_received(&"a".into(), later);
    verify_that!(leader_at(&table, later), some(eq("a")))
}

fn answering_leader() -> Result<()> {
    let mut table = table(&[("a", 500), ("b", 120)]);
    let mut now = Instant::now();
    for _ in 0..10 {
        now = send_for(&mut table, Duration::from_millis(200), now);
        table.record_received(&"a".into(), now);
    }
    verify_that!(leader_at(&table, now), some(eq("a")))
}

fn leader_back() -> Result<()> {
    let mut table = table(&[("a", 500), ("b", 120)]);
    let now = send_for(&mut table, Duration::from_millis(700), Instant::now());
    table.record_received(&"a".into(), now);
    verify_that!(leader_at(&table, now), some(eq("a")))
}

fn full_mesh() -> Result<()> {
    let mut table = InstanceTable::default();
    for number in 1..MAX_FULL_MESH_INSTANCES {
        table.insert(format!("i{number}").into(), instance(120));
    }
    let now = Instant::now();
    verify_that!(table.is_full_mesh(now), eq(true))?;
    table.insert("last".into(), instance(120));
    verify_that!(table.is_full_mesh(now), eq(false))
}
