//! Connections of clients.

use crate::forward;
use crate::state::{Gateway, RequestGuard};
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Most connections of clients; leaves descriptors for endpoints and the store.
const MAX_CONNECTIONS: usize = 3000;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer for heads that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Largest head and idle time until the configuration states them.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Accepts clients' connections for the life of the process
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) if gateway.open_connections.get() < MAX_CONNECTIONS => {
                tokio::task::spawn_local(serve(gateway.clone(), socket));
            }
            Ok(_) => log::warn!("event=connection_refused reason=limit limit={MAX_CONNECTIONS}"),
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a connection until dropped
struct ConnectionGuard(Rc<Gateway>);

impl ConnectionGuard {
    fn new(gateway: Rc<Gateway>) -> ConnectionGuard {
        gateway.open_connections.set(gateway.open_connections.get() + 1);
        ConnectionGuard(gateway)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Requests of one connection
struct ConnectionActivity {
    open: Cell<usize>,
    last: Cell<Instant>,
}

struct ActivityGuard(Rc<ConnectionActivity>);

impl ActivityGuard {
    fn new(activity: Rc<ConnectionActivity>) -> ActivityGuard {
        activity.open.set(activity.open.get() + 1);
        ActivityGuard(activity)
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.last.set(Instant::now());
    }
}

async fn serve(gateway: Rc<Gateway>, socket: TcpStream) {
    let _guard = ConnectionGuard::new(gateway.clone());
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("event=connection_ended error={error}");
        return;
    }
    let (max_head, idle_timeout) = bounds(&gateway);
    let activity =
        Rc::new(ConnectionActivity { open: Cell::new(0), last: Cell::new(Instant::now()) });
    let service = {
        let gateway = gateway.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            let gateway = gateway.clone();
            let in_use = ActivityGuard::new(activity.clone());
            let open = RequestGuard::new(gateway.clone());
            async move {
                let mut response = forward::serve(&gateway, request).await;
                if gateway.stopping.get() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let (parts, body) = response.into_parts();
                let body = body.guarded(open);
                drop(in_use);
                Ok::<_, Infallible>(http::Response::from_parts(parts, body))
            }
        })
    };
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            // Idle connections and slow heads are both bounded by the idle time below.
            .header_read_timeout(None)
            .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(socket), service)
    );
    let mut is_closing = gateway.is_closing.get();
    if is_closing {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        let check_at = activity.last.get() + idle_timeout;
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("event=connection_ended error={error}");
                }
                return;
            }
            () = gateway.close_idle.notified(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(check_at), if !is_closing => {
                let is_idle = activity.open.get() == 0;
                if is_idle && activity.last.get() + idle_timeout <= Instant::now() {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                } else if !is_idle {
                    activity.last.set(Instant::now());
                }
            }
        }
    }
}

fn bounds(gateway: &Gateway) -> (usize, Duration) {
    match gateway.config.borrow().as_ref() {
        Some(config) => (config.limits.max_head_bytes, config.limits.idle_timeout),
        None => (DEFAULT_HEAD_BYTES, DEFAULT_IDLE),
    }
}
