//! Building of replies and reading of requests.

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::convert::Infallible;
use tokio::sync::mpsc::UnboundedReceiver;

/// Largest request body that a stand-in reads, in bytes.
pub const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Reply of a stand-in
pub type Reply = Response<BoxBody<Bytes, Infallible>>;

/// Instruction to close the connection without a reply
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum CutConnection {
    /// connection is closed without a reply
    Now,
}

impl std::error::Error for CutConnection {}

/// Failure to read a request
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ReadError {
    /// request body is incomplete or larger than the limit
    Body,
    /// request body is not of the expected form: {0}
    Form(serde_json::Error),
}

impl std::error::Error for ReadError {}

/// Reply with a JSON body
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(bytes) => json_bytes(status, bytes),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Reply whose body is already encoded as JSON
pub fn json_bytes(status: StatusCode, bytes: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(bytes.into()).boxed());
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    reply
}

/// Reply without a body
pub fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::new()).boxed());
    *reply.status_mut() = status;
    reply
}

/// Reply whose body is streamed in chunks
pub fn stream(mut lines: UnboundedReceiver<Bytes>) -> Reply {
    let frames = futures_util::stream::poll_fn(move |context| lines.poll_recv(context))
        .map(|it| Ok(Frame::data(it)));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Reads a request's body
///
/// # Errors
/// `ReadError::Body` if it is incomplete or larger than `MAX_REQUEST_BYTES`.
pub async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, ReadError> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    body.collect().await.map(|it| it.to_bytes()).map_err(|_| ReadError::Body)
}

/// Reads a request's JSON body
///
/// # Errors
/// `ReadError` if the body can't be read or decoded.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, ReadError> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes).map_err(ReadError::Form)
}

/// Number given in a query string, or `default` if it is absent or malformed
pub fn query_number(query: Option<&str>, name: &str, default: u64) -> u64 {
    let pairs = query.unwrap_or("").split('&').filter_map(|it| it.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next().and_then(|it| it.parse().ok()).unwrap_or(default)
}
