//! Serves the instances' port: relayed requests, and transfers of configurations.

use super::config_transfer;
use crate::body::AnswerBody;
use crate::client_socket::{ConnectionActivity, WatchedSocket};
use crate::forward::{self, UnreadBody};
use crate::listen::ConnectionGuard;
use crate::ready::page;
use crate::relay::{DeclinedRelay, mark, take_source};
use crate::state::{Gateway, RequestGuard};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::framing::{FramingLimits, MeteredBody, MeteredSocket};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout for reading the head of a request, and for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves a connection of another instance in the background
///
/// A stopping instance waits for its first request, which arrives at once, and for others that are being
/// served or declined. Another one that finds its request unread can't tell whether it has run.
pub fn start_connection(gateway: &Rc<Gateway>, socket: TcpStream, sender: IpAddr) {
    let open = ConnectionGuard::new(gateway.clone());
    tokio::task::spawn_local(serve_connection(gateway.clone(), socket, sender, open));
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    socket: TcpStream,
    sender: IpAddr,
    open: ConnectionGuard,
) {
    let activity = Rc::new(ConnectionActivity::new());
    let socket = match WatchedSocket::new(socket, activity.clone()) {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("event=peer_connection_ended error={error}");
            return;
        }
    };
    let handle = socket.handle();
    let socket = MeteredSocket::new(socket, FramingLimits::REQUESTS);
    let meter = socket.meter();
    let watched = activity.clone();
    // Between requests the connection doesn't count as open.
    let waiting = Rc::new(Cell::new(Some(open)));
    let service = service_fn(|request: Request<Incoming>| {
        meter.reset();
        let request = request.map(|it| MeteredBody::new(it, meter.clone()));
        let gateway = gateway.clone();
        let activity = watched.clone();
        let waiting = waiting.clone();
        async move {
            let open = waiting.take().unwrap_or_else(|| ConnectionGuard::new(gateway.clone()));
            let response = serve_request(&gateway, request, sender).await;
            if let Some(buffer) = response.body().buffer() {
                activity.set_stream(buffer);
            }
            if response.extensions().get::<UnreadBody>().is_some() {
                activity.has_unread_body.set(true);
                waiting.set(Some(open));
                return Ok(response);
            }
            Ok::<_, Infallible>(response.map(|body| body.guarded(open)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        ended = connection => {
            if let Err(error) = ended {
                log::debug!("event=peer_connection_ended error={error}");
            }
        }
        () = activity.stalled() => {
            log::info!("event=connection_closed reason=peer_stalled");
            return;
        }
    }
    if activity.has_unread_body.get() {
        handle.discard_rest().await;
    }
}

async fn serve_request(
    gateway: &Rc<Gateway>,
    mut request: Request<MeteredBody>,
    sender: IpAddr,
) -> Response<AnswerBody> {
    let Some(source) = take_source(request.headers_mut()) else {
        return config_transfer::answer(gateway);
    };
    let is_known = gateway.instances.borrow().iter().any(|it| it.1.address.ip() == sender);
    let is_able = gateway.takes_requests() && !gateway.link.is_cut();
    if !is_known || !is_able {
        log::info!("event=relay_declined sender={sender} known={is_known}");
        gateway.metrics.relayed("in", "declined");
        let declined = mark(page(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()), false);
        return forward::with_body_state(declined, request.body());
    }
    gateway.metrics.relayed("in", "served");
    let open = RequestGuard::new(gateway.clone());
    let response = forward::serve(gateway, request, source).await;
    // Another instance may serve it: it has not run, and this one has been cut meanwhile.
    let is_declined = (response.status() == StatusCode::SERVICE_UNAVAILABLE
        && gateway.link.is_cut())
        || response.extensions().get::<DeclinedRelay>().is_some();
    mark(response, !is_declined).map(|body| body.guarded(open))
}
