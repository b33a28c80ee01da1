//! Choice of the endpoint for a request.
//!
//! A request to a plain service goes to the endpoint with the least work, with a
//! preference for the instance's own availability zone. The prompt of a long generation is
//! read by a prefill engine, and another engine decodes. If no prefill engine is usable, or
//! if it costs less, one engine does both. The time until the first token is estimated for
//! each plan. If the best plan takes longer than the objective allows, the request is
//! refused immediately, since it would only delay other requests.
//!
//! Requests that share a prompt prefix go to the engine that holds most of it, or to
//! another engine that fetches it from there. While no engine holds it, all instances
//! prefer the same engine.

use super::cache::PromptCaches;
use super::endpoint_list::ListedEndpoint;
use super::load::{FleetLoad, WorkCount};
use super::prompt::{PromptPrefix, PromptShape};
use super::stream_origins::SoftwareVersion;
use super::timing::{PoolTiming, StageSample, StageTime, TimedStage};
use catalogue::EngineRole;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use indexmap::IndexSet;
use std::hash::Hasher;
use std::time::{Duration, Instant};
use twox_hash::XxHash3_64;

/// Penalty for an endpoint in another zone, in requests in flight.
const OTHER_ZONE_PENALTY_REQUESTS: u32 = 2;
/// Shortest prompt that is read and decoded by different engines, in tokens.
const MIN_SPLIT_TOKENS: u32 = 1024;
/// Bounds of the number of tokens from which they are fetched. A fetch spares engines work, so that
/// many tokens are fetched even if reading them is quicker.
const MIN_FETCHED_TOKENS: TokenCount = 200;
const MAX_READ_TOKENS: TokenCount = 1000;
/// Delay of the first token by a full batch, in prompt tokens that the engine reads in that time.
const FULL_BATCH_TOKENS: f64 = 1000.0;
/// Fraction of an engine's reported unread tokens that remain when a request arrives: some prompts
/// are partly read, and the work of other instances is reported with a delay.
const REMAINING_UNREAD_FRACTION: f64 = 0.5;
/// Slack of the pauses between events at which the delay of a running request counts in full, in
/// milliseconds; with more slack, a delay rarely makes the request late.
const FULL_DELAY_SLACK_MS: f64 = 20.0;
/// Penalty for an engine in another zone, in milliseconds; covers network latency and traffic cost.
const OTHER_ZONE_PENALTY_MS: f64 = 4.0;
/// Engines drawn at random to compare with the preferred one. All instances see the same delayed
/// work; if each compared all engines, they would all choose the same one.
const SAMPLED_ENGINES: usize = 2;
/// Fraction of the objective that the estimated time may take.
const OBJECTIVE_FRACTION: f64 = 0.95;
/// The same for a request that is already late: it may only use capacity that first attempts leave.
const LATE_OBJECTIVE_FRACTION: f64 = 0.3;
/// Fraction of the objective that a prompt may wait which is too large to be answered in time at any
/// engine, and fraction of the time until its deadline that it may take in all.
const LARGE_WAIT_FRACTION: f64 = 0.35;
const MAX_LARGE_DEADLINE_FRACTION: f64 = 0.5;
/// Unread tokens of other requests up to which a send is timed, as a fraction of its own ones, and
/// the number that is always small enough.
const MAX_TIMED_QUEUE_FRACTION: f64 = 0.5;
const MAX_TIMED_QUEUE_TOKENS: f64 = 512.0;

/// Engine picked for a stage of a generation
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePick {
    /// Id of the engine
    pub endpoint: EndpointId,
    /// Version of its software
    pub version: SoftwareVersion,
    /// Work of all instances at the engine
    pub work: WorkCount,
    /// Prompt tokens that the engine is expected to read
    pub unread_tokens: u64,
    /// Engine to fetch the shared parts from; `None` without a fetch
    pub holder: Option<EndpointId>,
    /// Expected time of this stage, in milliseconds
    pub expected_ms: f64,
    /// Part of the expected time that the request would take at an idle engine, in milliseconds
    pub own_ms: f64,
    /// Wait for other requests by counted work, in milliseconds
    pub wait_ms: f64,
    /// Expected time plus weighted delay of other requests and zone penalty, in milliseconds
    pub cost_ms: f64,
    /// What its time shows; `None` if nothing
    pub timed: Option<TimedPart>,
}

impl EnginePick {
    /// Sample from the time that the stage took
    pub fn sample(&self, took: Duration) -> Option<StageSample> {
        let part = self.timed?;
        let took_ms = (took.as_secs_f64() * 1000.0 - part.earlier_ms).max(0.0);
        Some(StageSample {
            stage: part.stage,
            tokens: part.tokens as u32,
            took_ms: took_ms as f32,
            is_loaded: part.is_loaded,
        })
    }
}

