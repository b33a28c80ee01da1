//! Items on their way into a stream.
//!
//! One record is in flight at a time. It is repeated under its sequence number
//! until the fold meets it or nobody waits for it any more; then the next record
//! gets a higher number, after which the fold ignores late copies of the former.

use super::SubmitError;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::record::{RecordFault, Sequence, WriterId, encode};
use state::stream::{Checkpoint, StreamBody};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Where a verdict goes
pub(super) type VerdictSender<O> = oneshot::Sender<Result<O, SubmitError>>;

/// Item and who waits for the verdict on it
#[derive(Debug)]
pub(super) struct Submission<I, O> {
    pub(super) ticket: u64,
    pub(super) item: I,
    pub(super) reply: VerdictSender<O>,
}

/// Record that may be in the stream
#[derive(Debug)]
struct RecordFlight<I, O> {
    sequence: Sequence,
    data: String,
    /// Submissions by item; none for those that gave up
    submissions: Vec<Option<Submission<I, O>>>,
    is_checkpoint: bool,
    is_running: bool,
    may_have_landed: bool,
    answered: Option<u64>,
    due: Instant,
}

/// Text to append under a sequence number
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AppendText {
    pub(super) sequence: Sequence,
    pub(super) data: String,
}

/// Bounds of the queue
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueBounds {
    pub(super) max_items: usize,
    pub(super) pacing: Duration,
    pub(super) retry_delay: Duration,
    pub(super) max_retry_delay: Duration,
}

/// Items that wait and the record in flight
#[derive(Debug)]
pub(super) struct AppendQueue<I, O> {
    writer: WriterId,
    bounds: QueueBounds,
    sequence: Sequence,
    waiting: VecDeque<Submission<I, O>>,
    flight: Option<RecordFlight<I, O>>,
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
            flight: None,
            next_start: now,
            retry_delay,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(super) fn push(&mut self, submission: Submission<I, O>) {
        self.waiting.push_back(submission);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.flight.is_none() && self.waiting.is_empty()
    }

    /// Sequence number of the record in flight
    pub(super) fn flying(&self) -> Option<Sequence> {
        self.flight.as_ref().map(|it| it.sequence)
    }

    /// Text to append now, if one is due
    pub(super) fn take_due(&mut self, now: Instant) -> Option<AppendText> {
        if self.flight.is_none() {
            self.start_items(now);
        }
        let flight = self.flight.as_mut()?;
        if flight.is_running || flight.answered.is_some() || flight.due > now {
            return None;
        }
        flight.is_running = true;
        Some(AppendText { sequence: flight.sequence, data: flight.data.clone() })
    }

