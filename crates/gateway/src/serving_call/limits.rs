//! Whether, how and until when a request may be sent.

use super::{SendWay, ServingCall};
use crate::attempt::SendError;
use crate::state::Gateway;
use crate::take_over::RelayEnd;
use catalogue::id::EndpointId;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::PauseStep;
use decide::serving::route::RetryRule;
use decide::serving::send_history::{RunStatus, SendHistory};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Failed connection attempts after which a request is refused; they count apart from sends, since
/// none of them reached an endpoint.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Time to wait for an endpoint's answer before a retry, in multiples of the route's objective. Answers
/// take half of the objective; one in a hundred takes five times as long as the others.
const ANSWER_TIMEOUT_OBJECTIVES: f64 = 3.0;
/// Time to wait for an engine's prefill, in multiples of the route's objective.
const PREFILL_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// The same in multiples of the expected time, for prompts that take longer than the objective.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Pause between two checks whether an endpoint accepts a request that waits at a silent one.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl ServingCall {
    /// Whether another send is allowed and the deadline has not passed
    pub fn may_send(&self, gateway: &Gateway) -> bool {
        self.may_send_after(gateway, &self.history)
    }

    /// The same after other sends than those that are recorded
    pub fn may_send_after(&self, gateway: &Gateway, history: &SendHistory) -> bool {
        !self.is_suspected(gateway)
            && history.may_send(self.route.retry_rule, self.route.max_attempts)
            && self.failed_connects < MAX_FAILED_CONNECTS
            && Instant::now() < self.deadline
    }

    /// How the next send goes, once the link is verified; `None` if there is to be none
    pub async fn next_way(&mut self, gateway: &Gateway) -> Option<SendWay> {
        let mut way = SendWay::Direct;
        self.crosses_cut = false;
        if !self.is_relayed {
            // The check ends sooner.
            let _ = timeout_at(self.deadline, gateway.link.settle()).await;
            if gateway.link.is_cut() {
                // Endpoints that this instance was cut off from don't count, unless that was known before the send.
                self.history.sends -= std::mem::take(&mut self.unanswered_sends);
                way = SendWay::Relay;
            }
        }
        // All instances may be cut, or most endpoints have ended: one of the others may answer.
        if way == SendWay::Relay && (self.has_declined_relay || !gateway.has_relays()) {
            way = SendWay::Direct;
            self.crosses_cut = true;
            if self.failed_connects > 0 {
                return None;
            }
        }
        // Nor do silent ones that another instance may reach.
        if way == SendWay::Relay {
            self.uncount_silent_sends();
        }
        if !self.may_send(gateway) && self.declined_sends > 0 && self.readmit_silent() {
            // Endpoints that have declined have not run it, so that a silent one may be asked again.
            self.history.sends -= std::mem::take(&mut self.declined_sends);
        }
        self.may_send(gateway).then_some(way)
    }

    /// Counts the sends to silent endpoints no more, since another instance may take the request over
    fn uncount_silent_sends(&mut self) {
        let sends = std::mem::take(&mut self.silent_sends);
        self.history.sends -= sends;
        self.relayed_silent_sends += sends;
    }

    /// Records that another instance has taken the request over from the endpoints that were silent
    pub fn record_taken_over(&mut self, gateway: &Gateway, silent: &ListedEndpoint) {
        let hedge = self.hedge.take();
        for endpoint in [Some(silent), hedge.as_ref()].into_iter().flatten() {
            self.record_failure(gateway, endpoint, &SendError::TimedOut);
        }
        self.uncount_silent_sends();
    }

    /// Records that no other instance takes it over; endpoints that were given up for that may be tried once more
    pub fn record_declined_relay(&mut self) {
        self.has_declined_relay = true;
        self.history.sends += std::mem::take(&mut self.relayed_silent_sends);
        self.readmit_silent();
    }

    /// Records how the relay beside a send to a silent endpoint has ended
    pub fn record_relay_end(&mut self, end: RelayEnd) {
        match end {
            RelayEnd::NotTried => {}
            RelayEnd::Cancelled => self.history.may_have_run = true,
            RelayEnd::Declined => self.record_declined_relay(),
        }
    }

    /// Allows one more send to the endpoints that were given up since they were silent; `false` if there are none
    pub fn readmit_silent(&mut self) -> bool {
        let silent = std::mem::take(&mut self.silent);
        self.excluded.retain(|it| !silent.contains(it));
        let is_any = !silent.is_empty();
        self.readmitted.extend(silent);
        is_any
    }

    /// Starts a send; `false` if it is a retry and the retry limits allow none
    pub fn try_start_send(&mut self, gateway: &Gateway) -> bool {
        self.sent_at = Instant::now();
        self.history.sends == 0
            || self.holds_retry.take()
            || gateway.try_take_retry(&self.pool, self.sent_at.into_std())
    }

    /// Takes the retry that the next send will be; `false` if the limits allow none
    fn try_hold_retry(&self, gateway: &Gateway) -> bool {
        let now = std::time::Instant::now();
        let holds_retry = self.holds_retry.get()
            || (gateway.has_retry(&self.pool, now) && gateway.try_take_retry(&self.pool, now));
        self.holds_retry.set(holds_retry);
        holds_retry
    }

    /// Time until which to wait for an endpoint's answer: the request's deadline, or sooner if the
    /// request may be retried elsewhere
    pub fn answer_deadline(&self, gateway: &Gateway) -> Instant {
        let mut after = self.history;
        after.record_send(RunStatus::MayHaveRun);
        let may_send = after.may_send(self.route.retry_rule, self.route.max_attempts);
        if !may_send || !gateway.has_retry(&self.pool, std::time::Instant::now()) {
            return self.deadline;
        }
        self.deadline.min(Instant::now() + self.route.objective.mul_f64(ANSWER_TIMEOUT_OBJECTIVES))
    }

    /// Time until which to wait for an engine to read the prompt, which is expected to take `expected`
    pub fn prefill_deadline(&self, expected: Duration) -> Instant {
        let limit = self.route.objective.mul_f64(PREFILL_TIMEOUT_OBJECTIVES);
        self.deadline.min(Instant::now() + limit.max(expected.mul_f64(PREFILL_TIMEOUT_FACTOR)))
    }

    /// Waits until the link has been cut for a while and the request can go on through another instance; never, if
    /// what was sent may run only `once`
    ///
    /// A silent endpoint may still answer, so a request that can't go on elsewhere waits for it.
    pub async fn relay_due(&self, gateway: &Gateway, once: bool) {
        let has_sends_left = self.history.sends < self.route.max_attempts;
        let may_relay = self.may_resume && !self.is_relayed && !self.has_declined_relay;
        if once || !may_relay || !has_sends_left {
            return std::future::pending().await;
        }
        loop {
            gateway.link.silence().await;
            if gateway.has_relays() {
                return;
            }
        }
    }

    /// Waits until a time, and on until the retry limits allow a retry and something else than the silent endpoint accepts
    /// the request, or its deadline passes
    pub async fn retry_due(
        &self,
        gateway: &Gateway,
        retry_at: Instant,
        has_alternative: impl Fn() -> bool,
    ) {
        sleep_until(retry_at).await;
        let may_retry = || has_alternative() && self.try_hold_retry(gateway);
        while Instant::now() < self.deadline && !may_retry() {
            sleep_until(self.deadline.min(Instant::now() + RETRY_CHECK_INTERVAL)).await;
        }
    }

    /// Waits for a paused endpoint if none accepts requests; `false` if the request is to be refused
    pub async fn wait_for_pause(&self, gateway: &Gateway) -> bool {
        let Some(PauseStep::Wait(pause)) = gateway.pause_step(self) else { return false };
        log::info!("event=pause_awaited id={} ms={}", self.request.id, pause.as_millis());
        sleep(pause).await;
        true
    }
}

