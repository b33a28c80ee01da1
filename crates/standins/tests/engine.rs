//! Tests of the engine stand-in through the platform's client.

use catalogue::{EngineRole, ModelTarget};
use googletest::prelude::*;
use platform::engine::{
    CacheHandle, EngineClient, EngineError, EngineOrder, GenerateRequest, PrefillRequest,
    RefusalReason, StreamLine,
};
use standins::answer::expected_text;
use standins::engine::{EngineSettings, EngineSpeed, EngineStandin, conflicts};
use std::time::Duration;
use testcases::cases;

const WAIT: Duration = Duration::from_secs(5);
const SPEED_FACTOR: f64 = 20.0;

fn settings() -> EngineSettings {
    let speed = EngineSpeed { factor: SPEED_FACTOR, ..EngineSpeed::default() };
    EngineSettings { speed, change_ms: 400, restart_ms: 1_000, ..EngineSettings::default() }
}

fn start(settings: EngineSettings) -> Result<EngineStandin> {
    EngineStandin::start("e-1".into(), settings, None).or_fail()
}

fn generate(request: &str, prompt: &str, max_tokens: u32, from_token: u32) -> GenerateRequest {
    GenerateRequest {
        request: request.into(),
        model: "model".into(),
        prompt: prompt.into(),
        max_tokens,
        from_token,
        priority: 0,
        deadline_ms: 20_000,
        import: None,
    }
}

fn target(role: EngineRole) -> ModelTarget {
    ModelTarget { role, model: "model".into(), version: "1".into(), adapter: None }
}

fn order(order: u64, fence: u64, issuer: &str, role: EngineRole) -> EngineOrder {
    EngineOrder { order, fence, issuer: issuer.into(), target: target(role) }
}

/// Reads a stream; returns its text and the number of cached prompt tokens
async fn read(
    engine: &EngineStandin,
    request: &GenerateRequest,
) -> Result<(String, u32), EngineError> {
    let mut stream = EngineClient::new().generate(engine.address(), request, WAIT).await?;
    let mut text = String::new();
    let mut cached = 0;
    let mut lines = Vec::new();
    while !stream.is_ended() {
        stream.next_lines(WAIT, &mut lines).await?;
    }
    for line in lines {
        match line {
            StreamLine::Token { text: token, .. } => text.push_str(&token),
            StreamLine::End { cached_tokens, .. } => cached = cached_tokens,
            StreamLine::Stopped { .. } => {}
        }
    }
    Ok((text, cached))
}

async fn complete_answer() -> Result<()> {
    let engine = start(settings())?;
    let (text, _) = read(&engine, &generate("r", "a prompt", 12, 0)).await.or_fail()?;
    verify_that!(text, eq(&expected_text("model", "a prompt", 12)))
}

async fn resumed_answer() -> Result<()> {
    let engine = start(settings())?;
    let (rest, _) = read(&engine, &generate("r", "a prompt", 12, 5)).await.or_fail()?;
    let complete = expected_text("model", "a prompt", 5) + &rest;
    verify_that!(complete, eq(&expected_text("model", "a prompt", 12)))
}

async fn cached_prefix() -> Result<()> {
    let engine = start(settings())?;
    let prompt = "x".repeat(20_000);
    let (_, first) = read(&engine, &generate("a", &prompt, 2, 0)).await.or_fail()?;
    let (_, second) = read(&engine, &generate("b", &prompt, 2, 0)).await.or_fail()?;
    verify_that!((first, second), eq((0, 4_000)))
}

async fn limited_cache() -> Result<()> {
    let engine = start(EngineSettings { cache_pieces: 2, ..settings() })?;
    let first = "x".repeat(16_000);
    let other = "y".repeat(16_000);
    read(&engine, &generate("a", &first, 1, 0)).await.or_fail()?;
    read(&engine, &generate("b", &other, 1, 0)).await.or_fail()?;
    let (_, cached) = read(&engine, &generate("c", &first, 1, 0)).await.or_fail()?;
    verify_that!(cached, eq(0))
}

