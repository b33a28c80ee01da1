//! Log line and metrics of a request.

use crate::state::Gateway;
use crate::stop::{SendMark, StopStage};
use catalogue::id::{CustomerName, EndpointId, InstanceId};
use log::Level;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Outcome of a request that a planned stop ends
const CUT_BY_STOP: &str = "cut_by_stop";

/// Writes the log line and metrics of a request; if dropped unfinished, the client has disconnected or the
/// instance has stopped
pub struct RequestRecord {
    gateway: Rc<Gateway>,
    id: SmolStr,
    /// Time of arrival
    pub arrived_at: Instant,
    is_finished: bool,
    first_byte_after: Option<Duration>,
    /// Whether an endpoint may have run it
    pub sent: SendMark,
    /// Name of the route; empty until one matches
    pub route: SmolStr,
    /// Name of the customer; empty until one is found
    pub customer: CustomerName,
    /// Endpoint that answered; empty until then
    pub endpoint: EndpointId,
    /// Instance that relays the request to this one, and the one that this one relays it to; mostly empty
    pub relayed_by: InstanceId,
    pub relayed_to: InstanceId,
}

impl RequestRecord {
    /// Record of a request that has arrived
    pub fn new(gateway: Rc<Gateway>, id: SmolStr, arrived_at: Instant) -> RequestRecord {
        let route = SmolStr::default();
        let endpoint = EndpointId::default();
        RequestRecord {
            gateway,
            id,
            arrived_at,
            is_finished: false,
            first_byte_after: None,
            sent: SendMark::default(),
            route,
            customer: CustomerName::default(),
            endpoint,
            relayed_by: InstanceId::default(),
            relayed_to: InstanceId::default(),
        }
    }

    /// Records the first byte of the answer
    pub fn first_byte(&mut self) {
        let after = self.arrived_at.elapsed();
        self.first_byte_after = Some(after);
        self.gateway.metrics.first_byte(&self.route, after.as_secs_f64());
    }

    /// Logs and counts the outcome
    pub fn finish(&mut self, outcome: &'static str, detail: &str) {
        self.is_finished = true;
        let took = self.arrived_at.elapsed();
        let config = self.gateway.config.borrow().as_ref().map_or(0, |it| it.version);
        // Warnings are exempt from the limit on lines.
        let level = if outcome == CUT_BY_STOP { Level::Warn } else { Level::Info };
        log::log!(
            level,
            "event=done id={} route={} customer={} outcome={outcome} detail={detail} endpoint={} relayed_by={} relayed_to={} first_ms={} took_ms={} config={config}",
            self.id,
            self.route,
            self.customer,
            self.endpoint,
            self.relayed_by,
            self.relayed_to,
            self.first_byte_after.unwrap_or(took).as_millis(),
            took.as_millis(),
        );
        self.gateway.metrics.answered(&self.route, outcome);
        self.gateway.metrics.whole_answer(&self.route, took.as_secs_f64());
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if !self.is_finished {
            if self.gateway.stop.has_reached(StopStage::Answering) {
                let detail = if self.sent.may_have_run() { "may_have_run" } else { "not_run" };
                self.finish(CUT_BY_STOP, detail);
            } else {
                self.finish("client_left", "");
            }
        }
    }
}
