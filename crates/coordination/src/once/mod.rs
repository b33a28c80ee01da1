//! Once-only work: claim a key, run it at most once, record how it ended.
//!
//! A claim counts once the fold of the key's partition has judged it the first.
//! The partition's home appends for all instances so that one record carries many
//! claims; an instance that can't reach the home appends by itself, under the same
//! token, so a claim that arrives by both ways counts once. Who is home never
//! matters for correctness.

mod home;
mod permit;

pub use home::{ForwardError, ForwardFn, ForwardedItem, HomeFn, HomeRoute, partition_of_stream};
pub use permit::{ClaimPermit, OnceOutcome, SettledClaim};

use crate::shared::{RelayError, SharedLog};
use crate::stream::{StreamHandle, StreamRules, StreamStart, SubmitError};
use catalogue::id::{EntryName, IdempotencyKey, Offset, StreamName};
use platform::log::LogRecord;
use smol_str::SmolStr;
use state::claims::{
    self, ClaimItem, ClaimOutcome, ClaimTable, ClaimToken, KeyFault, KeyStanding, PARTITIONS,
    PartitionNumber, RecordedAnswer, RequestDigest, Resolution, UnknownOutcome,
};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::OnceCell;
use tokio::time::Instant;

/// Most items in one record of a claims stream.
const MAX_ITEMS: usize = 256;
/// Time for an operator's resolution, or for a partition to be read.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Stream of a partition
pub type ClaimStream = StreamHandle<ClaimTable, ClaimItem, ClaimOutcome>;

/// Call that must run at most once
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceRequest {
    /// Caller's key
    pub key: IdempotencyKey,
    /// SHA-256 of method, path and body
    pub digest: RequestDigest,
    /// Entry that is called
    pub entry: EntryName,
    /// Time by which it must have been dispatched
    pub deadline: Instant,
}

/// What to do with a call
#[derive(Debug)]
pub enum OnceBegin {
    /// Run it under this permit
    Run(ClaimPermit),
    /// It ran: give this answer
    Answered(RecordedAnswer),
    /// It runs now
    InProgress,
    /// It may have run and won't run again
    Unknown,
    /// It may have run, and an operator found out since; it won't run again
    Resolved(Resolution),
    /// Another request has this key; this one did not run
    Mismatch,
}

/// What is known of the work under a key
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RanState {
    /// It has not run
    No,
    /// It may have run, in an earlier try
    Unknown,
}

/// Why a call was not dispatched by this try
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum OnceError {
    /// idempotency key is missing
    KeyMissing,
    /// {0}
    Key(KeyFault),
    /// claim was not confirmed in time: {0}; repeat the call with the same key
    Unconfirmed(SubmitError),
}

impl std::error::Error for OnceError {}

impl OnceError {
    /// What is known of the work under the key, earlier tries included
    pub fn ran(self) -> RanState {
        match self {
            OnceError::KeyMissing => RanState::No,
            OnceError::Key(KeyFault::Form | KeyFault::Future) => RanState::No,
            OnceError::Key(KeyFault::TooOld) | OnceError::Unconfirmed(_) => RanState::Unknown,
        }
    }
}

/// Reads a caller's `Idempotency-Key`.
///
/// # Errors
/// `KeyMissing`, or `Key(Form)` if it is not a UUID.
pub fn parse_key(header: Option<&str>) -> Result<IdempotencyKey, OnceError> {
    let text = header.ok_or(OnceError::KeyMissing)?;
    IdempotencyKey::parse_str(text.trim()).map_err(|_| OnceError::Key(KeyFault::Form))
}

/// Failure to resolve an unknown outcome
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ResolveError {
    /// key has no unknown outcome
    NotUnknown,
    /// no verdict: {0}
    Submit(SubmitError),
}

impl std::error::Error for ResolveError {}

struct OnceState {
    shared: SharedLog,
    route: HomeRoute,
    streams: [OnceCell<ClaimStream>; PARTITIONS],
}

/// Handle to once-only work
#[derive(Clone)]
pub struct OnceHandle {
    state: Arc<OnceState>,
}

impl fmt::Debug for OnceHandle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("OnceHandle").field("writer", &self.state.shared.writer).finish()
    }
}

impl OnceHandle {
    /// Handle that appends at homes, or by itself where the route knows none
    pub fn new(shared: SharedLog, route: HomeRoute) -> OnceHandle {
        let streams = std::array::from_fn(|_| OnceCell::new());
        let handle = OnceHandle { state: Arc::new(OnceState { shared, route, streams }) };
        home::keep_homes(Arc::downgrade(&handle.state));
        handle
    }

    /// Claims a call's key
    ///
    /// # Errors
    /// `OnceError` if the call was not and will not be dispatched by this try.
    pub async fn begin(&self, request: OnceRequest) -> Result<OnceBegin, OnceError> {
        let OnceRequest { key, digest, entry, deadline } = request;
        if claims::key_time_ms(&key).is_none() {
            return Err(OnceError::Key(KeyFault::Form));
        }
        let token = ClaimToken::now_v7();
        let left = deadline.saturating_duration_since(Instant::now());
        let item = ClaimItem::Claim {
            key,
            token,
            digest,
            entry,
            holder: self.state.shared.instance.clone(),
            deadline_ms: left.as_millis() as u64,
        };
        let permit = ClaimPermit::new(self.clone(), key, token, deadline);
        match self.state.submit(&key, item, deadline).await {
            Ok(outcome) => judge(outcome, permit),
            Err(error) => {
                if error.is_void() {
                    permit.void();
                }
                Err(OnceError::Unconfirmed(error))
            }
        }
    }

