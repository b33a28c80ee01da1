//! A caller of the system that checks the answers it receives.

use crate::answer::{expected_text, service_text};
use bytes::{Bytes, BytesMut};
use catalogue::id::{EntryName, ModelName, TokenCount};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode};
use platform::framing::MeteredBody;
use platform::http::{HttpClient, HttpError, MAX_ANSWER_BYTES, read_body};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Header that states whether a refused request has run.
pub const RAN_HEADER: &str = "persimmon-ran";
const EVENT_START: &[u8] = b"data: ";
const STREAM_END: &[u8] = b"[DONE]";

/// Completion request
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// Catalogue entry
    pub entry: EntryName,
    /// Model that serves the entry; the expected answer depends on it
    pub model: ModelName,
    pub prompt: String,
    /// Number of tokens to generate
    pub max_tokens: TokenCount,
    /// Whether the answer is streamed
    pub stream: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Catalogue entry
    pub entry: EntryName,
    pub method: Method,
    /// Path below the entry, with its leading slash
    pub path: SmolStr,
    /// Idempotency key, if any
    pub key: Option<SmolStr>,
    pub body: Bytes,
}

/// Value of the header `persimmon-ran` of a refusal
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RanStatus {
    /// The request has not run
    No,
    /// The request may have run
    Unknown,
    /// The request has run
    Yes,
    /// The header is absent or has another value
    Missing,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete and correct answer to this request
    Right {
        /// Time to the first byte of the answer's text
        first: Duration,
        /// Time to the end of the answer
        total: Duration,
    },
    /// A refusal
    Refused {
        status: StatusCode,
        /// Whether the refusal states that the request has run
        ran: RanStatus,
        /// Body of the refusal
        body: SmolStr,
    },
    /// An answer that differs from the expected one
    Wrong(SmolStr),
    /// No complete answer: an error event, a broken connection or a timeout
    Cut(SmolStr),
}

impl CallOutcome {
    /// Whether the answer was complete and correct
    pub fn is_right(&self) -> bool {
        matches!(self, CallOutcome::Right { .. })
    }

    /// Whether the request was refused with the statement that it has not run
    pub fn is_not_run(&self) -> bool {
        matches!(self, CallOutcome::Refused { ran: RanStatus::No, .. })
    }
}

#[derive(serde::Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: TokenCount,
    stream: bool,
}

#[derive(serde::Deserialize)]
struct CompletionAnswer {
    choices: Vec<CompletionChoice>,
}

#[derive(serde::Deserialize)]
struct CompletionChoice {
    text: Option<String>,
}

/// Caller that authenticates with a bearer key
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: HttpClient,
    key: SmolStr,
    timeout: Duration,
}

impl CallerClient {
    /// Caller that waits up to `timeout` for a complete answer
    pub fn new(key: &str, timeout: Duration) -> CallerClient {
        CallerClient { client: HttpClient::new(), key: key.into(), timeout }
    }

    /// Requests a completion from the instance at `address` and checks the answer
    pub async fn complete(&self, address: SocketAddr, call: &CompletionCall) -> CallOutcome {
        match tokio::time::timeout(self.timeout, self.completion(address, call)).await {
            Ok(outcome) => outcome.unwrap_or_else(|it| CallOutcome::Cut(it.to_string().into())),
            Err(_) => CallOutcome::Cut("no answer in time".into()),
        }
    }

    /// Calls a service through the instance at `address` and checks the answer
    pub async fn call_service(&self, address: SocketAddr, call: &ServiceCall) -> CallOutcome {
        match tokio::time::timeout(self.timeout, self.service_call(address, call)).await {
            Ok(outcome) => outcome.unwrap_or_else(|it| CallOutcome::Cut(it.to_string().into())),
            Err(_) => CallOutcome::Cut("no answer in time".into()),
        }
    }

    /// Whether the instance at `address` reports that it is ready
    pub async fn is_ready(&self, address: SocketAddr) -> bool {
        let request = Request::builder()
            .uri(format!("http://{address}/readyz"))
            .body(Full::new(Bytes::new()))
            .map_err(HttpError::Request);
        match request {
            Ok(request) => self.client.send(request).await.is_ok_and(|it| it.status().is_success()),
            Err(_) => false,
        }
    }

