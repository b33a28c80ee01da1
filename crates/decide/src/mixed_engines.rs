//! Division of mixed engines between prefill and decode.
//!
//! Reading a prompt delays every stream that decodes on the same engine. Routing
//! therefore divides the mixed engines without a change of role, which would need an
//! order and make them unavailable: the first ones, in the order of the platform's list,
//! read long prompts, and the others decode. The number of readers follows the measured
//! workload mix, so the boundary moves within seconds. The engine at the boundary does both.

use crate::endpoint::EndpointView;
use crate::stage::ServingStage;
use catalogue::EngineRole;
use catalogue::id::TokenCount;

/// Shortest prompt that is read separately from the decoding streams.
pub const LONG_PROMPT_TOKENS: TokenCount = 1_000;
/// Longest output for which a cache transfer does not pay.
const SHORT_OUTPUT_TOKENS: TokenCount = 16;
/// Smallest fraction of the boundary engine's time for which it also serves a stage.
const MIN_ENGINE_FRACTION: f64 = 0.15;

/// Dominant work of a request's stage
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkKind {
    Prefill,
    Decode,
}

/// Whether prefill and decode of a request should run on different engines
pub fn should_split(prompt_tokens: TokenCount, output_tokens: TokenCount) -> bool {
    prompt_tokens >= LONG_PROMPT_TOKENS && output_tokens > SHORT_OUTPUT_TOKENS
}

/// Keeps the engines that are assigned to the stage; keeps all if none is
pub(crate) fn retain_assigned(
    usable: &mut Vec<usize>,
    views: &[EndpointView],
    stage: ServingStage,
    prompt_tokens: TokenCount,
    prompt_share: f64,
) {
    let kind = match stage {
        ServingStage::Prefill => WorkKind::Prefill,
        ServingStage::Whole if prompt_tokens >= LONG_PROMPT_TOKENS => WorkKind::Prefill,
        ServingStage::Whole | ServingStage::Decode => WorkKind::Decode,
        ServingStage::Service => return,
    };
    let readers = mixed_readers(views, prompt_share);
    let mut position = 0.0;
    let mut assigned = Vec::with_capacity(usable.len());
    for (index, view) in views.iter().enumerate().filter(|(_, it)| it.accepting) {
        let is_mixed = view.role == Some(EngineRole::Mixed);
        if !is_mixed || is_assigned(kind, readers - position) {
            assigned.push(index);
        }
        position += f64::from(u8::from(is_mixed));
    }
    assigned.retain(|it| usable.contains(it));
    if !assigned.is_empty() {
        *usable = assigned;
    }
}

/// Whether an engine serves a kind of work; `readers_left` is the number of readers from it on
fn is_assigned(kind: WorkKind, readers_left: f64) -> bool {
    match kind {
        WorkKind::Prefill => readers_left > MIN_ENGINE_FRACTION,
        WorkKind::Decode => readers_left < 1.0 - MIN_ENGINE_FRACTION,
    }
}

/// Number of mixed engines that should read prompts, including a fraction of an engine
fn mixed_readers(views: &[EndpointView], prompt_share: f64) -> f64 {
    let count = |role| {
        let matches = |it: &&EndpointView| it.accepting && it.role == Some(role);
        views.iter().filter(matches).count() as f64
    };
    let mixed = count(EngineRole::Mixed);
    let prefill = count(EngineRole::Prefill);
    let total = mixed + prefill + count(EngineRole::Decode);
    (total * prompt_share - prefill).clamp(0.0, mixed)
}
