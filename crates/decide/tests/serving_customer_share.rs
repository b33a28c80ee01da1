//! Shares of customers in an overload, played against a pool that serves so many requests a second.

use catalogue::id::CustomerName;
use decide::serving::customer_share::{CustomerShares, ShareDecision, ShareOutcome};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::format_smolstr;
use std::ops::Range;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    // Guard against one customer whose flood takes the others' share: 87 customers, one sends ten times its share.
    flood_costs_others_little => flood(1.0, Knowledge::Own),
    flood_costs_others_little_with_their_demand => flood(1.0, Knowledge::All),
    flood_into_an_overload_costs_others_little => flood(0.8, Knowledge::Own),
    flood_into_an_overload_costs_others_little_with_their_demand => flood(0.8, Knowledge::All),
    flood_at_half_of_the_capacity_costs_others_little => flood(0.5, Knowledge::All),
    // Guards against a customer that is held back though there is capacity.
    flood_without_an_overload_is_served => flood_within_capacity(),
    everybody_is_served_again_after_a_flood => after_flood(),
    // Guard against large customers that crowd out small ones, and against small ones that get all.
    small_customers_beside_large_ones => large_customers(0.75, Knowledge::Own),
    small_customers_beside_large_ones_with_all_demand => large_customers(0.75, Knowledge::All),
    small_customers_beside_large_ones_in_a_deep_overload => large_customers(0.35, Knowledge::All),
    // Guard against capacity that is left unused because of shares.
    equal_customers_use_all_capacity => equal_customers(0.8),
    equal_customers_use_all_capacity_in_a_deep_overload => equal_customers(0.3),
    capacity_that_comes_back_is_used => recovery(),
    // Guard against a capacity that is taken for what was served before the load rose.
    burst_of_all_customers_uses_all_capacity => burst(0.5),
    load_from_nothing_uses_all_capacity => burst(0.0),
    few_refusals_are_no_overload => few_refusals(),
    // Guards against shares that a single refusal now and then keeps in force.
    single_refusals_do_not_keep_shares_in_force => single_refusals(),
    unheard_demand_expires => others_expire(),
    // Guards against memory that grows with the number of customers.
    demand_of_too_many_customers_is_not_kept => bounded(),
    most_customers_elsewhere_are_not_kept => bounded_others(),
}

const INSTANCES: usize = 7;
const TICK: Duration = Duration::from_millis(50);
/// Requests a second of all customers without a flood.
const BASE_RATE: f64 = 400.0;
const SMALL_CUSTOMERS: usize = 84;
const CUSTOMERS: usize = SMALL_CUSTOMERS + 3;
/// Time for which requests wait for capacity, in seconds; what isn't used for longer is lost.
const WAIT_TIME: f64 = 0.15;
/// Smallest fraction of a customer's requests that is served, relative to that of all.
const MIN_RELATIVE: f64 = 0.25;
/// Largest fraction of the others' requests that a flood costs.
const MAX_FLOOD_COST: f64 = 0.05;
/// Smallest part of the capacity that is used, relative to a pool without shares.
const MIN_USED: f64 = 0.95;
const FLOOD: Range<f64> = 10.0..15.0;

/// What instances know of each other's demand
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    /// Nothing, and there are no shares
    Unused,
    Own,
    All,
}

/// What became of one customer's requests
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    sent: f64,
    served: f64,
}

impl Tally {
    fn fraction(&self) -> f64 {
        self.served / self.sent.max(1.0)
    }

    fn sum<'a>(tallies: impl IntoIterator<Item = &'a Tally>) -> Tally {
        tallies.into_iter().fold(Tally::default(), |sum, it| Tally {
            sent: sum.sent + it.sent,
            served: sum.served + it.served,
        })
    }
}

