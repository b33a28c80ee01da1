//! What is known of the engines of a pool and of the demand for them.
//!
//! Engines that are listed but don't answer count as present, since the platform counts
//! them, but not as capacity.

use super::engine_orders::OrderSubject;
use super::fleet_demand::{EngineDemand, PEAK_TIME};
use super::fleet_spread::ZoneCount;
use super::route::ScalingRule;
use catalogue::id::{EndpointId, ZoneName};
use indexmap::IndexSet;
use std::time::Duration;

/// Use of the engines to plan for at the peak. An engine that is busy half of the time, chosen as the better of two,
/// makes 1 of 100 requests wait for more than two prompts; and a burst of 1.8 stays below 1 while more engines start.
pub const TARGET_USE: f64 = 0.5;
/// Share of the time in which an engine has a prompt to read that counts as use in any case. Learned times per token are
/// too low while all prompts are equally long; the rest of the share is the way there and back.
const MIN_BUSY_SHARE: f64 = 0.6;
/// Fraction of refused requests from which the engines count as too few, whatever their measured use.
const MAX_REFUSED: f64 = 0.02;
/// Bound on what refusals add to the measured need: refusals for another reason must not fill the zones.
const MAX_REFUSED_FACTOR: f64 = 2.0;
/// Time without requests from which a pool counts as unused; before that, demand is expected to return.
const UNUSED_TIME: Duration = Duration::from_secs(60);
/// Time without requests from which there is no evidence of a lower need.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Range of the speed at which an engine that decodes reads prompts, relative to one that only reads.
const READ_SPEED_RANGE: (f64, f64) = (0.25, 1.0);
/// Engine of a pool as the list and its answers show it
#[derive(Debug, Clone, PartialEq)]
pub struct EngineState {
    pub id: EndpointId,
    pub zone: ZoneName,
    pub is_preemptible: bool,
    /// Whether it generates
    pub is_decoder: bool,
    pub slots: u32,
    /// Whether it is listed as accepting requests
    pub is_ready: bool,
    /// Whether it answers
    pub answers: bool,
    /// Whether the platform has announced when it takes the engine away
    pub is_taken_away: bool,
}

impl EngineState {
    /// What an order for such engines is for
    pub fn subject(&self) -> OrderSubject {
        OrderSubject { zone: self.zone.clone(), is_preemptible: self.is_preemptible }
    }

    /// Whether it counts as capacity
    pub fn counts(&self) -> bool {
        self.is_ready && self.answers
    }
}

/// What is known when the number of engines is decided
#[derive(Debug, Clone)]
pub struct FleetInputs<'a> {
    pub engines: &'a [EngineState],
    pub rule: &'a ScalingRule,
    /// Highest demand lately
    pub demand: EngineDemand,
    /// Time for which demand has been measured
    pub measured_for: Duration,
    /// Time since the last request in flight; `None` if there has been none
    pub idle_for: Option<Duration>,
    /// Speed at which engines that decode read prompts, relative to those that only read
    pub decoder_speed: f64,
    /// Whether the work of the other instances is known
    pub hears_others: bool,
}

impl FleetInputs<'_> {
    /// Engines that the highest demand needs at `TARGET_USE`
    pub fn measured(&self) -> u32 {
        let counted = self.engines.iter().filter(|it| it.counts()).collect::<Vec<_>>();
        let answering = counted.len() as f64;
        let speed = self.decoder_speed.clamp(READ_SPEED_RANGE.0, READ_SPEED_RANGE.1);
        let read_ms: f64 =
            counted.iter().map(|it| 1000.0 * if it.is_decoder { speed } else { 1.0 }).sum();
        let read_use = self.demand.read_ms_per_s / read_ms.max(1.0);
        let in_use = read_use.max(self.demand.requests / self.decoder_slots().max(1.0));
        let in_use = (answering * in_use).max(self.demand.busy * MIN_BUSY_SHARE);
        let by_use = in_use / TARGET_USE;
        let refused = self.demand.refused;
        let needed = if refused > MAX_REFUSED {
            let more = (by_use / (1.0 - refused)).max(answering * (1.0 + refused));
            more.min(by_use * MAX_REFUSED_FACTOR).max(by_use)
        } else {
            by_use
        };
        needed.ceil() as u32
    }

    fn decoder_slots(&self) -> f64 {
        let decoders = self.engines.iter().filter(|it| it.counts() && it.is_decoder);
        decoders.map(|it| f64::from(it.slots)).sum()
    }

    /// Engines that must decode
    pub fn needed_decoders(&self) -> u32 {
        let decoders = self.engines.iter().filter(|it| it.counts() && it.is_decoder).count();
        let in_use = self.demand.requests / self.decoder_slots().max(1.0);
        ((decoders as f64 * in_use / TARGET_USE).ceil() as u32).max(1)
    }

    /// Whether a lower demand has been measured for long enough
    pub fn shows_low_demand(&self) -> bool {
        let is_unused = self.idle_for.unwrap_or(self.measured_for) >= UNUSED_TIME;
        let is_in_use = self.idle_for.is_some_and(|it| it < IDLE_TIME);
        self.hears_others && self.measured_for >= PEAK_TIME && (is_unused || is_in_use)
    }

    /// Number that as many engines as now stand for, with the share of a zone as the margin
    pub fn present_need(&self) -> u32 {
        let zones = self.zones().len().max(1);
        let share =
            if self.rule.preemptible_price.is_some() && zones > 1 { zones - 1 } else { zones };
        self.present_total() * u32::try_from(share).unwrap_or(1) / u32::try_from(zones).unwrap_or(1)
    }

    /// Engines that are listed as ready
    pub fn present_total(&self) -> u32 {
        u32::try_from(self.engines.iter().filter(|it| it.is_ready).count()).unwrap_or(u32::MAX)
    }

    /// Regular engines that are listed as ready
    pub fn present_regular(&self) -> u32 {
        let regular = self.engines.iter().filter(|it| it.is_ready && !it.is_preemptible);
        u32::try_from(regular.count()).unwrap_or(u32::MAX)
    }

    /// Zones in which engines are or may be ordered
    pub fn zones(&self) -> IndexSet<ZoneName> {
        let listed = self.engines.iter().filter(|it| it.is_ready).map(|it| &it.zone);
        self.rule.zone_prices.keys().chain(listed).cloned().collect()
    }

    /// Engines of a subject that are listed as ready
    pub fn present_of(&self, subject: &OrderSubject) -> u32 {
        let count = self.present(&subject.zone);
        if subject.is_preemptible { count.preemptible } else { count.regular }
    }

    /// Engines of a zone that are listed as ready
    pub fn present(&self, zone: &ZoneName) -> ZoneCount {
        let mut count = ZoneCount::default();
        for engine in self.engines.iter().filter(|it| it.is_ready && it.zone == *zone) {
            match engine.is_preemptible {
                true => count.preemptible += 1,
                false => count.regular += 1,
            }
        }
        count
    }

    /// Price of an engine-second of a subject
    pub fn price(&self, subject: &OrderSubject) -> f64 {
        let price = self.rule.zone_prices.get(&subject.zone).copied().unwrap_or(1.0);
        let kind =
            if subject.is_preemptible { self.rule.preemptible_price.unwrap_or(1.0) } else { 1.0 };
        price * kind
    }
}
