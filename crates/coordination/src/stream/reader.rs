//! Reads records from the log, or from peers while the log is unreachable.

use crate::shared::{RelayError, SharedLog};
use catalogue::id::{Offset, StreamName};
use futures_util::future::{self, Either};
use platform::log::{LogBatch, LogError, LogRecord, ReadRange};
use std::pin::pin;
use std::time::Duration;

const MAX_BATCH_RECORDS: u32 = 4_096;
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
    should_ask_peers: bool,
) -> ReadAnswer {
    if should_ask_peers {
        return read_either(&shared, &stream, from).await;
    }
    match read_log(&shared, &stream, from, shared.timing.long_poll).await {
        Ok(batch) => ReadAnswer::Batch(batch),
        Err(error) => ReadAnswer::Failed(error),
    }
}

async fn read_either(shared: &SharedLog, stream: &StreamName, from: Offset) -> ReadAnswer {
    let log = pin!(read_log(shared, stream, from, Duration::ZERO));
    let relay = pin!(read_relay(shared, stream, from));
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
    wait: Duration,
) -> Result<LogBatch, LogError> {
    let range = ReadRange { from, max: MAX_BATCH_RECORDS, wait };
    let time = wait + shared.timing.call_timeout;
    let read = tokio::time::timeout(time, shared.client.read(stream, range)).await;
    read.unwrap_or(Err(LogError::Unanswered))
}

async fn read_relay(
    shared: &SharedLog,
    stream: &StreamName,
    from: Offset,
) -> Result<Vec<LogRecord>, RelayError> {
    let Some(relay) = &shared.relay else {
        return Err(RelayError::Unreachable);
    };
    let relayed = relay(stream.clone(), from, MAX_BATCH_RECORDS);
    let answer = tokio::time::timeout(shared.timing.call_timeout, relayed).await;
    answer.unwrap_or(Err(RelayError::Unreachable))
}
