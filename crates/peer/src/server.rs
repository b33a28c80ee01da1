//! Server that answers calls of other instances.
//!
//! The server's future owns its connections: dropping it closes them all. A
//! handler's future is dropped when its caller's connection closes, so a handler
//! must hand work that has to complete to an actor.

use crate::auth::{self, PeerSecret};
use crate::connection::{PeerResult, read_frame};
use crate::error::{PeerError, PeerRefusal};
use crate::frame;
use crate::message::PeerRequest;
use crate::traffic::{CountedStream, PeerTraffic};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Maximum number of open connections.
pub const MAX_CONNECTIONS: usize = 1_024;
const MAX_CALLS_PER_CONNECTION: u32 = 256;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const WINDOW_BYTES: u32 = 2 * frame::MAX_BODY_BYTES as u32;

/// Function that answers one request
pub type PeerHandler = dyn Fn(PeerRequest) -> BoxFuture<'static, PeerResult> + Send + Sync;

/// Serves peers that know the secret until the future is dropped.
pub async fn serve(
    listener: TcpListener,
    secret: PeerSecret,
    handler: impl Fn(PeerRequest) -> BoxFuture<'static, PeerResult> + Send + Sync + 'static,
) {
    serve_with_traffic(listener, secret, Arc::new(handler), Arc::default()).await;
}

/// Like `serve`, and counts the bytes.
pub async fn serve_with_traffic(
    listener: TcpListener,
    secret: PeerSecret,
    handler: Arc<PeerHandler>,
    traffic: Arc<PeerTraffic>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(_) if connections.len() >= MAX_CONNECTIONS => {
                    log::warn!("event=peer_connection_refused reason=too_many");
                }
                Ok((stream, address)) => {
                    if let Err(error) = stream.set_nodelay(true) {
                        log::debug!("event=nodelay_failed address={address} error={error}");
                    }
                    let stream = CountedStream::new(stream, traffic.clone());
                    let (secret, handler) = (secret.clone(), handler.clone());
                    connections.spawn(serve_connection(stream, address, secret, handler));
                }
                Err(error) => {
                    log::warn!("event=peer_accept_failed error={error:?}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(
    mut stream: CountedStream<TcpStream>,
    address: SocketAddr,
    secret: PeerSecret,
    handler: Arc<PeerHandler>,
) {
    if let Err(error) = auth::open_as_server(&mut stream, &secret).await {
        log::warn!("event=peer_refused address={address} reason={error:?}");
        return;
    }
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION);
    let Ok(Ok(mut connection)) =
        timeout(auth::AUTH_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await
    else {
        return;
    };
    let mut calls = JoinSet::new();
    while let Ok(Some(Ok((request, responder)))) = timeout(IDLE_TIMEOUT, connection.accept()).await
    {
        while calls.try_join_next().is_some() {}
        calls.spawn(serve_call(request.into_body(), responder, handler.clone()));
    }
}

async fn serve_call(
    body: RecvStream,
    mut responder: SendResponse<Bytes>,
    handler: Arc<PeerHandler>,
) {
    let result = match timeout(READ_TIMEOUT, read_request(body)).await {
        Ok(Ok(request)) => handler(request).await,
        Ok(Err(PeerError::Frame(error))) => {
            log::warn!("event=peer_frame_refused reason={error:?}");
            Err(PeerRefusal::Unreadable)
        }
        Ok(Err(_)) | Err(_) => return,
    };
    if let Err(error) = answer(&mut responder, result) {
        log::debug!("event=peer_reply_failed error={error:?}");
    }
}

async fn read_request(body: RecvStream) -> Result<PeerRequest, PeerError> {
    let frame = read_frame(body).await?;
    frame::decode(&frame).map_err(PeerError::Frame)
}

fn answer(responder: &mut SendResponse<Bytes>, result: PeerResult) -> Result<(), PeerError> {
    let frame = match frame::encode(&result) {
        Ok(frame) => frame,
        Err(error) => {
            log::error!("event=peer_reply_unwritable reason={error:?}");
            frame::encode(&PeerResult::Err(PeerRefusal::Failed)).map_err(PeerError::Frame)?
        }
    };
    let mut stream =
        responder.send_response(http::Response::new(()), false).map_err(PeerError::Broken)?;
    stream.send_data(frame, true).map_err(PeerError::Broken)
}
