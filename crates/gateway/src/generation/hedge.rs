//! Second copy of a resumable generation at another engine, before its first event.

use super::generate::{Started, send_generation};
use super::plan::{EngineStep, plan_path};
use crate::attempt::SendError;
use crate::copy_race::{CopyRace, OtherCopy, race};
use crate::hedges::HedgeTry;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::route::RetryRule;
use platform_adapter::head::EngineStage;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Largest prompt, in tokens that the engine has yet to read, of which a second engine gets a copy. A longer one
/// that is read twice delays the other requests of that engine by more than the wait that it saves.
const MAX_HEDGED_TOKENS: u64 = 1024;
/// Expected time that the pool's history refers to, in milliseconds: waits are recorded in proportion to
/// what was expected, since prompts differ in length.
const EXPECTED_UNIT_MS: f64 = 100.0;

/// First event of a generation, or why there is none
pub(super) struct FirstEvent {
    /// Engine that has begun to answer, or the last one that failed
    pub(super) engine: ListedEndpoint,
    pub(super) started: Result<Started, SendError>,
    /// Engine whose copy had failed before
    pub(super) failed: Option<(ListedEndpoint, SendError)>,
    /// Engine that may have run the copy that was cancelled or answered with an error
    pub(super) abandoned: Option<ListedEndpoint>,
}

/// Sends to the engine of a step, and to another one if the first event is late
pub(super) async fn send_first(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    step: EngineStep,
    stage: EngineStage,
    resume_after: Option<SmolStr>,
) -> FirstEvent {
    let own = step.engine.clone();
    let is_short = step.pick.unread_tokens <= MAX_HEDGED_TOKENS && step.pick.expected_ms > 0.0;
    let is_hedged = is_short
        && stage == EngineStage::Whole
        && resume_after.is_none()
        && gateway.may_hedge(call, RetryRule::Resumable);
    if !is_hedged {
        let started = send_generation(gateway, call, step, stage, resume_after, false).await;
        return FirstEvent { engine: own, started, failed: None, abandoned: None };
    }
    let sent_at = Instant::now();
    let scale = EXPECTED_UNIT_MS / step.pick.expected_ms;
    let delay = gateway.start_hedged(&call.pool).map(|it| it.div_f64(scale));
    let mut first = Box::pin(send_generation(gateway, call, step, stage, None, false));
    let early = match delay {
        Some(delay) => timeout(delay, first.as_mut()).await.ok(),
        None => Some(first.as_mut().await),
    };
    let target = match &early {
        Some(_) => None,
        None => hedge_step(gateway, call, &own, sent_at.elapsed(), scale),
    };
    let result = match (early, target) {
        (Some(started), _) => {
            FirstEvent { engine: own.clone(), started, failed: None, abandoned: None }
        }
        (None, None) => {
            FirstEvent { engine: own.clone(), started: first.await, failed: None, abandoned: None }
        }
        (None, Some(step)) => {
            let other = step.engine.clone();
            let second =
                Box::pin(send_generation(gateway, call, step, EngineStage::Whole, None, true));
            // A cancelled copy's connection is closed before the stream goes on.
            let CopyRace { is_second, answer, other: end } = race(first, second, is_usable).await;
            let has_won = is_second && answer.is_ok();
            gateway.end_hedge(call, &other, has_won, !matches!(end, OtherCopy::Cancelled));
            let (engine, loser) =
                if is_second { (other, own.clone()) } else { (own.clone(), other) };
            let (failed, abandoned) = gateway.split_loser(call, loser, end);
            FirstEvent { engine, started: answer, failed, abandoned }
        }
    };
    if result.started.is_ok() {
        let took = sent_at.elapsed().mul_f64(scale);
        gateway.record_first_byte(&call.pool, &own.id, took);
    }
    result
}

/// Whether a result of one copy makes the other one unnecessary
fn is_usable(started: &Started) -> bool {
    match started {
        Started::Streaming(..) => true,
        Started::Failed(answer) => !answer.status.is_server_error(),
    }
}

/// Step for a second copy of a generation that waits at `first`; `None` if there is to be none
fn hedge_step(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    first: &ListedEndpoint,
    waited: Duration,
    scale: f64,
) -> Option<EngineStep> {
    // An engine that may not be the listed incarnation could have another version.
    let path = plan_path(gateway, call, Some(&first.id)).ok();
    let path = path.filter(|it| it.prefill.is_none() && gateway.is_list_current());
    let step = path.map(|it| it.generate).filter(|it| {
        it.engine.version == first.version && it.pick.unread_tokens <= MAX_HEDGED_TOKENS
    });
    let target = step.as_ref().map(|it| (&it.engine, it.pick.work.requests));
    let hedge = HedgeTry { first: &first.id, target, waited, scale };
    gateway.try_hedge(call, &hedge).then_some(step).flatten()
}
