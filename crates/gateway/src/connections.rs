//! Connections to endpoints.
//!
//! A connection carries one request at a time. It is reused only after a complete
//! answer to that request. Dropping it earlier closes it at once, so that the endpoint
//! stops working on the request.
//!
//! A faulty endpoint may write a refusal once more, where the answer to the next request
//! is expected. So what may not run after it was refused uses no connection that has
//! carried a refusal.

use bytes::Bytes;
use decide::serving::endpoint_list::ListedEndpoint;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use platform::framing::{FramingLimits, FramingMeter, MeteredBody, MeteredSocket};
use platform::http::is_final_status;
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Timeout for connecting; endpoints are within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout of connections to endpoints that state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Margin before the endpoint's idle timeout; within it a connection is not reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Longest time for which an idle connection is kept, whatever the endpoint states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Number of ids of earlier requests that a connection remembers. A late second copy of an answer follows
/// within a few requests.
const MAX_CARRIED_IDS: usize = 8;
/// Maximum number of idle connections kept for each endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Size of a connection's read buffer, which also bounds the head of an answer.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of interim answers to one request.
const MAX_INTERIM_ANSWERS: usize = 20;
/// Fraction of an endpoint's connection limit that instances divide among themselves. The rest covers
/// closed connections that the endpoint still counts.
const SHARED_FRACTION: f64 = 0.8;

/// Maximum number of connections of one instance to an endpoint that accepts `max_connections`
/// in total
pub fn connection_share(max_connections: u32, instances: usize) -> usize {
    let share = f64::from(max_connections) * SHARED_FRACTION / instances.max(1) as f64;
    (share as usize).max(1)
}

/// Error of an exchange on a connection
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ExchangeError {
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// connecting timed out
    ConnectTimedOut,
    /// connection closed before the request was written
    Unsent,
    /// connection failed after the request was written: {0}
    Broken(hyper::Error),
    /// endpoint sends interim answers only
    InterimOnly,
    /// status {0} is that of no final answer
    UnknownStatus(StatusCode),
    /// reused connection failed after the request was written, possibly closed by the endpoint before: {0}
    Stale(hyper::Error),
}

impl std::error::Error for ExchangeError {}

/// Interim answers (1xx) to one request
#[derive(Default)]
struct InterimAnswers {
    count: AtomicUsize,
    /// Notified once there are too many
    exceeded: Notify,
}

impl InterimAnswers {
    fn record(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_ANSWERS {
            self.exceeded.notify_one();
        }
    }
}

/// Connections that may carry a request, besides a new one
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// None
    Never,
    /// Those that have carried no refusal, of which a copy could be taken for an answer that promises something
    Unrefused,
    /// All
    Any,
}

/// Key of a connection: an endpoint's incarnation and its address
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct EndpointKey {
    id: catalogue::id::EndpointId,
    address: SocketAddr,
    started_at_ms: u64,
}

impl From<&ListedEndpoint> for EndpointKey {
    fn from(endpoint: &ListedEndpoint) -> EndpointKey {
        EndpointKey {
            id: endpoint.id.clone(),
            address: endpoint.address,
            started_at_ms: endpoint.started_at_ms,
        }
    }
}

