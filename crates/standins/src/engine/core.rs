//! State of an engine; every method takes the current time as an argument.

use super::batch::SequenceBatch;
use super::cache::{EventJournal, PrefixCache};
use super::record::{EngineExecution, OrderRecord};
use super::sequence::{PrefillDone, Sequence, SequenceSink};
use super::settings::EngineSettings;
use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, ModelName, OrderId, TokenCount};
use catalogue::prefix::PieceHash;
use indexmap::IndexMap;
use platform::engine::{EngineState, LoadReport, RefusalReason};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const REPORT_STEP: Duration = Duration::from_millis(50);
const MAX_REPORTS: usize = 256;
const MAX_EXPORTS: usize = 512;

/// Cache of a prompt that another engine may import
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct ExportedCache {
    pub(super) model: ModelName,
    pub(super) prompt_tokens: TokenCount,
    pub(super) pieces: Vec<PieceHash>,
}

/// State of an engine, without its server
pub(super) struct EngineCore {
    pub(super) id: EndpointId,
    pub(super) settings: EngineSettings,
    pub(super) batch: SequenceBatch,
    pub(super) cache: PrefixCache,
    pub(super) target: ModelTarget,
    pub(super) changing: Option<ChangeProgress>,
    pub(super) leaving: bool,
    pub(super) paused: bool,
    pub(super) is_down: bool,
    pub(super) fence: Fence,
    pub(super) order: OrderId,
    pub(super) orders: Vec<OrderRecord>,
    pub(super) executions: Vec<EngineExecution>,
    pub(super) crashes: u32,
    exports: IndexMap<u64, ExportedCache>,
    next_export: u64,
    reports: VecDeque<(Instant, LoadReport)>,
    report_sequence: u64,
    prompt_tokens_done: u64,
    output_tokens_done: u64,
}

/// Change of role or model in progress
#[derive(Debug, Clone)]
pub(super) struct ChangeProgress {
    pub(super) until: Instant,
    pub(super) previous: ModelTarget,
}

/// Next action of the engine's task
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Call `advance` again at this time
    At(Instant),
    /// Wait for a notification
    Idle,
    /// Crash: a prompt with the crashing text entered the batch
    Crash,
}

impl EngineCore {
    pub(super) fn new(id: EndpointId, settings: EngineSettings) -> EngineCore {
        let lag = Duration::from_millis(settings.event_lag_ms);
        let journal = EventJournal::new(lag, settings.event_loss, settings.seed);
        EngineCore {
            id,
            batch: SequenceBatch::default(),
            cache: PrefixCache::new(settings.cache_pieces, journal),
            target: settings.target.clone(),
            changing: None,
            leaving: false,
            paused: false,
            is_down: false,
            fence: 0,
            order: 0,
            orders: Vec::new(),
            executions: Vec::new(),
            crashes: 0,
            exports: IndexMap::new(),
            next_export: 1,
            reports: VecDeque::new(),
            report_sequence: 0,
            prompt_tokens_done: 0,
            output_tokens_done: 0,
            settings,
        }
    }

    /// Runs all steps that end by `now`
    pub(super) fn advance(&mut self, now: Instant) -> NextStep {
        self.finish_change(now);
        if self.paused || self.is_down {
            return NextStep::Idle;
        }
        loop {
            match self.batch.step_end() {
                Some(ends) if ends > now => return NextStep::At(ends),
                Some(_) => self.finish_step(),
                None => {}
            }
            self.batch.drop_expired(now);
            if self.admit() {
                return NextStep::Crash;
            }
            if self.batch.start_step(&self.settings.speed, now).is_none() {
                self.snapshot(now, true);
                return NextStep::Idle;
            }
            self.snapshot(now, false);
        }
    }

    /// Ends a change that is due by `now`
    pub(super) fn finish_change(&mut self, now: Instant) {
        if self.changing.as_ref().is_some_and(|it| it.until <= now) {
            self.changing = None;
        }
    }

    /// Reason for which new work is refused, if any
    pub(super) fn refusal(&self) -> Option<RefusalReason> {
        if self.leaving {
            return Some(RefusalReason::Leaving);
        }
        if self.changing.is_some() {
            return Some(RefusalReason::Changing);
        }
        let is_full = self.batch.waiting() >= self.settings.speed.waiting_limit as usize;
        is_full.then_some(RefusalReason::Full)
    }

    /// Whether `model` is loaded
    pub(super) fn serves(&self, model: &str) -> bool {
        self.target.model == model
    }

