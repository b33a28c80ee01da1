//! Answers that bring many bytes beside their content.

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use platform::framing::{MAX_FRAMING_BYTES, is_excessive};
use platform::http::{HttpClient, HttpError, MAX_ANSWER_BYTES, read_body};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Time in which an answer without end is given up; callers allow seconds.
const GIVE_UP_TIME: Duration = Duration::from_millis(500);
/// Content of a large answer, several times what a connection may bring beside it.
const LARGE_BYTES: usize = 4 * MAX_FRAMING_BYTES;

cases! { async
    // Guard against bytes between chunks that no limit on the size of answers counts.
    size_without_end_fails => endless("0"),
    spaces_without_end_fail => endless("5 "),
    chunks_of_one_byte_without_end_fail => endless("1\r\nx\r\n"),
    // Guard against a bound that proper answers exceed.
    large_chunks_are_whole => whole(64 * 1024, 1),
    small_chunks_are_whole => whole(2, 1),
    answers_on_one_connection_are_whole => whole(100, 5),
}

/// Server that answers each request with a head and the same bytes, which may be repeated without end
async fn serve(body: String, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let body = body.clone();
            tokio::spawn(async move {
                let mut request = [0; 1024];
                while socket.read(&mut request).await.is_ok_and(|it| it > 0) {
                    let _ = socket.write_all(HEAD.as_bytes()).await;
                    let _ = socket.write_all(body.as_bytes()).await;
                    let last = body[body.len() - 1..].repeat(4096);
                    let rest = if body.contains('\n') { body.repeat(1000) } else { last };
                    while is_endless && socket.write_all(rest.as_bytes()).await.is_ok() {}
                }
            });
        }
    });
    address
}

async fn fetch(client: &HttpClient, server: SocketAddr) -> std::result::Result<Bytes, HttpError> {
    let request = Request::get(format!("http://{server}/")).body(Full::new(Bytes::new()));
    let answer = client.send(request.map_err(HttpError::Request)?).await?;
    read_body(answer.into_body(), MAX_ANSWER_BYTES).await
}

async fn endless(body: &str) -> Result<()> {
    let server = serve(body.to_owned(), true).await;
    let start = Instant::now();
    let fetched = fetch(&HttpClient::new(), server).await;
    verify_that!(start.elapsed(), lt(GIVE_UP_TIME))?;
    let Err(HttpError::Body(error)) = fetched else {
        return fail!("not a broken body: {fetched:?}");
    };
    verify_that!(is_excessive(error.as_ref()), eq(true))
}

async fn whole(size: usize, answers: usize) -> Result<()> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let server = serve(format!("{}0\r\n\r\n", chunk.repeat(LARGE_BYTES / size)), false).await;
    let client = HttpClient::new();
    for _ in 0..answers {
        let body = fetch(&client, server).await.or_fail()?;
        verify_that!(body.len(), eq(LARGE_BYTES / size * size))?;
    }
    Ok(())
}