/// Plays `seconds` of load and returns the tallies of each customer within `counted`
///
/// `rate` and `capacity` return requests a second at a time, in seconds.
fn play(
    knowledge: Knowledge,
    seconds: f64,
    counted: Range<f64>,
    rate: impl Fn(usize, f64) -> f64,
    capacity: impl Fn(f64) -> f64,
) -> Vec<Tally> {
    let mut random = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let mut shares = (0..INSTANCES).map(|_| CustomerShares::new(start)).collect::<Vec<_>>();
    let names = (0..CUSTOMERS).map(|it| format_smolstr!("customer-{it}")).collect::<Vec<_>>();
    let mut tallies = vec![Tally::default(); CUSTOMERS];
    let mut unused = 0.0;
    let mut time = 0.0;
    while time < seconds {
        let now = start + Duration::from_secs_f64(time);
        if knowledge == Knowledge::All {
            exchange_demand(&mut shares, now);
        }
        let capacity = capacity(time);
        unused = f64::min(unused, capacity * WAIT_TIME) + capacity * TICK.as_secs_f64();
        for customer in arrivals(&mut random, |it| rate(it, time)) {
            let shares = &mut shares[random.random_range(0..INSTANCES)];
            let draw = if knowledge == Knowledge::Unused { 0.0 } else { random.random() };
            let decision = shares.decide(&names[customer], draw, now);
            let is_served = decision == ShareDecision::Admit && unused >= 1.0;
            if decision == ShareDecision::Admit {
                let outcome = if is_served { ShareOutcome::Served } else { ShareOutcome::Refused };
                shares.record_outcome(outcome, now);
            }
            unused -= f64::from(u8::from(is_served));
            if counted.contains(&time) {
                tallies[customer].sent += 1.0;
                tallies[customer].served += f64::from(u8::from(is_served));
            }
        }
        time += TICK.as_secs_f64();
    }
    tallies
}

/// Customers of the requests in one tick, in random order
fn arrivals(random: &mut SmallRng, rate: impl Fn(usize) -> f64) -> Vec<usize> {
    let mut arrivals = Vec::new();
    for customer in 0..CUSTOMERS {
        // Bernoulli trials, ten for each tick, approximate a Poisson process.
        let chance = rate(customer) * TICK.as_secs_f64() / 10.0;
        arrivals.extend((0..10).filter(|_| random.random::<f64>() < chance).map(|_| customer));
    }
    for index in (1..arrivals.len()).rev() {
        arrivals.swap(index, random.random_range(0..=index));
    }
    arrivals
}

fn exchange_demand(shares: &mut [CustomerShares], now: Instant) {
    let own = shares.iter_mut().map(|it| it.own_demand(now)).collect::<Vec<_>>();
    for (index, shares) in shares.iter_mut().enumerate() {
        let mut others = IndexMap::<CustomerName, f64>::new();
        let of_others = own.iter().enumerate().filter(|it| it.0 != index);
        for (name, rate) in of_others.flat_map(|it| it.1) {
            *others.entry(name.clone()).or_default() += rate;
        }
        shares.set_others(others, now);
    }
}

const EQUAL_RATE: f64 = BASE_RATE / CUSTOMERS as f64;

fn flooding(customer: usize, time: f64) -> f64 {
    if customer == 0 && FLOOD.contains(&time) { EQUAL_RATE * 10.0 } else { EQUAL_RATE }
}

fn flood(capacity: f64, knowledge: Knowledge) -> Result<()> {
    let capacity = |_: f64| BASE_RATE * capacity;
    let before = play(Knowledge::Unused, 15.0, FLOOD, |_, _| EQUAL_RATE, capacity);
    let during = play(knowledge, 15.0, FLOOD, flooding, capacity);
    let (before, others) = (Tally::sum(&before).fraction(), Tally::sum(&during[1..]).fraction());
    let (all, flooder) = (Tally::sum(&during).fraction(), during[0].fraction());
    let unlimited = play(Knowledge::Unused, 15.0, FLOOD, flooding, capacity);
    let unlimited = Tally::sum(&unlimited[1..]).fraction();
    println!(
        "before {before:.3}, unlimited {unlimited:.3}, others {others:.3}, all {all:.3}, flooder {flooder:.3}"
    );
    verify_that!(others, ge(before - MAX_FLOOD_COST))?;
    verify_that!(flooder, ge(MIN_RELATIVE * all))?;
    for tally in &during {
        verify_that!(tally.fraction(), ge(MIN_RELATIVE * all))?;
    }
    Ok(())
}

