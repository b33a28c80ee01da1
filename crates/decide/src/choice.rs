//! Choice of the endpoint that serves a request.
//!
//! The cost of a usable endpoint is the expected time in seconds until the answer is
//! complete there, without the time for a cached prefix, plus a penalty for another zone
//! and the weighted delay of other requests. All instances see the same stale reports, so
//! choosing the cheapest of all endpoints would send every request to the same one.
//! Instead, each instance draws two at random and compares them with the endpoint that
//! holds most of the prompt, unless the load there is far above the mean.

use crate::endpoint::EndpointView;
use crate::mixed_engines::retain_assigned;
pub use crate::stage::ServingStage;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use catalogue::prefix::PieceHash;
use catalogue::{EngineRole, RequestClass};
use rand::Rng;
use std::time::{Duration, Instant};

/// Penalty for an endpoint in another availability zone.
const OTHER_ZONE_PENALTY: Duration = Duration::from_millis(2);
/// Endpoints drawn at random; the first two are compared, and all of them give the mean load.
const SAMPLE_SIZE: usize = 8;
/// Maximum number of endpoints whose cached prefixes are matched exactly.
const MAX_HOLDERS: usize = 8;
/// Factor over the mean load above which an endpoint's cached prefix is ignored.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Slack added to this bound, in seconds of work.
const AFFINITY_LOAD_SLACK_S: f64 = 0.25;
/// Speeds assumed for an engine without a report, in tokens per second.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;
const DEFAULT_DECODE_TOKENS_PER_S: f64 = 1_000.0;
/// Batch limit assumed for an engine without a report.
const DEFAULT_BATCH_LIMIT: f64 = 16.0;
/// Weight of the delay of other requests relative to the request's own time.
const ADDED_DELAY_WEIGHT: f64 = 0.3;
/// Fraction of its own time by which a full batch slows an output.
const FULL_BATCH_SLOWDOWN: f64 = 0.3;
/// Time in seconds assumed for one request to a plain service.
const SERVICE_TIME_S: f64 = 0.01;

/// Request to choose an endpoint for
#[derive(Debug, Clone)]
pub struct ChoiceRequest {
    /// Urgency class
    pub class: RequestClass,
    /// Stage to serve
    pub stage: ServingStage,
    /// Availability zone of the choosing instance
    pub zone: ZoneName,
    /// Length of the whole prompt
    pub prompt_tokens: TokenCount,
    /// Output tokens still to generate
    pub output_tokens: TokenCount,
    /// Chained hashes of the prompt's pieces
    pub pieces: Vec<PieceHash>,
    /// Endpoints that must not be chosen
    pub excluded: Vec<EndpointId>,
    /// Whether the request is suspected of crashing endpoints
    pub is_suspect: bool,
    /// Prompt share of the workload, 0 to 1, which divides the mixed engines; `None` to use all
    /// for both stages
    pub prompt_share: Option<f64>,
}

/// Rule that decided a choice
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceRule {
    /// No other endpoint was usable
    Only,
    /// The endpoint holds most of the prompt
    Prefix,
    /// Cheaper of two drawn at random
    TwoChoices,
    /// Suspected request, isolated from other suspects
    Isolated,
}

impl ChoiceRule {
    /// Name in logs
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
    /// Index of the endpoint in the views
    pub index: usize,
    /// Rule that decided
    pub rule: ChoiceRule,
    /// Cost in seconds, lower is better: expected time plus weighted delay of other requests
    pub score: f64,
    /// Expected time until the stage is complete, in seconds
    pub time_s: f64,
    /// Index and cost of the next best endpoint that was compared
    pub runner_up: Option<(usize, f64)>,
    /// Prompt tokens that the endpoint is expected to hold in its cache
    pub matched_tokens: TokenCount,
}

impl EndpointChoice {
    /// Expected time until the stage is complete
    pub fn expected_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.time_s.max(0.0)).unwrap_or(Duration::MAX)
    }
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    matched: TokenCount,
    /// Seconds of work ahead of the request
    wait: f64,
    /// Seconds until the stage is complete
    time: f64,
    /// Seconds with the weighted delay of other requests
    cost: f64,
}

