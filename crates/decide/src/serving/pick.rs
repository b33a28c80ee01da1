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
use catalogue::EngineRole;
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use std::hash::Hasher;
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Penalty for an endpoint in another zone, in requests in flight.
const OTHER_ZONE_PENALTY_REQUESTS: u32 = 2;
/// Shortest prompt that is read and decoded by different engines, in tokens.
const MIN_SPLIT_TOKENS: u32 = 1024;
/// Output length in tokens above which a request occupies a batch slot for seconds.
const LONG_OUTPUT_TOKENS: u32 = 1000;
/// Prompt tokens that a prefill engine reads per millisecond; from the engine specification.
const PREFILL_TOKENS_PER_MS: f64 = 942.0;
/// Prompt tokens that a mixed engine reads per millisecond while it decodes; from the engine specification.
const MIXED_TOKENS_PER_MS: f64 = 300.0;
/// Milliseconds from the last prompt token to the client's first event; from the engine specification.
const FIRST_TOKEN_MS: f64 = 14.0;
/// Time to transfer a cache and to call a second engine, in milliseconds; from the engine specification.
const HANDOVER_MS: f64 = 8.0;
/// Time to fetch shared parts from another engine, in milliseconds; from the engine specification.
const FETCH_MS: f64 = 2.0;
/// Minimum number of fetched tokens; reading fewer is quicker than setting up a fetch.
const MIN_FETCHED_TOKENS: TokenCount = 1000;
/// Delay until a batch slot is free, per request beyond the slots, in milliseconds.
const QUEUE_DELAY_MS: f64 = 15.0;
/// Delay of the first token by a full batch, in milliseconds.
const FULL_BATCH_MS: f64 = 4.0;
/// Fraction of an engine's reported unread tokens that remain when a request arrives: some prompts
/// are partly read, and the work of other instances is reported with a delay.
const REMAINING_UNREAD_FRACTION: f64 = 0.5;
/// Weight of the prompt's reading time for each running request that it delays.
const ADDED_DELAY_WEIGHT: f64 = 0.3;
/// Penalty for an engine in another zone, in milliseconds; covers network latency and traffic cost.
const OTHER_ZONE_PENALTY_MS: f64 = 4.0;
/// Engines drawn at random to compare with the preferred one. All instances see the same delayed
/// work; if each compared all engines, they would all choose the same one.
const SAMPLED_ENGINES: usize = 2;
/// Fraction of the objective that the estimated time may take.
const OBJECTIVE_FRACTION: f64 = 0.9;
/// The same for a request that is already late: it may only use capacity that first attempts leave.
const LATE_OBJECTIVE_FRACTION: f64 = 0.35;

/// Engine picked for a stage of a generation
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePick {
    /// Id of the engine
    pub endpoint: EndpointId,
    /// Work of all instances at the engine
    pub work: WorkCount,
    /// Prompt tokens that the engine is expected to read
    pub unread_tokens: u64,
    /// Engine to fetch the shared parts from; `None` without a fetch
    pub holder: Option<EndpointId>,
    /// Expected time of this stage, in milliseconds
    pub expected_ms: f64,
    /// Expected time plus weighted delay of other requests and zone penalty, in milliseconds
    pub cost_ms: f64,
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
        FIRST_TOKEN_MS + self.sum(|it| it.expected_ms)
    }

    /// Expected time plus delay of other requests and zone penalties, in milliseconds
    fn cost_ms(&self) -> f64 {
        FIRST_TOKEN_MS + self.sum(|it| it.cost_ms)
    }

    fn sum(&self, stage_ms: impl Fn(&EnginePick) -> f64) -> f64 {
        match self {
            GenerationPlan::Whole(pick) => stage_ms(pick),
            GenerationPlan::Split { prefill, decode } => {
                stage_ms(prefill) + HANDOVER_MS + stage_ms(decode)
            }
            GenerationPlan::Decode(pick) => HANDOVER_MS + stage_ms(pick),
        }
    }
}

/// Result of planning
#[derive(Debug, Clone, PartialEq)]
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
    pub progress: PromptProgress,
    /// Whether the client was refused before, so that its answer is already late
    pub has_waited: bool,
    /// Random number of the request; makes instances with the same view choose different engines
    pub draw: u64,
}

