//! Orders engines for the pools whose number of engines isn't fixed.
//!
//! Only the holder of the duties' lease does this. `decide::serving::fleet_size` decides;
//! the plan is recorded with the renewals of the lease, so that the next holder goes on
//! with it. No request waits for any of this.

use crate::state::Gateway;
use catalogue::id::{Fence, PoolName};
use decide::serving::engine_orders::{EngineOrder, OrderOutcome};
use decide::serving::fleet_demand::DemandMeter;
use decide::serving::fleet_inputs::FleetInputs;
use decide::serving::fleet_size::FleetDecision;
use decide::serving::route::ScalingRule;
use platform_adapter::control_api::{ControlClient, ControlOutcome, DutyToken, EndpointOrder};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Key of the plans among the values of the duties.
const PLAN_KEY: &str = "scale";
/// Interval at which the work in flight is sampled; a prompt is unread for some tens of milliseconds.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two decisions; engines that are taken away leave within 2 s.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// Decides the number of engines while this instance holds the lease, for the life of the process
pub async fn scale_pools(gateway: Rc<Gateway>) {
    let Some(settings) = &gateway.settings.duties else { return std::future::pending().await };
    let client = ControlClient::new(settings.control_address);
    let mut fences = gateway.duties.subscribe();
    loop {
        if fences.wait_for(Option::is_some).await.is_err() {
            return;
        }
        if let Some(fence) = gateway.duties.fence() {
            log::info!("event=scale_started fence={fence}");
            gateway.scaling.start(gateway.duties.value(PLAN_KEY).as_ref(), Instant::now());
            scale_for_term(&gateway, &client, fence).await;
            gateway.scaling.stop();
            gateway.metrics.scaling.forget();
        }
        // The end of a term may be noticed before it is announced.
        sleep(SAMPLE_INTERVAL).await;
    }
}

