//! `ANY /services/{entry}/{path...}`: calls of plain services.
//!
//! A failed call of an idempotent entry is retried on another endpoint. Calls that
//! may run only once are handled by `once_calls`.

use crate::access::{caller_key, find_entry};
use crate::answer::{AnswerResponse, set_ran, whole_body};
use crate::body::{HeldBody, read_body};
use crate::context::InstanceContext;
use crate::meters::MeterPermit;
use crate::once_calls::call_once;
use crate::pool::{EndpointPool, EndpointUse};
use crate::refusal::{CallerRefusal, FieldProblem, RanState, RefusalCause};
use crate::route::{RouteLine, log_route};
use catalogue::id::{EndpointId, EntryName, RequestId};
use catalogue::{CatalogueEntry, EndpointKind};
use decide::choice::{ChoiceRequest, ServingStage};
use decide::endpoint::SentWork;
use decide::retry::backoff;
use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use platform::http::{HttpError, REQUEST_ID_HEADER};
use platform::service::{ServiceAnswer, ServiceRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of endpoints tried per call.
const MAX_ATTEMPTS: u32 = 3;
/// Fraction of the time left that an attempt gets if a retry may follow.
const ATTEMPT_FRACTION: f64 = 0.5;
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that apply to one connection or to this system and are not forwarded.
const UNFORWARDED_HEADERS: [HeaderName; 11] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Call of a plain service
#[derive(Debug)]
pub struct ServiceCall {
    /// Request id
    pub id: RequestId,
    pub entry: Arc<CatalogueEntry>,
    pub pool: Arc<EndpointPool>,
    /// Request to forward
    pub request: ServiceRequest,
    pub deadline: Instant,
    pub arrived: Instant,
    pub permits: ServicePermits,
}

/// Permits held until a service call ends
#[derive(Debug)]
pub struct ServicePermits {
    /// Permit under the entry's limits
    pub meter: MeterPermit,
    /// Memory reserved for the body
    pub body: crate::body::BodyReservation,
}

/// Answers a service call
///
/// # Errors
/// The refusal to send to the caller.
pub async fn call_service(
    context: &Arc<InstanceContext>,
    entry: EntryName,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<AnswerResponse, CallerRefusal> {
    let call = prepare(context, entry, request, id).await?;
    if call.entry.idempotent {
        return call_idempotent(context, call).await;
    }
    call_once(context, call).await
}

async fn prepare(
    context: &InstanceContext,
    name: EntryName,
    request: Request<Incoming>,
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
fn service_path(request: &Request<Incoming>, name: &str) -> String {
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

/// Refusal of a call for which no endpoint is available
pub fn no_endpoint() -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::NoEndpoint).retry_after(RETRY_AFTER)
}

async fn call_idempotent(
    context: &InstanceContext,
    call: ServiceCall,
) -> Result<AnswerResponse, CallerRefusal> {
    call.pool.earn_retry();
    let mut excluded = call.pool.excluded_for(&call.entry);
    let mut ran = RanState::No;
    for attempt in 1..=MAX_ATTEMPTS {
        let Some((endpoint, address, _use)) = call.choose(&excluded, attempt) else {
            break;
        };
        let time = call.attempt_time(attempt)?;
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

impl ServiceCall {
    /// Time left until the deadline
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Chooses an endpoint, counts the call on it and logs the decision
    pub fn choose(
        &self,
        excluded: &[EndpointId],
        attempt: u32,
    ) -> Option<(EndpointId, SocketAddr, EndpointUse)> {
        let class = self.entry.class;
        let request = ChoiceRequest {
            class,
            stage: ServingStage::Service,
            zone: Default::default(),
            prompt_tokens: 0,
            output_tokens: 0,
            pieces: Vec::new(),
            excluded: excluded.to_vec(),
            is_suspect: false,
            prompt_share: None,
        };
        let work = SentWork { class, prompt_tokens: 0, output_tokens: 0 };
        let (chosen, endpoint_use) = self.pool.choose(&request, work)?;
        log_route(&RouteLine {
            request: &self.id,
            entry: &self.entry.name,
            stage: ServingStage::Service,
            attempt,
            chosen: &chosen,
        });
        Some((chosen.id, chosen.address, endpoint_use))
    }

    fn attempt_time(&self, attempt: u32) -> Result<Duration, CallerRefusal> {
        let left = self.time_left();
        if left.is_zero() {
            return Err(CallerRefusal::unknown(RefusalCause::DeadlinePassed));
        }
        Ok(if attempt < MAX_ATTEMPTS { left.mul_f64(ATTEMPT_FRACTION) } else { left })
    }

    /// Logs a failed attempt
    pub fn log_failure(&self, endpoint: &str, error: &HttpError, attempt: u32) {
        log::info!(
            "event=attempt_failed request={} endpoint={endpoint} reason=\"{error}\" \
             attempt={attempt}",
            self.id
        );
    }

    /// Logs and times a service's answer and converts it to the caller's response
    pub fn respond(&self, context: &InstanceContext, answer: ServiceAnswer) -> AnswerResponse {
        let total = self.arrived.elapsed();
        context.metrics.time_class("answer", self.entry.class, total);
        log::info!(
            "event=answered request={} entry={} class={} status={} total_ms={}",
            self.id,
            self.entry.name,
            self.entry.class.name(),
            answer.status.as_u16(),
            total.as_millis()
        );
        let mut response = Response::new(whole_body(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        for name in &UNFORWARDED_HEADERS {
            response.headers_mut().remove(name);
        }
        set_ran(&mut response, RanState::Yes);
        response
    }
}