async fn exported_cache() -> Result<()> {
    let reader = start(EngineSettings { target: target(EngineRole::Prefill), ..settings() })?;
    let writer = start(EngineSettings { target: target(EngineRole::Decode), ..settings() })?;
    let prompt = "z".repeat(9_000);
    let prefill = PrefillRequest {
        request: "r".into(),
        model: "model".into(),
        prompt: prompt.clone(),
        priority: 0,
        deadline_ms: 20_000,
    };
    let client = EngineClient::new();
    let answer = client.prefill(reader.address(), &prefill, WAIT).await.or_fail()?;
    let import = Some(answer.cache);
    let request = GenerateRequest { import, ..generate("r", &prompt, 4, 0) };
    let (text, cached) = read(&writer, &request).await.or_fail()?;
    verify_that!(text, eq(&expected_text("model", &prompt, 4)))?;
    verify_that!(cached, eq(2_250))
}

async fn missing_import() -> Result<()> {
    let engine = start(settings())?;
    let import = Some(CacheHandle { address: engine.address(), id: 99 });
    let request = GenerateRequest { import, ..generate("r", "p", 4, 0) };
    let refused = read(&engine, &request).await;
    verify_that!(refused, err(matches_pattern!(EngineError::Refused(eq(&RefusalReason::NoCache)))))
}

async fn refusal_by_role(role: EngineRole) -> Result<()> {
    let engine = start(EngineSettings { target: target(role), ..settings() })?;
    let refused = read(&engine, &generate("r", "p", 4, 0)).await;
    verify_that!(
        refused,
        err(matches_pattern!(EngineError::Refused(eq(&RefusalReason::WrongRole))))
    )
}

async fn leaving() -> Result<()> {
    let engine = start(settings())?;
    engine.set_leaving(true);
    let refused = read(&engine, &generate("r", "p", 4, 0)).await;
    verify_that!(refused, err(matches_pattern!(EngineError::Refused(eq(&RefusalReason::Leaving)))))
}

async fn crash_on_prompt() -> Result<()> {
    let engine = start(EngineSettings { poison: "boom".into(), ..settings() })?;
    let broken = read(&engine, &generate("bad", "boom", 4, 0)).await;
    verify_that!(broken, err(anything()))?;
    verify_that!(engine.crashes(), eq(1))?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (text, _) = read(&engine, &generate("good", "fine", 4, 0)).await.or_fail()?;
    verify_that!(text, eq(&expected_text("model", "fine", 4)))
}

async fn refuses_connections_while_crashed() -> Result<()> {
    let engine = start(settings())?;
    engine.crash_for(WAIT);
    let refused = read(&engine, &generate("r", "p", 4, 0)).await;
    let is_unsent = matches!(&refused, Err(EngineError::Http(error)) if error.is_unsent());
    verify_that!(is_unsent, eq(true))
}

async fn unresponsive_connection() -> Result<()> {
    let engine = start(settings())?;
    let client = EngineClient::new();
    let request = generate("r", "p", 400, 0);
    let mut stream = client.generate(engine.address(), &request, WAIT).await.or_fail()?;
    stream.next_lines(WAIT, &mut Vec::new()).await.or_fail()?;
    engine.make_unresponsive();
    let mut last = Ok(());
    while last.is_ok() {
        last = stream.next_lines(Duration::from_millis(100), &mut Vec::new()).await;
    }
    verify_that!(last, err(matches_pattern!(EngineError::TimedOut(anything()))))?;
    let (text, _) = read(&engine, &generate("other", "p", 4, 0)).await.or_fail()?;
    verify_that!(text, eq(&expected_text("model", "p", 4)))
}

