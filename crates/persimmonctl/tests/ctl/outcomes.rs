use crate::workdir::{TestInstance, entries};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;
use uuid::Uuid;

async fn start_with_unknown() -> Result<(TestInstance, Uuid)> {
    let instance = TestInstance::start().await?;
    instance.await_endpoints().await?;
    let mut entry = entries().remove(2);
    entry.limits.deadline_ms = 1_000;
    instance.workdir.write_entry("register.toml", &entry)?;
    instance.workdir.run_ok(&["put", "register.toml"]).await?;
    for service in instance.fleet.services.values() {
        service.set_faults(|it| it.answer_delay = Duration::from_secs(30));
    }
    let key = Uuid::now_v7();
    let (status, body) = instance.register(key, "dwelling 7").await?;
    verify_that!(status, ge(500)).with_failure_message(|| body.to_string())?;
    Ok((instance, key))
}

/// An unknown outcome is listed and can be resolved once; its caller then receives the
/// resolution.
async fn check_resolved() -> Result<()> {
    let (instance, key) = start_with_unknown().await?;
    let workdir = &instance.workdir;
    let json = workdir.run_ok(&["outcomes", "list", "--json"]).await?.json()?;
    let outcomes = json["outcomes"].as_array().or_fail()?;
    verify_that!(outcomes.len(), eq(1))?;
    verify_that!(outcomes[0]["key"].as_str(), some(eq(key.to_string().as_str())))?;
    let args = ["outcomes", "resolve", &key.to_string(), "ran"];
    workdir.run_ok(&args).await?;
    let (status, body) = instance.register(key, "dwelling 7").await?;
    verify_that!(status, eq(409)).with_failure_message(|| body.to_string())?;
    verify_that!(body["error"]["code"].as_str(), some(eq("resolved")))?;
    let json = workdir.run_ok(&["outcomes", "list", "--json"]).await?.json()?;
    verify_that!(json["outcomes"].as_array().map(Vec::len), some(eq(0)))?;
    workdir.run(&args).await?.check_code(4)
}

/// A call with a known outcome can't be resolved.
async fn check_answered() -> Result<()> {
    let instance = TestInstance::start().await?;
    instance.await_endpoints().await?;
    instance.workdir.write_entry("register.toml", &entries()[2])?;
    instance.workdir.run_ok(&["put", "register.toml"]).await?;
    let key = Uuid::now_v7();
    let (status, body) = instance.register(key, "dwelling 7").await?;
    verify_that!(status, eq(200)).with_failure_message(|| body.to_string())?;
    instance.workdir.run(&["outcomes", "resolve", &key.to_string(), "not_run"]).await?.check_code(4)
}

cases! { async
    listed_and_resolved => check_resolved(),
    resolve_of_answered => check_answered(),
}
