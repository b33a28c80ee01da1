//! The binary: command line, check of settings, SIGTERM. Settings are also checked
//! through the library.

mod harness;

use googletest::prelude::*;
use harness::*;
use persimmonlift::settings::InstanceSettings;
use persimmonlift::{FaultReason, SettingFault};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use testcases::cases;
use tokio::io::{AsyncBufReadExt, BufReader};

const BINARY: &str = env!("CARGO_BIN_EXE_persimmonlift");
/// Pause after each further signal of a series
const SIGNAL_PAUSE: Duration = Duration::from_millis(100);
const VALID_SETTINGS: &str = r#"
[instance]
id = "entry-1"
zone = "south-a"
region = "south"
deployment = "trust"
[listen]
caller = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
[platform]
log = "127.0.0.1:1"
instances = "127.0.0.1:2"
weights = "127.0.0.1:3"
[secrets]
admin_token_file = "admin.token"
peer_token_file = "peer.token"
"#;

fn keys(faults: &[SettingFault]) -> Vec<&str> {
    faults.iter().map(|it| it.key.as_str()).collect()
}

fn check_valid() -> Result<()> {
    let settings = InstanceSettings::parse(VALID_SETTINGS).or_fail()?;
    verify_that!(settings.timeouts.between_tokens(), eq(Duration::from_secs(2)))
}

fn check_every_fault() -> Result<()> {
    let text =
        VALID_SETTINGS.replace("zone = \"south-a\"", "zone = \"\"").replace("127.0.0.1:1", "log")
            + "[limits]\nmax_body_bytes = 1\nqueue = 3\n[colours]\nred = 1\n";
    let text = text.replace("id = \"entry-1\"\n", "");
    let faults = InstanceSettings::parse(&text).err().or_fail()?;
    verify_that!(
        keys(&faults),
        unordered_elements_are![
            eq(&"instance.id"),
            eq(&"instance.zone"),
            eq(&"platform.log"),
            eq(&"limits.max_body_bytes"),
            eq(&"limits.queue"),
            eq(&"colours")
        ]
    )
}

/// If the log dropped claims while their keys are still valid, a key could run twice.
fn check_short_retention() -> Result<()> {
    let text = format!("{VALID_SETTINGS}[timeouts]\nlog_retention_ms = 1199999\n");
    let faults = InstanceSettings::parse(&text).err().or_fail()?;
    verify_that!(keys(&faults), elements_are![eq(&"timeouts.log_retention_ms")])
}

fn check_syntax() -> Result<()> {
    let faults = InstanceSettings::parse("[instance").err().or_fail()?;
    verify_that!(faults.len(), eq(1))?;
    verify_that!(matches!(faults[0].reason, FaultReason::Syntax(_)), eq(true))
}

