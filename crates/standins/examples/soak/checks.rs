//! Checks of the invariants against the results of the soak test.

use crate::calls::CrashingCall;
use crate::common::ADMIN_TOKEN;
use crate::common::admin::AdminClient;
use crate::edits::{AcceptedEdit, ObservedRevisions};
use crate::environment::SoakEnvironment;
use crate::faults::DrainResult;
use catalogue::id::Revision;
use indexmap::{IndexMap, IndexSet};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use standins::answer::answer_seed;
use standins::caller::CallOutcome;
use standins::load::{CallRecord, LoadCall};

/// Maximum number of engine runs of one crashing request: two strikes, and one run that began
/// before the second strike was known.
const MAX_CRASHING_RUNS: usize = 3;

/// Results of all parts of the soak test
pub struct SoakResults {
    /// Calls of the load
    pub records: Vec<CallRecord>,
    /// Calls that crash engines
    pub crashing: Vec<CrashingCall>,
    /// Edits that were accepted
    pub accepted: Vec<AcceptedEdit>,
    /// Revisions that the instances showed
    pub observed: ObservedRevisions,
    /// Planned stops
    pub drains: Vec<DrainResult>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum InvariantViolation {
    /// once-only call {key} ran {count} times after {outcomes}
    RanMoreThanOnce {
        /// Idempotency key
        key: SmolStr,
        /// Number of executions
        count: usize,
        /// Outcomes that the caller received
        outcomes: SmolStr,
    },
    /// {key} was refused as not run, but ran: {outcomes}
    FalseNotRun {
        /// Idempotency key or start of the prompt
        key: SmolStr,
        /// Outcomes that the caller received
        outcomes: SmolStr,
    },
    /// {key} was answered, but never ran
    NeverRan {
        /// Idempotency key
        key: SmolStr,
    },
    /// wrong answer: {0}
    Wrong(SmolStr),
    /// conflicting orders: {0}
    Conflict(SmolStr),
    /// planned change cut requests: {0}
    ChangeCut(SmolStr),
    /// planned stop of {0} cut {1} requests
    DrainCut(SmolStr, u32),
    /// {instance} reverted from revision {from} to {to}
    Reverted {
        instance: SmolStr,
        /// Revision shown first
        from: Revision,
        /// Revision shown later
        to: Revision,
    },
    /// two edits of revision {0} were accepted
    DoubleEdit(Revision),
    /// {0} does not show the last accepted edit
    NotInForce(SmolStr),
    /// a crashing request was run by engines {runs} times: {outcomes}
    Strikes {
        /// Number of engine executions of the request
        runs: usize,
        /// Outcomes that the caller received
        outcomes: SmolStr,
    },
}

impl std::error::Error for InvariantViolation {}

/// Checks all invariants
pub async fn check(
    environment: &SoakEnvironment,
    results: &SoakResults,
) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    check_calls(environment, results, &mut violations);
    check_orders(environment, &mut violations);
    check_edits(results, &mut violations);
    check_in_force(environment, results, &mut violations).await;
    check_crashing(environment, results, &mut violations);
    let cut = results.drains.iter().filter(|it| it.cut > 0);
    violations.extend(cut.map(|it| InvariantViolation::DrainCut(it.instance.clone(), it.cut)));
    violations
}

/// One line with the numbers of what was run
pub fn summary(environment: &SoakEnvironment, results: &SoakResults) -> SmolStr {
    let retried = results.records.iter().filter(|it| it.outcomes.len() > 1).count();
    let keys = results.records.iter().filter(|it| it.call.once_key().is_some()).count();
    format_smolstr!(
        "{} calls ({retried} retried, {keys} once-only), {} crashing, {} edits accepted, {} drains, {} orders taken, {} engine crashes",
        results.records.len(),
        results.crashing.len(),
        results.accepted.len(),
        results.drains.len(),
        environment.fleet.orders().iter().filter(|it| it.taken).count(),
        environment.fleet.engines.values().map(|it| it.crashes()).sum::<u32>(),
    )
}

fn check_calls(
    environment: &SoakEnvironment,
    results: &SoakResults,
    violations: &mut Vec<InvariantViolation>,
) {
    let mut runs: IndexMap<SmolStr, usize> = IndexMap::new();
    for execution in environment.fleet.service_executions() {
        if let Some(key) = execution.key {
            *runs.entry(key).or_default() += 1;
        }
    }
    let read: IndexSet<u64> =
        environment.fleet.engine_executions().iter().map(|it| it.seed).collect();
    for record in &results.records {
        for outcome in &record.outcomes {
            if let CallOutcome::Wrong(text) = outcome {
                violations.push(InvariantViolation::Wrong(text.chars().take(200).collect()));
            }
        }
        match (&record.call, record.call.once_key()) {
            (_, Some(key)) => check_once(record, key, runs.get(key).copied(), violations),
            (LoadCall::Completion(call), None) => {
                let ran = read.contains(&answer_seed(&call.model, &call.prompt));
                check_not_run(record, &call.prompt[..40.min(call.prompt.len())], ran, violations);
            }
            (LoadCall::Service(_), None) => {}
        }
    }
}

