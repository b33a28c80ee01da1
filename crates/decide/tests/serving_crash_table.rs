//! Crash table: who is refused for which crashes, and that tables merge in any order.

use decide::fingerprint::{RequestContent, path_fingerprint, request_fingerprint};
use decide::serving::crash_table::{
    BrokenEndpoint, CrashTable, EndpointStatus, REFUSAL_TIME, STRIKE_LIFETIME, SUSPECT_LIFETIME,
    StrikeScope,
};
use decide::serving::endpoint_list::ListedEndpoint;
use googletest::prelude::*;
use proptest::prelude::{any, prop};
use proptest::{prop_assert_eq, proptest};
use std::time::{Duration, Instant};
use testcases::cases;

/// What happens to requests, one second after another
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An endpoint crashes while these requests run there
    Crash(&'static str, &'static [u64]),
    Completed(u64),
}

use Step::{Completed, Crash};

impl Step {
    fn apply(&self, table: &mut CrashTable, now: Instant) {
        match self {
            Crash(endpoint, requests) => {
                for request in *requests {
                    table.record_strike(*request, &broken(endpoint), now, now);
                }
            }
            Completed(request) => {
                table.record_completion(*request, now, now);
            }
        }
    }
}

fn broken(id: &str) -> BrokenEndpoint {
    BrokenEndpoint { id: id.into(), started_at_ms: 7, status: EndpointStatus::Unknown }
}

/// Three endpoints that live don't answer a request in time, and end later
fn check_slow() -> Result<()> {
    let mut now = Instant::now();
    let mut table = CrashTable::default();
    for status in [EndpointStatus::Slow, EndpointStatus::Ended] {
        for id in ["a", "b", "c"] {
            table.record_strike(1, &BrokenEndpoint { status, ..broken(id) }, now, now);
            now += Duration::from_secs(3);
        }
        if status == EndpointStatus::Slow {
            verify_that!(table.is_refused(1, StrikeScope::All, now), eq(false))?;
        }
    }
    verify_that!(table.is_refused(1, StrikeScope::Ended, now), eq(false))
}

fn check_one_end() -> Result<()> {
    let mut now = Instant::now();
    let mut table = CrashTable::default();
    for _ in 0..4 {
        table.record_strike(1, &broken("a"), now, now);
        now += Duration::from_secs(3);
    }
    table.record_ended(|_| true, now);
    verify_that!(table.is_refused(1, StrikeScope::Ended, now), eq(false))
}

/// Three endpoints break off a request; then signs of life come after some time, and the list shows their ends
fn check_statuses(alive_after_ms: &[u64], has_ended: bool, is_refused: bool) -> Result<()> {
    let mut now = Instant::now();
    let mut table = CrashTable::default();
    for id in ["a", "b", "c"] {
        table.record_strike(1, &broken(id), now, now);
        for after in alive_after_ms {
            let listed = ListedEndpoint {
                id: id.into(),
                pool: "p".into(),
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: "z".into(),
                version: "v1".into(),
                slots: 6,
                is_ready: true,
                role: None,
                started_at_ms: 7,
                sequence: 1,
                is_preemptible: false,
                leaves_in: None,
            };
            table.record_alive(&listed, now + Duration::from_millis(*after));
        }
        now += Duration::from_secs(2);
        table.record_ended(|_| has_ended, now);
    }
    // A request that is not common is refused in any case.
    verify_that!(table.is_refused(1, StrikeScope::All, now), eq(true))?;
    verify_that!(table.is_refused(1, StrikeScope::Ended, now), eq(is_refused))
}

/// Checks which of the requests 1 and 2 are refused in the end
fn check(steps: &[Step], refused: (bool, bool)) -> Result<()> {
    let start = Instant::now();
    let mut table = CrashTable::default();
    let mut now = start;
    for step in steps {
        step.apply(&mut table, now);
        now += Duration::from_secs(1);
    }
    verify_that!(
        (table.is_refused(1, StrikeScope::All, now), table.is_refused(2, StrikeScope::All, now)),
        eq(refused)
    )
}

fn check_expiry() -> Result<()> {
    let now = Instant::now();
    let mut table = CrashTable::default();
    for endpoint in ["a", "b", "c"] {
        table.record_strike(1, &broken(endpoint), now, now);
    }
    table.record_strike(2, &broken("a"), now, now);
    verify_that!(table.is_refused(1, StrikeScope::All, now + REFUSAL_TIME / 2), eq(true))?;
    verify_that!(table.is_refused(1, StrikeScope::All, now + REFUSAL_TIME), eq(false))?;
    table.expire(now + STRIKE_LIFETIME);
    let count =
        |table: &CrashTable, request, now| table.strike_count(request, StrikeScope::All, now);
    let later = now + STRIKE_LIFETIME;
    verify_that!((count(&table, 1, later), count(&table, 2, later)), eq((3, 0)))?;
    table.expire(now + SUSPECT_LIFETIME);
    verify_that!(table.is_empty(), eq(true))
}

