//! Simulated platform that starts, drains and takes away engines, and bills them.
//!
//! Each engine reads one prompt after the other. An engine is billed from its order until it
//! has left. The first prompt of each common part takes longer, since the part isn't cached.

use crate::SimTime;
use catalogue::id::ZoneName;
use decide::serving::engine_orders::{EngineOrder, OrderOutcome, OrderSubject};
use decide::serving::fleet_inputs::EngineState;
use decide::serving::route::ScalingRule;
use smol_str::format_smolstr;
use std::collections::VecDeque;
use std::time::Duration;

/// Time from the announcement until engines are taken away, in milliseconds; from the users' specification.
const LEAVING_MS: SimTime = 2500.0;
/// Time for which no preemptible engines are to be had after that, in milliseconds; an assumption.
const WITHHELD_MS: SimTime = 8000.0;
/// Time of a prompt at an engine that generates, relative to one that only reads; from the engine specification.
const DECODER_FACTOR: f64 = 2.0;
/// Time of a prompt whose common part isn't cached, relative to one that is: 9,200 tokens to 2,900.
const COLD_FACTOR: f64 = 9200.0 / 2900.0;
/// One engine of this many only reads prompts; 15 of 48 on the users' recorded days.
const READER_INTERVAL: usize = 3;
/// Common parts of prompts; from the users' specification.
pub const COMMON_PARTS: usize = 4;

/// Prompt at an engine
#[derive(Debug, Clone, Copy)]
pub struct QueuedPrompt {
    /// Index of the call
    pub call: usize,
    pub sent_at: SimTime,
    pub read_at: SimTime,
    /// Time at an engine that only reads, in milliseconds
    pub work_ms: f64,
}

/// Engine of the simulated platform
#[derive(Debug, Clone)]
pub struct ScaledEngine {
    pub state: EngineState,
    pub queue: VecDeque<QueuedPrompt>,
    ordered_at: SimTime,
    ready_at: SimTime,
    taken_at: Option<SimTime>,
    is_draining: bool,
    left_at: Option<SimTime>,
    cached: [bool; COMMON_PARTS],
}

impl ScaledEngine {
    fn is_gone(&self) -> bool {
        self.left_at.is_some()
    }

    /// Time until a prompt sent now is read, and its share of that
    pub fn expected_ms(&self, work_ms: f64, part: usize, now: SimTime) -> (f64, f64) {
        let stage = if self.state.is_decoder { DECODER_FACTOR } else { 1.0 };
        let cold = if self.cached[part] { 1.0 } else { COLD_FACTOR };
        let own_ms = work_ms * stage * cold;
        let wait_ms = self.queue.back().map_or(0.0, |it| (it.read_at - now).max(0.0));
        (wait_ms + own_ms, own_ms)
    }

    /// Queues a prompt; returns when it is read
    pub fn send(&mut self, call: usize, work_ms: f64, part: usize, now: SimTime) -> SimTime {
        let read_at = now + self.expected_ms(work_ms, part, now).0;
        let cold = if self.cached[part] { 1.0 } else { COLD_FACTOR };
        self.cached[part] = true;
        let prompt = QueuedPrompt { call, sent_at: now, read_at, work_ms: work_ms * cold };
        self.queue.push_back(prompt);
        read_at
    }
}

/// Simulated platform
pub struct ScaledFleet {
    pub rule: ScalingRule,
    pub engines: Vec<ScaledEngine>,
    withheld: Vec<(ZoneName, SimTime)>,
    /// Orders so far
    pub orders: usize,
}

impl ScaledFleet {
    /// Fleet with this number of regular engines in each zone
    pub fn new(rule: ScalingRule, regular: usize) -> ScaledFleet {
        let mut fleet = ScaledFleet { rule, engines: Vec::new(), withheld: Vec::new(), orders: 0 };
        let zones = fleet.rule.zone_prices.keys().cloned().collect::<Vec<_>>();
        for zone in zones {
            let subject = OrderSubject { zone, is_preemptible: false };
            for _ in 0..regular {
                fleet.add(&subject, 0.0, 0.0);
            }
        }
        fleet
    }

