//! HTTP server of a stand-in.
//!
//! The port stays reserved while the server is stopped, so that it comes back at
//! the same address and nobody else answers there meanwhile.

use crate::gate::{ConnectionGate, ConnectionSet, GatedStream};
use crate::reply::{CutConnection, Reply};
use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Loopback port that the system chooses.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const BACKLOG: u32 = 1_024;
const RELISTEN_PAUSE: Duration = Duration::from_millis(5);
const RELISTEN_TRIES: u32 = 400;

/// Function that answers one request
pub type RequestHandler =
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Result<Reply, CutConnection>> + Send + Sync;
/// Function that serves one connection
pub type StreamHandler = dyn Fn(GatedStream) -> BoxFuture<'static, ()> + Send + Sync;

/// Listening server whose connections can be cut, paused or silenced
pub struct StandinServer {
    address: SocketAddr,
    // Keeps the port while nothing listens.
    _reserved: TcpSocket,
    serve: Arc<StreamHandler>,
    state: Arc<Mutex<ServerState>>,
}

#[derive(Default)]
struct ServerState {
    accept: Option<AbortHandle>,
    connections: ConnectionSet,
}

impl StandinServer {
    /// HTTP server on a loopback port that the system chooses
    ///
    /// # Errors
    /// Any error of binding or listening.
    pub fn http(handler: Arc<RequestHandler>) -> io::Result<StandinServer> {
        StandinServer::http_at(ANY_PORT, handler)
    }

    /// HTTP server at a given address
    ///
    /// # Errors
    /// Any error of binding or listening.
    pub fn http_at(address: SocketAddr, handler: Arc<RequestHandler>) -> io::Result<StandinServer> {
        let serve: Arc<StreamHandler> = Arc::new(move |stream| {
            let handler = Arc::clone(&handler);
            Box::pin(serve_http(stream, handler))
        });
        StandinServer::streams_at(address, serve)
    }

    /// Server that hands each connection to `serve`, on a port that the system chooses
    ///
    /// # Errors
    /// Any error of binding or listening.
    pub fn streams(serve: Arc<StreamHandler>) -> io::Result<StandinServer> {
        StandinServer::streams_at(ANY_PORT, serve)
    }

    fn streams_at(address: SocketAddr, serve: Arc<StreamHandler>) -> io::Result<StandinServer> {
        let reserved = bound_socket(address)?;
        let address = reserved.local_addr()?;
        let server = StandinServer {
            address,
            _reserved: reserved,
            serve,
            state: Arc::new(Mutex::new(ServerState::default())),
        };
        server.listen()?;
        Ok(server)
    }

    /// Address, the same over all restarts
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections and cuts those that are open, as a dead process
    pub fn stop(&self) {
        self.with_state(|state| {
            if let Some(accept) = state.accept.take() {
                accept.abort();
            }
            state.connections.cut();
        });
    }

    /// Listens again after `stop`; no effect while it listens
    ///
    /// # Errors
    /// The error of the last try to listen.
    pub async fn restart(&self) -> io::Result<()> {
        let mut last = Ok(());
        if self.with_state(|state| state.accept.is_some()) {
            return last;
        }
        for _ in 0..RELISTEN_TRIES {
            last = self.listen();
            if last.is_ok() {
                break;
            }
            tokio::time::sleep(RELISTEN_PAUSE).await;
        }
        last
    }

    /// Cuts the open connections
    pub fn cut(&self) {
        self.with_state(|state| state.connections.cut());
    }

    /// Makes the open connections silent for good; new ones work
    pub fn silence(&self) {
        self.with_state(|state| state.connections.silence());
    }

    /// Holds up all connections, also new ones, or lets them go
    pub fn pause(&self, paused: bool) {
        self.with_state(|state| state.connections.pause(paused));
    }

    fn listen(&self) -> io::Result<()> {
        let listener = bound_socket(self.address)?.listen(BACKLOG)?;
        let state = Arc::clone(&self.state);
        let serve = Arc::clone(&self.serve);
        let accept = tokio::spawn(accept_all(listener, state, serve)).abort_handle();
        self.with_state(|state| state.accept = Some(accept));
        Ok(())
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut ServerState) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bound_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept_all(
    listener: TcpListener,
    state: Arc<Mutex<ServerState>>,
    serve: Arc<StreamHandler>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start_connection(stream, &state, &serve),
            Err(_) => tokio::time::sleep(RELISTEN_PAUSE).await,
        }
    }
}

fn start_connection(
    stream: TcpStream,
    state: &Arc<Mutex<ServerState>>,
    serve: &Arc<StreamHandler>,
) {
    let _ = stream.set_nodelay(true);
    let gate = Arc::new(ConnectionGate::default());
    let stream = GatedStream::new(stream, Arc::clone(&gate));
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let task = tokio::spawn(serve(stream)).abort_handle();
    state.connections.add(&gate, task);
}

async fn serve_http(stream: GatedStream, handler: Arc<RequestHandler>) {
    let service = service_fn(move |request| handler(request));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    // A broken connection is the other side's affair.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
