//! The operators' port.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /admin/catalogue` | all entries with their revisions |
//! | `GET /admin/catalogue/{entry}` | one entry; its revision is the ETag |
//! | `PUT /admin/catalogue/{entry}` | replaces the revision that `If-Match` names; `If-None-Match: *` creates |
//! | `DELETE /admin/catalogue/{entry}` | removes the revision that `If-Match` names |
//! | `GET /admin/history/{entry}` | accepted edits, oldest first |
//! | `GET /admin/status` | the instance, its endpoints, queues, offsets, peers, leases |
//! | `GET /admin/outcomes` | once-only calls whose outcome is unknown |
//! | `POST /admin/outcomes/{key}` | resolves one: `{"resolution": "ran"}` or `"not_run"` |

use crate::access::{bearer, key_hash};
use crate::admin_status::status;
use crate::answer::{AnswerResponse, json_answer, refusal_answer};
use crate::body::read_body;
use crate::context::InstanceContext;
use crate::refusal::{CallerRefusal, FieldProblem, RefusalCause};
use catalogue::CatalogueEntry;
use catalogue::id::{IdempotencyKey, Revision};
use coordination::catalogue::EditError;
use coordination::once::ResolveError;
use http::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, Request, StatusCode};
use platform::framing::MeteredBody;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use state::catalogue::VersionedEntry;
use state::claims::Resolution;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

/// Header with the name of the editor, for the history.
pub const EDITOR_HEADER: &str = "persimmon-editor";
const DEFAULT_EDITOR: &str = "admin";
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Answers one request on the operators' port
///
/// # Errors
/// Never fails.
pub async fn answer(
    context: Arc<InstanceContext>,
    request: Request<MeteredBody>,
) -> Result<AnswerResponse, Infallible> {
    let outcome = dispatch(&context, request).await;
    Ok(outcome.unwrap_or_else(|refusal| refusal_answer(&refusal)))
}

async fn dispatch(
    context: &InstanceContext,
    request: Request<MeteredBody>,
) -> Result<AnswerResponse, CallerRefusal> {
    check_token(context, request.headers())?;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&method, segments.as_slice()) {
        (&Method::GET, ["admin", "catalogue"]) => Ok(list(context)),
        (&Method::GET, ["admin", "catalogue", name]) => get(context, name),
        (&Method::PUT, ["admin", "catalogue", name]) => put(context, name, request).await,
        (&Method::DELETE, ["admin", "catalogue", name]) => {
            remove(context, name, request.headers()).await
        }
        (&Method::GET, ["admin", "history", name]) => history(context, name),
        (&Method::GET, ["admin", "status"]) => Ok(status(context)),
        (&Method::GET, ["admin", "outcomes"]) => outcomes(context).await,
        (&Method::POST, ["admin", "outcomes", key]) => resolve(context, key, request).await,
        (_, ["admin", "status" | "catalogue" | "outcomes"])
        | (_, ["admin", "catalogue" | "history" | "outcomes", _]) => {
            Err(CallerRefusal::not_run(RefusalCause::NoMethod))
        }
        _ => Err(CallerRefusal::not_run(RefusalCause::NoPath)),
    }
}

fn check_token(context: &InstanceContext, headers: &HeaderMap) -> Result<(), CallerRefusal> {
    // Compares hashes, so that the duration reveals nothing about the token.
    let expected = key_hash(&context.secrets.admin_token);
    match bearer(headers).map(key_hash) {
        Some(hash) if hash == expected => Ok(()),
        _ => Err(CallerRefusal::not_run(RefusalCause::NoAdminToken)),
    }
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct EntryList {
    entries: Vec<Arc<VersionedEntry>>,
}

fn list(context: &InstanceContext) -> AnswerResponse {
    let entries = context.catalogue.view().entries().cloned().collect();
    json_answer(StatusCode::OK, &EntryList { entries })
}

fn get(context: &InstanceContext, name: &str) -> Result<AnswerResponse, CallerRefusal> {
    let view = context.catalogue.view();
    let entry = view.entry(name).ok_or_else(absent_entry)?;
    Ok(with_revision(json_answer(StatusCode::OK, entry), entry.revision))
}

fn absent_entry() -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::AbsentEntry)
}

