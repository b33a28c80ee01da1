//! Invalid input from callers is refused with a 4xx that states that nothing ran, and
//! nothing is forwarded.

mod harness;

use bytes::Bytes;
use googletest::prelude::*;
use harness::*;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use persimmonlift::settings::InstanceSettings;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::net::SocketAddr;
use std::time::Duration;
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const COMPLETIONS: &str = "/v1/completions";
const REGISTER: &str = "/services/register-entries/dwellings";
const MAX_BODY_BYTES: usize = 64 * 1024;
/// UUIDv7 of the year 2200.
const FUTURE_KEY: &str = "069a3ea5-5c00-7000-8000-000000000000";

fn small_limits(settings: &mut InstanceSettings) {
    settings.limits.max_body_bytes = MAX_BODY_BYTES;
    settings.timeouts.body_ms = 200;
    settings.timeouts.head_ms = 200;
}

async fn deployment() -> Result<Deployment> {
    Deployment::start_with(1, FleetSettings::of(DeploymentKind::Trust), small_limits).await
}

fn check_refusal(answer: &WholeAnswer, status: u16, code: &str) -> Result<()> {
    verify_that!(answer.status.as_u16(), eq(status))?;
    verify_that!(answer.code()?, eq(code))?;
    verify_that!(answer.header("persimmon-ran"), eq("no"))?;
    verify_that!(answer.json()?["error"]["ran"].as_str(), some(eq("no")))
}

fn check_nothing_ran(deployment: &Deployment) -> Result<()> {
    verify_that!(deployment.fleet.engine_executions(), is_empty())?;
    verify_that!(deployment.fleet.service_executions(), is_empty())
}

/// Calls with the caller's key
async fn check_call(method: Method, path: &str, body: &str, status: u16, code: &str) -> Result<()> {
    let deployment = deployment().await?;
    let answer = deployment.call(0, method, path, body.to_owned()).await?;
    check_refusal(&answer, status, code)?;
    check_nothing_ran(&deployment)
}

async fn check_body(body: &str, code: &str) -> Result<()> {
    check_call(Method::POST, COMPLETIONS, body, 400, code).await
}

/// Calls with the given headers in place of the caller's key
async fn check_headers(
    path: &str,
    headers: &[(&str, &str)],
    status: u16,
    code: &str,
) -> Result<()> {
    let deployment = deployment().await?;
    let mut request = Request::builder().method(Method::POST).uri(deployment.caller_uri(0, path));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = completion_body("summaries", "text", 4, false);
    let answer = deployment.send(request.body(Full::new(Bytes::from(body))).or_fail()?).await?;
    check_refusal(&answer, status, code)?;
    check_nothing_ran(&deployment)
}

async fn check_once_key(key: &str) -> Result<()> {
    let headers = [("authorization", "Bearer caller-key"), ("idempotency-key", key)];
    check_headers(REGISTER, &headers, 400, "bad_field").await
}

async fn check_prompt_too_long() -> Result<()> {
    let fleet = FleetSettings::of(DeploymentKind::Trust);
    let deployment = Deployment::start_with(1, fleet, |_| {}).await?;
    let answer = deployment.complete(0, &"x".repeat(4 * 64_001), 4).await?;
    check_refusal(&answer, 400, "bad_field")?;
    check_nothing_ran(&deployment)
}

async fn check_large_body() -> Result<()> {
    let body = completion_body("summaries", &"x".repeat(MAX_BODY_BYTES), 4, false);
    check_call(Method::POST, COMPLETIONS, &body, 413, "body_too_large").await
}

/// Sends raw bytes and reads until the connection closes
async fn send_raw(deployment: &Deployment, parts: &[&[u8]]) -> Result<String> {
    let mut stream =
        TcpStream::connect(deployment.instances[0].caller_address()).await.or_fail()?;
    for part in parts {
        // The instance may answer and close before it has read the whole request.
        if stream.write_all(part).await.is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(10), reading).await.or_fail()?;
    String::from_utf8(answer).or_fail()
}

fn raw_head(headers: &str) -> String {
    format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n{headers}\r\n"
    )
}

async fn check_raw(parts: &[&[u8]], status_line: &str, code: &str) -> Result<()> {
    let deployment = deployment().await?;
    let answer = send_raw(&deployment, parts).await?;
    verify_that!(answer, starts_with(status_line))?;
    verify_that!(answer, contains_substring(code))?;
    check_nothing_ran(&deployment)
}

async fn check_large_chunks() -> Result<()> {
    let head = raw_head("transfer-encoding: chunked\r\n");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let mut parts = vec![head.as_bytes()];
    parts.extend(std::iter::repeat_n(chunk.as_bytes(), 6));
    check_raw(&parts, "HTTP/1.1 413", "body_too_large").await
}

/// Parts of a chunk's size that never ends, more than an instance reads of it
const SIZE_PARTS: usize = 400;

