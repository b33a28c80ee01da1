//! HTTP client for calls with JSON bodies and timeouts.

use crate::framing::{FramingLimits, FramingMeter, MeteredBody, MeteredSocket};
use bytes::Bytes;
use catalogue::id::RequestId;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tower_service::Service;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer that is buffered, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Header with the id of a request, between instances and endpoints.
pub const REQUEST_ID_HEADER: &str = "persimmon-request";

/// Error of an HTTP call
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum HttpError {
    /// cannot connect: {0}
    Connect(hyper_util::client::legacy::Error),
    /// connection failed after the request may have been sent: {0}
    ConnectionLost(hyper_util::client::legacy::Error),
    /// cannot read the body of the answer: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// no answer within {0:?}
    TimedOut(Duration),
    /// answered with status {status}
    Status {
        /// Status code of the answer
        status: StatusCode,
        /// Body of the answer
        body: Bytes,
    },
    /// status {0} is that of no final answer
    UnknownStatus(StatusCode),
    /// malformed JSON: {0}
    MalformedJson(serde_json::Error),
    /// cannot build the request: {0}
    Request(hyper::http::Error),
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// Whether the server certainly did not receive the request
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Connect(_) | HttpError::Request(_))
    }
}

/// Opens connections whose framing is bounded
#[derive(Debug, Clone)]
struct MeteredConnector(HttpConnector);

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredSocket<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let socket = connecting.await?.into_inner();
            Ok(TokioIo::new(MeteredSocket::new(socket, FramingLimits::ANSWERS)))
        })
    }
}

/// HTTP client with a connection pool
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<MeteredConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Client with its own pool
    pub fn new() -> HttpClient {
        HttpClient::with_idle_connections(usize::MAX)
    }

    /// Client that opens a new connection for each request
    ///
    /// A pooled connection may be dead without being closed.
    pub fn without_reuse() -> HttpClient {
        HttpClient::with_idle_connections(0)
    }

    fn with_idle_connections(count: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(count)
            // Retries only requests of which no byte was written.
            .retry_canceled_requests(true)
            .build(MeteredConnector(connector));
        HttpClient { client }
    }

    /// Sends a request and waits for the head of the answer
    ///
    /// # Errors
    /// `Connect` if connecting failed, `ConnectionLost` if the connection failed later, `UnknownStatus` if the status
    /// isn't that of a final answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, HttpError> {
        let answer = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::Connect(error)
            } else {
                HttpError::ConnectionLost(error)
            }
        })?;
        if !is_final_status(answer.status()) {
            return Err(HttpError::UnknownStatus(answer.status()));
        }
        let meter = answer.extensions().get::<FramingMeter>().cloned().unwrap_or_default();
        meter.reset();
        Ok(answer.map(|it| MeteredBody::new(it, meter)))
    }

    /// Sends a call with an optional JSON body and decodes the JSON answer
    ///
    /// # Errors
    /// Any `HttpError`; `Status` if the status code is not 2xx.
    pub async fn call<A: serde::de::DeserializeOwned>(
        &self,
        call: JsonCall<'_>,
        body: Option<&(impl serde::Serialize + Sync)>,
    ) -> Result<A, HttpError> {
        let bytes = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body).map_err(HttpError::MalformedJson)?),
            None => Bytes::new(),
        };
        let request = json_request(&call, bytes)?;
        match tokio::time::timeout(call.timeout, self.exchange(request)).await {
            Ok(answer) => serde_json::from_slice(&answer?).map_err(HttpError::MalformedJson),
            Err(_) => Err(HttpError::TimedOut(call.timeout)),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, HttpError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_ANSWER_BYTES).await?;
        if status.is_success() { Ok(body) } else { Err(HttpError::Status { status, body }) }
    }
}

/// Whether a status is that of a final answer (RFC 9110, section 15); the HTTP library also takes 101 and 600 to 999
/// for one
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Parameters of a JSON call
#[derive(Debug, Clone)]
pub struct JsonCall<'a> {
    /// HTTP method
    pub method: Method,
    /// Address of the server
    pub address: SocketAddr,
    /// Path and query
    pub path: &'a str,
    /// Timeout of the complete exchange
    pub timeout: Duration,
    /// Request id to send in `REQUEST_ID_HEADER`
    pub request_id: Option<&'a RequestId>,
}

fn json_request(call: &JsonCall<'_>, body: Bytes) -> Result<Request<Full<Bytes>>, HttpError> {
    let uri = format!("http://{}{}", call.address, call.path);
    let mut builder = Request::builder().method(call.method.clone()).uri(uri);
    if !body.is_empty() {
        builder = builder.header(hyper::header::CONTENT_TYPE, "application/json");
    }
    if let Some(request_id) = call.request_id {
        builder = builder.header(REQUEST_ID_HEADER, request_id.as_str());
    }
    builder.body(Full::new(body)).map_err(HttpError::Request)
}

/// Reads a body of at most `limit` bytes
///
/// # Errors
/// `HttpError::Body` if the connection fails or the body is larger.
pub async fn read_body(body: MeteredBody, limit: usize) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, limit).collect().await.map_err(HttpError::Body)?;
    Ok(collected.to_bytes())
}
