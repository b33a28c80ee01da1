//! Glue of the decision on second copies: its inputs, metrics and log lines.

use crate::attempt::SendError;
use crate::copy_race::OtherCopy;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use catalogue::id::{EndpointId, PoolName};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::health::SendResult;
use decide::serving::hedge::{HedgeReason, HedgeRequest, SLOW_PENALTY_REQUESTS};
use decide::serving::route::RetryRule;
use std::cell::Ref;
use std::time::Duration;
use tokio::time::Instant;

/// Age of the newest message of any other instance up to which the others count as reached.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(2);

/// Second copy that is considered
pub struct HedgeTry<'a> {
    /// Endpoint that the request waits at
    pub first: &'a EndpointId,
    /// Endpoint that would get the copy, and the requests in flight there
    pub target: Option<(&'a ListedEndpoint, u32)>,
    /// Time for which the request has waited
    pub waited: Duration,
    /// Factor from real times to those of the pool's history
    pub scale: f64,
}

impl Gateway {
    /// Whether the next send of a request of this kind may get a second copy
    pub fn may_hedge(&self, call: &ServingCall, rule: RetryRule) -> bool {
        call.route.retry_rule == rule
            && call.history.sends == 0
            && call.route.max_attempts >= 2
            && !call.is_relayed
            && self.hedge_ratio(&call.pool) > 0.0
            && call.may_copy(self)
    }

    fn hedge_ratio(&self, pool: &PoolName) -> f64 {
        let config = self.config.borrow();
        config.as_ref().and_then(|it| it.pools.get(pool)).map_or(0.0, |it| it.hedge_ratio)
    }

    /// Requests in flight that each endpoint of a pool counts as besides its own, since it is slow; 0 for all
    /// without a history
    pub fn slow_penalties(&self, pool: &PoolName) -> impl Fn(&ListedEndpoint) -> u32 + '_ {
        let history = Ref::filter_map(self.hedges.borrow(), |it| it.get(pool)).ok();
        let history = history.map(|it| (it, std::time::Instant::now()));
        move |endpoint| {
            let is_slow = history.as_ref().is_some_and(|(it, now)| it.is_slow(&endpoint.id, *now));
            if is_slow { SLOW_PENALTY_REQUESTS } else { 0 }
        }
    }

    /// Counts a request that may be hedged; returns the delay before that
    pub fn start_hedged(&self, pool: &PoolName) -> Option<Duration> {
        let mut histories = self.hedges.borrow_mut();
        let history = histories.entry(pool.clone()).or_default();
        history.record_request(std::time::Instant::now());
        history.delay()
    }

    /// Whether what this instance knows of endpoints and load is up to date
    fn is_current(&self) -> bool {
        let has_store = self.endpoints_age().is_some_and(|it| it <= self.settings.config_bound);
        let is_alone = self.load.borrow().listed_instances() == Some(1);
        let links = self.reported_links.borrow();
        let has_others = is_alone || links.values().any(|it| it.at.elapsed() < MAX_MESSAGE_AGE);
        has_store && has_others && !self.link.is_cut()
    }

    /// Decides about a second copy, and takes it from the ratio and the retry window
    pub fn try_hedge(&self, call: &ServingCall, hedge: &HedgeTry<'_>) -> bool {
        let now = std::time::Instant::now();
        let time_left = call.deadline.saturating_duration_since(Instant::now());
        let request = HedgeRequest {
            ratio: self.hedge_ratio(&call.pool),
            time_left: time_left.mul_f64(hedge.scale),
            is_suspected: !call.may_copy(self),
            is_current: self.is_current(),
            target_load: hedge.target.map(|(it, requests)| (requests, it.slots)),
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
        let (outcome, reason) = match decision {
            Ok(()) => ("sent", "none"),
            Err(reason) => ("withheld", reason.name()),
        };
        log::info!(
            "event=hedge id={} outcome={outcome} reason={reason} first={} to={} waited_ms={} {}",
            call.request.id,
            hedge.first,
            hedge.target.map_or("none", |it| it.0.id.as_str()),
            hedge.waited.as_millis(),
            self.choice_inputs(),
        );
        self.metrics.hedged(&call.pool, if decision.is_ok() { outcome } else { reason });
        decision.is_ok()
    }

    /// Records which copy has won; the endpoint of the other one may still crash on it
    pub fn end_hedge(
        &self,
        call: &ServingCall,
        target: &ListedEndpoint,
        has_won: bool,
        other_has_failed: bool,
    ) {
        let outcome = if has_won { "won" } else { "wasted" };
        log::info!("event=hedge id={} outcome={outcome} to={}", call.request.id, target.id);
        self.metrics.hedged(&call.pool, outcome);
        call.end_hedge(has_won, other_has_failed);
    }

    /// Endpoint of the copy that is not chosen, with its error, or as one that may have run it
    pub fn split_loser(
        &self,
        call: &ServingCall,
        loser: ListedEndpoint,
        end: OtherCopy,
    ) -> (Option<(ListedEndpoint, SendError)>, Option<ListedEndpoint>) {
        match end {
            OtherCopy::Cancelled => (None, Some(loser)),
            OtherCopy::Failed(error) => (Some((loser, error)), None),
            OtherCopy::Answered => {
                self.metrics.sent(&call.pool, "server_error");
                self.record_result(&loser, SendResult::Failed);
                (None, Some(loser))
            }
        }
    }

    /// Records the wait for the first byte of a request that was sent to `first`
    pub fn record_first_byte(&self, pool: &PoolName, first: &EndpointId, took: Duration) {
        if let Some(history) = self.hedges.borrow_mut().get_mut(pool) {
            history.record_time(first, took, std::time::Instant::now());
        }
    }

    /// Records that a request of the pool was refused for lack of capacity, by an endpoint or this gateway
    pub fn record_overload(&self, pool: &PoolName) {
        if let Some(history) = self.hedges.borrow_mut().get_mut(pool) {
            history.record_refusal(std::time::Instant::now());
        }
    }
}
