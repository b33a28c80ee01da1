//! What all streams of an instance have in common.

use catalogue::id::{InstanceId, Offset, StreamName};
use futures_util::future::BoxFuture;
use platform::log::{LogClient, LogRecord};
use state::record::WriterId;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Failure to get records from a peer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum RelayError {
    /// no peer answers
    Unreached,
    /// peer is out of touch with the log itself
    OutOfTouch,
}

impl std::error::Error for RelayError {}

/// Function that reads records of a stream, from an offset on, from a peer
pub type RelayFn = dyn Fn(StreamName, Offset, u32) -> BoxFuture<'static, Result<Vec<LogRecord>, RelayError>>
    + Send
    + Sync;

/// Times that the streams go by
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogTiming {
    /// Time for which the platform keeps records
    pub retention: Duration,
    /// Time that a read waits for a first record
    pub long_poll: Duration,
    /// Time for an append, or for a read beyond its wait
    pub call_timeout: Duration,
    /// First delay before a call is repeated; doubles up to `max_retry_delay`
    pub retry_delay: Duration,
    /// Longest delay before a call is repeated
    pub max_retry_delay: Duration,
    /// Least time between two appends of claims to one stream
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

/// This instance's way to the log
#[derive(Clone)]
pub struct SharedLog {
    /// Client of the platform's log
    pub client: LogClient,
    /// This instance
    pub instance: InstanceId,
    /// This run of this instance
    pub writer: WriterId,
    /// Way to records when the log is out of reach
    pub relay: Option<Arc<RelayFn>>,
    /// Times to go by
    pub timing: LogTiming,
    /// Seed of the variation of delays
    pub seed: u64,
}

impl fmt::Debug for SharedLog {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SharedLog").field("writer", &self.writer).finish_non_exhaustive()
    }
}

impl SharedLog {
    /// Way to the log for a new run of an instance
    pub fn new(client: LogClient, instance: InstanceId, timing: LogTiming) -> SharedLog {
        let run = uuid::Uuid::now_v7().simple();
        let writer = smol_str::format_smolstr!("{instance}/{run}");
        SharedLog { client, instance, writer, relay: None, timing, seed: rand::random() }
    }

    /// The same with a way to records through peers
    pub fn with_relay(self, relay: Arc<RelayFn>) -> SharedLog {
        SharedLog { relay: Some(relay), ..self }
    }
}
