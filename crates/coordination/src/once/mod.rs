//! Once-only work: claim a key, run it at most once, record the outcome.
//!
//! A claim is won when the fold of the key's partition finds it to be the first one.
//! The partition's home appends for all instances so that one record carries many
//! claims. An instance that can't reach the home appends the item itself under the
//! same token, so a claim that is appended twice counts once. Correctness doesn't
//! depend on which instance is the home.

mod home;
mod permit;

pub use home::{ForwardError, ForwardFn, ForwardedItem, HomeFn, HomeRoute, partition_of_stream};
pub use permit::{ClaimPermit, OnceOutcome, SettledClaim};

use crate::shared::{RelayError, SharedLog};
use crate::stream::{StreamHandle, StreamOptions, StreamStart, SubmitError};
use catalogue::id::{EntryName, IdempotencyKey, Offset, StreamName};
use platform::log::LogRecord;
use smol_str::SmolStr;
use state::claims::{
    self, ClaimItem, ClaimOutcome, ClaimTable, ClaimToken, KeyFault, KeyStatus, PARTITIONS,
    PartitionNumber, RecordedAnswer, RequestDigest, Resolution, UnknownOutcome,
};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::OnceCell;
use tokio::time::Instant;

/// Maximum number of items in one record of a claims stream.
const MAX_ITEMS: usize = 256;
/// Timeout of an operator's resolution and of reading a partition.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Stream of a partition
pub type ClaimStream = StreamHandle<ClaimTable, ClaimItem, ClaimOutcome>;

/// Call that must run at most once
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceRequest {
    /// Idempotency key sent by the caller
    pub key: IdempotencyKey,
    /// SHA-256 of method, path and body
    pub digest: RequestDigest,
    /// Catalogue entry that is called
    pub entry: EntryName,
    /// Time by which the call must be dispatched
    pub deadline: Instant,
}

/// Result of `OnceHandle::begin`: what to do with the call
#[derive(Debug)]
pub enum ClaimDecision {
    /// The claim is won: run the call under this permit
    Run(ClaimPermit),
    /// The call already ran: return this answer
    Answered(RecordedAnswer),
    /// The call is running
    InProgress,
    /// The call may have run and will not run again
    Unknown,
    /// The call may have run, an operator has resolved its outcome, and it will not run again
    Resolved(Resolution),
    /// The key belongs to a different request; this one did not run
    Mismatch,
}

/// Whether the work under a key has run
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionState {
    /// The work has not run
    No,
    /// The work may have run in an earlier attempt
    Unknown,
}

/// Reason why this attempt did not dispatch a call
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum OnceError {
    /// idempotency key is missing
    KeyMissing,
    /// {0}
    Key(KeyFault),
    /// claim was not confirmed in time: {0}; retry the call with the same key
    Unconfirmed(SubmitError),
}

impl std::error::Error for OnceError {}

impl OnceError {
    /// Whether the work under the key has run, in this or an earlier attempt
    pub fn ran(self) -> ExecutionState {
        match self {
            OnceError::KeyMissing => ExecutionState::No,
            OnceError::Key(KeyFault::Form | KeyFault::Future) => ExecutionState::No,
            OnceError::Key(KeyFault::TooOld) | OnceError::Unconfirmed(_) => ExecutionState::Unknown,
        }
    }
}

