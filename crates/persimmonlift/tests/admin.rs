//! The operators' port.

mod harness;

use googletest::prelude::*;
use harness::*;
use http::{Method, Request};
use http_body_util::Full;
use testcases::cases;

const SUMMARIES: &str = "/admin/catalogue/summaries";

async fn check_edit() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let read = deployment.admin(Method::GET, SUMMARIES, &[], "").await?;
    verify_that!(read.status.as_u16(), eq(200))?;
    let tag = read.header("etag").to_owned();
    let mut entry = read.json()?["entry"].clone();
    entry["limits"]["in_flight"] = 7.into();
    let put = |tag: String| deployment_put(&deployment, tag, entry.to_string());
    let written = put(tag.clone()).await?;
    verify_that!(written.status.as_u16(), eq(200))?;
    let late = put(tag.clone()).await?;
    verify_that!(late.status.as_u16(), eq(412))?;
    let current = format!("entry stands at revision {}", written.header("etag").trim_matches('"'));
    verify_that!(late.json()?["error"]["message"].as_str(), some(eq(current.as_str())))?;
    let history = deployment.admin(Method::GET, "/admin/history/summaries", &[], "").await?;
    verify_that!(history.json()?["lines"].as_array().map(Vec::len), some(eq(2)))
}

async fn deployment_put(deployment: &Deployment, tag: String, body: String) -> Result<WholeAnswer> {
    deployment.admin(Method::PUT, SUMMARIES, &[("if-match", &tag)], body).await
}

async fn check_create_and_remove() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let read = deployment.admin(Method::GET, SUMMARIES, &[], "").await?;
    let mut entry = read.json()?["entry"].clone();
    entry["name"] = "minutes".into();
    let path = "/admin/catalogue/minutes";
    let new = [("if-none-match", "*")];
    let made = deployment.admin(Method::PUT, path, &new, entry.to_string()).await?;
    verify_that!(made.status.as_u16(), eq(201))?;
    let twice = deployment.admin(Method::PUT, path, &new, entry.to_string()).await?;
    verify_that!(twice.status.as_u16(), eq(412))?;
    let tag = made.header("etag").to_owned();
    let removed = deployment.admin(Method::DELETE, path, &[("if-match", &tag)], "").await?;
    verify_that!(removed.status.as_u16(), eq(200))?;
    let absent = deployment.admin(Method::GET, path, &[], "").await?;
    verify_that!(absent.status.as_u16(), eq(404))
}

async fn check_invalid_entry() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let read = deployment.admin(Method::GET, SUMMARIES, &[], "").await?;
    let mut entry = read.json()?["entry"].clone();
    entry["limits"]["in_flight"] = 0.into();
    entry["caller_key_sha256"] = serde_json::json!([]);
    let answer = deployment_put(&deployment, read.header("etag").into(), entry.to_string()).await?;
    verify_that!(answer.code()?, eq("entry_faults"))?;
    let message = answer.json()?["error"]["message"].as_str().unwrap_or_default().to_owned();
    verify_that!(message, contains_substring("caller_key_sha256"))?;
    verify_that!(message, contains_substring("limits.in_flight"))
}

async fn check_without_match() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let answer = deployment.admin(Method::PUT, SUMMARIES, &[], "{}").await?;
    verify_that!(answer.status.as_u16(), eq(428))
}

async fn check_log_down() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let read = deployment.admin(Method::GET, SUMMARIES, &[], "").await?;
    deployment.fleet.log.set_down(true);
    let body = read.json()?["entry"].to_string();
    let answer = deployment_put(&deployment, read.header("etag").into(), body).await?;
    verify_that!(answer.status.as_u16(), eq(503))
}

async fn check_token() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let uri = format!("http://{}/admin/status", deployment.instances[0].admin_address());
    let request = Request::builder()
        .uri(uri)
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::default())
        .or_fail()?;
    let answer = deployment.send(request).await?;
    verify_that!(answer.status.as_u16(), eq(401))
}

async fn check_status() -> Result<()> {
    let deployment = Deployment::start(2).await?;
    let answer = deployment.admin(Method::GET, "/admin/status", &[], "").await?;
    let body = answer.json()?;
    verify_that!(body["endpoints"].as_array().map(Vec::len), some(eq(10)))?;
    verify_that!(body["instance"]["ready"].as_bool(), some(eq(true)))?;
    verify_that!(body["catalogue"]["offset"].as_u64(), some(ge(4)))
}

cases! { async
    edit_and_late_edit => check_edit(),
    create_and_remove => check_create_and_remove(),
    every_fault_of_an_entry => check_invalid_entry(),
    edit_without_revision => check_without_match(),
    log_is_down => check_log_down(),
    token_of_a_caller => check_token(),
    status_page => check_status(),
}
