//! Actor of one stream.
//!
//! One read and one append are under way at any time. Everything that the log
//! answers comes back as a message, so the state changes in one place only.

use super::queue::{AppendQueue, AppendText, QueueBounds};
use super::reader::{self, ReadAnswer};
use super::rebuild::RebuildBuffer;
use super::{StreamData, StreamMessage, StreamRules, StreamStart, StreamStatus};
use crate::shared::{RelayError, SharedLog};
use catalogue::id::Offset;
use platform::log::{LogBatch, LogError, LogRecord};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::stream::{FoldFault, Folded, RecordText, StreamFold};
use std::collections::VecDeque;
use std::marker::PhantomData;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Records kept for peers that can't reach the log.
const MAX_RELAY_RECORDS: usize = 4_096;
/// Time without contact with the log after which nothing is relayed to peers.
const RELAY_CONTACT: Duration = Duration::from_secs(5);
/// Time without an answer from the log, beyond a read's wait, after which peers are asked too.
const DOUBT_AFTER: Duration = Duration::from_secs(1);
/// Time for an answered append to be read before the read is begun anew.
const READ_LAG: Duration = Duration::from_millis(250);
/// Checkpoints are a retention divided by this apart.
const CHECKPOINTS_PER_RETENTION: u32 = 4;
/// Part of the time between checkpoints by which instances vary it.
const CHECKPOINT_JITTER: f64 = 0.25;

type SetupMark<S, I, O> = PhantomData<fn(StreamSetup<S, I, O>)>;

struct StreamActor<S, I, O> {
    setup: SetupMark<S, I, O>,
}

struct StreamSetup<S, I, O> {
    shared: SharedLog,
    rules: StreamRules<S, I, O>,
    status: watch::Sender<StreamStatus>,
}

