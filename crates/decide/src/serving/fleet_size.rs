//! Number of engines of a pool by zone and kind.
//!
//! The number follows the highest demand of the last 20 s. It rises at once and falls in
//! steps. A number that is needed must remain if any one zone loses all its preemptible
//! engines. Engines are only given up while those that answer now suffice without them, so
//! regular engines stay until preemptible ones have replaced them. Engines that are listed
//! but don't answer don't count; if most don't, the view of this instance is at fault and
//! nothing is ordered.

use super::engine_orders::{EngineOrder, OrderBook, OrderOutcome, OrderSubject};
use super::fleet_inputs::{EngineState, FleetInputs};
use super::fleet_shrink::ShrinkStep;
use super::fleet_spread::{FleetSpread, SpreadBounds, ZoneOffer, least, spread, subjects};
use super::route::ScalingRule;
use catalogue::id::EndpointId;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Fraction of the number in force above which a lower need changes nothing.
const KEPT_FRACTION: f64 = 0.85;
/// Fraction to which the number falls at once, and time between two such steps.
const FALL_FRACTION: f64 = 0.75;
const FALL_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two steps that give up engines.
pub const SHRINK_INTERVAL: Duration = Duration::from_secs(3);
/// Regular engines to keep, in different zones: preemptible ones may all leave while a zone is unreachable.
const KEPT_REGULAR: u32 = 2;
/// Regular engines to keep at most, if none of the others decodes.
const MAX_KEPT_REGULAR: u32 = 4;
/// Longest time from the announcement until engines are taken away.
const LEAVING_TIME: Duration = Duration::from_secs(4);
/// Time without an answer from which an engine is replaced; a crashed one restarts within some seconds.
const REPLACE_TIME: Duration = Duration::from_secs(6);

/// Decision on the number of engines
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetDecision {
    /// Engines that the demand needs by itself
    pub measured: u32,
    /// Engines that must remain if a zone loses its preemptible ones
    pub needed: u32,
    /// Engines that answer
    pub answering: u32,
    pub orders: Vec<EngineOrder>,
}

/// Part of the plan that the next holder needs
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRecord {
    pub needed: Option<u32>,
    /// Engines that stay until demand has been measured; 0 once it has been
    pub unmeasured: Option<u32>,
    pub kept_regular: u32,
    #[serde(default)]
    pub keeps_kinds: bool,
    pub orders: Vec<EngineOrder>,
}

/// Plan for the engines of a pool, over time
#[derive(Debug, Clone, Default)]
pub struct FleetPlan {
    orders: OrderBook,
    needed: Option<u32>,
    /// Engines that stay until demand has been measured
    unmeasured: Option<u32>,
    fallen_at: Option<Instant>,
    shrunk_at: Option<Instant>,
    kept_regular: u32,
    /// Whether the least number of a zone applies to each kind
    keeps_kinds: bool,
    silent_since: IndexMap<EndpointId, Instant>,
    leaving_since: IndexMap<EndpointId, Instant>,
}

impl FleetPlan {
    /// Goes on with the plan of an earlier holder
    pub fn resume(record: PlanRecord, now: Instant) -> FleetPlan {
        FleetPlan {
            orders: OrderBook::resume(record.orders, now),
            needed: record.needed,
            unmeasured: record.unmeasured,
            kept_regular: record.kept_regular.min(MAX_KEPT_REGULAR),
            keeps_kinds: record.keeps_kinds,
            ..FleetPlan::default()
        }
    }

    /// What the next holder needs
    pub fn record(&self) -> PlanRecord {
        let orders = self.orders.orders();
        let (needed, unmeasured) = (self.needed, self.unmeasured);
        let (kept_regular, keeps_kinds) = (self.kept_regular, self.keeps_kinds);
        PlanRecord { needed, unmeasured, kept_regular, keeps_kinds, orders }
    }

    /// Records the outcome of an order
    pub fn record_outcome(&mut self, subject: &OrderSubject, outcome: OrderOutcome, now: Instant) {
        let last = self.orders.last(subject);
        if outcome == OrderOutcome::Declined && last == Some(0) && !self.keeps_kinds {
            // Some platforms hold the least number for each kind; the next order keeps to that.
            self.keeps_kinds = true;
            self.orders.withdraw(subject);
            return;
        }
        self.orders.record_outcome(subject, outcome, now);
    }