/// Part of a send that its time is a sample of
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedPart {
    pub stage: TimedStage,
    /// Tokens that the stage takes, with those that it waits for
    pub tokens: f64,
    /// Expected time of earlier stages of the same send, in milliseconds
    pub earlier_ms: f64,
    /// Whether the engine had much other work
    pub is_loaded: bool,
}

/// Engines that serve the stages of a generation
#[derive(Debug, Clone, PartialEq)]
pub enum GenerationPlan {
    /// One engine reads the prompt and decodes
    Whole(EnginePick),
    /// One engine reads the prompt, another decodes
    Split {
        /// Engine that reads the prompt
        prefill: EnginePick,
        /// Engine that decodes
        decode: EnginePick,
    },
    /// Another engine has already read the prompt; this engine decodes
    Decode(EnginePick),
}

impl GenerationPlan {
    /// Expected time until the first token, in milliseconds
    pub fn expected_ms(&self) -> f64 {
        self.sum(|it| it.expected_ms)
    }

    /// Expected time until the first token if all engines were idle, in milliseconds
    pub fn own_ms(&self) -> f64 {
        self.sum(|it| it.own_ms)
    }

    /// Expected time plus delay of other requests and zone penalties, in milliseconds
    fn cost_ms(&self) -> f64 {
        self.sum(|it| it.cost_ms)
    }

    fn sum(&self, stage_ms: impl Fn(&EnginePick) -> f64) -> f64 {
        match self {
            GenerationPlan::Whole(pick) | GenerationPlan::Decode(pick) => stage_ms(pick),
            GenerationPlan::Split { prefill, decode } => stage_ms(prefill) + stage_ms(decode),
        }
    }
}

/// Result of planning
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "lives on the stack for one decision")]
pub enum PlanOutcome {
    /// Plan that meets the objective
    Plan(GenerationPlan),
    /// The best plan takes longer than allowed; its expected time in milliseconds
    Full(f64),
    /// No engine is usable
    NoEngine,
}

/// Progress of a generation's prompt
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromptProgress {
    /// No engine has read it
    Unread,
    /// An engine has read it and holds its cache
    Held,
    /// An engine has read it, but its cache is lost; another separate prefill would count as a retry
    Lost,
}

/// Generation to plan
#[derive(Debug, Clone)]
pub struct GenerationRequest<'a> {
    /// Declared structure of the prompt
    pub prompt: &'a PromptShape,
    /// Availability zone of the planning instance
    pub zone: &'a ZoneName,
    /// Engines that must not be picked
    pub excluded: &'a [EndpointId],
    /// Latency objective of the first token
    pub objective: Duration,
    /// Longest pause between two events; `None` if there is no limit
    pub pause_limit: Option<Duration>,
    /// Time until the deadline of the complete answer
    pub time_left: Duration,
    pub progress: PromptProgress,
    /// Whether the client was refused before, so that its answer is already late
    pub has_waited: bool,
    /// Random number of the request; makes instances with the same view choose different engines
    pub draw: u64,
}

impl GenerationRequest<'_> {
    fn may_split(&self) -> bool {
        self.progress == PromptProgress::Unread
            && !self.prompt.has_long_output()
            && self.prompt.prompt_tokens >= MIN_SPLIT_TOKENS
    }

    fn objective_ms(&self, fraction: f64) -> f64 {
        self.objective.as_secs_f64() * 1000.0 * fraction
    }

    /// Whether a plan may be carried out
    fn accepts(&self, plan: &GenerationPlan) -> bool {
        let fraction = if self.has_waited { LATE_OBJECTIVE_FRACTION } else { OBJECTIVE_FRACTION };
        let expected_ms = plan.expected_ms();
        if expected_ms <= self.objective_ms(fraction) {
            return true;
        }
        let is_large = plan.own_ms() > self.objective_ms(OBJECTIVE_FRACTION);
        let wait_ms = expected_ms - plan.own_ms();
        let limit_ms = self.time_left.as_secs_f64() * 1000.0 * MAX_LARGE_DEADLINE_FRACTION;
        is_large && wait_ms <= self.objective_ms(LARGE_WAIT_FRACTION) && expected_ms <= limit_ms
    }
}

/// Picks an endpoint of a plain service; `None` if there is none
pub fn pick_service<'a>(
    endpoints: impl Iterator<Item = &'a ListedEndpoint>,
    load: &FleetLoad,
    zone: &ZoneName,
    excluded: &[EndpointId],
    draw: u64,
) -> Option<&'a ListedEndpoint> {
    pick_paced(endpoints, load, zone, excluded, draw, |_| 0)
}

