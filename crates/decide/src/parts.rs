//! Which mixed engines read prompts and which generate.
//!
//! A prompt that is read delays every stream that generates beside it. So mixed
//! engines are parted without an order and without being away: the first of them,
//! in the order of the platform's list, read long prompts, the others generate. How
//! many read follows the measured mix, so the boundary moves within seconds. The
//! engine on the boundary does both.

use crate::choice::ServingPart;
use crate::endpoint::EndpointView;
use catalogue::EngineRole;
use catalogue::id::TokenCount;

/// Prompt from which on it is read apart from the streams.
pub const LONG_PROMPT_TOKENS: TokenCount = 1_000;
/// Output up to which handing the cache over is not worth it.
const SHORT_OUTPUT_TOKENS: TokenCount = 16;
/// Least part of an engine's time for which it joins the readers or the writers.
const LEAST_PART: f64 = 0.15;

/// What a part of a request mostly is
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkKind {
    Reading,
    Writing,
}

/// Whether a request is better served in two parts
pub fn is_split(prompt_tokens: TokenCount, output_tokens: TokenCount) -> bool {
    prompt_tokens >= LONG_PROMPT_TOKENS && output_tokens > SHORT_OUTPUT_TOKENS
}

/// Keeps the engines that are meant for the part; all of them if none is
pub(crate) fn retain_meant(
    usable: &mut Vec<usize>,
    views: &[EndpointView],
    part: ServingPart,
    prompt_tokens: TokenCount,
    prompt_share: f64,
) {
    let kind = match part {
        ServingPart::Prefill => WorkKind::Reading,
        ServingPart::Whole if prompt_tokens >= LONG_PROMPT_TOKENS => WorkKind::Reading,
        ServingPart::Whole | ServingPart::Decode => WorkKind::Writing,
        ServingPart::Service => return,
    };
    let readers = mixed_readers(views, prompt_share);
    let mut place = 0.0;
    let mut meant = Vec::with_capacity(usable.len());
    for (index, view) in views.iter().enumerate().filter(|(_, it)| it.accepting) {
        let is_mixed = view.role == Some(EngineRole::Mixed);
        if !is_mixed || is_meant(kind, readers - place) {
            meant.push(index);
        }
        place += f64::from(u8::from(is_mixed));
    }
    meant.retain(|it| usable.contains(it));
    if !meant.is_empty() {
        *usable = meant;
    }
}

fn is_meant(kind: WorkKind, reading: f64) -> bool {
    match kind {
        WorkKind::Reading => reading > LEAST_PART,
        WorkKind::Writing => reading < 1.0 - LEAST_PART,
    }
}

/// Mixed engines that should read, counted in parts of an engine
fn mixed_readers(views: &[EndpointView], prompt_share: f64) -> f64 {
    let count = |role| {
        let matches = |it: &&EndpointView| it.accepting && it.role == Some(role);
        views.iter().filter(matches).count() as f64
    };
    let mixed = count(EngineRole::Mixed);
    let prefill = count(EngineRole::Prefill);
    let all = mixed + prefill + count(EngineRole::Decode);
    (all * prompt_share - prefill).clamp(0.0, mixed)
}
