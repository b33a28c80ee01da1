//! Choice of the endpoint that serves a request.
//!
//! Each usable endpoint has a cost: the seconds until the answer would be whole
//! there, with the prefix it holds taken off and the distance added. Many instances
//! see the same stale report, so none of them takes the cheapest of all: each draws
//! two at random and compares those with the endpoint that holds most of the prompt,
//! as long as that one is not loaded far above the mean.

use crate::endpoint::EndpointView;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use catalogue::prefix::PieceHash;
use catalogue::{EngineRole, RequestClass};
use rand::Rng;
use std::time::{Duration, Instant};

/// Time added to an endpoint in another availability zone.
const OTHER_ZONE_COST: Duration = Duration::from_millis(2);
/// Load above the mean at which a held prefix no longer draws requests.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load above the mean that is always allowed, in seconds of work.
const AFFINITY_LOAD_SLACK_S: f64 = 0.25;
/// Speeds assumed of an engine that has not reported yet, in tokens a second.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;
const DEFAULT_DECODE_TOKENS_PER_S: f64 = 1_000.0;
/// Batch assumed of an engine that has not reported yet.
const DEFAULT_BATCH_LIMIT: f64 = 16.0;
/// Time assumed for one request of a plain service.
const SERVICE_TIME_S: f64 = 0.01;

/// Part of the serving that an endpoint is chosen for
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServingPart {
    /// Prompt and output on one engine
    Whole,
    /// Prompt only, cache exported
    Prefill,
    /// Output only, cache imported
    Decode,
    /// Call of a plain service
    Service,
}

impl ServingPart {
    fn fits(self, role: Option<EngineRole>) -> bool {
        match self {
            ServingPart::Whole => role == Some(EngineRole::Mixed),
            ServingPart::Prefill => role == Some(EngineRole::Prefill),
            ServingPart::Decode => role == Some(EngineRole::Decode),
            ServingPart::Service => role.is_none(),
        }
    }
}

/// Request that an endpoint is wanted for
#[derive(Debug, Clone)]
pub struct ChoiceRequest {
    /// Class
    pub class: RequestClass,
    /// Part to serve
    pub part: ServingPart,
    /// Availability zone of the choosing instance
    pub zone: ZoneName,
    /// Prompt length
    pub prompt_tokens: TokenCount,
    /// Output tokens still wanted
    pub output_tokens: TokenCount,
    /// Chained hashes of the prompt's pieces
    pub pieces: Vec<PieceHash>,
    /// Endpoints not to be tried again
    pub excluded: Vec<EndpointId>,
    /// Whether the request is suspected of crashing endpoints
    pub suspect: bool,
}

/// Rule that decided a choice
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceRule {
    /// No other endpoint was usable
    Only,
    /// Most of the prompt is held there
    Prefix,
    /// Cheaper of two drawn at random
    TwoChoices,
    /// Kept away from other suspects
    Isolated,
}

impl ChoiceRule {
    /// Name as it stands in logs
    pub fn name(self) -> &'static str {
        match self {
            ChoiceRule::Only => "only",
            ChoiceRule::Prefix => "prefix",
            ChoiceRule::TwoChoices => "two_choices",
            ChoiceRule::Isolated => "isolated",
        }
    }
}

/// Chosen endpoint and why
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChoice {
    /// Index into the views
    pub index: usize,
    /// Rule that decided
    pub rule: ChoiceRule,
    /// Cost in seconds, lower is better; also the time the part is expected to take
    pub score: f64,
    /// Next best that was compared, with its cost
    pub runner_up: Option<(usize, f64)>,
    /// Tokens of the prompt expected to be held there
    pub matched_tokens: TokenCount,
}

impl EndpointChoice {
    /// Time the part is expected to take there
    pub fn expected(&self) -> Duration {
        Duration::try_from_secs_f64(self.score.max(0.0)).unwrap_or(Duration::MAX)
    }
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    matched: TokenCount,
    /// Seconds of work ahead of the request
    wait: f64,
    /// Seconds until the part is served
    cost: f64,
}

