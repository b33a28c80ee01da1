//! Simulated engine, which processes a batch of requests in steps.

use crate::SimTime;
use catalogue::EngineRole;
use decide::serving::cache::PromptCaches;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::prompt::PromptPrefix;
use std::collections::VecDeque;

/// Maximum number of requests waiting at an engine; further ones are declined. From the engine specification.
const MAX_WAITING: usize = 18;
/// Prompt tokens that a prefill engine reads per step; from the engine specification. Mixed engines
/// read at half the speed and a quarter of the tokens per step.
const PIECE_TOKENS: u64 = 2048;

/// Speed and size of an engine
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Prompt tokens that a prefill engine reads per millisecond
    pub read_tokens_per_ms: f64,
    /// Batch slots
    pub slots: u32,
    /// Time of a step and extra time per running request, in milliseconds
    pub step_ms: f64,
    pub step_ms_per_request: f64,
    /// Time from the last piece of a prompt to the first token, in milliseconds
    pub first_token_ms: f64,
    /// Time to fetch cached tokens from another engine, in milliseconds
    pub fetch_ms: f64,
}

impl EngineSpec {
    /// Engine of the users' first specification
    pub const REGISTER: EngineSpec = EngineSpec {
        read_tokens_per_ms: 942.0,
        slots: 6,
        step_ms: 0.592,
        step_ms_per_request: 0.0077,
        first_token_ms: 4.3,
        fetch_ms: 2.0,
    };

    /// Engine that reads this number of tokens per millisecond; its other times are scaled alike
    pub fn at_speed(read_tokens_per_ms: f64, slots: u32) -> EngineSpec {
        let base = EngineSpec::REGISTER;
        let scale = base.read_tokens_per_ms / read_tokens_per_ms;
        EngineSpec {
            read_tokens_per_ms,
            slots,
            step_ms: base.step_ms * scale,
            step_ms_per_request: base.step_ms_per_request * scale,
            first_token_ms: base.first_token_ms * scale,
            fetch_ms: base.fetch_ms * scale,
        }
    }

    /// Times of this engine relative to those of `REGISTER`
    pub fn time_scale(&self) -> f64 {
        EngineSpec::REGISTER.read_tokens_per_ms / self.read_tokens_per_ms
    }
}

/// Work of an engine for one request
#[derive(Debug, Clone, PartialEq)]
pub struct EngineJob {
    /// Index of the request's call
    pub request: usize,
    /// Prefixes of the prompt, shortest first
    pub prefixes: Vec<PromptPrefix>,
    /// Length of the prompt
    pub prompt_tokens: u64,
    /// Tokens to generate; 0 for a prefill
    pub output_tokens: u64,
    /// Whether another engine has read the prompt, so that its cache is fetched
    pub is_prefilled: bool,
    /// Prompt tokens that the plan's holder has cached
    pub fetched_tokens: u64,
}

#[derive(Debug, Clone)]
struct RunningJob {
    job: EngineJob,
    unread_tokens: u64,
    remaining_output_tokens: u64,
    has_read_prompt: bool,
}

/// Event at the end of a step, with the index of the call
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The prompt was read, and the first token generated if there is output
    PromptRead(usize),
    /// The engine has completed the job
    Ended(usize),
}

/// Simulated engine
#[derive(Debug)]
pub struct SimEngine {
    /// Entry in the instances' endpoint list
    pub listed: ListedEndpoint,
    spec: EngineSpec,
    running: Vec<RunningJob>,
    waiting: VecDeque<EngineJob>,
    caches: PromptCaches,
    cache_tokens: u64,
    /// Shared prompt tokens that it read because they were not cached
    pub read_again: u64,
    /// Whether a step is in progress
    pub is_busy: bool,
}

/// When engines shed requests and request a pause
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShedRule {
    /// Number of waiting requests from which an engine sheds
    pub waiting: usize,
    /// Length of the requested pause, in milliseconds
    pub pause_ms: u64,
}

