//! What must always hold, checked against what was seen.

use crate::calls::PoisonedCall;
use crate::common::ADMIN_TOKEN;
use crate::common::admin::AdminClient;
use crate::edits::{AcceptedEdit, WatchedRevisions};
use crate::faults::DrainEvidence;
use crate::world::SoakWorld;
use catalogue::id::Revision;
use indexmap::{IndexMap, IndexSet};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use standins::answer::answer_seed;
use standins::caller::CallOutcome;
use standins::load::{CallRecord, LoadCall};

/// Engines that may run one poisoned request: two strikes, and one run begun meanwhile.
const MOST_RUNS: usize = 3;

/// Everything that the parts of the soak saw
pub struct SoakEvidence {
    /// Calls of the load
    pub records: Vec<CallRecord>,
    /// Poisoned calls
    pub poisoned: Vec<PoisonedCall>,
    /// Edits that were accepted
    pub accepted: Vec<AcceptedEdit>,
    /// Revisions that instances showed
    pub watched: WatchedRevisions,
    /// Planned stops
    pub drains: Vec<DrainEvidence>,
}

/// Invariant that was broken
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum SoakBreach {
    /// once-only {key} ran {count} times after {outcomes}
    Repeated {
        /// Key
        key: SmolStr,
        /// Executions
        count: usize,
        /// What the caller was told
        outcomes: SmolStr,
    },
    /// {key} was refused as not run, yet ran: {outcomes}
    FalseNotRun {
        /// Key or start of the prompt
        key: SmolStr,
        /// What the caller was told
        outcomes: SmolStr,
    },
    /// {key} was answered, yet never ran
    NeverRan {
        /// Key
        key: SmolStr,
    },
    /// answer of another or not whole: {0}
    Wrong(SmolStr),
    /// conflicting orders: {0}
    Conflict(SmolStr),
    /// planned change cut requests: {0}
    ChangeCut(SmolStr),
    /// planned stop of {0} cut {1} requests
    DrainCut(SmolStr, u32),
    /// {instance} went back from revision {from} to {to}
    Reverted {
        /// Instance
        instance: SmolStr,
        /// Revision shown first
        from: Revision,
        /// Revision shown later
        to: Revision,
    },
    /// two edits were accepted on revision {0}
    DoubleEdit(Revision),
    /// {0} does not show the last accepted edit
    NotInForce(SmolStr),
    /// a poisoned request was run by engines {runs} times: {outcomes}
    Strikes {
        /// Engine executions of the request
        runs: usize,
        /// What the caller was told
        outcomes: SmolStr,
    },
}

impl std::error::Error for SoakBreach {}

/// Checks all invariants
pub async fn check(world: &SoakWorld, evidence: &SoakEvidence) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    check_calls(world, evidence, &mut breaches);
    check_orders(world, &mut breaches);
    check_edits(evidence, &mut breaches);
    check_in_force(world, evidence, &mut breaches).await;
    check_poison(world, evidence, &mut breaches);
    let cut = evidence.drains.iter().filter(|it| it.cut > 0);
    breaches.extend(cut.map(|it| SoakBreach::DrainCut(it.instance.clone(), it.cut)));
    breaches
}

/// One line of what was covered
pub fn summary(world: &SoakWorld, evidence: &SoakEvidence) -> SmolStr {
    let retried = evidence.records.iter().filter(|it| it.outcomes.len() > 1).count();
    let keys = evidence.records.iter().filter(|it| it.call.once_key().is_some()).count();
    format_smolstr!(
        "{} calls ({retried} retried, {keys} once-only), {} poisoned, {} edits accepted, {} drains, {} orders taken, {} engine crashes",
        evidence.records.len(),
        evidence.poisoned.len(),
        evidence.accepted.len(),
        evidence.drains.len(),
        world.fleet.orders().iter().filter(|it| it.taken).count(),
        world.fleet.engines.values().map(|it| it.crashes()).sum::<u32>(),
    )
}

