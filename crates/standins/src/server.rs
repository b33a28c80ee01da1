//! HTTP server of a stand-in.
//!
//! The port stays reserved while the server is stopped, so the server can restart at
//! the same address and no other process can bind it in the meantime.

use crate::fault_switch::{ConnectionSet, FaultSwitch, SwitchedStream};
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

/// Loopback address with a port that the operating system chooses.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const BACKLOG: u32 = 1_024;
const RELISTEN_INTERVAL: Duration = Duration::from_millis(5);
const RELISTEN_ATTEMPTS: u32 = 400;

/// Function that answers one request
pub type RequestHandler =
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Result<Reply, CutConnection>> + Send + Sync;
/// Function that serves one connection
pub type StreamHandler = dyn Fn(SwitchedStream) -> BoxFuture<'static, ()> + Send + Sync;

/// Listening server whose connections can be cut, paused or made unresponsive
pub struct StandinServer {
    address: SocketAddr,
    // Reserves the port while the server is stopped.
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
    /// Starts an HTTP server on a loopback port that the operating system chooses
    ///
    /// # Errors
    /// Any error of binding or listening.
    pub fn http(handler: Arc<RequestHandler>) -> io::Result<StandinServer> {
        StandinServer::http_at(ANY_PORT, handler)
    }

    /// Starts an HTTP server at a given address
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

    /// Starts a server that passes each connection to `serve`, on a port that the
    /// operating system chooses
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

    /// Address, which stays the same across restarts
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections and closes open ones, like a process that has died
    pub fn stop(&self) {
        self.with_state(|state| {
            if let Some(accept) = state.accept.take() {
                accept.abort();
            }
            state.connections.cut();
        });
    }

    /// Listens again after `stop`; no effect while already listening
    ///
    /// # Errors
    /// Error of the last attempt to listen.
    pub async fn restart(&self) -> io::Result<()> {
        let mut last = Ok(());
        if self.with_state(|state| state.accept.is_some()) {
            return last;
        }
        for _ in 0..RELISTEN_ATTEMPTS {
            last = self.listen();
            if last.is_ok() {
                break;
            }
            tokio::time::sleep(RELISTEN_INTERVAL).await;
        }
        last
    }

    /// Closes the open connections
    pub fn cut(&self) {
        self.with_state(|state| state.connections.cut());
    }

    /// Makes the open connections unresponsive permanently; new ones work
    pub fn make_unresponsive(&self) {
        self.with_state(|state| state.connections.make_unresponsive());
    }

    /// Pauses or resumes all connections, including later ones
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
            Err(_) => tokio::time::sleep(RELISTEN_INTERVAL).await,
        }
    }
}

fn start_connection(
    stream: TcpStream,
    state: &Arc<Mutex<ServerState>>,
    serve: &Arc<StreamHandler>,
) {
    let _ = stream.set_nodelay(true);
    let switch = Arc::new(FaultSwitch::default());
    let stream = SwitchedStream::new(stream, Arc::clone(&switch));
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let task = tokio::spawn(serve(stream)).abort_handle();
    state.connections.add(&switch, task);
}

async fn serve_http(stream: SwitchedStream, handler: Arc<RequestHandler>) {
    let service = service_fn(move |request| handler(request));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    // A connection error is handled by the client.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