    /// Appends an item that a peer forwarded to this instance as the home
    ///
    /// # Errors
    /// `SubmitError` if there is no verdict in time.
    pub async fn serve(&self, forwarded: ForwardedItem) -> Result<ClaimOutcome, SubmitError> {
        let partition = forwarded.partition.min(PARTITIONS - 1);
        let stream = self.state.stream(partition).await?;
        stream.submit(forwarded.item, Instant::now() + forwarded.timeout).await
    }

    /// Recent records of a claims stream for a peer that can't reach the log
    ///
    /// # Errors
    /// `OutOfTouch` if this instance doesn't hear from the log either, or if it is no
    /// claims stream.
    pub async fn relay(
        &self,
        stream: &StreamName,
        from: Offset,
        max: u32,
    ) -> Result<Vec<LogRecord>, RelayError> {
        let partition = home::partition_of_stream(stream).ok_or(RelayError::OutOfTouch)?;
        let stream = self.state.stream(partition).await.map_err(|_| RelayError::OutOfTouch)?;
        stream.relay(from, max).await
    }

    /// Claims whose outcome isn't known, of all partitions, oldest first
    ///
    /// # Errors
    /// `Down` if a partition can't be read in time.
    pub async fn unknowns(&self) -> Result<Vec<UnknownOutcome>, SubmitError> {
        let mut unknowns = Vec::new();
        let now_ms = wall_clock_ms();
        for partition in 0..PARTITIONS {
            let stream = self.state.stream(partition).await?;
            let caught_up = tokio::time::timeout(OPERATOR_TIMEOUT, stream.caught_up());
            caught_up.await.map_err(|_| SubmitError::Down)?;
            let found = stream.inspect(move |table| table.unknowns(now_ms)).await;
            unknowns.extend(found.ok_or(SubmitError::Stopped)?);
        }
        unknowns.sort_by_key(|it| it.time_ms);
        Ok(unknowns)
    }

    /// Records what an operator found out about an unknown outcome
    ///
    /// # Errors
    /// `NotUnknown` if the key has none; `Submit` if there is no verdict in time.
    pub async fn resolve(
        &self,
        key: IdempotencyKey,
        resolution: Resolution,
        editor: SmolStr,
    ) -> Result<(), ResolveError> {
        log::info!("event=resolve key={key} resolution=\"{resolution}\" editor={editor}");
        let item = ClaimItem::Resolve { key, resolution, editor };
        let deadline = Instant::now() + OPERATOR_TIMEOUT;
        match self.state.submit(&key, item, deadline).await {
            Ok(ClaimOutcome::Recorded) => Ok(()),
            Ok(_) => Err(ResolveError::NotUnknown),
            Err(error) => Err(ResolveError::Submit(error)),
        }
    }
}

impl OnceState {
    async fn stream(&self, partition: PartitionNumber) -> Result<ClaimStream, SubmitError> {
        let start = || StreamHandle::start(self.shared.clone(), self.rules(partition));
        let stream = self.streams[partition].get_or_try_init(start).await;
        stream.cloned().map_err(|_| SubmitError::Stopped)
    }

    fn rules(
        &self,
        partition: PartitionNumber,
    ) -> StreamRules<ClaimTable, ClaimItem, ClaimOutcome> {
        StreamRules {
            stream: claims::stream_name(partition),
            start: StreamStart::Retained,
            max_items: MAX_ITEMS,
            pacing: self.shared.timing.claim_pacing,
            apply: ClaimTable::apply,
            publish: Box::new(|_| ()),
        }
    }

    /// Gets the fold's verdict on an item, through the home or directly
    async fn submit(
        &self,
        key: &IdempotencyKey,
        item: ClaimItem,
        deadline: Instant,
    ) -> Result<ClaimOutcome, SubmitError> {
        let partition = claims::partition_of(key);
        let forwarded = self.forward(partition, &item, deadline).await;
        let may_have_landed = match forwarded {
            Some(Ok(outcome)) => return Ok(outcome),
            Some(Err(error)) => error == ForwardError::Unknown,
            None => false,
        };
        let stream = self.stream(partition).await?;
        match stream.submit(item, deadline).await {
            Err(_) if may_have_landed => Err(SubmitError::Unknown),
            verdict => verdict,
        }
    }
}

fn judge(outcome: ClaimOutcome, permit: ClaimPermit) -> Result<OnceBegin, OnceError> {
    let begin = match outcome {
        ClaimOutcome::Won => return Ok(OnceBegin::Run(permit)),
        ClaimOutcome::Held(KeyStanding::Answered(answer)) => OnceBegin::Answered(answer),
        ClaimOutcome::Held(KeyStanding::Open) => OnceBegin::InProgress,
        ClaimOutcome::Held(KeyStanding::Unknown(_)) => OnceBegin::Unknown,
        ClaimOutcome::Held(KeyStanding::Resolved { resolution, .. }) => {
            OnceBegin::Resolved(resolution)
        }
        ClaimOutcome::Mismatch => OnceBegin::Mismatch,
        ClaimOutcome::Refused(fault) => {
            permit.void();
            return Err(OnceError::Key(fault));
        }
        ClaimOutcome::Void | ClaimOutcome::Recorded | ClaimOutcome::Ignored => {
            return Err(OnceError::Unconfirmed(SubmitError::Unknown));
        }
    };
    permit.void();
    Ok(begin)
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
