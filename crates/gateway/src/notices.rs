//! What endpoints say of themselves in their answers, and what it means for requests.

use crate::forward::ServingCall;
use crate::peers::ServingUpdate;
use crate::state::Gateway;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::{AnswerTime, PauseStep};
use platform_adapter::answer::AnswerHead;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

impl Gateway {
    /// Whether an endpoint accepts requests by what it has said to this instance
    pub fn accepts(&self, endpoint: &ListedEndpoint) -> bool {
        self.notices.borrow().accepts(endpoint, Instant::now())
    }

    /// Records what an endpoint says of itself in an answer
    pub fn record_notices(&self, endpoint: &ListedEndpoint, head: &AnswerHead) {
        let list = self.endpoints.borrow();
        // Another endpoint may have taken over the address.
        let speaker = match &head.endpoint {
            Some(id) if *id != endpoint.id => list.get(id),
            _ => Some(endpoint),
        };
        let Some(speaker) = speaker.filter(|it| it.address == endpoint.address) else { return };
        let mut notices = self.notices.borrow_mut();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        let time = AnswerTime { at: Instant::now(), unix_ms };
        if head.leaves && notices.record_leaving(speaker, time) {
            log::info!("event=endpoint_leaves endpoint={} source=own", speaker.id);
            let leaving = vec![(speaker.id.clone(), speaker.started_at_ms)];
            let update = ServingUpdate { leaving, ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
        if let Some(pause) = head.pause {
            notices.record_pause(speaker, pause, rand::random(), time);
            log::info!(
                "event=endpoint_sheds endpoint={} pause_ms={}",
                speaker.id,
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
