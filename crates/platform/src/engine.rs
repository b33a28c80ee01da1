//! Client of engines: prefill, token streams, load reports, cache events and orders.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /prefill` | `PrefillRequest` | `PrefillAnswer`, after the prompt is read |
//! | `POST /generate` | `GenerateRequest` | one `StreamLine` per line |
//! | `POST /cancel/{request}` | | `{}`; cancels the request |
//! | `GET /report` | | `LoadReport`, delayed |
//! | `GET /events?from=N` | | `CacheEvents`, delayed and possibly with gaps |
//! | `GET /state` | | `EngineState`, current |
//! | `POST /orders` | `EngineOrder` | `EngineState`; 409 for an old fencing number |
//!
//! An engine refuses a request with 4xx or 503 and a `Refusal`; it has then not run
//! the request.

pub use crate::engine_answer::{EngineError, RefusalReason, StreamLine};
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

/// Request to read a prompt and hold its cache for export
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefillRequest {
    /// Id of the request
    pub request: RequestId,
    /// Model that is to read the prompt
    pub model: ModelName,
    /// Complete prompt
    pub prompt: String,
    /// Rank of the request's class; 0 is the most urgent
    pub priority: u8,
    /// Time until the deadline, in milliseconds
    pub deadline_ms: u64,
}

/// Answer to a prefill request
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefillAnswer {
    /// Cache that another engine may import
    pub cache: CacheHandle,
    /// Length of the prompt
    pub prompt_tokens: TokenCount,
    /// Prompt tokens found in the engine's cache
    pub cached_tokens: TokenCount,
}

/// Exported cache of one prompt
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheHandle {
    /// Address of the engine that holds the cache
    pub address: SocketAddr,
    /// Id of the cache on that engine
    pub id: u64,
}

/// Request to generate tokens from a prompt
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GenerateRequest {
    /// Id of the request
    pub request: RequestId,
    /// Model that is to read the prompt
    pub model: ModelName,
    /// Complete prompt
    pub prompt: String,
    /// Number of tokens of the complete answer, counted from token 0 also when a stream resumes
    pub max_tokens: TokenCount,
    /// First token to send; above 0 to resume a stream
    pub from_token: TokenCount,
    /// Rank of the request's class; 0 is the most urgent
    pub priority: u8,
    /// Time until the deadline, in milliseconds
    pub deadline_ms: u64,
    /// Cache to import instead of reading the prompt
    pub import: Option<CacheHandle>,
}

/// Body of a refusal
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Reason of the refusal
    pub reason: RefusalReason,
}

/// Load of an engine, as reported some time ago
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Sequence number of the report
    pub sequence: u64,
    /// Age of the figures, in milliseconds
    pub age_ms: u64,
    /// Role of the engine at that time
    pub role: EngineRole,
    /// Whether the engine accepts new requests
    pub accepting: bool,
    /// Number of running requests
    pub running: u32,
    /// Number of queued requests
    pub waiting: u32,
    /// Prompt tokens that are still to be read
    pub queued_prompt_tokens: u64,
    /// Output tokens that are still to be generated
    pub queued_output_tokens: u64,
    /// Prompt tokens read per second under full load
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated per second with a full batch
    pub decode_tokens_per_s: f64,
    /// Largest number of requests in a batch
    pub batch_limit: u32,
    /// Prompt tokens read since the engine started
    pub prompt_tokens_done: u64,
    /// Output tokens generated since the engine started
    pub output_tokens_done: u64,
}

/// Change of an engine's prefix cache
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from 1
    pub sequence: u64,
    /// Piece that was added or evicted
    pub piece: PieceHash,
    /// Whether the cache now holds the piece
    pub held: bool,
}

/// Published changes of an engine's cache
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the next event to be published
    pub next: u64,
    /// Events in order, possibly with gaps
    pub events: Vec<CacheEvent>,
}

/// Order to an engine; idempotent, since it states the complete target
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineOrder {
    /// Id of the order
    pub order: OrderId,
    /// Fencing number: offset of the issuer's lease
    pub fence: Fence,
    /// Instance that issues the order
    pub issuer: InstanceId,
    /// Role and model that the engine is to serve
    pub target: ModelTarget,
}

/// Current state of an engine
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// Id of the engine
    pub engine: EndpointId,
    /// What the engine serves, or will serve once ready
    pub target: ModelTarget,
    /// Whether the engine is ready to serve
    pub ready: bool,
    /// Whether the engine checks fencing numbers
    pub checks_fence: bool,
    /// Highest fencing number received
    pub fence: Fence,
    /// Last accepted order
    pub order: OrderId,
    /// Number of running and queued requests
    pub in_flight: u32,
}

/// HTTP client of engines
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Client with its own connection pool
    pub fn new() -> EngineClient {
        EngineClient::default()
    }

    /// Client that opens a new connection for each request
    pub fn without_reuse() -> EngineClient {
        EngineClient { client: HttpClient::without_reuse() }
    }

    /// Requests an engine to read a prompt and hold its cache for export
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
            request_id: Some(&request.request),
        };
        self.client.call(call, Some(request)).await.map_err(engine_error)
    }

    /// Starts or resumes a token stream
    ///
    /// `head_timeout` limits the wait for the head of the answer.
    ///
    /// # Errors
    /// `EngineError::Refused`, `TimedOut` or `Http`.
    pub async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
        head_timeout: Duration,
    ) -> Result<TokenStream, EngineError> {
        let body = serde_json::to_vec(request)
            .map_err(|it| EngineError::Http(HttpError::MalformedJson(it)))?;
        let outgoing = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/generate"))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|it| EngineError::Http(HttpError::Request(it)))?;
        let response = match tokio::time::timeout(head_timeout, self.client.send(outgoing)).await {
            Ok(response) => response.map_err(EngineError::Http)?,
            Err(_) => return Err(EngineError::TimedOut(head_timeout)),
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

    /// Cancels a request
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
        let call =
            JsonCall { method: Method::POST, address, path: &path, timeout, request_id: None };
        let _: serde_json::Value =
            self.client.call(call, None::<&()>).await.map_err(engine_error)?;
        Ok(())
    }

    /// Reads the engine's load report, which is delayed
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

    /// Reads cache events from a sequence number on
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

    /// Reads the engine's current state
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

    /// Sends an order
    ///
    /// # Errors
    /// `EngineError::Refused(StaleFence)` from engines that check fencing numbers, otherwise `Http`.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> Result<EngineState, EngineError> {
        let call =
            JsonCall { method: Method::POST, address, path: "/orders", timeout, request_id: None };
        self.client.call(call, Some(order)).await.map_err(engine_error)
    }

    async fn get<A: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, EngineError> {
        let call = JsonCall { method: Method::GET, address, path, timeout, request_id: None };
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