    /// Time at which `take_due` may have something
    pub(super) fn wake_at(&self) -> Option<Instant> {
        match &self.flight {
            Some(flight) if flight.is_running || flight.answered.is_some() => None,
            Some(flight) => Some(flight.due),
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
        // Submissions whose items have no JSON form are dropped, which tells their submitters.
        if let Ok(data) = encode(&self.writer, self.sequence + 1, &body) {
            self.launch(data, submissions.into_iter().map(Some).collect(), now);
        }
    }

    /// Puts a checkpoint in flight if nothing else is
    pub(super) fn start_checkpoint<S: serde::Serialize>(
        &mut self,
        checkpoint: Checkpoint<S>,
        now: Instant,
    ) -> Result<(), RecordFault> {
        if self.flight.is_some() {
            return Ok(());
        }
        let body = StreamBody::<S, ()>::Checkpoint(checkpoint);
        let data = encode(&self.writer, self.sequence + 1, &body)?;
        self.launch(data, Vec::new(), now);
        Ok(())
    }

    fn launch(&mut self, data: String, submissions: Vec<Option<Submission<I, O>>>, now: Instant) {
        self.sequence += 1;
        self.next_start = now + self.bounds.pacing;
        self.flight = Some(RecordFlight {
            sequence: self.sequence,
            data,
            is_checkpoint: submissions.is_empty(),
            submissions,
            is_running: false,
            may_have_landed: false,
            answered: None,
            due: now,
        });
    }

    /// Notes the offset that the log gave the record in flight
    pub(super) fn answered(&mut self, sequence: Sequence, offset: u64) {
        if let Some(flight) = self.flight.as_mut().filter(|it| it.sequence == sequence) {
            flight.is_running = false;
            flight.may_have_landed = true;
            flight.answered = Some(offset);
        }
    }

    /// Notes that an append failed: what certainly isn't in the stream waits anew, what
    /// may be there is repeated
    pub(super) fn failed(&mut self, sequence: Sequence, is_unsent: bool, now: Instant) {
        let delay = self.retry_delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry_delay = (2 * self.retry_delay).min(self.bounds.max_retry_delay);
        let Some(flight) = self.flight.as_mut().filter(|it| it.sequence == sequence) else {
            return;
        };
        flight.is_running = false;
        flight.may_have_landed |= !is_unsent;
        flight.due = now + delay;
        if !flight.may_have_landed {
            self.next_start = self.next_start.max(now + delay);
            self.dissolve();
        }
        self.drop_unwanted();
    }

    fn dissolve(&mut self) {
        let submissions = self.flight.take().map(|it| it.submissions).unwrap_or_default();
        for submission in submissions.into_iter().flatten().rev() {
            self.waiting.push_front(submission);
        }
    }

    /// Repeats the record that the log gave an offset at which the fold didn't meet it
    pub(super) fn repeat_missing(&mut self, through: u64, now: Instant) {
        let is_missing = |it: &&mut RecordFlight<I, O>| it.answered.is_some_and(|at| at <= through);
        if let Some(flight) = self.flight.as_mut().filter(is_missing) {
            flight.answered = None;
            flight.due = now;
        }
    }

    /// Hands the fold's verdicts to those who wait
    pub(super) fn judged(&mut self, sequence: Sequence, outcomes: impl IntoIterator<Item = O>) {
        if self.flying() != Some(sequence) {
            return;
        }
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.retry_delay = self.bounds.retry_delay;
        for (submission, outcome) in flight.submissions.into_iter().zip(outcomes) {
            if let Some(submission) = submission {
                let _ = submission.reply.send(Ok(outcome));
            }
        }
    }

    /// Ends the flight without verdicts, if its record is known to have been passed
    pub(super) fn passed(&mut self, last_sequence: Sequence) {
        if self.flying().is_some_and(|it| it <= last_sequence)
            && let Some(flight) = self.flight.take()
        {
            for submission in flight.submissions.into_iter().flatten() {
                let _ = submission.reply.send(Err(SubmitError::Unknown));
            }
        }
    }

    /// Tells a submitter whose time is up what is known
    pub(super) fn give_up(&mut self, ticket: u64) {
        if let Some(index) = self.waiting.iter().position(|it| it.ticket == ticket) {
            if let Some(submission) = self.waiting.remove(index) {
                let _ = submission.reply.send(Err(SubmitError::Down));
            }
            return;
        }
        let Some(flight) = &mut self.flight else {
            return;
        };
        let is_ticket = |it: &&mut Option<Submission<I, O>>| {
            it.as_ref().is_some_and(|submission| submission.ticket == ticket)
        };
        let found = flight.submissions.iter_mut().find(is_ticket);
        if let Some(submission) = found.and_then(Option::take) {
            let _ = submission.reply.send(Err(SubmitError::Unknown));
        }
        self.drop_unwanted();
    }

    /// Drops a record in flight that nobody waits for any more
    fn drop_unwanted(&mut self) {
        let is_unwanted = |it: &RecordFlight<I, O>| {
            let is_waited_for = it.submissions.iter().any(Option::is_some);
            !it.is_running && it.answered.is_none() && !it.is_checkpoint && !is_waited_for
        };
        if self.flight.as_ref().is_some_and(is_unwanted) {
            self.flight = None;
        }
    }

    /// Tells all who wait that the stream has stopped
    pub(super) fn stop(&mut self) {
        for submission in self.waiting.drain(..) {
            let _ = submission.reply.send(Err(SubmitError::Stopped));
        }
        self.passed(Sequence::MAX);
    }
}
