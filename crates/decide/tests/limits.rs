//! Limits shared by seven instances: full use, uneven shares, and the bound under faults.

use decide::grant::{GRANT_INTERVAL, GRANT_TTL, GrantLedger};
use decide::limits::{EntryLimiter, LimitRates};
use googletest::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use smol_str::{SmolStr, format_smolstr};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use testcases::cases;

const INSTANCES: usize = 7;
const STEP: Duration = Duration::from_millis(5);
const TOKENS: u32 = 100;
const LIMITS: LimitRates =
    LimitRates { requests_per_s: 200.0, tokens_per_s: 1e9, in_flight: 10_000.0 };
const TOKEN_LIMITS: LimitRates =
    LimitRates { requests_per_s: 1e6, tokens_per_s: 20_000.0, in_flight: 10_000.0 };
const FLIGHT_LIMITS: LimitRates =
    LimitRates { requests_per_s: 1e6, tokens_per_s: 1e9, in_flight: 70.0 };

/// Arrivals and faults of one run
struct Scenario {
    limits: LimitRates,
    /// Requests per second that arrive at each instance
    arrivals: [f64; INSTANCES],
    /// When the arrival rates are reversed, so that the last instance gets the first one's rate
    reversed_at: Option<Duration>,
    /// Fraction of grant answers that are lost
    lost_fraction: f64,
    /// When the home is killed and another takes over
    home_killed_at: Option<Duration>,
    /// Start and end of a partition between instances 0 to 2 and the others
    partition: Option<(Duration, Duration)>,
    length: Duration,
    service_time: Duration,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            limits: LIMITS,
            arrivals: [100.0; INSTANCES],
            reversed_at: None,
            lost_fraction: 0.0,
            home_killed_at: None,
            partition: None,
            length: Duration::from_secs(30),
            service_time: Duration::from_millis(200),
        }
    }
}

impl Scenario {
    fn arrivals_at(&self, elapsed: Duration) -> [f64; INSTANCES] {
        let mut arrivals = self.arrivals;
        if self.reversed_at.is_some_and(|it| it <= elapsed) {
            arrivals.reverse();
        }
        arrivals
    }
}

/// Requests that a run admitted
struct Outcome {
    /// Requests started in each second
    started: Vec<f64>,
    /// Maximum number of requests in flight at any step
    peak_in_flight: u32,
    /// Maximum number of requests in flight in each second
    in_flight: Vec<u32>,
}

impl Outcome {
    /// Mean rate from this second on
    fn rate_from(&self, second: usize) -> f64 {
        let rates = &self.started[second..];
        rates.iter().sum::<f64>() / rates.len() as f64
    }

    fn peak_rate(&self) -> f64 {
        self.started.iter().copied().fold(0.0, f64::max)
    }
}

struct Bench {
    names: Vec<SmolStr>,
    limiters: Vec<EntryLimiter>,
    /// Homes of the two sides of a partition; without a partition, the first serves all instances
    homes: [GrantLedger; 2],
    running: Vec<VecDeque<Instant>>,
    pending_arrivals: [f64; INSTANCES],
    rng: ChaCha8Rng,
}

impl Bench {
    fn new(scenario: &Scenario, start: Instant) -> Bench {
        let limiter = EntryLimiter::new(scenario.limits, INSTANCES, start);
        let ledger = GrantLedger::new(scenario.limits, start);
        Bench {
            names: (0..INSTANCES).map(|it| format_smolstr!("i{it}")).collect(),
            limiters: vec![limiter; INSTANCES],
            homes: [ledger.clone(), ledger],
            running: vec![VecDeque::new(); INSTANCES],
            pending_arrivals: [0.0; INSTANCES],
            rng: ChaCha8Rng::seed_from_u64(11),
        }
    }

    fn ask(&mut self, index: usize, side: usize, lost: f64, now: Instant) {
        let demand = self.limiters[index].demand(now);
        let grant = self.homes[side].grant(&self.names[index], demand, INSTANCES, now);
        if !self.rng.random_bool(lost) {
            self.limiters[index].apply_grant(grant.rates, now + grant.ttl, now);
        }
    }

