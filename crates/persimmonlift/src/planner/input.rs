//! Builds the planner's input from the engines' reports and the catalogue.

use super::settings::PlannerSettings;
use crate::pool::EndpointPool;
use catalogue::id::EndpointId;
use catalogue::{CatalogueEntry, EntryKind, InstanceKind, InstanceState, ListedInstance};
use catalogue::{EngineRole, ModelTarget};
use decide::mix::WorkloadMix;
use decide::plan::{ChangeCosts, PlanInput, PlannedEngine};
use indexmap::IndexMap;
use platform::engine::LoadReport;
use state::catalogue::CatalogueView;
use state::control::ControlView;
use std::time::{Duration, Instant};

/// Time constant of the moving average of the mix.
const MIX_WINDOW: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy)]
struct EngineCounters {
    prompt_tokens: u64,
    output_tokens: u64,
    taken_at: Instant,
}

/// Token rates of each engine, derived from the counters in its reports
#[derive(Debug, Default)]
pub struct MixTracker {
    counters: IndexMap<EndpointId, EngineCounters>,
    prompt_per_s: IndexMap<EndpointId, f64>,
    output_per_s: IndexMap<EndpointId, f64>,
}

impl MixTracker {
    /// Applies the reports of a pool and returns the mix of all its engines
    pub fn update(
        &mut self,
        reports: &[(ListedInstance, Option<LoadReport>)],
        now: Instant,
    ) -> WorkloadMix {
        let mut mix = WorkloadMix::default();
        for (engine, report) in reports {
            let Some(report) = report else {
                continue;
            };
            self.apply_report(&engine.id, report, now);
            mix.queued_prompt_tokens += report.queued_prompt_tokens as f64;
            mix.queued_output_tokens += report.queued_output_tokens as f64;
        }
        let is_listed = |id: &EndpointId| reports.iter().any(|it| it.0.id == *id);
        self.counters.retain(|id, _| is_listed(id));
        self.prompt_per_s.retain(|id, _| is_listed(id));
        self.output_per_s.retain(|id, _| is_listed(id));
        mix.prompt_tokens_per_s = self.prompt_per_s.values().sum();
        mix.output_tokens_per_s = self.output_per_s.values().sum();
        mix
    }

    fn apply_report(&mut self, id: &EndpointId, report: &LoadReport, now: Instant) {
        let taken_at = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        let current = EngineCounters {
            prompt_tokens: report.prompt_tokens_done,
            output_tokens: report.output_tokens_done,
            taken_at,
        };
        let Some(before) = self.counters.insert(id.clone(), current) else {
            return;
        };
        let elapsed = taken_at.saturating_duration_since(before.taken_at);
        let is_restarted = current.prompt_tokens < before.prompt_tokens
            || current.output_tokens < before.output_tokens;
        if is_restarted || elapsed.is_zero() {
            return;
        }
        let prompt = current.prompt_tokens - before.prompt_tokens;
        let output = current.output_tokens - before.output_tokens;
        update_average(self.prompt_per_s.entry(id.clone()).or_default(), prompt, elapsed);
        update_average(self.output_per_s.entry(id.clone()).or_default(), output, elapsed);
    }
}

fn update_average(rate: &mut f64, tokens: u64, elapsed: Duration) {
    let decay = (-elapsed.as_secs_f64() / MIX_WINDOW.as_secs_f64()).exp();
    let rate_now = tokens as f64 / elapsed.as_secs_f64();
    *rate = *rate * decay + rate_now * (1.0 - decay);
}

/// Builds the input of one planning step
pub fn plan_input(
    pool: &EndpointPool,
    view: &ControlView,
    mix: WorkloadMix,
    settings: &PlannerSettings,
    since_last_change: Option<Duration>,
) -> PlanInput {
    let reports = pool.reports();
    let is_engine = |it: &&(ListedInstance, Option<LoadReport>)| it.0.kind == InstanceKind::Engine;
    let engines = reports
        .iter()
        .filter(is_engine)
        .filter_map(|(listed, report)| Some(planned_engine(listed, report.as_ref()?, view)))
        .collect();
    let costs = ChangeCosts {
        unavailable: settings.unavailable_time(),
        store_busy: Duration::ZERO,
        since_last_change,
    };
    PlanInput { engines, mix, costs, horizon: settings.horizon(), floors: settings.floors() }
}

fn planned_engine(
    listed: &ListedInstance,
    report: &LoadReport,
    view: &ControlView,
) -> PlannedEngine {
    let is_planned = view.plan_for_engine(&listed.id).is_some();
    let is_live = listed.state == InstanceState::Live;
    PlannedEngine {
        engine: listed.id.clone(),
        zone: listed.zone.clone(),
        role: report.role,
        ready: report.accepting && is_live && !is_planned,
        changing: is_planned,
        changeable: report.accepting && is_live && !is_planned,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        decode_tokens_per_s: report.decode_tokens_per_s,
        in_flight: report.running + report.waiting,
    }
}

/// Models that a pool's entries need on an engine, those of the most urgent class first
pub fn wanted_models(catalogue: &CatalogueView, pool: &str, engine: &str) -> Vec<ModelTarget> {
    let entries = catalogue.entries().map(|it| &*it.entry);
    let mut entries: Vec<&CatalogueEntry> =
        entries.filter(|it| it.pool == pool && it.allows_endpoint(engine)).collect();
    entries.sort_by_key(|it| (it.class, it.name.clone()));
    let mut wanted: Vec<ModelTarget> = Vec::new();
    for entry in entries {
        let EntryKind::Engine { model, version, adapter } = &entry.kind else {
            continue;
        };
        let target = ModelTarget {
            role: EngineRole::Mixed,
            model: model.clone(),
            version: version.clone(),
            adapter: adapter.clone(),
        };
        if !wanted.contains(&target) {
            wanted.push(target);
        }
    }
    wanted
}

/// Model to load on an engine; `None` if it already serves a wanted one
pub fn wanted_change(serves: &ModelTarget, wanted: &[ModelTarget]) -> Option<ModelTarget> {
    let is_served = |it: &ModelTarget| {
        (&it.model, &it.version, &it.adapter) == (&serves.model, &serves.version, &serves.adapter)
    };
    if wanted.iter().any(is_served) {
        return None;
    }
    let target = wanted.iter().find(|it| it.model == serves.model).or(wanted.first())?;
    Some(ModelTarget { role: serves.role, ..target.clone() })
}
