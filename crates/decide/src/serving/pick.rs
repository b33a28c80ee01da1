//! Choice of the endpoint for a request.
//!
//! A plain service's endpoint is the one with the least work, the own availability
//! zone first. An engine is chosen by the time until the first token: the work that
//! waits there, and the part of the prompt that it isn't thought to hold. Requests
//! that share a prompt prefer the same engines in the same order, worked out by each
//! instance alone.

use super::load::{FleetLoad, WorkCount};
use super::prompt::PromptShape;
use super::roster::ListedEndpoint;
use catalogue::EngineRole;
use catalogue::id::{EndpointId, ZoneName};
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Requests in flight that an endpoint in another zone has to be ahead by.
const OTHER_ZONE_REQUESTS: u32 = 2;
/// Engines that are expected to hold a shared prompt.
const HOLDERS: usize = 1;
/// Prompt tokens that an engine reads in a millisecond between the tokens of others.
const MIXED_TOKENS_PER_MS: f64 = 471.0;
/// Time that each request in flight adds until the first token of the next, in milliseconds.
const SLOT_DELAY_MS: f64 = 8.0;
/// Time until a place is free, for each request beyond the places of an engine, in milliseconds.
const QUEUE_DELAY_MS: f64 = 30.0;

/// Engine picked for a generation
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePick {
    /// Engine
    pub endpoint: EndpointId,
    /// Rank among the engines preferred for the prompt, 0 first
    pub affinity: usize,
    /// Expected time until the first token, in milliseconds
    pub first_token_ms: f64,
    /// All instances' work there
    pub work: WorkCount,
    /// Tokens of the prompt that are expected to be read there
    pub unread_tokens: u64,
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
        let distance = if it.zone == *zone { 0 } else { OTHER_ZONE_REQUESTS };
        (load.total_at(&it.id).requests + distance, weight(draw, &it.id))
    })
}

/// Picks an engine that reads the prompt and generates; `None` if there is none
pub fn pick_engine<'a>(
    endpoints: impl Iterator<Item = &'a ListedEndpoint>,
    load: &FleetLoad,
    prompt: &PromptShape,
    excluded: &[EndpointId],
) -> Option<EnginePick> {
    let key = prompt.affinity_key();
    let mut usable = endpoints
        .filter(|it| it.role != Some(EngineRole::Prefill) && !excluded.contains(&it.id))
        .collect::<Vec<_>>();
    usable.sort_by_key(|it| std::cmp::Reverse(weight(key, &it.id)));
    let mut best: Option<EnginePick> = None;
    for (affinity, endpoint) in usable.into_iter().enumerate() {
        let work = load.total_at(&endpoint.id);
        let held = if affinity < HOLDERS { prompt.shared_tokens() } else { 0 };
        let unread_tokens = u64::from(prompt.prompt_tokens).saturating_sub(held);
        let first_token_ms = first_token_ms(endpoint.slots, work, unread_tokens);
        if best.as_ref().is_none_or(|it| first_token_ms < it.first_token_ms) {
            let endpoint = endpoint.id.clone();
            best = Some(EnginePick { endpoint, affinity, first_token_ms, work, unread_tokens });
        }
    }
    best
}

fn first_token_ms(slots: u32, work: WorkCount, unread_tokens: u64) -> f64 {
    let running = work.requests.min(slots);
    let queued = (work.requests + 1).saturating_sub(slots);
    (work.unread_tokens + unread_tokens) as f64 / MIXED_TOKENS_PER_MS
        + f64::from(running) * SLOT_DELAY_MS
        + f64::from(queued) * QUEUE_DELAY_MS
}

/// Weight of an endpoint for a key; the same on every instance
fn weight(key: u64, endpoint: &EndpointId) -> u64 {
    let mut hasher = XxHash3_64::with_seed(key);
    hasher.write(endpoint.as_bytes());
    hasher.finish()
}