/// The same, where an endpoint counts as many more requests in flight as `slow_penalty` returns
pub fn pick_paced<'a>(
    endpoints: impl Iterator<Item = &'a ListedEndpoint>,
    load: &FleetLoad,
    zone: &ZoneName,
    excluded: &[EndpointId],
    draw: u64,
    slow_penalty: impl Fn(&ListedEndpoint) -> u32,
) -> Option<&'a ListedEndpoint> {
    endpoints.filter(|it| !excluded.contains(&it.id)).min_by_key(|it| {
        let zone_penalty = if it.zone == *zone { 0 } else { OTHER_ZONE_PENALTY_REQUESTS };
        let requests = load.total_at(&it.id).requests.saturating_add(zone_penalty);
        (requests.saturating_add(slow_penalty(it)), weight(draw, &it.id))
    })
}

/// What an instance knows of the engines of a pool
#[derive(Debug, Clone, Copy)]
pub struct EngineView<'a> {
    pub endpoints: &'a [ListedEndpoint],
    pub load: &'a FleetLoad,
    pub caches: &'a PromptCaches,
    pub timing: &'a PoolTiming,
    pub now: Instant,
}

/// Inputs of a generation's plan
struct PlanInputs<'a> {
    request: &'a GenerationRequest<'a>,
    view: EngineView<'a>,
    prefixes: Vec<PromptPrefix>,
}

/// Plans a generation over the engines of its pool
pub fn plan_generation(request: &GenerationRequest<'_>, view: &EngineView<'_>) -> PlanOutcome {
    let inputs = PlanInputs { request, view: *view, prefixes: request.prompt.prefixes() };
    let whole = match request.progress {
        PromptProgress::Held => {
            inputs.best_decode(inputs.usable(EngineRole::Mixed)).map(GenerationPlan::Decode)
        }
        _ => inputs.best_whole().map(GenerationPlan::Whole),
    };
    let split = if request.may_split() { inputs.best_split() } else { None };
    let plans = [whole, split].into_iter().flatten();
    let Some(best) = plans.min_by(|one, other| one.cost_ms().total_cmp(&other.cost_ms())) else {
        return PlanOutcome::NoEngine;
    };
    if request.accepts(&best) {
        PlanOutcome::Plan(best)
    } else {
        PlanOutcome::Full(best.expected_ms())
    }
}

impl<'a> PlanInputs<'a> {
    /// Cheapest pair of engines of one software version, since the cache goes from one to the other
    fn best_split(&self) -> Option<GenerationPlan> {
        let readers = self.usable(EngineRole::Prefill).into_iter();
        let versions = readers.map(|it| &it.version).collect::<IndexSet<_>>();
        let plans = versions.into_iter().filter_map(|version| {
            let of_version = |role| {
                let engines = self.usable(role).into_iter();
                engines.filter(|it| it.version == *version).collect::<Vec<_>>()
            };
            let prefill = self.best_reader(of_version(EngineRole::Prefill), EngineRole::Prefill)?;
            let decode = self.best_decode(of_version(EngineRole::Mixed))?;
            Some(GenerationPlan::Split { prefill, decode })
        });
        plans.min_by(|one, other| one.cost_ms().total_cmp(&other.cost_ms()))
    }

    fn best_whole(&self) -> Option<EnginePick> {
        self.best_reader(self.usable(EngineRole::Mixed), EngineRole::Mixed)
    }

    fn best_decode(&self, engines: Vec<&'a ListedEndpoint>) -> Option<EnginePick> {
        let candidates = self.candidates(engines, None);
        cheapest(candidates.iter().map(|it| self.decode_pick(it)))
    }

    /// Cheapest of some engines of a role to read the prompt
    fn best_reader(
        &self,
        engines: Vec<&'a ListedEndpoint>,
        role: EngineRole,
    ) -> Option<EnginePick> {
        let preferred = self.preferred(&engines);
        let candidates = self.candidates(engines, preferred);
        cheapest(candidates.iter().map(|it| self.read_pick(it, role)))
    }

