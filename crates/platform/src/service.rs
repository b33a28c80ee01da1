//! Client of plain services.
//!
//! Requests are forwarded unchanged, with their idempotency key. Errors distinguish
//! whether the service may have received the request.

use crate::http::{HttpClient, HttpError, read_body};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// HTTP method
    pub method: Method,
    /// Path and query
    pub path: String,
    /// Headers to forward
    pub headers: HeaderMap,
    /// Complete body
    pub body: Bytes,
}

/// Complete answer of a service
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    pub status: StatusCode,
    /// Headers as received
    pub headers: HeaderMap,
    /// Complete body
    pub body: Bytes,
}

/// HTTP client of plain services
#[derive(Debug, Clone)]
pub struct ServiceClient {
    client: HttpClient,
    max_answer_bytes: usize,
}

impl ServiceClient {
    /// Client that reads answers of at most `max_answer_bytes`
    pub fn new(max_answer_bytes: usize) -> ServiceClient {
        ServiceClient { client: HttpClient::new(), max_answer_bytes }
    }

    /// Client that opens a new connection for each request
    ///
    /// For calls that must not be retried: a pooled connection may be dead without being
    /// closed, and a request sent on it would have to count as run.
    pub fn without_reuse(max_answer_bytes: usize) -> ServiceClient {
        ServiceClient { client: HttpClient::without_reuse(), max_answer_bytes }
    }

    /// Sends a request and reads the complete answer within `timeout`
    ///
    /// # Errors
    /// `HttpError`; `HttpError::is_unsent` is true if the service certainly did not receive it.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
        timeout: Duration,
    ) -> Result<ServiceAnswer, HttpError> {
        match tokio::time::timeout(timeout, self.exchange(address, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::TimedOut(timeout)),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
    ) -> Result<ServiceAnswer, HttpError> {
        let uri = format!("http://{address}{}", request.path);
        let mut outgoing = Request::builder()
            .method(request.method)
            .uri(uri)
            .body(Full::new(request.body))
            .map_err(HttpError::Request)?;
        *outgoing.headers_mut() = request.headers;
        let response = self.client.send(outgoing).await?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, self.max_answer_bytes).await?;
        Ok(ServiceAnswer { status: parts.status, headers: parts.headers, body })
    }
}