impl GenerationRequest<'_> {
    fn has_long_output(&self) -> bool {
        self.prompt.output_tokens > LONG_OUTPUT_TOKENS
    }

    fn may_split(&self) -> bool {
        self.progress == PromptProgress::Unread
            && !self.has_long_output()
            && self.prompt.prompt_tokens >= MIN_SPLIT_TOKENS
    }

    fn allowed_ms(&self) -> f64 {
        let fraction = if self.has_waited { LATE_OBJECTIVE_FRACTION } else { OBJECTIVE_FRACTION };
        self.objective.as_secs_f64() * 1000.0 * fraction
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
    endpoints.filter(|it| !excluded.contains(&it.id)).min_by_key(|it| {
        let penalty = if it.zone == *zone { 0 } else { OTHER_ZONE_PENALTY_REQUESTS };
        (load.total_at(&it.id).requests + penalty, weight(draw, &it.id))
    })
}

/// Time to read a prompt at an engine, and the delay that this adds to the engine's running requests
struct ReadTime {
    expected_ms: f64,
    added_delay_ms: f64,
}

/// Inputs of a generation's plan
struct PlanInputs<'a> {
    request: &'a GenerationRequest<'a>,
    endpoints: &'a [ListedEndpoint],
    load: &'a FleetLoad,
    caches: &'a PromptCaches,
    prefixes: Vec<PromptPrefix>,
}

/// Plans a generation over the engines of its pool
pub fn plan_generation(
    request: &GenerationRequest<'_>,
    endpoints: &[ListedEndpoint],
    load: &FleetLoad,
    caches: &PromptCaches,
) -> PlanOutcome {
    let inputs =
        PlanInputs { request, endpoints, load, caches, prefixes: request.prompt.prefixes() };
    let whole = match request.progress {
        PromptProgress::Held => inputs.best_decode().map(GenerationPlan::Decode),
        _ => inputs.best_whole().map(GenerationPlan::Whole),
    };
    let split = if request.may_split() { inputs.best_split() } else { None };
    let plans = [whole, split].into_iter().flatten();
    let Some(best) = plans.min_by(|one, other| one.cost_ms().total_cmp(&other.cost_ms())) else {
        return PlanOutcome::NoEngine;
    };
    if best.expected_ms() > request.allowed_ms() {
        return PlanOutcome::Full(best.expected_ms());
    }
    PlanOutcome::Plan(best)
}

impl<'a> PlanInputs<'a> {
    fn best_split(&self) -> Option<GenerationPlan> {
        let prefill = self.best_reader(EngineRole::Prefill, prefill_time)?;
        let decode = self.best_decode()?;
        Some(GenerationPlan::Split { prefill, decode })
    }

    fn best_whole(&self) -> Option<EnginePick> {
        self.best_reader(EngineRole::Mixed, whole_time)
    }

    fn best_decode(&self) -> Option<EnginePick> {
        let candidates = self.candidates(self.usable(EngineRole::Mixed), None);
        cheapest(candidates.iter().map(|it| decode_pick(self.request, it, self.load)))
    }

    /// Cheapest engine of a role to read the prompt; `time` estimates the reading at an engine
    fn best_reader(
        &self,
        role: EngineRole,
        time: impl Fn(&ListedEndpoint, WorkCount, u64) -> ReadTime,
    ) -> Option<EnginePick> {
        let engines = self.usable(role);
        let preferred = self.preferred(&engines);
        let candidates = self.candidates(engines, preferred);
        cheapest(candidates.iter().map(|it| self.read_pick(it, &time)))
    }