    fn usable(&self, role: EngineRole) -> Vec<&'a ListedEndpoint> {
        let excluded = self.request.excluded;
        let is_usable = |it: &&ListedEndpoint| it.role == Some(role) && !excluded.contains(&it.id);
        self.view.endpoints.iter().filter(is_usable).collect()
    }

    /// The preferred engine and a random sample of the others
    fn candidates(
        &self,
        mut engines: Vec<&'a ListedEndpoint>,
        preferred: Option<&ListedEndpoint>,
    ) -> Vec<&'a ListedEndpoint> {
        let is_preferred =
            |it: &ListedEndpoint| preferred.is_some_and(|preferred| preferred.id == it.id);
        engines.sort_by_key(|it| (!is_preferred(it), weight(self.request.draw, &it.id)));
        engines.truncate(SAMPLED_ENGINES + usize::from(preferred.is_some()));
        engines
    }

    /// Engine that holds most of the prompt; if none does, the same engine on every instance
    fn preferred(&self, engines: &[&'a ListedEndpoint]) -> Option<&'a ListedEndpoint> {
        let key = self.request.prompt.affinity_key();
        let held = |it: &ListedEndpoint| self.view.caches.held_tokens(it, &self.prefixes);
        engines.iter().copied().max_by_key(|it| (held(it), weight(key, &it.id)))
    }

    /// Engine of the same software version other than `reader` that holds most of the prompt, and the held tokens;
    /// prefers its zone
    fn holder(&self, reader: &ListedEndpoint) -> Option<(&'a ListedEndpoint, TokenCount)> {
        let held = self
            .view
            .endpoints
            .iter()
            .map(|it| (it, self.view.caches.held_tokens(it, &self.prefixes)));
        let others = held.filter(|(it, _)| it.id != reader.id && it.version == reader.version);
        others.max_by_key(|(it, tokens)| {
            (*tokens, it.zone == reader.zone, weight(self.request.draw, &it.id))
        })
    }

    fn read_pick(&self, engine: &ListedEndpoint, role: EngineRole) -> EnginePick {
        let own_tokens = self.view.caches.held_tokens(engine, &self.prefixes);
        let is_fetch = |tokens: TokenCount| tokens >= own_tokens + self.min_fetched_tokens(role);
        let holder = self.holder(engine).filter(|(_, it)| is_fetch(*it));
        let held_tokens = holder.map_or(own_tokens, |(_, it)| it);
        let prompt_tokens = self.request.prompt.prompt_tokens;
        let unread_tokens = u64::from(prompt_tokens.saturating_sub(held_tokens));
        let fetched_tokens = f64::from(held_tokens - own_tokens);
        let timing = self.view.timing;
        let fetch_ms =
            holder.map_or(0.0, |_| self.stage_time(TimedStage::Fetch).ms(fetched_tokens));
        let stage = reading_stage(role);
        let work = self.view.load.total_at(&engine.id);
        let factor = timing.factor(&engine.id, self.view.now);
        let time = self.stage_time(stage);
        let read_ms = factor * time.ms_per_token * unread_tokens as f64;
        let own_ms = factor * time.fixed_ms + read_ms + fetch_ms;
        let wait_ms = self.wait_ms(engine, role, work);
        let expected_ms = own_ms + timing.wait_factor() * wait_ms;
        // Reading also delays the decoding requests of a mixed engine.
        let added_delay_ms = if role == EngineRole::Prefill {
            0.0
        } else {
            read_ms * f64::from(work.requests.min(engine.slots)) * self.delay_weight()
                + self.preemption_ms(engine, work)
        };
        let is_loaded = is_loaded(engine, work, unread_tokens);
        let ahead_tokens =
            if is_loaded { work.unread_tokens as f64 } else { remaining_unread(work) };
        let timed = match holder {
            Some(_) if is_loaded => None,
            Some(_) => Some(TimedPart {
                stage: TimedStage::Fetch,
                tokens: fetched_tokens,
                earlier_ms: expected_ms - fetch_ms,
                is_loaded,
            }),
            None => Some(TimedPart {
                stage,
                tokens: unread_tokens as f64 + ahead_tokens,
                earlier_ms: 0.0,
                is_loaded,
            }),
        };
        EnginePick {
            endpoint: engine.id.clone(),
            version: engine.version.clone(),
            work,
            unread_tokens,
            holder: holder.map(|(it, _)| it.id.clone()),
            expected_ms,
            own_ms,
            wait_ms,
            cost_ms: expected_ms + added_delay_ms + zone_penalty_ms(self.request, engine),
            timed,
        }
    }

    fn decode_pick(&self, engine: &ListedEndpoint) -> EnginePick {
        let work = self.view.load.total_at(&engine.id);
        let tokens = f64::from(self.request.prompt.prompt_tokens);
        let factor = self.view.timing.factor(&engine.id, self.view.now);
        let own_ms = factor * self.stage_time(TimedStage::Decode).ms(tokens);
        let wait_ms = self.wait_ms(engine, EngineRole::Mixed, work);
        let expected_ms = own_ms + self.view.timing.wait_factor() * wait_ms;
        let added_delay_ms = self.preemption_ms(engine, work);
        EnginePick {
            endpoint: engine.id.clone(),
            version: engine.version.clone(),
            work,
            unread_tokens: 0,
            holder: None,
            expected_ms,
            own_ms,
            wait_ms,
            cost_ms: expected_ms + added_delay_ms + zone_penalty_ms(self.request, engine),
            timed: (!is_loaded(engine, work, 0)).then_some(TimedPart {
                stage: TimedStage::Decode,
                tokens,
                earlier_ms: 0.0,
                is_loaded: false,
            }),
        }
    }

    /// Wait for the other requests at an engine by counted work, in milliseconds: for their prompts,
    /// and at a mixed engine also for a batch slot
    fn wait_ms(&self, engine: &ListedEndpoint, role: EngineRole, work: WorkCount) -> f64 {
        let timing = self.view.timing;
        let time = self.stage_time(reading_stage(role));
        let factor = timing.factor(&engine.id, self.view.now);
        let read_ms = factor * time.ms_per_token * remaining_unread(work);
        if role == EngineRole::Prefill {
            return read_ms;
        }
        let slots = engine.slots.max(1);
        let queued = f64::from(work.requests.saturating_add(1).saturating_sub(slots));
        let batch_ms = factor * time.ms_per_token * occupancy(engine, work) * FULL_BATCH_TOKENS;
        read_ms + batch_ms + queued * timing.hold_ms() / f64::from(slots)
    }

    fn stage_time(&self, stage: TimedStage) -> StageTime {
        self.view.timing.stage(stage, self.view.now)
    }

    /// Weight of a delay of a running request, relative to one of this request
    fn delay_weight(&self) -> f64 {
        let limit = self.request.pause_limit.unwrap_or(self.request.objective);
        let slack_ms = limit.as_secs_f64() * 1000.0 - self.view.timing.pause_ms();
        (FULL_DELAY_SLACK_MS / slack_ms.max(FULL_DELAY_SLACK_MS)).min(1.0)
    }

    /// Delay of a running request that a full engine preempts for this one, in milliseconds
    fn preemption_ms(&self, engine: &ListedEndpoint, work: WorkCount) -> f64 {
        if work.requests < engine.slots {
            return 0.0;
        }
        self.view.timing.hold_ms()
    }

    /// Number of tokens from which they are fetched
    fn min_fetched_tokens(&self, role: EngineRole) -> TokenCount {
        let fetch = self.stage_time(TimedStage::Fetch);
        let saved_ms = self.stage_time(reading_stage(role)).ms_per_token - fetch.ms_per_token;
        let tokens = if saved_ms > 0.0 { fetch.fixed_ms / saved_ms } else { f64::INFINITY };
        (tokens as TokenCount).clamp(MIN_FETCHED_TOKENS, MAX_READ_TOKENS)
    }
}

fn cheapest(picks: impl Iterator<Item = EnginePick>) -> Option<EnginePick> {
    picks.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
}

fn reading_stage(role: EngineRole) -> TimedStage {
    if role == EngineRole::Prefill { TimedStage::Prefill } else { TimedStage::Whole }
}

/// Whether so much other work is ahead that the time of a send shows little of the engine's speed
fn is_loaded(engine: &ListedEndpoint, work: WorkCount, unread_tokens: u64) -> bool {
    let limit = (unread_tokens as f64 * MAX_TIMED_QUEUE_FRACTION).max(MAX_TIMED_QUEUE_TOKENS);
    work.requests >= engine.slots || work.unread_tokens as f64 > limit
}

/// Fraction of an engine's batch slots that are taken
fn occupancy(engine: &ListedEndpoint, work: WorkCount) -> f64 {
    let slots = engine.slots.max(1);
    f64::from(work.requests.min(slots)) / f64::from(slots)
}

fn zone_penalty_ms(request: &GenerationRequest<'_>, engine: &ListedEndpoint) -> f64 {
    if engine.zone == *request.zone { 0.0 } else { OTHER_ZONE_PENALTY_MS }
}

/// Estimated unread tokens at an engine that a new request waits for
fn remaining_unread(work: WorkCount) -> f64 {
    work.unread_tokens as f64 * REMAINING_UNREAD_FRACTION
}

/// Rendezvous hash of an endpoint for a key; equal on every instance
fn weight(key: u64, endpoint: &EndpointId) -> u64 {
    let mut hasher = XxHash3_64::with_seed(key);
    hasher.write(endpoint.as_bytes());
    hasher.finish()
}