    fn finish_due(&mut self, index: usize, now: Instant) {
        while self.running[index].front().is_some_and(|it| *it <= now) {
            self.running[index].pop_front();
            self.limiters[index].finish();
        }
    }

    fn offer(&mut self, index: usize, rate: f64, service: Duration, now: Instant) -> f64 {
        self.pending_arrivals[index] += rate * STEP.as_secs_f64();
        let mut started = 0.0;
        while self.pending_arrivals[index] >= 1.0 {
            self.pending_arrivals[index] -= 1.0;
            if self.limiters[index].try_start(TOKENS, now).is_ok() {
                self.running[index].push_back(now + service);
                started += 1.0;
            }
        }
        started
    }
}

fn run(scenario: &Scenario) -> Outcome {
    let start = Instant::now();
    let mut bench = Bench::new(scenario, start);
    let seconds = scenario.length.as_secs() as usize;
    let mut outcome =
        Outcome { started: vec![0.0; seconds], peak_in_flight: 0, in_flight: vec![0; seconds] };
    let steps = (scenario.length.as_millis() / STEP.as_millis()) as u32;
    let ask_every = (GRANT_INTERVAL.as_millis() / STEP.as_millis()) as u32;
    for step in 0..steps {
        let elapsed = STEP * step;
        let now = start + elapsed;
        if scenario.home_killed_at == Some(elapsed) {
            bench.homes[0] = GrantLedger::new(scenario.limits, now);
        }
        let is_cut = scenario.partition.is_some_and(|(from, to)| from <= elapsed && elapsed < to);
        if scenario.partition.is_some_and(|(from, _)| from == elapsed) {
            bench.homes[1] = GrantLedger::new(scenario.limits, now);
        }
        for index in 0..INSTANCES {
            bench.finish_due(index, now);
            if (step + 7 * index as u32).is_multiple_of(ask_every) {
                let side = usize::from(is_cut && index < 3);
                bench.ask(index, side, scenario.lost_fraction, now);
            }
            let second = elapsed.as_secs() as usize;
            outcome.started[second] += bench.offer(
                index,
                scenario.arrivals_at(elapsed)[index],
                scenario.service_time,
                now,
            );
        }
        let in_flight = bench.limiters.iter().map(EntryLimiter::in_flight).sum();
        let second = elapsed.as_secs() as usize;
        outcome.peak_in_flight = outcome.peak_in_flight.max(in_flight);
        outcome.in_flight[second] = outcome.in_flight[second].max(in_flight);
    }
    outcome
}

/// Seconds until the grants have adapted to the demand
const SETTLING_S: usize = 5;
const UNEVEN: [f64; INSTANCES] = [400.0, 150.0, 80.0, 40.0, 20.0, 5.0, 5.0];
const LONE: [f64; INSTANCES] = [0.0, 0.0, 0.0, 600.0, 0.0, 0.0, 0.0];

fn check_rate(arrivals: [f64; INSTANCES], limits: LimitRates, least: f64) -> Result<()> {
    let outcome = run(&Scenario { arrivals, limits, ..Scenario::default() });
    let rate = outcome.rate_from(SETTLING_S);
    verify_that!(rate, all!(ge(200.0 * least), le(200.0 * 1.1)))?;
    verify_that!(outcome.peak_rate(), le(200.0 * 1.5))
}

fn check_in_flight(arrivals: [f64; INSTANCES], least: f64) -> Result<()> {
    let outcome = run(&Scenario { arrivals, limits: FLIGHT_LIMITS, ..Scenario::default() });
    let lowest = outcome.in_flight[SETTLING_S..].iter().min().copied().unwrap_or(0);
    verify_that!(f64::from(lowest), ge(70.0 * least))?;
    verify_that!(outcome.peak_in_flight, le(77))
}

/// Under faults, the rate and the requests in flight stay below 1.5 times the limit
fn check_bound(mut scenario: Scenario) -> Result<()> {
    scenario.arrivals = [300.0, 20.0, 200.0, 40.0, 400.0, 5.0, 100.0];
    let outcome = run(&scenario);
    verify_that!(outcome.peak_rate(), le(200.0 * 1.5))?;
    scenario.limits = FLIGHT_LIMITS;
    let outcome = run(&scenario);
    verify_that!(outcome.peak_in_flight, le(105))
}

