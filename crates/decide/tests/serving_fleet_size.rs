//! Number of engines by zone and kind, for single decisions and short courses of events.

use decide::serving::engine_orders::{
    EngineOrder, MAX_LOWERING_ORDERS, MAX_ORDERS, ORDER_INTERVAL, OrderBook, OrderOutcome,
    OrderSubject,
};
use decide::serving::fleet_demand::{DemandMeter, DemandSample, EngineDemand};
use decide::serving::fleet_inputs::{EngineState, FleetInputs};
use decide::serving::fleet_size::{FleetDecision, FleetPlan};
use decide::serving::fleet_spread::{SpreadBounds, ZoneCount, ZoneOffer, remaining, spread};
use decide::serving::route::ScalingRule;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    // Guards against a loss of a zone's preemptible engines that leaves too few.
    spread_survives_the_loss_of_any_zone => spread_survives(),
    // Guards against spreads beyond what the zones may hold, and below what they must.
    spread_keeps_to_the_bounds_of_zones => spread_is_bounded(),
    // Guards against preemptible engines alone where one loss takes all of them.
    one_zone_has_regular_engines => one_zone(),
    zone_without_preemptible_engines_is_left_out => unavailable_zone(),
    // Guards against regular engines that go before their replacements have come.
    regular_engines_stay_until_replaced => replaced_first(),
    // Guards against replacements that are listed and don't answer.
    regular_engines_stay_while_replacements_are_silent => silent_replacements(),
    steps_give_up_a_third_at_most => small_steps(),
    last_decoders_stay => decoders_stay(),
    taken_away_engines_are_ordered_elsewhere_at_once => taken_away(),
    // Guards against a loss right after a step that gave engines up being taken for its result.
    loss_after_a_lowering_order_is_noticed => taken_away_after_lowering(),
    engines_given_up_are_no_loss => given_up(),
    // Guards against a fleet that shrinks since times per token can't be learned from equally long prompts.
    busy_engines_are_needed_whatever_was_learned => busy(),
    // Guards against a fleet that stays dear if the platform wants some engines of each kind.
    declined_last_engines_are_kept => declined(),
    // Guards against crashed engines that count as capacity.
    silent_engines_are_replaced => silent_replaced(),
    // Guards against orders because the holder itself reaches no endpoint.
    most_engines_silent_gives_no_orders => mostly_silent(),
    // Guards against a shrink when others aren't heard, in a pause, or before a peak was seen.
    fleet_stays_without_evidence => no_evidence(),
    // Guards against fewer engines than at the start before any demand was seen, as in the time before traffic.
    number_at_the_start_stays_until_measured => number_at_start(),
    // Guards against engines that are given up before traffic since the others weren't listed yet at the first decision.
    engines_listed_late_count_as_at_the_start => listed_late(),
    // Guards against a zone below its least number while its replacements are not to be had.
    zones_keep_their_least_number => least_number(),
    // Guards against engines that are given up twice, since those of the last order are still listed.
    engines_given_up_and_still_listed_are_no_capacity => open_lowering(),
    refusals_add_engines_up_to_a_bound => refusals(),
    unanswered_order_is_not_contradicted => unanswered(),
    unavailable_zone_is_tried_again_with_backoff => backoff(),
    orders_a_minute_are_bounded => bounded_orders(),
    next_holder_goes_on => next_holder(),
    demand_is_measured_by_littles_law => littles_law(),
    peak_of_the_last_20_seconds_counts => peak(),
}

const STARTUP: Duration = Duration::from_secs(4);

fn rule(zones: &[&str]) -> ScalingRule {
    let prices = [0.8, 0.95, 1.1, 1.25];
    ScalingRule {
        min: 1,
        max: 24,
        startup: STARTUP,
        preemptible_price: Some(0.15),
        zone_prices: zones.iter().map(|it| (*it).into()).zip(prices).collect(),
    }
}

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn offers(zones: &[&str]) -> Vec<ZoneOffer> {
    let offer = |(zone, price): (&smol_str::SmolStr, &f64)| ZoneOffer {
        zone: zone.clone(),
        price: *price,
        has_regular: true,
        has_preemptible: true,
        present: ZoneCount::default(),
    };
    rule(zones).zone_prices.iter().map(offer).collect()
}

