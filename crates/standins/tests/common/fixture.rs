//! Calls and checks that the fault tests have in common.

use super::{CALLER_KEY, Cluster, ClusterError};
use bytes::Bytes;
use catalogue::EntryKind;
use catalogue::id::TokenCount;
use googletest::prelude::*;
use hyper::Method;
use smol_str::{SmolStr, format_smolstr};
use standins::caller::{CallOutcome, CompletionCall, ServiceCall};
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Multiple of the engines' normal speed.
const SPEED_FACTOR: f64 = 2.0;
const SERVICE_DEADLINE_MS: u64 = 2_500;
const LIST_LAG_MS: u64 = 100;
const POLL: Duration = Duration::from_millis(10);
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
const LONG_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts the Trust's deployment with a number of instances
pub async fn start_trust(instances: usize) -> std::result::Result<Cluster, ClusterError> {
    let mut settings = FleetSettings::of(DeploymentKind::Trust);
    settings.engine.speed.factor = SPEED_FACTOR;
    settings.list_lag_ms = LIST_LAG_MS;
    let mut entries = settings.deployment.entries(CALLER_KEY);
    for entry in entries.iter_mut().filter(|it| it.kind == EntryKind::Service) {
        entry.limits.deadline_ms = SERVICE_DEADLINE_MS;
    }
    Cluster::start_with(settings, instances, &entries, |_| {}).await
}

/// Streamed completion whose prompt contains `name`
pub fn query_call(name: &str, max_tokens: TokenCount) -> CompletionCall {
    CompletionCall {
        entry: "clerk-queries".into(),
        model: "dossier".into(),
        prompt: format!("question {name}"),
        max_tokens,
        stream: true,
    }
}

/// Once-only call with a new idempotency key
pub fn register_call() -> ServiceCall {
    ServiceCall {
        entry: "register-entries".into(),
        method: Method::POST,
        path: "/create".into(),
        key: Some(format_smolstr!("{}", uuid::Uuid::now_v7())),
        body: Bytes::from_static(b"{\"dwelling\":7}"),
    }
}

impl Cluster {
    /// Requests a completion from one instance in the background
    pub fn start_completion(&self, index: usize, call: CompletionCall) -> JoinHandle<CallOutcome> {
        let caller = self.caller.clone();
        let address = self.addresses()[index];
        tokio::spawn(async move { caller.complete(address, &call).await })
    }

    /// Calls a service through one instance in the background
    pub fn start_service_call(&self, index: usize, call: ServiceCall) -> JoinHandle<CallOutcome> {
        let caller = self.caller.clone();
        let address = self.addresses()[index];
        tokio::spawn(async move { caller.call_service(address, &call).await })
    }

    /// Requests a completion from one instance
    pub async fn complete_call(&self, index: usize, call: &CompletionCall) -> CallOutcome {
        self.caller.complete(self.addresses()[index], call).await
    }

    /// Calls a service through one instance
    pub async fn call(&self, index: usize, call: &ServiceCall) -> CallOutcome {
        self.caller.call_service(self.addresses()[index], call).await
    }

    /// Waits until an engine has requests in flight and returns its id
    pub async fn busy_engine(&self) -> Result<SmolStr> {
        let busy = || self.fleet.engines.values().find(|it| it.state().in_flight > 0);
        wait_for(|| busy().is_some()).await?;
        busy().map(|it| it.id().clone()).or_fail()
    }

    /// Number of executions under the call's key
    pub fn run_count(&self, call: &ServiceCall) -> usize {
        call.key.as_ref().map_or(0, |key| self.fleet.execution_count(key))
    }
}

trait OrFail<T> {
    fn or_fail(self) -> Result<T>;
}

impl<T> OrFail<T> for Option<T> {
    fn or_fail(self) -> Result<T> {
        match self {
            Some(value) => Ok(value),
            None => fail!("expected a value").map(|()| unreachable!()),
        }
    }
}

/// Waits up to `WAIT_TIMEOUT` until a condition holds
pub async fn wait_for(condition: impl Fn() -> bool) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > deadline {
            return fail!("condition not met within {WAIT_TIMEOUT:?}");
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Waits up to `LONG_WAIT_TIMEOUT` until the condition named `what` holds
pub async fn wait_for_long(what: &str, condition: impl Fn() -> bool) -> Result<()> {
    let deadline = Instant::now() + LONG_WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > deadline {
            return fail!("not met within {LONG_WAIT_TIMEOUT:?}: {what}");
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Checks that the call got its complete and correct answer
pub fn check_right(outcome: &CallOutcome) -> Result<()> {
    if outcome.is_right() { Ok(()) } else { fail!("expected a complete answer, got {outcome:?}") }
}

/// Checks that the call was refused as not run
pub fn check_not_run(outcome: &CallOutcome) -> Result<()> {
    if outcome.is_not_run() {
        Ok(())
    } else {
        fail!("expected a refusal as not run, got {outcome:?}")
    }
}
