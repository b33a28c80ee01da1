//! Queue of items to append to a stream.
//!
//! One record is in flight at a time. Its append is retried under the same sequence
//! number until the fold reads the record or no submitter waits for it any more. The
//! next record gets a higher number; the fold then ignores late copies of the earlier
//! one.

use super::SubmitError;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::record::{RecordFault, Sequence, WriterId, encode};
use state::stream::{Checkpoint, StreamBody};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Channel for the outcome of a submission
pub(super) type OutcomeSender<O> = oneshot::Sender<Result<O, SubmitError>>;

/// Item and the channel to its submitter
#[derive(Debug)]
pub(super) struct Submission<I, O> {
    pub(super) ticket: u64,
    pub(super) item: I,
    pub(super) reply: OutcomeSender<O>,
}

/// Record being appended, which may already be in the stream
#[derive(Debug)]
struct InFlightRecord<I, O> {
    sequence: Sequence,
    data: String,
    /// Submissions in the order of the items; `None` if the submitter gave up
    submissions: Vec<Option<Submission<I, O>>>,
    is_checkpoint: bool,
    is_appending: bool,
    may_be_appended: bool,
    appended_at: Option<u64>,
    due: Instant,
}

/// Encoded record and its sequence number
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AppendText {
    pub(super) sequence: Sequence,
    pub(super) data: String,
}

/// Limits of the queue
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueBounds {
    pub(super) max_items: usize,
    pub(super) pacing: Duration,
    pub(super) retry_delay: Duration,
    pub(super) max_retry_delay: Duration,
}

/// Waiting items and the record in flight
#[derive(Debug)]
pub(super) struct AppendQueue<I, O> {
    writer: WriterId,
    bounds: QueueBounds,
    sequence: Sequence,
    waiting: VecDeque<Submission<I, O>>,
    in_flight: Option<InFlightRecord<I, O>>,
    next_start: Instant,
    retry_delay: Duration,
    rng: SmallRng,
}