fn with_revision(mut response: AnswerResponse, revision: Revision) -> AnswerResponse {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

async fn put(
    context: &InstanceContext,
    name: &str,
    request: Request<MeteredBody>,
) -> Result<AnswerResponse, CallerRefusal> {
    let base = base_revision(context, name, request.headers())?;
    let editor = editor(request.headers());
    let body = read_body(context, request).await?;
    let entry: CatalogueEntry = serde_json::from_slice(&body.bytes).map_err(bad_json)?;
    if entry.name != name {
        return Err(CallerRefusal::field("name", FieldProblem::Form));
    }
    let revision = context.catalogue.put(entry, base, editor).await.map_err(edit_refusal)?;
    let body = RevisionBody { revision };
    let status = if base == 0 { StatusCode::CREATED } else { StatusCode::OK };
    Ok(with_revision(json_answer(status, &body), revision))
}

async fn remove(
    context: &InstanceContext,
    name: &str,
    headers: &HeaderMap,
) -> Result<AnswerResponse, CallerRefusal> {
    let base = base_revision(context, name, headers)?;
    if context.catalogue.view().entry(name).is_none() {
        return Err(absent_entry());
    }
    let removed = context.catalogue.remove(name.into(), base, editor(headers)).await;
    let revision = removed.map_err(edit_refusal)?;
    Ok(with_revision(json_answer(StatusCode::OK, &RevisionBody { revision }), revision))
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct RevisionBody {
    revision: Revision,
}

/// Revision that an edit replaces
fn base_revision(
    context: &InstanceContext,
    name: &str,
    headers: &HeaderMap,
) -> Result<Revision, CallerRefusal> {
    let view = context.catalogue.view();
    let text = |header| headers.get(header).and_then(|it: &HeaderValue| it.to_str().ok());
    if text(IF_NONE_MATCH) == Some("*") {
        return match view.entry(name) {
            Some(entry) => Err(conflict(entry.revision)),
            None => Ok(view.revision(name)),
        };
    }
    let tag = text(IF_MATCH).ok_or_else(|| CallerRefusal::not_run(RefusalCause::NoMatch))?;
    let number = tag.trim().trim_matches('"');
    number.parse().map_err(|_| CallerRefusal::field("If-Match", FieldProblem::Form))
}

fn conflict(current: Revision) -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::Conflict(current))
}

fn editor(headers: &HeaderMap) -> SmolStr {
    let named = headers.get(EDITOR_HEADER).and_then(|it| it.to_str().ok());
    named.unwrap_or(DEFAULT_EDITOR).into()
}

fn bad_json(error: serde_json::Error) -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::Json(error.to_smolstr()))
}

fn edit_refusal(error: EditError) -> CallerRefusal {
    match error {
        EditError::Conflict { current } => conflict(current),
        EditError::Invalid(faults) => {
            let mut text = String::new();
            for fault in &faults {
                if !text.is_empty() {
                    text.push_str("; ");
                }
                text.push_str(&fault.to_smolstr());
            }
            CallerRefusal::not_run(RefusalCause::EntryFaults(text.into()))
        }
        EditError::Down | EditError::Stopped => {
            CallerRefusal::not_run(RefusalCause::LogDown).retry_after(RETRY_AFTER)
        }
        EditError::Unknown => {
            CallerRefusal::unknown(RefusalCause::LogUnanswered).retry_after(RETRY_AFTER)
        }
    }
}

fn history(context: &InstanceContext, name: &str) -> Result<AnswerResponse, CallerRefusal> {
    let lines = context.catalogue.history(name);
    if lines.is_empty() {
        return Err(absent_entry());
    }
    Ok(json_answer(StatusCode::OK, &HistoryBody { entry: name.into(), lines }))
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct HistoryBody {
    entry: SmolStr,
    lines: Vec<state::catalogue::HistoryLine>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct OutcomeList {
    outcomes: Vec<state::claims::UnknownOutcome>,
}

async fn outcomes(context: &InstanceContext) -> Result<AnswerResponse, CallerRefusal> {
    let unread = |_| CallerRefusal::not_run(RefusalCause::LogDown).retry_after(RETRY_AFTER);
    let outcomes = context.once.unknown_outcomes().await.map_err(unread)?;
    Ok(json_answer(StatusCode::OK, &OutcomeList { outcomes }))
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct ResolutionBody {
    resolution: Resolution,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct ResolvedBody {
    key: SmolStr,
    resolution: Resolution,
}

async fn resolve(
    context: &InstanceContext,
    key: &str,
    request: Request<MeteredBody>,
) -> Result<AnswerResponse, CallerRefusal> {
    let key = IdempotencyKey::parse_str(key)
        .map_err(|_| CallerRefusal::field("key", FieldProblem::Form))?;
    let editor = editor(request.headers());
    let body = read_body(context, request).await?;
    let ResolutionBody { resolution } = serde_json::from_slice(&body.bytes).map_err(bad_json)?;
    match context.once.resolve(key, resolution, editor).await {
        Ok(()) => {
            let body = ResolvedBody { key: format_smolstr!("{key}"), resolution };
            Ok(json_answer(StatusCode::OK, &body))
        }
        Err(ResolveError::NotUnknown) => Err(CallerRefusal::not_run(RefusalCause::AbsentOutcome)),
        Err(ResolveError::Submit(error)) if error.has_no_effect() => {
            Err(CallerRefusal::not_run(RefusalCause::LogDown).retry_after(RETRY_AFTER))
        }
        Err(ResolveError::Submit(_)) => {
            Err(CallerRefusal::unknown(RefusalCause::LogUnanswered).retry_after(RETRY_AFTER))
        }
    }
}
