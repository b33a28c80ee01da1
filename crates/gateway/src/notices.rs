//! Records the notices in endpoints' answers and applies them to requests.

use crate::forward::ServingCall;
use crate::peers::ServingUpdate;
use crate::state::Gateway;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::{AnswerTime, PauseStep};
use platform_adapter::answer::AnswerHead;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

impl Gateway {
    /// Whether an endpoint accepts requests by the notices that this instance has received
    pub fn accepts(&self, endpoint: &ListedEndpoint) -> bool {
        self.notices.borrow().accepts(endpoint, Instant::now())
    }

    /// Records the notices in an answer of an endpoint
    pub fn record_notices(&self, endpoint: &ListedEndpoint, head: &AnswerHead) {
        let list = self.endpoints.borrow();
        // Another endpoint may have taken over the address.
        let sender = match &head.endpoint {
            Some(id) if *id != endpoint.id => list.get(id),
            _ => Some(endpoint),
        };
        let Some(sender) = sender.filter(|it| it.address == endpoint.address) else { return };
        let mut notices = self.notices.borrow_mut();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        let time = AnswerTime { at: Instant::now(), unix_ms };
        if head.is_leaving && notices.record_leaving(sender, time) {
            log::info!("event=endpoint_leaves endpoint={} source=own", sender.id);
            let leaving = vec![(sender.id.clone(), sender.started_at_ms)];
            let update = ServingUpdate { leaving, ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
        if let Some(pause) = head.pause {
            notices.record_pause(sender, pause, rand::random(), time);
            log::info!(
                "event=endpoint_sheds endpoint={} pause_ms={}",
                sender.id,
                pause.as_millis()
            );
        }
    }

    /// What to do with a request if the endpoints of its pool are paused
    pub fn pause_step(&self, call: &ServingCall) -> Option<PauseStep> {
        let now = Instant::now();
        let list = self.endpoints.borrow();
        let pool = list.ready(now).filter(|it| it.pool == call.pool).collect::<Vec<_>>();
        self.notices.borrow().pause_step(
            &pool,
            |it| call.excluded.contains(&it.id),
            call.arrived_at.elapsed(),
            call.route.objective,
            now,
        )
    }
}