const BOUNDS: SpreadBounds =
    SpreadBounds { min: 1, max: 24, kind_min: 0, regular: 2, preemptible_price: 0.15 };

fn spread_survives() -> Result<()> {
    for needed in 1..=70 {
        let spread = spread(needed, &offers(&ZONES), &BOUNDS);
        verify_that!(remaining(spread.values().copied()), ge(needed))?;
    }
    Ok(())
}

fn spread_is_bounded() -> Result<()> {
    for needed in [0, 1, 50, 96, 500] {
        let spread = spread(needed, &offers(&ZONES), &BOUNDS);
        for count in spread.values() {
            verify_that!(count.total(), all!(ge(1), le(24)))?;
        }
    }
    Ok(())
}

fn one_zone() -> Result<()> {
    let spread = spread(10, &offers(&["a"]), &BOUNDS);
    verify_that!(spread["a"].regular, eq(10))
}

fn unavailable_zone() -> Result<()> {
    let mut offers = offers(&ZONES);
    offers[0].has_preemptible = false;
    let spread = spread(20, &offers, &BOUNDS);
    verify_that!(spread["a"].preemptible, eq(0))?;
    verify_that!(remaining(spread.values().copied()), ge(20))
}

/// Engines of all zones, the same number in each
fn engines(regular: usize, preemptible: usize) -> Vec<EngineState> {
    let zones = ZONES.iter().flat_map(|zone| {
        let engine = move |index: usize, is_preemptible: bool| EngineState {
            id: format!("{zone}-{is_preemptible}-{index}").into(),
            zone: (*zone).into(),
            is_preemptible,
            is_decoder: !index.is_multiple_of(3),
            slots: 24,
            is_ready: true,
            answers: true,
            is_taken_away: false,
        };
        let regular = (0..regular).map(move |it| engine(it, false));
        regular.chain((0..preemptible).map(move |it| engine(it, true)))
    });
    zones.collect()
}

struct Course {
    plan: FleetPlan,
    now: Instant,
    rule: ScalingRule,
    demand: EngineDemand,
    measured_for: Duration,
    idle_for: Option<Duration>,
    hears_others: bool,
}

impl Course {
    /// Course with a demand that needs half as many engines of the stage `prefill` as `needed`
    fn new(needed: f64) -> Course {
        let read_ms_per_s = needed * 500.0;
        Course {
            plan: FleetPlan::default(),
            now: Instant::now(),
            rule: rule(&ZONES),
            demand: EngineDemand { read_ms_per_s, ..EngineDemand::default() },
            measured_for: Duration::from_secs(100),
            idle_for: Some(Duration::ZERO),
            hears_others: true,
        }
    }

    fn decide(&mut self, engines: &[EngineState]) -> FleetDecision {
        let inputs = FleetInputs {
            engines,
            rule: &self.rule,
            demand: self.demand,
            measured_for: self.measured_for,
            idle_for: self.idle_for,
            decoder_speed: 1.0,
            hears_others: self.hears_others,
        };
        self.plan.decide(&inputs, self.now)
    }

    /// Decides for some seconds and returns all orders
    fn run(&mut self, engines: &[EngineState], seconds: u64) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        for _ in 0..2 * seconds {
            orders.extend(self.decide(engines).orders);
            self.now += Duration::from_millis(500);
        }
        orders
    }
}

fn of_kind(orders: &[EngineOrder], is_preemptible: bool) -> Vec<u32> {
    let orders = orders.iter().filter(|it| it.subject.is_preemptible == is_preemptible);
    orders.map(|it| it.count).collect()
}

fn replaced_first() -> Result<()> {
    let mut course = Course::new(48.0);
    let orders = course.run(&engines(12, 0), 3);
    verify_that!(of_kind(&orders, true), len(eq(4)))?;
    verify_that!(of_kind(&orders, false), is_empty())?;
    course.now += STARTUP;
    let orders = course.run(&engines(12, 12), 1);
    verify_that!(of_kind(&orders, false), not(is_empty()))
}

