//! Acquires and renews the lease of a duty.
//!
//! The holder measures its term from before it sends the claim or renewal. Other
//! instances wait for the term and a margin, measured from when they observe it. So
//! two terms never overlap, whatever the wall clocks say. The fencing number stops a
//! holder that is paused between checking `held` and acting.

use crate::control::{ControlError, ControlHandle};
use catalogue::id::{Fence, Offset};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use state::control::{ControlItem, ControlRefusal, DutyName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Duration of a claim or renewal
    pub term: Duration,
    /// Interval between renewals, and timeout of a claim
    pub renewal: Duration,
    /// Time beyond the term that other instances wait before they claim
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
    /// Fencing number that every order carries
    pub fence: Fence,
    /// Time from which another instance may hold the lease
    pub expires: Instant,
}

enum LeaseMessage {
    Tick,
    Claimed { fence: Fence, sent: Instant, result: Result<Offset, ControlError> },
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

/// Handle that keeps a duty's lease renewed; dropping the last clone lets the lease expire
#[derive(Clone)]
pub struct LeaseHandle {
    guard: Arc<LeaseGuard>,
    held: watch::Receiver<Option<HeldLease>>,
}

impl LeaseHandle {
    /// Starts an actor that claims the duty whenever it is free
    ///
    /// # Errors
    /// `ractor::SpawnErr` if the actor can't be started.
    pub async fn start(
        control: ControlHandle,
        duty: DutyName,
        timing: LeaseTiming,
    ) -> Result<LeaseHandle, ractor::SpawnErr> {
        let (sender, held) = watch::channel(None);
        let setup = (control, duty, timing, sender);
        let (actor, _) = Actor::spawn(None, LeaseActor, setup).await?;
        Ok(LeaseHandle { guard: Arc::new(LeaseGuard(actor)), held })
    }

    /// Lease if it is held now; check it right before each action under the lease
    pub fn held(&self) -> Option<HeldLease> {
        self.held.borrow().filter(|it| Instant::now() < it.expires)
    }

    /// Changes of the lease; an expiry is not sent, so check `held` too
    pub fn subscribe(&self) -> watch::Receiver<Option<HeldLease>> {
        self.held.clone()
    }

    /// Releases the lease for good so that another instance can claim it at once
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
        worker.schedule_tick(Duration::ZERO);
        Ok(worker)
    }

    async fn handle(
        &self,
        _myself: ActorRef<LeaseMessage>,
        message: LeaseMessage,
        worker: &mut LeaseWorker,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LeaseMessage::Tick => worker.tick(),
            LeaseMessage::Claimed { fence, sent, result } => worker.claimed(fence, sent, result),
            LeaseMessage::Release(done) => worker.release(done),
        }
        Ok(())
    }
}

impl LeaseWorker {
    fn schedule_tick(&self, delay: Duration) {
        let myself = self.myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = myself.cast(LeaseMessage::Tick);
        });
    }

    /// Claims or renews the lease, or schedules the next check
    fn tick(&mut self) {
        if self.is_claiming || self.is_released {
            return;
        }
        match self.next_claim() {
            Ok((base, fence)) => self.claim(base, fence),
            Err(wait) => self.schedule_tick(wait),
        }
    }

    /// Base and fencing number of a claim to send now; `Err` is the delay until the next check
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
            let result = control.append_with_deadline(item, deadline).await;
            let _ = myself.cast(LeaseMessage::Claimed { fence, sent, result });
        });
    }

    fn claimed(&mut self, fence: Fence, sent: Instant, result: Result<Offset, ControlError>) {
        self.is_claiming = false;
        match result {
            Ok(offset) => {
                let fence = if fence == 0 { offset } else { fence };
                if self.is_released {
                    return self.append_release(fence, None);
                }
                self.hold(fence, sent + self.timing.term);
                self.schedule_tick(self.timing.renewal);
            }
            Err(error) => {
                log::info!("event=lease_not_claimed duty={} error={error}", self.duty);
                let is_lost = matches!(error, ControlError::Refused(ControlRefusal::Fenced));
                if is_lost {
                    self.held.send_replace(None);
                }
                self.schedule_tick(self.timing.margin);
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
