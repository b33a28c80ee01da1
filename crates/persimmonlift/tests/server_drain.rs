//! Ends of a server's connections: drain, and refusals under a body.

use googletest::prelude::*;
use http::StatusCode;
use persimmonlift::answer::json_answer;
use persimmonlift::server::{HttpServer, ServerLimits};
use std::sync::Arc;
use std::time::Duration;
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

cases! { async
    // Guards against a drain that doesn't end as long as new connections come.
    drain_ends_under_new_connections => new_connections(),
    // Guards against a refusal that is lost since its connection is reset under the rest of the body.
    early_refusal_reaches_a_caller_that_still_sends => early_refusal(),
}

const DRAIN_BOUND: Duration = Duration::from_secs(1);

/// Starts a server that answers each request without reading its body
async fn server(status: StatusCode) -> Result<HttpServer> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let limits = ServerLimits {
        max_connections: 1000,
        head_timeout: Duration::from_secs(1),
        write_stall: Duration::from_secs(1),
    };
    let answer = move |_| Box::pin(async move { Ok(json_answer(status, &"right")) }) as _;
    Ok(HttpServer::start(listener, limits, Arc::new(answer))?)
}

async fn new_connections() -> Result<()> {
    let mut server = server(StatusCode::OK).await?;
    let address = server.address();
    let callers = tokio::spawn(async move {
        loop {
            // Fails once the listener is closed.
            drop(TcpStream::connect(address).await);
            sleep(Duration::from_millis(5)).await;
        }
    });
    let drained = timeout(DRAIN_BOUND * 5, server.drain(DRAIN_BOUND)).await;
    callers.abort();
    verify_that!(drained.is_ok(), eq(true))
}

async fn early_refusal() -> Result<()> {
    let server = server(StatusCode::SERVICE_UNAVAILABLE).await?;
    let mut caller = TcpStream::connect(server.address()).await?;
    let head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    caller.write_all(head.as_bytes()).await?;
    for chunk in ["6\r\nfirst \r\n", "6\r\nfirst \r\n", "4\r\nlast\r\n0\r\n\r\n"] {
        sleep(Duration::from_millis(20)).await;
        caller.write_all(chunk.as_bytes()).await?;
    }
    let mut answer = vec![0; 1024];
    let count = caller.read(&mut answer).await?;
    verify_that!(String::from_utf8_lossy(&answer[..count]), starts_with("HTTP/1.1 503"))
}
