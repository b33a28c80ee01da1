//! Incarnations that engines have stated themselves, see `incarnation_check`.

use catalogue::id::EndpointId;
use decide::serving::config_age::BootTime;
use decide::serving::endpoint_list::{IncarnationStart, ListedEndpoint};
use indexmap::IndexMap;
use std::cell::RefCell;
use std::time::Duration;

/// Time for which a statement holds; an engine that ends takes seconds to come back.
const CHECK_LIFETIME: Duration = Duration::from_millis(500);

/// Incarnations that engines have stated, with the times of the answers
#[derive(Debug, Default)]
pub struct CheckedIncarnations(RefCell<IndexMap<EndpointId, (IncarnationStart, BootTime)>>);

impl CheckedIncarnations {
    /// Whether an engine has lately stated the listed start
    pub fn is_checked(&self, engine: &ListedEndpoint, now: BootTime) -> bool {
        let checked = self.0.borrow();
        checked.get(&engine.id).is_some_and(|(started_at_ms, at)| {
            *started_at_ms == engine.started_at_ms && now.saturating_sub(*at) < CHECK_LIFETIME
        })
    }

    /// Records that an engine states the listed start
    pub fn record(&self, engine: &ListedEndpoint, now: BootTime) {
        let mut checked = self.0.borrow_mut();
        checked.retain(|_, (_, at)| now.saturating_sub(*at) < CHECK_LIFETIME);
        checked.insert(engine.id.clone(), (engine.started_at_ms, now));
    }
}
