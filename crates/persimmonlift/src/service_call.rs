//! Calls of plain services, whether they may run once or again.

use crate::answer::{AnswerResponse, set_ran, whole_body};
use crate::context::InstanceContext;
use crate::meters::MeterPermit;
use crate::pool::{EndpointPool, EndpointUse};
use crate::refusal::{CallerRefusal, RanState, RefusalCause};
use crate::route::{RouteLine, log_route};
use catalogue::CatalogueEntry;
use catalogue::id::{EndpointId, RequestId};
use decide::choice::{ChoiceRequest, ServingStage};
use decide::endpoint::SentWork;
use http::Response;
use http::header::{self, HeaderName};
use platform::http::HttpError;
use platform::service::{ServiceAnswer, ServiceRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `Retry-After` of a refusal for lack of endpoints.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that apply to one connection or to this system and are not forwarded.
pub const UNFORWARDED_HEADERS: [HeaderName; 11] = [
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
/// Maximum number of endpoints tried per call.
pub const MAX_ATTEMPTS: u32 = 3;
/// Fraction of the time left that an attempt gets if a retry may follow.
const ATTEMPT_FRACTION: f64 = 0.5;

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

    /// Time for an attempt, less than what is left if another may follow
    pub fn attempt_time(&self, attempt: u32) -> Result<Duration, CallerRefusal> {
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

/// Refusal of a call for which no endpoint is available
pub fn no_endpoint() -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::NoEndpoint).retry_after(RETRY_AFTER)
}