    fn add(&mut self, subject: &OrderSubject, now: SimTime, ready_at: SimTime) {
        let number = self.engines.len();
        let state = EngineState {
            id: format_smolstr!("e{number}"),
            zone: subject.zone.clone(),
            is_preemptible: subject.is_preemptible,
            is_decoder: !number.is_multiple_of(READER_INTERVAL),
            slots: 24,
            is_ready: ready_at <= now,
            answers: true,
            is_taken_away: false,
        };
        self.engines.push(ScaledEngine {
            state,
            queue: VecDeque::new(),
            ordered_at: now,
            ready_at,
            taken_at: None,
            is_draining: false,
            left_at: None,
            cached: [now <= 0.0; COMMON_PARTS],
        });
    }

    /// Carries out an order
    pub fn order(&mut self, order: &EngineOrder, now: SimTime) -> OrderOutcome {
        self.orders += 1;
        let subject = &order.subject;
        let present = |it: &&mut ScaledEngine| {
            !it.is_gone() && !it.is_draining && it.state.subject() == *subject
        };
        let mut current = self.engines.iter_mut().filter(present).collect::<Vec<_>>();
        let count = order.count as usize;
        // Engines that haven't started yet go first, then the newest.
        for engine in current.iter_mut().skip(count) {
            engine.is_draining = true;
            engine.state.is_ready = false;
        }
        let missing = count.saturating_sub(current.len());
        let is_withheld = subject.is_preemptible
            && self.withheld.iter().any(|(zone, until)| *zone == subject.zone && now < *until);
        if missing > 0 && is_withheld {
            return OrderOutcome::Unavailable;
        }
        let ready_at = now + milliseconds(self.rule.startup);
        for _ in 0..missing {
            self.add(subject, now, ready_at);
        }
        OrderOutcome::Accepted
    }

    /// Announces that the preemptible engines of the zone with most of them leave
    pub fn take_away(&mut self, now: SimTime) {
        let count = |zone: &ZoneName| {
            let is_of_zone = |it: &&ScaledEngine| {
                !it.is_gone() && it.state.is_preemptible && it.state.zone == *zone
            };
            self.engines.iter().filter(is_of_zone).count()
        };
        let Some(zone) = self.rule.zone_prices.keys().max_by_key(|it| count(it)).cloned() else {
            return;
        };
        let leaving = self
            .engines
            .iter_mut()
            .filter(|it| !it.is_gone() && it.state.is_preemptible && it.state.zone == zone);
        for engine in leaving {
            engine.taken_at = Some(now + LEAVING_MS);
            engine.state.is_ready = false;
            engine.state.is_taken_away = true;
        }
        self.withheld.push((zone, now + LEAVING_MS + WITHHELD_MS));
    }

    /// Advances to a time; returns the prompts that were read and those that were lost
    pub fn advance(&mut self, now: SimTime) -> (Vec<QueuedPrompt>, Vec<QueuedPrompt>) {
        let (mut read, mut lost) = (Vec::new(), Vec::new());
        for engine in self.engines.iter_mut().filter(|it| !it.is_gone()) {
            if engine.ready_at <= now && !engine.is_draining && engine.taken_at.is_none() {
                engine.state.is_ready = true;
            }
            while engine.queue.front().is_some_and(|it| it.read_at <= now) {
                read.extend(engine.queue.pop_front());
            }
            if engine.taken_at.is_some_and(|it| it <= now) {
                lost.extend(engine.queue.drain(..));
                engine.left_at = Some(now);
            } else if engine.is_draining && engine.queue.is_empty() {
                engine.left_at = Some(now);
            }
        }
        (read, lost)
    }

    /// States of the engines that are listed
    pub fn listed(&self, now: SimTime) -> Vec<EngineState> {
        let listed = self.engines.iter().filter(|it| !it.is_gone() && it.ready_at <= now);
        listed.map(|it| it.state.clone()).collect()
    }

    /// Engine-seconds by price until a time
    pub fn price(&self, end: SimTime) -> f64 {
        let prices = self.engines.iter().map(|it| {
            let kind = match it.state.is_preemptible {
                true => self.rule.preemptible_price.unwrap_or(1.0),
                false => 1.0,
            };
            let seconds = (it.left_at.unwrap_or(end) - it.ordered_at) / 1000.0;
            self.rule.zone_prices[&it.state.zone] * kind * seconds
        });
        prices.sum()
    }
}

fn milliseconds(time: Duration) -> SimTime {
    time.as_secs_f64() * 1000.0
}