/// Starts the actor of a stream.
pub(super) async fn start<S: StreamData + Default, I: StreamData, O: Send + 'static>(
    shared: SharedLog,
    rules: StreamRules<S, I, O>,
    status: watch::Sender<StreamStatus>,
) -> Result<ActorRef<StreamMessage<S, I, O>>, ractor::SpawnErr> {
    let setup = StreamSetup { shared, rules, status };
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
    rules: StreamRules<S, I, O>,
    fold: StreamFold<S>,
    rebuild: Option<RebuildBuffer>,
    queue: AppendQueue<I, O>,
    status: watch::Sender<StreamStatus>,
    recent: VecDeque<LogRecord>,
    generation: u64,
    read: Option<JoinHandle<()>>,
    read_delay: Duration,
    /// Damaged record that is being read a second time
    suspect: Option<Offset>,
    checkpoint_due: Option<Instant>,
    next_wake: Option<Instant>,
    rng: SmallRng,
}

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> StreamWorker<S, I, O> {
    fn new(
        myself: ActorRef<StreamMessage<S, I, O>>,
        setup: StreamSetup<S, I, O>,
    ) -> StreamWorker<S, I, O> {
        let StreamSetup { shared, rules, status } = setup;
        let bounds = QueueBounds {
            max_items: rules.max_items,
            pacing: rules.pacing,
            retry_delay: shared.timing.retry_delay,
            max_retry_delay: shared.timing.max_retry_delay,
        };
        let queue = AppendQueue::new(shared.writer.clone(), bounds, shared.seed, Instant::now());
        let read_delay = shared.timing.retry_delay;
        let rng = SmallRng::seed_from_u64(shared.seed);
        StreamWorker {
            myself,
            shared,
            rules,
            fold: StreamFold::default(),
            rebuild: None,
            queue,
            status,
            recent: VecDeque::new(),
            generation: 0,
            read: None,
            read_delay,
            suspect: None,
            checkpoint_due: None,
            next_wake: None,
            rng,
        }
    }

    fn handle(&mut self, message: StreamMessage<S, I, O>) {
        match message {
            StreamMessage::Read { generation, answer } if generation == self.generation => {
                self.take_answer(answer);
            }
            StreamMessage::Read { .. } => {}
            StreamMessage::Appended { sequence, result } => self.take_append(sequence, result),
            StreamMessage::Submit(submission) => self.queue.push(submission),
            StreamMessage::GiveUp { ticket } => self.queue.give_up(ticket),
            StreamMessage::Inspect(look) => look(self.fold.state()),
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
        self.pump();
    }

    // Reading

    fn start_read(&mut self, delay: Duration) {
        if self.status.borrow().is_stopped {
            return;
        }
        self.abort_read();
        self.generation += 1;
        let generation = self.generation;
        let collected = self.rebuild.as_ref().and_then(RebuildBuffer::next);
        let from = collected.unwrap_or(self.fold.through() + 1);
        let is_in_touch = |at: Instant| at.elapsed() <= DOUBT_AFTER + self.shared.timing.long_poll;
        let is_doubtful = !self.status.borrow().log_contact.is_some_and(is_in_touch);
        let stream = self.rules.stream.clone();
        let shared = self.shared.clone();
        let myself = self.myself.clone();
        self.read = Some(tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let answer = reader::read(shared, stream, from, is_doubtful).await;
            let _ = myself.cast(StreamMessage::Read { generation, answer });
        }));
    }

    fn abort_read(&mut self) {
        if let Some(read) = self.read.take() {
            read.abort();
        }
    }

    fn take_answer(&mut self, answer: ReadAnswer) {
        let through = self.fold.through();
        let delay = match answer {
            ReadAnswer::Batch(batch) if batch.next <= through => {
                log::error!(
                    "event=log_behind stream={} through={through} next={}",
                    self.rules.stream,
                    batch.next
                );
                self.back_off()
            }
            ReadAnswer::Batch(batch) => self.take_batch(batch),
            ReadAnswer::Relayed(records) => self.take_relayed(records),
            ReadAnswer::Failed(error) => {
                log::debug!("event=log_read_failed stream={} error={error}", self.rules.stream);
                self.back_off()
            }
        };
        if self.fold.through() != through {
            (self.rules.publish)(self.fold.state());
        }
        self.queue.repeat_missing(self.fold.through(), Instant::now());
        self.start_read(delay);
    }

    fn back_off(&mut self) -> Duration {
        let delay = self.read_delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.read_delay = (2 * self.read_delay).min(self.shared.timing.max_retry_delay);
        delay
    }

    fn take_batch(&mut self, batch: LogBatch) -> Duration {
        self.read_delay = self.shared.timing.retry_delay;
        let LogBatch { earliest, next, records } = batch;
        let wanted = self.rebuild.as_ref().and_then(RebuildBuffer::next);
        if wanted.unwrap_or(self.fold.through() + 1) < earliest {
            self.bridge_gap(earliest);
        }
        for record in records {
            if !self.take_record(record, true) {
                break;
            }
        }
        let now = Instant::now();
        let is_at_end = self.rebuild.is_none() && self.fold.through() + 1 >= next;
        self.status.send_modify(|it| {
            it.contact = Some(now);
            it.log_contact = Some(now);
            it.is_caught_up |= is_at_end;
        });
        if self.rebuild.is_some() && self.suspect.is_none() {
            let read_on = self.rebuild.as_ref().and_then(RebuildBuffer::next);
            if read_on.unwrap_or(earliest) >= next {
                log::error!("event=checkpoint_missing stream={}", self.rules.stream);
                return self.back_off();
            }
        }
        self.plan_checkpoint(now);
        Duration::ZERO
    }

    fn take_relayed(&mut self, records: Vec<LogRecord>) -> Duration {
        for record in records {
            if self.rebuild.is_some() || !self.take_record(record, false) {
                break;
            }
        }
        self.status.send_modify(|it| it.contact = Some(Instant::now()));
        self.back_off()
    }

    /// Goes on although records before `earliest` are gone
    fn bridge_gap(&mut self, earliest: Offset) {
        log::warn!(
            "event=retention_gap stream={} through={} earliest={earliest}",
            self.rules.stream,
            self.fold.through()
        );
        match self.rules.start {
            StreamStart::Retained => {
                self.fold = StreamFold::begin_after(earliest - 1);
                self.queue.passed(u64::MAX);
            }
            StreamStart::Checkpoint => self.rebuild = Some(RebuildBuffer::default()),
        }
    }

    /// Takes the next record; false if reading has to begin anew
    fn take_record(&mut self, record: LogRecord, is_from_log: bool) -> bool {
        let Some(buffer) = &mut self.rebuild else {
            return self.fold_record(record, is_from_log);
        };
        let Some(rebuilt) = buffer.push::<S>(record) else {
            return true;
        };
        self.rebuild = None;
        self.fold = rebuilt.fold;
        for record in rebuilt.rest {
            if !self.fold_record(record, is_from_log) {
                return false;
            }
        }
        self.queue.passed(self.fold.last_sequence(&self.shared.writer));
        true
    }

    fn fold_record(&mut self, record: LogRecord, is_from_log: bool) -> bool {
        let LogRecord { offset, time_ms, data } = &record;
        let text = RecordText { offset: *offset, time_ms: *time_ms, data };
        match self.fold.fold(text, self.rules.apply) {
            Ok(Folded::Old) => return true,
            Ok(Folded::Items { writer, sequence, outcomes }) => {
                if writer == self.shared.writer {
                    self.queue.judged(sequence, outcomes);
                }
            }
            Ok(Folded::Checkpoint { writer, sequence, time_ms }) => {
                if writer == self.shared.writer {
                    self.queue.judged(sequence, []);
                }
                self.note_checkpoint(time_ms);
            }
            Ok(Folded::Duplicate) => {}
            Err(FoldFault::Damaged(offset)) if !self.is_damaged_for_all(offset, is_from_log) => {
                return false;
            }
            Err(FoldFault::Damaged(_)) => self.fold.skip(),
            Err(fault @ FoldFault::Gap { .. }) => {
                log::warn!("event=read_gap stream={} fault={fault}", self.rules.stream);
                return false;
            }
            Err(fault) => {
                log::error!("event=stream_stopped stream={} fault={fault}", self.rules.stream);
                self.status.send_modify(|it| it.is_stopped = true);
                return false;
            }
        }
        let through = self.fold.through();
        self.status.send_modify(|it| it.through = through);
        self.keep_recent(record);
        true
    }

    /// Whether the log itself gave the same damaged record twice
    fn is_damaged_for_all(&mut self, offset: Offset, is_from_log: bool) -> bool {
        if !is_from_log {
            return false;
        }
        if self.suspect.replace(offset) != Some(offset) {
            return false;
        }
        self.suspect = None;
        log::error!("event=record_damaged stream={} offset={offset}", self.rules.stream);
        self.status.send_modify(|it| it.damaged += 1);
        true
    }

    // Relaying

    fn keep_recent(&mut self, record: LogRecord) {
        if self.recent.back().is_some_and(|it| it.offset + 1 != record.offset) {
            self.recent.clear();
        }
        self.recent.push_back(record);
        if self.recent.len() > MAX_RELAY_RECORDS {
            self.recent.pop_front();
        }
    }

    fn relay(&self, from: Offset, max: u32) -> Result<Vec<LogRecord>, RelayError> {
        let is_in_touch = |at: Instant| at.elapsed() <= RELAY_CONTACT;
        if !self.status.borrow().log_contact.is_some_and(is_in_touch) {
            return Err(RelayError::OutOfTouch);
        }
        let is_kept = self.recent.front().is_some_and(|it| it.offset <= from);
        if !is_kept && from <= self.fold.through() {
            return Err(RelayError::OutOfTouch);
        }
        let wanted = self.recent.iter().filter(|it| it.offset >= from);
        Ok(wanted.take(max as usize).cloned().collect())
    }

    // Appending

    /// Sends what is due and sees to being woken for what will be
    fn pump(&mut self) {
        let StreamStatus { is_stopped, is_caught_up, .. } = *self.status.borrow();
        if is_stopped || !is_caught_up {
            return;
        }
        let now = Instant::now();
        if let Some(text) = self.queue.take_due(now) {
            self.append(text);
        }
        if let Some(at) = self.queue.wake_at() {
            self.wake_at(at);
        } else if let Some(at) = self.checkpoint_due.filter(|it| *it > now) {
            self.wake_at(at);
        }
    }

    fn wake_at(&mut self, at: Instant) {
        if self.next_wake.is_some_and(|it| it <= at) {
            return;
        }
        self.next_wake = Some(at);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            let _ = myself.cast(StreamMessage::Wake);
        });
    }

    fn append(&self, text: AppendText) {
        let myself = self.myself.clone();
        let shared = self.shared.clone();
        let stream = self.rules.stream.clone();
        tokio::spawn(async move {
            let append = shared.client.append(&stream, text.data);
            let answer = tokio::time::timeout(shared.timing.call_timeout, append).await;
            let result = answer.unwrap_or(Err(LogError::Unanswered));
            let _ = myself.cast(StreamMessage::Appended { sequence: text.sequence, result });
        });
    }

    fn take_append(&mut self, sequence: u64, result: Result<Offset, LogError>) {
        let now = Instant::now();
        match result {
            Ok(offset) => {
                self.queue.answered(sequence, offset);
                self.queue.repeat_missing(self.fold.through(), now);
                self.hasten_read(offset);
            }
            Err(error) => {
                log::debug!("event=append_failed stream={} error={error}", self.rules.stream);
                self.queue.failed(sequence, error.is_unsent(), now);
            }
        }
    }

    /// Begins the read anew if the offset isn't read soon: its connection may be dead
    fn hasten_read(&mut self, offset: Offset) {
        if self.fold.through() >= offset {
            return;
        }
        let generation = self.generation;
        let myself = self.myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep(READ_LAG).await;
            let answer = ReadAnswer::Failed(LogError::Unanswered);
            let _ = myself.cast(StreamMessage::Read { generation, answer });
        });
    }

    // Checkpoints

    fn checkpoint_interval(&mut self) -> Duration {
        let interval = self.shared.timing.retention / CHECKPOINTS_PER_RETENTION;
        interval.mul_f64(1.0 - self.rng.random_range(0.0..CHECKPOINT_JITTER))
    }

    fn note_checkpoint(&mut self, time_ms: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(time_ms));
        let interval = self.checkpoint_interval();
        let due = Instant::now() + interval.saturating_sub(age);
        self.checkpoint_due = Some(due);
        self.wake_at(due);
    }

    /// Plans a first checkpoint where none has been met
    fn plan_checkpoint(&mut self, now: Instant) {
        let is_wanted = self.rules.start == StreamStart::Checkpoint && self.fold.through() > 0;
        if is_wanted && self.rebuild.is_none() && self.checkpoint_due.is_none() {
            let due = now + self.checkpoint_interval();
            self.checkpoint_due = Some(due);
            self.wake_at(due);
        }
    }

    fn write_checkpoint(&mut self) {
        let now = Instant::now();
        let is_due = self.checkpoint_due.is_some_and(|due| due <= now);
        let is_able = self.rebuild.is_none() && self.queue.is_idle();
        if !is_due || !is_able || !self.status.borrow().is_caught_up {
            return;
        }
        match self.queue.start_checkpoint(self.fold.checkpoint(), now) {
            Ok(()) => log::info!(
                "event=checkpoint stream={} through={}",
                self.rules.stream,
                self.fold.through()
            ),
            Err(fault) => {
                log::error!("event=checkpoint_failed stream={} fault={fault}", self.rules.stream);
            }
        }
        let due = now + self.checkpoint_interval() / 4;
        self.checkpoint_due = Some(due);
        self.wake_at(due);
    }
}
