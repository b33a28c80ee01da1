//! What an engine remembers about the work and the orders it was given.

use crate::answer::AnswerSeed;
use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, OrderId, RequestId, TokenCount};

/// Request that an engine took
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct EngineExecution {
    /// Engine
    pub engine: EndpointId,
    /// Request
    pub request: RequestId,
    /// First token wanted
    pub from_token: TokenCount,
    /// Digest of model and prompt
    pub seed: AnswerSeed,
}

/// Order that an engine was given
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct OrderRecord {
    /// Engine
    pub engine: EndpointId,
    /// Order id
    pub order: OrderId,
    /// Fencing number
    pub fence: Fence,
    /// Who gave it
    pub issuer: InstanceId,
    /// What the engine was to serve
    pub target: ModelTarget,
    /// Whether the engine took it
    pub taken: bool,
    /// Requests that it cut off
    pub cut: u32,
}

/// Two orders that an engine took although the later one had lost its authority
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct OrderConflict {
    /// Order taken first
    pub first: OrderRecord,
    /// Order taken after it, under an older or the same fence
    pub second: OrderRecord,
}

/// Conflicts among the orders that one engine was given, in their order of arrival
///
/// Taken orders conflict when a later one carries an older fencing number, or when
/// two holders give different orders under one number.
pub fn conflicts(orders: &[OrderRecord]) -> Vec<OrderConflict> {
    let taken: Vec<&OrderRecord> = orders.iter().filter(|it| it.taken).collect();
    let mut conflicts = Vec::new();
    for (index, second) in taken.iter().enumerate() {
        let clash = taken[..index].iter().find(|first| is_conflict(first, second));
        if let Some(first) = clash {
            conflicts.push(OrderConflict { first: (*first).clone(), second: (*second).clone() });
        }
    }
    conflicts
}

fn is_conflict(first: &OrderRecord, second: &OrderRecord) -> bool {
    let is_older = second.fence < first.fence;
    let is_other_holder = second.fence == first.fence && second.issuer != first.issuer;
    let is_rewritten = second.order == first.order && second.target != first.target;
    is_older || is_other_holder || is_rewritten
}
