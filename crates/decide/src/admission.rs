//! Admission and the queue of admitted requests.
//!
//! The queue serves the most urgent class first and, within a class, the earliest
//! deadline. One turn in a few goes to the longest wait among the lower classes, so
//! that none of them starves while there is room. A request that can't be answered
//! in time is refused on arrival, with the time after which it may come again; one
//! whose time runs out in the queue is handed back at once.

use catalogue::RequestClass;
use catalogue::id::TokenCount;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const CLASSES: usize = RequestClass::ALL.len();
/// Turns among which one goes to the longest wait of the classes that are not urgent.
const FAIR_TURN: u32 = 8;
/// Weight of the newest gap between turns in the mean.
const GAP_WEIGHT: f64 = 0.1;
/// Shortest time after which a refused request is told to come again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused request is told to come again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Place in the queue
pub type Ticket = u64;

/// Request that asks for admission
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivingRequest {
    /// Class
    pub class: RequestClass,
    /// When the whole answer is due
    pub deadline: Instant,
    /// Time that serving takes once begun
    pub service_time: Duration,
}

/// Why a request is refused; it has not run
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum RefuseReason {
    /// queue is full, come again after {retry_after:?}
    QueueFull {
        /// When to come again
        retry_after: Duration,
    },
    /// answer can't be in time, come again after {retry_after:?}
    TooLate {
        /// When to come again
        retry_after: Duration,
    },
}

impl std::error::Error for RefuseReason {}

impl RefuseReason {
    /// When to come again
    pub fn retry_after(&self) -> Duration {
        match self {
            RefuseReason::QueueFull { retry_after } | RefuseReason::TooLate { retry_after } => {
                *retry_after
            }
        }
    }

    /// Name as it stands in logs and metrics
    pub fn name(&self) -> &'static str {
        match self {
            RefuseReason::QueueFull { .. } => "queue_full",
            RefuseReason::TooLate { .. } => "too_late",
        }
    }
}

/// Request taken from the queue
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest<T> {
    /// Its place
    pub ticket: Ticket,
    /// What was asked
    pub request: ArrivingRequest,
    /// When it came
    pub arrived: Instant,
    /// What the caller of `push` gave with it
    pub item: T,
}

impl<T> QueuedRequest<T> {
    /// Last moment at which serving may begin
    fn start_by(&self) -> Option<Instant> {
        self.request.deadline.checked_sub(self.request.service_time)
    }

    fn is_hopeless(&self, now: Instant) -> bool {
        self.start_by().is_none_or(|it| it < now)
    }
}

/// Bounded queue by class
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    lanes: [VecDeque<QueuedRequest<T>>; CLASSES],
    capacity: usize,
    next_ticket: Ticket,
    turns: u32,
    last_turn: Option<Instant>,
    /// Mean time between turns while requests waited, in seconds
    gap_s: Option<f64>,
}

impl<T> AdmissionQueue<T> {
    /// Queue that holds at most `capacity` requests
    pub fn new(capacity: usize) -> AdmissionQueue<T> {
        AdmissionQueue {
            lanes: std::array::from_fn(|_| VecDeque::new()),
            capacity,
            next_ticket: 1,
            turns: 0,
            last_turn: None,
            gap_s: None,
        }
    }

    /// Number of waiting requests
    pub fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Whether nothing waits
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Queues a request
    ///
    /// # Errors
    /// `QueueFull` when as many wait that are at least as urgent, `TooLate` when the
    /// wait would outlast the deadline.
    pub fn push(
        &mut self,
        request: ArrivingRequest,
        item: T,
        now: Instant,
    ) -> Result<Ticket, RefuseReason> {
        let wait = self.expected_wait(request.class);
        if self.waiting_ahead(request.class) >= self.capacity {
            return Err(RefuseReason::QueueFull { retry_after: bounded(wait) });
        }
        if now + wait + request.service_time > request.deadline {
            return Err(RefuseReason::TooLate { retry_after: bounded(wait) });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.insert(QueuedRequest { ticket, request, arrived: now, item });
        Ok(ticket)
    }

    /// Takes the request whose turn it is; those that can't be in time are left to `expired`
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest<T>> {
        let lane = self.next_lane(now)?;
        let index = self.lanes[lane].iter().position(|it| !it.is_hopeless(now))?;
        self.note_turn(now);
        self.lanes[lane].remove(index)
    }

    /// Takes out all requests that can't be in time any more
    pub fn expired(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for lane in &mut self.lanes {
            while let Some(index) = lane.iter().position(|it| it.is_hopeless(now)) {
                expired.extend(lane.remove(index));
            }
        }
        expired
    }

    /// Takes out the least urgent request when more than the capacity wait
    pub fn displaced(&mut self) -> Option<QueuedRequest<T>> {
        if self.len() <= self.capacity {
            return None;
        }
        self.lanes.iter_mut().rev().find_map(VecDeque::pop_back)
    }

    /// Takes out a request whose caller has gone
    pub fn cancel(&mut self, ticket: Ticket) -> Option<QueuedRequest<T>> {
        for lane in &mut self.lanes {
            if let Some(index) = lane.iter().position(|it| it.ticket == ticket) {
                return lane.remove(index);
            }
        }
        None
    }

    /// Time that a request of the class would wait now
    pub fn expected_wait(&self, class: RequestClass) -> Duration {
        let gap = self.gap_s.unwrap_or(0.0);
        Duration::from_secs_f64(gap * self.waiting_ahead(class) as f64)
    }

    fn waiting_ahead(&self, class: RequestClass) -> usize {
        self.lanes[..=class as usize].iter().map(VecDeque::len).sum()
    }

    fn insert(&mut self, queued: QueuedRequest<T>) {
        let lane = &mut self.lanes[queued.request.class as usize];
        let later = |it: &QueuedRequest<T>| it.request.deadline <= queued.request.deadline;
        let index = lane.partition_point(later);
        lane.insert(index, queued);
    }

    /// Lane to serve: the most urgent, or in a fair turn that of the longest wait
    fn next_lane(&self, now: Instant) -> Option<usize> {
        let waiting = |lane: &usize| self.lanes[*lane].iter().any(|it| !it.is_hopeless(now));
        let first = (0..CLASSES).find(waiting)?;
        if first == RequestClass::Urgent as usize || self.turns % FAIR_TURN != FAIR_TURN - 1 {
            return Some(first);
        }
        (first..CLASSES).filter(waiting).min_by_key(|lane| self.oldest(*lane))
    }

    fn oldest(&self, lane: usize) -> Option<Instant> {
        self.lanes[lane].iter().map(|it| it.arrived).min()
    }

    fn note_turn(&mut self, now: Instant) {
        self.turns = self.turns.wrapping_add(1);
        let is_backlogged = self.len() > 1;
        if let Some(last) = self.last_turn.filter(|_| is_backlogged) {
            let gap = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.gap_s.unwrap_or(gap);
            self.gap_s = Some(mean + GAP_WEIGHT * (gap - mean));
        }
        self.last_turn = is_backlogged.then_some(now);
    }
}

/// Time after which to come again, for a wait of this length
pub fn bounded(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Service time of a request on engines of a given speed
pub fn service_time(
    prompt_tokens: TokenCount,
    output_tokens: TokenCount,
    prefill_tokens_per_s: f64,
    stream_tokens_per_s: f64,
) -> Duration {
    let prompt = f64::from(prompt_tokens) / prefill_tokens_per_s;
    let output = f64::from(output_tokens) / stream_tokens_per_s;
    Duration::try_from_secs_f64(prompt + output).unwrap_or(Duration::MAX)
}
