//! Calls that may run only once.
//!
//! The instance first claims the caller's key in the log, then dispatches the call
//! once. The call runs in a task of its own, so its outcome is recorded even if the
//! caller disconnects.

use crate::answer::{AnswerResponse, set_ran, whole_body};
use crate::context::InstanceContext;
use crate::refusal::{CallerRefusal, FieldProblem, RanState, RefusalCause};
use crate::service_call::{ServiceCall, no_endpoint};
use crate::stop::SendMark;
use catalogue::id::IdempotencyKey;
use coordination::once::{
    ClaimDecision, ClaimPermit, ExecutionState, OnceError, OnceOutcome, OnceRequest, parse_key,
};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use platform::service::{ServiceAnswer, ServiceRequest};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use state::claims::{KeyFault, RecordedAnswer, RequestDigest, Resolution};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Fraction of the time left within which a claimed call must be dispatched.
const DISPATCH_FRACTION: f64 = 0.5;
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that are recorded with an answer.
const RECORDED_HEADERS: [HeaderName; 3] =
    [http::header::CONTENT_TYPE, http::header::LOCATION, http::header::ETAG];

/// Answers a call that may run only once
///
/// # Errors
/// The refusal to send to the caller.
pub async fn call_once(
    context: &Arc<InstanceContext>,
    call: ServiceCall,
    sent: &SendMark,
) -> Result<AnswerResponse, CallerRefusal> {
    let header = call.request.headers.get(KEY_HEADER);
    let text = header.map(|it| it.to_str().unwrap_or_default());
    let key = parse_key(text).map_err(once_refusal)?;
    let in_flight = context.status.count_in_flight();
    // From here on it runs without the caller.
    sent.record_send();
    let context = context.clone();
    let running = tokio::spawn(async move {
        let answer = claim_and_run(&context, call, key).await;
        drop(in_flight);
        answer
    });
    let unknown = CallerRefusal::unknown(RefusalCause::OnceUnknown);
    running.await.unwrap_or(Err(unknown))
}

async fn claim_and_run(
    context: &InstanceContext,
    call: ServiceCall,
    key: IdempotencyKey,
) -> Result<AnswerResponse, CallerRefusal> {
    let request = OnceRequest {
        key,
        digest: digest(&call.request),
        entry: call.entry.name.clone(),
        deadline: Instant::now() + call.time_left().mul_f64(DISPATCH_FRACTION),
    };
    let begin = context.once.begin(request).await;
    log_begin(&call, key, &begin);
    match begin.map_err(once_refusal)? {
        ClaimDecision::Run(permit) => dispatch(context, call, permit).await,
        ClaimDecision::Answered(answer) => Ok(recorded_response(answer)),
        ClaimDecision::InProgress => {
            let refusal = CallerRefusal::unknown(RefusalCause::OnceInProgress);
            Err(refusal.retry_after(RETRY_AFTER))
        }
        ClaimDecision::Unknown => Err(CallerRefusal::unknown(RefusalCause::OnceUnknown)),
        ClaimDecision::Resolved(resolution) => Err(resolved_refusal(resolution)),
        ClaimDecision::Mismatch => Err(CallerRefusal::not_run(RefusalCause::OnceMismatch)),
    }
}

fn log_begin(call: &ServiceCall, key: IdempotencyKey, begin: &Result<ClaimDecision, OnceError>) {
    let result = match begin {
        Ok(ClaimDecision::Run(_)) => "run",
        Ok(ClaimDecision::Answered(_)) => "answered",
        Ok(ClaimDecision::InProgress) => "in_progress",
        Ok(ClaimDecision::Unknown) => "unknown",
        Ok(ClaimDecision::Resolved(_)) => "resolved",
        Ok(ClaimDecision::Mismatch) => "mismatch",
        Err(_) => "refused",
    };
    log::info!("event=claim request={} key={key} verdict={result}", call.id);
}

