//! The callers' port: dispatch of calls by path.

use crate::access::{callable_entries, caller_key};
use crate::answer::{AnswerResponse, json_answer, refusal_answer};
use crate::completions::complete;
use crate::context::InstanceContext;
use crate::prompt::CompletionForm;
use crate::refusal::{CallerRefusal, RefusalCause};
use crate::services::call_service;
use crate::status::CallPermits;
use crate::stop::SendMark;
use catalogue::EntryKind;
use catalogue::id::{EntryName, RequestId};
use http::header::{CONNECTION, HeaderValue};
use http::{Method, Request, StatusCode, Version};
use platform::framing::MeteredBody;
use platform::http::REQUEST_ID_HEADER;
use smol_str::ToSmolStr;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

const SERVICES: &str = "/services/";
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers one request on the callers' port
///
/// # Errors
/// Never fails.
pub async fn answer(
    context: Arc<InstanceContext>,
    request: Request<MeteredBody>,
) -> Result<AnswerResponse, Infallible> {
    let id: RequestId = uuid::Uuid::now_v7().simple().to_smolstr();
    let is_http1 = request.version() < Version::HTTP_2;
    let method = request.method().clone();
    let sent = SendMark::default();
    let outcome = tokio::select! {
        biased;
        outcome = dispatch(&context, request, id.clone(), &sent) => outcome,
        () = context.status.final_answers.begun() => Err(sent.final_refusal()),
    };
    let mut response = outcome.unwrap_or_else(|refusal| {
        log_refusal(&context, &id, &method, &refusal);
        refusal_answer(&refusal)
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    if is_http1 && context.status.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn log_refusal(context: &InstanceContext, id: &str, method: &Method, refusal: &CallerRefusal) {
    let code = refusal.cause.code();
    context.metrics.count("refused");
    context.metrics.count(code);
    log::info!(
        "event=refused request={id} method={method} code={code} status={} ran={} \
         retry_after_ms={}",
        refusal.cause.status().as_u16(),
        refusal.ran.name(),
        refusal.retry_after.unwrap_or_default().as_millis()
    );
}

async fn dispatch(
    context: &Arc<InstanceContext>,
    request: Request<MeteredBody>,
    id: RequestId,
    sent: &SendMark,
) -> Result<AnswerResponse, CallerRefusal> {
    let path = request.uri().path();
    match path {
        "/healthz" => return get_only(&request, || plain_status(StatusCode::OK)),
        "/readyz" => return get_only(&request, || ready_status(context)),
        "/v1/models" => {
            let models = models(context, &request);
            return get_only(&request, || models);
        }
        _ => {}
    }
    let call = parse_call(path)?;
    if matches!(call, CallKind::Completion(_)) && request.method() != Method::POST {
        return Err(CallerRefusal::not_run(RefusalCause::NoMethod));
    }
    let permits = admit(context)?;
    context.metrics.count("requests");
    match call {
        CallKind::Completion(form) => {
            complete(context.clone(), form, request, id, permits, sent).await
        }
        CallKind::Service(entry) => {
            let answer = call_service(context, entry, request, id, sent).await;
            drop(permits);
            answer
        }
    }
}

/// Kind of call, from the path
enum CallKind {
    Completion(CompletionForm),
    Service(EntryName),
}

fn parse_call(path: &str) -> Result<CallKind, CallerRefusal> {
    if let Some(rest) = path.strip_prefix(SERVICES) {
        let name = rest.split('/').next().unwrap_or_default();
        if !name.is_empty() {
            return Ok(CallKind::Service(name.into()));
        }
    }
    match path {
        "/v1/completions" => Ok(CallKind::Completion(CompletionForm::Text)),
        "/v1/chat/completions" => Ok(CallKind::Completion(CompletionForm::Chat)),
        _ => Err(CallerRefusal::not_run(RefusalCause::NoPath)),
    }
}

fn admit(context: &InstanceContext) -> Result<CallPermits, CallerRefusal> {
    if !context.status.is_started() {
        let refusal = CallerRefusal::not_run(RefusalCause::Starting);
        return Err(refusal.retry_after(BUSY_RETRY_AFTER));
    }
    if context.status.is_isolated() {
        let refusal = CallerRefusal::not_run(RefusalCause::Isolated);
        return Err(refusal.retry_after(BUSY_RETRY_AFTER));
    }
    let slot =
        context.request_slots.clone().try_acquire_owned().map_err(|_| {
            CallerRefusal::not_run(RefusalCause::Busy).retry_after(BUSY_RETRY_AFTER)
        })?;
    Ok(CallPermits { in_flight: context.status.count_in_flight(), slot })
}

fn get_only(
    request: &Request<MeteredBody>,
    answer: impl FnOnce() -> Result<AnswerResponse, CallerRefusal>,
) -> Result<AnswerResponse, CallerRefusal> {
    if request.method() == Method::GET || request.method() == Method::HEAD {
        answer()
    } else {
        Err(CallerRefusal::not_run(RefusalCause::NoMethod))
    }
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct StatusBody {
    status: &'static str,
}

fn plain_status(status: StatusCode) -> Result<AnswerResponse, CallerRefusal> {
    Ok(json_answer(status, &StatusBody { status: "ok" }))
}

fn ready_status(context: &InstanceContext) -> Result<AnswerResponse, CallerRefusal> {
    let serving = &context.status;
    if serving.is_ready() {
        return plain_status(StatusCode::OK);
    }
    let status = match (serving.is_draining(), serving.is_isolated()) {
        (true, _) => "draining",
        (false, true) => "isolated",
        (false, false) => "starting",
    };
    Ok(json_answer(StatusCode::SERVICE_UNAVAILABLE, &StatusBody { status }))
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelLine>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct ModelLine {
    id: EntryName,
    object: &'static str,
    owned_by: catalogue::id::OwnerName,
}

fn models(
    context: &InstanceContext,
    request: &Request<MeteredBody>,
) -> Result<AnswerResponse, CallerRefusal> {
    let key = caller_key(request.headers())?;
    let view = context.catalogue.view();
    let mut data = Vec::new();
    for entry in callable_entries(&view, &key) {
        if matches!(entry.entry.kind, EntryKind::Engine { .. }) {
            data.push(ModelLine {
                id: entry.entry.name.clone(),
                object: "model",
                owned_by: entry.entry.owner.clone(),
            });
        }
    }
    if data.is_empty() && callable_entries(&view, &key).next().is_none() {
        return Err(CallerRefusal::not_run(RefusalCause::UnknownKey));
    }
    Ok(json_answer(StatusCode::OK, &ModelList { object: "list", data }))
}