/// Temporary folder of one test, removed when dropped
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Result<TestFolder> {
        let name = format!("persimmonlift-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).or_fail()?;
        Ok(TestFolder(folder))
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, text).or_fail()?;
        Ok(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn run_check(path: &Path) -> Result<Output> {
    Command::new(BINARY).arg("--settings").arg(path).arg("--check").output().or_fail()
}

fn check_command() -> Result<()> {
    let folder = TestFolder::new("check")?;
    let text = VALID_SETTINGS.replace("entry-1", "") + "[limits]\nmax = 1\n";
    let output = run_check(&folder.write("node.toml", &text)?)?;
    verify_that!(output.status.code(), some(eq(2)))?;
    let output_text = String::from_utf8(output.stderr).or_fail()?;
    verify_that!(output_text, contains_substring("node.toml: instance.id: must be"))?;
    verify_that!(output_text, contains_substring("node.toml: limits.max: unknown key"))
}

fn check_missing_secrets() -> Result<()> {
    let folder = TestFolder::new("secrets")?;
    let output = run_check(&folder.write("node.toml", VALID_SETTINGS)?)?;
    verify_that!(output.status.code(), some(eq(2)))?;
    let output_text = String::from_utf8(output.stderr).or_fail()?;
    verify_that!(output_text, contains_substring("secrets.admin_token_file: file can't be read"))?;
    verify_that!(output_text, contains_substring("secrets.peer_token_file: file can't be read"))
}

fn check_arguments(arguments: &[&str], code: i32, expected: &str) -> Result<()> {
    let output = Command::new(BINARY).args(arguments).output().or_fail()?;
    verify_that!(output.status.code(), some(eq(code)))?;
    let output_text = [output.stdout, output.stderr].concat();
    verify_that!(String::from_utf8(output_text).or_fail()?, contains_substring(expected))
}

/// After SIGTERM, also a series of them, a real process completes all streams and exits with 0.
async fn check_sigterm(signals: usize) -> Result<()> {
    let deployment = Deployment::start(1).await?;
    for engine in deployment.fleet.engines.values() {
        engine.set_speed(0.5);
    }
    let folder = TestFolder::new(&format!("sigterm-{signals}"))?;
    let (mut process, caller) = start_process(&folder, &deployment).await?;
    let client = deployment.client.clone();
    await_ready(&client, caller).await?;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..40 {
        let client = client.clone();
        calls.spawn(async move { check_process_stream(client, caller, number).await });
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    signal(&process)?;
    await_status(&client, caller, 503).await?;
    for _ in 1..signals {
        signal(&process)?;
        tokio::time::sleep(SIGNAL_PAUSE).await;
    }
    while let Some(call) = calls.join_next().await {
        call.or_fail()??;
    }
    let ended = tokio::task::spawn_blocking(move || process.wait()).await.or_fail()?.or_fail()?;
    verify_that!(ended.code(), some(eq(0)))
}

async fn check_process_stream(
    client: platform::http::HttpClient,
    caller: SocketAddr,
    number: usize,
) -> Result<()> {
    let text = prompt(number, 60);
    let request = http::Request::builder()
        .method("POST")
        .uri(format!("http://{caller}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(completion_body("summaries", &text, 100, true).into())
        .or_fail()?;
    check_streamed(&send(&client, request).await?, &text, 100)
}

fn signal(process: &Child) -> Result<()> {
    let status = Command::new("kill").arg(process.id().to_string()).status().or_fail()?;
    verify_that!(status.success(), eq(true))
}

async fn start_process(
    folder: &TestFolder,
    deployment: &Deployment,
) -> Result<(Child, SocketAddr)> {
    let admin = folder.write("admin.token", ADMIN_TOKEN)?;
    let peer = folder.write("peer.token", "peer-token")?;
    let mut settings = settings(&deployment.fleet, 1);
    settings.timeouts.drain_pause_ms = 500;
    settings.secrets.admin_token_file = admin;
    settings.secrets.peer_token_file = peer;
    let path = folder.write("node.toml", &toml::to_string(&settings).or_fail()?)?;
    let mut process = Command::new(BINARY)
        .arg("--settings")
        .arg(path)
        .stderr(Stdio::piped())
        .spawn()
        .or_fail()?;
    let stderr = process.stderr.take().or_fail()?;
    let mut lines =
        BufReader::new(tokio::process::ChildStderr::from_std(stderr).or_fail()?).lines();
    let caller = loop {
        let line = lines.next_line().await.or_fail()?.or_fail()?;
        if let Some(address) = line.split("caller=").nth(1) {
            break address.split(' ').next().unwrap_or_default().parse().or_fail()?;
        }
    };
    // Keep reading the log, so that the process never blocks on a full pipe.
    tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    Ok((process, caller))
}

async fn await_ready(client: &platform::http::HttpClient, caller: SocketAddr) -> Result<()> {
    await_status(client, caller, 200).await?;
    // The instance may be ready before it has read the engines' reports.
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(())
}

async fn await_status(
    client: &platform::http::HttpClient,
    caller: SocketAddr,
    status: u16,
) -> Result<()> {
    for _ in 0..200 {
        let request = http::Request::builder().uri(format!("http://{caller}/readyz"));
        let answer = send(client, request.body(Default::default()).or_fail()?).await;
        if answer.is_ok_and(|it| it.status.as_u16() == status) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fail!("/readyz never answered {status}")
}

cases! {
    valid_settings => check_valid(),
    every_fault_at_once => check_every_fault(),
    retention_shorter_than_claims_need => check_short_retention(),
    broken_syntax => check_syntax(),
    check_command_line => check_command(),
    secrets_missing => check_missing_secrets(),
    help => check_arguments(&["--help"], 0, "Usage:"),
    version => check_arguments(&["--version"], 0, "persimmonlift "),
    no_settings => check_arguments(&[], 2, "--settings"),
    unknown_argument => check_arguments(&["--settings", "x", "--fast"], 2, "--fast"),
}

cases! { async
    sigterm_cuts_no_stream => check_sigterm(1),
    // Guards against a process that ends at once when it gets another SIGTERM.
    series_of_sigterms_cuts_no_stream => check_sigterm(3),
}