/// Chooses an endpoint; `None` when no endpoint is usable
pub fn choose(
    request: &ChoiceRequest,
    views: &[EndpointView],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<EndpointChoice> {
    let mut candidates = Vec::with_capacity(views.len());
    for (index, view) in views.iter().enumerate() {
        if is_usable(request, view) {
            candidates.push(candidate(request, view, index, now));
        }
    }
    match candidates.len() {
        0 => None,
        1 => Some(decided(ChoiceRule::Only, candidates[0], None)),
        _ if request.suspect => Some(isolated(&candidates)),
        _ => Some(balanced(&candidates, rng)),
    }
}

fn is_usable(request: &ChoiceRequest, view: &EndpointView) -> bool {
    view.accepting
        && request.part.fits(view.role)
        && !(request.suspect && view.suspects > 0)
        && !request.excluded.contains(&view.id)
}

fn candidate(
    request: &ChoiceRequest,
    view: &EndpointView,
    index: usize,
    now: Instant,
) -> Candidate {
    let matched = match request.part {
        ServingPart::Whole | ServingPart::Prefill => view.cache.matched_tokens(&request.pieces),
        ServingPart::Decode | ServingPart::Service => 0,
    };
    let wait = wait_seconds(request, view, now);
    let distance = if view.zone == request.zone { 0.0 } else { OTHER_ZONE_COST.as_secs_f64() };
    let cost = wait + work_seconds(request, view, matched) + distance;
    Candidate { index, matched, wait, cost }
}

/// Seconds of work there that goes ahead of the request
fn wait_seconds(request: &ChoiceRequest, view: &EndpointView, now: Instant) -> f64 {
    let share = view.share_ahead(request.class);
    let prompt = view.prompt_backlog(now) / prefill_speed(view);
    let output = view.output_backlog(now) / decode_speed(view);
    match request.part {
        ServingPart::Whole => share * (prompt + output),
        ServingPart::Prefill => share * prompt,
        ServingPart::Decode => share * output,
        ServingPart::Service => f64::from(view.in_flight()) * SERVICE_TIME_S,
    }
}

/// Seconds that the request itself takes there
fn work_seconds(request: &ChoiceRequest, view: &EndpointView, matched: TokenCount) -> f64 {
    let unread = request.prompt_tokens.saturating_sub(matched);
    let prompt = f64::from(unread) / prefill_speed(view);
    let output = f64::from(request.output_tokens) * batch_limit(view) / decode_speed(view);
    match request.part {
        ServingPart::Whole => prompt + output,
        ServingPart::Prefill => prompt,
        ServingPart::Decode => output,
        ServingPart::Service => SERVICE_TIME_S,
    }
}

fn prefill_speed(view: &EndpointView) -> f64 {
    positive_or(view.load().prefill_tokens_per_s, DEFAULT_PREFILL_TOKENS_PER_S)
}

fn decode_speed(view: &EndpointView) -> f64 {
    positive_or(view.load().decode_tokens_per_s, DEFAULT_DECODE_TOKENS_PER_S)
}

fn batch_limit(view: &EndpointView) -> f64 {
    positive_or(f64::from(view.load().batch_limit), DEFAULT_BATCH_LIMIT)
}

fn positive_or(value: f64, default: f64) -> f64 {
    if value > 0.0 { value } else { default }
}

/// Least loaded, so that a suspect meets as little other work as possible
fn isolated(candidates: &[Candidate]) -> EndpointChoice {
    let mut best = candidates[0];
    for candidate in &candidates[1..] {
        if candidate.wait < best.wait {
            best = *candidate;
        }
    }
    decided(ChoiceRule::Isolated, best, None)
}

fn balanced(candidates: &[Candidate], rng: &mut impl Rng) -> EndpointChoice {
    let first = rng.random_range(0..candidates.len());
    let step = rng.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    let (drawn, other) = cheaper(candidates[first], candidates[second]);
    match holder(candidates) {
        Some(holder) if holder.index == drawn.index => {
            decided(ChoiceRule::Prefix, drawn, Some(other))
        }
        Some(holder) if holder.cost <= drawn.cost => {
            decided(ChoiceRule::Prefix, holder, Some(drawn))
        }
        _ => decided(ChoiceRule::TwoChoices, drawn, Some(other)),
    }
}

/// Endpoint that holds most of the prompt and is not loaded far above the mean
fn holder(candidates: &[Candidate]) -> Option<Candidate> {
    let total: f64 = candidates.iter().map(|it| it.wait).sum();
    let mean = total / candidates.len() as f64;
    let bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK_S;
    let mut best: Option<Candidate> = None;
    for candidate in candidates {
        if candidate.matched == 0 || candidate.wait > bound {
            continue;
        }
        let is_better =
            best.is_none_or(|it| (candidate.matched, -candidate.cost) > (it.matched, -it.cost));
        if is_better {
            best = Some(*candidate);
        }
    }
    best
}

fn cheaper(first: Candidate, second: Candidate) -> (Candidate, Candidate) {
    if second.cost < first.cost { (second, first) } else { (first, second) }
}

fn decided(rule: ChoiceRule, chosen: Candidate, runner_up: Option<Candidate>) -> EndpointChoice {
    EndpointChoice {
        index: chosen.index,
        rule,
        score: chosen.cost,
        runner_up: runner_up.map(|it| (it.index, it.cost)),
        matched_tokens: chosen.matched,
    }
}
