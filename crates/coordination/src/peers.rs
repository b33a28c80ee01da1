//! Calls between peers: forwarding items to homes and relaying records when the log
//! is unreachable.
//!
//! Two functions build the client side's closures, two answer the requests.

use crate::once::{ForwardError, ForwardFn, ForwardedItem, OnceHandle, partition_of_stream};
use crate::shared::{RelayError, RelayFn};
use catalogue::id::{InstanceId, Offset};
use peer::message::{RelayRequest, RelayedBatch, RelayedRecord, SubmitReply, SubmitRequest};
use peer::{PeerClient, PeerRefusal, PeerReply, PeerRequest};
use platform::log::LogRecord;
use rand::seq::SliceRandom;
use state::claims::{ClaimOutcome, stream_name};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const RELAY_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of peers asked for records, one after the other.
const RELAY_TRIES: usize = 2;
/// Maximum size of the records in one reply, in bytes.
const MAX_RELAY_BYTES: usize = 512 * 1024;

/// Function that forwards items to homes; `address_of` returns an instance's peer address.
pub fn forward_fn(
    client: PeerClient,
    address_of: impl Fn(&InstanceId) -> Option<SocketAddr> + Send + Sync + 'static,
) -> Arc<ForwardFn> {
    Arc::new(move |instance, forwarded| {
        let address = address_of(&instance);
        let client = client.clone();
        Box::pin(async move {
            let address = address.ok_or(ForwardError::NoEffect)?;
            forward(client, address, forwarded).await
        })
    })
}

async fn forward(
    client: PeerClient,
    address: SocketAddr,
    forwarded: ForwardedItem,
) -> Result<ClaimOutcome, ForwardError> {
    let item = serde_json::to_string(&forwarded.item).map_err(|_| ForwardError::NoEffect)?;
    let request = PeerRequest::Submit(SubmitRequest {
        stream: stream_name(forwarded.partition),
        item,
        timeout_ms: forwarded.timeout.as_millis() as u64,
    });
    match client.call(address, request, forwarded.timeout).await {
        Ok(PeerReply::Submitted(SubmitReply::Applied(outcome))) => {
            serde_json::from_str(&outcome).map_err(|_| ForwardError::Unknown)
        }
        Ok(PeerReply::Submitted(SubmitReply::NoEffect)) => Err(ForwardError::NoEffect),
        Ok(_) => Err(ForwardError::Unknown),
        Err(error) if error.is_unsent() => Err(ForwardError::NoEffect),
        Err(_) => Err(ForwardError::Unknown),
    }
}

/// Answers a `Submit` request for a claims stream as its home.
///
/// # Errors
/// `Unsupported` if it is not a claims stream; `Unreadable` if the item can't be parsed,
/// as one of another version; `Failed` if the outcome has no JSON form.
pub async fn answer_submit(
    once: &OnceHandle,
    request: SubmitRequest,
) -> Result<PeerReply, PeerRefusal> {
    let partition = partition_of_stream(&request.stream).ok_or(PeerRefusal::Unsupported)?;
    let item = serde_json::from_str(&request.item).map_err(|_| PeerRefusal::Unreadable)?;
    let timeout = Duration::from_millis(request.timeout_ms);
    let reply = match once.append_forwarded(ForwardedItem { partition, item, timeout }).await {
        Ok(outcome) => {
            SubmitReply::Applied(serde_json::to_string(&outcome).map_err(|_| PeerRefusal::Failed)?)
        }
        Err(error) if error.has_no_effect() => SubmitReply::NoEffect,
        Err(_) => SubmitReply::Unknown,
    };
    Ok(PeerReply::Submitted(reply))
}

/// Function that reads records from live peers; `peers` returns their addresses.
pub fn relay_fn(
    client: PeerClient,
    peers: impl Fn() -> Vec<SocketAddr> + Send + Sync + 'static,
) -> Arc<RelayFn> {
    Arc::new(move |stream, from, max| {
        let mut addresses = peers();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(RELAY_TRIES);
        Box::pin(relay(client.clone(), addresses, RelayRequest { stream, from, max }))
    })
}

async fn relay(
    client: PeerClient,
    addresses: Vec<SocketAddr>,
    request: RelayRequest,
) -> Result<Vec<LogRecord>, RelayError> {
    let mut failure = RelayError::Unreachable;
    for address in addresses {
        match client.call(address, PeerRequest::Relay(request.clone()), RELAY_TIMEOUT).await {
            Ok(PeerReply::Records(batch)) => {
                return Ok(batch.records.into_iter().map(log_record).collect());
            }
            Ok(_) => {}
            Err(error) if error.is_answer() => failure = RelayError::Disconnected,
            Err(_) => {}
        }
    }
    Err(failure)
}

/// Builds the reply to a `Relay` request from the result of `StreamHandle::relay`.
///
/// # Errors
/// `Behind` if this instance has no contact with the log, or if the next record is
/// larger than a reply may be.
pub fn answer_relay(
    from: Offset,
    records: Result<Vec<LogRecord>, RelayError>,
) -> Result<PeerReply, PeerRefusal> {
    let records = records.map_err(|_| PeerRefusal::Behind)?;
    if records.first().is_some_and(|it| it.data.len() > MAX_RELAY_BYTES) {
        return Err(PeerRefusal::Behind);
    }
    let mut bytes = 0;
    let fits = |record: &LogRecord| {
        bytes += record.data.len();
        bytes <= MAX_RELAY_BYTES
    };
    let records: Vec<_> = records.into_iter().take_while(fits).map(relayed_record).collect();
    let next = records.last().map_or(from, |it| it.offset + 1);
    Ok(PeerReply::Records(RelayedBatch { earliest: from, next, records }))
}

fn log_record(record: RelayedRecord) -> LogRecord {
    LogRecord { offset: record.offset, time_ms: record.time_ms, data: record.data }
}

fn relayed_record(record: LogRecord) -> RelayedRecord {
    RelayedRecord { offset: record.offset, time_ms: record.time_ms, data: record.data }
}
