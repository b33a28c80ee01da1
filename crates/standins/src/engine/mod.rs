//! Stand-in of a language-model engine.
//!
//! One task an engine runs the steps of its batch; requests cost no timer of their
//! own. `core` holds the state and takes the time as an argument, `batch` plans the
//! steps, `http` is the interface and the handle here switches the faults.

mod batch;
mod cache;
mod core;
mod http;
mod orders;
mod record;
mod sequence;
mod settings;

pub use record::{EngineExecution, OrderConflict, OrderRecord, conflicts};
pub use settings::{EngineSettings, EngineSpeed};

use self::core::{EngineCore, NextStep};
use crate::server::StandinServer;
use crate::weights::WeightStandin;
use catalogue::ModelTarget;
use catalogue::id::EndpointId;
use platform::engine::EngineState;
use platform::http::HttpClient;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Engine
#[derive(Clone)]
pub struct EngineStandin {
    shared: Arc<EngineShared>,
}

struct EngineShared {
    id: EndpointId,
    core: Mutex<EngineCore>,
    wake: Arc<Notify>,
    server: OnceLock<StandinServer>,
    client: HttpClient,
    weights: Option<WeightStandin>,
}

impl EngineStandin {
    /// Starts an engine that loads weights from `weights`
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start(
        id: EndpointId,
        settings: EngineSettings,
        weights: Option<WeightStandin>,
    ) -> io::Result<EngineStandin> {
        let shared = Arc::new(EngineShared {
            id: id.clone(),
            core: Mutex::new(EngineCore::new(id, settings)),
            wake: Arc::new(Notify::new()),
            server: OnceLock::new(),
            client: HttpClient::new(),
            weights,
        });
        let handler = Arc::downgrade(&shared);
        let server = StandinServer::http(Arc::new(move |request| {
            let engine = handler.upgrade();
            Box::pin(async move {
                match engine {
                    Some(shared) => http::answer(shared, request).await,
                    None => Err(crate::reply::CutConnection::Now),
                }
            })
        }))?;
        let _ = shared.server.set(server);
        tokio::spawn(run(Arc::downgrade(&shared), Arc::clone(&shared.wake)));
        Ok(EngineStandin { shared })
    }

    /// Id
    pub fn id(&self) -> &EndpointId {
        &self.shared.id
    }

    /// Serving address
    pub fn address(&self) -> SocketAddr {
        self.shared.address()
    }

    /// State at this moment
    pub fn state(&self) -> EngineState {
        self.shared.lock().state(Instant::now())
    }

    /// Every order that it was given, in order of arrival
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.lock().orders.clone()
    }

    /// Every request that it took
    pub fn executions(&self) -> Vec<EngineExecution> {
        self.shared.lock().executions.clone()
    }

    /// Times that it died
    pub fn crashes(&self) -> u32 {
        self.shared.lock().crashes
    }

    /// Dies at once and restarts after its restart time
    pub fn crash(&self) {
        let down = self.shared.lock().settings.restart_time();
        self.crash_for(down);
    }

    /// Dies at once and restarts after `down`
    pub fn crash_for(&self, down: Duration) {
        crash(&self.shared, down);
    }

    /// Makes its open connections silent for good; new ones work
    pub fn silence(&self) {
        self.shared.with_server(StandinServer::silence);
    }

    /// Cuts its open connections
    pub fn cut(&self) {
        self.shared.with_server(StandinServer::cut);
    }

    /// Freezes the whole process or lets it go on
    pub fn pause(&self, paused: bool) {
        let mut core = self.shared.lock();
        core.paused = paused;
        core.batch.resume(Instant::now());
        drop(core);
        self.shared.with_server(|it| it.pause(paused));
        self.shared.wake.notify_one();
    }

    /// Takes no new work from now on, or takes it again
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Multiplies its speed; below 1 it is slow
    pub fn set_speed(&self, factor: f64) {
        self.shared.lock().settings.speed.factor = factor;
    }

    /// Sets the text in a prompt that crashes it; empty for none
    pub fn set_poison(&self, poison: &str) {
        self.shared.lock().settings.poison = poison.into();
    }

    /// Sets the age of its load reports
    pub fn set_report_lag(&self, lag: Duration) {
        self.shared.lock().settings.report_lag_ms = lag.as_millis() as u64;
    }

    /// Sets whether it refuses orders with an old fencing number
    pub fn set_checks_fence(&self, checks: bool) {
        self.shared.lock().settings.checks_fence = checks;
    }

    /// Sets what it serves without an order, as at a start
    pub fn set_target(&self, target: ModelTarget) {
        self.shared.lock().target = target;
    }
}

impl EngineShared {
    fn lock(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn address(&self) -> SocketAddr {
        // The server is set before anybody holds the engine.
        self.server.get().map_or_else(|| ([127, 0, 0, 1], 0).into(), StandinServer::address)
    }

    fn with_server(&self, action: impl FnOnce(&StandinServer)) {
        if let Some(server) = self.server.get() {
            action(server);
        }
    }
}

impl Drop for EngineShared {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

async fn run(engine: Weak<EngineShared>, wake: Arc<Notify>) {
    while let Some(shared) = engine.upgrade() {
        let next = shared.lock().advance(Instant::now());
        if next == NextStep::Crash {
            let down = shared.lock().settings.restart_time();
            crash(&shared, down);
            continue;
        }
        drop(shared);
        match next {
            NextStep::At(time) => tokio::time::sleep_until(time).await,
            NextStep::Idle | NextStep::Crash => wake.notified().await,
        }
    }
}

fn crash(shared: &Arc<EngineShared>, down: Duration) {
    shared.with_server(StandinServer::stop);
    let mut core = shared.lock();
    if core.dead {
        return;
    }
    core.reset(Instant::now());
    drop(core);
    let engine = Arc::downgrade(shared);
    tokio::spawn(async move {
        tokio::time::sleep(down).await;
        let Some(shared) = engine.upgrade() else {
            return;
        };
        if let Some(server) = shared.server.get() {
            shared.lock().dead = false;
            let _ = server.restart().await;
        }
        shared.wake.notify_one();
    });
}
