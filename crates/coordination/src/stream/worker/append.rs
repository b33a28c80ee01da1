//! Appending items and checkpoints.

use super::StreamWorker;
use crate::stream::queue::AppendText;
use crate::stream::reader::ReadAnswer;
use crate::stream::{StreamData, StreamMessage, StreamStart, StreamStatus};
use catalogue::id::Offset;
use platform::log::LogError;
use rand::Rng;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Time for an answered append to be read before the read is begun anew.
const READ_LAG: Duration = Duration::from_millis(250);
/// Checkpoints are a retention divided by this apart.
const CHECKPOINTS_PER_RETENTION: u32 = 4;
/// Part of the time between checkpoints by which instances vary it.
const CHECKPOINT_JITTER: f64 = 0.25;

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> StreamWorker<S, I, O> {
    /// Sends what is due and sees to being woken for what will be
    pub(super) fn pump(&mut self) {
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

    pub(super) fn take_append(&mut self, sequence: u64, result: Result<Offset, LogError>) {
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

    fn checkpoint_interval(&mut self) -> Duration {
        let interval = self.shared.timing.retention / CHECKPOINTS_PER_RETENTION;
        interval.mul_f64(1.0 - self.rng.random_range(0.0..CHECKPOINT_JITTER))
    }

    pub(super) fn note_checkpoint(&mut self, time_ms: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(time_ms));
        let interval = self.checkpoint_interval();
        let due = Instant::now() + interval.saturating_sub(age);
        self.checkpoint_due = Some(due);
        self.wake_at(due);
    }

    /// Plans a first checkpoint where none has been met
    pub(super) fn plan_checkpoint(&mut self, now: Instant) {
        let is_wanted = self.rules.start == StreamStart::Checkpoint && self.fold.through() > 0;
        if is_wanted && self.rebuild.is_none() && self.checkpoint_due.is_none() {
            let due = now + self.checkpoint_interval();
            self.checkpoint_due = Some(due);
            self.wake_at(due);
        }
    }

    pub(super) fn write_checkpoint(&mut self) {
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
