//! Stand-in of a plain service that records every execution.
//!
//! Every method and path is executed. The answer is a function of the request
//! (`answer::service_text`); `GET /health` is answered without being recorded.

use crate::answer::service_text;
use crate::reply::{self, CutConnection, Reply};
use crate::server::StandinServer;
use bytes::Bytes;
use catalogue::id::EndpointId;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use smol_str::SmolStr;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
const HEALTH_PATH: &str = "/health";

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ServiceExecution {
    /// Service that executed the request
    pub service: EndpointId,
    /// Caller's idempotency key, if it sent one
    pub key: Option<SmolStr>,
    pub method: SmolStr,
    /// Path with its query string
    pub path: SmolStr,
    #[serde(skip)]
    pub body: Bytes,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Time before an execution
    pub delay: Duration,
    /// Time between the execution and the answer
    pub answer_delay: Duration,
    /// Number of next requests whose connection is closed before they run
    pub cut_before: u32,
    /// Number of next requests whose connection is closed after they ran
    pub cut_after: u32,
    /// Number of next requests that are answered with status 500 without running
    pub errors: u32,
    /// Text in a body that crashes the service; the connection is closed before the run
    pub crash_text: Option<SmolStr>,
}

/// Plain service
#[derive(Clone)]
pub struct ServiceStandin {
    shared: Arc<ServiceShared>,
    server: Arc<StandinServer>,
}

struct ServiceShared {
    id: EndpointId,
    faults: Mutex<ServiceFaults>,
    executions: Mutex<Vec<ServiceExecution>>,
}

impl ServiceStandin {
    /// Starts a service
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start(id: EndpointId) -> io::Result<ServiceStandin> {
        let shared = Arc::new(ServiceShared {
            id,
            faults: Mutex::new(ServiceFaults::default()),
            executions: Mutex::new(Vec::new()),
        });
        let state = Arc::clone(&shared);
        let server = StandinServer::http(Arc::new(move |request| {
            Box::pin(answer(Arc::clone(&state), request))
        }))?;
        Ok(ServiceStandin { shared, server: Arc::new(server) })
    }

    pub fn id(&self) -> &EndpointId {
        &self.shared.id
    }

    /// Serving address
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// HTTP server, for faults of its connections
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Changes the faults
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.shared.lock_faults());
    }

    /// All executions so far
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.shared.lock_executions().clone()
    }

    /// Number of executions under the key
    pub fn execution_count(&self, key: &str) -> usize {
        let executions = self.shared.lock_executions();
        executions.iter().filter(|it| it.key.as_deref() == Some(key)).count()
    }

    /// Crashes and restarts after `down`
    pub fn crash(&self, down: Duration) {
        self.server.stop();
        let server = Arc::clone(&self.server);
        tokio::spawn(async move {
            tokio::time::sleep(down).await;
            let _ = server.restart().await;
        });
    }
}

impl ServiceShared {
    fn lock_faults(&self) -> MutexGuard<'_, ServiceFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_executions(&self) -> MutexGuard<'_, Vec<ServiceExecution>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn answer(
    shared: Arc<ServiceShared>,
    request: Request<Incoming>,
) -> Result<Reply, CutConnection> {
    if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
        return Ok(reply::json_bytes(StatusCode::OK, "{}"));
    }
    let Ok(execution) = read_execution(&shared.id, request).await else {
        return Err(CutConnection::Now);
    };
    apply_delay(|it| it.delay, &shared).await;
    if let Some(refusal) = injected_failure(&shared, &execution) {
        return refusal;
    }
    let text = service_text(&execution.method, &execution.path, &execution.body);
    shared.lock_executions().push(execution);
    apply_delay(|it| it.answer_delay, &shared).await;
    if take_one(&mut shared.lock_faults().cut_after) {
        return Err(CutConnection::Now);
    }
    Ok(reply::json_bytes(StatusCode::OK, text))
}

async fn read_execution(
    id: &EndpointId,
    request: Request<Incoming>,
) -> Result<ServiceExecution, reply::ReadError> {
    let key = request.headers().get(KEY_HEADER).and_then(|it| it.to_str().ok()).map(SmolStr::new);
    let method = SmolStr::new(request.method().as_str());
    let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
    let path = SmolStr::new(path);
    let body = reply::read_bytes(request).await?;
    Ok(ServiceExecution { service: id.clone(), key, method, path, body })
}

async fn apply_delay(delay: impl Fn(&ServiceFaults) -> Duration, shared: &ServiceShared) {
    let delay = delay(&shared.lock_faults());
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn injected_failure(
    shared: &ServiceShared,
    execution: &ServiceExecution,
) -> Option<Result<Reply, CutConnection>> {
    let mut faults = shared.lock_faults();
    let crash_text = faults.crash_text.as_deref().unwrap_or("");
    let is_crashing = !crash_text.is_empty()
        && execution.body.windows(crash_text.len()).any(|it| it == crash_text.as_bytes());
    if is_crashing || take_one(&mut faults.cut_before) {
        return Some(Err(CutConnection::Now));
    }
    if take_one(&mut faults.errors) {
        return Some(Ok(reply::empty(StatusCode::INTERNAL_SERVER_ERROR)));
    }
    None
}

fn take_one(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}
