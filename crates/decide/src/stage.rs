//! Stages of serving, and which engines fit them.

use catalogue::EngineRole;

/// Stage of serving that an endpoint is chosen for
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServingStage {
    /// Prompt and output on one engine
    Whole,
    /// Prompt only; the engine exports its cache
    Prefill,
    /// Output only; the engine imports the cache
    Decode,
    /// Call to a plain service
    Service,
}

impl ServingStage {
    /// Whether an endpoint of this role serves the stage
    pub(crate) fn fits(self, role: Option<EngineRole>) -> bool {
        match self {
            ServingStage::Whole => role == Some(EngineRole::Mixed),
            ServingStage::Prefill => role.is_some_and(EngineRole::prefills),
            ServingStage::Decode => role.is_some_and(EngineRole::decodes),
            ServingStage::Service => role.is_none(),
        }
    }
}
