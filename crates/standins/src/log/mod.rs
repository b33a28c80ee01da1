//! Stand-in of the append-only log.
//!
//! The records are kept in memory. `client` returns a `LogClient` that accesses this
//! memory directly, for tests with paused time; `serve` opens the HTTP interface.
//! Retention and the rate limit use tokio's clock.

mod http;
mod store;

use crate::server::{ANY_PORT, StandinServer};
use catalogue::id::{Offset, StreamName};
use platform::log::{LogBatch, LogClient, LogError, LogRecord, ReadRange};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::LogStore;
use tokio::sync::watch;
use tokio::time::Instant;

/// Settings of the log
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Rate limit of appends per second, over all streams
    pub appends_per_s: f64,
    /// Retention of records, in milliseconds
    pub retention_ms: u64,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { appends_per_s: 400.0, retention_ms: 24 * 3_600 * 1_000 }
    }
}

/// Whether an answer is lost before or after the call takes effect
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswer {
    /// The call has no effect
    BeforeEffect,
    /// The call has taken effect
    AfterEffect,
}

/// Faults of the log
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// All calls fail without effect
    pub down: bool,
    /// Time before a call takes effect
    pub delay: Duration,
    /// Time between the effect of an append and its answer
    pub answer_delay: Duration,
    /// When answers are lost, and for how many of the next appends
    pub lost_answers: Option<(LostAnswer, u32)>,
}

/// Append-only log
#[derive(Clone)]
pub struct LogStandin {
    shared: Arc<LogShared>,
}

struct LogShared {
    store: Mutex<LogStore>,
    faults: Mutex<LogFaults>,
    changes: watch::Sender<u64>,
}

impl LogStandin {
    /// Creates an empty log
    pub fn new(settings: LogSettings) -> LogStandin {
        let (changes, _) = watch::channel(0);
        let store = Mutex::new(LogStore::new(settings, Instant::now()));
        let faults = Mutex::new(LogFaults::default());
        LogStandin { shared: Arc::new(LogShared { store, faults, changes }) }
    }

    /// Client that accesses the same memory without a socket
    pub fn client(&self) -> LogClient {
        let appender = self.clone();
        let reader = self.clone();
        LogClient::new(
            Arc::new(move |stream, data| {
                let log = appender.clone();
                Box::pin(async move { log.append(stream, data).await })
            }),
            Arc::new(move |stream, range| {
                let log = reader.clone();
                Box::pin(async move { log.read(stream, range).await })
            }),
        )
    }

    /// Opens the HTTP interface, which is closed when the returned server is dropped
    ///
    /// # Errors
    /// Any error of listening.
    pub fn serve(&self) -> io::Result<StandinServer> {
        self.serve_at(ANY_PORT)
    }

    /// Opens the HTTP interface at a given address
    ///
    /// # Errors
    /// Any error of listening.
    pub fn serve_at(&self, address: SocketAddr) -> io::Result<StandinServer> {
        http::serve(self.clone(), address)
    }

    /// Faults in force
    pub fn faults(&self) -> LogFaults {
        *self.lock_faults()
    }

    /// Changes the faults
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.lock_faults());
        self.shared.changes.send_modify(|it| *it += 1);
    }

    /// Starts or ends an outage
    pub fn set_down(&self, down: bool) {
        self.set_faults(|it| it.down = down);
    }

    /// Loses the answers to the next `count` appends
    pub fn lose_answers(&self, when: LostAnswer, count: u32) {
        self.set_faults(|it| it.lost_answers = Some((when, count)));
    }

    /// Sets the retention
    pub fn set_retention(&self, retention: Duration) {
        self.lock_store().set_retention(retention);
    }

    /// Number of appends that have taken effect since the start
    pub fn append_count(&self) -> u64 {
        self.lock_store().append_count()
    }

    /// Names of all streams that have been appended to
    pub fn streams(&self) -> Vec<StreamName> {
        self.lock_store().streams()
    }

    /// Retained records of a stream, regardless of the faults in force
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.lock_store().batch(stream, 0, u32::MAX, Instant::now()).records
    }

    /// Appends one record
    ///
    /// # Errors
    /// `LogError::Unavailable`, `RateLimited` or `Unanswered`, depending on the rate limit and
    /// the faults in force.
    pub async fn append(&self, stream: StreamName, data: String) -> Result<Offset, LogError> {
        self.begin_call().await?;
        let lost = self.take_lost_answer();
        if lost == Some(LostAnswer::BeforeEffect) {
            return Err(LogError::Unanswered);
        }
        let offset = self.lock_store().append(stream, data, Instant::now())?;
        self.shared.changes.send_modify(|it| *it += 1);
        let delay = self.faults().answer_delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if lost.is_some() { Err(LogError::Unanswered) } else { Ok(offset) }
    }

    /// Reads records, waiting up to `range.wait` for the first one
    ///
    /// # Errors
    /// `LogError::Unavailable`.
    pub async fn read(&self, stream: StreamName, range: ReadRange) -> Result<LogBatch, LogError> {
        self.begin_call().await?;
        let until = Instant::now() + range.wait;
        let mut changes = self.shared.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if self.faults().down {
                return Err(LogError::Unavailable);
            }
            let now = Instant::now();
            let batch = self.lock_store().batch(&stream, range.from, range.max, now);
            if !batch.records.is_empty() || now >= until {
                return Ok(batch);
            }
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }

    async fn begin_call(&self) -> Result<(), LogError> {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.faults().down { Err(LogError::Unavailable) } else { Ok(()) }
    }

    fn take_lost_answer(&self) -> Option<LostAnswer> {
        let mut faults = self.lock_faults();
        let (when, left) = faults.lost_answers?;
        faults.lost_answers = (left > 1).then_some((when, left - 1));
        (left > 0).then_some(when)
    }

    fn lock_store(&self) -> MutexGuard<'_, LogStore> {
        self.shared.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_faults(&self) -> MutexGuard<'_, LogFaults> {
        self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