async fn check_endless_chunk_size() -> Result<()> {
    let head = raw_head("transfer-encoding: chunked\r\n");
    let zeros = "0".repeat(4096);
    let mut parts = vec![head.as_bytes()];
    parts.extend(std::iter::repeat_n(zeros.as_bytes(), SIZE_PARTS));
    check_raw(&parts, "HTTP/1.1 400", "body_broken").await
}

/// Uploads whose bodies arrive before the instance reads any of them reach the limit of the prompt
async fn check_large_http2_bodies() -> Result<()> {
    let fleet = FleetSettings::of(DeploymentKind::Trust);
    let deployment = Deployment::start_with(1, fleet, |_| {}).await?;
    let address = deployment.instances[0].caller_address();
    // A thread of its own writes while the instance reads.
    let uploads = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.or_fail()?.block_on(upload_with_http2(address))
    });
    uploads.await.or_fail()??;
    check_nothing_ran(&deployment)
}

async fn upload_with_http2(address: SocketAddr) -> Result<()> {
    const BYTES: usize = 3 * 1024 * 1024;
    const UPLOADS: usize = 4;
    let socket = TokioIo::new(TcpStream::connect(address).await.or_fail()?);
    let connecting = http2::handshake(TokioExecutor::new(), socket);
    let (mut sender, connection) = connecting.await.or_fail()?;
    tokio::spawn(connection);
    for _ in 0..UPLOADS {
        let body = completion_body("summaries", &"x".repeat(BYTES), 4, false);
        let request = Request::post(format!("http://{address}{COMPLETIONS}"))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(Bytes::from(body)));
        let answer = sender.send_request(request.or_fail()?).await.or_fail()?;
        let body = answer.into_body().collect().await.or_fail()?.to_bytes();
        verify_that!(String::from_utf8(body.to_vec()).or_fail()?, contains_substring("bad_field"))?;
    }
    Ok(())
}

/// Sends a request's head with HTTP/2 and then frames of its body that have no content, until the connection ends
async fn check_endless_empty_frames() -> Result<()> {
    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const END_OF_HEADERS: u8 = 4;
    const EMPTY_DATA: [u8; 9] = [0, 0, 0, 0, 0, 0, 0, 0, 1];
    const FRAMES: usize = 4096;
    const PARTS: usize = 120;
    let fleet = FleetSettings::of(DeploymentKind::Trust);
    let deployment = Deployment::start_with(1, fleet, |it| it.timeouts.body_ms = 20_000).await?;
    let mut stream =
        TcpStream::connect(deployment.instances[0].caller_address()).await.or_fail()?;
    // POST and http of the static table, then literal values of its names path, authority and authorization.
    let mut fields = vec![0x83, 0x86];
    let key = format!("Bearer {KEY}");
    for (name, value) in [(&[0x04][..], COMPLETIONS), (&[0x01], "x"), (&[0x0f, 0x08], &key)] {
        fields.extend_from_slice(name);
        fields.push(value.len() as u8);
        fields.extend_from_slice(value.as_bytes());
    }
    let settings = [0, 0, 0, SETTINGS, 0, 0, 0, 0, 0];
    let headers = [0, 0, fields.len() as u8, HEADERS, END_OF_HEADERS, 0, 0, 0, 1];
    let head = [PREFACE, &settings, &headers, &fields].concat();
    stream.write_all(&head).await.or_fail()?;
    let part = EMPTY_DATA.repeat(FRAMES);
    let mut answer = Vec::new();
    let sending = async {
        for _ in 0..PARTS {
            if stream.write_all(&part).await.is_err() {
                break;
            }
        }
        let _ = stream.read_to_end(&mut answer).await;
    };
    tokio::time::timeout(Duration::from_secs(5), sending).await.or_fail()?;
    check_nothing_ran(&deployment)
}

async fn check_slow_body() -> Result<()> {
    let head = raw_head("content-length: 100\r\n");
    check_raw(&[head.as_bytes(), b"{\"model\""], "HTTP/1.1 408", "body_too_slow").await
}

async fn check_slow_head() -> Result<()> {
    let deployment = deployment().await?;
    let answer = send_raw(&deployment, &[b"POST /v1/completions HTTP/1.1\r\nhost"]).await?;
    verify_that!(answer.as_str(), not(contains_substring("200 OK")))?;
    check_nothing_ran(&deployment)
}

async fn check_bad_head() -> Result<()> {
    let head = b"POST /v1/completions HTTP/1.1\r\nno colon here\r\n\r\n";
    check_raw(&[head], "HTTP/1.1 400", "").await
}

async fn check_many_headers() -> Result<()> {
    let mut headers = String::new();
    for number in 0..200 {
        headers.push_str(&format!("x-{number}: y\r\n"));
    }
    check_raw(&[raw_head(&headers).as_bytes()], "HTTP/1.1 431", "").await
}

