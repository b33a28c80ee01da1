//! HTTP interface of an engine, as documented in `platform::engine`.

use super::EngineShared;
use super::core::ExportedCache;
use super::record::EngineExecution;
use super::sequence::{Sequence, SequenceSink, TokenSink};
use crate::answer::answer_seed;
use crate::reply::{self, CutConnection, Reply};
use catalogue::id::{ModelName, RequestId, TokenCount};
use catalogue::prefix::{piece_hashes, token_count};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use platform::engine::{
    CacheHandle, EngineOrder, GenerateRequest, PrefillAnswer, PrefillRequest, Refusal,
    RefusalReason,
};
use platform::http::JsonCall;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn answer(
    shared: Arc<EngineShared>,
    request: Request<Incoming>,
) -> Result<Reply, CutConnection> {
    let path = request.uri().path().to_owned();
    let reply = match (request.method(), path.as_str()) {
        (&Method::POST, "/generate") => with_json_body(request, |it| generate(&shared, it)).await,
        (&Method::POST, "/prefill") => with_json_body(request, |it| prefill(&shared, it)).await,
        (&Method::POST, "/orders") => with_json_body(request, |it| apply_order(&shared, it)).await,
        (&Method::GET, "/report") => {
            reply::json(StatusCode::OK, &shared.lock().report(Instant::now()))
        }
        (&Method::GET, "/state") => {
            reply::json(StatusCode::OK, &shared.lock().state(Instant::now()))
        }
        (&Method::GET, "/events") => events(&shared, request.uri().query()),
        (method, path) => answer_by_id(&shared, method, path),
    };
    // A process that crashed in the meantime sends no reply.
    if shared.lock().is_down { Err(CutConnection::Now) } else { Ok(reply) }
}

async fn with_json_body<T, F, A>(request: Request<Incoming>, action: A) -> Reply
where
    T: serde::de::DeserializeOwned,
    F: Future<Output = Reply>,
    A: FnOnce(T) -> F,
{
    match reply::read_json(request).await {
        Ok(body) => action(body).await,
        Err(_) => refuse(RefusalReason::Malformed),
    }
}

fn answer_by_id(shared: &EngineShared, method: &Method, path: &str) -> Reply {
    if let Some(request) = path.strip_prefix("/cancel/").filter(|_| method == Method::POST) {
        let stopped = shared.lock().batch.remove(request);
        if let Some(sequence) = stopped {
            sequence.stop(RefusalReason::Cancelled);
        }
        return reply::json_bytes(StatusCode::OK, "{}");
    }
    let id = path.strip_prefix("/cache/").and_then(|it| it.parse().ok());
    match id.and_then(|it| shared.lock().export(it).cloned()) {
        Some(cache) => reply::json(StatusCode::OK, &cache),
        None => reply::empty(StatusCode::NOT_FOUND),
    }
}

fn events(shared: &EngineShared, query: Option<&str>) -> Reply {
    let from = reply::query_number(query, "from", 1);
    let events = shared.lock().cache.journal.published(from, Instant::now());
    reply::json(StatusCode::OK, &events)
}

async fn apply_order(shared: &EngineShared, order: EngineOrder) -> Reply {
    let answer = shared.lock().apply_order(&order, shared.weights.as_ref(), Instant::now());
    shared.wake.notify_one();
    match answer {
        Ok(state) => reply::json(StatusCode::OK, &state),
        Err(reason) => refuse(reason),
    }
}

async fn prefill(shared: &EngineShared, request: PrefillRequest) -> Reply {
    let (sender, outcome) = oneshot::channel();
    let call = SequenceRequest {
        request: request.request,
        model: request.model,
        prompt: request.prompt,
        priority: request.priority,
        deadline_ms: request.deadline_ms,
        import: None,
    };
    if let Err(reason) = enqueue(shared, call, SequenceSink::Export(sender), check_prefill) {
        return refuse(reason);
    }
    match outcome.await.unwrap_or(Err(RefusalReason::Cancelled)) {
        Ok(done) => {
            let cache = CacheHandle { address: shared.address(), id: done.export };
            let answer = PrefillAnswer {
                cache,
                prompt_tokens: done.prompt_tokens,
                cached_tokens: done.cached_tokens,
            };
            reply::json(StatusCode::OK, &answer)
        }
        Err(reason) => refuse(reason),
    }
}

