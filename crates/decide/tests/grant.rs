//! Invariant of grants: the outstanding grants never add up to more than the bound.

use catalogue::id::InstanceId;
use decide::grant::{GRANT_TTL, GrantLedger};
use decide::limits::{LimitDemand, LimitRates};
use googletest::prelude::{Result, ge, le, verify_that};
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use smol_str::format_smolstr;
use std::time::{Duration, Instant};
use testcases::cases;

const LIMIT: f64 = 700.0;
const LISTED: usize = 7;
const LIMITS: LimitRates =
    LimitRates { requests_per_s: LIMIT, tokens_per_s: LIMIT, in_flight: LIMIT };
const ROUNDING: f64 = 1e-6;

/// Request of one instance for a grant
#[derive(Debug, Clone)]
struct Ask {
    instance: usize,
    demand: f64,
    pause_ms: u64,
}

fn asks() -> impl Strategy<Value = Vec<Ask>> {
    let ask = (0..LISTED, prop_oneof![Just(0.0), 1.0..2_000.0], prop_oneof![0..40_u64, 0..400_u64])
        .prop_map(|(instance, demand, pause_ms)| Ask { instance, demand, pause_ms });
    proptest::collection::vec(ask, 1..200)
}

/// Outstanding grants of all instances, in requests per second
#[derive(Default)]
struct Outstanding {
    grants: Vec<(usize, Instant, f64)>,
}

impl Outstanding {
    fn total(&mut self, now: Instant) -> f64 {
        self.grants.retain(|(_, end, _)| *end > now);
        let most = |instance| {
            let own = self.grants.iter().filter(|(it, ..)| *it == instance);
            own.map(|(.., rate)| *rate).fold(0.0, f64::max)
        };
        (0..LISTED).map(most).sum()
    }
}

fn name(instance: usize) -> InstanceId {
    format_smolstr!("i{instance}")
}

fn ask(ledger: &mut GrantLedger, ask: &Ask, now: Instant) -> (usize, Instant, f64) {
    let rates = LimitRates { requests_per_s: ask.demand, ..LimitRates::default() };
    let demand = LimitDemand { rates, in_flight: 0 };
    let grant = ledger.grant(&name(ask.instance), demand, LISTED, now);
    (ask.instance, now + grant.ttl, grant.rates.requests_per_s)
}

/// The home crashes while one instance holds nearly the whole limit and all others demand it
fn check_fresh_home_after_a_lone_caller() -> Result<()> {
    let asking = |instance, demand| Ask { instance, demand, pause_ms: 0 };
    let start = Instant::now();
    let mut ledger = GrantLedger::new(LIMITS, start);
    let mut outstanding = Outstanding::default();
    let mut now = start + GRANT_TTL;
    for _ in 0..4 {
        now += GRANT_TTL / 2;
        for instance in 0..LISTED {
            let demand = if instance == 0 { 2.0 * LIMIT } else { 0.0 };
            outstanding.grants.push(ask(&mut ledger, &asking(instance, demand), now));
        }
    }
    let lone = outstanding.grants[outstanding.grants.len() - LISTED];
    verify_that!(lone.2, ge(0.9 * LIMIT))?;
    now += Duration::from_millis(500);
    let mut ledger = GrantLedger::new(LIMITS, now);
    for instance in 1..LISTED {
        outstanding.grants.push(ask(&mut ledger, &asking(instance, LIMIT), now));
    }
    verify_that!(outstanding.total(now), le(1.5 * LIMIT))
}

cases! {
    fresh_home_after_a_lone_caller => check_fresh_home_after_a_lone_caller(),
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn one_home_grants_no_more_than_the_limit(asks in asks()) {
        let mut now = Instant::now();
        let mut ledger = GrantLedger::new(LIMITS, now);
        let mut outstanding = Outstanding::default();
        for it in &asks {
            now += Duration::from_millis(it.pause_ms);
            outstanding.grants.push(ask(&mut ledger, it, now));
            prop_assert!(outstanding.total(now) <= LIMIT + ROUNDING);
        }
    }

    #[test]
    fn two_homes_in_turn_stay_below_the_bound(asks in asks(), killed_at in 0..200_usize) {
        let mut now = Instant::now();
        let mut ledger = GrantLedger::new(LIMITS, now);
        let mut outstanding = Outstanding::default();
        for (number, it) in asks.iter().enumerate() {
            now += Duration::from_millis(it.pause_ms);
            if number == killed_at {
                ledger = GrantLedger::new(LIMITS, now);
            }
            outstanding.grants.push(ask(&mut ledger, it, now));
            prop_assert!(outstanding.total(now) <= 1.5 * LIMIT + ROUNDING);
        }
    }

    #[test]
    fn two_homes_at_once_stay_below_the_bound(asks in asks(), cut in 1..LISTED) {
        let mut now = Instant::now();
        let mut sides = [GrantLedger::new(LIMITS, now), GrantLedger::new(LIMITS, now)];
        let mut outstanding = Outstanding::default();
        for it in &asks {
            now += Duration::from_millis(it.pause_ms);
            let side = usize::from(it.instance < cut);
            outstanding.grants.push(ask(&mut sides[side], it, now));
            prop_assert!(outstanding.total(now) <= LIMIT + ROUNDING);
        }
    }
}