fn check_once(
    record: &CallRecord,
    key: &SmolStr,
    runs: Option<usize>,
    violations: &mut Vec<InvariantViolation>,
) {
    let count = runs.unwrap_or(0);
    if count > 1 {
        let outcomes = outcomes(record);
        violations.push(InvariantViolation::RanMoreThanOnce { key: key.clone(), count, outcomes });
    }
    if count == 0 && record.outcomes.iter().any(CallOutcome::is_right) {
        violations.push(InvariantViolation::NeverRan { key: key.clone() });
    }
    check_not_run(record, key, count > 0, violations);
}

/// Checks that a request has not run if all its attempts were refused as not run
fn check_not_run(
    record: &CallRecord,
    key: &str,
    ran: bool,
    violations: &mut Vec<InvariantViolation>,
) {
    let is_refused = record.outcomes.iter().all(CallOutcome::is_not_run);
    if ran && is_refused && !record.outcomes.is_empty() {
        violations
            .push(InvariantViolation::FalseNotRun { key: key.into(), outcomes: outcomes(record) });
    }
}

fn outcomes(record: &CallRecord) -> SmolStr {
    format_smolstr!("{:?}", record.outcomes)
}

fn check_orders(environment: &SoakEnvironment, violations: &mut Vec<InvariantViolation>) {
    for conflict in environment.fleet.conflicts() {
        violations.push(InvariantViolation::Conflict(format_smolstr!("{conflict:?}")));
    }
    for order in environment.fleet.orders().iter().filter(|it| it.cut > 0) {
        violations.push(InvariantViolation::ChangeCut(format_smolstr!("{order:?}")));
    }
}

fn check_edits(results: &SoakResults, violations: &mut Vec<InvariantViolation>) {
    let mut bases = IndexSet::new();
    for edit in &results.accepted {
        if !bases.insert(edit.base) {
            violations.push(InvariantViolation::DoubleEdit(edit.base));
        }
    }
    for (instance, revisions) in &results.observed {
        for pair in revisions.windows(2).filter(|pair| pair[1] < pair[0]) {
            let (from, to) = (pair[0], pair[1]);
            violations.push(InvariantViolation::Reverted { instance: instance.clone(), from, to });
        }
    }
}

/// Checks that the newest accepted edit, or a later one of unknown outcome, is in force on all
/// instances
async fn check_in_force(
    environment: &SoakEnvironment,
    results: &SoakResults,
    violations: &mut Vec<InvariantViolation>,
) {
    let Some(last) = results.accepted.iter().max_by_key(|it| it.revision) else {
        return;
    };
    let mut shown = IndexSet::new();
    for instance in environment.live() {
        let list = AdminClient::new(instance.admin, ADMIN_TOKEN).list().await.unwrap_or_default();
        let entry = list.into_iter().max_by_key(|it| it.revision);
        let is_in_force = entry.as_ref().is_some_and(|it| {
            let is_same = it.entry.limits.in_flight == last.in_flight;
            it.revision > last.revision || (it.revision == last.revision && is_same)
        });
        if !is_in_force {
            violations.push(InvariantViolation::NotInForce(instance.id.clone()));
        }
        shown.insert(entry.map(|it| it.revision));
    }
    if shown.len() > 1 {
        violations
            .push(InvariantViolation::NotInForce(format_smolstr!("instances differ: {shown:?}")));
    }
}

fn check_crashing(
    environment: &SoakEnvironment,
    results: &SoakResults,
    violations: &mut Vec<InvariantViolation>,
) {
    let executions = environment.fleet.engine_executions();
    for call in &results.crashing {
        if call.outcomes.iter().any(CallOutcome::is_right) {
            violations.push(InvariantViolation::Wrong("crashing call answered".to_smolstr()));
        }
        let runs = executions.iter().filter(|it| it.seed == call.seed).count();
        if runs > MAX_CRASHING_RUNS {
            let outcomes = format_smolstr!("{:?}", call.outcomes);
            violations.push(InvariantViolation::Strikes { runs, outcomes });
        }
    }
}