impl SimEngine {
    /// Creates an idle engine with an empty cache of `cache_tokens`
    pub fn new(listed: ListedEndpoint, spec: EngineSpec, cache_tokens: u64) -> SimEngine {
        SimEngine {
            listed,
            spec,
            running: Vec::new(),
            waiting: VecDeque::new(),
            caches: PromptCaches::default(),
            cache_tokens,
            read_again: 0,
            is_busy: false,
        }
    }

    /// Queues a job; `false` if the queue is full
    pub fn try_enqueue(&mut self, job: EngineJob) -> bool {
        let has_capacity = self.waiting.len() < MAX_WAITING;
        if has_capacity {
            self.waiting.push_back(job);
        }
        has_capacity
    }

    /// Number of requests that wait for a slot
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of leading prompt tokens in its cache
    pub fn held_tokens(&self, prefixes: &[PromptPrefix]) -> u64 {
        u64::from(self.caches.held_tokens(&self.listed, prefixes))
    }

    /// Adds a prompt to its cache
    pub fn hold(&mut self, prefixes: &[PromptPrefix]) {
        self.caches.record_prompt(&self.listed, prefixes, self.cache_tokens);
    }

    /// Begins a step and returns its length; `None` if there is no work
    pub fn begin_step(&mut self) -> Option<SimTime> {
        let mut time_ms = 0.0;
        while self.running.len() < self.listed.slots as usize {
            let Some(job) = self.waiting.pop_front() else { break };
            time_ms += self.admit(job);
        }
        if self.running.is_empty() {
            return None;
        }
        time_ms += self.spec.step_ms + self.spec.step_ms_per_request * self.running.len() as f64;
        let is_reader = self.listed.role == Some(EngineRole::Prefill);
        let (speed, piece) = if is_reader {
            (self.spec.read_tokens_per_ms, PIECE_TOKENS)
        } else {
            (self.spec.read_tokens_per_ms / 2.0, PIECE_TOKENS / 4)
        };
        if let Some(reading) = self.running.iter_mut().find(|it| it.unread_tokens > 0) {
            let tokens = reading.unread_tokens.min(piece);
            reading.unread_tokens -= tokens;
            time_ms += tokens as f64 / speed;
            if reading.unread_tokens == 0 {
                time_ms += self.spec.first_token_ms;
            }
        }
        self.is_busy = true;
        Some(time_ms)
    }

    fn admit(&mut self, job: EngineJob) -> SimTime {
        let own_tokens = self.held_tokens(&job.prefixes);
        let held_tokens = own_tokens.max(job.fetched_tokens).min(job.prompt_tokens);
        let is_fetched = job.is_prefilled || job.fetched_tokens > own_tokens;
        let unread_tokens =
            if job.is_prefilled { 0 } else { (job.prompt_tokens - held_tokens).max(1) };
        let shared_tokens =
            job.prefixes.len().checked_sub(2).map_or(0, |it| u64::from(job.prefixes[it].tokens));
        self.read_again +=
            if job.is_prefilled { 0 } else { shared_tokens.saturating_sub(held_tokens) };
        let remaining_output_tokens = job.output_tokens;
        self.running.push(RunningJob {
            job,
            unread_tokens,
            remaining_output_tokens,
            has_read_prompt: false,
        });
        if is_fetched { self.spec.fetch_ms } else { 0.0 }
    }

    /// Ends the current step and returns its events
    pub fn end_step(&mut self) -> Vec<EngineEvent> {
        self.is_busy = false;
        let mut events = Vec::new();
        let mut read_prompts = Vec::new();
        for it in self.running.iter_mut().filter(|it| it.unread_tokens == 0) {
            if !it.has_read_prompt {
                it.has_read_prompt = true;
                read_prompts.push(it.job.prefixes.clone());
                events.push(EngineEvent::PromptRead(it.job.request));
            }
            it.remaining_output_tokens = it.remaining_output_tokens.saturating_sub(1);
            if it.remaining_output_tokens == 0 {
                events.push(EngineEvent::Ended(it.job.request));
            }
        }
        self.running.retain(|it| it.unread_tokens > 0 || it.remaining_output_tokens > 0);
        read_prompts.iter().for_each(|it| self.hold(it));
        events
    }
}
