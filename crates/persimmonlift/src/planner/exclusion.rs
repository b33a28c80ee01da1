//! Excludes engines with an open plan from new work.
//!
//! Every instance does this for each pool, whether or not it holds the planner lease.
//! An engine is closed to new work from the moment this instance reads the plan until
//! the plan is closed. An engine that already reports its planned role stays open:
//! an order of an earlier lease holder may still be open then, but it would change
//! nothing, and the engine would be unused for no reason.

use super::ConfirmError;
use crate::pool::EndpointPool;
use catalogue::id::EndpointId;
use coordination::control::ControlHandle;
use peer::message::{ConfirmReply, ConfirmRequest};
use platform::engine::LoadReport;
use state::control::{ControlView, EnginePlan};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval between two checks of the engines' reports.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Excluded engines of one pool
#[derive(Debug, Clone)]
pub struct PlanExclusion {
    control: ControlHandle,
    pool: Arc<EndpointPool>,
    closed: Arc<Mutex<Vec<EndpointId>>>,
}

impl PlanExclusion {
    /// Creates the exclusion; `follow` keeps it up to date
    pub fn new(control: ControlHandle, pool: Arc<EndpointPool>) -> PlanExclusion {
        PlanExclusion { control, pool, closed: Arc::default() }
    }

    /// Applies changes of the control stream until all other clones are dropped
    pub(super) async fn follow(self) {
        let mut views = self.control.subscribe();
        let closed = Arc::downgrade(&self.closed);
        let PlanExclusion { control, pool, closed: own } = self;
        drop(own);
        loop {
            let Some(closed) = closed.upgrade() else {
                return;
            };
            let exclusion = PlanExclusion { control: control.clone(), pool: pool.clone(), closed };
            let view = views.borrow_and_update().clone();
            exclusion.apply(&view);
            drop(exclusion);
            if let Ok(Err(_)) = tokio::time::timeout(REFRESH_INTERVAL, views.changed()).await {
                return;
            }
        }
    }

    /// Closes the engine of a plan to new work and confirms the plan
    ///
    /// # Errors
    /// `ConfirmError::PlanUnread` if this instance's view has no such open plan.
    pub fn confirm(&self, request: &ConfirmRequest) -> Result<ConfirmReply, ConfirmError> {
        let view = self.control.view();
        let plan = view.plan(request.plan).filter(|it| it.engine == request.engine);
        if plan.is_none() {
            return Err(ConfirmError::PlanUnread);
        }
        self.apply(&view);
        Ok(ConfirmReply { in_flight: self.pool.in_flight(&request.engine) })
    }

    fn apply(&self, view: &ControlView) {
        let mut closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        let reports = self.pool.reports();
        let report_of =
            |id: &str| reports.iter().find(|it| it.0.id == id).and_then(|it| it.1.as_ref());
        let is_closed = |plan: &&EnginePlan| !serves_target(plan, report_of(&plan.engine));
        let excluded: Vec<EndpointId> =
            view.plans().filter(is_closed).map(|it| it.engine.clone()).collect();
        for engine in closed.iter().filter(|it| !excluded.contains(it)) {
            log::info!("event=engine_opened pool={} engine={engine}", self.pool.name());
            self.pool.set_closed(engine, false);
        }
        for engine in excluded.iter().filter(|it| !closed.contains(it)) {
            log::info!("event=engine_closed pool={} engine={engine}", self.pool.name());
        }
        for engine in &excluded {
            self.pool.set_closed(engine, true);
        }
        *closed = excluded;
    }
}

/// Whether the engine already serves in the planned role
fn serves_target(plan: &EnginePlan, report: Option<&LoadReport>) -> bool {
    let changes_role = plan.from.role != plan.to.role;
    let is_ordered = !plan.orders.is_empty();
    let serves = report.is_some_and(|it| it.accepting && it.role == plan.to.role);
    changes_role && is_ordered && serves
}
