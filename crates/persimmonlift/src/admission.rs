//! Admission of requests to a pool.
//!
//! A request is admitted at once while the pool has free capacity for this instance.
//! Otherwise it waits in the queue of its class until it is admitted or can no longer
//! meet its deadline. A background task admits queued requests; it ends when the
//! `PoolAdmission` is dropped.

use crate::pool::{EndpointPool, PoolCapacity};
use catalogue::id::TokenCount;
use decide::admission::{AdmissionQueue, ArrivingRequest, RefuseReason, Ticket};
use decide::admission::{bounded_retry_after, service_time};
use decide::concurrency::AdaptiveConcurrency;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Interval between two attempts to admit queued requests.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(5);
/// Multiple of its even share of the pool's batch slots that an instance may use
/// even if the pool is reported full.
const SHARE_FACTOR: f64 = 1.5;

type AdmissionSender = oneshot::Sender<Result<AdmissionPermit, RefuseReason>>;

/// Admission control of one pool
#[derive(Debug)]
pub struct PoolAdmission {
    pool: Arc<EndpointPool>,
    queue: Mutex<AdmissionQueue<AdmissionSender>>,
    admitted: Arc<AtomicU32>,
    instances: AtomicU32,
    concurrency: Arc<Mutex<AdaptiveConcurrency>>,
}

/// Admission of one request; counted until dropped
#[derive(Debug)]
pub struct AdmissionPermit {
    admitted: Arc<AtomicU32>,
    concurrency: Arc<Mutex<AdaptiveConcurrency>>,
    since: Instant,
    deadline: Instant,
}

impl AdmissionPermit {
    fn new(admission: &PoolAdmission, deadline: Instant) -> AdmissionPermit {
        admission.admitted.fetch_add(1, Ordering::Relaxed);
        AdmissionPermit {
            admitted: admission.admitted.clone(),
            concurrency: admission.concurrency.clone(),
            since: Instant::now(),
            deadline,
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admitted.fetch_sub(1, Ordering::Relaxed);
        let mut concurrency = self.concurrency.lock().unwrap_or_else(PoisonError::into_inner);
        concurrency.record_answer(
            self.since.elapsed(),
            self.deadline.saturating_duration_since(self.since),
        );
    }
}

impl PoolAdmission {
    /// Creates the admission of a pool with at most `capacity` queued requests, and
    /// spawns the task that admits them
    pub fn start(pool: Arc<EndpointPool>, capacity: usize) -> Arc<PoolAdmission> {
        let admission = Arc::new(PoolAdmission {
            pool,
            queue: Mutex::new(AdmissionQueue::new(capacity)),
            admitted: Arc::default(),
            instances: AtomicU32::new(1),
            concurrency: Arc::default(),
        });
        tokio::spawn(run_admission(Arc::downgrade(&admission)));
        admission
    }

    /// Sets the number of instances that share the pool, at least 1
    pub fn set_instances(&self, count: usize) {
        self.instances.store(count.max(1) as u32, Ordering::Relaxed);
    }

    /// Number of queued requests
    pub fn queued(&self) -> usize {
        self.lock().len()
    }

    /// Number of admitted requests that have not ended
    pub fn admitted(&self) -> u32 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Expected time to serve a request after admission, at the pool's average speeds;
    /// zero while no speed is known
    pub fn service_time(&self, prompt_tokens: TokenCount, output_tokens: TokenCount) -> Duration {
        let capacity = self.pool.capacity();
        if capacity.prefill_tokens_per_s <= 0.0 || capacity.stream_tokens_per_s <= 0.0 {
            return Duration::ZERO;
        }
        let streams = capacity.stream_tokens_per_s;
        service_time(prompt_tokens, output_tokens, capacity.prefill_tokens_per_s, streams)
    }

    /// Waits until the request is admitted
    ///
    /// # Errors
    /// The reason for the refusal; a refused request has not run.
    pub async fn admit(
        self: &Arc<Self>,
        request: ArrivingRequest,
    ) -> Result<AdmissionPermit, RefuseReason> {
        let (receiver, ticket) = match self.try_admit(request)? {
            AdmissionResult::Admitted(permit) => return Ok(permit),
            AdmissionResult::Queued(receiver, ticket) => (receiver, ticket),
        };
        let _guard = QueueGuard { admission: self, ticket };
        let dropped = RefuseReason::QueueFull { retry_after: bounded_retry_after(Duration::ZERO) };
        receiver.await.unwrap_or(Err(dropped))
    }

    fn try_admit(&self, request: ArrivingRequest) -> Result<AdmissionResult, RefuseReason> {
        let now = Instant::now();
        let mut queue = self.lock();
        if queue.is_empty() && self.has_capacity() {
            return Ok(AdmissionResult::Admitted(AdmissionPermit::new(self, request.deadline)));
        }
        let (sender, receiver) = oneshot::channel();
        let ticket = queue.push(request, sender, now)?;
        if let Some(displaced) = queue.take_displaced() {
            let wait = queue.expected_wait(displaced.request.class);
            let reason = RefuseReason::QueueFull { retry_after: bounded_retry_after(wait) };
            let _ = displaced.item.send(Err(reason));
        }
        Ok(AdmissionResult::Queued(receiver, ticket))
    }

    fn has_capacity(&self) -> bool {
        let PoolCapacity { batch_slots, reported_requests, .. } = self.pool.capacity();
        let admitted = self.admitted();
        let instances = f64::from(self.instances.load(Ordering::Relaxed));
        let usable = f64::from(batch_slots) * self.concurrency().capacity_fraction();
        let share = usable * SHARE_FACTOR / instances;
        f64::from(admitted) < share || f64::from(admitted.max(reported_requests)) < usable
    }

    fn admit_queued(&self) {
        let now = Instant::now();
        let mut queue = self.lock();
        if queue.is_empty() {
            return;
        }
        for late in queue.take_expired(now) {
            let wait = queue.expected_wait(late.request.class);
            let reason = RefuseReason::TooLate { retry_after: bounded_retry_after(wait) };
            let _ = late.item.send(Err(reason));
        }
        while !queue.is_empty() && self.has_capacity() {
            let Some(next) = queue.pop(now) else {
                return;
            };
            let _ = next.item.send(Ok(AdmissionPermit::new(self, next.request.deadline)));
        }
    }

    /// Adaptive concurrency, which sets the fraction of the pool's capacity to use at present
    pub fn concurrency(&self) -> AdaptiveConcurrency {
        *self.concurrency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionQueue<AdmissionSender>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum AdmissionResult {
    Admitted(AdmissionPermit),
    Queued(oneshot::Receiver<Result<AdmissionPermit, RefuseReason>>, Ticket),
}

/// Removes a request from the queue when its caller disconnects
struct QueueGuard<'a> {
    admission: &'a PoolAdmission,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.admission.lock().cancel(self.ticket);
    }
}

async fn run_admission(admission: Weak<PoolAdmission>) {
    let mut interval = tokio::time::interval(ADMISSION_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match admission.upgrade() {
            Some(admission) => admission.admit_queued(),
            None => return,
        }
    }
}
