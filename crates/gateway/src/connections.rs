//! Connections to endpoints.
//!
//! A connection carries one request at a time. It goes back to the pool only after a
//! whole answer that belonged to its request; dropped before, it is closed at once,
//! which also tells the endpoint to stop.

use bytes::Bytes;
use decide::serving::roster::ListedEndpoint;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Longest time for a connection; endpoints are within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a connection may be idle if the endpoint doesn't state its own bound.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Time before an endpoint's own bound at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for an endpoint; engines accept 100 and more from all callers.
const MAX_IDLE: usize = 8;

/// Why a request got no answer
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum ExchangeError {
    /// no connection: {0}
    Connect(std::io::Error),
    /// no connection in time
    ConnectTimedOut,
    /// connection closed before the request was written
    Unsent,
    /// connection failed after the request was written: {0}
    Broken(hyper::Error),
}

impl std::error::Error for ExchangeError {}

/// Incarnation of an endpoint at an address
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

/// Connection that is in use; dropping it closes it
pub struct EndpointConnection {
    key: EndpointKey,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    idle_bound: Duration,
    /// Whether it carried a request before
    pub is_reused: bool,
}

impl EndpointConnection {
    /// Sends a request and waits for the head of the answer
    ///
    /// # Errors
    /// `Unsent` if not a byte was written, else `Broken`.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            if error.take_message().is_some() {
                ExchangeError::Unsent
            } else {
                ExchangeError::Broken(error.into_error())
            }
        })
    }
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by endpoint
#[derive(Default)]
pub struct EndpointConnections {
    idle: RefCell<IndexMap<EndpointKey, Vec<EndpointConnection>>>,
}

impl EndpointConnections {
    /// Connection to an endpoint: a kept one, but a new one for a request that may run once only
    ///
    /// An endpoint may have dropped a kept connection without notice; whether it ran what is
    /// sent there can't be known.
    ///
    /// # Errors
    /// `Connect` or `ConnectTimedOut`.
    pub async fn take(
        &self,
        endpoint: &ListedEndpoint,
        once: bool,
    ) -> Result<EndpointConnection, ExchangeError> {
        let kept = if once { None } else { self.take_idle(endpoint) };
        match kept {
            Some(connection) => Ok(connection),
            None => connect(endpoint).await,
        }
    }

    fn take_idle(&self, endpoint: &ListedEndpoint) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&EndpointKey::from(endpoint))?;
        let now = Instant::now();
        kept.retain(|it| now < it.idle_since + it.idle_bound && !it.sender.is_closed());
        // The latest is the freshest.
        let place = kept.iter().rposition(|it| it.sender.is_ready())?;
        Some(kept.remove(place))
    }

    /// Keeps a connection whose answer was whole; `keeps_for` is the endpoint's bound on idle time
    pub fn give_back(&self, mut connection: EndpointConnection, keeps_for: Option<Duration>) {
        connection.is_reused = true;
        connection.idle_since = Instant::now();
        connection.idle_bound = keeps_for.map_or(DEFAULT_IDLE, |it| it.saturating_sub(IDLE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.key.clone()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(connection);
        }
    }

    /// Closes connections that have been idle for too long
    pub fn expire(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|it| now < it.idle_since + it.idle_bound && !it.sender.is_closed());
        }
        idle.retain(|_, it| !it.is_empty());
    }
}

async fn connect(endpoint: &ListedEndpoint) -> Result<EndpointConnection, ExchangeError> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address))
        .await
        .map_err(|_| ExchangeError::ConnectTimedOut)?
        .map_err(ExchangeError::Connect)?;
    socket.set_nodelay(true).map_err(ExchangeError::Connect)?;
    let (sender, connection) =
        handshake(TokioIo::new(socket)).await.map_err(ExchangeError::Broken)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection_ended error={error}");
        }
    });
    Ok(EndpointConnection {
        key: EndpointKey::from(endpoint),
        sender,
        task: task.abort_handle(),
        idle_since: Instant::now(),
        idle_bound: DEFAULT_IDLE,
        is_reused: false,
    })
}