/// Parses a caller's `Idempotency-Key` header.
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
    /// resolution was not confirmed: {0}
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
    /// Handle that appends through homes, or directly where the route returns no home
    pub fn new(shared: SharedLog, route: HomeRoute) -> OnceHandle {
        let streams = std::array::from_fn(|_| OnceCell::new());
        let handle = OnceHandle { state: Arc::new(OnceState { shared, route, streams }) };
        home::follow_home_partitions(Arc::downgrade(&handle.state));
        handle
    }

    /// Claims the key of a call
    ///
    /// # Errors
    /// `OnceError` if this attempt has not dispatched and will not dispatch the call.
    pub async fn begin(&self, request: OnceRequest) -> Result<ClaimDecision, OnceError> {
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
            Ok(outcome) => evaluate_claim(outcome, permit),
            Err(error) => {
                if error.has_no_effect() {
                    permit.disarm();
                }
                Err(OnceError::Unconfirmed(error))
            }
        }
    }

    /// Appends an item that a peer forwarded to this instance as the home
    ///
    /// # Errors
    /// `SubmitError` if there is no outcome in time.
    pub async fn append_forwarded(
        &self,
        forwarded: ForwardedItem,
    ) -> Result<ClaimOutcome, SubmitError> {
        let partition = forwarded.partition.min(PARTITIONS - 1);
        let stream = self.state.stream(partition).await?;
        stream.submit(forwarded.item, Instant::now() + forwarded.timeout).await
    }

    /// Recent records of a claims stream for a peer that can't reach the log
    ///
    /// # Errors
    /// `Disconnected` if this instance has no contact with the log either, or if the stream
    /// is not a claims stream.
    pub async fn relay(
        &self,
        stream: &StreamName,
        from: Offset,
        max: u32,
    ) -> Result<Vec<LogRecord>, RelayError> {
        let partition = home::partition_of_stream(stream).ok_or(RelayError::Disconnected)?;
        let stream = self.state.stream(partition).await.map_err(|_| RelayError::Disconnected)?;
        stream.relay(from, max).await
    }

    /// Claims of all partitions whose outcome is unknown, oldest first
    ///
    /// # Errors
    /// `Down` if a partition can't be read in time.
    pub async fn unknown_outcomes(&self) -> Result<Vec<UnknownOutcome>, SubmitError> {
        let mut outcomes = Vec::new();
        for partition in 0..PARTITIONS {
            outcomes.extend(self.state.unknowns(partition).await?);
        }
        outcomes.sort_by_key(|it| it.time_ms);
        Ok(outcomes)
    }

    /// Records an operator's resolution of an unknown outcome
    ///
    /// # Errors
    /// `NotUnknown` if the key has no unknown outcome; `Submit` if there is no outcome in
    /// time.
    pub async fn resolve(
        &self,
        key: IdempotencyKey,
        resolution: Resolution,
        editor: SmolStr,
    ) -> Result<(), ResolveError> {
        log::info!("event=resolve key={key} resolution=\"{resolution}\" editor={editor}");
        let partition = claims::partition_of(&key);
        let unknowns = self.state.unknowns(partition).await.map_err(ResolveError::Submit)?;
        if !unknowns.iter().any(|it| it.key == key) {
            return Err(ResolveError::NotUnknown);
        }
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
    /// Claims of a partition whose outcome is unknown, once all its records are read
    async fn unknowns(
        &self,
        partition: PartitionNumber,
    ) -> Result<Vec<UnknownOutcome>, SubmitError> {
        let now_ms = wall_clock_ms();
        let stream = self.stream(partition).await?;
        let caught_up = tokio::time::timeout(OPERATOR_TIMEOUT, stream.caught_up());
        caught_up.await.map_err(|_| SubmitError::Down)?;
        let found = stream.inspect(move |table| table.unknowns(now_ms)).await;
        found.ok_or(SubmitError::Stopped)
    }

    async fn stream(&self, partition: PartitionNumber) -> Result<ClaimStream, SubmitError> {
        let start = || StreamHandle::start(self.shared.clone(), self.options(partition));
        let stream = self.streams[partition].get_or_try_init(start).await;
        stream.cloned().map_err(|_| SubmitError::Stopped)
    }

    fn options(
        &self,
        partition: PartitionNumber,
    ) -> StreamOptions<ClaimTable, ClaimItem, ClaimOutcome> {
        StreamOptions {
            stream: claims::stream_name(partition),
            start: StreamStart::Retained,
            max_items: MAX_ITEMS,
            pacing: self.shared.timing.claim_pacing,
            apply: ClaimTable::apply,
            publish: Box::new(|_| ()),
        }
    }

    /// Appends an item through the home or directly, and returns the fold's outcome
    async fn submit(
        &self,
        key: &IdempotencyKey,
        item: ClaimItem,
        deadline: Instant,
    ) -> Result<ClaimOutcome, SubmitError> {
        let partition = claims::partition_of(key);
        let forwarded = self.forward(partition, &item, deadline).await;
        let may_be_appended = match forwarded {
            Some(Ok(outcome)) => return Ok(outcome),
            Some(Err(error)) => error == ForwardError::Unknown,
            None => false,
        };
        let stream = self.stream(partition).await?;
        match stream.submit(item, deadline).await {
            Err(_) if may_be_appended => Err(SubmitError::Unknown),
            result => result,
        }
    }
}

fn evaluate_claim(outcome: ClaimOutcome, permit: ClaimPermit) -> Result<ClaimDecision, OnceError> {
    let begin = match outcome {
        ClaimOutcome::Won => return Ok(ClaimDecision::Run(permit)),
        ClaimOutcome::Held(KeyStatus::Answered(answer)) => ClaimDecision::Answered(answer),
        ClaimOutcome::Held(KeyStatus::Open) => ClaimDecision::InProgress,
        ClaimOutcome::Held(KeyStatus::Unknown(_)) => ClaimDecision::Unknown,
        ClaimOutcome::Held(KeyStatus::Resolved { resolution, .. }) => {
            ClaimDecision::Resolved(resolution)
        }
        ClaimOutcome::Mismatch => ClaimDecision::Mismatch,
        ClaimOutcome::Refused(fault) => {
            permit.disarm();
            return Err(OnceError::Key(fault));
        }
        ClaimOutcome::Void | ClaimOutcome::Recorded | ClaimOutcome::Ignored => {
            return Err(OnceError::Unconfirmed(SubmitError::Unknown));
        }
    };
    permit.disarm();
    Ok(begin)
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
