//! Accepts and serves client connections.

use crate::client_socket::{ActivityGuard, ConnectionActivity, WatchedSocket};
use crate::forward::{self, UnreadBody};
use crate::relay::RequestSource;
use crate::state::{Gateway, RequestGuard};
use crate::stop::StopStage;
use decide::serving::route::ClientLimits;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::framing::{FramingLimits, MeteredBody, MeteredSocket};
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum number of client connections; leaves file descriptors for endpoints and the store.
const MAX_CONNECTIONS: usize = 3000;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time that a stopping instance waits for the request of a connection that has just been opened.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Smallest head buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8192;
/// Limits until a configuration is known.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 0,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Accepts connections until a planned stop ends that, and closes the listener
pub async fn accept(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    start_connection: impl Fn(&Rc<Gateway>, TcpStream, IpAddr),
) {
    gateway.stop.record_listener();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.stop.reached(StopStage::NotListening) => break,
        };
        match accepted {
            Ok((socket, sender)) => start_connection(&gateway, socket, sender.ip()),
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let start_queued = |socket, sender| start_connection(&gateway, socket, sender);
    if let Err(error) = accept_queued(listener, start_queued) {
        log::warn!("event=accept_failed error={error}");
    }
    gateway.stop.record_closed_listener();
}

/// Accepts the connections that have been opened already, and closes the listener
fn accept_queued(
    listener: TcpListener,
    start_connection: impl Fn(TcpStream, IpAddr),
) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((socket, sender)) => {
                socket.set_nonblocking(true)?;
                start_connection(TcpStream::from_std(socket)?, sender.ip());
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Serves a client's connection in the background
pub fn start_connection(gateway: &Rc<Gateway>, socket: TcpStream, client: IpAddr) {
    if gateway.open_connections.get() >= MAX_CONNECTIONS {
        log::warn!("event=connection_refused reason=limit limit={MAX_CONNECTIONS}");
        return;
    }
    // Counted from here on, so that a stop doesn't overlook a connection whose task has yet to start.
    let open = ConnectionGuard::new(gateway.clone());
    tokio::task::spawn_local(serve(gateway.clone(), socket, client, open));
}

/// Counts an open client connection until dropped
pub struct ConnectionGuard(Rc<Gateway>);

impl ConnectionGuard {
    /// Counts one more open connection
    pub fn new(gateway: Rc<Gateway>) -> ConnectionGuard {
        gateway.open_connections.set(gateway.open_connections.get() + 1);
        ConnectionGuard(gateway)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

async fn serve(gateway: Rc<Gateway>, socket: TcpStream, caller: IpAddr, _open: ConnectionGuard) {
    let mut limits = current_limits(&gateway);
    let activity = Rc::new(ConnectionActivity::new());
    let socket = match WatchedSocket::new(socket, activity.clone()) {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("event=connection_ended error={error}");
            return;
        }
    };
    let handle = socket.handle();
    let socket = MeteredSocket::new(socket, FramingLimits::REQUESTS);
    let meter = socket.meter();
    let service = {
        let gateway = gateway.clone();
        let activity = activity.clone();
        let handle = handle.clone();
        service_fn(move |request: Request<Incoming>| {
            let gateway = gateway.clone();
            let in_use = ActivityGuard::new(activity.clone());
            let activity = activity.clone();
            let handle = handle.clone();
            let is_unframed = request.version() == Version::HTTP_10;
            let open = RequestGuard::new(gateway.clone());
            meter.reset();
            let request = request.map(|it| MeteredBody::new(it, meter.clone()));
            async move {
                let mut response =
                    forward::serve(&gateway, request, RequestSource::Client(caller)).await;
                if response.extensions().get::<UnreadBody>().is_some() {
                    activity.has_unread_body.set(true);
                }
                if gateway.stop.has_reached(StopStage::Unready) {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let (parts, body) = response.into_parts();
                if let Some(buffer) = body.buffer() {
                    activity.set_stream(buffer);
                    if is_unframed {
                        // Nothing but the connection's end tells such a client that the stream is whole.
                        handle.set_reset(true);
                        buffer.on_whole(move || handle.set_whole());
                    }
                }
                let body = body.guarded((open, in_use));
                Ok::<_, Infallible>(http::Response::from_parts(parts, body))
            }
        })
    };
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            // Enforced in the loop below: the library's timeout would also close idle connections.
            .header_read_timeout(None)
            .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(socket), service)
    );
    // The library would close a connection at once that has sent nothing yet. Answers of a stopping instance
    // close theirs.
    let mut is_closing = gateway.stop.has_reached(StopStage::ClosingIdle);
    let idle_timeout =
        |limits: &ClientLimits| match gateway.stop.has_reached(StopStage::ClosingIdle) {
            true => CLOSING_IDLE_TIMEOUT,
            false => limits.idle_timeout,
        };
    let mut is_shut = false;
    let mut is_ending = false;
    loop {
        let next_check = activity.next_check(limits.head_timeout, idle_timeout(&limits));
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("event=connection_ended error={error}");
                    if error.is_parse() {
                        // The library has refused the request in the middle of its head.
                        activity.has_unread_body.set(true);
                    }
                }
                break;
            }
            () = gateway.stop.reached(StopStage::ClosingIdle), if !is_closing => {
                is_closing = true;
                // An idle connection is closed by the next check, unless it has just been opened: its first
                // request is on the way.
                if activity.open_requests.get() > 0 {
                    is_shut = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = gateway.stop.reached(StopStage::Answering), if !is_ending => {
                is_ending = true;
                handle.enlarge_send_buffer();
            }
            // Loops to compute the next check again, which may now be sooner.
            () = activity.head_started.notified() => limits = current_limits(&gateway),
            () = activity.stalled() => {
                log::info!("event=connection_closed reason=client_stalled");
                gateway.metrics.clients_stalled.inc();
                return;
            }
            () = sleep_until(next_check) => {
                // Shorter timeouts of a newer configuration apply from the next request on.
                let current = current_limits(&gateway);
                limits.head_timeout = limits.head_timeout.max(current.head_timeout);
                limits.idle_timeout = limits.idle_timeout.max(current.idle_timeout);
                if activity.is_slow_head(limits.head_timeout) {
                    log::info!("event=connection_closed reason=slow_head");
                    return;
                }
                if activity.is_busy() || is_shut || handle.has_unread() {
                    activity.idle_since.set(Instant::now());
                } else if activity.idle_since.get() + idle_timeout(&limits) <= Instant::now() {
                    is_shut = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
    if activity.has_unread_body.get() {
        handle.discard_rest().await;
    }
}

fn current_limits(gateway: &Gateway) -> ClientLimits {
    gateway.config.borrow().as_ref().map_or(DEFAULT_LIMITS, |it| it.limits)
}
