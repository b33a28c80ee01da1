//! Handling of the orders that an engine receives.

use super::core::{ChangeProgress, EngineCore};
use super::record::OrderRecord;
use crate::weights::WeightStandin;
use catalogue::ModelTarget;
use platform::engine::{EngineOrder, EngineState, RefusalReason};
use std::time::Duration;
use tokio::time::Instant;

impl EngineCore {
    /// Applies an order, or refuses it if its fence is outdated or the model unknown
    ///
    /// If the target changes, work in flight is stopped.
    ///
    /// # Errors
    /// `RefusalReason::StaleFence` or `WrongModel`.
    pub(super) fn apply_order(
        &mut self,
        order: &EngineOrder,
        weights: Option<&WeightStandin>,
        now: Instant,
    ) -> Result<EngineState, RefusalReason> {
        self.finish_change(now);
        let is_stale = self.settings.checks_fence && order.fence < self.fence;
        let change = self.change_time(&order.target, weights);
        let is_unknown = change.is_none();
        let mut record = OrderRecord {
            engine: self.id.clone(),
            order: order.order,
            fence: order.fence,
            issuer: order.issuer.clone(),
            target: order.target.clone(),
            taken: !is_stale && !is_unknown,
            cut: 0,
        };
        if let Some(time) = change.filter(|_| record.taken) {
            record.cut = self.change(order, time, now);
        }
        self.orders.push(record);
        if is_stale {
            return Err(RefusalReason::StaleFence);
        }
        if is_unknown {
            return Err(RefusalReason::WrongModel);
        }
        Ok(self.state(now))
    }

    fn change(&mut self, order: &EngineOrder, time: Duration, now: Instant) -> u32 {
        self.fence = self.fence.max(order.fence);
        self.order = order.order;
        if order.target == self.target {
            return 0;
        }
        let stopped = self.batch.drain();
        let cut = stopped.len() as u32;
        for sequence in stopped {
            sequence.stop(RefusalReason::Changing);
        }
        self.cache.clear(now);
        let previous = std::mem::replace(&mut self.target, order.target.clone());
        self.changing = Some(ChangeProgress { until: now + time, previous });
        cut
    }

    /// Duration of a change to `target`; `None` if the weight store lacks the model
    fn change_time(
        &self,
        target: &ModelTarget,
        weights: Option<&WeightStandin>,
    ) -> Option<Duration> {
        if *target == self.target {
            return Some(Duration::ZERO);
        }
        let has_weights =
            target.model == self.target.model && target.version == self.target.version;
        let load = match weights {
            Some(weights) if !has_weights => weights.schedule_load(target)?,
            _ => Duration::ZERO,
        };
        Some(self.settings.change_time() + self.settings.speed.scaled(load))
    }
}
