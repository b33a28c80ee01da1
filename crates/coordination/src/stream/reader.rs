//! Reads records from the log, or from peers while the log is unreachable.

use crate::shared::{RelayError, SharedLog};
use catalogue::id::{Offset, StreamName};
use futures_util::future::{self, Either};
use platform::log::{LogBatch, LogError, LogRecord, ReadRange};
use std::pin::pin;
use std::time::Duration;

/// Number of records in one read, by how long earlier reads took
///
/// The time of a call is fixed, but the transfer of its records depends on their size and on the link.
/// Fewer records are requested after a read without an answer, so that the same read isn't repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BatchLimit(u32);

impl BatchLimit {
    const MIN_RECORDS: u32 = 16;
    const MAX_RECORDS: u32 = 4_096;

    /// Limit of the first read
    pub(super) fn new() -> BatchLimit {
        BatchLimit(BatchLimit::MAX_RECORDS)
    }

    /// Lowers the limit after a read without an answer
    pub(super) fn record_unanswered(&mut self) {
        self.0 = (self.0 / 4).max(BatchLimit::MIN_RECORDS);
    }

    /// Raises the limit after a batch
    pub(super) fn record_batch(&mut self) {
        self.0 = (self.0 * 2).min(BatchLimit::MAX_RECORDS);
    }
}

/// How long the log's answer is awaited after a peer has answered.
const LOG_GRACE: Duration = Duration::from_millis(250);

/// Result of a read
#[derive(Debug)]
pub(super) enum ReadAnswer {
    /// Records from the log
    Batch(LogBatch),
    /// Records from a peer that has contact with the log
    Relayed(Vec<LogRecord>),
    /// Neither the log nor a peer answered
    Failed(LogError),
}

/// Reads from an offset on; asks peers at the same time if `should_ask_peers`.
pub(super) async fn read(
    shared: SharedLog,
    stream: StreamName,
    from: Offset,
    limit: BatchLimit,
    should_ask_peers: bool,
) -> ReadAnswer {
    if should_ask_peers {
        return read_either(&shared, &stream, from, limit).await;
    }
    match read_log(&shared, &stream, from, limit, shared.timing.long_poll).await {
        Ok(batch) => ReadAnswer::Batch(batch),
        Err(error) => ReadAnswer::Failed(error),
    }
}

async fn read_either(
    shared: &SharedLog,
    stream: &StreamName,
    from: Offset,
    limit: BatchLimit,
) -> ReadAnswer {
    let log = pin!(read_log(shared, stream, from, limit, Duration::ZERO));
    let relay = pin!(read_relay(shared, stream, from, limit));
    match future::select(log, relay).await {
        Either::Left((Ok(batch), _)) => ReadAnswer::Batch(batch),
        Either::Left((Err(error), relay)) => match relay.await {
            Ok(records) => ReadAnswer::Relayed(records),
            Err(_) => ReadAnswer::Failed(error),
        },
        Either::Right((Ok(records), log)) => match tokio::time::timeout(LOG_GRACE, log).await {
            Ok(Ok(batch)) => ReadAnswer::Batch(batch),
            _ => ReadAnswer::Relayed(records),
        },
        Either::Right((Err(_), log)) => match log.await {
            Ok(batch) => ReadAnswer::Batch(batch),
            Err(error) => ReadAnswer::Failed(error),
        },
    }
}

async fn read_log(
    shared: &SharedLog,
    stream: &StreamName,
    from: Offset,
    limit: BatchLimit,
    wait: Duration,
) -> Result<LogBatch, LogError> {
    let range = ReadRange { from, max: limit.0, wait };
    let time = wait + shared.timing.call_timeout;
    let read = tokio::time::timeout(time, shared.client.read(stream, range)).await;
    read.unwrap_or(Err(LogError::Unanswered))
}

async fn read_relay(
    shared: &SharedLog,
    stream: &StreamName,
    from: Offset,
    limit: BatchLimit,
) -> Result<Vec<LogRecord>, RelayError> {
    let Some(relay) = &shared.relay else {
        return Err(RelayError::Unreachable);
    };
    let relayed = relay(stream.clone(), from, limit.0);
    let answer = tokio::time::timeout(shared.timing.call_timeout, relayed).await;
    answer.unwrap_or(Err(RelayError::Unreachable))
}
