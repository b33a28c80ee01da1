//! Choice between one mixed engine and a prefill engine followed by a decode engine.
//!
//! Both ways are costed with the same figures and the one that is expected to end
//! sooner is taken. The decode engine is chosen anew once the prompt is read; here
//! it only has to exist and to be costed.

use crate::choice::{ChoiceRequest, EndpointChoice, ServingPart, choose};
use crate::endpoint::EndpointView;
use rand::Rng;
use std::time::{Duration, Instant};

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
    match (whole, split) {
        (Some(whole), Some(split)) if split.expected() < whole.expected() => Some(split),
        (Some(whole), _) => Some(whole),
        (None, split) => split,
    }
}
