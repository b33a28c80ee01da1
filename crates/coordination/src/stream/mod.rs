//! One stream of the log: follow, fold, append.
//!
//! `StreamHandle::submit` appends an item and returns the outcome that the fold computes
//! for it, so an item is confirmed only when this instance has read it back from its
//! position in the stream. An actor owns the state; dropping the last handle stops it.

mod queue;
mod reader;
mod rebuild;
mod recent;
mod worker;

use crate::shared::{RelayError, SharedLog};
use catalogue::id::{Offset, StreamName};
use platform::log::{LogError, LogRecord};
use queue::Submission;
use ractor::ActorRef;
use reader::ReadAnswer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::stream::ItemPosition;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Bounds on the types of a stream's state and items
pub trait StreamData:
    Clone + fmt::Debug + Send + Sync + Serialize + DeserializeOwned + 'static
{
}

impl<T> StreamData for T where
    T: Clone + fmt::Debug + Send + Sync + Serialize + DeserializeOwned + 'static
{
}

/// How a fold starts when the stream's first records have aged out
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStart {
    /// From a checkpoint, which instances append before the retention ends
    Checkpoint,
    /// Empty: the records within the retention are sufficient
    Retained,
}

/// How a stream is folded and appended to
pub struct StreamOptions<S, I, O> {
    pub stream: StreamName,
    /// How the fold starts when records have aged out
    pub start: StreamStart,
    /// Maximum number of items in one record
    pub max_items: usize,
    /// Minimum interval between two appends
    pub pacing: Duration,
    /// Folds one item
    pub apply: fn(&mut S, ItemPosition, &I) -> O,
    /// Called with the state after each batch of records that advanced the fold
    pub publish: Box<dyn Fn(&S) + Send + Sync>,
}

/// Progress of a stream and its contact with the log
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StreamStatus {
    /// Last offset folded
    pub through: Offset,
    /// Whether the fold has reached the end of the stream at least once
    pub is_caught_up: bool,
    /// Last time that the log, or a peer with contact to it, answered a read
    pub last_contact: Option<Instant>,
    /// Last time that the log itself answered a read
    pub last_log_contact: Option<Instant>,
    /// Whether the fold has stopped at a record that it can't skip
    pub is_stopped: bool,
    /// Number of damaged records skipped
    pub damaged_records: u64,
}

/// Failure to submit an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum SubmitError {
    /// log could not be reached in time; the item has no effect
    Down,
    /// stream has stopped; the item has no effect
    Stopped,
    /// no outcome in time; the item may still take effect
    Unknown,
}

impl std::error::Error for SubmitError {}

impl SubmitError {
    /// Whether the item certainly has no effect
    pub fn has_no_effect(self) -> bool {
        self != SubmitError::Unknown
    }
}

type InspectFn<S> = Box<dyn FnOnce(&S) + Send>;

enum StreamMessage<S, I, O> {
    Read { generation: u64, answer: ReadAnswer },
    Appended { sequence: u64, result: Result<Offset, LogError> },
    Submit(Submission<I, O>),
    GiveUp { ticket: u64 },
    Inspect(InspectFn<S>),
    Relay { from: Offset, max: u32, reply: oneshot::Sender<Result<Vec<LogRecord>, RelayError>> },
    Wake,
}

struct StopGuard<S: StreamData, I: StreamData, O: Send + 'static> {
    actor: ActorRef<StreamMessage<S, I, O>>,
    tickets: AtomicU64,
}

impl<S: StreamData, I: StreamData, O: Send + 'static> Drop for StopGuard<S, I, O> {
    fn drop(&mut self) {
        self.actor.stop(None);
    }
}

pub struct StreamHandle<S: StreamData, I: StreamData, O: Send + 'static> {
    guard: Arc<StopGuard<S, I, O>>,
    status: watch::Receiver<StreamStatus>,
}

impl<S: StreamData, I: StreamData, O: Send + 'static> Clone for StreamHandle<S, I, O> {
    fn clone(&self) -> StreamHandle<S, I, O> {
        StreamHandle { guard: self.guard.clone(), status: self.status.clone() }
    }
}

impl<S: StreamData, I: StreamData, O: Send + 'static> fmt::Debug for StreamHandle<S, I, O> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StreamHandle").field("status", &*self.status.borrow()).finish()
    }
}

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> StreamHandle<S, I, O> {
    /// Starts the actor that follows a stream
    ///
    /// # Errors
    /// `ractor::SpawnErr` if the actor can't be started.
    pub async fn start(
        shared: SharedLog,
        options: StreamOptions<S, I, O>,
    ) -> Result<StreamHandle<S, I, O>, ractor::SpawnErr> {
        let (status_sender, status) = watch::channel(StreamStatus::default());
        let actor = worker::start(shared, options, status_sender).await?;
        let guard = Arc::new(StopGuard { actor, tickets: AtomicU64::new(0) });
        Ok(StreamHandle { guard, status })
    }
}

impl<S: StreamData, I: StreamData, O: Send + 'static> StreamHandle<S, I, O> {
    /// Appends an item and returns the fold's outcome for it
    ///
    /// # Errors
    /// `SubmitError` if there is no outcome by the deadline.
    pub async fn submit(&self, item: I, deadline: Instant) -> Result<O, SubmitError> {
        let ticket = self.guard.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply, mut outcome) = oneshot::channel();
        let submission = Submission { ticket, item, reply };
        if self.guard.actor.cast(StreamMessage::Submit(submission)).is_err() {
            return Err(SubmitError::Stopped);
        }
        if let Ok(result) = tokio::time::timeout_at(deadline, &mut outcome).await {
            return result.unwrap_or(Err(SubmitError::Unknown));
        }
        let _ = self.guard.actor.cast(StreamMessage::GiveUp { ticket });
        outcome.await.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Calls a function on the state as folded so far; `None` if the actor has ended
    pub async fn inspect<T: Send + 'static>(
        &self,
        query: impl FnOnce(&S) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, result) = oneshot::channel();
        let inspect = move |state: &S| {
            let _ = reply.send(query(state));
        };
        self.guard.actor.cast(StreamMessage::Inspect(Box::new(inspect))).ok()?;
        result.await.ok()
    }

    /// Recent records for a peer that can't reach the log
    ///
    /// # Errors
    /// `Disconnected` if this instance has no contact with the log either.
    pub async fn relay(&self, from: Offset, max: u32) -> Result<Vec<LogRecord>, RelayError> {
        let (reply, records) = oneshot::channel();
        let message = StreamMessage::Relay { from, max, reply };
        self.guard.actor.cast(message).map_err(|_| RelayError::Disconnected)?;
        records.await.unwrap_or(Err(RelayError::Disconnected))
    }

    /// Progress of the stream and its contact with the log
    pub fn status(&self) -> StreamStatus {
        *self.status.borrow()
    }

    /// Waits until the fold has reached the end of the stream once
    pub async fn caught_up(&self) {
        let mut status = self.status.clone();
        let _ = status.wait_for(|it| it.is_caught_up || it.is_stopped).await;
    }

    /// Changes of `status`
    pub fn watch_status(&self) -> watch::Receiver<StreamStatus> {
        self.status.clone()
    }
}
