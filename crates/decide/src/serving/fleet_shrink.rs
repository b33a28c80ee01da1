//! Engines that one step of shrinking may give up.

use super::engine_orders::OrderSubject;
use super::fleet_inputs::FleetInputs;
use super::fleet_spread::{FleetSpread, remaining};
use indexmap::IndexMap;

/// Fraction of the engines that one step gives up at most, so that most prompts stay cached.
pub const SHRINK_FRACTION: f64 = 1.0 / 3.0;
/// Engines that one step may still give up
pub struct ShrinkStep {
    needed: u32,
    needed_total: u32,
    /// Least number of engines of a zone
    zone_min: u32,
    left: u32,
    answering: FleetSpread,
    decoders: IndexMap<OrderSubject, u32>,
    needed_decoders: u32,
}

impl ShrinkStep {
    /// Step from the engines that answer now
    pub fn new(needed: u32, needed_total: u32, inputs: &FleetInputs<'_>) -> ShrinkStep {
        let mut step = ShrinkStep {
            needed,
            needed_total,
            zone_min: inputs.rule.min,
            left: 0,
            answering: FleetSpread::new(),
            decoders: IndexMap::new(),
            needed_decoders: inputs.needed_decoders(),
        };
        for engine in inputs.engines.iter().filter(|it| it.counts()) {
            let count = step.answering.entry(engine.zone.clone()).or_default();
            match engine.is_preemptible {
                true => count.preemptible += 1,
                false => count.regular += 1,
            }
            *step.decoders.entry(engine.subject()).or_default() += u32::from(engine.is_decoder);
        }
        let answering = step.answering.values().map(|it| it.total()).sum::<u32>();
        step.left = (f64::from(answering) * SHRINK_FRACTION).max(1.0) as u32;
        step
    }

    /// Takes an engine of a subject if the others suffice; the platform chooses which one, so a decoder is assumed
    pub fn try_take(&mut self, subject: &OrderSubject) -> bool {
        let Some(count) = self.answering.get_mut(&subject.zone) else { return false };
        let is_least = count.total() <= self.zone_min;
        let kind = if subject.is_preemptible { &mut count.preemptible } else { &mut count.regular };
        if self.left == 0 || *kind == 0 || is_least {
            return false;
        }
        *kind -= 1;
        let decoders = self.decoders.entry(subject.clone()).or_default();
        let before = *decoders;
        *decoders = before.saturating_sub(1);
        let has_decoders = self.decoders.values().sum::<u32>() >= self.needed_decoders;
        let total = self.answering.values().map(|it| it.total()).sum::<u32>();
        let suffices = remaining(self.answering.values().copied()) >= self.needed;
        if suffices && total >= self.needed_total && has_decoders {
            self.left -= 1;
            return true;
        }
        self.decoders[subject] = before;
        let count = &mut self.answering[&subject.zone];
        *(if subject.is_preemptible { &mut count.preemptible } else { &mut count.regular }) += 1;
        false
    }
}
