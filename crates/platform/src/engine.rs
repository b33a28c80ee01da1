//! Client of engines: prompts, token streams, reports, cache events and orders.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /prefill` | `PrefillRequest` | `PrefillAnswer` once the prompt is read |
//! | `POST /generate` | `GenerateRequest` | one `StreamLine` a line |
//! | `POST /cancel/{request}` | | `{}`; stops the request's work |
//! | `GET /report` | | `LoadReport`, lagging |
//! | `GET /events?from=N` | | `CacheEvents`, late and with gaps |
//! | `GET /state` | | `EngineState`, the truth at that moment |
//! | `POST /orders` | `EngineOrder` | `EngineState`; 409 for an old fencing number |
//!
//! An engine that refuses a request answers a `Refusal` with 4xx or 503, and has
//! then not run it.

pub use crate::token_stream::TokenStream;

use crate::http::{HttpClient, HttpError, JsonCall, MAX_ANSWER_BYTES, read_body};
use bytes::Bytes;
use catalogue::id::{EndpointId, Fence, InstanceId, ModelName, OrderId, RequestId, TokenCount};
use catalogue::prefix::PieceHash;
use catalogue::{EngineRole, ModelTarget};
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// Prompt to read, whose cache is then exported
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefillRequest {
    /// Request id
    pub request: RequestId,
    /// Model
    pub model: ModelName,
    /// Whole prompt
    pub prompt: String,
    /// Rank of the class, 0 the most urgent
    pub priority: u8,
    /// Time left, in milliseconds
    pub deadline_ms: u64,
}

/// Cache held for export
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefillAnswer {
    /// Cache that another engine may import
    pub cache: CacheHandle,
    /// Tokens of the prompt
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt found in the engine's cache
    pub cached_tokens: TokenCount,
}

/// Exported cache of one prompt
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheHandle {
    /// Serving address of the engine that holds it
    pub address: SocketAddr,
    /// Id on that engine
    pub id: u64,
}

/// Prompt to answer
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GenerateRequest {
    /// Request id
    pub request: RequestId,
    /// Model
    pub model: ModelName,
    /// Whole prompt
    pub prompt: String,
    /// Tokens to generate in all, counted from token 0
    pub max_tokens: TokenCount,
    /// First token wanted; above 0 when a stream resumes
    pub from_token: TokenCount,
    /// Rank of the class, 0 the most urgent
    pub priority: u8,
    /// Time left, in milliseconds
    pub deadline_ms: u64,
    /// Cache to import in place of reading the prompt
    pub import: Option<CacheHandle>,
}

/// One line of a token stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamLine {
    /// One token
    Token {
        /// Number of the token, from 0
        n: TokenCount,
        /// Text of the token
        text: String,
    },
    /// End of the whole answer
    End {
        /// Number of tokens of the whole answer
        count: TokenCount,
        /// Tokens of the prompt
        prompt_tokens: TokenCount,
        /// Tokens of the prompt found in the engine's cache
        cached_tokens: TokenCount,
    },
    /// Stream stops before its end
    Stopped {
        /// Why
        reason: RefusalReason,
    },
}

/// Why an engine refuses a request or stops it
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Queue or memory is full
    Full,
    /// Engine is leaving or drained
    Leaving,
    /// Engine is changing its role or loading weights
    Changing,
    /// Engine does not play the part the request needs
    WrongRole,
    /// Model or version is not loaded
    WrongModel,
    /// Cache to import is gone
    NoCache,
    /// Deadline has passed
    TooLate,
    /// Request was cancelled
    Cancelled,
    /// Fencing number is older than one seen before
    StaleFence,
    /// Request is malformed
    Malformed,
}

/// Body of a refusal
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Why
    pub reason: RefusalReason,
}

/// Load of an engine as it reports it, some time ago
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Number of the report
    pub sequence: u64,
    /// Age of the figures, in milliseconds
    pub age_ms: u64,
    /// Role
    pub role: EngineRole,
    /// Whether it takes new work
    pub accepting: bool,
    /// Requests that run
    pub running: u32,
    /// Requests that wait
    pub waiting: u32,
    /// Prompt tokens still to read
    pub queued_prompt_tokens: u64,
    /// Output tokens still to generate
    pub queued_output_tokens: u64,
    /// Prompt tokens read a second when busy
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated a second when its batch is full
    pub decode_tokens_per_s: f64,
    /// Most requests in one batch
    pub batch_limit: u32,
    /// Prompt tokens read since it started
    pub prompt_tokens_done: u64,
    /// Output tokens generated since it started
    pub output_tokens_done: u64,
}

/// Change of an engine's prefix cache
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1
    pub sequence: u64,
    /// Piece that came or went
    pub piece: PieceHash,
    /// Whether it is now held
    pub held: bool,
}

/// Published changes of an engine's cache
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvents {
    /// Number of the next event to be published
    pub next: u64,
    /// Events in order, possibly with gaps
    pub events: Vec<CacheEvent>,
}

