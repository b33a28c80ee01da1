//! Test peer, stalling relay and raw client.

use bytes::Bytes;
use futures_util::FutureExt;
use peer::auth::open_as_client;
use peer::client::ConnectionTiming;
use peer::message::{ConfirmRequest, PeerUpdate, RelayedBatch};
use peer::{PeerClient, PeerRefusal, PeerReply, PeerRequest, PeerSecret, frame, server};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const SHORT_TIMING: ConnectionTiming = ConnectionTiming {
    connect: Duration::from_secs(1),
    ping_interval: Duration::from_millis(100),
    ping_timeout: Duration::from_millis(200),
    idle: Duration::from_secs(30),
};

/// Client with short ping timeouts
pub fn client(secret: &str) -> PeerClient {
    client_as(PeerSecret::new(secret))
}

/// `client` with a given secret
pub fn client_as(secret: PeerSecret) -> PeerClient {
    PeerClient::new(secret, SHORT_TIMING)
}

/// Request that `TestPeer` never answers
pub fn hang() -> PeerRequest {
    let request = ConfirmRequest { pool: "p".into(), plan: 1, engine: "e".into() };
    PeerRequest::ConfirmPlan(request)
}

/// Peer that answers pings and relays, hangs on plans and refuses the rest
pub struct TestPeer {
    pub address: SocketAddr,
    /// Number of requests that reached the handler
    pub calls: Arc<AtomicUsize>,
    batch: Arc<Mutex<RelayedBatch>>,
    task: JoinHandle<()>,
}

impl TestPeer {
    pub async fn start(secret: &str) -> TestPeer {
        TestPeer::start_as(PeerSecret::new(secret)).await
    }

    pub async fn start_as(secret: PeerSecret) -> TestPeer {
        TestPeer::serve_at(([127, 0, 0, 1], 0).into(), secret).await
    }

    pub async fn start_at(address: SocketAddr, secret: &str) -> TestPeer {
        TestPeer::serve_at(address, PeerSecret::new(secret)).await
    }

    async fn serve_at(address: SocketAddr, secret: PeerSecret) -> TestPeer {
        let listener = TcpListener::bind(address).await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let calls = Arc::new(AtomicUsize::new(0));
        let batch = Arc::new(Mutex::new(RelayedBatch::default()));
        let (counted, kept) = (calls.clone(), batch.clone());
        let handler = move |request: PeerRequest| {
            counted.fetch_add(1, Ordering::Relaxed);
            let batch = kept.lock().expect("no panic").clone();
            answer(request, batch).boxed()
        };
        let task = tokio::spawn(server::serve(listener, secret, handler));
        TestPeer { address, calls, batch, task }
    }

    pub fn set_batch(&self, batch: RelayedBatch) {
        *self.batch.lock().expect("no panic") = batch;
    }

    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn answer(request: PeerRequest, batch: RelayedBatch) -> Result<PeerReply, PeerRefusal> {
    match request {
        PeerRequest::Ping(_) => {
            Ok(PeerReply::Pong(PeerUpdate { instance: "b".into(), load: 2, down: Vec::new() }))
        }
        PeerRequest::Relay(_) => Ok(PeerReply::Records(batch)),
        PeerRequest::ConfirmPlan(_) => std::future::pending().await,
        _ => Err(PeerRefusal::Unsupported),
    }
}

/// TCP relay that can stall its open connections while new ones work
pub struct TestRelay {
    pub address: SocketAddr,
    /// Number of accepted connections
    pub accepted: Arc<AtomicUsize>,
    stalled: Arc<AtomicUsize>,
    epoch: watch::Sender<u32>,
}

impl TestRelay {
    pub async fn start(target: SocketAddr) -> TestRelay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let accepted = Arc::new(AtomicUsize::new(0));
        let (epoch, watcher) = watch::channel(0);
        let stalled = Arc::new(AtomicUsize::new(0));
        let (counted, stalled_count) = (accepted.clone(), stalled.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(forward(stream, target, watcher.clone(), stalled_count.clone()));
            }
        });
        TestRelay { address, accepted, stalled, epoch }
    }

    /// Stalls the open connections and returns once none of them forwards data.
    pub async fn stall_open_connections(&self) {
        let accepted = self.accepted.load(Ordering::Relaxed);
        self.epoch.send_modify(|it| *it += 1);
        wait_until(|| self.stalled.load(Ordering::Relaxed) == accepted).await;
    }
}

async fn forward(
    mut near: TcpStream,
    target: SocketAddr,
    mut epoch: watch::Receiver<u32>,
    stalled: Arc<AtomicUsize>,
) {
    let mut far = TcpStream::connect(target).await.expect("peer listens");
    epoch.mark_unchanged();
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        _ = epoch.changed() => {
            stalled.fetch_add(1, Ordering::Relaxed);
            std::future::pending().await
        }
    }
}

/// Server that echoes the bytes it receives
pub async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (mut read, mut write) = stream.split();
            let _ = tokio::io::copy(&mut read, &mut write).await;
        }
    });
    address
}

/// Sends raw bytes as the body of a call and reads the reply
pub async fn send_raw(
    address: SocketAddr,
    secret: &str,
    body: &'static [u8],
) -> Result<PeerReply, PeerRefusal> {
    let mut stream = TcpStream::connect(address).await.expect("peer listens");
    open_as_client(&mut stream, &PeerSecret::new(secret)).await.expect("same secret");
    let (mut sender, connection) = h2::client::handshake(stream).await.expect("h2");
    tokio::spawn(connection);
    let head = http::Request::post("http://peer/call").body(()).expect("constant");
    let (reply, mut sending) = sender.send_request(head, false).expect("open");
    sending.send_data(Bytes::from_static(body), true).expect("open");
    let mut reply = reply.await.expect("answered").into_body();
    let mut bytes = Vec::new();
    while let Some(part) = reply.data().await {
        bytes.extend_from_slice(&part.expect("whole"));
    }
    frame::decode(&bytes).expect("valid frame")
}

pub async fn wait_until(is_met: impl Fn() -> bool) {
    let wait = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), wait).await.expect("condition holds in time");
}
