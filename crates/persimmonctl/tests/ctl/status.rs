//! `status` and `endpoints`

use crate::workdir::TestInstance;
use googletest::prelude::*;
use testcases::cases;

async fn check_status() -> Result<()> {
    let instance = TestInstance::start().await?;
    let run = instance.workdir.run_ok(&["status"]).await?;
    for part in ["entry-1", "ready", "catalogue offset", "QUEUED", "PEER"] {
        verify_that!(run.stdout, contains_substring(part))?;
    }
    let json = instance.workdir.run_ok(&["status", "--json"]).await?.json()?;
    verify_that!(json["instance"]["id"].as_str(), some(eq("entry-1")))
}

async fn check_endpoints() -> Result<()> {
    let instance = TestInstance::start().await?;
    instance.await_endpoints().await?;
    let run = instance.workdir.run_ok(&["endpoints"]).await?;
    let endpoints = instance.fleet.engines.len() + instance.fleet.services.len();
    verify_that!(run.stdout.lines().count(), eq(endpoints + 1))?;
    let args = ["endpoints", "--pool", "register", "--json"];
    let json = instance.workdir.run_ok(&args).await?.json()?;
    verify_that!(json.as_array().map(Vec::len), some(eq(instance.fleet.services.len())))
}

cases! { async
    status => check_status(),
    endpoints => check_endpoints(),
}