async fn scale_for_term(gateway: &Rc<Gateway>, client: &ControlClient, fence: Fence) {
    let mut decided_at = None;
    while gateway.duties.fence() == Some(fence) {
        let now = Instant::now();
        let is_due = decided_at.is_none_or(|it| now - it >= DECISION_INTERVAL);
        for (pool, rule) in &gateway.scaling_rules() {
            gateway.sample_demand(pool, now);
            if is_due {
                gateway.check_engines(pool);
                for order in gateway.decide_engines(pool, rule, now) {
                    let task =
                        give_order(gateway.clone(), client.clone(), fence, pool.clone(), order);
                    tokio::task::spawn_local(task);
                }
            }
        }
        if is_due {
            decided_at = Some(now);
            gateway.stage_plans();
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Gives an order under a token, and records its outcome
async fn give_order(
    gateway: Rc<Gateway>,
    client: ControlClient,
    fence: Fence,
    pool: PoolName,
    order: EngineOrder,
) {
    let EngineOrder { subject, count } = order;
    let endpoints = EndpointOrder {
        pool: pool.clone(),
        zone: subject.zone.clone(),
        count,
        is_preemptible: subject.is_preemptible,
    };
    let token = DutyToken { holder: gateway.settings.instance.clone(), fence };
    let Some(call) = gateway.duties.begin_call().filter(|it| it.fence == fence) else { return };
    let left = gateway.duties.time_left().unwrap_or_default();
    let may_send = || gateway.duties.fence() == Some(fence);
    let answer = timeout(left, client.order_endpoints(&token, &endpoints, may_send)).await;
    drop(call);
    let outcome = answer.unwrap_or(ControlOutcome::Unanswered);
    log::info!(
        "event=scale_ordered pool={pool} zone={} preemptible={} count={count} fence={fence} outcome={outcome:?}",
        subject.zone,
        subject.is_preemptible,
    );
    gateway.metrics.scaling.ordered(&pool, outcome_name(outcome));
    let checks_fence = gateway.settings.duties.as_ref().is_some_and(|it| it.checks_fence);
    if outcome == ControlOutcome::Conflict && checks_fence {
        confirm_lease(&gateway, fence).await;
    }
    if gateway.duties.fence() == Some(fence)
        && let Some(plan) = gateway.scaling.plans.borrow_mut().get_mut(&pool)
    {
        plan.record_outcome(&subject, order_outcome(outcome), Instant::now());
    }
}

/// Stops orders until a write shows that no other instance has acquired the lease
///
/// A conflict may mean that the control API has seen a higher token.
async fn confirm_lease(gateway: &Gateway, fence: Fence) {
    let _pause = gateway.duties.pause_calls();
    while gateway.duties.fence() == Some(fence) {
        if gateway.duties.holder().is_some_and(|it| it.fence > fence) {
            gateway.duties.give_up(fence);
            break;
        }
        let written = gateway.duties.write(PLAN_KEY, gateway.scaling.recorded()).await;
        if written.is_ok() {
            break;
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

fn outcome_name(outcome: ControlOutcome) -> &'static str {
    match outcome {
        ControlOutcome::Accepted => "accepted",
        ControlOutcome::Conflict => "conflict",
        ControlOutcome::Limited => "limited",
        ControlOutcome::Declined(_) => "declined",
        ControlOutcome::Unanswered => "unanswered",
    }
}

fn order_outcome(outcome: ControlOutcome) -> OrderOutcome {
    match outcome {
        ControlOutcome::Accepted => OrderOutcome::Accepted,
        ControlOutcome::Conflict => OrderOutcome::Unavailable,
        ControlOutcome::Declined(_) => OrderOutcome::Declined,
        ControlOutcome::Limited => OrderOutcome::Limited,
        ControlOutcome::Unanswered => OrderOutcome::Uncertain,
    }
}

impl Gateway {
    /// Decides the number of engines of a pool; returns the orders to give
    fn decide_engines(
        &self,
        pool: &PoolName,
        rule: &ScalingRule,
        now: Instant,
    ) -> Vec<EngineOrder> {
        if self.link.is_cut() || self.duties.has_paused_calls() {
            return Vec::new();
        }
        let engines = self.engine_states(pool, now);
        let meters = self.scaling.meters.borrow();
        let Some(meter) = meters.get(pool) else { return Vec::new() };
        let (reader_ms, decoder_ms) = self.read_ms_per_token(pool, now);
        let inputs = FleetInputs {
            engines: &engines,
            rule,
            demand: meter.peak(),
            measured_for: meter.measured_for(now),
            idle_for: meter.idle_for(now),
            decoder_speed: reader_ms / decoder_ms,
            hears_others: self.load.borrow().hears_others(),
        };
        let mut plans = self.scaling.plans.borrow_mut();
        let plan = plans.entry(pool.clone()).or_default();
        let before = plan.record().needed.unwrap_or_default();
        let decision = plan.decide(&inputs, now);
        self.metrics.scaling.record(pool, decision.needed, decision.answering);
        if !decision.orders.is_empty() || before != decision.needed {
            log_decision(pool, &inputs, meter, &decision);
        }
        decision.orders
    }

    /// Has the plans recorded with the next renewal of the lease, if they have changed
    fn stage_plans(&self) {
        let recorded = self.scaling.recorded();
        if self.scaling.staged.replace(recorded.clone()) != recorded {
            self.duties.stage(PLAN_KEY, recorded);
        }
    }
}

fn log_decision(
    pool: &PoolName,
    inputs: &FleetInputs<'_>,
    meter: &DemandMeter,
    decision: &FleetDecision,
) {
    let (current, peak) = (meter.current(), inputs.demand);
    let orders = decision.orders.iter().map(|it| {
        let kind = if it.subject.is_preemptible { "preemptible" } else { "regular" };
        format!("{}/{kind}:{}", it.subject.zone, it.count)
    });
    log::info!(
        "event=scale_decided pool={pool} needed={} measured={} answering={} listed={} read_ms_per_s={:.0} \
         peak_read_ms_per_s={:.0} requests={:.1} peak_requests={:.1} refused={:.3} decoder_speed={:.2} \
         hears_others={} measured_s={} orders={}",
        decision.needed,
        decision.measured,
        decision.answering,
        inputs.engines.len(),
        current.read_ms_per_s,
        peak.read_ms_per_s,
        current.requests,
        peak.requests,
        peak.refused,
        inputs.decoder_speed,
        inputs.hears_others,
        inputs.measured_for.as_secs(),
        orders.collect::<Vec<_>>().join(","),
    );
}
