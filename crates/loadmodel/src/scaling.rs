//! Compares ways to decide the number of engines, under demand that changes in seconds.
//!
//! Prompts arrive at random and go to the best of a few engines, or are refused if none
//! would read them in time; a refused caller tries again once.

use crate::SimTime;
use crate::demand_pattern::{CHANGE_AT, DemandPattern, END_AT, TRAFFIC_AT};
use crate::scaled_fleet::{COMMON_PARTS, ScaledEngine, ScaledFleet};
use crate::size_policy::{SizePolicy, reactive_orders};
use decide::serving::fleet_demand::{DemandMeter, DemandSample};
use decide::serving::fleet_inputs::{FleetInputs, TARGET_USE};
use decide::serving::fleet_size::FleetPlan;
use decide::serving::route::ScalingRule;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Requests a second, and mean time of their prompts at an engine that only reads; together a quarter of 48 engines.
const RATE: f64 = 395.0;
const WORK_MS: f64 = 20.0;
/// Standard deviation of the logarithm of that time.
const WORK_SPREAD: f64 = 0.6;
/// Objectives of the first token, in milliseconds; from the users' recorded days.
const OBJECTIVES_MS: [f64; 3] = [150.0, 250.0, 500.0];
/// Regular engines in each zone at the start, zone prices and the bounds of the rule; as in the users' largest pool.
const REGULAR: usize = 12;
const PRICES: [(&str, f64); 4] = [("a", 0.8), ("b", 0.95), ("c", 1.1), ("d", 1.25)];
const MAX_ENGINES: u32 = 24;
const STARTUP: Duration = Duration::from_secs(4);
const PREEMPTIBLE_PRICE: f64 = 0.15;
/// Engines of which the best is chosen; the gateway compares as many with the one that holds most of the prompt.
const SAMPLED_ENGINES: usize = 2;
/// Time after which a refused caller tries again, and its spread.
const RETRY_MS: (SimTime, SimTime) = (350.0, 200.0);
/// Requests in flight that generate, for the usual rate: 30 a second for 3.6 s.
const GENERATING: f64 = 108.0;
const STEP_MS: SimTime = 10.0;
const SAMPLE_STEPS: usize = 10;
const DECISION_STEPS: usize = 50;

/// Outcome of a run
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SizeReport {
    pub asked: usize,
    pub in_time: usize,
    /// Requests that were refused twice
    pub refused: usize,
    /// Engine-seconds by price
    pub price: f64,
    pub orders: usize,
    /// Requests that arrived within 10 s after the change of the pattern, and those of them in time
    pub changed: (usize, usize),
}

impl SizeReport {
    /// Fraction of the requests in time
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// The same for the 10 s after the change of the pattern
    pub fn changed_fraction(&self) -> f64 {
        self.changed.1 as f64 / self.changed.0.max(1) as f64
    }
}

struct SizeCall {
    arrived_at: SimTime,
    work_ms: f64,
    part: usize,
    objective_ms: f64,
    has_waited: bool,
}

struct SizeRun {
    fleet: ScaledFleet,
    calls: Vec<SizeCall>,
    /// Calls to be sent, by time in microseconds
    due: BinaryHeap<Reverse<(u64, usize)>>,
    meter: DemandMeter,
    plan: FleetPlan,
    base: Instant,
    rng: ChaCha8Rng,
    report: SizeReport,
}

