//! Sends a request to a plain service, with a second copy to another endpoint if the first one is late.
//!
//! The first head of an answer wins; the other connection is closed at once. Only the first
//! send of a request that may be repeated is hedged, and only to an endpoint with the same
//! software version.

use crate::attempt::{OpenAnswer, SendError, SendTarget, WholeAnswer, read_whole, send};
use crate::serving_call::{ServingCall, failure_name};
use crate::state::{Gateway, WorkGuard};
use catalogue::id::PoolName;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::hedge::{HedgeReason, HedgeRequest, SLOW_PENALTY_REQUESTS};
use decide::serving::pick::pick_paced;
use decide::serving::route::RetryRule;
use futures_util::future::{Either, select};
use http::StatusCode;
use platform_adapter::head::EngineStage;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Age of the newest message of any other instance up to which the others count as reached.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(2);

/// Result of a send, with or without a second copy
pub struct PlainSend {
    /// Endpoint that answered, or the last one that failed
    pub endpoint: ListedEndpoint,
    pub answer: Result<WholeAnswer, SendError>,
    /// Endpoint whose copy had failed before
    pub failed: Option<(ListedEndpoint, SendError)>,
}

/// Head of the answer that came first
struct FirstAnswer {
    endpoint: ListedEndpoint,
    answer: Result<OpenAnswer, SendError>,
    failed: Option<(ListedEndpoint, SendError)>,
}

/// Sends to an endpoint, and to another of `endpoints` if its answer is late
pub async fn send_plain(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    endpoint: &ListedEndpoint,
    endpoints: &[ListedEndpoint],
) -> PlainSend {
    let deadline = call.answer_deadline(gateway);
    let first = if gateway.is_hedged(call) {
        send_hedged(gateway, call, endpoint, endpoints, deadline).await
    } else {
        let answer = send_copy(gateway, call, endpoint, false, deadline).await;
        FirstAnswer { endpoint: endpoint.clone(), answer, failed: None }
    };
    let answer = match first.answer {
        Ok(answer) => read_whole(gateway, answer, deadline).await,
        Err(error) => Err(error),
    };
    PlainSend { endpoint: first.endpoint, answer, failed: first.failed }
}

async fn send_copy(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    endpoint: &ListedEndpoint,
    is_hedge: bool,
    deadline: Instant,
) -> Result<OpenAnswer, SendError> {
    let parameters = call.parameters(&endpoint.id, EngineStage::Whole);
    let work_guard = WorkGuard::new(gateway.clone(), endpoint.id.clone(), 0);
    let may_start = || match is_hedge {
        true => call.start_hedge(gateway, endpoint),
        false => call.start_run(gateway, endpoint, false),
    };
    let target = SendTarget {
        endpoint,
        work_guard,
        once: call.route.retry_rule == RetryRule::Once,
        expects_signature: true,
        may_start: &may_start,
    };
    send(gateway, target, &call.request, &parameters, deadline).await
}

async fn send_hedged(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    endpoint: &ListedEndpoint,
    endpoints: &[ListedEndpoint],
    deadline: Instant,
) -> FirstAnswer {
    let sent_at = Instant::now();
    let delay = gateway.start_hedged(&call.pool);
    let mut first = Box::pin(send_copy(gateway, call, endpoint, false, deadline));
    let early = match delay {
        Some(delay) => timeout(delay, first.as_mut()).await.ok(),
        None => Some(first.as_mut().await),
    };
    let target = match &early {
        Some(_) => None,
        None => gateway.hedge_target(call, endpoint, endpoints, sent_at),
    };
    let own = endpoint.clone();
    let result = match (early, target) {
        (Some(answer), _) => FirstAnswer { endpoint: own, answer, failed: None },
        (None, None) => FirstAnswer { endpoint: own, answer: first.await, failed: None },
        (None, Some(target)) => {
            let second = Box::pin(send_copy(gateway, call, &target, true, deadline));
            // The other copy is dropped, and its connection closed, before the answer is read.
            let result = match select(first, second).await {
                Either::Left((Ok(answer), _)) => {
                    FirstAnswer { endpoint: own, answer: Ok(answer), failed: None }
                }
                Either::Right((Ok(answer), _)) => {
                    FirstAnswer { endpoint: target.clone(), answer: Ok(answer), failed: None }
                }
                Either::Left((Err(error), second)) => {
                    let failed = Some((own, error));
                    FirstAnswer { endpoint: target.clone(), answer: second.await, failed }
                }
                Either::Right((Err(error), first)) => {
                    let failed = Some((target.clone(), error));
                    FirstAnswer { endpoint: own, answer: first.await, failed }
                }
            };
            gateway.end_hedge(call, &target, &result);
            result
        }
    };
    gateway.record_hedged(call, endpoint, sent_at, &result);
    result
}

impl Gateway {
    /// Whether the next send of a request may get a second copy
    fn is_hedged(&self, call: &ServingCall) -> bool {
        call.route.retry_rule == RetryRule::Retryable
            && call.history.sends == 0
            && call.route.max_attempts >= 2
            && !call.is_relayed
            && self.hedge_ratio(&call.pool) > 0.0
    }