fn check_calls(world: &SoakWorld, evidence: &SoakEvidence, breaches: &mut Vec<SoakBreach>) {
    let mut runs: IndexMap<SmolStr, usize> = IndexMap::new();
    for execution in world.fleet.service_executions() {
        if let Some(key) = execution.key {
            *runs.entry(key).or_default() += 1;
        }
    }
    let read: IndexSet<u64> = world.fleet.engine_executions().iter().map(|it| it.seed).collect();
    for record in &evidence.records {
        for outcome in &record.outcomes {
            if let CallOutcome::Wrong(text) = outcome {
                breaches.push(SoakBreach::Wrong(text.chars().take(200).collect()));
            }
        }
        match (&record.call, record.call.once_key()) {
            (_, Some(key)) => check_once(record, key, runs.get(key).copied(), breaches),
            (LoadCall::Completion(call), None) => {
                let ran = read.contains(&answer_seed(&call.model, &call.prompt));
                check_not_run(record, &call.prompt[..40.min(call.prompt.len())], ran, breaches);
            }
            (LoadCall::Service(_), None) => {}
        }
    }
}

fn check_once(
    record: &CallRecord,
    key: &SmolStr,
    runs: Option<usize>,
    breaches: &mut Vec<SoakBreach>,
) {
    let count = runs.unwrap_or(0);
    if count > 1 {
        let outcomes = outcomes(record);
        breaches.push(SoakBreach::Repeated { key: key.clone(), count, outcomes });
    }
    if count == 0 && record.outcomes.iter().any(CallOutcome::is_right) {
        breaches.push(SoakBreach::NeverRan { key: key.clone() });
    }
    check_not_run(record, key, count > 0, breaches);
}

/// A request whose every try was refused as not run has not run
fn check_not_run(record: &CallRecord, key: &str, ran: bool, breaches: &mut Vec<SoakBreach>) {
    let is_refused = record.outcomes.iter().all(CallOutcome::is_not_run);
    if ran && is_refused && !record.outcomes.is_empty() {
        breaches.push(SoakBreach::FalseNotRun { key: key.into(), outcomes: outcomes(record) });
    }
}

fn outcomes(record: &CallRecord) -> SmolStr {
    format_smolstr!("{:?}", record.outcomes)
}

fn check_orders(world: &SoakWorld, breaches: &mut Vec<SoakBreach>) {
    for conflict in world.fleet.conflicts() {
        breaches.push(SoakBreach::Conflict(format_smolstr!("{conflict:?}")));
    }
    for order in world.fleet.orders().iter().filter(|it| it.cut > 0) {
        breaches.push(SoakBreach::ChangeCut(format_smolstr!("{order:?}")));
    }
}

fn check_edits(evidence: &SoakEvidence, breaches: &mut Vec<SoakBreach>) {
    let mut bases = IndexSet::new();
    for edit in &evidence.accepted {
        if !bases.insert(edit.base) {
            breaches.push(SoakBreach::DoubleEdit(edit.base));
        }
    }
    for (instance, revisions) in &evidence.watched {
        for pair in revisions.windows(2).filter(|pair| pair[1] < pair[0]) {
            let (from, to) = (pair[0], pair[1]);
            breaches.push(SoakBreach::Reverted { instance: instance.clone(), from, to });
        }
    }
}

/// The newest accepted edit, or one of unknown outcome after it, is in force everywhere
async fn check_in_force(
    world: &SoakWorld,
    evidence: &SoakEvidence,
    breaches: &mut Vec<SoakBreach>,
) {
    let Some(last) = evidence.accepted.iter().max_by_key(|it| it.revision) else {
        return;
    };
    let mut shown = IndexSet::new();
    for instance in world.live() {
        let list = AdminClient::new(instance.admin, ADMIN_TOKEN).list().await.unwrap_or_default();
        let entry = list.into_iter().max_by_key(|it| it.revision);
        let is_in_force = entry.as_ref().is_some_and(|it| {
            let is_same = it.entry.limits.in_flight == last.in_flight;
            it.revision > last.revision || (it.revision == last.revision && is_same)
        });
        if !is_in_force {
            breaches.push(SoakBreach::NotInForce(instance.id.clone()));
        }
        shown.insert(entry.map(|it| it.revision));
    }
    if shown.len() > 1 {
        breaches.push(SoakBreach::NotInForce(format_smolstr!("all alike: {shown:?}")));
    }
}

fn check_poison(world: &SoakWorld, evidence: &SoakEvidence, breaches: &mut Vec<SoakBreach>) {
    let executions = world.fleet.engine_executions();
    for call in &evidence.poisoned {
        if call.outcomes.iter().any(CallOutcome::is_right) {
            breaches.push(SoakBreach::Wrong("poisoned call answered".to_smolstr()));
        }
        let runs = executions.iter().filter(|it| it.seed == call.seed).count();
        if runs > MOST_RUNS {
            let outcomes = format_smolstr!("{:?}", call.outcomes);
            breaches.push(SoakBreach::Strikes { runs, outcomes });
        }
    }
}
