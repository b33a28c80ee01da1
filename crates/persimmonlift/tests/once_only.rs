//! Calls that may run only once: at most one execution, and never "not run" for a call
//! that may have run.

mod harness;

use googletest::prelude::*;
use harness::*;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::json;
use standins::service::{ServiceFaults, ServiceStandin};
use std::time::Duration;
use testcases::cases;
use uuid::Uuid;

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn set_all(deployment: &Deployment, change: impl Fn(&mut ServiceFaults)) {
    for service in deployment.fleet.services.values() {
        service.set_faults(&change);
    }
}

/// A key that was used with a different body is refused as not run.
async fn check_mismatch() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let key = new_key();
    deployment.register(0, &key, "dwelling 7").await?;
    let other = deployment.register(0, &key, "dwelling 8").await?;
    verify_that!(other.code()?, eq("key_mismatch"))?;
    verify_that!(other.header("persimmon-ran"), eq("no"))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// If the answer is lost after the execution, the outcome is unknown and the call is
/// never executed again.
async fn check_lost_answer() -> Result<()> {
    let deployment = Deployment::start(2).await?;
    set_all(&deployment, |it| it.cut_after = 1);
    let key = new_key();
    let first = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(first.code()?, eq("outcome_unknown"))?;
    verify_that!(first.header("persimmon-ran"), eq("unknown"))?;
    let again = deployment.register(1, &key, "dwelling 7").await?;
    verify_that!(again.code()?, eq("outcome_unknown"))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// An operator resolves an unknown outcome.
async fn check_resolution() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    set_all(&deployment, |it| it.cut_after = 1);
    let key = new_key();
    deployment.register(0, &key, "dwelling 7").await?;
    let listed = deployment.admin(Method::GET, "/admin/outcomes", &[], "").await?;
    verify_that!(listed.json()?["outcomes"][0]["key"].as_str(), some(eq(key.as_str())))?;
    let path = format!("/admin/outcomes/{key}");
    let body = json!({"resolution": "ran"}).to_string();
    let resolved = deployment.admin(Method::POST, &path, &[], body.clone()).await?;
    verify_that!(resolved.status.as_u16(), eq(200))?;
    let again = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(again.header("persimmon-ran"), eq("yes"))?;
    let absent = deployment.admin(Method::POST, &path, &[], body).await?;
    verify_that!(absent.status.as_u16(), eq(404))
}

/// A key that nobody has claimed has no outcome to resolve, and can be claimed afterwards
async fn check_unclaimed_resolution() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let key = new_key();
    let path = format!("/admin/outcomes/{key}");
    let body = json!({"resolution": "ran"}).to_string();
    let absent = deployment.admin(Method::POST, &path, &[], body).await?;
    verify_that!(absent.status.as_u16(), eq(404))?;
    let answer = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(answer.status.as_u16(), eq(200))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// An endpoint that is down is skipped under the same claim.
async fn check_down_endpoint() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let services: Vec<&ServiceStandin> = deployment.fleet.services.values().collect();
    services[0].crash(Duration::from_secs(30));
    services[1].crash(Duration::from_secs(30));
    let key = new_key();
    let answer = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(answer.status.as_u16(), eq(200))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// If all endpoints are down, the call is refused as not run and the key is released.
async fn check_all_down() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    for service in deployment.fleet.services.values() {
        service.crash(Duration::from_millis(500));
    }
    let key = new_key();
    let refused = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(refused.header("persimmon-ran"), eq("no"))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(0))?;
    for _ in 0..50 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let again = deployment.register(0, &key, "dwelling 7").await?;
        if again.status.as_u16() == 200 {
            return verify_that!(deployment.fleet.execution_count(&key), eq(1));
        }
    }
    fail!("key was not released")
}

/// The outcome is recorded even if the caller disconnects during the call.
async fn check_caller_disconnects() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    set_all(&deployment, |it| it.delay = Duration::from_millis(300));
    let key = new_key();
    let request = Request::builder()
        .method(Method::POST)
        .uri(deployment.caller_uri(0, "/services/register-entries/dwellings"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", &key)
        .body(Full::from("dwelling 7"))
        .or_fail()?;
    let client = deployment.client.clone();
    let call = tokio::spawn(async move { send(&client, request).await });
    let context = deployment.instances[0].context().clone();
    await_until("call runs", || {
        context.registry.status().iter().any(|it| it.role.is_none() && it.in_flight > 0)
    })
    .await?;
    call.abort();
    await_until("call has ended", || context.status.in_flight() == 0).await?;
    let again = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(again.status.as_u16(), eq(200))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// Nothing is dispatched while the log is down.
async fn check_log_down() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    deployment.fleet.log.set_down(true);
    let key = new_key();
    let refused = deployment.register(0, &key, "dwelling 7").await?;
    verify_that!(refused.code()?, eq("not_claimed"))?;
    verify_that!(refused.status.as_u16(), eq(503))?;
    verify_that!(deployment.fleet.execution_count(&key), eq(0))
}

/// Of many concurrent copies through two instances, one runs.
async fn check_race() -> Result<()> {
    let deployment = std::sync::Arc::new(Deployment::start(2).await?);
    let key = new_key();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..20 {
        let (deployment, key) = (deployment.clone(), key.clone());
        calls.spawn(async move { deployment.register(number % 2, &key, "dwelling 7").await });
    }
    while let Some(call) = calls.join_next().await {
        let answer = call.or_fail()??;
        let is_own = answer.status.as_u16() == 200 || answer.code()? == "in_progress";
        verify_that!(is_own, eq(true))?;
    }
    verify_that!(deployment.fleet.execution_count(&key), eq(1))
}

/// An idempotent call is retried on another endpoint if its connection breaks.
async fn check_idempotent_retry() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let services: Vec<&ServiceStandin> = deployment.fleet.services.values().collect();
    services[0].set_faults(|it| it.cut_before = 5);
    for _ in 0..10 {
        let path = "/services/register-lookups/dwellings/7";
        let answer = deployment.call(0, Method::GET, path, "").await?;
        verify_that!(answer.status.as_u16(), eq(200))?;
    }
    Ok(())
}

cases! { async
    key_of_another_request => check_mismatch(),
    answer_lost_after_the_run => check_lost_answer(),
    operator_resolves_an_outcome => check_resolution(),
    // Guards against an operator's typing error that answers 200 and blocks a key that was never claimed.
    unclaimed_key_has_no_outcome_to_resolve => check_unclaimed_resolution(),
    endpoints_down => check_down_endpoint(),
    every_endpoint_down => check_all_down(),
    caller_disconnects => check_caller_disconnects(),
    log_is_down => check_log_down(),
    concurrent_copies => check_race(),
    idempotent_call_is_cut => check_idempotent_retry(),
}