impl Gateway {
    /// Endpoints that accept a request now, without those that it was sent to and the silent one that it waits at
    pub fn alternatives(&self, call: &ServingCall, silent: &EndpointId) -> Vec<ListedEndpoint> {
        let (running, hedge) = (call.running.borrow(), call.hedge.borrow());
        let current = [running.as_ref().map(|it| &it.endpoint), hedge.as_ref()];
        let is_current = |id: &EndpointId| {
            id == silent || current.iter().flatten().any(|current| current.id == *id)
        };
        let mut endpoints = self.usable_endpoints(call);
        endpoints.retain(|it| {
            !is_current(&it.id) && !call.excluded.contains(&it.id) && self.accepts(it)
        });
        endpoints
    }

    /// Whether another endpoint of a plain service than a silent one accepts a request now
    pub fn has_alternative(&self, call: &ServingCall, silent: &EndpointId) -> bool {
        !self.alternatives(call, silent).is_empty()
    }

    /// Endpoints that accept a request now
    pub fn ready_endpoints(&self, call: &ServingCall) -> Vec<ListedEndpoint> {
        let mut usable = self.usable_endpoints(call);
        let mut limits = self.limits.borrow_mut();
        if !limits.is_empty() {
            let now = std::time::Instant::now();
            usable.retain(|it| limits.admits(it, rand::random(), now));
        }
        usable
    }

    /// Endpoints that accept a request now, whatever their limits
    fn usable_endpoints(&self, call: &ServingCall) -> Vec<ListedEndpoint> {
        let (pool, rule) = (&call.pool, call.route.retry_rule);
        let now = std::time::Instant::now();
        let list = self.endpoints.borrow();
        let has_begun = call.origin.is_some();
        let may_run =
            |it: &&ListedEndpoint| call.fits(it) && !(has_begun && self.has_unknown_version(it));
        let endpoints = list.ready(now).filter(may_run).cloned().collect();
        let endpoints = self.notices.borrow().accepting(endpoints, now);
        let health = self.health.borrow();
        let is_readmitted =
            |it: &&ListedEndpoint| call.readmitted.contains(&it.id) && health.is_present(it);
        let readmitted = endpoints.iter().filter(is_readmitted).cloned().collect::<Vec<_>>();
        let mut usable = health.usable(endpoints, now);
        // The timeouts of this and other requests may have paused the endpoint that it goes back to.
        if usable.iter().all(|it| call.excluded.contains(&it.id)) {
            usable.extend(readmitted.into_iter().filter(|it| !call.excluded.contains(&it.id)));
        }
        if rule == RetryRule::Once {
            usable = health.reliable(usable, now);
        }
        let share = self.connection_share(pool);
        usable.retain(|it| self.connections.has_capacity(it, share));
        usable
    }
}