/// A request that comes again and again for three hours crashes an endpoint whenever it is sent
fn check_retries() -> Result<()> {
    let start = Instant::now();
    let mut table = CrashTable::default();
    let mut crashes = Vec::new();
    for second in 0..3 * 3600 {
        let now = start + Duration::from_secs(second);
        table.expire(now);
        if !table.is_refused(1, StrikeScope::All, now) {
            table.record_strike(1, &broken(&format!("e{second}")), now, now);
            crashes.push(second);
        }
    }
    verify_that!(crashes, eq(&vec![0, 1, 2, 602, 1802, 4202]))
}

fn check_eviction() -> Result<()> {
    let now = Instant::now();
    let mut table = CrashTable::default();
    for endpoint in ["a", "b", "c"] {
        table.record_strike(1, &broken(endpoint), now, now);
    }
    for other in 10..5000 {
        table.record_strike(other, &broken("d"), now, now);
    }
    verify_that!(table.is_refused(1, StrikeScope::All, now), eq(true))
}

/// Two instances each see some facts and then exchange all of them, in any order and more than once
fn check_exchange(steps: &[(usize, Step)], refused: bool) -> Result<()> {
    let mut now = Instant::now();
    let mut tables = [CrashTable::default(), CrashTable::default()];
    for (instance, step) in steps {
        step.apply(&mut tables[*instance], now);
        now += Duration::from_secs(3);
    }
    for from in [0, 1, 1, 0] {
        let facts = tables[from].facts(now);
        for fact in facts.iter().rev() {
            tables[1 - from].merge(fact, now);
        }
    }
    verify_that!(tables[0].digest(), eq(tables[1].digest()))?;
    verify_that!(
        tables.each_ref().map(|it| it.is_refused(1, StrikeScope::All, now)),
        eq([refused; 2])
    )
}

fn content<'a>(path: &'a str, body: &'a [u8], caller: [u8; 4]) -> RequestContent<'a> {
    RequestContent { method: "POST", path, body, caller: caller.into() }
}

fn check_fingerprints(
    one: RequestContent<'_>,
    other: RequestContent<'_>,
    is_same: bool,
) -> Result<()> {
    verify_that!(request_fingerprint(&one) == request_fingerprint(&other), eq(is_same))
}

fn check_path_fingerprint() -> Result<()> {
    let content = |path, caller: &str, body| {
        let caller = caller.parse().expect("an address");
        path_fingerprint(&RequestContent { method: "GET", path, body, caller })
    };
    let one = content("/a?b", "10.0.0.1", b"");
    verify_that!(one.is_some(), eq(true))?;
    verify_that!(content("/a?b", "10.0.0.2", b""), eq(one))?;
    verify_that!(content("/a?c", "10.0.0.1", b"") == one, eq(false))?;
    verify_that!(content("/a?b", "10.0.0.1", b"body"), none())
}

/// Fact that some instance has found: the request, the endpoint that broke it off or `None` if it completed, the time in
/// milliseconds, and whether the endpoint is known to have ended
type Found = (u64, Option<u64>, u64, bool);

fn table_of(facts: &[Found], start: Instant) -> CrashTable {
    let now = start + Duration::from_secs(60);
    let mut table = CrashTable::default();
    for (request, endpoint, at_ms, has_ended) in facts {
        let at = start + Duration::from_millis(*at_ms);
        let status = if *has_ended { EndpointStatus::Ended } else { EndpointStatus::Unknown };
        match endpoint {
            Some(id) => {
                let endpoint = BrokenEndpoint { status, ..broken(&id.to_string()) };
                table.record_strike(*request, &endpoint, at, now);
            }
            None => {
                table.record_completion(*request, at, now);
            }
        }
    }
    table
}

proptest! {
    // Guards against instances that send each other all facts for ever, since their tables never agree.
    #[test]
    fn tables_agree_after_some_exchanges(
        facts in prop::collection::vec(
            (0..3_u64, prop::option::weighted(0.8, 0..6_u64), 0..20_000_u64, any::<bool>()), 0..40
        ),
        order in prop::collection::vec(any::<u32>(), 40),
        split in prop::collection::vec(0..3_usize, 40),
    ) {
        let start = Instant::now();
        let now = start + Duration::from_secs(60);
        let mut shuffled = facts.iter().copied().enumerate().collect::<Vec<_>>();
        shuffled.sort_by_key(|(index, _)| order[*index]);
        let of = |seen: usize, facts: &[(usize, Found)]| {
            let seen = facts.iter().filter(|(index, _)| split[*index] != seen).map(|it| it.1);
            table_of(&seen.collect::<Vec<_>>(), start)
        };
        let in_order = facts.iter().copied().enumerate().collect::<Vec<_>>();
        let mut tables = [of(0, &in_order), of(1, &shuffled)];
        for _ in 0..3 {
            let sent = tables.each_ref().map(|it| it.facts(now));
            for (table, facts) in tables.iter_mut().zip(sent.iter().rev()) {
                for fact in facts {
                    table.merge(fact, now);
                }
            }
        }
        prop_assert_eq!(tables[0].digest(), tables[1].digest());
    }
}

