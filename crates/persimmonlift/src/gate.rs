//! Admission of requests to a pool.
//!
//! A request passes at once while the pool has room for this instance; otherwise it
//! waits in the queue of its class until its turn comes or can't come in time any
//! more. A pump task hands out the turns and ends with its gate.

use crate::pool::{EndpointPool, PoolRoom};
use catalogue::id::TokenCount;
use decide::admission::{AdmissionQueue, ArrivingRequest, RefuseReason, Ticket};
use decide::admission::{bounded, service_time};
use decide::pace::AdmissionPace;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Interval at which turns are handed out.
const PUMP_INTERVAL: Duration = Duration::from_millis(5);
/// Part of its even share of the pool's places that an instance may use although
/// the pool is reported full.
const SHARE_FACTOR: f64 = 1.5;

type TurnSender = oneshot::Sender<Result<GatePass, RefuseReason>>;

/// Gate of one pool
#[derive(Debug)]
pub struct PoolGate {
    pool: Arc<EndpointPool>,
    queue: Mutex<AdmissionQueue<TurnSender>>,
    admitted: Arc<AtomicU32>,
    instances: AtomicU32,
    pace: Arc<Mutex<AdmissionPace>>,
}

/// Place of an admitted request, given back when dropped
#[derive(Debug)]
pub struct GatePass {
    admitted: Arc<AtomicU32>,
    pace: Arc<Mutex<AdmissionPace>>,
    since: Instant,
    deadline: Instant,
}

impl GatePass {
    fn new(gate: &PoolGate, deadline: Instant) -> GatePass {
        gate.admitted.fetch_add(1, Ordering::Relaxed);
        GatePass {
            admitted: gate.admitted.clone(),
            pace: gate.pace.clone(),
            since: Instant::now(),
            deadline,
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        self.admitted.fetch_sub(1, Ordering::Relaxed);
        let mut pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        pace.ended(self.since.elapsed(), self.deadline.saturating_duration_since(self.since));
    }
}

impl PoolGate {
    /// Gate whose queue holds at most `capacity` requests; starts its pump
    pub fn start(pool: Arc<EndpointPool>, capacity: usize) -> Arc<PoolGate> {
        let gate = Arc::new(PoolGate {
            pool,
            queue: Mutex::new(AdmissionQueue::new(capacity)),
            admitted: Arc::default(),
            instances: AtomicU32::new(1),
            pace: Arc::default(),
        });
        tokio::spawn(pump(Arc::downgrade(&gate)));
        gate
    }

    /// Number of instances that share the pool
    pub fn set_instances(&self, count: usize) {
        self.instances.store(count.max(1) as u32, Ordering::Relaxed);
    }

    /// Requests that wait
    pub fn queued(&self) -> usize {
        self.lock().len()
    }

    /// Requests admitted and not yet ended
    pub fn admitted(&self) -> u32 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Time that serving takes once begun, by the pool's speeds
    pub fn service_time(&self, prompt_tokens: TokenCount, output_tokens: TokenCount) -> Duration {
        let room = self.pool.room();
        if room.prefill_tokens_per_s <= 0.0 || room.stream_tokens_per_s <= 0.0 {
            return Duration::ZERO;
        }
        let streams = room.stream_tokens_per_s;
        service_time(prompt_tokens, output_tokens, room.prefill_tokens_per_s, streams)
    }

    /// Waits for the request's turn
    ///
    /// # Errors
    /// The reason for which it is refused; it has then not run.
    pub async fn admit(
        self: &Arc<Self>,
        request: ArrivingRequest,
    ) -> Result<GatePass, RefuseReason> {
        let (turn, ticket) = match self.enter(request)? {
            GateEntry::Passed(pass) => return Ok(pass),
            GateEntry::Queued(turn, ticket) => (turn, ticket),
        };
        let _place = QueuePlace { gate: self, ticket };
        let gone = RefuseReason::QueueFull { retry_after: bounded(Duration::ZERO) };
        turn.await.unwrap_or(Err(gone))
    }

    fn enter(&self, request: ArrivingRequest) -> Result<GateEntry, RefuseReason> {
        let now = Instant::now();
        let mut queue = self.lock();
        if queue.is_empty() && self.has_room() {
            return Ok(GateEntry::Passed(GatePass::new(self, request.deadline)));
        }
        let (sender, turn) = oneshot::channel();
        let ticket = queue.push(request, sender, now)?;
        if let Some(displaced) = queue.displaced() {
            let wait = queue.expected_wait(displaced.request.class);
            let reason = RefuseReason::QueueFull { retry_after: bounded(wait) };
            let _ = displaced.item.send(Err(reason));
        }
        Ok(GateEntry::Queued(turn, ticket))
    }

    fn has_room(&self) -> bool {
        let PoolRoom { places, reported, .. } = self.pool.room();
        let admitted = self.admitted();
        let instances = f64::from(self.instances.load(Ordering::Relaxed));
        let usable = f64::from(places) * self.pace().room();
        let share = usable * SHARE_FACTOR / instances;
        f64::from(admitted) < share || f64::from(admitted.max(reported)) < usable
    }

    fn hand_out(&self) {
        let now = Instant::now();
        let mut queue = self.lock();
        if queue.is_empty() {
            return;
        }
        for late in queue.expired(now) {
            let wait = queue.expected_wait(late.request.class);
            let reason = RefuseReason::TooLate { retry_after: bounded(wait) };
            let _ = late.item.send(Err(reason));
        }
        while !queue.is_empty() && self.has_room() {
            let Some(next) = queue.pop(now) else {
                return;
            };
            let _ = next.item.send(Ok(GatePass::new(self, next.request.deadline)));
        }
    }

    /// Part of the pool's room that is used now
    pub fn pace(&self) -> AdmissionPace {
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionQueue<TurnSender>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum GateEntry {
    Passed(GatePass),
    Queued(oneshot::Receiver<Result<GatePass, RefuseReason>>, Ticket),
}

/// Place in the queue, left when the caller goes away
struct QueuePlace<'a> {
    gate: &'a PoolGate,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.gate.lock().cancel(self.ticket);
    }
}

async fn pump(gate: Weak<PoolGate>) {
    let mut interval = tokio::time::interval(PUMP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match gate.upgrade() {
            Some(gate) => gate.hand_out(),
            None => return,
        }
    }
}