    async fn completion(
        &self,
        address: SocketAddr,
        call: &CompletionCall,
    ) -> Result<CallOutcome, HttpError> {
        let started = Instant::now();
        let body = CompletionBody {
            model: &call.entry,
            prompt: &call.prompt,
            max_tokens: call.max_tokens,
            stream: call.stream,
        };
        let body = serde_json::to_vec(&body).map_err(HttpError::MalformedJson)?;
        let request = self
            .request(Method::POST, format!("http://{address}/v1/completions"))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(HttpError::Request)?;
        let response = self.client.send(request).await?;
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        let mut text = TextReader::new(response.into_body(), call.stream);
        let is_complete = text.read(started).await?;
        if !is_complete {
            return Ok(CallOutcome::Cut(text.error_event));
        }
        let expected = expected_text(&call.model, &call.prompt, call.max_tokens);
        if text.text != expected {
            return Ok(CallOutcome::Wrong(text.text.into()));
        }
        let total = started.elapsed();
        Ok(CallOutcome::Right { first: text.first.unwrap_or(total), total })
    }

    async fn service_call(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
    ) -> Result<CallOutcome, HttpError> {
        let started = Instant::now();
        let uri = format!("http://{address}/services/{}{}", call.entry, call.path);
        let mut builder = self.request(call.method.clone(), uri);
        if let Some(key) = &call.key {
            builder = builder.header(crate::service::KEY_HEADER, key.as_str());
        }
        let request = builder.body(Full::new(call.body.clone())).map_err(HttpError::Request)?;
        let response = self.client.send(request).await?;
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        let answer = read_body(response.into_body(), MAX_ANSWER_BYTES).await?;
        let expected = service_text(call.method.as_str(), &call.path, &call.body);
        if answer != expected.as_bytes() {
            return Ok(CallOutcome::Wrong(String::from_utf8_lossy(&answer).into()));
        }
        let total = started.elapsed();
        Ok(CallOutcome::Right { first: total, total })
    }

    fn request(&self, method: Method, uri: String) -> hyper::http::request::Builder {
        let bearer = format!("Bearer {}", self.key);
        Request::builder().method(method).uri(uri).header(hyper::header::AUTHORIZATION, bearer)
    }
}

async fn read_refusal(response: Response<MeteredBody>) -> Result<CallOutcome, HttpError> {
    let status = response.status();
    let ran = match response.headers().get(RAN_HEADER).and_then(|it| it.to_str().ok()) {
        Some("no") => RanStatus::No,
        Some("unknown") => RanStatus::Unknown,
        Some("yes") => RanStatus::Yes,
        _ => RanStatus::Missing,
    };
    let body = read_body(response.into_body(), MAX_ANSWER_BYTES).await?;
    Ok(CallOutcome::Refused { status, ran, body: String::from_utf8_lossy(&body).into() })
}

/// Reader of a completion's text, streamed or not
struct TextReader {
    body: MeteredBody,
    is_stream: bool,
    buffer: BytesMut,
    text: String,
    first: Option<Duration>,
    /// First event that isn't a part of the answer
    error_event: SmolStr,
}

impl TextReader {
    fn new(body: MeteredBody, is_stream: bool) -> TextReader {
        TextReader {
            body,
            is_stream,
            buffer: BytesMut::new(),
            text: String::new(),
            first: None,
            error_event: SmolStr::default(),
        }
    }

    /// Reads to the end; returns whether the answer is complete
    async fn read(&mut self, started: Instant) -> Result<bool, HttpError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|it| HttpError::Body(Box::new(it)))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.buffer.extend_from_slice(&data);
            if self.is_stream && self.read_events(started) {
                return Ok(true);
            }
        }
        if self.is_stream {
            return Ok(false);
        }
        let answer = std::mem::take(&mut self.buffer);
        self.push(&answer)?;
        Ok(true)
    }

    /// Consumes the complete events in the buffer; returns whether the end mark was found
    fn read_events(&mut self, started: Instant) -> bool {
        while let Some(end) = self.buffer.windows(2).position(|it| it == b"\n\n") {
            let event = self.buffer.split_to(end + 2);
            let data = event[..end].strip_prefix(EVENT_START).unwrap_or(&event[..end]);
            if data == STREAM_END {
                return true;
            }
            if self.push(data).is_err() {
                self.error_event = String::from_utf8_lossy(data).into();
                return false;
            }
            self.first.get_or_insert_with(|| started.elapsed());
        }
        false
    }

    fn push(&mut self, data: &[u8]) -> Result<(), HttpError> {
        let answer: CompletionAnswer =
            serde_json::from_slice(data).map_err(HttpError::MalformedJson)?;
        self.text.extend(answer.choices.into_iter().filter_map(|it| it.text));
        Ok(())
    }
}
