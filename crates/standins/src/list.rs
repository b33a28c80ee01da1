//! Stand-in of the platform's list of instances, whose changes become visible after a lag.

use crate::reply::{self, CutConnection, Reply};
use crate::server::{ANY_PORT, StandinServer};
use catalogue::{InstanceState, ListedInstance};
use hyper::StatusCode;
use platform::instances::InstanceList;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// List of instances
#[derive(Clone)]
pub struct ListStandin {
    state: Arc<Mutex<ListState>>,
    server: Arc<StandinServer>,
}

struct ListState {
    // Ordered by the time at which each version becomes visible.
    versions: VecDeque<(Instant, InstanceList)>,
    lag: Duration,
    down: bool,
}

impl ListStandin {
    /// Starts a list whose changes become visible after `lag`
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start(instances: Vec<ListedInstance>, lag: Duration) -> io::Result<ListStandin> {
        ListStandin::start_at(ANY_PORT, instances, lag)
    }

    /// Starts the list at a given address
    ///
    /// # Errors
    /// Any error of listening.
    pub fn start_at(
        address: SocketAddr,
        instances: Vec<ListedInstance>,
        lag: Duration,
    ) -> io::Result<ListStandin> {
        let first = InstanceList { version: 1, instances };
        let versions = VecDeque::from([(Instant::now(), first)]);
        let state = Arc::new(Mutex::new(ListState { versions, lag, down: false }));
        let shared = Arc::clone(&state);
        let server = StandinServer::http_at(
            address,
            Arc::new(move |_| {
                let answer = answer(&shared);
                Box::pin(async move { answer })
            }),
        )?;
        Ok(ListStandin { state, server: Arc::new(server) })
    }

    /// Address of the HTTP server
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// HTTP server, for faults of its connections
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Adds an instance or replaces the one with the same id
    pub fn put(&self, instance: ListedInstance) {
        self.change(|list| {
            list.retain(|it| it.id != instance.id);
            list.push(instance);
        });
    }

    /// Removes an instance
    pub fn remove(&self, id: &str) {
        self.change(|list| list.retain(|it| it.id != id));
    }

    /// Sets the state of an instance
    pub fn set_state(&self, id: &str, state: InstanceState) {
        self.change(|list| {
            list.iter_mut().filter(|it| it.id == id).for_each(|it| it.state = state);
        });
    }

    /// Sets the lag of later changes
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Starts or ends an outage
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// List that readers currently receive
    pub fn visible(&self) -> InstanceList {
        visible(&mut self.lock())
    }

    fn change(&self, action: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut state = self.lock();
        let visible_at = Instant::now() + state.lag;
        let Some((_, newest)) = state.versions.back() else {
            return;
        };
        let mut list = newest.clone();
        list.version += 1;
        action(&mut list.instances);
        state.versions.push_back((visible_at, list));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn visible(state: &mut ListState) -> InstanceList {
    let now = Instant::now();
    while state.versions.get(1).is_some_and(|(visible_at, _)| *visible_at <= now) {
        state.versions.pop_front();
    }
    state.versions.front().map(|(_, list)| list.clone()).unwrap_or_default()
}

fn answer(state: &Mutex<ListState>) -> Result<Reply, CutConnection> {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if state.down {
        return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(reply::json(StatusCode::OK, &visible(&mut state)))
}
