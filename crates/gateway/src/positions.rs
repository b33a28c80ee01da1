//! Positions up to which the topics of the store were read, and the era that they belong to.
//!
//! Every answer of the store and every update from another instance passes
//! `observe_era`. It is the only place that voids positions when the store has come back
//! from a copy.

use crate::state::Gateway;
use decide::serving::store_era::{EraChange, StoreEra, TopicPosition};
use platform_adapter::store::{ENDPOINT_TOPIC, INSTANCE_TOPIC, OPERATOR_TOPIC};
use std::cell::Cell;
use std::time::Instant;

impl Gateway {
    /// Records the era of an answer or an update
    ///
    /// A new era voids all positions, and every topic is read again.
    pub fn observe_era(&self, seen: Option<StoreEra>) -> EraChange {
        let change = self.store_era.borrow_mut().observe(seen, Instant::now());
        let EraChange::Returned { from } = change else { return change };
        let era = self.store_era.borrow().era();
        self.metrics.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
        if let Some(from) = from {
            log::warn!(
                "event=store_era from={from} to={era} reread={OPERATOR_TOPIC},{ENDPOINT_TOPIC},{INSTANCE_TOPIC}"
            );
            self.metrics.store_returns.inc();
            self.era_changes.send_replace(era);
        }
        self.duties.observe_era(era);
        self.endpoints.borrow_mut().start_era();
        self.endpoint_update.take();
        for (read_to, coverage) in [
            (&self.config_read_to, &self.config_coverage),
            (&self.endpoints_read_to, &self.endpoints_coverage),
        ] {
            if read_to.take().is_some() {
                coverage.record_missed();
            }
        }
        change
    }

    /// Position of the next read of the configuration; `None` if it has to be read in full
    pub fn config_position(&self) -> Option<TopicPosition> {
        self.config_read_to.get()
    }

    /// Records that the configuration was read up to a position; void if it is of an earlier era
    pub fn record_config_read(&self, to: TopicPosition) {
        self.advance(&self.config_read_to, to);
    }

    /// Position of the next read of the endpoints; `None` if they have to be read in full
    pub fn endpoints_position(&self) -> Option<TopicPosition> {
        self.endpoints_read_to.get()
    }

    /// Records that the endpoints were read up to a position; void if it is of an earlier era
    pub fn record_endpoints_read(&self, to: TopicPosition) {
        self.advance(&self.endpoints_read_to, to);
    }

    fn advance(&self, read_to: &Cell<Option<TopicPosition>>, to: TopicPosition) {
        if self.store_era.borrow().is_current(&to) {
            // An update from another instance may have arrived during a read and be newer.
            read_to.set(read_to.get().max(Some(to)));
        }
    }

    /// Has the configuration read in full, since its history is gone
    pub fn void_config_position(&self) {
        self.config_read_to.set(None);
    }

    /// Has the endpoints read in full, since their history is gone
    pub fn void_endpoints_position(&self) {
        self.endpoints_read_to.set(None);
    }
}