async fn generate(shared: &EngineShared, request: GenerateRequest) -> Reply {
    if request.max_tokens == 0 || request.from_token >= request.max_tokens {
        return refuse(RefusalReason::Malformed);
    }
    let import = match import(shared, &request).await {
        Ok(import) => import,
        Err(reason) => return refuse(reason),
    };
    let (lines, stream) = mpsc::unbounded_channel();
    let seed = answer_seed(&request.model, &request.prompt);
    let sink = TokenSink { lines, seed, next: request.from_token, max: request.max_tokens };
    let from_token = request.from_token;
    let is_fresh = from_token == 0 && import.is_none();
    let call = SequenceRequest {
        request: request.request,
        model: request.model,
        prompt: request.prompt,
        priority: request.priority,
        deadline_ms: request.deadline_ms,
        import,
    };
    let check = move |role: catalogue::EngineRole| role.decodes() && (role.prefills() || !is_fresh);
    match enqueue(shared, call, SequenceSink::Tokens(sink), check) {
        Ok(()) => reply::stream(stream),
        Err(reason) => refuse(reason),
    }
}

fn check_prefill(role: catalogue::EngineRole) -> bool {
    role.prefills()
}

/// Fetches the cache that a request refers to from the engine that holds it
async fn import(
    shared: &EngineShared,
    request: &GenerateRequest,
) -> Result<Option<ExportedCache>, RefusalReason> {
    let Some(handle) = &request.import else {
        return Ok(None);
    };
    let path = format!("/cache/{}", handle.id);
    let call = JsonCall {
        method: Method::GET,
        address: handle.address,
        path: &path,
        timeout: IMPORT_TIMEOUT,
        request_id: None,
    };
    let cache: Result<ExportedCache, _> = shared.client.call(call, None::<&()>).await;
    let cache = cache.map_err(|_| RefusalReason::NoCache)?;
    let is_match = cache.model == request.model
        && cache.prompt_tokens == token_count(&request.prompt)
        && cache.pieces == piece_hashes(&request.model, &request.prompt);
    if !is_match {
        return Err(RefusalReason::NoCache);
    }
    let time = shared.lock().settings.speed.import_time(cache.prompt_tokens);
    tokio::time::sleep(time).await;
    Ok(Some(cache))
}

/// Fields that all kinds of requests have
struct SequenceRequest {
    request: RequestId,
    model: ModelName,
    prompt: String,
    priority: u8,
    deadline_ms: u64,
    import: Option<ExportedCache>,
}

fn enqueue(
    shared: &EngineShared,
    call: SequenceRequest,
    sink: SequenceSink,
    accepts_role: impl Fn(catalogue::EngineRole) -> bool,
) -> Result<(), RefusalReason> {
    let prompt_tokens = token_count(&call.prompt);
    let prefill_left = if call.import.is_some() { 0 } else { prompt_tokens.max(1) };
    let pieces = match call.import {
        Some(cache) => cache.pieces,
        None => piece_hashes(&call.model, &call.prompt),
    };
    let mut core = shared.lock();
    core.finish_change(Instant::now());
    check_admission(&core, &call.model, call.deadline_ms, accepts_role)?;
    let crash_text = core.settings.poison.clone();
    let from_token = first_token(&sink);
    // A resumed stream replaces the stream that it continues.
    core.batch.remove(&call.request);
    core.executions.push(EngineExecution {
        engine: shared.id.clone(),
        request: call.request.clone(),
        from_token,
        seed: answer_seed(&call.model, &call.prompt),
    });
    core.batch.push(Sequence {
        request: call.request,
        model: call.model,
        priority: call.priority,
        deadline: Instant::now() + Duration::from_millis(call.deadline_ms),
        prompt_tokens,
        cached_tokens: if prefill_left == 0 { prompt_tokens } else { 0 },
        prefill_left,
        pieces,
        crashes_engine: !crash_text.is_empty() && call.prompt.contains(crash_text.as_str()),
        sink,
    });
    drop(core);
    shared.wake.notify_one();
    Ok(())
}

fn check_admission(
    core: &super::core::EngineCore,
    model: &str,
    deadline_ms: u64,
    accepts_role: impl Fn(catalogue::EngineRole) -> bool,
) -> Result<(), RefusalReason> {
    if let Some(reason) = core.refusal() {
        return Err(reason);
    }
    if !core.serves(model) {
        return Err(RefusalReason::WrongModel);
    }
    if !accepts_role(core.target.role) {
        return Err(RefusalReason::WrongRole);
    }
    if deadline_ms == 0 { Err(RefusalReason::TooLate) } else { Ok(()) }
}

fn first_token(sink: &SequenceSink) -> TokenCount {
    match sink {
        SequenceSink::Export(_) => 0,
        SequenceSink::Tokens(sink) => sink.next,
    }
}

fn refuse(reason: RefusalReason) -> Reply {
    let status = match reason {
        RefusalReason::Malformed => StatusCode::BAD_REQUEST,
        RefusalReason::StaleFence => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    reply::json(status, &Refusal { reason })
}
