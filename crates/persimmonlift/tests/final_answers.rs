//! End of a drain: calls that are left get an answer that tells whether they may have run.

mod harness;

use googletest::prelude::*;
use harness::*;
use http::{Method, StatusCode};
use persimmonlift::settings::InstanceSettings;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::sync::Arc;
use std::time::Duration;
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use uuid::Uuid;

cases! { async
    // Guard against calls whose connection breaks off with the process, so that nobody knows whether they ran.
    completion_is_answered_at_the_end => check_completion(),
    stream_ends_with_an_error_at_the_end => check_stream(),
    lookup_is_answered_at_the_end => check_lookup(),
    once_only_call_is_answered_at_the_end => check_once(),
    // Guards against an unknown outcome of a call that has not run.
    call_without_its_body_has_not_run_at_the_end => check_body(),
    // Guards against calls that wait for the rest of the drain though the operator ends it.
    early_end_answers_all_calls => check_early_end(),
}

const DRAIN_BOUND: Duration = Duration::from_millis(1000);
/// Longer than any drain here
const SERVICE_DELAY: Duration = Duration::from_secs(10);
/// Tokens that engines need half a minute for at this speed
const TOKENS: u32 = 256;
const SLOW_SPEED: f64 = 0.1;

/// Starts an instance before engines and services that are too slow for its drain
async fn start() -> Result<Arc<Deployment>> {
    let change = |settings: &mut InstanceSettings| {
        settings.timeouts.drain_bound_ms = DRAIN_BOUND.as_millis() as u64;
        settings.timeouts.between_tokens_ms = 5000;
    };
    let fleet = FleetSettings::of(DeploymentKind::Trust);
    let deployment = Deployment::start_with(1, fleet, change).await?;
    deployment.fleet.engines.values().for_each(|it| it.set_speed(SLOW_SPEED));
    for service in deployment.fleet.services.values() {
        service.set_faults(|it| it.answer_delay = SERVICE_DELAY);
    }
    Ok(Arc::new(deployment))
}

/// Starts the drain once a call is in flight; returns the number of calls that got final answers
async fn drain(deployment: &Arc<Deployment>) -> Result<u32> {
    let status = &deployment.instances[0].context().status;
    await_until("the call is in flight", || status.in_flight() > 0).await?;
    sleep(Duration::from_millis(300)).await;
    let report = timeout(DRAIN_BOUND * 3, deployment.instances[0].drain()).await.or_fail()?;
    Ok(report.cut)
}

/// Makes a call in the background
fn call(
    deployment: &Arc<Deployment>,
    method: Method,
    path: &'static str,
    body: String,
) -> JoinHandle<Result<WholeAnswer>> {
    let deployment = deployment.clone();
    tokio::spawn(async move { deployment.call(0, method, path, body).await })
}

/// Checks an answer to a call that may have run
fn check_unknown(answer: &WholeAnswer) -> Result<()> {
    verify_that!(answer.status, eq(StatusCode::GATEWAY_TIMEOUT))?;
    verify_that!(answer.code()?, eq("stopped"))?;
    verify_that!(answer.header("persimmon-ran"), eq("unknown"))
}

async fn check_completion() -> Result<()> {
    let deployment = start().await?;
    let body = completion_body("summaries", &prompt(1, 60), TOKENS, false);
    let called = call(&deployment, Method::POST, "/v1/completions", body);
    verify_that!(drain(&deployment).await?, eq(1))?;
    check_unknown(&called.await.or_fail()??)
}

async fn check_stream() -> Result<()> {
    let deployment = start().await?;
    let body = completion_body("summaries", &prompt(1, 60), TOKENS, true);
    let called = call(&deployment, Method::POST, "/v1/completions", body);
    verify_that!(drain(&deployment).await?, eq(1))?;
    let answer = called.await.or_fail()??;
    verify_that!(answer.status, eq(StatusCode::OK))?;
    let text = String::from_utf8(answer.body.to_vec()).or_fail()?;
    let last = text.trim_end().rsplit("\n\n").next().unwrap_or_default();
    verify_that!(last, contains_substring("\"code\":\"stopped\""))?;
    verify_that!(text, not(contains_substring("[DONE]")))
}

async fn check_lookup() -> Result<()> {
    let deployment = start().await?;
    let called = call(&deployment, Method::GET, "/services/register-lookups/x", String::new());
    verify_that!(drain(&deployment).await?, eq(1))?;
    check_unknown(&called.await.or_fail()??)
}

async fn check_once() -> Result<()> {
    let deployment = start().await?;
    let key = Uuid::now_v7().to_string();
    let called = {
        let (deployment, key) = (deployment.clone(), key.clone());
        tokio::spawn(async move { deployment.register(0, &key, "dwelling 7").await })
    };
    verify_that!(drain(&deployment).await?, ge(1))?;
    check_unknown(&called.await.or_fail()??)?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

async fn check_body() -> Result<()> {
    let deployment = start().await?;
    let mut caller = TcpStream::connect(deployment.instances[0].caller_address()).await?;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: 100\r\n\r\n{{\"model\""
    );
    caller.write_all(head.as_bytes()).await?;
    verify_that!(drain(&deployment).await?, eq(1))?;
    let mut answer = vec![0; 1024];
    let count = caller.read(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer[..count]);
    verify_that!(answer, starts_with("HTTP/1.1 503"))?;
    verify_that!(answer, contains_substring("persimmon-ran: no"))
}

async fn check_early_end() -> Result<()> {
    let deployment = start().await?;
    let body = completion_body("summaries", &prompt(1, 60), TOKENS, false);
    let called = call(&deployment, Method::POST, "/v1/completions", body);
    let status = &deployment.instances[0].context().status;
    await_until("the call is in flight", || status.in_flight() > 0).await?;
    sleep(Duration::from_millis(300)).await;
    let ended = timeout(DRAIN_BOUND, deployment.instances[0].end_requests()).await.or_fail()?;
    verify_that!(ended, eq(1))?;
    check_unknown(&called.await.or_fail()??)
}
