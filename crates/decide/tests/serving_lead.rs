//! Leads of zones: who leads, and what happens when it falls silent.

use decide::serving::lead::{InstanceTable, ListedInstance, MAX_FULL_MESH_INSTANCES};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    strongest_instance_leads => lead_is(&[("a", 120), ("b", 500), ("c", 500)], None, Some("b")),
    name_decides_among_equals => lead_is(&[("b", 120), ("a", 120)], None, Some("a")),
    strongest_is_no_member => lead_is(&[("b", 120)], Some(("z", 500)), None),
    weaker_one_has_a_lead => lead_is(&[("b", 500)], Some(("a", 120)), Some("b")),
    zone_of_its_own_has_no_lead => lead_is(&[], Some(("a", 120)), None),
    silent_lead_is_passed_over => silent_lead(),
    answer_keeps_a_lead => answering_lead(),
    lead_that_speaks_again_leads_again => lead_back(),
    few_instances_tell_each_other => direct(),
}

fn instance(power: u32) -> ListedInstance {
    let address = "127.0.0.1:1".parse().expect("an address");
    ListedInstance { address, zone: "zone-a".into(), power }
}

fn table(instances: &[(&str, u32)]) -> InstanceTable {
    let mut table = InstanceTable::default();
    for (id, power) in instances {
        table.insert((*id).into(), instance(*power));
    }
    let elsewhere = ListedInstance { zone: "zone-b".into(), ..instance(900) };
    table.insert("elsewhere".into(), elsewhere);
    table
}

fn lead_is(
    instances: &[(&str, u32)],
    own: Option<(&str, u32)>,
    expected: Option<&str>,
) -> Result<()> {
    let own = own.map(|(id, power)| (id.into(), power));
    let own = own.as_ref().map(|(id, power)| (id, *power));
    let table = table(instances);
    let lead = table.lead(&"zone-a".into(), own, Instant::now());
    verify_that!(lead.map(|it| it.0.as_str()), eq(expected))
}

/// Tells a lead for a time without an answer
fn tell_for(table: &mut InstanceTable, time: Duration, from: Instant) -> Instant {
    let mut now = from;
    while now <= from + time {
        table.told(&"a".into(), now);
        now += Duration::from_millis(40);
    }
    now
}

fn lead_at(table: &InstanceTable, now: Instant) -> Option<String> {
    table.lead(&"zone-a".into(), None, now).map(|it| it.0.to_string())
}

fn silent_lead() -> Result<()> {
    let mut table = table(&[("a", 500), ("b", 120)]);
    let now = tell_for(&mut table, Duration::from_millis(700), Instant::now());
    verify_that!(lead_at(&table, now), some(eq("b")))?;
    verify_that!(lead_at(&table, now + Duration::from_secs(6)), some(eq("a")))
}

fn answering_lead() -> Result<()> {
    let mut table = table(&[("a", 500), ("b", 120)]);
    let mut now = Instant::now();
    for _ in 0..10 {
        now = tell_for(&mut table, Duration::from_millis(200), now);
        table.heard(&"a".into());
    }
    verify_that!(lead_at(&table, now), some(eq("a")))
}

fn lead_back() -> Result<()> {
    let mut table = table(&[("a", 500), ("b", 120)]);
    let now = tell_for(&mut table, Duration::from_millis(700), Instant::now());
    table.heard(&"a".into());
    verify_that!(lead_at(&table, now), some(eq("a")))
}

fn direct() -> Result<()> {
    let mut table = InstanceTable::default();
    for number in 1..MAX_FULL_MESH_INSTANCES {
        table.insert(format!("i{number}").into(), instance(120));
    }
    verify_that!(table.is_direct(), eq(true))?;
    table.insert("last".into(), instance(120));
    verify_that!(table.is_direct(), eq(false))
}
