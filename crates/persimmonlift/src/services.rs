//! `ANY /services/{entry}/{path...}`: calls of plain services.
//!
//! A failed call of an idempotent entry is retried on another endpoint. Calls that
//! may run only once are handled by `once_calls`.

use crate::access::{caller_key, find_entry};
use crate::answer::AnswerResponse;
use crate::body::{HeldBody, read_body};
use crate::context::InstanceContext;
use crate::once_calls::call_once;
use crate::refusal::{CallerRefusal, FieldProblem, RanState, RefusalCause};
use crate::service_call::{
    MAX_ATTEMPTS, RETRY_AFTER, ServiceCall, ServicePermits, UNFORWARDED_HEADERS, no_endpoint,
};
use crate::stop::SendMark;
use catalogue::EndpointKind;
use catalogue::id::{EntryName, RequestId};
use decide::retry::backoff;
use http::header::HeaderValue;
use http::{HeaderMap, Request};
use platform::framing::MeteredBody;
use platform::http::REQUEST_ID_HEADER;
use platform::service::ServiceRequest;
use std::sync::Arc;
use std::time::Instant;

/// Answers a service call
///
/// # Errors
/// The refusal to send to the caller.
pub async fn call_service(
    context: &Arc<InstanceContext>,
    entry: EntryName,
    request: Request<MeteredBody>,
    id: RequestId,
    sent: &SendMark,
) -> Result<AnswerResponse, CallerRefusal> {
    let call = prepare(context, entry, request, id).await?;
    if call.entry.idempotent {
        return call_idempotent(context, call, sent).await;
    }
    call_once(context, call, sent).await
}

async fn prepare(
    context: &InstanceContext,
    name: EntryName,
    request: Request<MeteredBody>,
    id: RequestId,
) -> Result<ServiceCall, CallerRefusal> {
    let arrived = Instant::now();
    let key = caller_key(request.headers())?;
    let entry = find_entry(&context.catalogue.view(), &key, &name)?.entry.clone();
    if entry.endpoint_kind() != EndpointKind::Service {
        return Err(CallerRefusal::field("entry", FieldProblem::Form));
    }
    let (method, path) = (request.method().clone(), service_path(&request, &name));
    let headers = forwarded_headers(request.headers(), &id);
    let HeldBody { bytes, reservation } = read_body(context, request).await?;
    let pool = context.registry.pool(&entry.pool).ok_or_else(no_endpoint)?;
    let meter = context.meters.try_start(&entry, context.registry.instance_count(), 0)?;
    Ok(ServiceCall {
        id,
        deadline: arrived + entry.limits.deadline(),
        entry,
        pool,
        request: ServiceRequest { method, path, headers, body: bytes },
        arrived,
        permits: ServicePermits { meter, body: reservation },
    })
}

/// Path after the entry's name, with the query
fn service_path(request: &Request<MeteredBody>, name: &str) -> String {
    let prefix = "/services/".len() + name.len();
    let rest = request.uri().path().get(prefix..).filter(|it| !it.is_empty()).unwrap_or("/");
    match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    }
}

fn forwarded_headers(headers: &HeaderMap, id: &RequestId) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &UNFORWARDED_HEADERS {
        forwarded.remove(name);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        forwarded.insert(REQUEST_ID_HEADER, value);
    }
    forwarded
}

async fn call_idempotent(
    context: &InstanceContext,
    call: ServiceCall,
    sent: &SendMark,
) -> Result<AnswerResponse, CallerRefusal> {
    call.pool.earn_retry();
    let mut excluded = call.pool.excluded_for(&call.entry);
    let mut ran = RanState::No;
    for attempt in 1..=MAX_ATTEMPTS {
        let Some((endpoint, address, _use)) = call.choose(&excluded, attempt) else {
            break;
        };
        let time = call.attempt_time(attempt)?;
        sent.record_send();
        let error = match context.services.call(address, call.request.clone(), time).await {
            Ok(answer) => return Ok(call.respond(context, answer)),
            Err(error) => error,
        };
        call.log_failure(&endpoint, &error, attempt);
        call.pool.pause(&endpoint);
        if !error.is_unsent() {
            ran = RanState::Unknown;
            if !call.pool.spend_retry() {
                break;
            }
        }
        excluded.push(endpoint);
        let pause = backoff(attempt, &mut rand::rng());
        tokio::time::sleep(pause).await;
    }
    let cause = match ran {
        RanState::No => RefusalCause::NoEndpoint,
        _ => RefusalCause::EndpointsFailed,
    };
    Err(CallerRefusal { cause, ran, retry_after: Some(RETRY_AFTER) })
}
