//! Serves readiness probes and the metrics page.

use crate::body::AnswerBody;
use crate::state::Gateway;
use crate::stop::StopStage;
use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::framing::{FramingLimits, MeteredSocket};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Timeout for reading the head of a request; the load balancer sends one probe a second.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers readiness probes: 200 if new connections are accepted, else 503
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    serve_page(listener, move || {
        let is_ready = gateway.is_ready() && !gateway.stop.has_reached(StopStage::Unready);
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        page(status, Bytes::new())
    })
    .await;
}

/// Serves the metrics page
pub async fn serve_metrics(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    dropped_lines: impl Fn() -> usize + 'static,
) {
    serve_page(listener, move || {
        let held = i64::try_from(gateway.memory.used()).unwrap_or(i64::MAX);
        gateway.metrics.held_bytes.set(held);
        gateway.metrics.lines_dropped.set(i64::try_from(dropped_lines()).unwrap_or(i64::MAX));
        metrics_page(&gateway)
    })
    .await;
}

fn metrics_page(gateway: &Gateway) -> Response<AnswerBody> {
    match gateway.metrics.page() {
        Ok(text) => page(StatusCode::OK, Bytes::from(text)),
        Err(error) => {
            log::warn!("event=metrics_failed error={error}");
            page(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Answer that consists of a whole body
pub fn page(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    response
}

/// Answers each request on any path with the same page
pub async fn serve_page(
    listener: TcpListener,
    answer: impl Fn() -> Response<AnswerBody> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let socket = MeteredSocket::new(socket, FramingLimits::REQUESTS);
            let meter = socket.meter();
            let service = service_fn(move |_| {
                meter.reset();
                let response = answer();
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(socket), service);
            if let Err(error) = connection.await {
                log::debug!("event=page_connection_ended error={error}");
            }
        });
    }
}