fn flood_within_capacity() -> Result<()> {
    let capacity = |_: f64| BASE_RATE * 1.5;
    let during = play(Knowledge::All, 15.0, FLOOD, flooding, capacity);
    verify_that!(during[0].fraction(), ge(0.99))?;
    verify_that!(Tally::sum(&during).fraction(), ge(0.99))
}

fn after_flood() -> Result<()> {
    // 1.3 of the base leaves room for its fluctuations.
    let after = FLOOD.end + 2.0..FLOOD.end + 6.0;
    let capacity = |_: f64| BASE_RATE * 1.3;
    // The floods of the other cases would fit into this capacity nearly.
    let flooding = |customer, time| match customer {
        0 if FLOOD.contains(&time) => BASE_RATE,
        _ => EQUAL_RATE,
    };
    let tallies = play(Knowledge::All, 21.0, after, flooding, capacity);
    verify_that!(tallies[0].fraction(), ge(0.95))?;
    verify_that!(Tally::sum(&tallies).fraction(), ge(0.99))
}

/// Three customers send a fifth of all requests each, the small ones share the rest
fn mixed_rate(customer: usize, _: f64) -> f64 {
    match customer {
        0..3 => BASE_RATE * 0.2,
        _ => BASE_RATE * 0.4 / SMALL_CUSTOMERS as f64,
    }
}

fn large_customers(capacity: f64, knowledge: Knowledge) -> Result<()> {
    let tallies = play(knowledge, 30.0, 5.0..30.0, mixed_rate, |_| BASE_RATE * capacity);
    let (all, small) = (Tally::sum(&tallies).fraction(), Tally::sum(&tallies[3..]).fraction());
    let large = Tally::sum(&tallies[..3]).fraction();
    let unlimited = play(Knowledge::Unused, 30.0, 5.0..30.0, mixed_rate, |_| BASE_RATE * capacity);
    let unlimited = Tally::sum(&unlimited).fraction();
    println!("all {all:.3} of {unlimited:.3}, small {small:.3}, large {large:.3}");
    verify_that!(all, ge(MIN_USED * unlimited))?;
    verify_that!(small, ge(all))?;
    for tally in &tallies {
        verify_that!(tally.fraction(), ge(MIN_RELATIVE * all))?;
    }
    Ok(())
}

fn equal_customers(capacity: f64) -> Result<()> {
    let rate = |_, _| EQUAL_RATE;
    let tallies = play(Knowledge::Own, 30.0, 5.0..30.0, rate, |_| BASE_RATE * capacity);
    let all = Tally::sum(&tallies).fraction();
    let unlimited = play(Knowledge::Unused, 30.0, 5.0..30.0, rate, |_| BASE_RATE * capacity);
    let unlimited = Tally::sum(&unlimited).fraction();
    println!("all {all:.3} of {unlimited:.3}");
    verify_that!(all, ge(MIN_USED * unlimited))?;
    for tally in &tallies {
        verify_that!(tally.fraction(), ge(MIN_RELATIVE * all))?;
    }
    Ok(())
}

fn recovery() -> Result<()> {
    let capacity = |time: f64| if time < 10.0 { BASE_RATE * 0.2 } else { BASE_RATE * 2.0 };
    let rate = |_, _| EQUAL_RATE;
    let tallies = play(Knowledge::All, 17.0, 13.0..17.0, rate, capacity);
    verify_that!(Tally::sum(&tallies).fraction(), ge(0.99))
}

