//! Choice between one mixed engine and a prefill engine followed by a decode engine.
//!
//! A mixed engine may also serve only one of the two stages, so that long prompts are read
//! on other engines than the streams that they would delay. The cost of each path is
//! estimated in the same way, and the cheaper path is chosen. The decode engine is chosen
//! again after the prompt has been read; here its existence and its cost matter.

use crate::choice::{ChoiceRequest, EndpointChoice, ServingStage, choose};
use crate::endpoint::EndpointView;
use crate::mixed_engines::should_split;
use catalogue::EngineRole;
use rand::Rng;
use std::time::{Duration, Instant};

/// Time in seconds to transfer the cache to another engine.
const HANDOVER_S: f64 = 0.03;

/// Engines that serve the stages of a request
#[derive(Debug, Clone, PartialEq)]
pub enum EnginePath {
    /// Prompt and output on one mixed engine
    Whole(EndpointChoice),
    /// Prompt on a prefill engine, output on a decode engine
    Split {
        /// Engine that reads the prompt
        prefill: EndpointChoice,
        /// Engine that would decode if it were chosen now
        decode: EndpointChoice,
    },
}

impl EnginePath {
    /// Expected time until the answer is complete
    pub fn expected_time(&self) -> Duration {
        match self {
            EnginePath::Whole(choice) => choice.expected_time(),
            EnginePath::Split { prefill, decode } => {
                prefill.expected_time().saturating_add(decode.expected_time())
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

/// Chooses the path of a request and ignores its `stage`; `None` if there is no path
pub fn choose_path(
    request: &ChoiceRequest,
    views: &[EndpointView],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<EnginePath> {
    let mut stage = request.clone();
    stage.stage = ServingStage::Whole;
    let whole = choose(&stage, views, now, rng).map(EnginePath::Whole);
    stage.stage = ServingStage::Prefill;
    let prefill = choose(&stage, views, now, rng);
    stage.stage = ServingStage::Decode;
    let decode = choose(&stage, views, now, rng);
    let split = prefill.zip(decode);
    let split = split.map(|(prefill, decode)| EnginePath::Split { prefill, decode });
    let is_divided = request.prompt_share.is_some() && views.iter().all(serves_both_stages);
    let wants_split = should_split(request.prompt_tokens, request.output_tokens);
    match (whole, split) {
        (Some(_), Some(split)) if is_divided && wants_split => Some(split),
        (Some(whole), Some(_)) if is_divided => Some(whole),
        (Some(whole), Some(split)) if split.score() < whole.score() => Some(split),
        (Some(whole), _) => Some(whole),
        (None, split) => split,
    }
}

/// Whether an engine can serve both stages; endpoints that accept no requests don't count
fn serves_both_stages(view: &EndpointView) -> bool {
    !view.accepting || matches!(view.role, Some(EngineRole::Mixed) | None)
}