/// Order to an engine: absolute, so that repeating it does no harm
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineOrder {
    /// Order id
    pub order: OrderId,
    /// Fencing number: offset of the lease it is given under
    pub fence: Fence,
    /// Who gives it
    pub issuer: InstanceId,
    /// What the engine is to serve
    pub target: ModelTarget,
}

/// State of an engine at this moment
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// Engine
    pub engine: EndpointId,
    /// What it serves, or will when ready
    pub target: ModelTarget,
    /// Whether it serves now
    pub ready: bool,
    /// Whether it checks fencing numbers
    pub checks_fence: bool,
    /// Highest fencing number seen
    pub fence: Fence,
    /// Last order it took
    pub order: OrderId,
    /// Requests that run or wait
    pub in_flight: u32,
}

/// Failure of an engine call
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum EngineError {
    /// engine refused: {0:?}
    Refused(RefusalReason),
    /// engine stopped the stream: {0:?}
    Stopped(RefusalReason),
    /// stream ended before its end mark
    BrokenOff,
    /// no line within {0:?}
    Silent(Duration),
    /// token {got} came where {want} was due
    Gap {
        /// Token due
        want: TokenCount,
        /// Token that came
        got: TokenCount,
    },
    /// line of the stream is too long or not of the expected form
    Line,
    /// {0}
    Http(HttpError),
}

impl std::error::Error for EngineError {}

/// Client of engines
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Client with a connection pool of its own
    pub fn new() -> EngineClient {
        EngineClient::default()
    }

    /// Client that makes a connection for each request
    pub fn without_reuse() -> EngineClient {
        EngineClient { client: HttpClient::without_reuse() }
    }

    /// Has an engine read a prompt and hold its cache for export
    ///
    /// # Errors
    /// `EngineError::Refused` or `Http`.
    pub async fn prefill(
        &self,
        address: SocketAddr,
        request: &PrefillRequest,
        timeout: Duration,
    ) -> Result<PrefillAnswer, EngineError> {
        let call = JsonCall {
            method: Method::POST,
            address,
            path: "/prefill",
            timeout,
            request: Some(&request.request),
        };
        self.client.call(call, Some(request)).await.map_err(engine_error)
    }

    /// Starts or resumes a token stream
    ///
    /// `first_line` bounds the wait for the answer's head.
    ///
    /// # Errors
    /// `EngineError::Refused`, `Silent` or `Http`.
    pub async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
        first_line: Duration,
    ) -> Result<TokenStream, EngineError> {
        let body =
            serde_json::to_vec(request).map_err(|it| EngineError::Http(HttpError::Form(it)))?;
        let outgoing = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/generate"))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|it| EngineError::Http(HttpError::Request(it)))?;
        let response = match tokio::time::timeout(first_line, self.client.send(outgoing)).await {
            Ok(response) => response.map_err(EngineError::Http)?,
            Err(_) => return Err(EngineError::Silent(first_line)),
        };
        let status = response.status();
        if !status.is_success() {
            let body = read_body(response.into_body(), MAX_ANSWER_BYTES)
                .await
                .map_err(EngineError::Http)?;
            return Err(engine_error(HttpError::Status { status, body }));
        }
        Ok(TokenStream::new(response.into_body(), request.from_token))
    }

    /// Stops a request's work
    ///
    /// # Errors
    /// `EngineError::Http`.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/cancel/{request}");
        let call = JsonCall { method: Method::POST, address, path: &path, timeout, request: None };
        let _: serde_json::Value =
            self.client.call(call, None::<&()>).await.map_err(engine_error)?;
        Ok(())
    }

    /// Reads the lagging load report
    ///
    /// # Errors
    /// `EngineError::Http`.
    pub async fn report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<LoadReport, EngineError> {
        self.get(address, "/report", timeout).await
    }

    /// Reads cache events from a number on
    ///
    /// # Errors
    /// `EngineError::Http`.
    pub async fn events(
        &self,
        address: SocketAddr,
        from: u64,
        timeout: Duration,
    ) -> Result<CacheEvents, EngineError> {
        self.get(address, &format!("/events?from={from}"), timeout).await
    }

    /// Reads the engine's own state
    ///
    /// # Errors
    /// `EngineError::Http`.
    pub async fn state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineState, EngineError> {
        self.get(address, "/state", timeout).await
    }

    /// Gives an order
    ///
    /// # Errors
    /// `EngineError::Refused(StaleFence)` by engines that check, else `Http`.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> Result<EngineState, EngineError> {
        let call =
            JsonCall { method: Method::POST, address, path: "/orders", timeout, request: None };
        self.client.call(call, Some(order)).await.map_err(engine_error)
    }

    async fn get<A: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, EngineError> {
        let call = JsonCall { method: Method::GET, address, path, timeout, request: None };
        self.client.call(call, None::<&()>).await.map_err(engine_error)
    }
}

fn engine_error(error: HttpError) -> EngineError {
    let HttpError::Status { body, .. } = &error else {
        return EngineError::Http(error);
    };
    match serde_json::from_slice::<Refusal>(body) {
        Ok(refusal) => EngineError::Refused(refusal.reason),
        Err(_) => EngineError::Http(error),
    }
}
