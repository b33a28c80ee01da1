//! Choice of the endpoint that serves a request.
//!
//! Each usable endpoint has a cost: the seconds until the answer would be whole
//! there, with the prefix it holds taken off and the distance added. Many instances
//! see the same stale report, so none of them takes the cheapest of all: each draws
//! two at random and compares those with the endpoint that holds most of the prompt,
//! as long as that one is not loaded far above the mean.

use crate::endpoint::EndpointView;
use crate::parts::retain_meant;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use catalogue::prefix::PieceHash;
use catalogue::{EngineRole, RequestClass};
use rand::Rng;
use std::time::{Duration, Instant};

/// Time added to an endpoint in another availability zone.
const OTHER_ZONE_COST: Duration = Duration::from_millis(2);
/// Endpoints drawn at random; two are compared, all give the mean load.
const SAMPLE_SIZE: usize = 8;
/// Endpoints whose held prefixes are looked at closely.
const MAX_HOLDERS: usize = 8;
/// Load above the mean at which a held prefix no longer draws requests.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load above the mean that is always allowed, in seconds of work.
const AFFINITY_LOAD_SLACK_S: f64 = 0.25;
/// Speeds assumed of an engine that has not reported yet, in tokens a second.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;
const DEFAULT_DECODE_TOKENS_PER_S: f64 = 1_000.0;
/// Batch assumed of an engine that has not reported yet.
const DEFAULT_BATCH_LIMIT: f64 = 16.0;
/// Weight of the seconds that others lose against those of the request.
const OTHERS_WEIGHT: f64 = 0.3;
/// Part of its time that an output loses when it joins a batch that is nearly full.
const CROWDING: f64 = 0.3;
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
            ServingPart::Prefill => role.is_some_and(EngineRole::prefills),
            ServingPart::Decode => role.is_some_and(EngineRole::decodes),
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
    /// Measured share of prompt work, by which mixed engines are parted; `None` to use all alike
    pub prompt_share: Option<f64>,
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
    /// Cost in seconds, lower is better: the time and what others lose
    pub score: f64,
    /// Time that the part is expected to take, in seconds
    pub time: f64,
    /// Next best that was compared, with its cost
    pub runner_up: Option<(usize, f64)>,
    /// Tokens of the prompt expected to be held there
    pub matched_tokens: TokenCount,
}

impl EndpointChoice {
    /// Time the part is expected to take there
    pub fn expected(&self) -> Duration {
        Duration::try_from_secs_f64(self.time.max(0.0)).unwrap_or(Duration::MAX)
    }
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    matched: TokenCount,
    /// Seconds of work ahead of the request
    wait: f64,
    /// Seconds until the part is served
    time: f64,
    /// The same with what others lose
    cost: f64,
}

/// Chooses an endpoint; `None` when no endpoint is usable
///
/// Takes under 20 µs over 640 engines.
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
        retain_meant(&mut usable, views, request.part, request.prompt_tokens, share);
    }
    let cost = |index: usize| candidate(request, &views[index], index, now);
    match usable.as_slice() {
        [] => None,
        [only] => Some(decided(ChoiceRule::Only, cost(*only), None)),
        _ if request.suspect => Some(isolated(usable.iter().map(|it| cost(*it)))),
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
    for place in 0..count {
        let other = rng.random_range(place..usable.len());
        usable.swap(place, other);
    }
    &usable[..count]
}

