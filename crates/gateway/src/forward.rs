//! Serves a request: decodes the head, matches a route, reads the body and sends it to endpoints.

use crate::attempt::{ClientRequest, WholeAnswer, read_whole};
use crate::body::AnswerBody;
use crate::customer_keys::{UNKNOWN_CUSTOMER, find_customer};
use crate::generation;
use crate::hedged_send::{PlainSend, send_plain};
use crate::relay::{self, DeclinedRelay, RequestSource};
use crate::request_body::{discard_body, read_body};
use crate::request_record::RequestRecord;
use crate::serving_call::{NOT_RELAYED, Refusal, SendWay, ServingCall, failure_name};
use crate::state::Gateway;
use crate::stop::{SendMark, StopStage};
use crate::take_over::{SendOutcome, is_served, send_or_relay};
use crate::usage::mark::UsageMark;
use bytes::Bytes;
use catalogue::id::InstanceId;
use decide::serving::crash_table::REFUSAL_TIME;
use decide::serving::health::SendResult;
use decide::serving::pick::{PromptProgress, pick_paced};
use decide::serving::send_history::{RunStatus, SendHistory};
use http::header::{CONNECTION, EXPECT, HeaderValue};
use http::{Request, Response};
use http_body::Body;
use platform::framing::MeteredBody;
use platform_adapter::answer::{GatewayAnswer, promises_not_run};
use platform_adapter::head::decode_head;
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Shortest `Retry-After` of a refused request; clients that retry sooner meet the same overload.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(350);
/// Jitter added to `MIN_RETRY_AFTER`.
const RETRY_JITTER: Duration = Duration::from_millis(200);
/// `Retry-After` of an instance that is still starting.
const START_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest `Retry-After` of a stopping instance: another one can serve the request at once.
const STOP_RETRY_JITTER: Duration = Duration::from_millis(100);
/// Reason of an answer that a planned stop causes
const STOPPING: &str = "stopping";

/// Serves a request and always returns a response
pub async fn serve(
    gateway: &Rc<Gateway>,
    request: Request<MeteredBody>,
    source: RequestSource,
) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let (parts, body) = request.into_parts();
    let head = match decode_head(&parts) {
        Ok(head) => head,
        Err(fault) => {
            log::info!("event=refused reason=malformed error=\"{fault}\"");
            gateway.metrics.answered(&SmolStr::default(), GatewayAnswer::Malformed.name());
            let refusal = Refusal::new(GatewayAnswer::Malformed, "malformed");
            let response = with_connection_close(gateway_answer(gateway, None, &refusal));
            return with_body_state(response, &body);
        }
    };
    let id = head.id.clone();
    let closes_connection = head.is_chunked;
    let mut has_unread_body = false;
    let mut record = RequestRecord::new(gateway.clone(), id.clone(), arrived_at);
    record.relayed_by = source.relay().cloned().unwrap_or_default();
    let sent = record.sent.clone();
    let served = async {
        match prepare_call(gateway, &mut record, parts, body, head, source).await {
            Ok(call) => match gateway.share_refusal(&call) {
                Some(refusal) => Err((refusal, record)),
                None => serve_call(gateway, call, record).await,
            },
            Err(refused) => {
                has_unread_body = refused.has_unread_body;
                Err((refused.refusal, record))
            }
        }
    };
    let result = tokio::select! {
        biased;
        result = served => result,
        () = gateway.stop.reached(StopStage::Answering) => {
            return with_unread_body(gateway_answer(gateway, Some(&id), &final_refusal(&sent)));
        }
    };
    let response = match result {
        Ok(response) => response,
        Err((refusal, mut record)) => {
            record.finish(refusal.answer.name(), refusal.reason);
            gateway_answer(gateway, Some(&id), &refusal)
        }
    };
    if has_unread_body {
        return with_unread_body(response);
    }
    // The HTTP library hides a `Content-Length` beside chunked encoding, which allows request
    // smuggling. Closing the connection ensures that nothing after the body is read.
    if closes_connection { with_connection_close(response) } else { response }
}

