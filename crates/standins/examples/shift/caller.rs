//! Makes calls through an instance, with timing and a check of the answer.

use crate::schedule::{CallKind, PlannedCall};
use bytes::{Bytes, BytesMut};
use catalogue::id::{EntryName, ModelName};
use catalogue::prefix::BYTES_PER_TOKEN;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode};
use platform::framing::MeteredBody;
use platform::http::{HttpClient, HttpError, MAX_ANSWER_BYTES, read_body};
use smol_str::{SmolStr, format_smolstr};
use standins::answer::{expected_text, service_text};
use standins::caller::RAN_HEADER;
use standins::service::KEY_HEADER;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after the deadline for which the caller still waits for the answer.
const LATE_TIMEOUT: Duration = Duration::from_secs(20);
const EVENT_START: &[u8] = b"data: ";
const STREAM_END: &[u8] = b"[DONE]";
const FILLER: &str = "lorem ipsum dolor sit amet consectetur ";

/// How a call ended
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// Complete, correct and in time
    Good,
    /// Complete and correct, but after the deadline
    Late,
    /// Refused as not run
    Refused,
    /// Refused, may have run
    RefusedUnknown,
    /// Answer incomplete
    Cut,
    /// Answer differs from the expected one
    Wrong,
    /// No answer received
    Lost,
}

#[derive(Debug, Clone)]
pub struct CallResult {
    pub call: PlannedCall,
    pub end: CallEnd,
    /// HTTP status of a refusal
    pub status: Option<u16>,
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens
    pub gaps: Vec<Duration>,
    pub total: Duration,
    /// Idempotency key of a once-only call
    pub key: Option<SmolStr>,
}

/// Context of all calls
#[derive(Debug, Clone)]
pub struct CallContext {
    pub client: HttpClient,
    pub bearer: SmolStr,
    pub model: ModelName,
    /// Entries by kind, in the order of `CallKind::ALL`
    pub entries: Vec<EntryName>,
    pub instances: Vec<SocketAddr>,
}

impl CallContext {
    /// Makes the call and checks the answer
    pub async fn make(&self, call: PlannedCall) -> CallResult {
        let started = Instant::now();
        let bound = call.time_allowed + LATE_TIMEOUT;
        let mut trace = CallTrace::default();
        let outcome = match call.kind.is_generation() {
            true => tokio::time::timeout(bound, self.generate(&call, started, &mut trace)).await,
            false => tokio::time::timeout(bound, self.call_service(&call, &mut trace)).await,
        };
        let total = started.elapsed();
        let end = match outcome {
            Ok(Ok(CallEnd::Good)) if total > call.time_allowed => CallEnd::Late,
            Ok(Ok(end)) => end,
            Ok(Err(_)) => CallEnd::Cut,
            Err(_) if trace.answered => CallEnd::Cut,
            Err(_) => CallEnd::Lost,
        };
        let CallTrace { first_token, gaps, key, status, .. } = trace;
        CallResult { call, end, status, first_token, gaps, total, key }
    }

    fn entry(&self, kind: CallKind) -> &EntryName {
        &self.entries[kind as usize]
    }

    async fn generate(
        &self,
        call: &PlannedCall,
        started: Instant,
        trace: &mut CallTrace,
    ) -> Result<CallEnd, HttpError> {
        let prompt = prompt_text(call);
        let body = serde_json::json!({
            "model": self.entry(call.kind),
            "prompt": prompt,
            "max_tokens": call.output_tokens,
            "stream": true,
            "deadline_ms": call.time_allowed.as_millis() as u64,
        });
        let uri = format!("http://{}/v1/completions", self.instances[call.instance]);
        let request = self
            .request(Method::POST, &uri)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(HttpError::Request)?;
        let response = self.client.send(request).await?;
        trace.answered = true;
        if !response.status().is_success() {
            return Ok(refusal(&response, trace));
        }
        let Some(text) = read_stream(response.into_body(), started, trace).await? else {
            return Ok(CallEnd::Cut);
        };
        let is_right = text == expected_text(&self.model, &prompt, call.output_tokens);
        Ok(if is_right { CallEnd::Good } else { CallEnd::Wrong })
    }

