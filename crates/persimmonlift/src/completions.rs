//! `POST /v1/completions` and `POST /v1/chat/completions`.

use crate::access::{caller_key, find_entry};
use crate::answer::{AnswerResponse, json_answer, set_ran};
use crate::body::read_body;
use crate::context::InstanceContext;
use crate::generation::{AnswerStream, GenerationPermits};
use crate::generation_job::GenerationJob;
use crate::prompt::{CompletionForm, CompletionRequest, parse_request};
use crate::refusal::{CallerRefusal, FieldProblem, RanState, RefusalCause};
use crate::sse::stream_answer;
use crate::status::CallPermits;
use crate::stop::SendMark;
use crate::usage::CompletionUsage;
use catalogue::EntryKind;
use catalogue::id::{RequestId, TokenCount};
use catalogue::prefix::{piece_hashes, token_count};
use decide::admission::ArrivingRequest;
use decide::fingerprint::fingerprint;
use http::{Request, StatusCode};
use platform::framing::MeteredBody;
use smol_str::{SmolStr, ToSmolStr};
use state::catalogue::VersionedEntry;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers a completion call
///
/// # Errors
/// The refusal to send to the caller.
pub async fn complete(
    context: Arc<InstanceContext>,
    form: CompletionForm,
    request: Request<MeteredBody>,
    id: RequestId,
    permits: CallPermits,
    sent: &SendMark,
) -> Result<AnswerResponse, CallerRefusal> {
    let arrived = Instant::now();
    let key = caller_key(request.headers())?;
    let body = read_body(&context, request).await?;
    let call = parse_request(form, &body.bytes)?;
    drop(body);
    let entry = find_entry(&context.catalogue.view(), &key, &call.model)?;
    let is_streamed = call.stream;
    let job = generation_job(call, &entry, id, arrived)?;
    let answer = begin(context, job, sent).await?;
    if is_streamed {
        return Ok(stream_answer(form, answer, permits));
    }
    whole_answer(form, answer).await
}

async fn begin(
    context: Arc<InstanceContext>,
    job: GenerationJob,
    sent: &SendMark,
) -> Result<AnswerStream, CallerRefusal> {
    let entry = job.entry.clone();
    let pool = context.registry.pool(&entry.pool).ok_or_else(no_endpoint)?;
    let instances = context.registry.instance_count();
    let tokens = job.prompt_tokens.saturating_add(job.max_tokens);
    let meter = context.meters.try_start(&entry, instances, tokens)?;
    let admission = context.admissions.admission(&pool, job.prompt_tokens);
    admission.set_instances(instances);
    let arriving = ArrivingRequest {
        class: entry.class,
        deadline: job.deadline,
        service_time: admission.service_time(job.prompt_tokens, job.max_tokens),
    };
    let admission = admission.admit(arriving).await?;
    sent.record_send();
    AnswerStream::begin(context, pool, job, GenerationPermits { meter, admission }).await
}

fn no_endpoint() -> CallerRefusal {
    CallerRefusal::not_run(RefusalCause::NoEndpoint).retry_after(Duration::from_secs(1))
}

fn generation_job(
    call: CompletionRequest,
    entry: &VersionedEntry,
    request: RequestId,
    arrived: Instant,
) -> Result<GenerationJob, CallerRefusal> {
    let entry = entry.entry.clone();
    let EntryKind::Engine { model, .. } = &entry.kind else {
        return Err(CallerRefusal::field("model", FieldProblem::Form));
    };
    let limits = &entry.limits;
    let prompt_tokens = token_count(&call.prompt);
    check_size("prompt", prompt_tokens, limits.prompt_tokens)?;
    let max_tokens = call.max_tokens.unwrap_or(limits.output_tokens.min(DEFAULT_TOKENS));
    check_size("max_tokens", max_tokens, limits.output_tokens)?;
    let deadline = call.deadline_ms.map_or(limits.deadline(), Duration::from_millis);
    Ok(GenerationJob {
        request,
        model: model.clone(),
        prompt_tokens,
        max_tokens,
        pieces: piece_hashes(model, &call.prompt),
        fingerprint: fingerprint(&entry.name, &call.prompt),
        arrived,
        deadline: arrived + deadline.min(limits.deadline()),
        prompt: call.prompt,
        entry,
    })
}

/// Number of tokens to generate if the request doesn't set `max_tokens`.
const DEFAULT_TOKENS: TokenCount = 256;

fn check_size(
    field: &'static str,
    size: TokenCount,
    limit: TokenCount,
) -> Result<(), CallerRefusal> {
    if size > limit {
        return Err(CallerRefusal::field(field, FieldProblem::TooLarge(limit.into())));
    }
    Ok(())
}

async fn whole_answer(
    form: CompletionForm,
    mut answer: AnswerStream,
) -> Result<AnswerResponse, CallerRefusal> {
    let mut texts = Vec::new();
    while !answer.is_ended() {
        answer.next_texts(&mut texts).await?;
    }
    let body = WholeCompletion {
        id: answer.job().request.to_smolstr(),
        object: form.whole_object(),
        model: answer.job().entry.name.clone(),
        choices: [WholeChoice::new(form, texts.concat())],
        usage: CompletionUsage::of(&answer),
    };
    let mut response = json_answer(StatusCode::OK, &body);
    set_ran(&mut response, RanState::Yes);
    Ok(response)
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct WholeCompletion {
    id: SmolStr,
    object: &'static str,
    model: SmolStr,
    choices: [WholeChoice; 1],
    usage: CompletionUsage,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct WholeChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<WholeMessage>,
    finish_reason: &'static str,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct WholeMessage {
    role: &'static str,
    content: String,
}

impl WholeChoice {
    fn new(form: CompletionForm, text: String) -> WholeChoice {
        let (text, message) = match form {
            CompletionForm::Text => (Some(text), None),
            CompletionForm::Chat => (None, Some(WholeMessage { role: "assistant", content: text })),
        };
        WholeChoice { index: 0, text, message, finish_reason: "length" }
    }
}
