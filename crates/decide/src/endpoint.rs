//! What one instance knows of one endpoint.
//!
//! A load report is old when it arrives. Its figures are carried forward: the queue
//! has been worked off at the engine's speed since, and what this instance sent
//! after the report was taken comes on top.

use crate::cache::PrefixCache;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use catalogue::{EngineRole, RequestClass};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const CLASSES: usize = RequestClass::ALL.len();

/// Load figures of a report
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadFigures {
    /// Requests that run
    pub running: u32,
    /// Requests that wait
    pub waiting: u32,
    /// Prompt tokens still to read
    pub queued_prompt_tokens: u64,
    /// Output tokens still to generate
    pub queued_output_tokens: u64,
    /// Prompt tokens read a second when busy
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated a second when its batch is full
    pub decode_tokens_per_s: f64,
    /// Most requests in one batch
    pub batch_limit: u32,
}

/// Work of one request on one endpoint
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentWork {
    /// Class of the request
    pub class: RequestClass,
    /// Prompt tokens to read there; 0 when cache is imported
    pub prompt_tokens: TokenCount,
    /// Output tokens to generate there; 0 for a prefill
    pub output_tokens: TokenCount,
}

/// Requests and tokens outstanding
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkTotals {
    /// Requests
    pub requests: u32,
    /// Prompt tokens
    pub prompt_tokens: u64,
    /// Output tokens
    pub output_tokens: u64,
}

impl WorkTotals {
    fn add(&mut self, work: &SentWork) {
        self.requests += 1;
        self.prompt_tokens += u64::from(work.prompt_tokens);
        self.output_tokens += u64::from(work.output_tokens);
    }

    fn subtract(&mut self, work: &SentWork) {
        self.requests = self.requests.saturating_sub(1);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(u64::from(work.prompt_tokens));
        self.output_tokens = self.output_tokens.saturating_sub(u64::from(work.output_tokens));
    }
}

/// View of an endpoint, kept by each instance
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Endpoint
    pub id: EndpointId,
    /// Its availability zone
    pub zone: ZoneName,
    /// Role of an engine; `None` for a plain service
    pub role: Option<EngineRole>,
    /// Whether it takes new work: live, not leaving, not changing, not broken
    pub accepting: bool,
    /// Prefixes it is thought to hold
    pub cache: PrefixCache,
    /// Own requests in flight there that are suspected of crashing endpoints
    pub suspects: u32,
    load: LoadFigures,
    taken_at: Option<Instant>,
    own: [WorkTotals; CLASSES],
    recent: VecDeque<(Instant, SentWork)>,
    since_report: WorkTotals,
}

impl EndpointView {
    /// View of an endpoint that nothing is known of yet
    pub fn new(id: EndpointId, zone: ZoneName, role: Option<EngineRole>) -> EndpointView {
        EndpointView {
            id,
            zone,
            role,
            accepting: true,
            cache: PrefixCache::default(),
            suspects: 0,
            load: LoadFigures::default(),
            taken_at: None,
            own: [WorkTotals::default(); CLASSES],
            recent: VecDeque::new(),
            since_report: WorkTotals::default(),
        }
    }

    /// Takes in a report whose figures were taken at `taken_at`
    pub fn report(&mut self, load: LoadFigures, taken_at: Instant) {
        if self.taken_at.is_some_and(|it| it > taken_at) {
            return;
        }
        self.load = load;
        self.taken_at = Some(taken_at);
        while let Some((sent_at, work)) = self.recent.front() {
            if *sent_at > taken_at {
                break;
            }
            self.since_report.subtract(work);
            self.recent.pop_front();
        }
    }

    /// Notes work that is sent there now
    pub fn sent(&mut self, work: SentWork, now: Instant) {
        self.own[work.class as usize].add(&work);
        self.since_report.add(&work);
        self.recent.push_back((now, work));
    }

    /// Notes that work sent there has ended, whatever its outcome
    pub fn ended(&mut self, work: &SentWork) {
        self.own[work.class as usize].subtract(work);
    }

    /// Own requests in flight there
    pub fn in_flight(&self) -> u32 {
        self.own.iter().map(|it| it.requests).sum()
    }

    /// Load as last reported
    pub fn load(&self) -> &LoadFigures {
        &self.load
    }

    /// Age of the report; `None` before the first
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.taken_at.map(|it| now.saturating_duration_since(it))
    }

    /// Prompt tokens thought to wait there now
    pub(crate) fn prompt_backlog(&self, now: Instant) -> f64 {
        let age = self.age_seconds(now);
        let reported = self.load.queued_prompt_tokens as f64;
        let left = (reported - age * self.load.prefill_tokens_per_s).max(0.0);
        left + self.since_report.prompt_tokens as f64
    }

    /// Output tokens thought to be due there now
    pub(crate) fn output_backlog(&self, now: Instant) -> f64 {
        let age = self.age_seconds(now);
        let reported = self.load.queued_output_tokens as f64;
        let left = (reported - age * self.load.decode_tokens_per_s).max(0.0);
        left + self.since_report.output_tokens as f64
    }

    /// Requests thought to run or wait there now
    pub(crate) fn occupied(&self, now: Instant) -> f64 {
        let reported = f64::from(self.load.running + self.load.waiting);
        let done = self.age_seconds(now) * self.load.decode_tokens_per_s;
        let queued = self.load.queued_output_tokens as f64;
        let left = if queued > 0.0 { (1.0 - done / queued).max(0.0) } else { 0.0 };
        let thought = reported * left + f64::from(self.since_report.requests);
        thought.max(f64::from(self.in_flight()))
    }

    /// Part of the own work there that goes before or beside the class, 0 to 1
    pub(crate) fn share_ahead(&self, class: RequestClass) -> f64 {
        let weight = |it: &WorkTotals| (it.prompt_tokens + it.output_tokens) as f64;
        let all: f64 = self.own.iter().map(weight).sum();
        if all == 0.0 {
            return 1.0;
        }
        let ahead: f64 = self.own[..=class as usize].iter().map(weight).sum();
        ahead / all
    }

    fn age_seconds(&self, now: Instant) -> f64 {
        self.report_age(now).unwrap_or_default().as_secs_f64()
    }
}
