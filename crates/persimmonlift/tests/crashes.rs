//! Requests that crash the engines that run them.

mod harness;

use googletest::prelude::*;
use harness::*;
use std::sync::Arc;
use std::time::Duration;
use testcases::cases;

const CRASH_TEXT: &str = "#poison#";

async fn deployment() -> Result<Arc<Deployment>> {
    let deployment = Deployment::start(1).await?;
    for engine in deployment.fleet.engines.values() {
        engine.set_crash_text(CRASH_TEXT);
    }
    Ok(Arc::new(deployment))
}

fn crashes(deployment: &Deployment) -> u32 {
    deployment.fleet.engines.values().map(|it| it.crashes()).sum()
}

/// A crashing request that is sent repeatedly crashes two engines at most.
async fn check_resent() -> Result<()> {
    let deployment = deployment().await?;
    for _ in 0..5 {
        let answer = deployment.complete(0, &format!("dossier {CRASH_TEXT}"), 20).await?;
        verify_that!(answer.code()?, eq("crashes_endpoints"))?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    verify_that!(crashes(&deployment), eq(2))
}

/// Requests that run concurrently with a crashing one get complete answers and are no
/// longer suspected afterwards.
async fn check_concurrent() -> Result<()> {
    let deployment = deployment().await?;
    for engine in deployment.fleet.engines.values() {
        engine.set_speed(0.5);
    }
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..30 {
        let deployment = deployment.clone();
        calls.spawn(async move { deployment.check_stream(0, &prompt(number, 60), 100).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.complete(0, &format!("dossier {CRASH_TEXT}"), 20).await?;
    while let Some(call) = calls.join_next().await {
        call.or_fail()??;
    }
    verify_that!(crashes(&deployment), le(2))?;
    let context = deployment.instances[0].context();
    for number in 0..30 {
        let fingerprint = decide::fingerprint::fingerprint("summaries", &prompt(number, 60));
        let decision = context.suspects.decision(fingerprint);
        verify_that!(decision, eq(decide::suspect::SuspectDecision::Clear))?;
    }
    Ok(())
}

cases! { async
    crashing_request_is_resent => check_resent(),
    concurrent_requests_are_answered => check_concurrent(),
}
