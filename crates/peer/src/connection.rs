//! Client side of one `h2` connection to a peer.
//!
//! The connection is pinged while a call waits for its reply. A ping that times out
//! closes it and the waiting calls fail with `Unresponsive`, so that the next call opens
//! another connection. A connection without calls is closed after an idle timeout.

use crate::auth::{self, PeerSecret};
use crate::error::PeerError;
use crate::frame::{self, FrameError};
use crate::message::{PeerReply, PeerRequest};
use crate::traffic::{CountedStream, PeerTraffic};
use crate::{PeerRefusal, timing::ConnectionTiming};
use bytes::{Bytes, BytesMut};
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong, RecvStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

const WINDOW_BYTES: u32 = 2 * frame::MAX_BODY_BYTES as u32;
const CALL_URI: &str = "http://peer/call";

/// Content of a reply frame
pub(crate) type PeerResult = Result<PeerReply, PeerRefusal>;

/// Open connection to a peer
#[derive(Debug)]
pub(crate) struct PeerConnection {
    sender: SendRequest<Bytes>,
    waiting: Arc<AtomicUsize>,
    closed: watch::Receiver<Option<CloseReason>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    Unresponsive,
    Idle,
    Ended,
}

impl PeerConnection {
    /// Connects, authenticates both sides and starts the connection's task.
    pub(crate) async fn open(
        address: SocketAddr,
        secret: &PeerSecret,
        timing: ConnectionTiming,
        traffic: Arc<PeerTraffic>,
    ) -> Result<PeerConnection, PeerError> {
        let stream = match timeout(timing.connect, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(PeerError::Connect)?,
            Err(_) => return Err(PeerError::ConnectTimedOut(timing.connect)),
        };
        stream.set_nodelay(true).map_err(PeerError::Connect)?;
        let mut stream = CountedStream::new(stream, traffic);
        auth::open_as_client(&mut stream, secret).await.map_err(PeerError::Auth)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
        let (sender, connection) = builder.handshake(stream).await.map_err(PeerError::Broken)?;
        let waiting = Arc::new(AtomicUsize::new(0));
        let (close_sender, closed) = watch::channel(None);
        tokio::spawn(run(connection, waiting.clone(), timing, close_sender));
        Ok(PeerConnection { sender, waiting, closed })
    }

    /// Whether new calls may use the connection
    pub(crate) fn is_open(&self) -> bool {
        self.closed.borrow().is_none() && self.closed.has_changed().is_ok()
    }

    /// Sends one request and reads its reply
    pub(crate) async fn call(&self, request: &PeerRequest) -> Result<PeerReply, PeerError> {
        let _waiting = WaitingCall::new(&self.waiting);
        tokio::select! {
            biased;
            () = closed_as_unresponsive(self.closed.clone()) => Err(PeerError::Unresponsive),
            reply = exchange(self.sender.clone(), request) => reply,
        }
    }
}

/// Runs the connection. Its calls get the reason `Unresponsive` before the connection closes.
async fn run(
    mut connection: Connection<CountedStream<TcpStream>, Bytes>,
    waiting: Arc<AtomicUsize>,
    timing: ConnectionTiming,
    close_sender: watch::Sender<Option<CloseReason>>,
) {
    let pings = connection.ping_pong().expect("taken once for each connection");
    let reason = tokio::select! {
        _ = &mut connection => CloseReason::Ended,
        reason = monitor_connection(pings, waiting, timing) => reason,
    };
    close_sender.send_replace(Some(reason));
}

/// Completes only when the connection is closed as unresponsive.
async fn closed_as_unresponsive(mut closed: watch::Receiver<Option<CloseReason>>) {
    if closed.wait_for(|it| *it == Some(CloseReason::Unresponsive)).await.is_err() {
        std::future::pending().await
    }
}

/// Counts a call while it waits
struct WaitingCall<'a>(&'a AtomicUsize);

impl<'a> WaitingCall<'a> {
    fn new(waiting: &'a AtomicUsize) -> WaitingCall<'a> {
        waiting.fetch_add(1, Ordering::Relaxed);
        WaitingCall(waiting)
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn exchange(
    sender: SendRequest<Bytes>,
    request: &PeerRequest,
) -> Result<PeerReply, PeerError> {
    let body = frame::encode(request).map_err(PeerError::Frame)?;
    let head = http::Request::post(CALL_URI).body(()).expect("constant request head");
    let mut sender = sender.ready().await.map_err(PeerError::Broken)?;
    let (reply, mut stream) = sender.send_request(head, false).map_err(PeerError::Broken)?;
    stream.send_data(body, true).map_err(PeerError::Broken)?;
    let frame = read_frame(reply.await.map_err(PeerError::Broken)?.into_body()).await?;
    let result: PeerResult = frame::decode(&frame).map_err(PeerError::Frame)?;
    result.map_err(PeerError::Refused)
}

/// Reads one frame; fails if the body is longer than the header says.
pub(crate) async fn read_frame(mut body: RecvStream) -> Result<Bytes, PeerError> {
    let mut frame = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(PeerError::Broken)?;
        body.flow_control().release_capacity(part.len()).map_err(PeerError::Broken)?;
        frame.extend_from_slice(&part);
        let length = frame::frame_length(&frame).map_err(PeerError::Frame)?;
        if let Some(length) = length.filter(|it| frame.len() > *it) {
            return Err(PeerError::Frame(FrameError::Trailing(frame.len() - length)));
        }
    }
    Ok(frame.freeze())
}

/// Pings the connection while calls wait; returns when a ping fails or the connection is idle.
async fn monitor_connection(
    mut pings: PingPong,
    waiting: Arc<AtomicUsize>,
    timing: ConnectionTiming,
) -> CloseReason {
    let mut last_used = Instant::now();
    loop {
        tokio::time::sleep(timing.ping_interval).await;
        if waiting.load(Ordering::Relaxed) == 0 {
            if last_used.elapsed() >= timing.idle {
                return CloseReason::Idle;
            }
            continue;
        }
        last_used = Instant::now();
        match timeout(timing.ping_timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return CloseReason::Ended,
            Err(_) => return CloseReason::Unresponsive,
        }
    }
}
