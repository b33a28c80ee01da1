//! Keeps new work away from engines with an open plan.
//!
//! Every instance has a gate for each pool, whether it holds the lease or not. An
//! engine is closed from the moment the plan is read here until the plan is closed.
//! An engine that already reports its planned role serves on, so that an earlier
//! holder's open order, which would change nothing any more, takes no engine away.

use super::ConfirmError;
use crate::pool::EndpointPool;
use catalogue::id::EndpointId;
use coordination::control::ControlHandle;
use peer::message::{PlanAnswer, PlanQuestion};
use platform::engine::LoadReport;
use state::control::{ControlView, EnginePlan};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Between two looks at the engines' reports.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Gate of one pool
#[derive(Debug, Clone)]
pub struct PlanGate {
    control: ControlHandle,
    pool: Arc<EndpointPool>,
    closed: Arc<Mutex<Vec<EndpointId>>>,
}

impl PlanGate {
    /// Gate that follows the pool's control stream
    pub fn new(control: ControlHandle, pool: Arc<EndpointPool>) -> PlanGate {
        PlanGate { control, pool, closed: Arc::default() }
    }

    /// Follows the stream until `self` is the last user of the gate
    pub(super) async fn follow(self) {
        let mut views = self.control.subscribe();
        let closed = Arc::downgrade(&self.closed);
        let PlanGate { control, pool, closed: own } = self;
        drop(own);
        loop {
            let Some(closed) = closed.upgrade() else {
                return;
            };
            let gate = PlanGate { control: control.clone(), pool: pool.clone(), closed };
            let view = views.borrow_and_update().clone();
            gate.apply(&view);
            drop(gate);
            if let Ok(Err(_)) = tokio::time::timeout(LOOK_INTERVAL, views.changed()).await {
                return;
            }
        }
    }

    /// Confirms a plan, closing its engine if it is still open
    ///
    /// # Errors
    /// `ConfirmError::PlanUnread` if the plan is not open in this instance's view.
    pub fn confirm(&self, question: &PlanQuestion) -> Result<PlanAnswer, ConfirmError> {
        let view = self.control.view();
        let plan = view.plan(question.plan).filter(|it| it.engine == question.engine);
        if plan.is_none() {
            return Err(ConfirmError::PlanUnread);
        }
        self.apply(&view);
        Ok(PlanAnswer { in_flight: self.pool.in_flight(&question.engine) })
    }

    fn apply(&self, view: &ControlView) {
        let mut closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        let reports = self.pool.reports();
        let report_of =
            |id: &str| reports.iter().find(|it| it.0.id == id).and_then(|it| it.1.as_ref());
        let is_closed = |plan: &&EnginePlan| !serves_target(plan, report_of(&plan.engine));
        let wanted: Vec<EndpointId> =
            view.plans().filter(is_closed).map(|it| it.engine.clone()).collect();
        for engine in closed.iter().filter(|it| !wanted.contains(it)) {
            log::info!("event=engine_opened pool={} engine={engine}", self.pool.name());
            self.pool.set_closed(engine, false);
        }
        for engine in wanted.iter().filter(|it| !closed.contains(it)) {
            log::info!("event=engine_closed pool={} engine={engine}", self.pool.name());
        }
        for engine in &wanted {
            self.pool.set_closed(engine, true);
        }
        *closed = wanted;
    }
}

/// Whether the engine reports the role that the plan gives it
fn serves_target(plan: &EnginePlan, report: Option<&LoadReport>) -> bool {
    let changes_role = plan.from.role != plan.to.role;
    let is_ordered = !plan.orders.is_empty();
    let serves = report.is_some_and(|it| it.accepting && it.role == plan.to.role);
    changes_role && is_ordered && serves
}
