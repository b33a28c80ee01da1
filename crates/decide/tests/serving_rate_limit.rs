//! Shares of a limit: instances that send to one endpoint and know each other's demand with a delay.

use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::rate_limit::{EndpointLimits, FleetDemand, LimitReport, OwnDemand};
use googletest::prelude::*;

use proptest::{prop_assert, prop_oneof, proptest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};
use testcases::cases;

/// Instances before one endpoint
#[derive(Debug, Clone, Copy)]
struct Fleet {
    instances: usize,
    /// Limit of the endpoint, in requests a second
    limit: f64,
    /// Demand of the first instance and of each other one, in requests a second
    demand: (f64, f64),
    /// Whether the last instance neither hears the others nor is heard by them
    cuts_last: bool,
}

const FLEET: Fleet = Fleet { instances: 7, limit: 10.0, demand: (20.0, 20.0), cuts_last: false };
/// Demand of a single instance.
const ALONE: FleetDemand =
    FleetDemand { own: 0.0, others: 0.0, others_sent: 0, instances: 1, is_known: true };
/// Time after which the limit holds, by the users' rule.
const CONTACT_S: f64 = 3.0;
/// Window of the users' rule.
const WINDOW_S: f64 = 4.0;
/// Least fraction of the limit, or of a lower demand, that is used.
const MIN_USED_FRACTION: f64 = 2.0 / 3.0;
const LENGTH_S: f64 = 20.0;
const STEP_MS: u64 = 20;
/// Steps after which the others know an instance's demand, through two leaders.
const DELAY_STEPS: usize = 10;

fn endpoint() -> ListedEndpoint {
    ListedEndpoint {
        id: "e1".into(),
        pool: "p".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "zone-a".into(),
        version: "v1".into(),
        slots: 6,
        is_ready: true,
        role: None,
        started_at_ms: 7,
        sequence: 1,
        is_preemptible: false,
        leaves_in: None,
    }
}

fn report(rate: Option<f64>, age_ms: u32) -> LimitReport {
    LimitReport { endpoint: "e1".into(), last_start_ms: 7, rate, age_ms }
}

/// Plays the fleet; returns the times of all sends in seconds
fn play(fleet: Fleet, seed: u64) -> Vec<f64> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut instances = vec![EndpointLimits::default(); fleet.instances];
    let mut history: Vec<Vec<OwnDemand>> = Vec::new();
    let mut sends = Vec::new();
    let mut now = start;
    while now.duration_since(start).as_secs_f64() < LENGTH_S {
        now += Duration::from_millis(STEP_MS);
        let none = OwnDemand { rate: 0.0, sent: 0 };
        let own = |it: &EndpointLimits| it.demands(now).first().map_or(none, |it| it.1);
        history.push(instances.iter().map(own).collect());
        let own_demands = history.last().expect("not empty");
        let known = &history[history.len().saturating_sub(DELAY_STEPS)];
        for (number, limits) in instances.iter_mut().enumerate() {
            let is_cut = fleet.cuts_last && number + 1 == fleet.instances;
            let heard = fleet.instances - usize::from(fleet.cuts_last);
            let others = known[..heard].iter().enumerate().filter(|it| !is_cut && it.0 != number);
            let demand = FleetDemand {
                own: own_demands[number].rate,
                others: others.clone().map(|it| it.1.rate).sum(),
                others_sent: others.map(|it| it.1.sent).sum(),
                instances: fleet.instances,
                is_known: !is_cut,
            };
            if limits.is_empty() {
                limits.record(&report(Some(fleet.limit), 0), &demand, rng.random(), now);
            }
            limits.share(|_| demand, now);
            let rate = if number == 0 { fleet.demand.0 } else { fleet.demand.1 };
            if rng.random_bool((rate * STEP_MS as f64 / 1000.0).min(1.0))
                && limits.admits(&endpoint(), rng.random(), now)
                && limits.try_take(&endpoint(), rng.random(), now)
            {
                sends.push(now.duration_since(start).as_secs_f64());
            }
        }
    }
    sends
}