fn silent_replacements() -> Result<()> {
    let mut course = Course::new(48.0);
    course.run(&engines(12, 0), 5);
    let mut engines = engines(12, 11);
    engines.iter_mut().filter(|it| it.is_preemptible).for_each(|it| it.answers = false);
    let orders = course.run(&engines, 5);
    verify_that!(of_kind(&orders, false), is_empty())
}

fn small_steps() -> Result<()> {
    let mut course = Course::new(4.0);
    let engines = engines(12, 12);
    let orders = course.decide(&engines).orders;
    let given_up: u32 = orders.iter().map(|it| 12 - it.count).sum();
    verify_that!(given_up, all!(gt(0), le(32)))?;
    course.now += Duration::from_millis(1500);
    verify_that!(course.decide(&engines).orders, is_empty())
}

fn decoders_stay() -> Result<()> {
    let mut course = Course::new(2.0);
    let mut engines = engines(6, 6);
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.is_decoder = index == 0;
    }
    let subject = engines[0].subject();
    let orders = course.run(&engines, 30);
    verify_that!(orders.iter().filter(|it| it.subject == subject).count(), eq(0))
}

fn taken_away() -> Result<()> {
    let mut course = Course::new(30.0);
    course.plan = settled(&mut course, 30);
    let mut engines = engines(1, 10);
    for engine in engines.iter_mut().filter(|it| it.zone == "b" && it.is_preemptible) {
        (engine.is_ready, engine.is_taken_away) = (false, true);
    }
    let orders = course.decide(&engines).orders;
    let zones = orders.iter().map(|it| it.subject.zone.as_str()).collect::<Vec<_>>();
    verify_that!(zones, unordered_elements_are![eq(&"a"), eq(&"c"), eq(&"d")])?;
    for order in orders {
        verify_that!(order.count, ge(14))?;
    }
    let later =
        course.run(&engines.iter().filter(|it| it.is_ready).cloned().collect::<Vec<_>>(), 5);
    verify_that!(later.iter().filter(|it| it.subject.zone == "b").count(), eq(1))
}

/// Engines after a zone's number was lowered from 10 to some number, with some more that leave
fn lowered(course: &mut Course, leaving: usize) -> Vec<EngineState> {
    let mut engines = engines(1, 10);
    course.plan = settled(course, 12);
    let lowered = course.decide(&engines).orders;
    for order in lowered {
        let of_subject = engines.iter_mut().filter(|it| it.subject() == order.subject);
        let more = if order.subject.zone == "d" { leaving } else { 0 };
        for engine in of_subject.take(10 - order.count as usize + more) {
            (engine.is_ready, engine.is_taken_away) = (false, true);
        }
    }
    engines
}

fn taken_away_after_lowering() -> Result<()> {
    let mut course = Course::new(12.0);
    let engines = lowered(&mut course, 10);
    course.now += Duration::from_millis(500);
    course.demand.read_ms_per_s *= 3.0;
    let orders = course.run(&engines, 4);
    let is_of_zone = |it: &&EngineOrder| it.subject.zone == "d" && it.subject.is_preemptible;
    verify_that!(orders.iter().find(is_of_zone), none())
}

fn given_up() -> Result<()> {
    let mut course = Course::new(12.0);
    let engines = lowered(&mut course, 0);
    course.now += Duration::from_millis(500);
    course.demand.read_ms_per_s *= 3.0;
    let orders = course.run(&engines, 4);
    let is_of_zone = |it: &&EngineOrder| it.subject.zone == "d" && it.subject.is_preemptible;
    verify_that!(orders.iter().find(is_of_zone), some(anything()))
}

/// Plan with a number in force and no orders
fn settled(course: &mut Course, needed: u32) -> FleetPlan {
    let mut record = course.plan.record();
    record.needed = Some(needed);
    record.kept_regular = 2;
    FleetPlan::resume(record, course.now)
}

fn busy() -> Result<()> {
    let mut course = Course::new(1.0);
    course.demand.busy = 20.0;
    verify_that!(course.decide(&engines(6, 6)).measured, eq(24))
}