async fn paused_engine_resumes_work() -> Result<()> {
    let engine = start(settings())?;
    let request = generate("r", "p", 100, 0);
    let running = engine.clone();
    let reader = tokio::spawn(async move { read(&running, &request).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    engine.pause(true);
    tokio::time::sleep(Duration::from_millis(200)).await;
    verify_that!(reader.is_finished(), eq(false))?;
    engine.pause(false);
    let (text, _) = reader.await.or_fail()?.or_fail()?;
    verify_that!(text, eq(&expected_text("model", "p", 100)))
}

async fn role_change_stops_work() -> Result<()> {
    let engine = start(settings())?;
    let client = EngineClient::new();
    let request = generate("r", "p", 4_000, 0);
    let mut stream = client.generate(engine.address(), &request, WAIT).await.or_fail()?;
    stream.next_lines(WAIT, &mut Vec::new()).await.or_fail()?;
    let order = order(1, 1, "i-1", EngineRole::Prefill);
    let state = client.order(engine.address(), &order, WAIT).await.or_fail()?;
    verify_that!(state.ready, eq(false))?;
    let mut last = Ok(());
    while last.is_ok() {
        last = stream.next_lines(WAIT, &mut Vec::new()).await;
    }
    verify_that!(last, err(matches_pattern!(EngineError::Stopped(eq(&RefusalReason::Changing)))))?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    verify_that!(engine.state().ready, eq(true))?;
    verify_that!(engine.orders().first().map(|it| it.cut), some(eq(1)))
}

async fn old_fence(checks_fence: bool) -> Result<()> {
    let engine = start(EngineSettings { checks_fence, ..settings() })?;
    let client = EngineClient::new();
    let newer = order(9, 8, "i-2", EngineRole::Mixed);
    client.order(engine.address(), &newer, WAIT).await.or_fail()?;
    let older = order(7, 3, "i-1", EngineRole::Prefill);
    let outcome = client.order(engine.address(), &older, WAIT).await;
    verify_that!(outcome.is_err(), eq(checks_fence))?;
    verify_that!(conflicts(&engine.orders()).len(), eq(usize::from(!checks_fence)))
}

async fn cancelled() -> Result<()> {
    let engine = start(settings())?;
    let client = EngineClient::new();
    let request = generate("r", "p", 4_000, 0);
    let _stream = client.generate(engine.address(), &request, WAIT).await.or_fail()?;
    client.cancel(engine.address(), &request.request, WAIT).await.or_fail()?;
    verify_that!(engine.state().in_flight, eq(0))
}

async fn cache_events() -> Result<()> {
    let settings = EngineSettings { event_lag_ms: 200, event_loss: 0.0, ..settings() };
    let engine = start(settings)?;
    let client = EngineClient::new();
    read(&engine, &generate("r", &"x".repeat(24_000), 1, 0)).await.or_fail()?;
    let early = client.events(engine.address(), 1, WAIT).await.or_fail()?;
    tokio::time::sleep(Duration::from_millis(250)).await;
    let late = client.events(engine.address(), 1, WAIT).await.or_fail()?;
    let rest = client.events(engine.address(), 3, WAIT).await.or_fail()?;
    verify_that!((early.events.len(), late.events.len(), rest.events.len()), eq((0, 3, 1)))?;
    verify_that!(late.next, eq(4))
}

async fn urgent_first() -> Result<()> {
    let speed = EngineSpeed { batch_limit: 1, factor: SPEED_FACTOR, ..EngineSpeed::default() };
    let engine = start(EngineSettings { speed, ..settings() })?;
    let client = EngineClient::new();
    let first = generate("first", "p", 60, 0);
    let _running = client.generate(engine.address(), &first, WAIT).await.or_fail()?;
    let slow = GenerateRequest { priority: 3, ..generate("slow", "p", 400, 0) };
    let _waiting = client.generate(engine.address(), &slow, WAIT).await.or_fail()?;
    let urgent = GenerateRequest { priority: 0, ..generate("urgent", "p", 4, 0) };
    read(&engine, &urgent).await.or_fail()?;
    verify_that!(engine.state().in_flight, eq(1))
}

cases! { async
    answer_is_complete => complete_answer(),
    answer_resumes => resumed_answer(),
    prefix_is_cached => cached_prefix(),
    cache_is_limited => limited_cache(),
    cache_is_exported => exported_cache(),
    missing_import_is_refused => missing_import(),
    prefill_engine_refuses_generation => refusal_by_role(EngineRole::Prefill),
    decode_engine_refuses_prompt => refusal_by_role(EngineRole::Decode),
    leaving_engine_refuses => leaving(),
    crashing_prompt_crashes_engine => crash_on_prompt(),
    crashed_engine_refuses_connections => refuses_connections_while_crashed(),
    connections_become_unresponsive => unresponsive_connection(),
    paused_engine_resumes => paused_engine_resumes_work(),
    role_change_stops_running_work => role_change_stops_work(),
    old_fence_refused => old_fence(true),
    old_fence_ignored => old_fence(false),
    cancel_stops_work => cancelled(),
    events_are_delayed => cache_events(),
    priorities_are_honoured => urgent_first(),
}
