//! Appends items and checkpoints.

use super::StreamWorker;
use crate::stream::queue::AppendText;
use crate::stream::reader::ReadAnswer;
use crate::stream::{StreamData, StreamMessage, StreamStart, StreamStatus};
use catalogue::id::Offset;
use platform::log::LogError;
use rand::Rng;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Time within which an appended record must be read; after it, the read is restarted.
const APPEND_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// How many times per log retention a checkpoint is written.
const CHECKPOINTS_PER_RETENTION: u32 = 4;
/// Maximum fraction by which instances shorten the interval between checkpoints at random.
const CHECKPOINT_JITTER: f64 = 0.25;

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> StreamWorker<S, I, O> {
    /// Starts the append that is due, if any, and schedules the next wake-up
    pub(super) fn append_due(&mut self) {
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
        let stream = self.options.stream.clone();
        tokio::spawn(async move {
            let append = shared.client.append(&stream, text.data);
            let answer = tokio::time::timeout(shared.timing.call_timeout, append).await;
            let result = answer.unwrap_or(Err(LogError::Unanswered));
            let _ = myself.cast(StreamMessage::Appended { sequence: text.sequence, result });
        });
    }

    pub(super) fn handle_append(&mut self, sequence: u64, result: Result<Offset, LogError>) {
        let now = Instant::now();
        match result {
            Ok(offset) => {
                self.queue.appended(sequence, offset);
                self.queue.retry_missing(self.fold.through(), now);
                self.restart_stalled_read(offset);
            }
            Err(error) => {
                log::debug!("event=append_failed stream={} error={error}", self.options.stream);
                self.queue.failed(sequence, error.had_no_effect(), now);
            }
        }
    }

    /// Restarts the read if the offset isn't read soon: its connection may be dead
    fn restart_stalled_read(&mut self, offset: Offset) {
        if self.fold.through() >= offset {
            return;
        }
        let generation = self.generation;
        let myself = self.myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep(APPEND_READ_TIMEOUT).await;
            let answer = ReadAnswer::Failed(LogError::Unanswered);
            let _ = myself.cast(StreamMessage::Read { generation, answer });
        });
    }

    fn checkpoint_interval(&mut self) -> Duration {
        let interval = self.shared.timing.retention / CHECKPOINTS_PER_RETENTION;
        interval.mul_f64(1.0 - self.rng.random_range(0.0..CHECKPOINT_JITTER))
    }

    pub(super) fn schedule_next_checkpoint(&mut self, time_ms: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(time_ms));
        let interval = self.checkpoint_interval();
        let due = Instant::now() + interval.saturating_sub(age);
        self.checkpoint_due = Some(due);
        self.wake_at(due);
    }

    /// Schedules a first checkpoint if the stream has none so far
    pub(super) fn schedule_first_checkpoint(&mut self, now: Instant) {
        let is_wanted = self.options.start == StreamStart::Checkpoint && self.fold.through() > 0;
        if is_wanted && self.rebuild.is_none() && self.checkpoint_due.is_none() {
            let due = now + self.checkpoint_interval();
            self.checkpoint_due = Some(due);
            self.wake_at(due);
        }
    }

    pub(super) fn write_checkpoint(&mut self) {
        let now = Instant::now();
        let is_due = self.checkpoint_due.is_some_and(|due| due <= now);
        let is_ready = self.rebuild.is_none() && self.queue.is_idle();
        if !is_due || !is_ready || !self.status.borrow().is_caught_up {
            return;
        }
        match self.queue.start_checkpoint(self.fold.checkpoint(), now) {
            Ok(()) => log::info!(
                "event=checkpoint stream={} through={}",
                self.options.stream,
                self.fold.through()
            ),
            Err(fault) => {
                log::error!("event=checkpoint_failed stream={} fault={fault}", self.options.stream);
            }
        }
        let due = now + self.checkpoint_interval() / 4;
        self.checkpoint_due = Some(due);
        self.wake_at(due);
    }
}
