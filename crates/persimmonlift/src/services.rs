//! `ANY /services/{entry}/{path...}`: calls of plain services.
//!
//! A call of an idempotent entry that fails is tried on another endpoint; a call
//! that may run only once goes by `once_calls`.

use crate::access::{caller_key, find_entry};
use crate::answer::{AnswerResponse, set_ran, whole_body};
use crate::body::{HeldBody, read_body};
use crate::context::NodeContext;
use crate::meters::MeterPass;
use crate::once_calls::call_once;
use crate::pool::{EndpointPool, EndpointUse};
use crate::refusal::{CallerRefusal, FieldProblem, RanState, RefusalCause};
use crate::route::{RouteLine, log_route};
use catalogue::id::{EndpointId, EntryName, RequestId};
use catalogue::{CatalogueEntry, EndpointKind};
use decide::choice::{ChoiceRequest, ServingPart};
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

/// Most endpoints tried for one call.
const MAX_ATTEMPTS: u32 = 3;
/// Part of the time left that an attempt gets while another may follow.
const ATTEMPT_PART: f64 = 0.5;
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that belong to one connection or to this system and are not passed on.
const OWN_HEADERS: [HeaderName; 11] = [
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

/// Call of a service
#[derive(Debug)]
pub struct ServiceCall {
    /// Request id
    pub id: RequestId,
    /// Entry
    pub entry: Arc<CatalogueEntry>,
    /// Its pool
    pub pool: Arc<EndpointPool>,
    /// What to send
    pub request: ServiceRequest,
    /// When the answer is due
    pub deadline: Instant,
    /// When it came
    pub arrived: Instant,
    /// Places held until it ends
    pub places: ServicePlaces,
}

/// Places that a service call holds until it ends
#[derive(Debug)]
pub struct ServicePlaces {
    /// Place in the entry's limits
    pub meter: MeterPass,
    /// Room of the body
    pub room: crate::body::BodyRoom,
}

/// Answers a service call
///
/// # Errors
/// The refusal to answer.
pub async fn call_service(
    context: &Arc<NodeContext>,
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
    context: &NodeContext,
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
    let headers = passed_headers(request.headers(), &id);
    let HeldBody { bytes, room } = read_body(context, request).await?;
    let pool = context.registry.pool(&entry.pool).ok_or_else(no_endpoint)?;
    let meter = context.meters.start(&entry, context.registry.instance_count(), 0)?;
    Ok(ServiceCall {
        id,
        deadline: arrived + entry.limits.deadline(),
        entry,
        pool,
        request: ServiceRequest { method, path, headers, body: bytes },
        arrived,
        places: ServicePlaces { meter, room },
    })
}

/// Path behind the entry's name, with its query
fn service_path(request: &Request<Incoming>, name: &str) -> String {
    let prefix = "/services/".len() + name.len();
    let rest = request.uri().path().get(prefix..).filter(|it| !it.is_empty()).unwrap_or("/");
    match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    }
}

fn passed_headers(headers: &HeaderMap, id: &RequestId) -> HeaderMap {
    let mut passed = headers.clone();
    for name in &OWN_HEADERS {
        passed.remove(name);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        passed.insert(REQUEST_ID_HEADER, value);
    }
    passed
}

/// Refusal of a call for which there is no endpoint
pub fn no_endpoint() -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::NoEndpoint).retry_after(RETRY_AFTER)
}

async fn call_idempotent(
    context: &NodeContext,
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
            Ok(answer) => return Ok(call.answered(context, answer)),
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
    /// Time left
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Chooses an endpoint and logs the decision
    pub fn choose(
        &self,
        excluded: &[EndpointId],
        attempt: u32,
    ) -> Option<(EndpointId, SocketAddr, EndpointUse)> {
        let class = self.entry.class;
        let request = ChoiceRequest {
            class,
            part: ServingPart::Service,
            zone: Default::default(),
            prompt_tokens: 0,
            output_tokens: 0,
            pieces: Vec::new(),
            excluded: excluded.to_vec(),
            suspect: false,
            prompt_share: None,
        };
        let work = SentWork { class, prompt_tokens: 0, output_tokens: 0 };
        let (chosen, endpoint_use) = self.pool.choose(&request, work)?;
        log_route(&RouteLine {
            request: &self.id,
            entry: &self.entry.name,
            part: ServingPart::Service,
            attempt,
            chosen: &chosen,
        });
        Some((chosen.id, chosen.address, endpoint_use))
    }

    fn attempt_time(&self, attempt: u32) -> Result<Duration, CallerRefusal> {
        let left = self.left();
        if left.is_zero() {
            return Err(CallerRefusal::unknown(RefusalCause::DeadlinePassed));
        }
        Ok(if attempt < MAX_ATTEMPTS { left.mul_f64(ATTEMPT_PART) } else { left })
    }

    /// Logs a failed attempt
    pub fn log_failure(&self, endpoint: &str, error: &HttpError, attempt: u32) {
        log::info!(
            "event=attempt_failed request={} endpoint={endpoint} reason=\"{error}\" \
             attempt={attempt}",
            self.id
        );
    }

    /// Answer to give back, logged and counted
    pub fn answered(&self, context: &NodeContext, answer: ServiceAnswer) -> AnswerResponse {
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
        for name in &OWN_HEADERS {
            response.headers_mut().remove(name);
        }
        set_ran(&mut response, RanState::Yes);
        response
    }
}