/// Counts a connection as open until dropped
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: Rc<Cell<usize>>) -> OpenGuard {
        open.set(open.get() + 1);
        OpenGuard(open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connection to an endpoint, closed when dropped
pub struct EndpointConnection {
    key: EndpointKey,
    _open: OpenGuard,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    meter: FramingMeter,
    idle_since: Instant,
    idle_timeout: Duration,
    /// Whether it has carried an earlier request
    pub is_reused: bool,
    /// Whether an endpoint has refused a request on it
    pub has_refused: bool,
    /// Ids of the latest requests that it has carried, the newest last
    carried: Vec<SmolStr>,
}

impl EndpointConnection {
    /// Sends a request and waits for the head of the answer
    ///
    /// # Errors
    /// `Unsent` if no byte was written; otherwise `InterimOnly`, `UnknownStatus`, `Broken`, or `Stale` on a reused
    /// connection.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, ExchangeError> {
        let is_reused = self.is_reused;
        let interim = Arc::new(InterimAnswers::default());
        let counted = interim.clone();
        on_informational(&mut request, move |_| counted.record());
        self.meter.reset();
        let answered = self.sender.try_send_request(request);
        tokio::select! {
            answer = answered => match answer {
                // The HTTP library takes 101 for the answer, after which no HTTP follows.
                Ok(answer) if answer.status().is_informational() => Err(ExchangeError::InterimOnly),
                Ok(answer) if !is_final_status(answer.status()) => {
                    Err(ExchangeError::UnknownStatus(answer.status()))
                }
                Ok(answer) => {
                    self.meter.reset();
                    Ok(answer.map(|it| MeteredBody::new(it, self.meter.clone())))
                }
                Err(mut error) => Err(match (error.take_message(), is_reused) {
                    (Some(_), _) => ExchangeError::Unsent,
                    (None, true) => ExchangeError::Stale(error.into_error()),
                    (None, false) => ExchangeError::Broken(error.into_error()),
                }),
            },
            () = interim.exceeded.notified() => Err(ExchangeError::InterimOnly),
        }
    }
}

impl EndpointConnection {
    fn record_carried(&mut self, id: &SmolStr) {
        if self.carried.len() == MAX_CARRIED_IDS {
            self.carried.remove(0);
        }
        self.carried.push(id.clone());
    }
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to one incarnation of an endpoint
#[derive(Default)]
struct ConnectionSet {
    idle: Vec<EndpointConnection>,
    /// Number of connections, idle and in use
    open: Rc<Cell<usize>>,
}

impl ConnectionSet {
    fn drop_stale(&mut self, now: Instant) {
        self.idle.retain(|it| now < it.idle_since + it.idle_timeout && !it.sender.is_closed());
    }
}

/// Connections by endpoint
#[derive(Default)]
pub struct EndpointConnections {
    sets: RefCell<IndexMap<EndpointKey, ConnectionSet>>,
}

impl EndpointConnections {
    /// Returns an idle connection or opens one
    ///
    /// `id` is that of a client's request. A connection that has carried one with the same id isn't reused: a late second copy of that
    /// one's answer could not be distinguished from the answer to this request.
    ///
    /// An endpoint may already have closed an idle connection. If a send on it then fails, it is
    /// unknown whether the request ran.
    ///
    /// # Errors
    /// `Connect` or `ConnectTimedOut`.
    pub async fn acquire(
        &self,
        endpoint: &ListedEndpoint,
        id: Option<&SmolStr>,
        reuse: ConnectionReuse,
        share: usize,
    ) -> Result<EndpointConnection, ExchangeError> {
        let idle = self.acquire_idle(endpoint, id, reuse);
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(endpoint, None, self.count_open(endpoint, share)).await?,
        };
        id.inspect(|it| connection.record_carried(it));
        Ok(connection)
    }

    /// The same for a connection to another instance, from the own address, by which that one knows this instance
    ///
    /// # Errors
    /// `Connect` or `ConnectTimedOut`.
    pub async fn acquire_from(
        &self,
        own: IpAddr,
        instance: &ListedEndpoint,
        id: Option<&SmolStr>,
        reuse: ConnectionReuse,
        share: usize,
    ) -> Result<EndpointConnection, ExchangeError> {
        let idle = self.acquire_idle(instance, id, reuse);
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(instance, Some(own), self.count_open(instance, share)).await?,
        };
        id.inspect(|it| connection.record_carried(it));
        Ok(connection)
    }

    /// Whether another request to the endpoint stays within this instance's share of connections
    pub fn has_capacity(&self, endpoint: &ListedEndpoint, share: usize) -> bool {
        let sets = self.sets.borrow();
        let set = sets.get(&EndpointKey::from(endpoint));
        set.is_none_or(|it| it.open.get() - it.idle.len() < share)
    }

    fn acquire_idle(
        &self,
        endpoint: &ListedEndpoint,
        id: Option<&SmolStr>,
        reuse: ConnectionReuse,
    ) -> Option<EndpointConnection> {
        if reuse == ConnectionReuse::Never {
            return None;
        }
        let mut sets = self.sets.borrow_mut();
        let set = sets.get_mut(&EndpointKey::from(endpoint))?;
        set.drop_stale(Instant::now());
        // The one used last has the most idle time left.
        let is_usable = |it: &EndpointConnection| {
            it.sender.is_ready()
                && !id.is_some_and(|id| it.carried.contains(id))
                && !(it.has_refused && reuse == ConnectionReuse::Unrefused)
        };
        let index = set.idle.iter().rposition(is_usable)?;
        Some(set.idle.remove(index))
    }

    /// Counts a connection that is about to be opened; closes an idle one if the share is used up
    fn count_open(&self, endpoint: &ListedEndpoint, share: usize) -> OpenGuard {
        let mut sets = self.sets.borrow_mut();
        let set = sets.entry(EndpointKey::from(endpoint)).or_default();
        set.drop_stale(Instant::now());
        if set.open.get() >= share && !set.idle.is_empty() {
            set.idle.remove(0);
        }
        OpenGuard::new(set.open.clone())
    }

    /// Keeps a connection for reuse after a complete answer; `idle_timeout` is the endpoint's own
    pub fn release(&self, mut connection: EndpointConnection, idle_timeout: Option<Duration>) {
        connection.is_reused = true;
        connection.idle_since = Instant::now();
        connection.idle_timeout =
            idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.saturating_sub(IDLE_MARGIN));
        // The sum of a time and what an endpoint states may be out of range.
        connection.idle_timeout = connection.idle_timeout.min(MAX_IDLE_TIMEOUT);
        let mut sets = self.sets.borrow_mut();
        let set = sets.entry(connection.key.clone()).or_default();
        if set.idle.len() < MAX_IDLE_CONNECTIONS {
            set.idle.push(connection);
        }
    }

    /// Closes idle connections that have timed out
    pub fn expire(&self, now: Instant) {
        let mut sets = self.sets.borrow_mut();
        sets.values_mut().for_each(|it| it.drop_stale(now));
        sets.retain(|_, it| it.open.get() > 0);
    }
}

async fn open_socket(address: SocketAddr, own: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let Some(own) = own else { return TcpStream::connect(address).await };
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own, 0))?;
    socket.connect(address).await
}

async fn connect(
    endpoint: &ListedEndpoint,
    own: Option<IpAddr>,
    open: OpenGuard,
) -> Result<EndpointConnection, ExchangeError> {
    let socket = timeout(CONNECT_TIMEOUT, open_socket(endpoint.address, own))
        .await
        .map_err(|_| ExchangeError::ConnectTimedOut)?
        .map_err(ExchangeError::Connect)?;
    socket.set_nodelay(true).map_err(ExchangeError::Connect)?;
    let socket = MeteredSocket::new(socket, FramingLimits::ANSWERS);
    let meter = socket.meter();
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|_| ExchangeError::Unsent)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection_ended error={error}");
        }
    });
    Ok(EndpointConnection {
        key: EndpointKey::from(endpoint),
        _open: open,
        sender,
        task: task.abort_handle(),
        meter,
        idle_since: Instant::now(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        is_reused: false,
        has_refused: false,
        carried: Vec::new(),
    })
}
