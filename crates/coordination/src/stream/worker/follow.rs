//! Reads a stream and folds its records.

use super::StreamWorker;
use crate::stream::reader::{self, ReadAnswer};
use crate::stream::rebuild::RebuildBuffer;
use crate::stream::{StreamData, StreamMessage, StreamStart};
use catalogue::id::Offset;
use platform::log::{LogBatch, LogError, LogRecord};
use rand::Rng;
use state::stream::{FoldFault, FoldOutcome, RecordText, StreamFold};
use std::time::Duration;
use tokio::time::Instant;

/// Time without an answer from the log, beyond the long poll, after which peers are asked too.
const LOG_CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

impl<S: StreamData + Default, I: StreamData, O: Send + 'static> StreamWorker<S, I, O> {
    pub(super) fn start_read(&mut self, delay: Duration) {
        if self.status.borrow().is_stopped {
            return;
        }
        self.abort_read();
        self.generation += 1;
        let generation = self.generation;
        let collected = self.rebuild.as_ref().and_then(RebuildBuffer::next);
        let from = collected.unwrap_or(self.fold.through() + 1);
        let is_recent =
            |at: Instant| at.elapsed() <= LOG_CONTACT_TIMEOUT + self.shared.timing.long_poll;
        let should_ask_peers = !self.status.borrow().last_log_contact.is_some_and(is_recent);
        let stream = self.options.stream.clone();
        let shared = self.shared.clone();
        let limit = self.batch_limit;
        let myself = self.myself.clone();
        self.read = Some(tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let answer = reader::read(shared, stream, from, limit, should_ask_peers).await;
            let _ = myself.cast(StreamMessage::Read { generation, answer });
        }));
    }

    pub(super) fn abort_read(&mut self) {
        if let Some(read) = self.read.take() {
            read.abort();
        }
    }

    pub(super) fn handle_read(&mut self, answer: ReadAnswer) {
        let through = self.fold.through();
        let delay = match answer {
            ReadAnswer::Batch(batch) if batch.next <= through => {
                log::error!(
                    "event=log_behind stream={} through={through} next={}",
                    self.options.stream,
                    batch.next
                );
                self.back_off()
            }
            ReadAnswer::Batch(batch) => self.apply_batch(batch),
            ReadAnswer::Relayed(records) => self.apply_relayed(records),
            ReadAnswer::Failed(error) => {
                if matches!(error, LogError::Unanswered) {
                    self.batch_limit.record_unanswered();
                }
                log::debug!("event=log_read_failed stream={} error={error}", self.options.stream);
                self.back_off()
            }
        };
        if self.fold.through() != through {
            (self.options.publish)(self.fold.state());
        }
        self.queue.retry_missing(self.fold.through(), Instant::now());
        self.start_read(delay);
    }

    fn back_off(&mut self) -> Duration {
        let delay = self.read_delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.read_delay = (2 * self.read_delay).min(self.shared.timing.max_retry_delay);
        delay
    }

    fn apply_batch(&mut self, batch: LogBatch) -> Duration {
        self.read_delay = self.shared.timing.retry_delay;
        self.batch_limit.record_batch();
        let LogBatch { earliest, next, records } = batch;
        let collected = self.rebuild.as_ref().and_then(RebuildBuffer::next);
        if collected.unwrap_or(self.fold.through() + 1) < earliest {
            self.handle_gap(earliest);
        }
        for record in records {
            if !self.apply_record(record, true) {
                break;
            }
        }
        let now = Instant::now();
        let is_at_end = self.rebuild.is_none() && self.fold.through() + 1 >= next;
        self.status.send_modify(|it| {
            it.last_contact = Some(now);
            it.last_log_contact = Some(now);
            it.is_caught_up |= is_at_end;
        });
        if self.rebuild.is_some() && self.suspect_offset.is_none() {
            let next_read = self.rebuild.as_ref().and_then(RebuildBuffer::next);
            if next_read.unwrap_or(earliest) >= next {
                log::error!("event=checkpoint_missing stream={}", self.options.stream);
                return self.back_off();
            }
        }
        self.schedule_first_checkpoint(now);
        Duration::ZERO
    }

    fn apply_relayed(&mut self, records: Vec<LogRecord>) -> Duration {
        for record in records {
            if self.rebuild.is_some() || !self.apply_record(record, false) {
                break;
            }
        }
        self.status.send_modify(|it| it.last_contact = Some(Instant::now()));
        self.back_off()
    }

    /// Handles a gap: the log has deleted unread records before `earliest`
    fn handle_gap(&mut self, earliest: Offset) {
        log::warn!(
            "event=retention_gap stream={} through={} earliest={earliest}",
            self.options.stream,
            self.fold.through()
        );
        match self.options.start {
            StreamStart::Retained => {
                self.fold = StreamFold::empty_after(earliest - 1);
                self.queue.abandon_through(u64::MAX);
            }
            StreamStart::Checkpoint => self.rebuild = Some(RebuildBuffer::default()),
        }
    }

    /// Folds the next record or collects it for a rebuild; false if the read must restart
    fn apply_record(&mut self, record: LogRecord, is_from_log: bool) -> bool {
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
        self.queue.abandon_through(self.fold.last_sequence(&self.shared.writer));
        true
    }

    /// Folds the next record; false if the read must restart
    fn fold_record(&mut self, record: LogRecord, is_from_log: bool) -> bool {
        let LogRecord { offset, time_ms, data } = &record;
        let text = RecordText { offset: *offset, time_ms: *time_ms, data };
        match self.fold.fold(text, self.options.apply) {
            Ok(FoldOutcome::Old) => return true,
            Ok(folded) => self.handle_folded(folded),
            Err(fault) if !self.should_skip(&fault, is_from_log) => return false,
            Err(_) => self.fold.skip(),
        }
        let through = self.fold.through();
        self.status.send_modify(|it| it.through = through);
        self.recent.push(record);
        true
    }

    fn handle_folded(&mut self, folded: FoldOutcome<O>) {
        match folded {
            FoldOutcome::Items { writer, sequence, outcomes } if writer == self.shared.writer => {
                self.queue.complete(sequence, outcomes);
            }
            FoldOutcome::Checkpoint { writer, sequence, time_ms } => {
                if writer == self.shared.writer {
                    self.queue.complete(sequence, []);
                }
                self.schedule_next_checkpoint(time_ms);
            }
            FoldOutcome::Items { .. } | FoldOutcome::Duplicate | FoldOutcome::Old => {}
        }
    }

    /// Whether all instances skip the next record
    fn should_skip(&mut self, fault: &FoldFault, is_from_log: bool) -> bool {
        let stream = &self.options.stream;
        match fault {
            FoldFault::Damaged(offset) => return self.is_damaged_in_log(*offset, is_from_log),
            FoldFault::Gap { .. } => log::warn!("event=read_gap stream={stream} fault={fault}"),
            FoldFault::Stop { .. } => {
                log::error!("event=stream_stopped stream={stream} fault={fault}");
                self.status.send_modify(|it| it.is_stopped = true);
            }
        }
        false
    }

    /// Whether the log itself has returned the same damaged record twice
    fn is_damaged_in_log(&mut self, offset: Offset, is_from_log: bool) -> bool {
        if !is_from_log {
            return false;
        }
        if self.suspect_offset.replace(offset) != Some(offset) {
            return false;
        }
        self.suspect_offset = None;
        log::error!("event=record_damaged stream={} offset={offset}", self.options.stream);
        self.status.send_modify(|it| it.damaged_records += 1);
        true
    }
}
