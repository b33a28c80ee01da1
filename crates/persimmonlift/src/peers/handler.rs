//! Handles the calls of other instances.

use crate::context::InstanceContext;
use crate::suspects::StrikeNotice;
use coordination::peers::{answer_relay, answer_submit};
use coordination::shared::RelayError;
use peer::message::{RelayRequest, StrikeCount, StrikeReport};
use peer::{PeerRefusal, PeerReply, PeerRequest};
use platform::log::LogRecord;
use std::sync::Arc;

const CATALOGUE_STREAM: &str = "catalogue";
const CONTROL_PREFIX: &str = "control.";

/// Answers one call
///
/// # Errors
/// `PeerRefusal`; all but `Failed` state that the call had no effect.
pub(super) async fn answer(
    context: Arc<InstanceContext>,
    request: PeerRequest,
) -> Result<PeerReply, PeerRefusal> {
    match request {
        PeerRequest::Ping(update) => {
            context.peers.members().receive(update).await.map(PeerReply::Pong)
        }
        PeerRequest::Submit(request) => answer_submit(&context.once, request).await,
        PeerRequest::Relay(request) => {
            let from = request.from;
            answer_relay(from, records(&context, request).await)
        }
        PeerRequest::Grant(request) => Ok(PeerReply::Granted(context.answer_grant(&request))),
        PeerRequest::Strike(report) => Ok(PeerReply::Strikes(record_strike(&context, report))),
        PeerRequest::ConfirmPlan(request) => {
            let confirmed = context.planner.confirm(&request);
            confirmed.map(PeerReply::Confirmed).map_err(|_| PeerRefusal::Behind)
        }
        PeerRequest::Digest(_) => Err(PeerRefusal::Unsupported),
    }
}

async fn records(
    context: &InstanceContext,
    request: RelayRequest,
) -> Result<Vec<LogRecord>, RelayError> {
    let RelayRequest { stream, from, max } = request;
    if stream == CATALOGUE_STREAM {
        return context.catalogue.relay(from, max).await;
    }
    let Some(pool) = stream.strip_prefix(CONTROL_PREFIX) else {
        return context.once.relay(&stream, from, max).await;
    };
    let controls = context.planner.controls();
    match controls.into_iter().find(|(name, _)| name == pool) {
        Some((_, control)) => control.relay(from, max).await,
        None => Err(RelayError::Disconnected),
    }
}

fn record_strike(context: &InstanceContext, report: StrikeReport) -> StrikeCount {
    let StrikeReport { fingerprint, endpoint } = report;
    if let Some(endpoint) = endpoint {
        log::info!("event=strike_told fingerprint={fingerprint:016x} endpoint={endpoint}");
        context.suspects.strike_from_peer(&StrikeNotice { fingerprint, endpoint });
    }
    StrikeCount { strikes: context.suspects.count(fingerprint) }
}