    /// Decides which orders to give now, and records them as given
    pub fn decide(&mut self, inputs: &FleetInputs<'_>, now: Instant) -> FleetDecision {
        let ready = inputs.engines.iter().filter(|it| it.is_ready).count();
        let answering = inputs.engines.iter().filter(|it| it.counts()).count();
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        let measured = inputs.measured();
        let mut decision = FleetDecision {
            measured,
            needed: self.needed.unwrap_or_default(),
            answering: count(answering),
            orders: Vec::new(),
        };
        if answering == 0 || 2 * answering < ready {
            return decision;
        }
        self.observe(inputs, now);
        let needed = self.update_needed(measured, inputs, now);
        decision.needed = needed;
        let offers = self.offers(inputs, now);
        let target = self.target(needed, &offers, &self.bounds(inputs));
        decision.orders = self.raise(&target, inputs, now);
        decision.orders.extend(self.shrink(needed, &target, inputs, now));
        decision
    }

    /// Records what the list shows of engines that leave or don't answer
    fn observe(&mut self, inputs: &FleetInputs<'_>, now: Instant) {
        let is_leaving = |it: &&EngineState| it.is_preemptible && it.is_taken_away && !it.is_ready;
        let leaving = inputs.engines.iter().filter(is_leaving).collect::<Vec<_>>();
        self.leaving_since.retain(|id, _| leaving.iter().any(|it| it.id == *id));
        for engine in leaving {
            let since = *self.leaving_since.entry(engine.id.clone()).or_insert(now);
            let subject = engine.subject();
            // An entry that stays listed doesn't rule its zone out for good.
            let present = inputs.present_of(&subject);
            if now - since < LEAVING_TIME && !self.orders.explains_leaving(&subject, present, now) {
                self.orders.record_taken_away(&subject, now);
            }
        }
        let silent = inputs.engines.iter().filter(|it| it.is_ready && !it.answers);
        let silent = silent.map(|it| &it.id).collect::<IndexSet<_>>();
        self.silent_since.retain(|id, _| silent.contains(id));
        for id in silent {
            self.silent_since.entry(id.clone()).or_insert(now);
        }
        let regular = inputs.engines.iter().filter(|it| it.counts() && !it.is_preemptible);
        let (decoders, others): (Vec<_>, Vec<_>) = regular.partition(|it| it.is_decoder);
        self.kept_regular = self.kept_regular.max(KEPT_REGULAR);
        if decoders.is_empty() && others.len() >= self.kept_regular as usize {
            self.kept_regular = (self.kept_regular + 1).min(MAX_KEPT_REGULAR);
        }
    }

    /// Number of engines that must remain; rises at once and falls slowly
    fn update_needed(&mut self, measured: u32, inputs: &FleetInputs<'_>, now: Instant) -> u32 {
        let zones = u32::try_from(inputs.zones().len()).unwrap_or(u32::MAX);
        let most = inputs.rule.max.saturating_mul(zones);
        self.unmeasured = Some(match self.unmeasured {
            _ if inputs.shows_low_demand() => 0,
            Some(0) => 0,
            // Engines that start with the instances are listed one after the other.
            present => present.unwrap_or(inputs.present_total()).max(inputs.present_regular()),
        });
        let before = self.needed.unwrap_or_else(|| inputs.present_need());
        let lowest = (f64::from(before) * FALL_FRACTION).floor() as u32;
        let has_fallen = self.fallen_at.is_some_and(|it| now - it < FALL_INTERVAL);
        let is_lower = f64::from(measured) < f64::from(before) * KEPT_FRACTION;
        let needed = if is_lower && inputs.shows_low_demand() && !has_fallen {
            self.fallen_at = Some(now);
            measured.max(lowest)
        } else {
            before.max(measured)
        };
        let needed = needed.clamp(1, most.max(1));
        self.needed = Some(needed);
        needed
    }

    /// Spread for the number in force, with as many engines as at the start until demand has been measured
    fn target(&self, needed: u32, offers: &[ZoneOffer], bounds: &SpreadBounds) -> FleetSpread {
        let unmeasured = self.unmeasured.unwrap_or_default();
        let total = |it: u32| spread(it, offers, bounds).values().map(|it| it.total()).sum::<u32>();
        spread(least(needed, needed.max(unmeasured), |it| total(it) >= unmeasured), offers, bounds)
    }

