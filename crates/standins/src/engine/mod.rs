//! Stand-in of a language-model engine.
//!
//! Each engine has one task that runs the steps of its batch; a request needs no
//! timer of its own. `core` holds the state and takes the time as an argument,
//! `batch` plans the steps and `http` is the interface. The handle in this module
//! switches the faults.

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

/// Handle of a running engine
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

    pub fn id(&self) -> &EndpointId {
        &self.shared.id
    }

    /// Serving address
    pub fn address(&self) -> SocketAddr {
        self.shared.address()
    }

    pub fn state(&self) -> EngineState {
        self.shared.lock().state(Instant::now())
    }

    /// All orders that it received, in order of arrival
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.lock().orders.clone()
    }

    /// All requests that it accepted
    pub fn executions(&self) -> Vec<EngineExecution> {
        self.shared.lock().executions.clone()
    }

    pub fn crashes(&self) -> u32 {
        self.shared.lock().crashes
    }

    /// Crashes and restarts after the restart time of its settings
    pub fn crash(&self) {
        let down = self.shared.lock().settings.restart_time();
        self.crash_for(down);
    }

    /// Crashes and restarts after `down`
    pub fn crash_for(&self, down: Duration) {
        crash(&self.shared, down);
    }

    /// Makes its open connections unresponsive permanently; new ones work
    pub fn make_unresponsive(&self) {
        self.shared.with_server(StandinServer::make_unresponsive);
    }

    /// Closes its open connections
    pub fn cut(&self) {
        self.shared.with_server(StandinServer::cut);
    }

    /// Pauses or resumes the engine with all its connections
    pub fn pause(&self, paused: bool) {
        let mut core = self.shared.lock();
        core.paused = paused;
        core.batch.resume(Instant::now());
        drop(core);
        self.shared.with_server(|it| it.pause(paused));
        self.shared.wake.notify_one();
    }

    /// Sets whether it refuses new work because it is leaving
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Sets the multiple of its normal speed; below 1 it is slower
    pub fn set_speed(&self, factor: f64) {
        self.shared.lock().settings.speed.factor = factor;
    }

    /// Sets the text in a prompt that crashes the engine; empty for none
    pub fn set_crash_text(&self, text: &str) {
        self.shared.lock().settings.poison = text.into();
    }

    /// Sets the age of its load reports
    pub fn set_report_lag(&self, lag: Duration) {
        self.shared.lock().settings.report_lag_ms = lag.as_millis() as u64;
    }

    /// Sets whether it refuses orders with an outdated fencing number
    pub fn set_checks_fence(&self, checks: bool) {
        self.shared.lock().settings.checks_fence = checks;
    }

    /// Sets its target without an order and without a change time, as at the start
    pub fn set_target(&self, target: ModelTarget) {
        self.shared.lock().target = target;
    }
}

impl EngineShared {
    fn lock(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn address(&self) -> SocketAddr {
        // `start` sets the server before it returns the handle.
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
    if core.is_down {
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
            shared.lock().is_down = false;
            let _ = server.restart().await;
        }
        shared.wake.notify_one();
    });
}