fn declined() -> Result<()> {
    let mut course = Course::new(4.0);
    let engines = engines(4, 4);
    let mut orders = course.decide(&engines).orders;
    orders.retain(|it| !it.subject.is_preemptible && it.count == 0);
    verify_that!(orders, not(is_empty()))?;
    for order in &orders {
        course.plan.record_outcome(&order.subject, OrderOutcome::Declined, course.now);
    }
    let later = course.run(&engines, 10);
    verify_that!(later.iter().all(|it| it.count > 0), eq(true))?;
    let is_again = |it: &&EngineOrder| it.subject == orders[0].subject;
    verify_that!(later.iter().find(is_again), some(anything()))
}

fn silent_replaced() -> Result<()> {
    let mut course = Course::new(30.0);
    course.plan = settled(&mut course, 30);
    let mut engines = engines(1, 10);
    engines.iter_mut().filter(|it| it.zone == "c").take(4).for_each(|it| it.answers = false);
    let orders = course.run(&engines, 10);
    verify_that!(orders, not(is_empty()))?;
    verify_that!(orders.iter().all(|it| it.subject.zone == "c" && it.count > 1), eq(true))
}

fn mostly_silent() -> Result<()> {
    let mut course = Course::new(90.0);
    let mut engines = engines(12, 0);
    engines.iter_mut().skip(10).for_each(|it| it.answers = false);
    verify_that!(course.run(&engines, 20), is_empty())
}

fn no_evidence() -> Result<()> {
    let cases: [fn(&mut Course); 3] = [
        |it| it.hears_others = false,
        |it| it.idle_for = Some(Duration::from_secs(30)),
        |it| it.measured_for = Duration::from_secs(10),
    ];
    for change in cases {
        let mut course = Course::new(1.0);
        change(&mut course);
        for _ in 0..60 {
            verify_that!(course.decide(&engines(12, 12)).needed, eq(72))?;
            course.now += Duration::from_millis(500);
        }
    }
    Ok(())
}

fn number_at_start() -> Result<()> {
    let mut course = Course::new(0.0);
    (course.measured_for, course.idle_for) = (Duration::ZERO, None);
    verify_that!(of_kind(&course.run(&engines(12, 0), 4), false), is_empty())?;
    course.now += STARTUP;
    let orders = course.run(&engines(12, 12), 1);
    let given_up: u32 = of_kind(&orders, false).iter().map(|it| 12 - it).sum();
    verify_that!(given_up, eq(32))?;
    course.now += STARTUP;
    verify_that!(of_kind(&course.run(&engines(2, 10), 1), false), is_empty())
}

fn listed_late() -> Result<()> {
    let mut course = Course::new(0.0);
    (course.measured_for, course.idle_for) = (Duration::ZERO, None);
    verify_that!(of_kind(&course.run(&engines(3, 0), 2), false), is_empty())?;
    course.now += Duration::from_secs(1);
    verify_that!(of_kind(&course.run(&engines(12, 0), 8), false), is_empty())?;
    course.now += STARTUP;
    // Three preemptible engines a zone have come; 48 engines are to stay.
    let orders = course.run(&engines(12, 3), 1);
    let given_up: u32 = of_kind(&orders, false).iter().map(|it| 12 - it).sum();
    verify_that!(given_up, le(12))
}

fn least_number() -> Result<()> {
    let mut course = Course::new(4.0);
    let mut engines = engines(1, 8);
    engines.retain(|it| it.zone != "d" || !it.is_preemptible);
    let orders = course.run(&engines, 40);
    let lowest = orders.iter().filter(|it| it.subject.zone == "d" && !it.subject.is_preemptible);
    verify_that!(lowest.map(|it| it.count).min().unwrap_or(1), ge(1))
}

fn open_lowering() -> Result<()> {
    let mut course = Course::new(4.0);
    let engines = engines(4, 10);
    let first = course.decide(&engines).orders;
    verify_that!(first, not(is_empty()))?;
    // One interval of steps later, the list still shows all of them.
    course.now += Duration::from_millis(3200);
    verify_that!(course.decide(&engines).orders, is_empty())
}