/// Simulates a policy under a pattern of demand
pub fn run(policy: SizePolicy, pattern: DemandPattern, seed: u64) -> SizeReport {
    let rule = ScalingRule {
        min: 1,
        max: MAX_ENGINES,
        startup: STARTUP,
        preemptible_price: Some(PREEMPTIBLE_PRICE),
        zone_prices: PRICES.into_iter().map(|(zone, price)| (zone.into(), price)).collect(),
    };
    let mut run = SizeRun {
        fleet: ScaledFleet::new(rule, REGULAR),
        calls: Vec::new(),
        due: BinaryHeap::new(),
        meter: DemandMeter::default(),
        plan: FleetPlan::default(),
        base: Instant::now(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        report: SizeReport::default(),
    };
    run.draw_calls(pattern);
    let steps = (END_AT / STEP_MS) as usize;
    for step in 0..steps {
        let now = step as f64 * STEP_MS;
        let before = (now - STEP_MS).max(0.0);
        if pattern == DemandPattern::Loss && (before..now).contains(&CHANGE_AT) {
            run.fleet.take_away(now);
        }
        run.advance(now);
        while run.due.peek().is_some_and(|it| it.0.0 as f64 <= now * 1000.0) {
            let Some(Reverse((_, call))) = run.due.pop() else { break };
            run.send(call, now);
        }
        if step.is_multiple_of(SAMPLE_STEPS) {
            run.sample(pattern, now);
        }
        if step.is_multiple_of(DECISION_STEPS) {
            run.decide(policy, now);
        }
    }
    run.report.price = run.fleet.price(END_AT);
    run.report.orders = run.fleet.orders;
    run.report
}

impl SizeRun {
    fn draw_calls(&mut self, pattern: DemandPattern) {
        let most = 2.5;
        let interval = Exp::new(RATE * most / 1000.0).expect("a positive rate");
        let mean = WORK_MS.ln() - WORK_SPREAD * WORK_SPREAD / 2.0;
        let work = LogNormal::new(mean, WORK_SPREAD).expect("a spread");
        let mut at = TRAFFIC_AT;
        // Calls at the very end would not be answered before it.
        while at < END_AT - 1000.0 {
            if self.rng.random_bool((pattern.factor(at) / most).min(1.0)) {
                let objective = OBJECTIVES_MS.choose(&mut self.rng);
                let call = SizeCall {
                    arrived_at: at,
                    work_ms: work.sample(&mut self.rng),
                    part: self.rng.random_range(0..COMMON_PARTS),
                    objective_ms: *objective.expect("not empty"),
                    has_waited: false,
                };
                self.due.push(Reverse(((at * 1000.0) as u64, self.calls.len())));
                self.calls.push(call);
            }
            at += interval.sample(&mut self.rng);
        }
        self.report.asked = self.calls.len();
        let is_changed = |it: &&SizeCall| is_after_change(it.arrived_at);
        self.report.changed.0 = self.calls.iter().filter(is_changed).count();
    }

    fn send(&mut self, index: usize, now: SimTime) {
        let call = &self.calls[index];
        if !call.has_waited {
            self.meter.record_asked();
        }
        let ready = self.fleet.engines.iter_mut().filter(|it| it.state.is_ready);
        let sampled = ready.choose_multiple(&mut self.rng, SAMPLED_ENGINES);
        let expected = |it: &&mut ScaledEngine| it.expected_ms(call.work_ms, call.part, now).0;
        let best =
            sampled.into_iter().min_by(|one, other| expected(one).total_cmp(&expected(other)));
        let waited = now - call.arrived_at;
        let fits = |it: &f64| *it <= call.objective_ms || call.has_waited && waited + it <= 2000.0;
        match best.filter(|it| fits(&expected(it))) {
            Some(engine) => {
                engine.send(index, call.work_ms, call.part, now);
            }
            None => self.refuse(index, now),
        }
    }

    fn refuse(&mut self, index: usize, now: SimTime) {
        let call = &mut self.calls[index];
        if call.has_waited {
            self.report.refused += 1;
            return;
        }
        self.meter.record_refused();
        call.has_waited = true;
        let at = now + RETRY_MS.0 + self.rng.random_range(0.0..RETRY_MS.1);
        self.due.push(Reverse(((at * 1000.0) as u64, index)));
    }

    fn advance(&mut self, now: SimTime) {
        let (read, lost) = self.fleet.advance(now);
        for prompt in read {
            let call = &self.calls[prompt.call];
            let took = Duration::from_secs_f64((prompt.read_at - prompt.sent_at) / 1000.0);
            self.meter.record_read((prompt.work_ms * 100.0) as u64, took);
            if prompt.read_at - call.arrived_at <= call.objective_ms {
                self.report.in_time += 1;
                self.report.changed.1 += usize::from(is_after_change(call.arrived_at));
            }
        }
        for prompt in lost {
            self.due.push(Reverse(((now * 1000.0) as u64, prompt.call)));
        }
    }

    fn sample(&mut self, pattern: DemandPattern, now: SimTime) {
        let queued = self.fleet.engines.iter().flat_map(|it| &it.queue);
        let (mut sample, generating) = (DemandSample::default(), GENERATING * pattern.factor(now));
        for prompt in queued {
            sample.unread_ms += prompt.work_ms;
            sample.requests += 1.0;
        }
        sample.requests += generating;
        let is_busy = |it: &&ScaledEngine| !it.queue.is_empty();
        sample.busy = self.fleet.engines.iter().filter(is_busy).count() as f64;
        let at = self.at(now);
        self.meter.record(sample, at);
    }

    fn decide(&mut self, policy: SizePolicy, now: SimTime) {
        let at = self.at(now);
        let engines = self.fleet.listed(now);
        let demand = match policy {
            SizePolicy::Fixed => return,
            SizePolicy::Reactive => self.meter.current(),
            SizePolicy::Planned => self.meter.peak(),
        };
        let rule = self.fleet.rule.clone();
        let inputs = FleetInputs {
            engines: &engines,
            rule: &rule,
            demand,
            measured_for: self.meter.measured_for(at),
            idle_for: self.meter.idle_for(at),
            decoder_speed: 0.5,
            hears_others: true,
        };
        let orders = match policy {
            SizePolicy::Planned => self.plan.decide(&inputs, at).orders,
            _ => reactive_orders(&inputs),
        };
        for order in orders {
            let outcome = self.fleet.order(&order, now);
            self.plan.record_outcome(&order.subject, outcome, at);
        }
    }

    fn at(&self, now: SimTime) -> Instant {
        self.base + Duration::from_secs_f64(now / 1000.0)
    }
}

/// Whether a request arrived within 10 s after the change of the pattern
fn is_after_change(arrived_at: SimTime) -> bool {
    (CHANGE_AT..CHANGE_AT + 10_000.0).contains(&arrived_at)
}

/// Prints a table of all policies and patterns; `TARGET_USE` is that of the decision
pub fn compare(seeds: u64) {
    println!("target use {TARGET_USE}");
    println!("pattern   policy    asked  in_time  after_change  refused  price  orders");
    for pattern in DemandPattern::ALL {
        for policy in SizePolicy::ALL {
            let reports = (0..seeds).map(|it| run(policy, pattern, it)).collect::<Vec<_>>();
            let mean = |value: fn(&SizeReport) -> f64| {
                reports.iter().map(value).sum::<f64>() / reports.len().max(1) as f64
            };
            println!(
                "{:9} {:8} {:6.0}  {:7.4}  {:12.4}  {:7.4}  {:5.0}  {:6.0}",
                pattern.name(),
                policy.name(),
                mean(|it| it.asked as f64),
                mean(SizeReport::in_time_fraction),
                mean(SizeReport::changed_fraction),
                mean(|it| it.refused as f64 / it.asked.max(1) as f64),
                mean(|it| it.price),
                mean(|it| it.orders as f64),
            );
        }
    }
}
