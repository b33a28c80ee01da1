//! Transfers over slow and silent connections.

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use platform::http::{HttpClient, HttpError};
use platform::transfer::{SilenceLimits, TransferMeter, TransferProgress, transfer};
use std::time::Duration;
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
const LIMIT: Duration = Duration::from_millis(200);
const SHORT_PAUSE: Duration = Duration::from_millis(80);
const LONG_PAUSE: Duration = Duration::from_secs(20);

cases! { async
    // Guards against reads that are cut though bytes arrive all the time.
    slow_answer_is_received_whole => slow(),
    silence_before_the_answer_ends_the_call => silent(&[(LONG_PAUSE, HEAD)], 0),
    silence_in_the_body_ends_the_call => silent(
        &[(Duration::ZERO, HEAD), (SHORT_PAUSE, "0123456789"), (LONG_PAUSE, "0123456789")],
        10,
    ),
    // Guards against an answer that a caller of a service or an engine gets, though its status is outside the protocol.
    status_of_no_final_answer_is_an_error => unknown_statuses(),
}

/// Calls a server that writes each part after a pause
async fn call(
    parts: &'static [(Duration, &'static str)],
) -> (std::result::Result<Bytes, HttpError>, TransferProgress) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a client");
        let mut request = [0; 1024];
        let _ = socket.read(&mut request).await;
        for (pause, part) in parts {
            sleep(*pause).await;
            let _ = socket.write_all(part.as_bytes()).await;
        }
        sleep(LONG_PAUSE).await;
    });
    let request = Request::get(format!("http://{address}/")).body(Full::new(Bytes::new()));
    let limits = SilenceLimits { head: LIMIT, body: LIMIT };
    let mut meter = TransferMeter::start();
    let answer = transfer(&HttpClient::new(), request.expect("valid"), limits, &mut meter).await;
    (answer.map(|(_, body)| body), meter.progress())
}

async fn slow() -> Result<()> {
    const PARTS: [(Duration, &str); 6] = [
        (Duration::ZERO, HEAD),
        (SHORT_PAUSE, "0123456789"),
        (SHORT_PAUSE, "0123456789"),
        (SHORT_PAUSE, "0123456789"),
        (SHORT_PAUSE, "0123456789"),
        (SHORT_PAUSE, "0123456789"),
    ];
    let (answer, progress) = call(&PARTS).await;
    verify_that!(answer?.len(), eq(50))?;
    verify_that!(progress.bytes, eq(50))?;
    verify_that!(progress.took, ge(2 * LIMIT))
}

async fn unknown_statuses() -> Result<()> {
    for status in [101, 600, 601, 999] {
        let head = format!("HTTP/1.1 {status} A\r\nContent-Length: 2\r\n\r\n{{}}");
        let parts = Vec::leak(vec![(Duration::ZERO, &*String::leak(head))]);
        let (answer, _) = call(parts).await;
        verify_that!(
            matches!(answer, Err(HttpError::UnknownStatus(it)) if it == status),
            eq(true)
        )?;
    }
    Ok(())
}

async fn silent(parts: &'static [(Duration, &'static str)], bytes: usize) -> Result<()> {
    let (answer, progress) = call(parts).await;
    verify_that!(matches!(answer, Err(HttpError::TimedOut(_))), eq(true))?;
    verify_that!(progress.bytes, eq(bytes))?;
    verify_that!(progress.took, lt(3 * LIMIT))
}