/// The endpoints that may hold most of the prompt, among equals the earliest
fn holders(request: &ChoiceRequest, views: &[EndpointView], usable: &[usize]) -> Vec<usize> {
    let mut best: Vec<(usize, usize)> = Vec::with_capacity(MAX_HOLDERS + 1);
    if matches!(request.part, ServingPart::Decode | ServingPart::Service) {
        return Vec::new();
    }
    for index in usable {
        let pieces = views[*index].cache.possible_pieces(&request.pieces);
        let least = if best.len() < MAX_HOLDERS { 0 } else { best[MAX_HOLDERS - 1].0 };
        if pieces > least {
            let place = best.partition_point(|(it, _)| *it >= pieces);
            best.insert(place, (pieces, *index));
            best.truncate(MAX_HOLDERS);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
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
    let time = wait + work_seconds(request, view, matched) + distance;
    let cost = time + OTHERS_WEIGHT * delay_of_others(request, view, matched, now);
    Candidate { index, matched, wait, time, cost }
}

/// Seconds of work there that goes ahead of the request
fn wait_seconds(request: &ChoiceRequest, view: &EndpointView, now: Instant) -> f64 {
    match request.part {
        // The prompts that wait also slow down the tokens of a mixed engine.
        ServingPart::Whole => {
            let prompt = view.prompt_backlog(now) / prefill_speed(view);
            prompt + place_seconds(request, view, now)
        }
        ServingPart::Prefill => {
            let share = view.share_ahead(request.class);
            share * view.prompt_backlog(now) / prefill_speed(view)
        }
        ServingPart::Decode => {
            let prompt = view.prompt_backlog(now) / prefill_speed(view);
            prompt + place_seconds(request, view, now)
        }
        ServingPart::Service => f64::from(view.in_flight()) * SERVICE_TIME_S,
    }
}

/// Seconds until a place in the batch is free, and what a fuller batch costs
fn place_seconds(request: &ChoiceRequest, view: &EndpointView, now: Instant) -> f64 {
    let occupied = view.occupied(now);
    let limit = batch_limit(view);
    let ahead = (occupied + 1.0 - limit).max(0.0) * view.share_ahead(request.class);
    let mean = view.output_backlog(now) / occupied.max(1.0);
    let crowding = CROWDING * (occupied / limit).min(1.0) * output_seconds(request, view);
    ahead * mean / decode_speed(view) + crowding
}

/// Seconds that the streams which generate there lose together while the prompt is read
fn delay_of_others(
    request: &ChoiceRequest,
    view: &EndpointView,
    matched: TokenCount,
    now: Instant,
) -> f64 {
    if view.role != Some(EngineRole::Mixed) || request.part == ServingPart::Decode {
        return 0.0;
    }
    let unread = request.prompt_tokens.saturating_sub(matched);
    let streams = view.occupied(now).min(batch_limit(view));
    f64::from(unread) / prefill_speed(view) * streams
}

/// Seconds that the request itself takes there
fn work_seconds(request: &ChoiceRequest, view: &EndpointView, matched: TokenCount) -> f64 {
    let unread = request.prompt_tokens.saturating_sub(matched);
    let prompt = f64::from(unread) / prefill_speed(view);
    let output = output_seconds(request, view);
    match request.part {
        ServingPart::Whole => prompt + output,
        ServingPart::Prefill => prompt,
        ServingPart::Decode => output,
        ServingPart::Service => SERVICE_TIME_S,
    }
}

/// Seconds that the output takes in a full batch
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

/// Least loaded, so that a suspect meets as little other work as possible
fn isolated(candidates: impl Iterator<Item = Candidate>) -> EndpointChoice {
    let mut sorted: Vec<Candidate> = candidates.collect();
    sorted.sort_by(|one, other| one.wait.total_cmp(&other.wait));
    decided(ChoiceRule::Isolated, sorted[0], sorted.get(1).copied())
}

fn balanced(drawn: &[Candidate], held: &[Candidate]) -> EndpointChoice {
    let (cheap, other) = cheaper(drawn[0], drawn[1]);
    match best_holder(drawn, held) {
        Some(holder) if holder.index == cheap.index => {
            decided(ChoiceRule::Prefix, cheap, Some(other))
        }
        Some(holder) if holder.cost <= cheap.cost => {
            decided(ChoiceRule::Prefix, holder, Some(cheap))
        }
        _ => decided(ChoiceRule::TwoChoices, cheap, Some(other)),
    }
}

/// Holder of most of the prompt that is not loaded far above the mean of the sample
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

fn cheaper(first: Candidate, second: Candidate) -> (Candidate, Candidate) {
    if second.cost < first.cost { (second, first) } else { (first, second) }
}

fn decided(rule: ChoiceRule, chosen: Candidate, runner_up: Option<Candidate>) -> EndpointChoice {
    EndpointChoice {
        index: chosen.index,
        rule,
        score: chosen.cost,
        time: chosen.time,
        runner_up: runner_up.map(|it| (it.index, it.cost)),
        matched_tokens: chosen.matched,
    }
}
