//! Serves the instances' port: relayed requests, and transfers of configurations.

use super::config_transfer;
use crate::body::AnswerBody;
use crate::client_socket::{ConnectionActivity, WatchedSocket};
use crate::forward;
use crate::listen::ConnectionGuard;
use crate::ready::page;
use crate::relay::{DeclinedRelay, mark, take_source};
use crate::state::{Gateway, RequestGuard};
use crate::stop::StopStage;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Timeout for reading the head of a request, and for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other instances for the life of the process
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, sender)) => {
                tokio::task::spawn_local(serve_connection(gateway.clone(), socket, sender.ip()));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, socket: TcpStream, sender: IpAddr) {
    let activity = Rc::new(ConnectionActivity::new());
    let socket = match WatchedSocket::new(socket, activity.clone()) {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("event=peer_connection_ended error={error}");
            return;
        }
    };
    let watched = activity.clone();
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        let activity = watched.clone();
        async move {
            let response = serve_request(&gateway, request, sender).await;
            if let Some(buffer) = response.body().buffer() {
                activity.set_stream(buffer);
            }
            Ok::<_, Infallible>(response)
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
        () = activity.stalled() => log::info!("event=connection_closed reason=peer_stalled"),
    }
}

async fn serve_request(
    gateway: &Rc<Gateway>,
    mut request: Request<Incoming>,
    sender: IpAddr,
) -> Response<AnswerBody> {
    let Some(source) = take_source(request.headers_mut()) else {
        return config_transfer::answer(gateway);
    };
    let is_known = gateway.instances.borrow().iter().any(|it| it.1.address.ip() == sender);
    let is_stopping = gateway.stop.has_reached(StopStage::Unready);
    let is_able = gateway.is_ready() && !is_stopping && !gateway.link.is_cut();
    if !is_known || !is_able {
        log::info!("event=relay_declined sender={sender} known={is_known}");
        gateway.metrics.relayed("in", "declined");
        return mark(page(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()), false);
    }
    gateway.metrics.relayed("in", "served");
    // A stopping instance waits for it as for its own clients.
    let guards = (RequestGuard::new(gateway.clone()), ConnectionGuard::new(gateway.clone()));
    let response = forward::serve(gateway, request, source).await;
    // Another instance may serve it: it has not run, and this one has been cut meanwhile.
    let is_declined = (response.status() == StatusCode::SERVICE_UNAVAILABLE
        && gateway.link.is_cut())
        || response.extensions().get::<DeclinedRelay>().is_some();
    mark(response, !is_declined).map(|body| body.guarded(guards))
}
