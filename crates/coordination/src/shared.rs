//! Log access and timing shared by all streams of an instance.

use catalogue::id::{InstanceId, Offset, StreamName};
use futures_util::future::BoxFuture;
use platform::log::{LogClient, LogRecord};
use state::record::WriterId;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Failure to read records from a peer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum RelayError {
    /// no peer responded
    Unreachable,
    /// peer has no contact with the log either
    Disconnected,
}

impl std::error::Error for RelayError {}

/// Function that reads up to a number of records of a stream, from an offset on, from a peer
pub type RelayFn = dyn Fn(StreamName, Offset, u32) -> BoxFuture<'static, Result<Vec<LogRecord>, RelayError>>
    + Send
    + Sync;

/// Timing of log streams
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogTiming {
    /// Time for which the platform keeps records
    pub retention: Duration,
    /// Time that a read waits for a first record
    pub long_poll: Duration,
    /// Timeout of an append, and of a read beyond its long-poll wait
    pub call_timeout: Duration,
    /// Initial backoff before a call is retried; doubles up to `max_retry_delay`
    pub retry_delay: Duration,
    /// Maximum backoff
    pub max_retry_delay: Duration,
    /// Minimum interval between two appends to one claims stream
    pub claim_pacing: Duration,
}

impl Default for LogTiming {
    fn default() -> LogTiming {
        LogTiming {
            retention: Duration::from_secs(3_600),
            long_poll: Duration::from_secs(2),
            call_timeout: Duration::from_millis(1_500),
            retry_delay: Duration::from_millis(50),
            max_retry_delay: Duration::from_secs(1),
            claim_pacing: Duration::from_millis(15),
        }
    }
}

/// This instance's access to the log
#[derive(Clone)]
pub struct SharedLog {
    /// Client of the platform's log
    pub client: LogClient,
    /// Id of this instance
    pub instance: InstanceId,
    /// Writer id of this run of the instance
    pub writer: WriterId,
    /// Reads records from peers when the log is unreachable
    pub relay: Option<Arc<RelayFn>>,
    pub timing: LogTiming,
    /// Seed of the jitter of delays
    pub seed: u64,
}

impl fmt::Debug for SharedLog {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SharedLog").field("writer", &self.writer).finish_non_exhaustive()
    }
}

impl SharedLog {
    /// Access to the log for a new run of an instance
    pub fn new(client: LogClient, instance: InstanceId, timing: LogTiming) -> SharedLog {
        let run = uuid::Uuid::now_v7().simple();
        let writer = smol_str::format_smolstr!("{instance}/{run}");
        SharedLog { client, instance, writer, relay: None, timing, seed: rand::random() }
    }

    /// Adds a function that reads records from peers
    pub fn with_relay(self, relay: Arc<RelayFn>) -> SharedLog {
        SharedLog { relay: Some(relay), ..self }
    }
}
