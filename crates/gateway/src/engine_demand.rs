//! What the holder of the duties' lease sees of engines whose number it decides.
//!
//! An engine counts once it has answered a health check in its incarnation, so that
//! replacements that are listed and don't work replace nothing.

use crate::state::Gateway;
use catalogue::EngineRole;
use catalogue::id::{EndpointId, PoolName};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::fleet_demand::DemandSample;
use decide::serving::fleet_inputs::EngineState;
use decide::serving::route::ScalingRule;
use decide::serving::timing::TimedStage;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Shortest time per token, to divide by.
const MIN_MS_PER_TOKEN: f64 = 1e-6;

impl Gateway {
    /// Records the time for which tokens were unread at an engine
    pub fn record_read_time(&self, endpoint: &EndpointId, tokens: u64, took: Duration) {
        let mut meters = self.scaling.meters.borrow_mut();
        if tokens == 0 || meters.is_empty() {
            return;
        }
        if let Some(engine) = self.endpoints.borrow().get(endpoint)
            && let Some(meter) = meters.get_mut(&engine.pool)
        {
            meter.record_read(tokens, took);
        }
    }

    /// Pools whose number of engines isn't fixed
    pub fn scaling_rules(&self) -> Vec<(PoolName, ScalingRule)> {
        let config = self.config.borrow();
        let pools = config.iter().flat_map(|it| &it.pools);
        pools.filter_map(|(pool, it)| Some((pool.clone(), it.scaling.clone()?))).collect()
    }

    fn listed_engines(&self, pool: &PoolName, now: Instant) -> Vec<ListedEndpoint> {
        let list = self.endpoints.borrow();
        list.listed(now).filter(|it| it.pool == *pool).cloned().collect()
    }

    /// Records the work in flight at the engines of a pool
    pub fn sample_demand(&self, pool: &PoolName, now: Instant) {
        let ms_per_token = self.read_ms_per_token(pool, now).0;
        let load = self.load.borrow();
        let hears_others = load.hears_others();
        let instances = load.max_instances() as f64;
        let mut sample = DemandSample::default();
        for engine in self.endpoints.borrow().ready(now).filter(|it| it.pool == *pool) {
            let (work, factor) = match hears_others {
                true => (load.total_at(&engine.id), 1.0),
                false => (load.own_at(&engine.id), instances),
            };
            sample.unread_ms += work.unread_tokens as f64 * factor * ms_per_token;
            sample.busy += if work.unread_tokens > 0 { 1.0 } else { 0.0 };
            sample.requests += f64::from(work.requests) * factor;
        }
        let mut meters = self.scaling.meters.borrow_mut();
        meters.entry(pool.clone()).or_default().record(sample, now);
    }

    /// Time per token of engines that only read prompts and of those that decode, in milliseconds
    pub fn read_ms_per_token(&self, pool: &PoolName, now: Instant) -> (f64, f64) {
        let mut timings = self.timings.borrow_mut();
        let timing = timings.entry(pool.clone()).or_default();
        let of = |stage| timing.stage(stage, now).ms_per_token.max(MIN_MS_PER_TOKEN);
        (of(TimedStage::Prefill), of(TimedStage::Whole))
    }

    /// Asks engines for their health that haven't answered yet in their incarnation
    pub fn check_engines(self: &Rc<Gateway>, pool: &PoolName) {
        for engine in self.listed_engines(pool, Instant::now()) {
            let is_checking = self.scaling.checking.borrow().contains(&engine.id);
            if !engine.is_ready || is_checking || self.has_answered(&engine) {
                continue;
            }
            self.scaling.checking.borrow_mut().push(engine.id.clone());
            let gateway = self.clone();
            tokio::task::spawn_local(async move {
                let answer = gateway.ask_health(&engine).await;
                let scaling = &gateway.scaling;
                scaling.checking.borrow_mut().retain(|it| *it != engine.id);
                if answer.is_ok_and(|it| it.is_success()) {
                    scaling.confirmed.borrow_mut().insert(engine.id, engine.started_at_ms);
                }
            });
        }
    }

    /// Engines of a pool as the list and their answers show them
    pub fn engine_states(&self, pool: &PoolName, now: Instant) -> Vec<EngineState> {
        let health = self.health.borrow();
        let states = self.listed_engines(pool, now).into_iter().map(|it| EngineState {
            answers: self.has_answered(&it) && health.is_sound(&it, now),
            is_decoder: it.role != Some(EngineRole::Prefill),
            is_taken_away: it.leaves_in.is_some(),
            id: it.id,
            zone: it.zone,
            is_preemptible: it.is_preemptible,
            slots: it.slots,
            is_ready: it.is_ready,
        });
        states.collect()
    }

    /// Whether an engine has answered a health check in its incarnation
    fn has_answered(&self, engine: &ListedEndpoint) -> bool {
        let confirmed = self.scaling.confirmed.borrow();
        confirmed.get(&engine.id) == Some(&engine.started_at_ms)
    }
}
