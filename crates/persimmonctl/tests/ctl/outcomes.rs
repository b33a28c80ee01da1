use crate::workdir::{TestNode, entries};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;
use uuid::Uuid;

async fn start_with_unknown() -> Result<(TestNode, Uuid)> {
    let node = TestNode::start().await?;
    node.await_endpoints().await?;
    let mut entry = entries().remove(2);
    entry.limits.deadline_ms = 1_000;
    node.workdir.write_entry("register.toml", &entry)?;
    node.workdir.run_well(&["put", "register.toml"]).await?;
    for service in node.fleet.services.values() {
        service.set_faults(|it| it.answer_delay = Duration::from_secs(30));
    }
    let key = Uuid::now_v7();
    let (status, body) = node.register(key, "dwelling 7").await?;
    verify_that!(status, ge(500)).with_failure_message(|| body.to_string())?;
    Ok((node, key))
}

/// An unknown outcome is listed, resolved once, and its caller is told.
async fn check_resolved() -> Result<()> {
    let (node, key) = start_with_unknown().await?;
    let workdir = &node.workdir;
    let json = workdir.run_well(&["outcomes", "list", "--json"]).await?.json()?;
    let outcomes = json["outcomes"].as_array().or_fail()?;
    verify_that!(outcomes.len(), eq(1))?;
    verify_that!(outcomes[0]["key"].as_str(), some(eq(key.to_string().as_str())))?;
    let args = ["outcomes", "resolve", &key.to_string(), "ran"];
    workdir.run_well(&args).await?;
    let (status, body) = node.register(key, "dwelling 7").await?;
    verify_that!(status, eq(409)).with_failure_message(|| body.to_string())?;
    verify_that!(body["error"]["code"].as_str(), some(eq("resolved")))?;
    let json = workdir.run_well(&["outcomes", "list", "--json"]).await?.json()?;
    verify_that!(json["outcomes"].as_array().map(Vec::len), some(eq(0)))?;
    workdir.run(&args).await?.check_code(4)
}

/// A call whose outcome is known has nothing to resolve.
async fn check_answered() -> Result<()> {
    let node = TestNode::start().await?;
    node.await_endpoints().await?;
    node.workdir.write_entry("register.toml", &entries()[2])?;
    node.workdir.run_well(&["put", "register.toml"]).await?;
    let key = Uuid::now_v7();
    let (status, body) = node.register(key, "dwelling 7").await?;
    verify_that!(status, eq(200)).with_failure_message(|| body.to_string())?;
    node.workdir.run(&["outcomes", "resolve", &key.to_string(), "not_run"]).await?.check_code(4)
}

cases! { async
    listed_and_resolved => check_resolved(),
    resolve_of_answered => check_answered(),
}