/// Chooses an endpoint; `None` if no endpoint is usable
///
/// Takes less than 20 µs for 640 engines.
pub fn choose(
    request: &ChoiceRequest,
    views: &[EndpointView],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<EndpointChoice> {
    let mut usable = Vec::with_capacity(views.len());
    for (index, view) in views.iter().enumerate() {
        if is_usable(request, view) {
            usable.push(index);
        }
    }
    if let Some(share) = request.prompt_share {
        retain_assigned(&mut usable, views, request.stage, request.prompt_tokens, share);
    }
    let cost = |index: usize| candidate(request, &views[index], index, now);
    match usable.as_slice() {
        [] => None,
        [only] => Some(decided(ChoiceRule::Only, cost(*only), None)),
        _ if request.is_suspect => Some(isolated(usable.iter().map(|it| cost(*it)))),
        _ => {
            let drawn = draw(&mut usable, rng).iter().map(|it| cost(*it)).collect::<Vec<_>>();
            let offset = rng.random_range(0..usable.len());
            usable.rotate_left(offset);
            let holders = holders(request, views, &usable);
            let held = holders.iter().map(|it| cost(*it)).collect::<Vec<_>>();
            Some(balanced(&drawn, &held))
        }
    }
}

/// Moves a random sample to the front and returns it
fn draw<'a>(usable: &'a mut [usize], rng: &mut impl Rng) -> &'a [usize] {
    let count = usable.len().min(SAMPLE_SIZE);
    for index in 0..count {
        let other = rng.random_range(index..usable.len());
        usable.swap(index, other);
    }
    &usable[..count]
}

