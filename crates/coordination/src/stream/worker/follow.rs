//! Reading a stream and folding what comes.

use super::StreamWorker;
use crate::stream::reader::{self, ReadAnswer};
use crate::stream::rebuild::RebuildBuffer;
use crate::stream::{StreamData, StreamMessage, StreamStart};
use catalogue::id::Offset;
use platform::log::{LogBatch, LogRecord};
use rand::Rng;
use state::stream::{FoldFault, Folded, RecordText, StreamFold};
use std::time::Duration;
use tokio::time::Instant;

/// Time without an answer from the log, beyond a read's wait, after which peers are asked too.
const DOUBT_AFTER: Duration = Duration::from_secs(1);

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

    pub(super) fn abort_read(&mut self) {
        if let Some(read) = self.read.take() {
            read.abort();
        }
    }

    pub(super) fn take_answer(&mut self, answer: ReadAnswer) {
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

    /// Folds the next record; false if reading has to begin anew
    fn fold_record(&mut self, record: LogRecord, is_from_log: bool) -> bool {
        let LogRecord { offset, time_ms, data } = &record;
        let text = RecordText { offset: *offset, time_ms: *time_ms, data };
        match self.fold.fold(text, self.rules.apply) {
            Ok(Folded::Old) => return true,
            Ok(folded) => self.take_folded(folded),
            Err(fault) if !self.passes_over(&fault, is_from_log) => return false,
            Err(_) => self.fold.skip(),
        }
        let through = self.fold.through();
        self.status.send_modify(|it| it.through = through);
        self.recent.push(record);
        true
    }

    fn take_folded(&mut self, folded: Folded<O>) {
        match folded {
            Folded::Items { writer, sequence, outcomes } if writer == self.shared.writer => {
                self.queue.judged(sequence, outcomes);
            }
            Folded::Checkpoint { writer, sequence, time_ms } => {
                if writer == self.shared.writer {
                    self.queue.judged(sequence, []);
                }
                self.note_checkpoint(time_ms);
            }
            Folded::Items { .. } | Folded::Duplicate | Folded::Old => {}
        }
    }

    /// Whether the next record is to be passed over by everyone
    fn passes_over(&mut self, fault: &FoldFault, is_from_log: bool) -> bool {
        let stream = &self.rules.stream;
        match fault {
            FoldFault::Damaged(offset) => return self.is_damaged_for_all(*offset, is_from_log),
            FoldFault::Gap { .. } => log::warn!("event=read_gap stream={stream} fault={fault}"),
            FoldFault::Stop { .. } => {
                log::error!("event=stream_stopped stream={stream} fault={fault}");
                self.status.send_modify(|it| it.is_stopped = true);
            }
        }
        false
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
}
