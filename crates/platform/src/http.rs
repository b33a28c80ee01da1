//! HTTP calls with JSON bodies and a time-out.

use bytes::Bytes;
use catalogue::id::RequestId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer that is read whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Header that carries a request's id between instances and endpoints.
pub const REQUEST_ID_HEADER: &str = "persimmon-request";

/// Failure of an HTTP call
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum HttpError {
    /// no connection: {0}
    Connect(hyper_util::client::legacy::Error),
    /// connection failed after the request may have been sent: {0}
    Broken(hyper_util::client::legacy::Error),
    /// answer broke off: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// no answer within {0:?}
    TimedOut(Duration),
    /// answered {status}
    Status {
        /// Status of the answer
        status: StatusCode,
        /// Body of the answer
        body: Bytes,
    },
    /// answer is not of the expected form: {0}
    Form(serde_json::Error),
    /// request could not be built: {0}
    Request(hyper::http::Error),
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// Whether it is certain that the other side did not see the request
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Connect(_) | HttpError::Request(_))
    }
}

/// Pooled HTTP client
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Client with a pool of its own
    pub fn new() -> HttpClient {
        HttpClient::with_idle_connections(usize::MAX)
    }

    /// Client that makes a connection for each request
    ///
    /// An open connection may have gone silent without either end knowing.
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
            // Only a request of which no byte was written is sent again.
            .retry_canceled_requests(true)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request; the answer's body is still to be read
    ///
    /// # Errors
    /// `Connect` if no connection could be made, `Broken` if it failed later.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() { HttpError::Connect(error) } else { HttpError::Broken(error) }
        })
    }

    /// Calls with an optional JSON body and reads a JSON answer
    ///
    /// # Errors
    /// Any `HttpError`; `Status` for an answer that is not 2xx.
    pub async fn call<A: serde::de::DeserializeOwned>(
        &self,
        call: JsonCall<'_>,
        body: Option<&(impl serde::Serialize + Sync)>,
    ) -> Result<A, HttpError> {
        let bytes = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body).map_err(HttpError::Form)?),
            None => Bytes::new(),
        };
        let request = json_request(&call, bytes)?;
        match tokio::time::timeout(call.timeout, self.exchange(request)).await {
            Ok(answer) => serde_json::from_slice(&answer?).map_err(HttpError::Form),
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

/// Where and how a JSON call goes
#[derive(Debug, Clone)]
pub struct JsonCall<'a> {
    /// Method of the request
    pub method: Method,
    /// Address of the server
    pub address: SocketAddr,
    /// Path with its query
    pub path: &'a str,
    /// Time for the whole exchange
    pub timeout: Duration,
    /// Request id to show
    pub request: Option<&'a RequestId>,
}

fn json_request(call: &JsonCall<'_>, body: Bytes) -> Result<Request<Full<Bytes>>, HttpError> {
    let uri = format!("http://{}{}", call.address, call.path);
    let mut builder = Request::builder().method(call.method.clone()).uri(uri);
    if !body.is_empty() {
        builder = builder.header(hyper::header::CONTENT_TYPE, "application/json");
    }
    if let Some(request) = call.request {
        builder = builder.header(REQUEST_ID_HEADER, request.as_str());
    }
    builder.body(Full::new(body)).map_err(HttpError::Request)
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// `HttpError::Body` if the body breaks off or is larger.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, limit).collect().await.map_err(HttpError::Body)?;
    Ok(collected.to_bytes())
}