/// Checks the largest window and that the limit is used
fn check(fleet: Fleet) -> Result<()> {
    let seeds = (600 / fleet.instances as u64).clamp(1, 4);
    for seed in 0..seeds {
        let sends = play(fleet, seed);
        let later = sends.iter().filter(|it| **it > CONTACT_S).collect::<Vec<_>>();
        let in_window =
            |from: f64| later.iter().filter(|it| (from..from + WINDOW_S).contains(**it)).count();
        let most = later.iter().map(|it| in_window(**it)).max().unwrap_or(0);
        // The users' rule allows half as much again, and 5.
        verify_that!(most as f64, le(fleet.limit * WINDOW_S + 5.0))?;
        let total = fleet.demand.0 + fleet.demand.1 * (fleet.instances - 1) as f64;
        let wanted = total.min(fleet.limit) * (LENGTH_S - CONTACT_S);
        verify_that!(later.len() as f64, ge(wanted * MIN_USED_FRACTION))?;
    }
    Ok(())
}

fn check_last_answer_decides() -> Result<()> {
    let now = Instant::now() + Duration::from_secs(10);
    let fleet = FleetDemand { instances: 2, ..ALONE };
    let mut limits = EndpointLimits::default();
    limits.record(&report(Some(0.5), 100), &fleet, 0.0, now);
    verify_that!(limits.wait(&endpoint(), now).is_zero(), eq(false))?;
    // An answer from before the limit, which arrives later, ends nothing.
    verify_that!(limits.record(&report(None, 200), &fleet, 0.0, now), none())?;
    verify_that!(limits.wait(&endpoint(), now).is_zero(), eq(false))?;
    limits.record(&report(None, 50), &fleet, 0.0, now);
    verify_that!(limits.wait(&endpoint(), now).is_zero(), eq(true))?;
    limits.record(&report(Some(0.5), 0), &fleet, 0.0, now);
    verify_that!(limits.wait(&endpoint(), now).is_zero(), eq(false))?;
    let next = ListedEndpoint { started_at_ms: 8, ..endpoint() };
    verify_that!(limits.wait(&next, now).is_zero(), eq(true))
}

fn check_returns() -> Result<()> {
    let now = Instant::now();
    let fleet = ALONE;
    let mut limits = EndpointLimits::default();
    limits.record(&report(Some(2.0), 0), &fleet, 0.0, now);
    let wait = limits.wait(&endpoint(), now);
    let listed = endpoint();
    let mut book = || limits.book_return(&"p".into(), &[&listed], wait, now);
    let returns = (0..100).map(|_| book()).collect::<Vec<_>>();
    verify_that!(returns[0], eq(wait))?;
    let apart = returns.windows(2).take(20).all(|it| it[1] - it[0] >= Duration::from_millis(500));
    verify_that!(apart, eq(true))?;
    verify_that!(returns[99], le(Duration::from_secs(30)))
}

proptest! {
    /// Any limit, demand and number of instances give a finite wait, and a limit that allows much refuses nothing
    #[test]
    fn any_limit_is_shared(rate in prop_oneof![0.0..1e3_f64, 0.0..f64::MAX], own in 0.0..1e6_f64, others in 0.0..1e9_f64,
                           instances in 0..1000_usize, draw in 0.0..1.0_f64) {
        let now = Instant::now();
        let fleet = FleetDemand { own, others, others_sent: 0, instances, is_known: true };
        let mut limits = EndpointLimits::default();
        limits.record(&report(Some(rate), 0), &fleet, draw, now);
        let wait = limits.wait(&endpoint(), now);
        prop_assert!(wait < Duration::from_secs(u32::MAX.into()));
        prop_assert!(rate < 1e300 || limits.wait(&endpoint(), now + Duration::from_secs(60)).is_zero());
    }
}

cases! {
    // Guard against instances that send an endpoint more than its limit together.
    limit_of_7_instances_holds => check(FLEET),
    limit_of_89_instances_holds => check(Fleet { instances: 89, demand: (2.0, 2.0), ..FLEET }),
    limit_of_295_instances_holds => check(Fleet { instances: 295, demand: (0.5, 0.5), ..FLEET }),
    limit_below_one_request_of_each_instance_holds => check(Fleet { instances: 89, limit: 3.0, ..FLEET }),
    share_of_quiet_instances_is_used => check(Fleet { demand: (80.0, 0.3), ..FLEET }),
    limit_above_the_demand_refuses_little => check(Fleet { limit: 200.0, ..FLEET }),
    limit_holds_beside_a_cut_instance => check(Fleet { cuts_last: true, ..FLEET }),
    last_answer_decides => check_last_answer_decides(),
    refused_requests_return_one_after_another => check_returns(),
}