const CALLER: [u8; 4] = [10, 0, 0, 1];
const OTHER_CALLER: [u8; 4] = [10, 0, 0, 2];

cases! {
    // Guards against a lookup that isn't recognized, since each of its callers is a new one.
    path_has_one_fingerprint_for_all_callers => check_path_fingerprint(),
    two_crashes_refuse_nobody => check(&[Crash("a", &[1]), Crash("b", &[1])], (false, false)),
    third_crash_refuses => check(&[Crash("a", &[1]), Crash("b", &[1]), Crash("c", &[1])], (true, false)),
    // Guards against a bystander of two crashes that takes the strikes of the crashing request back.
    bystander_of_two_crashes_changes_nothing => check(
        &[Crash("a", &[2, 1]), Crash("b", &[2, 1]), Crash("c", &[1])],
        (true, false)
    ),
    bystander_of_three_of_four_crashes_is_served => check(
        &[Crash("a", &[2, 1]), Crash("b", &[1]), Crash("c", &[2, 1]), Crash("d", &[2, 1])],
        (true, false)
    ),
    neighbours_in_the_same_three_crashes_are_both_refused => check(
        &[Crash("a", &[2, 1]), Crash("b", &[1, 2]), Crash("c", &[2, 1])],
        (true, true)
    ),
    crashes_of_another_request_explain_none_that_it_did_not_see => check(
        &[Crash("a", &[1]), Crash("b", &[1]), Crash("c", &[1]), Crash("d", &[2]), Crash("e", &[2]),
          Crash("f", &[2]), Crash("g", &[2])],
        (true, true)
    ),
    completion_voids_earlier_strikes => check(
        &[Crash("a", &[1]), Crash("b", &[1]), Completed(1), Crash("c", &[1])],
        (false, false)
    ),
    // Guards against a request that is never refused, since it had completed before.
    strikes_after_a_completion_count => check(
        &[Crash("a", &[1]), Completed(1), Crash("b", &[1]), Crash("c", &[1]), Crash("d", &[1])],
        (true, false)
    ),
    completion_ends_a_refusal => check(
        &[Crash("a", &[1]), Crash("b", &[1]), Crash("c", &[1]), Completed(1)],
        (false, false)
    ),
    // Guards against crashes that count once, since the list shows the next incarnations too late.
    crashes_of_one_endpoint_count_each => check(
        &[Crash("a", &[1]), Completed(2), Completed(2), Crash("a", &[1]), Completed(2), Completed(2), Crash("a", &[1])],
        (true, false)
    ),
    reports_of_one_crash_count_once => check(&[Crash("a", &[1, 1]), Crash("a", &[1]), Crash("b", &[1])], (false, false)),
    strikes_expire => check_expiry(),
    // Guards against a request that crashes three endpoints every ten minutes, since its strikes have expired.
    refused_request_is_tried_three_times_more => check_retries(),
    refused_request_is_not_evicted_by_others => check_eviction(),
    common_request_is_refused_for_endpoints_that_have_ended => check_statuses(&[], true, true),
    common_request_is_served_while_no_end_is_known => check_statuses(&[], false, false),
    // Guards against a common request that is refused for endpoints that break off everything, but live.
    sign_of_life_outweighs_a_later_end => check_statuses(&[300], true, false),
    // Guards against a common request that is refused, since endpoints that had delayed it for long are restarted.
    end_of_a_slow_endpoint_counts_for_no_common_request => check_slow(),
    // Guards against a common request that is refused, since one endpoint broke it off again and again before its end.
    one_end_counts_once_for_a_common_request => check_one_end(),
    answer_on_its_way_is_no_sign_of_life => check_statuses(&[20], true, true),
    answer_of_a_restarted_endpoint_is_no_sign_of_life => check_statuses(&[1500], true, true),
    // Guards against strikes that only those know that received them when they were sent.
    strikes_of_two_instances_add_up => check_exchange(
        &[(0, Crash("a", &[1])), (1, Crash("b", &[1])), (0, Crash("c", &[1]))], true
    ),
    one_crash_seen_by_both_counts_once => check_exchange(
        &[(0, Crash("a", &[1])), (0, Crash("b", &[1])), (1, Crash("c", &[2]))], false
    ),
    completion_elsewhere_voids_strikes => check_exchange(
        &[(0, Crash("a", &[1])), (1, Crash("b", &[1])), (0, Crash("c", &[1])), (1, Completed(1))], false
    ),
    body_is_recognized_from_another_caller => check_fingerprints(
        content("/a", b"text", CALLER), content("/a", b"text", OTHER_CALLER), true
    ),
    callers_without_a_body_differ => check_fingerprints(
        content("/a", b"", CALLER), content("/a", b"", OTHER_CALLER), false
    ),
    // Guards against binary bodies that count as the same, since their invalid UTF-8 was replaced.
    binary_bodies_differ => check_fingerprints(
        content("/a", b"\xff\x01", CALLER), content("/a", b"\xfe\x01", CALLER), false
    ),
    bytes_between_path_and_body_matter => check_fingerprints(
        content("/ab", b"c", CALLER), content("/a", b"bc", CALLER), false
    ),
}
