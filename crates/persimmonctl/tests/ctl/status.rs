//! `status` and `endpoints`

use crate::workdir::TestNode;
use googletest::prelude::*;
use testcases::cases;

async fn check_status() -> Result<()> {
    let node = TestNode::start().await?;
    let run = node.workdir.run_well(&["status"]).await?;
    for part in ["entry-1", "ready", "catalogue offset", "QUEUED", "PEER"] {
        verify_that!(run.stdout, contains_substring(part))?;
    }
    let json = node.workdir.run_well(&["status", "--json"]).await?.json()?;
    verify_that!(json["instance"]["id"].as_str(), some(eq("entry-1")))
}

async fn check_endpoints() -> Result<()> {
    let node = TestNode::start().await?;
    node.await_endpoints().await?;
    let run = node.workdir.run_well(&["endpoints"]).await?;
    let endpoints = node.fleet.engines.len() + node.fleet.services.len();
    verify_that!(run.stdout.lines().count(), eq(endpoints + 1))?;
    let args = ["endpoints", "--pool", "register", "--json"];
    let json = node.workdir.run_well(&args).await?.json()?;
    verify_that!(json.as_array().map(Vec::len), some(eq(node.fleet.services.len())))
}

cases! { async
    status => check_status(),
    endpoints => check_endpoints(),
}