fn refusals() -> Result<()> {
    let needed = |refused| {
        let mut course = Course::new(20.0);
        course.demand.refused = refused;
        course.decide(&engines(4, 4)).measured
    };
    verify_that!(needed(0.01), eq(20))?;
    verify_that!(needed(0.25), eq(40))
}

fn unanswered() -> Result<()> {
    let mut course = Course::new(40.0);
    let orders = course.decide(&engines(12, 0)).orders;
    for order in &orders {
        course.plan.record_outcome(&order.subject, OrderOutcome::Uncertain, course.now);
    }
    course.demand.read_ms_per_s *= 1.5;
    verify_that!(course.run(&engines(12, 0), 4), is_empty())?;
    course.now += STARTUP;
    verify_that!(of_kind(&course.run(&engines(12, 0), 1), true), not(is_empty()))
}

fn backoff() -> Result<()> {
    let mut course = Course::new(30.0);
    course.plan = settled(&mut course, 30);
    let mut engines = engines(1, 10);
    engines.retain(|it| it.zone != "a" || !it.is_preemptible);
    let mut tries = Vec::new();
    for step in 0..120 {
        for order in course.decide(&engines).orders {
            if order.subject.zone == "a" && order.subject.is_preemptible {
                tries.push(step / 2);
                course.plan.record_outcome(&order.subject, OrderOutcome::Unavailable, course.now);
            }
        }
        course.now += Duration::from_millis(500);
    }
    // After 3, 6, 12 and 24 s.
    verify_that!(tries, eq(&[0, 3, 9, 21, 45]))
}

fn bounded_orders() -> Result<()> {
    let subject = OrderSubject { zone: "a".into(), is_preemptible: true };
    let start = Instant::now();
    for (is_lowering, most) in [(true, MAX_LOWERING_ORDERS), (false, MAX_ORDERS)] {
        let mut book = OrderBook::default();
        let mut given = 0;
        for tenth in 0..600 {
            let now = start + Duration::from_millis(100) * tenth;
            if book.may_order(&subject, is_lowering, now) {
                let order = EngineOrder { subject: subject.clone(), count: tenth };
                book.record_order(&order, is_lowering, now);
                given += 1;
                let too_soon = now + ORDER_INTERVAL / 2;
                verify_that!(book.may_order(&subject, false, too_soon), eq(false))?;
            }
        }
        verify_that!(given, eq(most))?;
    }
    Ok(())
}

fn next_holder() -> Result<()> {
    let mut course = Course::new(48.0);
    verify_that!(course.decide(&engines(12, 0)).orders, not(is_empty()))?;
    // The next holder has measured nothing yet, and the ordered engines are still to come.
    let record = course.plan.record();
    let mut next = Course::new(0.0);
    next.plan = FleetPlan::resume(record, next.now);
    (next.measured_for, next.idle_for) = (Duration::ZERO, None);
    verify_that!(
        next.decide(&engines(12, 0)),
        matches_pattern!(FleetDecision { needed: eq(&48), orders: is_empty(), .. })
    )
}

/// 100 requests a second that are unread for 50 ms each, of 20 ms of reading
fn littles_law() -> Result<()> {
    let mut meter = DemandMeter::default();
    let mut now = Instant::now();
    for _ in 0..300 {
        for _ in 0..10 {
            meter.record_read(3000, Duration::from_millis(50));
        }
        meter.record(DemandSample { unread_ms: 5.0 * 20.0, requests: 6.0, busy: 4.0 }, now);
        now += Duration::from_millis(100);
    }
    verify_that!(meter.current().read_ms_per_s, near(2000.0, 60.0))
}

fn peak() -> Result<()> {
    let mut meter = DemandMeter::default();
    let mut now = Instant::now();
    let mut run = |requests: f64, seconds: u32, meter: &mut DemandMeter| {
        for _ in 0..10 * seconds {
            meter.record(DemandSample { requests, ..DemandSample::default() }, now);
            now += Duration::from_millis(100);
        }
    };
    run(100.0, 3, &mut meter);
    run(10.0, 18, &mut meter);
    verify_that!(meter.peak().requests, near(100.0, 0.1))?;
    run(10.0, 5, &mut meter);
    verify_that!(meter.peak().requests, near(10.0, 0.1))
}
