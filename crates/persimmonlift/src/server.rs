//! HTTP server: accepts connections, limits them and drains them.

use crate::answer::AnswerResponse;
use crate::stall::StallGuard;
use futures_util::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use platform::framing::{FramingLimits, MeteredBody, MeteredSocket};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::JoinHandle;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers per request.
const MAX_HEADERS: usize = 100;
/// Maximum number of concurrent requests per HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Pause after a failed accept, to avoid a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time to read the first request of the last accepted connections.
const FIRST_READ_WAIT: Duration = Duration::from_millis(200);
/// HTTP/2 window of a connection and of each stream: content that may arrive before it is read.
const WINDOW_BYTES: u32 = 1024 * 1024;
/// Interval of HTTP/2 pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// Timeout of the answer to an HTTP/2 ping.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of what a connection brings beside the content of its requests
const FRAMING_LIMITS: FramingLimits = FramingLimits::REQUESTS.with_window(WINDOW_BYTES as usize);

/// Function that answers requests
pub type AnswerFn = dyn Fn(Request<MeteredBody>) -> BoxFuture<'static, Result<AnswerResponse, Infallible>>
    + Send
    + Sync;

/// Limits and timeouts of a server's connections
#[derive(Debug, Clone)]
pub struct ServerLimits {
    pub max_connections: usize,
    /// Timeout for reading a request head
    pub head_timeout: Duration,
    /// Timeout of a write that makes no progress
    pub write_stall: Duration,
}

/// Running server
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<Duration>>,
    task: JoinHandle<bool>,
}

impl HttpServer {
    /// Starts a server on a listener
    ///
    /// # Errors
    /// Any error of the listener.
    pub fn start(
        listener: TcpListener,
        limits: ServerLimits,
        answer: Arc<AnswerFn>,
    ) -> io::Result<HttpServer> {
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let connections = Arc::new(Semaphore::new(limits.max_connections));
        let acceptor = ConnectionAcceptor { limits, answer, connections };
        let task = tokio::spawn(acceptor.run(listener, stopped));
        Ok(HttpServer { address, stop: Some(stop), task })
    }

    /// Address of the listener
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits up to `bound` for requests in flight; returns whether all
    /// of them ended
    pub async fn drain(&mut self, bound: Duration) -> bool {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(bound);
        }
        (&mut self.task).await.unwrap_or(false)
    }

    /// Closes the listener and all connections at once
    pub fn abort(&self) {
        self.task.abort();
    }
}

struct ConnectionAcceptor {
    limits: ServerLimits,
    answer: Arc<AnswerFn>,
    connections: Arc<Semaphore>,
}

impl ConnectionAcceptor {
    async fn run(self, listener: TcpListener, mut stopped: oneshot::Receiver<Duration>) -> bool {
        let graceful = GracefulShutdown::new();
        let mut tasks = tokio::task::JoinSet::new();
        let bound = loop {
            tokio::select! {
                bound = &mut stopped => break bound.unwrap_or_default(),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream, graceful.watcher(), &mut tasks),
                    Err(error) => {
                        log::warn!("event=accept_failed reason=\"{error}\"");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(_) = tasks.join_next() => {}
            }
        };
        // The kernel has already accepted the connections in the backlog, so their callers may
        // have sent requests. Closing the listener, or a connection before its first read,
        // would reset them.
        let backlog = accept_backlog(listener).unwrap_or_else(|error| {
            log::warn!("event=accept_failed reason=\"{error}\"");
            Vec::new()
        });
        for stream in backlog {
            self.serve(stream, graceful.watcher(), &mut tasks);
        }
        tokio::time::sleep(FIRST_READ_WAIT).await;
        tokio::time::timeout(bound, graceful.shutdown()).await.is_ok()
    }

    fn serve(&self, stream: TcpStream, watcher: Watcher, tasks: &mut tokio::task::JoinSet<()>) {
        let Ok(place) = self.connections.clone().try_acquire_owned() else {
            log::warn!("event=connection_refused reason=\"too many connections\"");
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay_failed reason=\"{error}\"");
        }
        let socket = StallGuard::new(stream, self.limits.write_stall);
        let socket = MeteredSocket::new(socket, FRAMING_LIMITS);
        let meter = socket.meter();
        let io = TokioIo::new(socket);
        let answer = self.answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            meter.reset();
            answer(request.map(|it| MeteredBody::new(it, meter.clone())))
        });
        let builder = connection_builder(&self.limits);
        tasks.spawn(async move {
            let connection = builder.serve_connection(io, service).into_owned();
            if let Err(error) = watcher.watch(connection).await {
                log::debug!("event=connection_failed reason=\"{error}\"");
            }
            drop(place);
        });
    }
}

/// Accepts the connections that wait, and closes the listener
fn accept_backlog(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut backlog = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                backlog.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            // Usually no connection waits any more.
            Err(_) => return Ok(backlog),
        }
    }
}

fn connection_builder(limits: &ServerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_connection_window_size(WINDOW_BYTES)
        .initial_stream_window_size(WINDOW_BYTES)
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}
