//! Leases, plans and orders of a pool as this instance knows them.

use crate::shared::{RelayError, SharedLog};
use crate::stream::{StreamHandle, StreamRules, StreamStart, StreamStatus, SubmitError};
use catalogue::id::{InstanceId, Offset, OrderId, PoolName};
use indexmap::IndexMap;
use platform::log::LogRecord;
use state::control::{
    CONTROL_PREFIX, ControlItem, ControlOutcome, ControlRefusal, ControlView, DutyName,
};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after which an item without a verdict is given up.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to append an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ControlError {
    /// item has no effect: {0}
    Refused(ControlRefusal),
    /// no verdict: {0}
    Submit(SubmitError),
}

impl std::error::Error for ControlError {}

/// First sight of leases and orders by this instance's monotonic clock
#[derive(Debug, Default)]
struct SightTable {
    leases: IndexMap<DutyName, (Offset, Instant)>,
    plans: IndexMap<OrderId, Instant>,
    orders: IndexMap<(OrderId, Offset), Instant>,
}

impl SightTable {
    fn note(&mut self, view: &ControlView, now: Instant) {
        for (duty, lease) in view.leases() {
            let sight = self.leases.entry(duty.clone()).or_insert((lease.last, now));
            if sight.0 != lease.last {
                *sight = (lease.last, now);
            }
        }
        let is_open = |id: &(OrderId, Offset)| {
            let order = view.plan(id.0).and_then(|it| it.open_order());
            order.is_some_and(|it| it.offset == id.1)
        };
        self.orders.retain(|id, _| is_open(id));
        self.plans.retain(|id, _| view.plan(*id).is_some());
        for plan in view.plans() {
            self.plans.entry(plan.id).or_insert(now);
            if let Some(order) = plan.open_order() {
                self.orders.entry((plan.id, order.offset)).or_insert(now);
            }
        }
    }
}

/// Handle to the control stream of a pool
#[derive(Debug, Clone)]
pub struct ControlHandle {
    instance: InstanceId,
    stream: StreamHandle<ControlView, ControlItem, ControlOutcome>,
    views: watch::Receiver<Arc<ControlView>>,
    sights: Arc<Mutex<SightTable>>,
}

impl ControlHandle {
    /// Starts to follow the control stream of a pool
    ///
    /// # Errors
    /// `ractor::SpawnErr` if the stream's actor can't be started.
    pub async fn start(
        shared: SharedLog,
        pool: &PoolName,
    ) -> Result<ControlHandle, ractor::SpawnErr> {
        let instance = shared.instance.clone();
        let (sender, views) = watch::channel(Arc::new(ControlView::default()));
        let sights = Arc::new(Mutex::new(SightTable::default()));
        let table = sights.clone();
        let publish = move |view: &ControlView| {
            table.lock().unwrap_or_else(PoisonError::into_inner).note(view, Instant::now());
            sender.send_replace(Arc::new(view.clone()));
        };
        let rules = StreamRules {
            stream: smol_str::format_smolstr!("{CONTROL_PREFIX}{pool}"),
            start: StreamStart::Checkpoint,
            max_items: 1,
            pacing: Duration::ZERO,
            apply: ControlView::apply,
            publish: Box::new(publish),
        };
        let stream = StreamHandle::start(shared, rules).await?;
        Ok(ControlHandle { instance, stream, views, sights })
    }

    /// This instance
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Leases, plans and orders as folded so far
    pub fn view(&self) -> Arc<ControlView> {
        self.views.borrow().clone()
    }

    /// Changes of `view`
    pub fn subscribe(&self) -> watch::Receiver<Arc<ControlView>> {
        self.views.clone()
    }

    /// Waits until the fold has reached the end of the stream once
    pub async fn caught_up(&self) {
        self.stream.caught_up().await;
    }

    /// How the stream stands with the log
    pub fn status(&self) -> StreamStatus {
        self.stream.status()
    }

    /// Recent records for a peer that can't reach the log
    ///
    /// # Errors
    /// `OutOfTouch` if this instance doesn't hear from the log either.
    pub async fn relay(&self, from: Offset, max: u32) -> Result<Vec<LogRecord>, RelayError> {
        self.stream.relay(from, max).await
    }

    /// Appends an item and answers its offset once the fold has accepted it
    ///
    /// # Errors
    /// `Refused` by the fold; `Submit` if there is no verdict within `APPEND_TIMEOUT`.
    pub async fn append(&self, item: ControlItem) -> Result<Offset, ControlError> {
        self.append_by(item, Instant::now() + APPEND_TIMEOUT).await
    }

    /// `append` with a deadline
    ///
    /// # Errors
    /// As for `append`.
    pub async fn append_by(
        &self,
        item: ControlItem,
        deadline: Instant,
    ) -> Result<Offset, ControlError> {
        match self.stream.submit(item, deadline).await {
            Ok(ControlOutcome::Accepted(offset)) => Ok(offset),
            Ok(ControlOutcome::Refused(refusal)) => Err(ControlError::Refused(refusal)),
            Err(error) => Err(ControlError::Submit(error)),
        }
    }

    /// Time since this instance first saw the duty's lease at its last offset
    pub fn lease_observed(&self, duty: &str) -> Option<Duration> {
        let sights = self.sights.lock().unwrap_or_else(PoisonError::into_inner);
        sights.leases.get(duty).map(|(_, at)| at.elapsed())
    }

    /// Time since this instance first saw a plan that is open
    pub fn plan_observed(&self, plan: OrderId) -> Option<Duration> {
        let sights = self.sights.lock().unwrap_or_else(PoisonError::into_inner);
        sights.plans.get(&plan).map(Instant::elapsed)
    }

    /// Time since this instance first saw the open order of a plan
    pub fn order_observed(&self, plan: OrderId) -> Option<Duration> {
        let order = self.views.borrow().plan(plan)?.open_order()?.offset;
        let sights = self.sights.lock().unwrap_or_else(PoisonError::into_inner);
        sights.orders.get(&(plan, order)).map(Instant::elapsed)
    }
}
