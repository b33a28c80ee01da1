//! Records of the requests and orders that an engine received.

use crate::answer::AnswerSeed;
use catalogue::ModelTarget;
use catalogue::id::{EndpointId, Fence, InstanceId, OrderId, RequestId, TokenCount};

/// Request that an engine accepted
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct EngineExecution {
    pub engine: EndpointId,
    pub request: RequestId,
    /// Number of the first token requested
    pub from_token: TokenCount,
    /// Digest of model and prompt
    pub seed: AnswerSeed,
}

/// Order that an engine received
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct OrderRecord {
    pub engine: EndpointId,
    pub order: OrderId,
    /// Fencing number that the order carries
    pub fence: Fence,
    /// Instance that sent it
    pub issuer: InstanceId,
    /// Target that the engine was to serve
    pub target: ModelTarget,
    /// Whether the engine accepted it
    pub taken: bool,
    /// Number of requests in flight that it stopped
    pub cut: u32,
}

/// Two orders that an engine accepted although the later one should have been fenced off
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct OrderConflict {
    /// Order accepted first
    pub first: OrderRecord,
    /// Order accepted later, under an older or the same fencing number
    pub second: OrderRecord,
}

/// Conflicts among the orders of one engine, given in order of arrival
///
/// Two accepted orders conflict if the later one has an older fencing number, if two
/// issuers used the same fencing number, or if they have the same id and different
/// targets.
pub fn conflicts(orders: &[OrderRecord]) -> Vec<OrderConflict> {
    let accepted: Vec<&OrderRecord> = orders.iter().filter(|it| it.taken).collect();
    let mut conflicts = Vec::new();
    for (index, second) in accepted.iter().enumerate() {
        let conflicting = accepted[..index].iter().find(|first| is_conflict(first, second));
        if let Some(first) = conflicting {
            conflicts.push(OrderConflict { first: (*first).clone(), second: (*second).clone() });
        }
    }
    conflicts
}

fn is_conflict(first: &OrderRecord, second: &OrderRecord) -> bool {
    let is_older = second.fence < first.fence;
    let is_other_issuer = second.fence == first.fence && second.issuer != first.issuer;
    let is_rewritten = second.order == first.order && second.target != first.target;
    is_older || is_other_issuer || is_rewritten
}
