//! One `h2` connection to a peer, as its client holds it.
//!
//! While a call waits for its reply the connection is pinged. A ping without an
//! answer closes it, and the waiting calls fail as `Silent`, so that the next call
//! opens another. Without calls it is closed after a while.

use crate::auth::{self, PeerSecret};
use crate::error::PeerError;
use crate::frame::{self, FrameError};
use crate::message::{PeerReply, PeerRequest};
use crate::traffic::{CountedStream, PeerTraffic};
use crate::{PeerRefusal, client::LinkTimes};
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

/// Reply as it stands in a frame
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
    Silent,
    Idle,
    Ended,
}

impl PeerConnection {
    /// Connects, authenticates both sides and starts the connection's task.
    pub(crate) async fn open(
        address: SocketAddr,
        secret: &PeerSecret,
        times: LinkTimes,
        traffic: Arc<PeerTraffic>,
    ) -> Result<PeerConnection, PeerError> {
        let stream = match timeout(times.connect, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(PeerError::Connect)?,
            Err(_) => return Err(PeerError::ConnectTimedOut(times.connect)),
        };
        stream.set_nodelay(true).map_err(PeerError::Connect)?;
        let mut stream = CountedStream::new(stream, traffic);
        auth::open_as_client(&mut stream, secret).await.map_err(PeerError::Auth)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
        let (sender, connection) = builder.handshake(stream).await.map_err(PeerError::Broken)?;
        let waiting = Arc::new(AtomicUsize::new(0));
        let (closer, closed) = watch::channel(None);
        tokio::spawn(drive(connection, waiting.clone(), times, closer));
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
            () = silence(self.closed.clone()) => Err(PeerError::Silent),
            reply = exchange(self.sender.clone(), request) => reply,
        }
    }
}

/// Runs the connection. Its calls learn of silence before they see it close.
async fn drive(
    mut connection: Connection<CountedStream<TcpStream>, Bytes>,
    waiting: Arc<AtomicUsize>,
    times: LinkTimes,
    closer: watch::Sender<Option<CloseReason>>,
) {
    let pings = connection.ping_pong().expect("taken once for each connection");
    let reason = tokio::select! {
        _ = &mut connection => CloseReason::Ended,
        reason = watch_silence(pings, waiting, times) => reason,
    };
    closer.send_replace(Some(reason));
}

/// Ends if the connection is closed for its silence, and only then.
async fn silence(mut closed: watch::Receiver<Option<CloseReason>>) {
    if closed.wait_for(|it| *it == Some(CloseReason::Silent)).await.is_err() {
        std::future::pending().await
    }
}

/// Counts a call for as long as it waits
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

/// Reads one frame, and no more than its header promises.
pub(crate) async fn read_frame(mut body: RecvStream) -> Result<Bytes, PeerError> {
    let mut frame = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(PeerError::Broken)?;
        body.flow_control().release_capacity(part.len()).map_err(PeerError::Broken)?;
        frame.extend_from_slice(&part);
        let need = frame::frame_length(&frame).map_err(PeerError::Frame)?;
        if let Some(need) = need.filter(|it| frame.len() > *it) {
            return Err(PeerError::Frame(FrameError::Trailing(frame.len() - need)));
        }
    }
    Ok(frame.freeze())
}

/// Ends when a ping goes unanswered or no call came for long.
async fn watch_silence(
    mut pings: PingPong,
    waiting: Arc<AtomicUsize>,
    times: LinkTimes,
) -> CloseReason {
    let mut last_used = Instant::now();
    loop {
        tokio::time::sleep(times.ping_interval).await;
        if waiting.load(Ordering::Relaxed) == 0 {
            if last_used.elapsed() >= times.idle {
                return CloseReason::Idle;
            }
            continue;
        }
        last_used = Instant::now();
        match timeout(times.ping_timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return CloseReason::Ended,
            Err(_) => return CloseReason::Silent,
        }
    }
}
