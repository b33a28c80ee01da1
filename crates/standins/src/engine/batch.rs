//! Continuous batching: selects the requests of each step and applies its results.

use super::sequence::{Sequence, SequenceSink};
use super::settings::EngineSpeed;
use catalogue::id::TokenCount;
use platform::engine::RefusalReason;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Scheduling order: priority, then arrival
pub(super) type SequenceRank = (u8, u64);

/// Waiting and running requests
#[derive(Default)]
pub(super) struct SequenceBatch {
    waiting: BTreeMap<SequenceRank, Sequence>,
    running: BTreeMap<SequenceRank, Sequence>,
    arrivals: u64,
    step: Option<BatchStep>,
    // The next step starts here, so that timer delays don't add up.
    last_step_end: Option<Instant>,
}

struct BatchStep {
    ends: Instant,
    prefills: Vec<(SequenceRank, TokenCount)>,
    decoding: Vec<SequenceRank>,
}

/// Results of a step
#[derive(Default)]
pub(super) struct StepOutcome {
    pub(super) ends: Option<Instant>,
    pub(super) prompt_tokens: TokenCount,
    pub(super) output_tokens: TokenCount,
    /// Requests whose prefill is complete
    pub(super) prefilled: Vec<SequenceRank>,
    /// Requests whose answer is complete
    pub(super) done: Vec<Sequence>,
}

impl SequenceBatch {
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn sequences(&self) -> impl Iterator<Item = &Sequence> {
        self.running.values().chain(self.waiting.values())
    }

    pub(super) fn push(&mut self, sequence: Sequence) {
        self.arrivals += 1;
        self.waiting.insert((sequence.priority, self.arrivals), sequence);
    }

    /// Removes a request by its id
    pub(super) fn remove(&mut self, request: &str) -> Option<Sequence> {
        for sequences in [&mut self.running, &mut self.waiting] {
            let rank =
                sequences.iter().find(|(_, it)| it.request == request).map(|(rank, _)| *rank);
            if let Some(rank) = rank {
                return sequences.remove(&rank);
            }
        }
        None
    }

    /// Removes all requests
    pub(super) fn drain(&mut self) -> Vec<Sequence> {
        self.step = None;
        self.last_step_end = None;
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_values().chain(waiting.into_values()).collect()
    }

    pub(super) fn running_mut(&mut self, rank: SequenceRank) -> Option<&mut Sequence> {
        self.running.get_mut(&rank)
    }

    pub(super) fn take_running(&mut self, rank: SequenceRank) -> Option<Sequence> {
        self.running.remove(&rank)
    }

    /// Drops abandoned requests and stops those whose deadline has passed
    pub(super) fn drop_expired(&mut self, now: Instant) {
        self.running.retain(|_, it| !it.is_abandoned());
        self.waiting.retain(|_, it| !it.is_abandoned());
        let overdue: Vec<SequenceRank> = self
            .waiting
            .iter()
            .filter(|(_, it)| it.deadline <= now)
            .map(|(rank, _)| *rank)
            .collect();
        for rank in overdue {
            if let Some(sequence) = self.waiting.remove(&rank) {
                sequence.stop(RefusalReason::TooLate);
            }
        }
    }

    /// Resumes after a pause; the step in progress ends no earlier than `now`
    pub(super) fn resume(&mut self, now: Instant) {
        self.last_step_end = None;
        if let Some(step) = &mut self.step {
            step.ends = step.ends.max(now);
        }
    }

    /// End of the step in progress
    pub(super) fn step_end(&self) -> Option<Instant> {
        self.step.as_ref().map(|it| it.ends)
    }

    /// Moves waiting requests, the most urgent first, into the batch until it has `limit` requests
    pub(super) fn admit(&mut self, limit: u32) -> Vec<SequenceRank> {
        let mut admitted = Vec::new();
        while self.running.len() < limit as usize {
            let Some((rank, sequence)) = self.waiting.pop_first() else {
                break;
            };
            self.running.insert(rank, sequence);
            admitted.push(rank);
        }
        admitted
    }

    /// Starts the next step and returns its end; `None` if there is nothing to do
    pub(super) fn start_step(&mut self, speed: &EngineSpeed, now: Instant) -> Option<Instant> {
        let mut budget = speed.chunk_tokens;
        let mut prefills = Vec::new();
        let mut decoding = Vec::new();
        for (rank, sequence) in &self.running {
            if sequence.decodes() {
                decoding.push(*rank);
            } else if budget > 0 {
                let tokens = sequence.prefill_left.min(budget);
                budget -= tokens;
                prefills.push((*rank, tokens));
            }
        }
        if prefills.is_empty() && decoding.is_empty() {
            self.last_step_end = None;
            return None;
        }
        let time = speed.step_time(decoding.len(), speed.chunk_tokens - budget);
        let ends = self.last_step_end.unwrap_or(now) + time;
        self.step = Some(BatchStep { ends, prefills, decoding });
        Some(ends)
    }

    /// Ends the step in progress
    pub(super) fn finish_step(&mut self) -> StepOutcome {
        let Some(step) = self.step.take() else {
            return StepOutcome::default();
        };
        self.last_step_end = Some(step.ends);
        let mut outcome = StepOutcome { ends: Some(step.ends), ..StepOutcome::default() };
        for (rank, tokens) in step.prefills {
            self.finish_prefill(rank, tokens, &mut outcome);
        }
        for rank in step.decoding {
            self.emit(rank, &mut outcome);
        }
        outcome
    }

    fn finish_prefill(
        &mut self,
        rank: SequenceRank,
        tokens: TokenCount,
        outcome: &mut StepOutcome,
    ) {
        let Some(sequence) = self.running.get_mut(&rank) else {
            return;
        };
        sequence.prefill_left -= tokens;
        outcome.prompt_tokens += tokens;
        if sequence.prefill_left == 0 {
            outcome.prefilled.push(rank);
            // The step that completes the prefill also generates the first token.
            self.emit(rank, outcome);
        }
    }

    fn emit(&mut self, rank: SequenceRank, outcome: &mut StepOutcome) {
        let Some(sequence) = self.running.get_mut(&rank) else {
            return;
        };
        let SequenceSink::Tokens(sink) = &mut sequence.sink else {
            return;
        };
        outcome.output_tokens += 1;
        if sink.emit() {
            sink.end(sequence.prompt_tokens, sequence.cached_tokens);
            outcome.done.extend(self.running.remove(&rank));
        }
    }
}