    fn bounds(&self, inputs: &FleetInputs<'_>) -> SpreadBounds {
        let ScalingRule { min, max, preemptible_price, .. } = *inputs.rule;
        let preemptible_price = preemptible_price.unwrap_or(1.0);
        let kind_min = if self.keeps_kinds { min } else { 0 };
        SpreadBounds { min, max, kind_min, regular: self.kept_regular, preemptible_price }
    }

    fn offers(&self, inputs: &FleetInputs<'_>, now: Instant) -> Vec<ZoneOffer> {
        let has_preemptible = inputs.rule.preemptible_price.is_some();
        let offers = inputs.zones().into_iter().map(|zone| {
            let available = |is_preemptible| {
                self.orders.is_available(&OrderSubject { zone: zone.clone(), is_preemptible }, now)
            };
            ZoneOffer {
                zone: zone.clone(),
                price: inputs.rule.zone_prices.get(&zone).copied().unwrap_or(1.0),
                has_regular: available(false),
                has_preemptible: has_preemptible && available(true),
                present: inputs.present(&zone),
            }
        });
        offers.collect()
    }

    /// Orders for more engines, within the bound of each zone
    fn raise(
        &mut self,
        target: &FleetSpread,
        inputs: &FleetInputs<'_>,
        now: Instant,
    ) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        let startup = inputs.rule.startup;
        for (subject, wanted) in subjects(target) {
            let present = inputs.present_of(&subject);
            let other = OrderSubject { is_preemptible: !subject.is_preemptible, ..subject.clone() };
            let others = self.orders.expected(&other, inputs.present_of(&other), startup, now);
            let wanted = wanted + self.silent(&subject, inputs, now);
            let count = wanted.min(inputs.rule.max.saturating_sub(others));
            let is_more = count > self.orders.expected(&subject, present, startup, now);
            // Engines that were ordered and never came are no longer wanted.
            let overdue = self.orders.overdue(&subject, startup, now);
            let is_cancelled = overdue.is_some_and(|it| it > count) && count >= present;
            if (is_more || is_cancelled)
                && self.orders.is_available(&subject, now)
                && self.orders.may_order(&subject, false, now)
            {
                let order = EngineOrder { subject, count };
                self.orders.record_order(&order, is_cancelled, now);
                orders.push(order);
            }
        }
        orders
    }

    /// Engines of a subject that have not answered for a time
    fn silent(&self, subject: &OrderSubject, inputs: &FleetInputs<'_>, now: Instant) -> u32 {
        let is_silent = |it: &&EngineState| {
            let since = self.silent_since.get(&it.id);
            it.subject() == *subject && since.is_some_and(|at| now - *at >= REPLACE_TIME)
        };
        u32::try_from(inputs.engines.iter().filter(is_silent).count()).unwrap_or(u32::MAX)
    }

    /// Orders for fewer engines: a step of the dearest, as far as the others suffice
    fn shrink(
        &mut self,
        needed: u32,
        target: &FleetSpread,
        inputs: &FleetInputs<'_>,
        now: Instant,
    ) -> Vec<EngineOrder> {
        // Engines that are given up and still listed would count as capacity.
        if self.shrunk_at.is_some_and(|it| now - it < SHRINK_INTERVAL)
            || self.orders.has_open_lowering(|it| inputs.present_of(it), now)
        {
            return Vec::new();
        }
        let startup = inputs.rule.startup;
        let mut surplus = subjects(target)
            .filter_map(|(subject, wanted)| {
                let present = inputs.present_of(&subject);
                let expected = self.orders.expected(&subject, present, startup, now);
                // Some of those that were ordered are still to come; the order stands.
                let is_settled = expected == present;
                let is_allowed = is_settled && self.orders.may_order(&subject, true, now);
                (is_allowed && present > wanted).then(|| (subject, present - wanted, 0))
            })
            .collect::<Vec<_>>();
        surplus.sort_by(|one, other| inputs.price(&other.0).total_cmp(&inputs.price(&one.0)));
        let mut step = ShrinkStep::new(needed, self.unmeasured.unwrap_or_default(), inputs);
        for (subject, most, taken) in &mut surplus {
            while *taken < *most && step.try_take(subject) {
                *taken += 1;
            }
        }
        let orders = surplus.into_iter().filter(|it| it.2 > 0).map(|(subject, _, taken)| {
            let count = inputs.present_of(&subject) - taken;
            EngineOrder { subject, count }
        });
        let orders = orders.collect::<Vec<_>>();
        for order in &orders {
            self.orders.record_order(order, true, now);
            self.shrunk_at = Some(now);
        }
        orders
    }
}
