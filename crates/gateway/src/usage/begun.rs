//! Notes which requests have begun to run, each once, in the request path.

use super::mark::ServiceSend;
use crate::attempt::SendError;
use crate::boot_clock::boot_time;
use crate::connections::ExchangeError;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::send_history::RunStatus;
use std::time::Duration;

impl ServingCall {
    /// Whether it is to be counted once it begins to run
    ///
    /// A stream that its client takes up was counted when it began.
    fn may_count(&self) -> bool {
        self.gateway.usage.is_some()
            && self.customer.is_some()
            && self.last_event.is_none()
            && !self.usage.is_counted()
    }

    fn count(&self, boot: Duration) {
        if let (Some(usage), Some(customer)) = (&self.gateway.usage, &self.customer) {
            self.usage.record_counted();
            usage.note(customer.name.clone(), boot);
        }
    }

    /// Counts a stream whose first event has arrived
    pub fn count_stream(&self) {
        if self.may_count() {
            self.count(boot_time());
        }
    }

    /// Records the send of a request to a plain service; of two copies at once, the first one that is sent
    pub fn record_service_send(&self, gateway: &Gateway, endpoint: &ListedEndpoint) {
        let has_other_copy = self.running.borrow().is_some() || self.hedge.borrow().is_some();
        if has_other_copy && self.usage.send.get().is_some() {
            return;
        }
        if !self.route.is_stream && self.may_count() {
            let requests = gateway.load.borrow().total_at(&endpoint.id).requests;
            let had_slot = endpoint.slots == 0 || requests <= endpoint.slots;
            self.usage.send.set(Some(ServiceSend { sent_at: boot_time(), had_slot }));
        }
    }

    /// Counts a request that a plain service has answered, whatever the answer
    pub fn count_answer(&self) {
        let Some(send) = self.usage.send.take().filter(|_| self.may_count()) else { return };
        let Some(usage) = &self.gateway.usage else { return };
        let now = boot_time();
        let begun_at = {
            let mut work_times = usage.work_times.borrow_mut();
            let work_time = work_times.entry(self.route.name.clone()).or_default();
            if send.had_slot {
                work_time.record(now.saturating_sub(send.sent_at));
            }
            work_time.begin(send.sent_at, now, send.had_slot)
        };
        self.count(begun_at);
    }

    /// Counts a request whose send has failed if the service has probably begun to work on it
    pub fn count_failure(&self, error: &SendError) {
        let has_begun = match error {
            // Usually the service closed the connection before the request arrived.
            SendError::Exchange(ExchangeError::Stale(_)) => false,
            // Another endpoint's answer, or one to another request.
            SendError::Mismatched => false,
            other => other.run_status() == RunStatus::MayHaveRun,
        };
        // The other copy of a hedged request may still have begun.
        if has_begun {
            self.count_send(self.usage.send.take());
        }
    }

    /// Counts a request before it is relayed though a silent service may work on it
    pub fn count_silent_send(&self) {
        self.count_send(self.usage.send.take());
    }

    /// Counts a request whose client has left while a service worked on it
    pub fn count_abandoned(&self) {
        self.count_send(self.usage.send.take());
    }

    fn count_send(&self, send: Option<ServiceSend>) {
        if let Some(send) = send.filter(|_| self.may_count()) {
            self.count(send.sent_at);
        }
    }
}