impl<I: serde::Serialize, O> AppendQueue<I, O> {
    pub(super) fn new(
        writer: WriterId,
        bounds: QueueBounds,
        seed: u64,
        now: Instant,
    ) -> AppendQueue<I, O> {
        let waiting = VecDeque::new();
        let retry_delay = bounds.retry_delay;
        AppendQueue {
            writer,
            bounds,
            sequence: 0,
            waiting,
            in_flight: None,
            next_start: now,
            retry_delay,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(super) fn push(&mut self, submission: Submission<I, O>) {
        self.waiting.push_back(submission);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.waiting.is_empty()
    }

    /// Sequence number of the record in flight
    pub(super) fn in_flight_sequence(&self) -> Option<Sequence> {
        self.in_flight.as_ref().map(|it| it.sequence)
    }

    /// Text to append now, if one is due
    pub(super) fn take_due(&mut self, now: Instant) -> Option<AppendText> {
        if self.in_flight.is_none() {
            self.start_items(now);
        }
        let in_flight = self.in_flight.as_mut()?;
        if in_flight.is_appending || in_flight.appended_at.is_some() || in_flight.due > now {
            return None;
        }
        in_flight.is_appending = true;
        Some(AppendText { sequence: in_flight.sequence, data: in_flight.data.clone() })
    }

    /// Earliest time at which `take_due` can return a record
    pub(super) fn wake_at(&self) -> Option<Instant> {
        match &self.in_flight {
            Some(in_flight) if in_flight.is_appending || in_flight.appended_at.is_some() => None,
            Some(in_flight) => Some(in_flight.due),
            None if self.waiting.is_empty() => None,
            None => Some(self.next_start),
        }
    }

    fn start_items(&mut self, now: Instant) {
        if self.next_start > now || self.waiting.is_empty() {
            return;
        }
        let count = self.waiting.len().min(self.bounds.max_items);
        let submissions: Vec<_> = self.waiting.drain(..count).collect();
        let items = submissions.iter().map(|it| &it.item).collect();
        let body = StreamBody::<(), &I>::Items(items);
        // Submissions whose items have no JSON form are dropped, which closes the reply channels.
        if let Ok(data) = encode(&self.writer, self.sequence + 1, &body) {
            self.start_record(data, submissions.into_iter().map(Some).collect(), now);
        }
    }

    /// Starts to append a checkpoint if no record is in flight
    pub(super) fn start_checkpoint<S: serde::Serialize>(
        &mut self,
        checkpoint: Checkpoint<S>,
        now: Instant,
    ) -> Result<(), RecordFault> {
        if self.in_flight.is_some() {
            return Ok(());
        }
        let body = StreamBody::<S, ()>::Checkpoint(checkpoint);
        let data = encode(&self.writer, self.sequence + 1, &body)?;
        self.start_record(data, Vec::new(), now);
        Ok(())
    }

    fn start_record(
        &mut self,
        data: String,
        submissions: Vec<Option<Submission<I, O>>>,
        now: Instant,
    ) {
        self.sequence += 1;
        self.next_start = now + self.bounds.pacing;
        self.in_flight = Some(InFlightRecord {
            sequence: self.sequence,
            data,
            is_checkpoint: submissions.is_empty(),
            submissions,
            is_appending: false,
            may_be_appended: false,
            appended_at: None,
            due: now,
        });
    }

    /// Records the offset that the log assigned to the record in flight
    pub(super) fn appended(&mut self, sequence: Sequence, offset: u64) {
        if let Some(in_flight) = self.in_flight.as_mut().filter(|it| it.sequence == sequence) {
            in_flight.is_appending = false;
            in_flight.may_be_appended = true;
            in_flight.appended_at = Some(offset);
        }
    }

    /// Handles a failed append: a record that certainly isn't in the stream goes back to
    /// the queue, one that may be there is retried
    pub(super) fn failed(&mut self, sequence: Sequence, is_unsent: bool, now: Instant) {
        let delay = self.retry_delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry_delay = (2 * self.retry_delay).min(self.bounds.max_retry_delay);
        let Some(in_flight) = self.in_flight.as_mut().filter(|it| it.sequence == sequence) else {
            return;
        };
        in_flight.is_appending = false;
        in_flight.may_be_appended |= !is_unsent;
        in_flight.due = now + delay;
        if !in_flight.may_be_appended {
            self.next_start = self.next_start.max(now + delay);
            self.requeue();
        }
        self.drop_abandoned();
    }

    fn requeue(&mut self) {
        let submissions = self.in_flight.take().map(|it| it.submissions).unwrap_or_default();
        for submission in submissions.into_iter().flatten().rev() {
            self.waiting.push_front(submission);
        }
    }

    /// Retries the record if the fold has passed its offset without reading it
    pub(super) fn retry_missing(&mut self, through: u64, now: Instant) {
        let is_missing =
            |it: &&mut InFlightRecord<I, O>| it.appended_at.is_some_and(|at| at <= through);
        if let Some(in_flight) = self.in_flight.as_mut().filter(is_missing) {
            in_flight.appended_at = None;
            in_flight.due = now;
        }
    }

    /// Sends the fold's outcomes to the submitters
    pub(super) fn complete(&mut self, sequence: Sequence, outcomes: impl IntoIterator<Item = O>) {
        if self.in_flight_sequence() != Some(sequence) {
            return;
        }
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.retry_delay = self.bounds.retry_delay;
        for (submission, outcome) in in_flight.submissions.into_iter().zip(outcomes) {
            if let Some(submission) = submission {
                let _ = submission.reply.send(Ok(outcome));
            }
        }
    }

    /// Drops the record in flight if its number is at most `last_sequence`; its submitters
    /// get `Unknown`
    pub(super) fn abandon_through(&mut self, last_sequence: Sequence) {
        if self.in_flight_sequence().is_some_and(|it| it <= last_sequence)
            && let Some(in_flight) = self.in_flight.take()
        {
            for submission in in_flight.submissions.into_iter().flatten() {
                let _ = submission.reply.send(Err(SubmitError::Unknown));
            }
        }
    }

    /// Replies to a submitter whose deadline has passed
    pub(super) fn give_up(&mut self, ticket: u64) {
        if let Some(index) = self.waiting.iter().position(|it| it.ticket == ticket) {
            if let Some(submission) = self.waiting.remove(index) {
                let _ = submission.reply.send(Err(SubmitError::Down));
            }
            return;
        }
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        let is_ticket = |it: &&mut Option<Submission<I, O>>| {
            it.as_ref().is_some_and(|submission| submission.ticket == ticket)
        };
        let found = in_flight.submissions.iter_mut().find(is_ticket);
        if let Some(submission) = found.and_then(Option::take) {
            let _ = submission.reply.send(Err(SubmitError::Unknown));
        }
        self.drop_abandoned();
    }

    /// Drops the record in flight if no submitter waits for it any more
    fn drop_abandoned(&mut self) {
        let is_abandoned = |it: &InFlightRecord<I, O>| {
            let has_waiters = it.submissions.iter().any(Option::is_some);
            !it.is_appending && it.appended_at.is_none() && !it.is_checkpoint && !has_waiters
        };
        if self.in_flight.as_ref().is_some_and(is_abandoned) {
            self.in_flight = None;
        }
    }

    /// Replies to all submitters that the stream has stopped
    pub(super) fn stop(&mut self) {
        for submission in self.waiting.drain(..) {
            let _ = submission.reply.send(Err(SubmitError::Stopped));
        }
        self.abandon_through(Sequence::MAX);
    }
}