/// Answer to a request that a planned stop ends
fn final_refusal(sent: &SendMark) -> Refusal {
    if sent.may_have_run() {
        return Refusal::new(GatewayAnswer::TimedOut, STOPPING);
    }
    stop_refusal()
}

/// Refusal of a request that can't be expected to end before the process does
fn stop_refusal() -> Refusal {
    let retry_after = Some(STOP_RETRY_JITTER.mul_f64(rand::random::<f64>()));
    Refusal { answer: GatewayAnswer::NotRun, reason: STOPPING, retry_after }
}

/// Serves a request of whatever kind
async fn serve_call(
    gateway: &Rc<Gateway>,
    call: ServingCall,
    record: RequestRecord,
) -> Result<Response<AnswerBody>, (Refusal, RequestRecord)> {
    let shared_pool = gateway.shared_pool(&call);
    let result = match call.route.is_stream {
        true => generation::serve(gateway, call, record).await,
        false => serve_plain(gateway, call, record).await,
    };
    if let Some(pool) = shared_pool {
        gateway.record_share_outcome(&pool, &result);
    }
    result
}

fn gateway_answer(gateway: &Gateway, id: Option<&str>, refusal: &Refusal) -> Response<AnswerBody> {
    let answer = refusal.answer;
    let retry_after = match answer {
        GatewayAnswer::NotRun if refusal.retry_after.is_some() => refusal.retry_after,
        GatewayAnswer::NotRun if !gateway.is_ready() => Some(START_RETRY_AFTER),
        GatewayAnswer::Suspected => refusal.retry_after.or(Some(REFUSAL_TIME)),
        GatewayAnswer::NotRun => {
            Some(MIN_RETRY_AFTER + RETRY_JITTER.mul_f64(rand::random::<f64>()))
        }
        _ => None,
    };
    let mut response = answer.response(id, retry_after).map(|()| AnswerBody::whole(Bytes::new()));
    let is_stopping = refusal.reason == STOPPING && answer == GatewayAnswer::NotRun;
    if refusal.reason == UNKNOWN_CUSTOMER || is_stopping {
        response.extensions_mut().insert(DeclinedRelay);
    }
    response
}

