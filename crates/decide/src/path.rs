//! Choice between one mixed engine and a prefill engine followed by a decode engine.
//!
//! A mixed engine may also play one of the two parts, so that long prompts are read
//! away from the streams that they would slow down. All ways are costed with the same
//! figures and the cheaper one is taken. The decode engine is chosen anew once the prompt is read; here
//! it only has to exist and to be costed.

use crate::choice::{ChoiceRequest, EndpointChoice, ServingPart, choose};
use crate::endpoint::EndpointView;
use crate::parts::is_split;
use catalogue::EngineRole;
use rand::Rng;
use std::time::{Duration, Instant};

/// Time that the cache takes from one engine to the other.
const HANDOVER_S: f64 = 0.03;

/// Way through the engines
#[derive(Debug, Clone, PartialEq)]
pub enum EnginePath {
    /// Prompt and output on one mixed engine
    Whole(EndpointChoice),
    /// Prompt on a prefill engine, output on a decode engine
    Split {
        /// Engine that reads the prompt
        prefill: EndpointChoice,
        /// Engine that would generate if it were chosen now
        decode: EndpointChoice,
    },
}

impl EnginePath {
    /// Time that the answer is expected to take
    pub fn expected(&self) -> Duration {
        match self {
            EnginePath::Whole(choice) => choice.expected(),
            EnginePath::Split { prefill, decode } => {
                prefill.expected().saturating_add(decode.expected())
            }
        }
    }
}

impl EnginePath {
    fn score(&self) -> f64 {
        match self {
            EnginePath::Whole(choice) => choice.score,
            EnginePath::Split { prefill, decode } => prefill.score + decode.score + HANDOVER_S,
        }
    }
}

/// Chooses the way for a request to engines, whatever its `part` says; `None` when there is none
pub fn choose_path(
    request: &ChoiceRequest,
    views: &[EndpointView],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<EnginePath> {
    let mut part = request.clone();
    part.part = ServingPart::Whole;
    let whole = choose(&part, views, now, rng).map(EnginePath::Whole);
    part.part = ServingPart::Prefill;
    let prefill = choose(&part, views, now, rng);
    part.part = ServingPart::Decode;
    let decode = choose(&part, views, now, rng);
    let split = prefill.zip(decode);
    let split = split.map(|(prefill, decode)| EnginePath::Split { prefill, decode });
    let is_parted = request.prompt_share.is_some() && views.iter().all(is_undivided);
    let wants_split = is_split(request.prompt_tokens, request.output_tokens);
    match (whole, split) {
        (Some(_), Some(split)) if is_parted && wants_split => Some(split),
        (Some(whole), Some(_)) if is_parted => Some(whole),
        (Some(whole), Some(split)) if split.score() < whole.score() => Some(split),
        (Some(whole), _) => Some(whole),
        (None, split) => split,
    }
}

/// Whether an engine can play both parts, or doesn't count
fn is_undivided(view: &EndpointView) -> bool {
    !view.accepting || matches!(view.role, Some(EngineRole::Mixed) | None)
}
