//! Actor of one stream.
//!
//! At most one read and one append are in flight. The log's answers arrive as messages,
//! so the state changes in the message handler only.

mod append;
mod follow;

use super::queue::{AppendQueue, QueueBounds};
use super::rebuild::RebuildBuffer;
use super::recent::RecentRecords;
use super::{StreamData, StreamMessage, StreamOptions, StreamStatus};
use crate::shared::{RelayError, SharedLog};
use crate::stream::reader::BatchLimit;
use catalogue::id::Offset;
use platform::log::LogRecord;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use state::stream::StreamFold;
use std::marker::PhantomData;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time without contact with the log after which no records are relayed to peers.
const RELAY_CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

type SetupMarker<S, I, O> = PhantomData<fn(StreamSetup<S, I, O>)>;

struct StreamActor<S, I, O> {
    setup: SetupMarker<S, I, O>,
}

struct StreamSetup<S, I, O> {
    shared: SharedLog,
    options: StreamOptions<S, I, O>,
    status: watch::Sender<StreamStatus>,
}

/// Starts the actor of a stream.
pub(super) async fn start<S: StreamData + Default, I: StreamData, O: Send + 'static>(
    shared: SharedLog,
    options: StreamOptions<S, I, O>,
    status: watch::Sender<StreamStatus>,
) -> Result<ActorRef<StreamMessage<S, I, O>>, ractor::SpawnErr> {
    let setup = StreamSetup { shared, options, status };
    let (actor, _) = Actor::spawn(None, StreamActor { setup: PhantomData }, setup).await?;
    Ok(actor)
}

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> Actor for StreamActor<S, I, O> {
    type Msg = StreamMessage<S, I, O>;
    type State = StreamWorker<S, I, O>;
    type Arguments = StreamSetup<S, I, O>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        setup: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut worker = StreamWorker::new(myself, setup);
        worker.start_read(Duration::ZERO);
        Ok(worker)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        worker: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        worker.handle(message);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        worker: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        worker.queue.stop();
        worker.abort_read();
        Ok(())
    }
}

struct StreamWorker<S: StreamData, I: StreamData, O: Send + 'static> {
    myself: ActorRef<StreamMessage<S, I, O>>,
    shared: SharedLog,
    options: StreamOptions<S, I, O>,
    fold: StreamFold<S>,
    rebuild: Option<RebuildBuffer>,
    queue: AppendQueue<I, O>,
    status: watch::Sender<StreamStatus>,
    recent: RecentRecords,
    generation: u64,
    read: Option<JoinHandle<()>>,
    read_delay: Duration,
    batch_limit: BatchLimit,
    /// Offset of a damaged record that is being read a second time
    suspect_offset: Option<Offset>,
    checkpoint_due: Option<Instant>,
    next_wake: Option<Instant>,
    rng: SmallRng,
}

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> StreamWorker<S, I, O> {
    fn new(
        myself: ActorRef<StreamMessage<S, I, O>>,
        setup: StreamSetup<S, I, O>,
    ) -> StreamWorker<S, I, O> {
        let StreamSetup { shared, options, status } = setup;
        let bounds = QueueBounds {
            max_items: options.max_items,
            pacing: options.pacing,
            retry_delay: shared.timing.retry_delay,
            max_retry_delay: shared.timing.max_retry_delay,
        };
        let queue = AppendQueue::new(shared.writer.clone(), bounds, shared.seed, Instant::now());
        let read_delay = shared.timing.retry_delay;
        let rng = SmallRng::seed_from_u64(shared.seed);
        StreamWorker {
            myself,
            shared,
            options,
            fold: StreamFold::default(),
            rebuild: None,
            queue,
            status,
            recent: RecentRecords::default(),
            generation: 0,
            read: None,
            read_delay,
            batch_limit: BatchLimit::new(),
            suspect_offset: None,
            checkpoint_due: None,
            next_wake: None,
            rng,
        }
    }

    fn handle(&mut self, message: StreamMessage<S, I, O>) {
        match message {
            StreamMessage::Read { generation, answer } if generation == self.generation => {
                self.handle_read(answer);
            }
            StreamMessage::Read { .. } => {}
            StreamMessage::Appended { sequence, result } => self.handle_append(sequence, result),
            StreamMessage::Submit(submission) => self.queue.push(submission),
            StreamMessage::GiveUp { ticket } => self.queue.give_up(ticket),
            StreamMessage::Inspect(inspect) => inspect(self.fold.state()),
            StreamMessage::Relay { from, max, reply } => {
                let _ = reply.send(self.relay(from, max));
            }
            StreamMessage::Wake => {
                self.next_wake = None;
                self.write_checkpoint();
            }
        }
        if self.status.borrow().is_stopped {
            self.queue.stop();
        }
        self.append_due();
    }

    /// Recent records for a peer, while this instance has contact with the log
    fn relay(&self, from: Offset, max: u32) -> Result<Vec<LogRecord>, RelayError> {
        let is_recent = |at: Instant| at.elapsed() <= RELAY_CONTACT_TIMEOUT;
        if !self.status.borrow().last_log_contact.is_some_and(is_recent) {
            return Err(RelayError::Disconnected);
        }
        self.recent.since(from, max, self.fold.through())
    }
}