fn with_connection_close(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Extension of a response to a request whose body has not been read to its end
#[derive(Debug, Clone, Copy)]
pub struct UnreadBody;

/// Marks an answer to a request whose body has not been read, unless it has none
pub fn with_body_state(response: Response<AnswerBody>, body: &MeteredBody) -> Response<AnswerBody> {
    if body.is_end_stream() { response } else { with_unread_body(response) }
}

/// Closes the connection, since the rest of the request is in it
fn with_unread_body(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.extensions_mut().insert(UnreadBody);
    with_connection_close(response)
}

/// Refusal of a request before it is sent
struct RefusedCall {
    refusal: Refusal,
    has_unread_body: bool,
}

impl RefusedCall {
    /// Refusal whose request's body has not been read
    fn before_body(answer: GatewayAnswer, reason: &'static str, body: &MeteredBody) -> RefusedCall {
        let has_unread_body = !body.is_end_stream();
        RefusedCall { refusal: Refusal::new(answer, reason), has_unread_body }
    }
}

impl From<Refusal> for RefusedCall {
    fn from(refusal: Refusal) -> RefusedCall {
        RefusedCall { refusal, has_unread_body: false }
    }
}

/// Matches the route, finds the customer, reads the body and chooses the pool
async fn prepare_call(
    gateway: &Rc<Gateway>,
    record: &mut RequestRecord,
    mut parts: http::request::Parts,
    body: MeteredBody,
    head: platform_adapter::head::RequestHead,
    source: RequestSource,
) -> Result<ServingCall, RefusedCall> {
    let arrived_at = record.arrived_at;
    let config = gateway.config.borrow().clone();
    let Some(config) = config.filter(|_| gateway.is_ready()) else {
        return Err(RefusedCall::before_body(GatewayAnswer::NotRun, "starting", &body));
    };
    let Some(route) = config.route(&head.host, parts.uri.path()) else {
        return Err(RefusedCall::before_body(GatewayAnswer::NoRoute, "no_route", &body));
    };
    record.route = route.name.clone();
    let time_left = head.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at + time_left;
    let max_body_bytes = config.limits.max_body_bytes;
    let customer = match find_customer(gateway, &config, route, &mut parts.headers, &source) {
        Ok(customer) => customer,
        Err(refusal) => {
            // A client that expects an interim answer hasn't sent its body and may never do.
            let is_discarded = !parts.headers.contains_key(EXPECT)
                && discard_body(body, max_body_bytes, deadline).await;
            return Err(RefusedCall { refusal, has_unread_body: !is_discarded });
        }
    };
    record.customer = customer.as_ref().map(|it| it.name.clone()).unwrap_or_default();
    let (body, share) = read_body(gateway, body, max_body_bytes, deadline)
        .await
        .map_err(|refusal| RefusedCall { refusal, has_unread_body: true })?;
    // Another instance can serve it whole.
    if !gateway.stop.may_serve(deadline, route.objective, route.is_stream) {
        return Err(stop_refusal().into());
    }
    let origin = match head.last_event {
        Some(_) if route.is_stream => Some(gateway.find_origin(route, &head).await?),
        _ => None,
    };
    let pool = match &origin {
        Some(origin) => origin.pool.clone(),
        None => route.target(rand::random::<f64>()).pool.clone(),
    };
    gateway.record_request(&pool, arrived_at.into_std());
    Ok(ServingCall {
        pool,
        route: route.clone(),
        customer,
        usage: UsageMark::new(source.is_counted()),
        prompt: head.prompt,
        last_event: head.last_event,
        origin,
        may_resume: true,
        is_version_known: true,
        held_version: None,
        sent_at: arrived_at,
        deadline,
        sent: record.sent.clone(),
        history: match &source {
            RequestSource::Client(_) => SendHistory::new(),
            RequestSource::Instance { sends, .. } => {
                SendHistory { sends: *sends, may_have_run: false }
            }
        },
        is_relayed: source.relay().is_some(),
        has_declined_relay: false,
        begun_by: head.begun_by,
        excluded: Vec::new(),
        progress: PromptProgress::Unread,
        has_waited: gateway.has_waited(&route.name, time_left, arrived_at.into_std()),
        arrived_at,
        part_test: None,
        running: RefCell::default(),
        gateway: gateway.clone(),
        hedge: RefCell::default(),
        failed_connects: 0,
        unanswered_sends: 0,
        crosses_cut: false,
        declined_sends: 0,
        silent: Vec::new(),
        readmitted: Vec::new(),
        silent_sends: 0,
        relayed_silent_sends: 0,
        holds_retry: Cell::default(),
        request: ClientRequest { parts, body, id: head.id, caller: source.caller(), share },
    })
}

/// Sends a plain request through another instance while its endpoint is silent; `None` if that doesn't serve it
async fn serve_elsewhere(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    history: &mut SendHistory,
    failed: &mut Option<WholeAnswer>,
) -> Option<(InstanceId, WholeAnswer)> {
    let (instance, answer) = relay::send(gateway, call, history, None).await?;
    let answer = match read_whole(gateway, answer, call.answer_deadline(gateway)).await {
        Ok(answer) if is_served(&answer) => return Some((instance, answer)),
        answer => answer,
    };
    let outcome = match &answer {
        Ok(answer) => SmolStr::new(answer.status.as_str()),
        Err(error) => SmolStr::new_static(failure_name(error)),
    };
    log::info!("event=not_taken_over id={} by={instance} outcome={outcome}", call.request.id);
    if !answer.as_ref().is_ok_and(|it| promises_not_run(it.status)) {
        call.usage.record_counted();
        history.record_send(RunStatus::MayHaveRun);
        *failed = answer.ok();
    }
    None
}

/// Serves a request to a plain service, with retries
async fn serve_plain(
    gateway: &Rc<Gateway>,
    mut call: ServingCall,
    mut record: RequestRecord,
) -> Result<Response<AnswerBody>, (Refusal, RequestRecord)> {
    let mut failed: Option<WholeAnswer> = None;
    let mut reason = "no_endpoint";
    while let Some(way) = call.next_way(gateway).await {
        if way == SendWay::Relay {
            let mut history = call.history;
            let relayed = relay::send(gateway, &call, &mut history, None).await;
            call.history = history;
            let Some((instance, answer)) = relayed else {
                reason = NOT_RELAYED;
                if call.history.may_have_run {
                    // The others reach no endpoint either, so one that is only silent may answer.
                    call.record_declined_relay();
                    continue;
                }
                break;
            };
            let deadline = call.answer_deadline(gateway);
            match read_whole(gateway, answer, deadline).await {
                // The request may still be answered by an endpoint that was only silent.
                Ok(answer) if call.history.may_have_run && promises_not_run(answer.status) => {
                    call.record_declined_relay();
                }
                Ok(answer) => {
                    record.relayed_to = instance;
                    record.finish("relayed", answer.status.as_str());
                    return Ok(call.relay_whole(answer));
                }
                Err(error) => {
                    reason = failure_name(&error);
                    call.usage.record_counted();
                    call.history.record_send(RunStatus::MayHaveRun);
                }
            }
            continue;
        }
        let endpoints = gateway.ready_endpoints(&call);
        let picked = {
            let load = gateway.load.borrow();
            let draw = rand::random();
            let penalty = gateway.slow_penalties(&call.pool);
            let (endpoints, zone) = (endpoints.iter(), &gateway.settings.zone);
            pick_paced(endpoints, &load, zone, &call.excluded, draw, penalty)
        };
        let Some(endpoint) = picked else {
            // A silent endpoint may still answer, if the others have refused the request.
            if call.wait_for_pause(gateway).await || call.readmit_silent() {
                continue;
            }
            break;
        };
        if !call.try_start_send(gateway) {
            reason = "no_budget";
            break;
        }
        log::info!(
            "event=service_picked id={} endpoint={} requests={} {}",
            call.request.id,
            endpoint.id,
            gateway.load.borrow().total_at(&endpoint.id).requests,
            gateway.choice_inputs(),
        );
        let mut history = call.history;
        let outcome = {
            let sending = send_plain(gateway, &call, endpoint, &endpoints);
            let relaying = serve_elsewhere(gateway, &call, &mut history, &mut failed);
            send_or_relay(gateway, &call, sending, relaying).await
        };
        call.history = history;
        let PlainSend { endpoint, answer, failed: lost, abandoned } = match outcome {
            SendOutcome::TakenOver((instance, answer)) => {
                call.record_taken_over(gateway, endpoint);
                record.relayed_to = instance;
                record.finish("relayed", answer.status.as_str());
                return Ok(call.relay_whole(answer));
            }
            SendOutcome::Direct { result, relay } => {
                call.record_relay_end(relay);
                result
            }
        };
        // Before the lost copy's failure, which would use up the mark of the send.
        if answer.is_ok() {
            call.count_answer();
        }
        if let Some((endpoint, error)) = lost {
            call.record_failure(gateway, &endpoint, &error);
        }
        if let Some(abandoned) = abandoned {
            call.record_abandoned(abandoned);
        }
        let endpoint = &endpoint;
        match answer {
            Ok(answer)
                if answer.status.is_server_error() && call.route.retry_rule.allows_second_run() =>
            {
                call.record_error_answer(gateway, endpoint);
                failed = Some(answer);
            }
            Ok(answer) => {
                call.end_run();
                gateway.metrics.sent(&call.pool, "answered");
                let is_error = answer.status.is_server_error();
                let result = if is_error { SendResult::Failed } else { SendResult::Answered };
                gateway.record_result(endpoint, result);
                if answer.status.is_success() {
                    call.record_completion(gateway);
                }
                record.endpoint = endpoint.id.clone();
                record.finish("answered", answer.status.as_str());
                return Ok(call.relay_whole(answer));
            }
            Err(error) => {
                reason = failure_name(&error);
                call.record_failure(gateway, endpoint, &error);
            }
        }
    }
    match failed {
        Some(answer) => {
            record.finish("answered", answer.status.as_str());
            Ok(call.relay_whole(answer))
        }
        None => Err((call.give_up(gateway, reason), record)),
    }
}