/// The load rises from a fraction of the capacity to 1.5 times as much
fn burst(before: f64) -> Result<()> {
    let rate = |_, time| EQUAL_RATE * if time < 10.0 { before } else { 1.5 };
    let counted = 10.0..15.0;
    let fraction = |knowledge| {
        let tallies = play(knowledge, 15.0, counted.clone(), rate, |_| BASE_RATE);
        Tally::sum(&tallies).fraction()
    };
    let (all, unlimited) = (fraction(Knowledge::Own), fraction(Knowledge::Unused));
    println!("all {all:.3} of {unlimited:.3}");
    verify_that!(all, ge(MIN_USED * unlimited))
}

fn few_refusals() -> Result<()> {
    let start = Instant::now();
    let mut shares = CustomerShares::new(start);
    for number in 0..1000 {
        let now = start + Duration::from_millis(number * 5);
        let is_refused = number % 100 == 0;
        let outcome = if is_refused { ShareOutcome::Refused } else { ShareOutcome::Served };
        verify_that!(shares.decide(&"a".into(), 1.0, now), eq(ShareDecision::Admit))?;
        shares.record_outcome(outcome, now);
    }
    verify_that!(shares.is_limiting(), eq(false))
}

fn single_refusals() -> Result<()> {
    let (mut shares, start) = overloaded();
    verify_that!(shares.is_limiting(), eq(true))?;
    for number in 0..5000 {
        let now = start + Duration::from_millis(number);
        let is_refused = number % 1000 == 0;
        let outcome = if is_refused { ShareOutcome::Refused } else { ShareOutcome::Served };
        shares.decide(&"a".into(), 0.0, now);
        shares.record_outcome(outcome, now);
    }
    verify_that!(shares.is_limiting(), eq(false))
}

/// Shares in an overload in which half of the requests of `a` are served, and the time
fn overloaded() -> (CustomerShares, Instant) {
    let start = Instant::now();
    let mut shares = CustomerShares::new(start);
    for number in 0..200 {
        let now = start + Duration::from_millis(number * 5);
        shares.decide(&"a".into(), 0.0, now);
        let is_refused = number % 2 == 0;
        let outcome = if is_refused { ShareOutcome::Refused } else { ShareOutcome::Served };
        shares.record_outcome(outcome, now);
    }
    (shares, start + Duration::from_secs(1))
}

fn others_expire() -> Result<()> {
    let (mut shares, now) = overloaded();
    shares.set_others([("b".into(), 10_000.0)].into_iter().collect(), now);
    // Beside a customer that asks for much more, `a` is below its share.
    let soon = now + Duration::from_millis(300);
    verify_that!(shares.decide(&"a".into(), 0.99, soon), eq(ShareDecision::Admit))?;
    let (mut shares, now) = overloaded();
    let before = now.checked_sub(Duration::from_secs(3)).expect("a long uptime");
    shares.set_others([("b".into(), 10_000.0)].into_iter().collect(), before);
    let decision = shares.decide(&"a".into(), 0.99, now + Duration::from_millis(300));
    verify_that!(decision, not(eq(ShareDecision::Admit)))
}

fn bounded() -> Result<()> {
    let (mut shares, now) = overloaded();
    for number in 0..20_000 {
        let name = format_smolstr!("customer-{number}");
        shares.decide(&name, 0.0, now);
    }
    verify_that!(shares.own_demand(now).len(), le(4096))?;
    verify_that!(shares.decide(&"unheard-of".into(), 1.0, now), eq(ShareDecision::Admit))
}

fn bounded_others() -> Result<()> {
    let (mut shares, now) = overloaded();
    let mut rates = (0..13_000).map(|it| (format_smolstr!("customer-{it}"), 1.0));
    shares.set_others(rates.by_ref().chain([("large".into(), 100.0)]).collect(), now);
    let soon = now + Duration::from_millis(300);
    let small = shares.decide(&"customer-12999".into(), 0.999, soon);
    verify_that!(small, eq(ShareDecision::Admit))?;
    let ShareDecision::Refuse { demand, share } = shares.decide(&"large".into(), 0.999, soon)
    else {
        return fail!("admitted");
    };
    verify_that!(demand, near(100.0, 1.0))?;
    verify_that!(share / demand, near(0.33, 0.01))
}
