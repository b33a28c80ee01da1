//! Client of the platform's append-only log.
//!
//! `POST /streams/{stream}/records` appends its body as one record and answers
//! `{"offset": n}`; 429 means rate limited and 503 unavailable. `GET
//! /streams/{stream}/records?from=N&max=M&wait_ms=W` answers a `LogBatch`; it waits up
//! to `W` milliseconds for a first record. Offsets start at 1 in each stream.
//!
//! A `LogClient` consists of two closures, so that tests can replace the log without a
//! socket.

use crate::http::{HttpClient, HttpError, JsonCall};
use catalogue::id::{Offset, StreamName};
use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One record of a stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LogRecord {
    /// Offset in the stream
    pub offset: Offset,
    /// Time of the append by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Content of the record
    pub data: String,
}

/// Answer to a read
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LogBatch {
    /// Offset of the oldest record that is still kept; equal to `next` if there is none
    pub earliest: Offset,
    /// Offset of the next append to the stream
    pub next: Offset,
    /// Records in order, without gaps
    pub records: Vec<LogRecord>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRange {
    /// First offset to return
    pub from: Offset,
    /// Largest number of records to return
    pub max: u32,
    /// Longest wait for a first record
    pub wait: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AppendAnswer {
    /// Offset of the new record
    pub offset: Offset,
}

/// Error of a call to the log
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum LogError {
    /// append was rate limited and has no effect
    RateLimited,
    /// log is unavailable, the call has no effect
    Unavailable,
    /// no answer; an append may have taken effect
    Unanswered,
    /// malformed answer from the log
    MalformedAnswer(HttpError),
}

impl std::error::Error for LogError {}

impl LogError {
    /// Whether an append that failed with this error certainly had no effect
    pub fn had_no_effect(&self) -> bool {
        matches!(self, LogError::RateLimited | LogError::Unavailable)
    }
}

/// Function that appends a record to a stream
pub type AppendFn =
    dyn Fn(StreamName, String) -> BoxFuture<'static, Result<Offset, LogError>> + Send + Sync;
/// Function that reads records of a stream
pub type ReadFn =
    dyn Fn(StreamName, ReadRange) -> BoxFuture<'static, Result<LogBatch, LogError>> + Send + Sync;

/// Client of the log
#[derive(Clone)]
pub struct LogClient {
    append: Arc<AppendFn>,
    read: Arc<ReadFn>,
}

impl fmt::Debug for LogClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("LogClient").finish_non_exhaustive()
    }
}

impl LogClient {
    /// Client that calls these functions
    pub fn new(append: Arc<AppendFn>, read: Arc<ReadFn>) -> LogClient {
        LogClient { append, read }
    }

    /// Client of the log service at `address`; `timeout` limits a call, in addition to the wait of a read
    pub fn over_http(address: SocketAddr, timeout: Duration) -> LogClient {
        let client = HttpClient::new();
        let appender = client.clone();
        LogClient {
            append: Arc::new(move |stream, data| {
                Box::pin(append_over_http(appender.clone(), address, timeout, stream, data))
            }),
            read: Arc::new(move |stream, range| {
                Box::pin(read_over_http(client.clone(), address, timeout, stream, range))
            }),
        }
    }

    /// Appends one record
    ///
    /// # Errors
    /// `LogError`; after `Unanswered` the record may be in the stream.
    pub async fn append(&self, stream: &StreamName, data: String) -> Result<Offset, LogError> {
        (self.append)(stream.clone(), data).await
    }

    /// Reads the records of a range
    ///
    /// # Errors
    /// `LogError`.
    pub async fn read(&self, stream: &StreamName, range: ReadRange) -> Result<LogBatch, LogError> {
        (self.read)(stream.clone(), range).await
    }
}

async fn append_over_http(
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    stream: StreamName,
    data: String,
) -> Result<Offset, LogError> {
    let path = format!("/streams/{stream}/records");
    let call = JsonCall { method: Method::POST, address, path: &path, timeout, request_id: None };
    let answer: AppendAnswer =
        client.call(call, Some(&AppendBody { data })).await.map_err(log_error)?;
    Ok(answer.offset)
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AppendBody {
    /// Content of the record
    pub data: String,
}

async fn read_over_http(
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    stream: StreamName,
    range: ReadRange,
) -> Result<LogBatch, LogError> {
    let wait_ms = range.wait.as_millis();
    let path = format!(
        "/streams/{stream}/records?from={}&max={}&wait_ms={wait_ms}",
        range.from, range.max
    );
    let timeout = timeout + range.wait;
    let call = JsonCall { method: Method::GET, address, path: &path, timeout, request_id: None };
    client.call(call, None::<&()>).await.map_err(log_error)
}

fn log_error(error: HttpError) -> LogError {
    match error {
        HttpError::Connect(_) | HttpError::Request(_) => LogError::Unavailable,
        HttpError::ConnectionLost(_) | HttpError::Body(_) | HttpError::TimedOut(_) => {
            LogError::Unanswered
        }
        HttpError::Status { status: StatusCode::TOO_MANY_REQUESTS, .. } => LogError::RateLimited,
        HttpError::Status { status: StatusCode::SERVICE_UNAVAILABLE, .. } => LogError::Unavailable,
        other => LogError::MalformedAnswer(other),
    }
}