/// Dispatches a claimed call
///
/// Tries the next endpoint only while no byte of the request has been sent.
async fn dispatch(
    context: &InstanceContext,
    call: ServiceCall,
    permit: ClaimPermit,
) -> Result<AnswerResponse, CallerRefusal> {
    let mut excluded = call.pool.excluded_for(&call.entry);
    let mut attempt = 0;
    loop {
        attempt += 1;
        let Some((endpoint, address, _use)) = call.choose(&excluded, attempt) else {
            permit.release().await;
            return Err(no_endpoint());
        };
        if !permit.start_dispatch(Instant::now()) {
            permit.release().await;
            return Err(CallerRefusal::not_run(RefusalCause::DeadlinePassed));
        }
        let sent =
            context.once_services.call(address, call.request.clone(), call.time_left()).await;
        match sent {
            Ok(answer) => return Ok(finish(context, &call, permit, answer).await),
            Err(error) if error.is_unsent() => {
                permit.undo_dispatch();
                call.log_failure(&endpoint, &error, attempt);
                call.pool.pause(&endpoint);
                excluded.push(endpoint);
            }
            Err(error) => {
                call.log_failure(&endpoint, &error, attempt);
                permit.finish(OnceOutcome::Unknown).await;
                return Err(CallerRefusal::unknown(RefusalCause::OnceUnknown));
            }
        }
    }
}

async fn finish(
    context: &InstanceContext,
    call: &ServiceCall,
    permit: ClaimPermit,
    answer: ServiceAnswer,
) -> AnswerResponse {
    let record = RecordedAnswer::bounded(
        answer.status.as_u16(),
        recorded_headers(&answer),
        answer.body.to_vec(),
    );
    permit.finish(OnceOutcome::Answered(record)).await;
    call.respond(context, answer)
}

fn recorded_headers(answer: &ServiceAnswer) -> Vec<(SmolStr, SmolStr)> {
    let mut headers = Vec::new();
    for name in &RECORDED_HEADERS {
        if let Some(value) = answer.headers.get(name).and_then(|it| it.to_str().ok()) {
            headers.push((SmolStr::new(name.as_str()), SmolStr::new(value)));
        }
    }
    headers
}

/// Response from a recorded answer; an answer too large to record has an empty body
fn recorded_response(answer: RecordedAnswer) -> AnswerResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = Response::new(whole_body(answer.body));
    *response.status_mut() = status;
    for (name, value) in answer.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
    set_ran(&mut response, RanState::Yes);
    response
}

fn resolved_refusal(resolution: Resolution) -> CallerRefusal {
    let ran = match resolution {
        Resolution::Ran => RanState::Yes,
        Resolution::NotRun => RanState::No,
    };
    CallerRefusal { cause: RefusalCause::OnceResolved(resolution), ran, retry_after: None }
}

fn once_refusal(error: OnceError) -> CallerRefusal {
    let ran = match error.ran() {
        ExecutionState::No => RanState::No,
        ExecutionState::Unknown => RanState::Unknown,
    };
    let field = |problem| RefusalCause::Field { field: "Idempotency-Key", problem };
    let (cause, retry_after) = match error {
        OnceError::KeyMissing => (field(FieldProblem::Missing), None),
        OnceError::Key(KeyFault::Form) => (field(FieldProblem::Form), None),
        OnceError::Key(KeyFault::Future) => (field(FieldProblem::Future), None),
        OnceError::Key(KeyFault::TooOld) => (RefusalCause::OnceTooOld, None),
        OnceError::Unconfirmed(_) => (RefusalCause::OnceUnclaimed, Some(RETRY_AFTER)),
    };
    CallerRefusal { cause, ran, retry_after }
}

/// SHA-256 of method, path and body, each preceded by its length
fn digest(request: &ServiceRequest) -> RequestDigest {
    let mut hasher = Sha256::new();
    let parts = [request.method.as_str().as_bytes(), request.path.as_bytes(), &request.body];
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
