//! Keeps the lease of a duty, or waits for it.
//!
//! The holder counts its term from before it sent the claim or renewal; others
//! count theirs, and a margin, from when they saw it. So two terms don't overlap,
//! whatever the clocks say. A holder that is paused between `held` and its act is
//! stopped by the fencing number.

use crate::control::{ControlError, ControlHandle};
use catalogue::id::{Fence, Offset};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use state::control::{ControlItem, ControlRefusal, DutyName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Times of a lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time for which a claim or renewal holds
    pub term: Duration,
    /// Time between renewals, and for a claim to be confirmed
    pub renewal: Duration,
    /// Time beyond the term that a challenger waits
    pub margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming {
            term: Duration::from_secs(6),
            renewal: Duration::from_secs(2),
            margin: Duration::from_millis(500),
        }
    }
}

/// Lease that this instance holds
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number to put on every order
    pub fence: Fence,
    /// Time from which others may hold it
    pub expires: Instant,
}

enum LeaseMessage {
    Step,
    Stepped { fence: Fence, sent: Instant, result: Result<Offset, ControlError> },
    Release(oneshot::Sender<()>),
}

struct LeaseActor;

struct LeaseWorker {
    myself: ActorRef<LeaseMessage>,
    control: ControlHandle,
    duty: DutyName,
    timing: LeaseTiming,
    held: watch::Sender<Option<HeldLease>>,
    is_claiming: bool,
    is_released: bool,
}

struct LeaseGuard(ActorRef<LeaseMessage>);

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}

/// Keeps a duty's lease; dropping the last one lets the lease lapse
#[derive(Clone)]
pub struct LeaseKeeper {
    guard: Arc<LeaseGuard>,
    held: watch::Receiver<Option<HeldLease>>,
}

impl LeaseKeeper {
    /// Starts to claim a duty whenever it is free
    ///
    /// # Errors
    /// `ractor::SpawnErr` if the actor can't be started.
    pub async fn start(
        control: ControlHandle,
        duty: DutyName,
        timing: LeaseTiming,
    ) -> Result<LeaseKeeper, ractor::SpawnErr> {
        let (sender, held) = watch::channel(None);
        let setup = (control, duty, timing, sender);
        let (actor, _) = Actor::spawn(None, LeaseActor, setup).await?;
        Ok(LeaseKeeper { guard: Arc::new(LeaseGuard(actor)), held })
    }

    /// Lease if it is held now; to be checked right before each act
    pub fn held(&self) -> Option<HeldLease> {
        self.held.borrow().filter(|it| Instant::now() < it.expires)
    }

    /// Changes of the lease; `held` tells whether it has expired since
    pub fn subscribe(&self) -> watch::Receiver<Option<HeldLease>> {
        self.held.clone()
    }

    /// Gives the lease up for good, so that another instance may claim it at once
    pub async fn release(&self) {
        let (done, released) = oneshot::channel();
        if self.guard.0.cast(LeaseMessage::Release(done)).is_ok() {
            let _ = released.await;
        }
    }
}

impl Actor for LeaseActor {
    type Msg = LeaseMessage;
    type State = LeaseWorker;
    type Arguments = (ControlHandle, DutyName, LeaseTiming, watch::Sender<Option<HeldLease>>);

    async fn pre_start(
        &self,
        myself: ActorRef<LeaseMessage>,
        (control, duty, timing, held): Self::Arguments,
    ) -> Result<LeaseWorker, ActorProcessingErr> {
        let worker = LeaseWorker {
            myself,
            control,
            duty,
            timing,
            held,
            is_claiming: false,
            is_released: false,
        };
        worker.step_after(Duration::ZERO);
        Ok(worker)
    }

    async fn handle(
        &self,
        _myself: ActorRef<LeaseMessage>,
        message: LeaseMessage,
        worker: &mut LeaseWorker,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LeaseMessage::Step => worker.step(),
            LeaseMessage::Stepped { fence, sent, result } => worker.stepped(fence, sent, result),
            LeaseMessage::Release(done) => worker.release(done),
        }
        Ok(())
    }
}

impl LeaseWorker {
    fn step_after(&self, delay: Duration) {
        let myself = self.myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = myself.cast(LeaseMessage::Step);
        });
    }

    /// Claims, renews or waits, as the lease stands
    fn step(&mut self) {
        if self.is_claiming || self.is_released {
            return;
        }
        match self.next_claim() {
            Ok((base, fence)) => self.claim(base, fence),
            Err(wait) => self.step_after(wait),
        }
    }

    /// Base and fencing number of a claim to make now, or the time to wait for one
    fn next_claim(&self) -> Result<(Offset, Fence), Duration> {
        if !self.control.status().is_caught_up {
            return Err(self.timing.margin);
        }
        let view = self.control.view();
        let Some(lease) = view.lease(&self.duty) else {
            return Ok((0, 0));
        };
        if lease.released {
            return Ok((lease.last, 0));
        }
        let held = *self.held.borrow();
        if held.is_some_and(|it| it.fence == lease.fence && Instant::now() < it.expires) {
            return Ok((lease.last, lease.fence));
        }
        let wait = lease.term() + self.timing.margin;
        let observed = self.control.lease_observed(&self.duty).unwrap_or_default();
        if observed >= wait {
            return Ok((lease.last, 0));
        }
        Err((wait - observed).min(self.timing.margin))
    }

    fn claim(&mut self, base: Offset, fence: Fence) {
        self.is_claiming = true;
        let item = ControlItem::LeaseClaim {
            duty: self.duty.clone(),
            base,
            holder: self.control.instance().clone(),
            fence,
            term_ms: self.timing.term.as_millis() as u64,
        };
        let control = self.control.clone();
        let myself = self.myself.clone();
        let sent = Instant::now();
        let deadline = sent + self.timing.renewal;
        tokio::spawn(async move {
            let result = control.append_by(item, deadline).await;
            let _ = myself.cast(LeaseMessage::Stepped { fence, sent, result });
        });
    }

    fn stepped(&mut self, fence: Fence, sent: Instant, result: Result<Offset, ControlError>) {
        self.is_claiming = false;
        match result {
            Ok(offset) => {
                let fence = if fence == 0 { offset } else { fence };
                if self.is_released {
                    return self.append_release(fence, None);
                }
                self.hold(fence, sent + self.timing.term);
                self.step_after(self.timing.renewal);
            }
            Err(error) => {
                log::info!("event=lease_not_claimed duty={} error={error}", self.duty);
                let is_lost = matches!(error, ControlError::Refused(ControlRefusal::Fenced));
                if is_lost {
                    self.held.send_replace(None);
                }
                self.step_after(self.timing.margin);
            }
        }
    }

    fn hold(&self, fence: Fence, expires: Instant) {
        let previous = self.held.send_replace(Some(HeldLease { fence, expires }));
        if previous.is_none_or(|it| it.fence != fence) {
            log::info!("event=lease_claimed duty={} fence={fence}", self.duty);
        }
    }

    fn release(&mut self, done: oneshot::Sender<()>) {
        self.is_released = true;
        let Some(held) = self.held.send_replace(None) else {
            return;
        };
        self.append_release(held.fence, Some(done));
    }

    fn append_release(&self, fence: Fence, done: Option<oneshot::Sender<()>>) {
        let item = ControlItem::LeaseRelease { duty: self.duty.clone(), fence };
        let control = self.control.clone();
        tokio::spawn(async move {
            if let Err(error) = control.append(item).await {
                log::info!("event=lease_not_released error={error}");
            }
            if let Some(done) = done {
                let _ = done.send(());
            }
        });
    }
}
