//! State of one endpoint as one instance tracks it.
//!
//! A load report is already old when it arrives, so the current load is extrapolated: the
//! reported queue shrinks at the engine's speed, and the work that this instance has sent
//! since the report is added.

use crate::cache::PrefixCache;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use catalogue::{EngineRole, RequestClass};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const CLASSES: usize = RequestClass::ALL.len();

/// Load of an endpoint in a report
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointLoad {
    /// Running requests
    pub running: u32,
    /// Waiting requests
    pub waiting: u32,
    /// Prompt tokens still to read
    pub queued_prompt_tokens: u64,
    /// Output tokens still to generate
    pub queued_output_tokens: u64,
    /// Prompt tokens read per second when busy
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated per second with a full batch
    pub decode_tokens_per_s: f64,
    /// Maximum number of requests in one batch
    pub batch_limit: u32,
}

/// Work of one request on one endpoint
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentWork {
    /// Urgency class of the request
    pub class: RequestClass,
    /// Prompt tokens to read; 0 if the cache is imported
    pub prompt_tokens: TokenCount,
    /// Output tokens to generate; 0 for a prefill
    pub output_tokens: TokenCount,
}

/// Totals of outstanding work
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkTotals {
    /// Outstanding requests
    pub requests: u32,
    /// Prompt tokens still to read
    pub prompt_tokens: u64,
    /// Output tokens still to generate
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

/// State of one endpoint as this instance tracks it
#[derive(Debug, Clone)]
pub struct EndpointView {
    pub id: EndpointId,
    /// Availability zone of the endpoint
    pub zone: ZoneName,
    /// Role of an engine; `None` for a plain service
    pub role: Option<EngineRole>,
    /// Whether it accepts new requests: it is live and neither leaving, changing nor broken
    pub accepting: bool,
    /// Estimate of its prefix cache
    pub cache: PrefixCache,
    /// Requests of this instance in flight there that are suspected of crashing endpoints
    pub suspects: u32,
    load: EndpointLoad,
    reported_at: Option<Instant>,
    own: [WorkTotals; CLASSES],
    recent: VecDeque<(Instant, SentWork)>,
    since_report: WorkTotals,
}

impl EndpointView {
    /// Creates the state of an endpoint without a report
    pub fn new(id: EndpointId, zone: ZoneName, role: Option<EngineRole>) -> EndpointView {
        EndpointView {
            id,
            zone,
            role,
            accepting: true,
            cache: PrefixCache::default(),
            suspects: 0,
            load: EndpointLoad::default(),
            reported_at: None,
            own: [WorkTotals::default(); CLASSES],
            recent: VecDeque::new(),
            since_report: WorkTotals::default(),
        }
    }

    /// Applies a report of the load at `reported_at`; ignores it if a newer one was applied
    pub fn apply_report(&mut self, load: EndpointLoad, reported_at: Instant) {
        if self.reported_at.is_some_and(|it| it > reported_at) {
            return;
        }
        self.load = load;
        self.reported_at = Some(reported_at);
        while let Some((sent_at, work)) = self.recent.front() {
            if *sent_at > reported_at {
                break;
            }
            self.since_report.subtract(work);
            self.recent.pop_front();
        }
    }

    /// Records work that is sent to the endpoint
    pub fn record_sent(&mut self, work: SentWork, now: Instant) {
        self.own[work.class as usize].add(&work);
        self.since_report.add(&work);
        self.recent.push_back((now, work));
    }

    /// Records that work sent to the endpoint has ended, with any outcome
    pub fn record_ended(&mut self, work: &SentWork) {
        self.own[work.class as usize].subtract(work);
    }

    /// Requests of this instance in flight at the endpoint
    pub fn in_flight(&self) -> u32 {
        self.own.iter().map(|it| it.requests).sum()
    }

    /// Load in the latest report
    pub fn load(&self) -> &EndpointLoad {
        &self.load
    }

    /// Age of the latest report; `None` before the first
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reported_at.map(|it| now.saturating_duration_since(it))
    }

    /// Estimated prompt tokens that wait at the endpoint now
    pub(crate) fn prompt_backlog(&self, now: Instant) -> f64 {
        let age = self.age_seconds(now);
        let reported = self.load.queued_prompt_tokens as f64;
        let remaining = (reported - age * self.load.prefill_tokens_per_s).max(0.0);
        remaining + self.since_report.prompt_tokens as f64
    }

    /// Estimated output tokens that the endpoint has yet to generate now
    pub(crate) fn output_backlog(&self, now: Instant) -> f64 {
        let age = self.age_seconds(now);
        let reported = self.load.queued_output_tokens as f64;
        let remaining = (reported - age * self.load.decode_tokens_per_s).max(0.0);
        remaining + self.since_report.output_tokens as f64
    }

    /// Estimated requests that run or wait at the endpoint now
    pub(crate) fn occupied(&self, now: Instant) -> f64 {
        let reported = f64::from(self.load.running + self.load.waiting);
        let done = self.age_seconds(now) * self.load.decode_tokens_per_s;
        let queued = self.load.queued_output_tokens as f64;
        let remaining_fraction = if queued > 0.0 { (1.0 - done / queued).max(0.0) } else { 0.0 };
        let estimate = reported * remaining_fraction + f64::from(self.since_report.requests);
        estimate.max(f64::from(self.in_flight()))
    }

    /// Fraction of this instance's work there that is at least as urgent as the class, 0 to 1
    pub(crate) fn share_ahead(&self, class: RequestClass) -> f64 {
        let weight = |it: &WorkTotals| (it.prompt_tokens + it.output_tokens) as f64;
        let total: f64 = self.own.iter().map(weight).sum();
        if total == 0.0 {
            return 1.0;
        }
        let ahead: f64 = self.own[..=class as usize].iter().map(weight).sum();
        ahead / total
    }

    fn age_seconds(&self, now: Instant) -> f64 {
        self.report_age(now).unwrap_or_default().as_secs_f64()
    }
}