    async fn call_service(
        &self,
        call: &PlannedCall,
        trace: &mut CallTrace,
    ) -> Result<CallEnd, HttpError> {
        let (method, path) = match call.kind {
            CallKind::Once => (Method::POST, SmolStr::new_static("/create")),
            _ => (Method::GET, format_smolstr!("/lookup?serial={}", call.serial)),
        };
        let address = self.instances[call.instance];
        let uri = format!("http://{address}/services/{}{path}", self.entry(call.kind));
        let mut builder = self.request(method.clone(), &uri);
        let mut body = Bytes::new();
        if call.kind == CallKind::Once {
            let key = format_smolstr!("{}", uuid::Uuid::now_v7());
            builder = builder.header(KEY_HEADER, key.as_str());
            trace.key = Some(key);
            body = Bytes::from(format!("{{\"serial\":{}}}", call.serial));
        }
        let request = builder.body(Full::new(body.clone())).map_err(HttpError::Request)?;
        let response = self.client.send(request).await?;
        trace.answered = true;
        if !response.status().is_success() {
            return Ok(refusal(&response, trace));
        }
        let answer = read_body(response.into_body(), MAX_ANSWER_BYTES).await?;
        let is_right = answer == service_text(method.as_str(), &path, &body).as_bytes();
        Ok(if is_right { CallEnd::Good } else { CallEnd::Wrong })
    }

    fn request(&self, method: Method, uri: &str) -> hyper::http::request::Builder {
        let bearer = format!("Bearer {}", self.bearer);
        Request::builder().method(method).uri(uri).header(hyper::header::AUTHORIZATION, bearer)
    }
}

/// Observations of an answer while it is received
#[derive(Debug, Default)]
struct CallTrace {
    answered: bool,
    status: Option<u16>,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    gaps: Vec<Duration>,
    key: Option<SmolStr>,
}

impl CallTrace {
    fn note_token(&mut self, started: Instant) {
        let now = Instant::now();
        match self.last_token {
            Some(last) => self.gaps.push(now - last),
            None => self.first_token = Some(now - started),
        }
        self.last_token = Some(now);
    }
}

fn refusal(response: &Response<MeteredBody>, trace: &mut CallTrace) -> CallEnd {
    trace.status = Some(response.status().as_u16());
    let ran = response.headers().get(RAN_HEADER).and_then(|it| it.to_str().ok());
    match ran {
        Some("no") => CallEnd::Refused,
        _ if response.status() == StatusCode::TOO_MANY_REQUESTS => CallEnd::Refused,
        _ => CallEnd::RefusedUnknown,
    }
}

#[derive(serde::Deserialize)]
struct StreamChunk {
    choices: Vec<StreamChoice>,
}

#[derive(serde::Deserialize)]
struct StreamChoice {
    text: Option<String>,
}

/// Reads the text of a stream; `None` if it ends before its end mark
async fn read_stream(
    mut body: MeteredBody,
    started: Instant,
    trace: &mut CallTrace,
) -> Result<Option<String>, HttpError> {
    let mut buffer = BytesMut::new();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|it| HttpError::Body(Box::new(it)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|it| it == b"\n\n") {
            let event = buffer.split_to(end + 2);
            let data = event[..end].strip_prefix(EVENT_START).unwrap_or(&event[..end]);
            if data == STREAM_END {
                return Ok(Some(text));
            }
            let Ok(chunk) = serde_json::from_slice::<StreamChunk>(data) else {
                // An error event instead of a chunk: the answer is incomplete.
                return Ok(None);
            };
            let before = text.len();
            text.extend(chunk.choices.into_iter().filter_map(|it| it.text));
            if text.len() > before {
                trace.note_token(started);
            }
        }
    }
    Ok(None)
}

/// Unique prompt of the planned length
fn prompt_text(call: &PlannedCall) -> String {
    let mut text = format!("{} {} ", call.kind.name(), call.serial);
    let bytes = call.prompt_tokens as usize * BYTES_PER_TOKEN;
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
    text
}