    pub(super) fn state(&mut self, now: Instant) -> EngineState {
        self.finish_change(now);
        EngineState {
            engine: self.id.clone(),
            target: self.target.clone(),
            ready: self.changing.is_none() && !self.leaving,
            checks_fence: self.settings.checks_fence,
            fence: self.fence,
            order: self.order,
            in_flight: (self.batch.running() + self.batch.waiting()) as u32,
        }
    }

    /// Newest report that is at least as old as the report lag
    pub(super) fn report(&mut self, now: Instant) -> LoadReport {
        self.snapshot(now, false);
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
        let visible = self.reports.front().map(|(at, report)| (*at, report.clone()));
        let (at, mut report) = visible.unwrap_or_else(|| (now, self.measure()));
        report.age_ms = (now - at).as_millis() as u64;
        report
    }

    pub(super) fn export(&self, id: u64) -> Option<&ExportedCache> {
        self.exports.get(&id)
    }

    /// Discards all work and all cached pieces, like a process that has crashed
    pub(super) fn reset(&mut self, now: Instant) {
        self.batch.drain();
        self.cache.clear(now);
        self.exports.clear();
        self.is_down = true;
        self.crashes += 1;
        // A change that isn't complete doesn't survive the crash.
        if let Some(change) = self.changing.take() {
            self.target = change.previous;
        }
    }

    fn admit(&mut self) -> bool {
        let admitted = self.batch.admit(self.settings.speed.batch_limit);
        let mut has_crashing = false;
        for rank in admitted {
            let Some(sequence) = self.batch.running_mut(rank) else {
                continue;
            };
            has_crashing |= sequence.crashes_engine;
            let cached = self.cache.use_prefix(&sequence.pieces).min(sequence.prompt_tokens);
            if sequence.prefill_left > 0 {
                sequence.cached_tokens = cached;
                // At least one token is always prefilled, to generate the first output token.
                sequence.prefill_left = (sequence.prompt_tokens - cached).max(1);
            }
        }
        has_crashing
    }

    fn finish_step(&mut self) {
        let outcome = self.batch.finish_step();
        self.prompt_tokens_done += u64::from(outcome.prompt_tokens);
        self.output_tokens_done += u64::from(outcome.output_tokens);
        let Some(at) = outcome.ends else {
            return;
        };
        for sequence in &outcome.done {
            self.cache.insert(&sequence.pieces, at);
        }
        for rank in outcome.prefilled {
            self.finish_prompt(rank, at);
        }
    }

    fn finish_prompt(&mut self, rank: super::batch::SequenceRank, at: Instant) {
        let Some(sequence) = self.batch.running_mut(rank) else {
            return;
        };
        let pieces = sequence.pieces.clone();
        let is_export = matches!(sequence.sink, SequenceSink::Export(_));
        self.cache.insert(&pieces, at);
        if is_export && let Some(sequence) = self.batch.take_running(rank) {
            self.store_export(sequence);
        }
    }

    fn store_export(&mut self, sequence: Sequence) {
        let export = self.next_export;
        self.next_export += 1;
        let prompt_tokens = sequence.prompt_tokens;
        let cached_tokens = sequence.cached_tokens;
        let cache = ExportedCache { model: sequence.model, prompt_tokens, pieces: sequence.pieces };
        self.exports.insert(export, cache);
        if self.exports.len() > MAX_EXPORTS {
            self.exports.shift_remove_index(0);
        }
        if let SequenceSink::Export(sender) = sequence.sink {
            let _ = sender.send(Ok(PrefillDone { export, prompt_tokens, cached_tokens }));
        }
    }

    fn snapshot(&mut self, now: Instant, is_due: bool) {
        let is_old = self.reports.back().is_none_or(|(at, _)| *at + REPORT_STEP <= now);
        if !is_due && !is_old {
            return;
        }
        self.report_sequence += 1;
        let report = self.measure();
        self.reports.push_back((now, report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    fn measure(&self) -> LoadReport {
        let speed = &self.settings.speed;
        LoadReport {
            sequence: self.report_sequence,
            age_ms: 0,
            role: self.target.role,
            accepting: self.refusal().is_none(),
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            queued_prompt_tokens: self.batch.sequences().map(|it| u64::from(it.prefill_left)).sum(),
            queued_output_tokens: self
                .batch
                .sequences()
                .map(|it| u64::from(it.output_left()))
                .sum(),
            prefill_tokens_per_s: speed.prefill_tokens_per_s * speed.factor,
            decode_tokens_per_s: speed.decode_tokens_per_s(),
            batch_limit: speed.batch_limit,
            prompt_tokens_done: self.prompt_tokens_done,
            output_tokens_done: self.output_tokens_done,
        }
    }
}