    fn usable(&self, role: EngineRole) -> Vec<&'a ListedEndpoint> {
        let excluded = self.request.excluded;
        let is_usable = |it: &&ListedEndpoint| it.role == Some(role) && !excluded.contains(&it.id);
        self.endpoints.iter().filter(is_usable).collect()
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
        let held = |it: &ListedEndpoint| self.caches.held_tokens(it, &self.prefixes);
        engines.iter().copied().max_by_key(|it| (held(it), weight(key, &it.id)))
    }

    /// Engine other than `reader` that holds most of the prompt, and the held tokens; prefers its zone
    fn holder(&self, reader: &ListedEndpoint) -> Option<(&'a ListedEndpoint, TokenCount)> {
        let held =
            self.endpoints.iter().map(|it| (it, self.caches.held_tokens(it, &self.prefixes)));
        let others = held.filter(|(it, _)| it.id != reader.id);
        others.max_by_key(|(it, tokens)| {
            (*tokens, it.zone == reader.zone, weight(self.request.draw, &it.id))
        })
    }

    fn read_pick(
        &self,
        engine: &ListedEndpoint,
        time: impl Fn(&ListedEndpoint, WorkCount, u64) -> ReadTime,
    ) -> EnginePick {
        let own_tokens = self.caches.held_tokens(engine, &self.prefixes);
        let holder = self.holder(engine).filter(|(_, it)| *it >= own_tokens + MIN_FETCHED_TOKENS);
        let held_tokens = holder.map_or(own_tokens, |(_, it)| it);
        let unread_tokens =
            u64::from(self.request.prompt.prompt_tokens.saturating_sub(held_tokens));
        let work = self.load.total_at(&engine.id);
        let fetch_ms = if holder.is_some() { FETCH_MS } else { 0.0 };
        let time = time(engine, work, unread_tokens);
        let expected_ms = time.expected_ms + fetch_ms;
        let cost_ms = expected_ms + time.added_delay_ms + zone_penalty_ms(self.request, engine);
        let holder = holder.map(|(it, _)| it.id.clone());
        let endpoint = engine.id.clone();
        EnginePick { endpoint, work, unread_tokens, holder, expected_ms, cost_ms }
    }
}

fn cheapest(picks: impl Iterator<Item = EnginePick>) -> Option<EnginePick> {
    picks.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
}

fn decode_pick(
    request: &GenerationRequest<'_>,
    engine: &ListedEndpoint,
    load: &FleetLoad,
) -> EnginePick {
    let work = load.total_at(&engine.id);
    let expected_ms = slot_wait_ms(engine, work) + remaining_unread(work) / MIXED_TOKENS_PER_MS;
    let cost_ms = expected_ms + zone_penalty_ms(request, engine);
    let endpoint = engine.id.clone();
    EnginePick { endpoint, work, unread_tokens: 0, holder: None, expected_ms, cost_ms }
}

fn zone_penalty_ms(request: &GenerationRequest<'_>, engine: &ListedEndpoint) -> f64 {
    if engine.zone == *request.zone { 0.0 } else { OTHER_ZONE_PENALTY_MS }
}

/// Time until a batch slot is free, plus the delay of a fuller batch
fn slot_wait_ms(engine: &ListedEndpoint, work: WorkCount) -> f64 {
    let slots = engine.slots.max(1);
    let queued = (work.requests + 1).saturating_sub(slots);
    let occupancy = f64::from(work.requests.min(slots)) / f64::from(slots);
    occupancy * FULL_BATCH_MS + f64::from(queued) * QUEUE_DELAY_MS
}

/// Estimated unread tokens at an engine that a new request waits for
fn remaining_unread(work: WorkCount) -> f64 {
    work.unread_tokens as f64 * REMAINING_UNREAD_FRACTION
}

fn prefill_time(_engine: &ListedEndpoint, work: WorkCount, unread_tokens: u64) -> ReadTime {
    let expected_ms = (remaining_unread(work) + unread_tokens as f64) / PREFILL_TOKENS_PER_MS;
    ReadTime { expected_ms, added_delay_ms: 0.0 }
}

fn whole_time(engine: &ListedEndpoint, work: WorkCount, unread_tokens: u64) -> ReadTime {
    let own_ms = unread_tokens as f64 / MIXED_TOKENS_PER_MS;
    let running = f64::from(work.requests.min(engine.slots));
    let expected_ms =
        slot_wait_ms(engine, work) + remaining_unread(work) / MIXED_TOKENS_PER_MS + own_ms;
    ReadTime { expected_ms, added_delay_ms: own_ms * running * ADDED_DELAY_WEIGHT }
}

/// Rendezvous hash of an endpoint for a key; equal on every instance
fn weight(key: u64, endpoint: &EndpointId) -> u64 {
    let mut hasher = XxHash3_64::with_seed(key);
    hasher.write(endpoint.as_bytes());
    hasher.finish()
}
