//! Sends a request to a plain service, with a second copy to another endpoint if the first one is late.
//!
//! The first head without a server error wins; the other connection is closed at once. Only the first
//! send of a request that may be repeated is hedged, and only to an endpoint with the same
//! software version.

use crate::attempt::{OpenAnswer, SendError, SendTarget, WholeAnswer, read_whole, send};
use crate::connections::ConnectionReuse;
use crate::copy_race::{CopyRace, OtherCopy, race};
use crate::hedges::HedgeTry;
use crate::serving_call::ServingCall;
use crate::state::{Gateway, WorkGuard};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::pick::pick_paced;
use decide::serving::route::RetryRule;
use platform_adapter::head::EngineStage;
use std::rc::Rc;
use tokio::time::{Instant, timeout};

/// Result of a send, with or without a second copy
pub struct PlainSend {
    /// Endpoint that answered, or the last one that failed
    pub endpoint: ListedEndpoint,
    pub answer: Result<WholeAnswer, SendError>,
    /// Endpoint whose copy had failed before
    pub failed: Option<(ListedEndpoint, SendError)>,
    /// Endpoint that may have run the copy that was cancelled or answered with an error
    pub abandoned: Option<ListedEndpoint>,
}

/// Head of the answer that came first
struct FirstAnswer {
    endpoint: ListedEndpoint,
    answer: Result<OpenAnswer, SendError>,
    failed: Option<(ListedEndpoint, SendError)>,
    abandoned: Option<ListedEndpoint>,
}

/// Sends to an endpoint, and to another of `endpoints` if its answer is late
pub async fn send_plain(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    endpoint: &ListedEndpoint,
    endpoints: &[ListedEndpoint],
) -> PlainSend {
    let deadline = call.answer_deadline(gateway);
    let first = if gateway.may_hedge(call, RetryRule::Retryable) {
        send_hedged(gateway, call, endpoint, endpoints, deadline).await
    } else {
        let answer = send_copy(gateway, call, endpoint, false, deadline).await;
        FirstAnswer { endpoint: endpoint.clone(), answer, failed: None, abandoned: None }
    };
    let is_error = |it: &OpenAnswer| it.head.status.is_server_error();
    let deadline = match &first.answer {
        // Waiting for the other copy may have used up the time of a send.
        Ok(answer) if is_error(answer) && first.failed.is_some() => call.deadline,
        // So may waiting for an endpoint that was the only one.
        Ok(_) if Instant::now() >= deadline => call.deadline,
        _ => deadline,
    };
    let answer = match first.answer {
        Ok(answer) => read_whole(gateway, answer, deadline).await,
        Err(error) => Err(error),
    };
    PlainSend { endpoint: first.endpoint, answer, failed: first.failed, abandoned: first.abandoned }
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
    let once = call.route.retry_rule == RetryRule::Once;
    let target = SendTarget {
        endpoint,
        work_guard,
        reuse: if once { ConnectionReuse::Never } else { ConnectionReuse::Any },
        expects_signature: true,
        may_start: &may_start,
        connect_by: deadline,
        usual: call.route.objective,
        deadline: call.deadline,
    };
    let has_alternative = || gateway.has_alternative(call, &endpoint.id);
    let given_up = call.retry_due(gateway, deadline, has_alternative);
    send(gateway, target, &call.request, &parameters, given_up).await
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
    let send_to = |to: ListedEndpoint, is_hedge| async move {
        send_copy(gateway, call, &to, is_hedge, deadline).await
    };
    let mut first = Box::pin(send_to(endpoint.clone(), false));
    let early = match delay {
        Some(delay) => timeout(delay, first.as_mut()).await.ok(),
        None => Some(first.as_mut().await),
    };
    let target = match &early {
        Some(_) => None,
        None => hedge_target(gateway, call, endpoint, endpoints, sent_at),
    };
    let own = endpoint.clone();
    let result = match (early, target) {
        (Some(answer), _) => FirstAnswer { endpoint: own, answer, failed: None, abandoned: None },
        (None, None) => {
            FirstAnswer { endpoint: own, answer: first.await, failed: None, abandoned: None }
        }
        (None, Some(target)) => {
            let second = Box::pin(send_to(target.clone(), true));
            // A cancelled copy's connection is closed before the answer is read.
            let is_usable = |it: &OpenAnswer| !it.head.status.is_server_error();
            let CopyRace { is_second, answer, other } = race(first, second, is_usable).await;
            let has_won = is_second && answer.is_ok();
            gateway.end_hedge(call, &target, has_won, !matches!(other, OtherCopy::Cancelled));
            let (endpoint, loser) = if is_second { (target, own) } else { (own, target) };
            let (failed, abandoned) = gateway.split_loser(call, loser, other);
            FirstAnswer { endpoint, answer, failed, abandoned }
        }
    };
    if result.answer.is_ok() {
        gateway.record_first_byte(&call.pool, &endpoint.id, sent_at.elapsed());
    }
    result
}

/// Endpoint for a second copy of a request that waits at `first`; `None` if there is to be none
fn hedge_target(
    gateway: &Gateway,
    call: &ServingCall,
    first: &ListedEndpoint,
    endpoints: &[ListedEndpoint],
    sent_at: Instant,
) -> Option<ListedEndpoint> {
    let fits = |it: &&ListedEndpoint| {
        it.id != first.id && it.version == first.version && gateway.accepts(it)
    };
    let target = {
        let (load, zone) = (gateway.load.borrow(), &gateway.settings.zone);
        let penalty = gateway.slow_penalties(&call.pool);
        let others = endpoints.iter().filter(fits);
        pick_paced(others, &load, zone, &call.excluded, rand::random(), penalty)
    };
    let requests = |it: &ListedEndpoint| gateway.load.borrow().total_at(&it.id).requests;
    let target = target.map(|it| (it, requests(it)));
    let hedge = HedgeTry { first: &first.id, target, waited: sent_at.elapsed(), scale: 1.0 };
    gateway.try_hedge(call, &hedge).then(|| target.map(|it| it.0.clone())).flatten()
}
