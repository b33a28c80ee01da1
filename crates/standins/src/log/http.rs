//! HTTP interface of the log.

use super::LogStandin;
use crate::reply::{self, CutConnection, Reply};
use crate::server::StandinServer;
use catalogue::id::StreamName;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use platform::log::{AppendAnswer, AppendBody, LogError, ReadRange};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_BATCH: u64 = 500;

pub(super) fn serve(log: LogStandin, address: SocketAddr) -> io::Result<StandinServer> {
    StandinServer::http_at(address, Arc::new(move |request| Box::pin(answer(log.clone(), request))))
}

async fn answer(log: LogStandin, request: Request<Incoming>) -> Result<Reply, CutConnection> {
    let Some(stream) = stream_name(request.uri().path()) else {
        return Ok(reply::empty(StatusCode::NOT_FOUND));
    };
    match *request.method() {
        Method::POST => append(log, stream, request).await,
        Method::GET => read(log, stream, request).await,
        _ => Ok(reply::empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn stream_name(path: &str) -> Option<StreamName> {
    path.strip_prefix("/streams/")?.strip_suffix("/records").map(StreamName::new)
}

async fn append(
    log: LogStandin,
    stream: StreamName,
    request: Request<Incoming>,
) -> Result<Reply, CutConnection> {
    let Ok(body) = reply::read_json::<AppendBody>(request).await else {
        return Ok(reply::empty(StatusCode::BAD_REQUEST));
    };
    match log.append(stream, body.data).await {
        Ok(offset) => Ok(reply::json(StatusCode::OK, &AppendAnswer { offset })),
        Err(error) => refuse(error),
    }
}

async fn read(
    log: LogStandin,
    stream: StreamName,
    request: Request<Incoming>,
) -> Result<Reply, CutConnection> {
    let query = request.uri().query();
    let range = ReadRange {
        from: reply::query_number(query, "from", 0),
        max: reply::query_number(query, "max", DEFAULT_BATCH) as u32,
        wait: Duration::from_millis(reply::query_number(query, "wait_ms", 0)),
    };
    match log.read(stream, range).await {
        Ok(batch) => Ok(reply::json(StatusCode::OK, &batch)),
        Err(error) => refuse(error),
    }
}

fn refuse(error: LogError) -> Result<Reply, CutConnection> {
    match error {
        LogError::RateLimited => Ok(reply::empty(StatusCode::TOO_MANY_REQUESTS)),
        LogError::Unavailable => Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE)),
        LogError::Unanswered | LogError::MalformedAnswer(_) => Err(CutConnection::Now),
    }
}
