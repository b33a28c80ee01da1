//! Stand-in of the weight store, whose bandwidth is shared by all loads.

use crate::reply;
use crate::server::{ANY_PORT, StandinServer};
use catalogue::ModelTarget;
use hyper::StatusCode;
use platform::weights::{StoredModel, WeightReport};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Clone)]
pub struct WeightStandin {
    state: Arc<Mutex<StoreState>>,
    server: Arc<StandinServer>,
}

struct StoreState {
    bytes_per_s: u64,
    models: Vec<StoredModel>,
    busy_until: Instant,
}

impl WeightStandin {
    /// Starts a store that serves all loads together with `bytes_per_s`
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start(bytes_per_s: u64, models: Vec<StoredModel>) -> io::Result<WeightStandin> {
        WeightStandin::start_at(ANY_PORT, bytes_per_s, models)
    }

    /// Starts the store at a given address
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start_at(
        address: SocketAddr,
        bytes_per_s: u64,
        models: Vec<StoredModel>,
    ) -> io::Result<WeightStandin> {
        let busy_until = Instant::now();
        let state = Arc::new(Mutex::new(StoreState { bytes_per_s, models, busy_until }));
        let shared = Arc::clone(&state);
        let server = StandinServer::http_at(
            address,
            Arc::new(move |_| {
                let report = report(&shared);
                Box::pin(async move { Ok(reply::json(StatusCode::OK, &report)) })
            }),
        )?;
        Ok(WeightStandin { state, server: Arc::new(server) })
    }

    /// Address of the HTTP server
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// HTTP server, for faults of its connections
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Schedules a load after the pending ones and returns the time until it ends;
    /// `None` if the store lacks the model
    pub fn schedule_load(&self, target: &ModelTarget) -> Option<Duration> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let stored = state
            .models
            .iter()
            .find(|it| it.model == target.model && it.version == target.version)?;
        let time = Duration::from_secs_f64(stored.bytes as f64 / state.bytes_per_s.max(1) as f64);
        let now = Instant::now();
        state.busy_until = state.busy_until.max(now) + time;
        Some(state.busy_until - now)
    }
}

fn report(state: &Mutex<StoreState>) -> WeightReport {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let left = state.busy_until.saturating_duration_since(Instant::now());
    WeightReport {
        bytes_per_s: state.bytes_per_s,
        pending_bytes: (left.as_secs_f64() * state.bytes_per_s as f64) as u64,
        models: state.models.clone(),
    }
}