/// Endpoints that may hold most of the prompt; the first in `usable` win ties
fn holders(request: &ChoiceRequest, views: &[EndpointView], usable: &[usize]) -> Vec<usize> {
    let mut best: Vec<(usize, usize)> = Vec::with_capacity(MAX_HOLDERS + 1);
    if matches!(request.stage, ServingStage::Decode | ServingStage::Service) {
        return Vec::new();
    }
    for index in usable {
        let pieces = views[*index].cache.possible_pieces(&request.pieces);
        let least = if best.len() < MAX_HOLDERS { 0 } else { best[MAX_HOLDERS - 1].0 };
        if pieces > least {
            let position = best.partition_point(|(it, _)| *it >= pieces);
            best.insert(position, (pieces, *index));
            best.truncate(MAX_HOLDERS);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}

fn is_usable(request: &ChoiceRequest, view: &EndpointView) -> bool {
    view.accepting
        && request.stage.fits(view.role)
        && !(request.is_suspect && view.suspects > 0)
        && !request.excluded.contains(&view.id)
}

fn candidate(
    request: &ChoiceRequest,
    view: &EndpointView,
    index: usize,
    now: Instant,
) -> Candidate {
    let matched = match request.stage {
        ServingStage::Whole | ServingStage::Prefill => view.cache.matched_tokens(&request.pieces),
        ServingStage::Decode | ServingStage::Service => 0,
    };
    let wait = wait_seconds(request, view, now);
    let penalty = if view.zone == request.zone { 0.0 } else { OTHER_ZONE_PENALTY.as_secs_f64() };
    let time = wait + work_seconds(request, view, matched) + penalty;
    let cost = time + ADDED_DELAY_WEIGHT * added_delay_seconds(request, view, matched, now);
    Candidate { index, matched, wait, time, cost }
}

/// Seconds of work at the endpoint ahead of the request
fn wait_seconds(request: &ChoiceRequest, view: &EndpointView, now: Instant) -> f64 {
    match request.stage {
        // Waiting prompts also delay the decoding streams of a mixed engine.
        ServingStage::Whole => {
            let prompt = view.prompt_backlog(now) / prefill_speed(view);
            prompt + slot_wait_seconds(request, view, now)
        }
        ServingStage::Prefill => {
            let share = view.share_ahead(request.class);
            share * view.prompt_backlog(now) / prefill_speed(view)
        }
        ServingStage::Decode => {
            let prompt = view.prompt_backlog(now) / prefill_speed(view);
            prompt + slot_wait_seconds(request, view, now)
        }
        ServingStage::Service => f64::from(view.in_flight()) * SERVICE_TIME_S,
    }
}

/// Seconds until a batch slot is free, plus the slowdown by a fuller batch
fn slot_wait_seconds(request: &ChoiceRequest, view: &EndpointView, now: Instant) -> f64 {
    let occupied = view.occupied(now);
    let limit = batch_limit(view);
    let ahead = (occupied + 1.0 - limit).max(0.0) * view.share_ahead(request.class);
    let mean = view.output_backlog(now) / occupied.max(1.0);
    let slowdown =
        FULL_BATCH_SLOWDOWN * (occupied / limit).min(1.0) * output_seconds(request, view);
    ahead * mean / decode_speed(view) + slowdown
}

/// Total seconds by which reading the prompt delays the streams that decode on the engine
fn added_delay_seconds(
    request: &ChoiceRequest,
    view: &EndpointView,
    matched: TokenCount,
    now: Instant,
) -> f64 {
    if view.role != Some(EngineRole::Mixed) || request.stage == ServingStage::Decode {
        return 0.0;
    }
    let unread = request.prompt_tokens.saturating_sub(matched);
    let streams = view.occupied(now).min(batch_limit(view));
    f64::from(unread) / prefill_speed(view) * streams
}

/// Seconds that the request's own work takes at the endpoint
fn work_seconds(request: &ChoiceRequest, view: &EndpointView, matched: TokenCount) -> f64 {
    let unread = request.prompt_tokens.saturating_sub(matched);
    let prompt = f64::from(unread) / prefill_speed(view);
    let output = output_seconds(request, view);
    match request.stage {
        ServingStage::Whole => prompt + output,
        ServingStage::Prefill => prompt,
        ServingStage::Decode => output,
        ServingStage::Service => SERVICE_TIME_S,
    }
}

/// Seconds to generate the output in a full batch
fn output_seconds(request: &ChoiceRequest, view: &EndpointView) -> f64 {
    f64::from(request.output_tokens) * batch_limit(view) / decode_speed(view)
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

/// Chooses the least loaded endpoint, so that a crash affects as little other work as possible
fn isolated(candidates: impl Iterator<Item = Candidate>) -> EndpointChoice {
    let mut sorted: Vec<Candidate> = candidates.collect();
    sorted.sort_by(|one, other| one.wait.total_cmp(&other.wait));
    decided(ChoiceRule::Isolated, sorted[0], sorted.get(1).copied())
}

fn balanced(drawn: &[Candidate], held: &[Candidate]) -> EndpointChoice {
    let (cheaper, other) = by_cost(drawn[0], drawn[1]);
    match best_holder(drawn, held) {
        Some(holder) if holder.index == cheaper.index => {
            decided(ChoiceRule::Prefix, cheaper, Some(other))
        }
        Some(holder) if holder.cost <= cheaper.cost => {
            decided(ChoiceRule::Prefix, holder, Some(cheaper))
        }
        _ => decided(ChoiceRule::TwoChoices, cheaper, Some(other)),
    }
}

/// Endpoint that holds most of the prompt and is not loaded far above the mean of the sample
fn best_holder(drawn: &[Candidate], held: &[Candidate]) -> Option<Candidate> {
    let total: f64 = drawn.iter().map(|it| it.wait).sum();
    let mean = total / drawn.len() as f64;
    let bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK_S;
    let mut best: Option<Candidate> = None;
    for candidate in held.iter().filter(|it| it.matched > 0 && it.wait <= bound) {
        let is_better =
            best.is_none_or(|it| (candidate.matched, -candidate.cost) > (it.matched, -it.cost));
        if is_better {
            best = Some(*candidate);
        }
    }
    best
}

fn by_cost(first: Candidate, second: Candidate) -> (Candidate, Candidate) {
    if second.cost < first.cost { (second, first) } else { (first, second) }
}

fn decided(rule: ChoiceRule, chosen: Candidate, runner_up: Option<Candidate>) -> EndpointChoice {
    EndpointChoice {
        index: chosen.index,
        rule,
        score: chosen.cost,
        time_s: chosen.time,
        runner_up: runner_up.map(|it| (it.index, it.cost)),
        matched_tokens: chosen.matched,
    }
}
