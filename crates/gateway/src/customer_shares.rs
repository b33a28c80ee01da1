//! Holds customers to their shares of a pool while it has too little capacity.
//!
//! Only requests that belong to customers are counted. A relayed request counts at the
//! instance that its caller reached, and a stream that its client takes up was let in before.

use crate::body::AnswerBody;
use crate::request_record::RequestRecord;
use crate::serving_call::{Refusal, ServingCall};
use crate::state::Gateway;
use catalogue::id::{CustomerName, PoolName};
use decide::serving::customer_share::{CustomerShares, RequestRate, ShareDecision, ShareOutcome};
use http::Response;
use indexmap::IndexMap;
use platform_adapter::answer::GatewayAnswer;
use std::time::{Duration, Instant};

/// Reason of a refusal of a request beyond its customer's share
pub const BEYOND_SHARE: &str = "beyond_share";
/// Shortest `Retry-After` of such a refusal. An overload lasts longer than a short one would allow for, and each
/// return counts as demand again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Jitter added to `MIN_RETRY_AFTER`.
const RETRY_JITTER: Duration = Duration::from_millis(400);

/// Reasons of refusals for lack of capacity. Endpoints decline what exceeds theirs, until retries have no budget.
const CAPACITY_REASONS: [&str; 5] = ["full", "no_endpoint", "paused", "declined", "no_budget"];

/// Result of serving a request
type ServeResult = Result<Response<AnswerBody>, (Refusal, RequestRecord)>;

impl Gateway {
    /// Counts a request in its customer's demand; the refusal if it is beyond the customer's share
    pub fn share_refusal(&self, call: &ServingCall) -> Option<Refusal> {
        let customer = &counted_customer(call)?;
        let now = Instant::now();
        let mut pools = self.customer_shares.borrow_mut();
        let shares = pools.entry(call.pool.clone()).or_insert_with(|| CustomerShares::new(now));
        let was_limiting = shares.is_limiting();
        let decision = shares.decide(customer, rand::random(), now);
        if shares.is_limiting() != was_limiting {
            let change = if was_limiting { "shares_lifted" } else { "shares_in_force" };
            log::info!("event={change} pool={}", call.pool);
            let limiting = pools.values().filter(|it| it.is_limiting()).count();
            self.metrics.pools_sharing.set(i64::try_from(limiting).unwrap_or(i64::MAX));
        }
        let ShareDecision::Refuse { demand, share } = decision else { return None };
        log::info!(
            "event=beyond_share id={} customer={customer} pool={} demand={demand:.1} share={share:.1}",
            call.request.id,
            call.pool,
        );
        self.metrics.share_refused(&call.pool);
        let retry_after = Some(MIN_RETRY_AFTER + RETRY_JITTER.mul_f64(rand::random::<f64>()));
        Some(Refusal { answer: GatewayAnswer::NotRun, reason: BEYOND_SHARE, retry_after })
    }

    /// Pool in whose shares the outcome of a request counts
    pub fn shared_pool(&self, call: &ServingCall) -> Option<PoolName> {
        counted_customer(call).map(|_| call.pool.clone())
    }

    /// Records what became of a request that was let in
    pub fn record_share_outcome(&self, pool: &PoolName, result: &ServeResult) {
        let outcome = match result {
            Ok(response) if !response.status().is_server_error() => ShareOutcome::Served,
            Err((refusal, _)) if is_for_capacity(refusal) => ShareOutcome::Refused,
            _ => return,
        };
        if let Some(shares) = self.customer_shares.borrow_mut().get_mut(pool) {
            shares.record_outcome(outcome, Instant::now());
        }
    }

    /// Sets the demand of customers on a pool at the other instances, which counts for 2 s
    pub fn set_others_demand(&self, pool: &PoolName, rates: IndexMap<CustomerName, RequestRate>) {
        let now = Instant::now();
        let mut pools = self.customer_shares.borrow_mut();
        let shares = pools.entry(pool.clone()).or_insert_with(|| CustomerShares::new(now));
        shares.set_others(rates, now);
    }

    /// Demand of customers here by pool, for the other instances
    pub fn own_demand(&self) -> IndexMap<PoolName, IndexMap<CustomerName, RequestRate>> {
        let now = Instant::now();
        let mut pools = self.customer_shares.borrow_mut();
        pools.iter_mut().map(|(pool, it)| (pool.clone(), it.own_demand(now))).collect()
    }
}

/// Customer in whose demand a request counts
fn counted_customer(call: &ServingCall) -> Option<CustomerName> {
    let is_counted = !call.is_relayed && call.last_event.is_none();
    call.customer.as_ref().filter(|_| is_counted).map(|it| it.name.clone())
}

/// Whether a request was refused since no endpoint had capacity for it
pub fn is_for_capacity(refusal: &Refusal) -> bool {
    refusal.answer == GatewayAnswer::NotRun && CAPACITY_REASONS.contains(&refusal.reason)
}
