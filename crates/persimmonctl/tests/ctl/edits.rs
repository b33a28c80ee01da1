//! `get`, `put`, `rm`, `list` and `history`

use crate::workdir::{TestInstance, entries};
use googletest::prelude::*;
use testcases::cases;

async fn start_with_entries() -> Result<TestInstance> {
    let instance = TestInstance::start().await?;
    for entry in entries() {
        instance.workdir.write_entry(&format!("{}.toml", entry.name), &entry)?;
    }
    let files = ["put", "summaries.toml", "clerk-queries.toml", "register-entries.toml"];
    instance.workdir.run_ok(&files).await?;
    Ok(instance)
}

/// The output of `get` is a valid catalogue file.
async fn check_put_and_get() -> Result<()> {
    let instance = start_with_entries().await?;
    let shown = instance.workdir.run_ok(&["get", "summaries"]).await?;
    let entry: catalogue::CatalogueEntry = toml::from_str(&shown.stdout).or_fail()?;
    verify_that!(entry, eq(&entries()[0]))?;
    let json = instance.workdir.run_ok(&["get", "summaries", "--json"]).await?.json()?;
    let revision = json["revision"].as_u64().or_fail()?;
    verify_that!(shown.stdout, starts_with(format!("# revision {revision}\n")))
}

async fn check_list() -> Result<()> {
    let instance = start_with_entries().await?;
    let run = instance.workdir.run_ok(&["list"]).await?;
    let lines: Vec<_> = run.stdout.lines().collect();
    verify_that!(lines.len(), eq(4))?;
    verify_that!(lines[0], starts_with("ENTRY"))?;
    verify_that!(run.stdout, contains_substring("register-entries"))?;
    let json = instance.workdir.run_ok(&["list", "--json"]).await?.json()?;
    verify_that!(json["entries"].as_array().map(Vec::len), some(eq(3)))
}

async fn check_history() -> Result<()> {
    let instance = start_with_entries().await?;
    let workdir = &instance.workdir;
    workdir.run_ok(&["put", "summaries.toml", "--editor", "ada"]).await?;
    workdir.run_ok(&["rm", "summaries"]).await?;
    let json = workdir.run_ok(&["history", "summaries", "--json"]).await?.json()?;
    let lines = json["lines"].as_array().or_fail()?;
    let seen: Vec<_> = lines
        .iter()
        .map(|it| (it["kind"].as_str().unwrap_or(""), it["editor"].as_str().unwrap_or("")))
        .collect();
    verify_that!(seen, eq(&vec![("put", "tester"), ("put", "ada"), ("remove", "tester")]))?;
    let table = workdir.run_ok(&["history", "summaries"]).await?.stdout;
    verify_that!(table, contains_regex(r"ada +\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z"))?;
    workdir.run(&["get", "summaries"]).await?.check_code(4)
}

/// An edit with a stale base is refused and changes nothing.
async fn check_conflict(args: &[&str]) -> Result<()> {
    let instance = start_with_entries().await?;
    let before = instance.workdir.run_ok(&["get", "summaries"]).await?;
    let run = instance.workdir.run(args).await?;
    run.check_code(5)?;
    verify_that!(run.stderr, contains_substring("stands at revision"))?;
    let after = instance.workdir.run_ok(&["get", "summaries"]).await?;
    verify_that!(after.stdout, eq(&before.stdout))
}

async fn check_code(args: &[&str], code: i32) -> Result<()> {
    start_with_entries().await?.workdir.run(args).await?.check_code(code)
}

async fn check_wrong_token() -> Result<()> {
    let instance = start_with_entries().await?;
    instance.workdir.write("other", "wrong")?;
    instance.workdir.run(&["list", "--token-file", "other"]).await?.check_code(6)
}

async fn check_log_down() -> Result<()> {
    let instance = start_with_entries().await?;
    instance.fleet.log.set_down(true);
    instance.workdir.run(&["put", "summaries.toml"]).await?.check_code(7)?;
    instance.fleet.log.set_down(false);
    instance.workdir.run_ok(&["put", "summaries.toml"]).await.map(drop)
}

/// No file is sent if one of them is invalid.
async fn check_invalid_among_valid() -> Result<()> {
    let instance = start_with_entries().await?;
    let mut invalid = entries().remove(3);
    invalid.owner = "".into();
    instance.workdir.write_entry("invalid.toml", &invalid)?;
    let args = ["put", "register-lookups.toml", "invalid.toml"];
    instance.workdir.run(&args).await?.check_code(2)?;
    instance.workdir.run(&["get", "register-lookups"]).await?.check_code(4)
}

cases! { async
    put_and_get => check_put_and_get(),
    list => check_list(),
    history => check_history(),
    create_of_existing => check_conflict(&["put", "summaries.toml", "--create"]),
    put_on_stale_base => check_conflict(&["put", "summaries.toml", "--base", "0"]),
    rm_on_stale_base => check_conflict(&["rm", "summaries", "--base", "0"]),
    get_absent => check_code(&["get", "absent"], 4),
    rm_absent => check_code(&["rm", "absent"], 4),
    history_of_absent => check_code(&["history", "absent"], 4),
    wrong_token => check_wrong_token(),
    log_down => check_log_down(),
    invalid_among_valid => check_invalid_among_valid(),
}