fn lost(fraction: f64) -> Scenario {
    Scenario { lost_fraction: fraction, ..Scenario::default() }
}

fn home_killed() -> Scenario {
    Scenario { home_killed_at: Some(Duration::from_secs(10)), ..Scenario::default() }
}

fn partitioned() -> Scenario {
    let span = (Duration::from_secs(8), Duration::from_secs(20));
    Scenario { partition: Some(span), ..Scenario::default() }
}

/// Demand moves suddenly to other instances, at the same time as a killed home in some scenarios
fn check_demand_jumps(mut scenario: Scenario) -> Result<()> {
    scenario.arrivals = [900.0, 600.0, 300.0, 0.0, 0.0, 0.0, 0.0];
    scenario.reversed_at = Some(Duration::from_millis(10_000));
    let outcome = run(&scenario);
    verify_that!(outcome.peak_rate(), le(200.0 * 1.5))
}

/// Long requests stay in flight while the demand moves to other instances
fn check_long_requests(mut scenario: Scenario) -> Result<()> {
    scenario.arrivals = UNEVEN;
    scenario.reversed_at = Some(Duration::from_secs(10));
    scenario.limits = FLIGHT_LIMITS;
    scenario.service_time = Duration::from_secs(6);
    let outcome = run(&scenario);
    verify_that!(outcome.peak_in_flight, le(105))
}

fn check_use_after_home_change() -> Result<()> {
    let outcome = run(&home_killed());
    verify_that!(outcome.rate_from(15), ge(180.0))
}

fn check_local_share_without_home() -> Result<()> {
    let outcome = run(&lost(1.0));
    verify_that!(outcome.rate_from(SETTLING_S), all!(ge(80.0), le(110.0)))
}

fn check_expired_grant_is_not_used() -> Result<()> {
    let now = Instant::now();
    let mut limiter = EntryLimiter::new(LIMITS, INSTANCES, now);
    limiter.apply_grant(LIMITS, now + GRANT_TTL, now);
    let later = now + GRANT_TTL;
    let started = (0..1_000).filter(|_| limiter.try_start(TOKENS, later).is_ok()).count();
    verify_that!(started, le(20))
}

cases! {
    even_shares => check_rate([100.0; INSTANCES], LIMITS, 0.9),
    uneven_shares => check_rate(UNEVEN, LIMITS, 0.9),
    lone_caller => check_rate(LONE, LIMITS, 0.9),
    tokens_with_uneven_shares => check_rate(UNEVEN, TOKEN_LIMITS, 0.9),
    tokens_of_a_lone_caller => check_rate(LONE, TOKEN_LIMITS, 0.9),
    in_flight_with_uneven_shares => check_in_flight(UNEVEN, 0.9),
    in_flight_of_a_lone_caller => check_in_flight(LONE, 0.9),
    half_of_the_grants_lost => check_bound(lost(0.5)),
    all_grants_lost => check_bound(lost(1.0)),
    home_is_killed => check_bound(home_killed()),
    home_is_killed_and_grants_are_lost => check_bound(Scenario { lost_fraction: 0.3, ..home_killed() }),
    instances_are_partitioned => check_bound(partitioned()),
    partition_and_grants_are_lost => check_bound(Scenario { lost_fraction: 0.3, ..partitioned() }),
    demand_jumps => check_demand_jumps(Scenario::default()),
    demand_jumps_as_the_home_is_killed => check_demand_jumps(home_killed()),
    demand_jumps_and_grants_are_lost => check_demand_jumps(Scenario { lost_fraction: 0.6, ..home_killed() }),
    long_requests_and_demand_that_moves => check_long_requests(Scenario::default()),
    long_requests_and_home_killed => check_long_requests(home_killed()),
    long_requests_and_partition => check_long_requests(partitioned()),
    full_use_after_home_change => check_use_after_home_change(),
    local_share_without_home => check_local_share_without_home(),
    expired_grant_is_not_used => check_expired_grant_is_not_used(),
}