async fn check_truncated_body() -> Result<()> {
    let deployment = deployment().await?;
    let mut stream =
        TcpStream::connect(deployment.instances[0].caller_address()).await.or_fail()?;
    let head = raw_head("content-length: 100\r\n");
    stream.write_all(head.as_bytes()).await.or_fail()?;
    stream.write_all(b"{\"model\":\"summaries\"").await.or_fail()?;
    drop(stream);
    await_until("request has ended", || deployment.instances[0].context().status.in_flight() == 0)
        .await?;
    check_nothing_ran(&deployment)
}

/// A body is refused as busy if it would exceed the total memory for bodies.
async fn check_body_budget() -> Result<()> {
    let fleet = FleetSettings::of(DeploymentKind::Trust);
    let deployment = Deployment::start_with(1, fleet, |settings| {
        settings.limits.max_held_bytes = 64 * 1024;
        settings.timeouts.body_ms = 2_000;
    })
    .await?;
    let head = raw_head("content-length: 60000\r\n");
    let mut first = TcpStream::connect(deployment.instances[0].caller_address()).await.or_fail()?;
    first.write_all(head.as_bytes()).await.or_fail()?;
    first.write_all(&vec![b' '; 40_000]).await.or_fail()?;
    let context = deployment.instances[0].context().clone();
    await_until("first body is read", || context.body_budget.available_permits() < 30).await?;
    let body = completion_body("summaries", &"x".repeat(40_000), 4, false);
    let answer = deployment.call(0, Method::POST, COMPLETIONS, body).await?;
    check_refusal(&answer, 503, "busy")?;
    verify_that!(answer.header("retry-after"), eq("1"))?;
    verify_that!(StatusCode::SERVICE_UNAVAILABLE, eq(answer.status))
}

cases! { async
    not_json => check_body("{\"model\": ", "bad_json"),
    not_an_object => check_body("[1, 2]", "bad_json"),
    model_missing => check_body("{\"prompt\": \"x\"}", "bad_json"),
    prompt_missing => check_body("{\"model\": \"summaries\"}", "bad_field"),
    prompt_empty => check_body("{\"model\": \"summaries\", \"prompt\": \"\"}", "bad_field"),
    prompt_not_text => check_body("{\"model\": \"summaries\", \"prompt\": 7}", "bad_json"),
    no_tokens => check_body(&completion_body("summaries", "x", 0, false), "bad_field"),
    too_many_tokens => check_body(&completion_body("summaries", "x", 4_001, false), "bad_field"),
    prompt_too_long => check_prompt_too_long(),
    entry_of_a_service => check_body(&completion_body("register-lookups", "x", 4, false), "bad_field"),
    engine_as_a_service =>
        check_call(Method::GET, "/services/summaries/x", "", 400, "bad_field"),
    chat_without_messages => check_call(
        Method::POST, "/v1/chat/completions", "{\"model\": \"summaries\"}", 400, "bad_field"
    ),
    wrong_method => check_call(Method::GET, COMPLETIONS, "", 405, "no_method"),
    wrong_path => check_call(Method::POST, "/v2/completions", "", 404, "no_path"),
    services_without_entry => check_call(Method::GET, "/services/", "", 404, "no_path"),
    unknown_entry => check_call(
        Method::POST, COMPLETIONS, &completion_body("minutes", "x", 4, false), 403, "no_entry"
    ),
    no_key => check_headers(COMPLETIONS, &[], 401, "no_key"),
    other_scheme =>
        check_headers(COMPLETIONS, &[("authorization", "Basic eDp5")], 401, "no_key"),
    unknown_key =>
        check_headers(COMPLETIONS, &[("authorization", "Bearer other")], 401, "unknown_key"),
    once_without_key =>
        check_headers(REGISTER, &[("authorization", "Bearer caller-key")], 400, "bad_field"),
    once_key_not_a_uuid => check_once_key("seven"),
    once_key_of_another_version => check_once_key("8f14e45f-ceea-467f-ab7d-9b1c5e8a4d11"),
    once_key_of_the_future => check_once_key(FUTURE_KEY),
    body_too_large => check_large_body(),
    chunks_too_large => check_large_chunks(),
    // Guards against a chunk's size without end, which is read byte by byte until the body is too slow.
    chunk_size_without_end => check_endless_chunk_size(),
    // Guards against a bound on framing that large bodies with HTTP/2 exceed before they are read.
    large_bodies_with_http2 => check_large_http2_bodies(),
    // Guards against frames of HTTP/2 without content and without end, which no limit on bodies counts.
    empty_http2_frames_without_end => check_endless_empty_frames(),
    body_too_slow => check_slow_body(),
    head_too_slow => check_slow_head(),
    head_malformed => check_bad_head(),
    too_many_headers => check_many_headers(),
    body_truncated => check_truncated_body(),
    too_many_body_bytes => check_body_budget(),
}
