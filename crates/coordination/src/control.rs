//! Handle to a pool's control stream: its leases, plans and orders.

use crate::shared::{RelayError, SharedLog};
use crate::stream::{StreamHandle, StreamOptions, StreamStart, StreamStatus, SubmitError};
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

pub const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to append an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ControlError {
    /// item has no effect: {0}
    Refused(ControlRefusal),
    /// item was not confirmed: {0}
    Submit(SubmitError),
}

impl std::error::Error for ControlError {}

/// Times at which this instance first observed leases, plans and orders, by its monotonic clock
#[derive(Debug, Default)]
struct ObservationTimes {
    leases: IndexMap<DutyName, (Offset, Instant)>,
    plans: IndexMap<OrderId, Instant>,
    orders: IndexMap<(OrderId, Offset), Instant>,
}

impl ObservationTimes {
    fn update(&mut self, view: &ControlView, now: Instant) {
        for (duty, lease) in view.leases() {
            let observation = self.leases.entry(duty.clone()).or_insert((lease.last, now));
            if observation.0 != lease.last {
                *observation = (lease.last, now);
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
    observations: Arc<Mutex<ObservationTimes>>,
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
        let observations = Arc::new(Mutex::new(ObservationTimes::default()));
        let table = observations.clone();
        let publish = move |view: &ControlView| {
            table.lock().unwrap_or_else(PoisonError::into_inner).update(view, Instant::now());
            sender.send_replace(Arc::new(view.clone()));
        };
        let options = StreamOptions {
            stream: smol_str::format_smolstr!("{CONTROL_PREFIX}{pool}"),
            start: StreamStart::Checkpoint,
            max_items: 1,
            pacing: Duration::ZERO,
            apply: ControlView::apply,
            publish: Box::new(publish),
        };
        let stream = StreamHandle::start(shared, options).await?;
        Ok(ControlHandle { instance, stream, views, observations })
    }

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

    /// Progress of the stream and its contact with the log
    pub fn status(&self) -> StreamStatus {
        self.stream.status()
    }

    /// Recent records for a peer that can't reach the log
    ///
    /// # Errors
    /// `Disconnected` if this instance has no contact with the log either.
    pub async fn relay(&self, from: Offset, max: u32) -> Result<Vec<LogRecord>, RelayError> {
        self.stream.relay(from, max).await
    }

    /// Appends an item and returns its offset once the fold has accepted it
    ///
    /// # Errors
    /// `Refused` if the fold refuses the item; `Submit` if there is no outcome within
    /// `APPEND_TIMEOUT`.
    pub async fn append(&self, item: ControlItem) -> Result<Offset, ControlError> {
        self.append_with_deadline(item, Instant::now() + APPEND_TIMEOUT).await
    }

    /// Like `append`, with a deadline
    ///
    /// # Errors
    /// As for `append`.
    pub async fn append_with_deadline(
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

    /// Time since this instance first observed the duty's lease at its last offset
    pub fn lease_observed(&self, duty: &str) -> Option<Duration> {
        let observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
        observations.leases.get(duty).map(|(_, at)| at.elapsed())
    }

    /// Time since this instance first observed an open plan
    pub fn plan_observed(&self, plan: OrderId) -> Option<Duration> {
        let observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
        observations.plans.get(&plan).map(Instant::elapsed)
    }

    /// Time since this instance first observed the open order of a plan
    pub fn order_observed(&self, plan: OrderId) -> Option<Duration> {
        let order = self.views.borrow().plan(plan)?.open_order()?.offset;
        let observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
        observations.orders.get(&(plan, order)).map(Instant::elapsed)
    }
}
