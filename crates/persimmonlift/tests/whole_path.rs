//! End-to-end calls over real sockets, from callers to engines and services.

mod harness;

use googletest::prelude::*;
use harness::*;
use http::{Method, StatusCode};
use persimmonlift::settings::InstanceSettings;
use serde_json::json;
use standins::answer::service_text;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::sync::Arc;
use testcases::cases;
use uuid::Uuid;

async fn check_plain() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let prompt = prompt(1, 100);
    let answer = deployment.complete(0, &prompt, 40).await?;
    check_whole(&answer, &prompt, 40)?;
    verify_that!(answer.header("persimmon-ran"), eq("yes"))
}

async fn check_streaming() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    deployment.check_stream(0, &prompt(2, 5_000), 60).await
}

async fn check_chat() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let messages = json!([{"role": "user", "content": "is it complete?"}]);
    let body = json!({"model": "clerk-queries", "messages": messages, "max_tokens": 8});
    let path = "/v1/chat/completions";
    let answer = deployment.call(0, Method::POST, path, body.to_string()).await?;
    let expected = standins::answer::expected_text(MODEL, "user: is it complete?\n", 8);
    let body = answer.json()?;
    verify_that!(body["choices"][0]["message"]["content"].as_str(), some(eq(expected.as_str())))
}

async fn check_models() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let answer = deployment.call(0, Method::GET, "/v1/models", "").await?;
    let body = answer.json()?;
    verify_that!(body["data"].as_array().map(Vec::len), some(eq(2)))
}

async fn check_lookup() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let path = "/services/register-lookups/dwellings/7?full=1";
    let answer = deployment.call(0, Method::GET, path, "").await?;
    verify_that!(answer.status, eq(StatusCode::OK))?;
    let text = String::from_utf8(answer.body.to_vec()).or_fail()?;
    let own =
        [service_text("GET", "/dwellings/7?full=1", b""), service_text("GET", "/dwellings/7", b"")];
    verify_that!(own.contains(&text), eq(true))
}

async fn check_once() -> Result<()> {
    let deployment = Deployment::start(2).await?;
    let key = Uuid::now_v7().to_string();
    let first = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(first.status, eq(StatusCode::OK))?;
    let again = deployment.register(1, &key, "dwelling 7").await?;
    verify_that!(again.body, eq(&first.body))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// No answer is cut when one of two instances drains during 200 mixed streams.
async fn check_drain_cuts_none() -> Result<()> {
    let deployment = Arc::new(Deployment::start(2).await?);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..200 {
        let deployment = deployment.clone();
        let (size, tokens) = if number % 3 == 0 { (3_000, 20) } else { (60, 120) };
        calls.spawn(async move {
            deployment.check_stream(number % 2, &prompt(number, size), tokens as u32).await
        });
    }
    await_until("all calls have reached an engine", || {
        deployment.fleet.engine_executions().len() >= 200
    })
    .await?;
    let draining = deployment.clone();
    let drained = tokio::spawn(async move { draining.instances[1].drain().await });
    while let Some(call) = calls.join_next().await {
        call.or_fail()??;
    }
    verify_that!(drained.await.or_fail()?.cut, eq(0))
}

/// A draining instance still serves calls that a load balancer sends during the drain
/// pause.
async fn check_late_calls() -> Result<()> {
    let pause = |settings: &mut InstanceSettings| settings.timeouts.drain_pause_ms = 1_500;
    let fleet = FleetSettings::of(DeploymentKind::Trust);
    let deployment = Arc::new(Deployment::start_with(1, fleet, pause).await?);
    let draining = deployment.clone();
    let drained = tokio::spawn(async move { draining.instances[0].drain().await });
    await_until("the instance is unready", || !deployment.instances[0].context().status.is_ready())
        .await?;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..60 {
        let deployment = deployment.clone();
        calls.spawn(async move { deployment.check_stream(0, &prompt(number, 60), 40).await });
    }
    while let Some(call) = calls.join_next().await {
        call.or_fail()??;
    }
    verify_that!(drained.await.or_fail()?.cut, eq(0))
}

cases! { async
    plain_completion => check_plain(),
    streamed_completion => check_streaming(),
    chat_completion => check_chat(),
    models_of_a_key => check_models(),
    lookup_of_a_service => check_lookup(),
    once_only_call_and_its_retry => check_once(),
    drain_cuts_none_of_200 => check_drain_cuts_none(),
    drain_serves_late_calls => check_late_calls(),
}