    fn hedge_ratio(&self, pool: &PoolName) -> f64 {
        let config = self.config.borrow();
        config.as_ref().and_then(|it| it.pools.get(pool)).map_or(0.0, |it| it.hedge_ratio)
    }

    /// Requests in flight that an endpoint counts as besides its own, since it is slow
    pub fn slow_penalty(&self, call: &ServingCall, endpoint: &ListedEndpoint) -> u32 {
        let histories = self.hedges.borrow();
        let history = histories.get(&call.pool);
        let now = std::time::Instant::now();
        let is_slow = history.is_some_and(|it| it.is_slow(&endpoint.id, now));
        if is_slow { SLOW_PENALTY_REQUESTS } else { 0 }
    }

    /// Counts a request that may be hedged; returns the delay before that
    fn start_hedged(&self, pool: &PoolName) -> Option<Duration> {
        let mut histories = self.hedges.borrow_mut();
        let history = histories.entry(pool.clone()).or_default();
        history.record_request(std::time::Instant::now());
        history.delay()
    }

    /// Whether what this instance knows of endpoints and load is up to date
    fn is_current(&self) -> bool {
        let is_recent = |it: std::time::Instant| it.elapsed() <= self.settings.config_bound;
        let has_store = self.endpoints_known_at.get().is_some_and(is_recent);
        let is_alone = self.load.borrow().listed_instances() == Some(1);
        let links = self.reported_links.borrow();
        let has_others = is_alone || links.values().any(|it| it.at.elapsed() < MAX_MESSAGE_AGE);
        has_store && has_others && !self.link.is_cut()
    }

    /// Endpoint for a second copy of a request that waits at `first`; `None` if there is to be none
    fn hedge_target(
        &self,
        call: &ServingCall,
        first: &ListedEndpoint,
        endpoints: &[ListedEndpoint],
        sent_at: Instant,
    ) -> Option<ListedEndpoint> {
        let now = std::time::Instant::now();
        let fits = |it: &&ListedEndpoint| {
            it.id != first.id && it.version == first.version && self.accepts(it)
        };
        let target = {
            let (load, zone) = (self.load.borrow(), &self.settings.zone);
            let penalty = |it: &ListedEndpoint| self.slow_penalty(call, it);
            let others = endpoints.iter().filter(fits);
            pick_paced(others, &load, zone, &call.excluded, rand::random(), penalty)
        };
        let target_load = target.map(|it| (self.load.borrow().total_at(&it.id).requests, it.slots));
        let request = HedgeRequest {
            ratio: self.hedge_ratio(&call.pool),
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            is_suspected: call.is_suspected(self),
            is_current: self.is_current(),
            target_load,
            has_spare_retries: self.has_spare_retries(&call.pool, now),
        };
        let decision = {
            let mut histories = self.hedges.borrow_mut();
            histories.entry(call.pool.clone()).or_default().try_hedge(&request, now)
        };
        let decision = match decision {
            Ok(()) if !self.try_take_retry(&call.pool, now) => Err(HedgeReason::Retries),
            decision => decision,
        };
        let waited_ms = sent_at.elapsed().as_millis();
        let (id, first) = (&call.request.id, &first.id);
        match (decision, target) {
            (Ok(()), Some(target)) => {
                log::info!(
                    "event=hedge id={id} outcome=sent first={first} to={} waited_ms={waited_ms} {}",
                    target.id,
                    self.choice_inputs(),
                );
                self.metrics.hedged(&call.pool, "sent");
                Some(target.clone())
            }
            (Err(reason), _) => {
                let reason = reason.name();
                log::info!(
                    "event=hedge id={id} outcome=withheld reason={reason} first={first} waited_ms={waited_ms}"
                );
                self.metrics.hedged(&call.pool, reason);
                None
            }
            (Ok(()), None) => None,
        }
    }

    /// Records which copy has won; the endpoint of the other one may still crash on it
    fn end_hedge(&self, call: &ServingCall, target: &ListedEndpoint, result: &FirstAnswer) {
        let has_won = result.endpoint.id == target.id && result.answer.is_ok();
        let outcome = if has_won { "won" } else { "wasted" };
        log::info!("event=hedge id={} outcome={outcome} to={}", call.request.id, target.id);
        self.metrics.hedged(&call.pool, outcome);
        call.end_hedge(has_won, result.failed.is_some());
    }

    /// Records the time to the first byte, and refusals for lack of capacity
    fn record_hedged(
        &self,
        call: &ServingCall,
        first: &ListedEndpoint,
        sent_at: Instant,
        result: &FirstAnswer,
    ) {
        let now = std::time::Instant::now();
        let mut histories = self.hedges.borrow_mut();
        let Some(history) = histories.get_mut(&call.pool) else { return };
        match &result.answer {
            Ok(_) => history.record_time(&first.id, sent_at.elapsed(), now),
            Err(SendError::Declined(
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
            )) => history.record_refusal(now),
            Err(error) => log::debug!("event=hedge_untimed error={}", failure_name(error)),
        }
    }
}
