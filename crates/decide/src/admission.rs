//! Bounded queue of requests that wait for admission.
//!
//! The queue serves the most urgent class first and, within a class, the earliest
//! deadline. Unless an urgent request waits, one turn in `FAIR_TURN` goes to the class
//! whose oldest request has waited longest, so that no class starves. A request that can't
//! be answered by its deadline is refused on arrival, with the time after which the client
//! may retry. A request that expires in the queue is returned by `take_expired`.

use catalogue::RequestClass;
use catalogue::id::TokenCount;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const CLASSES: usize = RequestClass::ALL.len();
/// Number of turns of which one goes to the class with the longest wait, if no urgent request waits.
const FAIR_TURN: u32 = 8;
/// Weight of the newest interval between turns in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Shortest time after which a refused client may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused client may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Id of a queued request
pub type Ticket = u64;

/// Request that arrives for admission
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivingRequest {
    /// Urgency class
    pub class: RequestClass,
    /// Time at which the complete answer is due
    pub deadline: Instant,
    /// Expected time to serve the request once it starts
    pub service_time: Duration,
}

/// Reason for the refusal of a request; the request has not run
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum RefuseReason {
    /// queue is full, retry after {retry_after:?}
    QueueFull {
        /// Time after which the client may retry
        retry_after: Duration,
    },
    /// answer can't meet the deadline, retry after {retry_after:?}
    TooLate {
        /// Time after which the client may retry
        retry_after: Duration,
    },
}

impl std::error::Error for RefuseReason {}

impl RefuseReason {
    /// Time after which the client may retry
    pub fn retry_after(&self) -> Duration {
        match self {
            RefuseReason::QueueFull { retry_after } | RefuseReason::TooLate { retry_after } => {
                *retry_after
            }
        }
    }

    /// Name in logs and metrics
    pub fn name(&self) -> &'static str {
        match self {
            RefuseReason::QueueFull { .. } => "queue_full",
            RefuseReason::TooLate { .. } => "too_late",
        }
    }
}

/// Request in the queue
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest<T> {
    /// Id within the queue
    pub ticket: Ticket,
    /// Class, deadline and service time
    pub request: ArrivingRequest,
    /// Time of arrival
    pub arrived: Instant,
    /// Item that was passed to `push`
    pub item: T,
}

impl<T> QueuedRequest<T> {
    /// Latest start that meets the deadline
    fn latest_start(&self) -> Option<Instant> {
        self.request.deadline.checked_sub(self.request.service_time)
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.latest_start().is_none_or(|it| it < now)
    }
}

/// Bounded queue with one lane per class
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    lanes: [VecDeque<QueuedRequest<T>>; CLASSES],
    capacity: usize,
    next_ticket: Ticket,
    turns: u32,
    last_turn: Option<Instant>,
    /// Mean interval between turns while requests waited, in seconds
    turn_interval_s: Option<f64>,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue that holds at most `capacity` requests
    pub fn new(capacity: usize) -> AdmissionQueue<T> {
        AdmissionQueue {
            lanes: std::array::from_fn(|_| VecDeque::new()),
            capacity,
            next_ticket: 1,
            turns: 0,
            last_turn: None,
            turn_interval_s: None,
        }
    }

    /// Number of waiting requests
    pub fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Whether no request waits
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Queues a request
    ///
    /// # Errors
    /// `QueueFull` if `capacity` requests wait that are at least as urgent, `TooLate` if
    /// the expected wait and service time exceed the deadline.
    pub fn push(
        &mut self,
        request: ArrivingRequest,
        item: T,
        now: Instant,
    ) -> Result<Ticket, RefuseReason> {
        let wait = self.expected_wait(request.class);
        if self.waiting_ahead(request.class) >= self.capacity {
            return Err(RefuseReason::QueueFull { retry_after: bounded_retry_after(wait) });
        }
        if now + wait + request.service_time > request.deadline {
            return Err(RefuseReason::TooLate { retry_after: bounded_retry_after(wait) });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.insert(QueuedRequest { ticket, request, arrived: now, item });
        Ok(ticket)
    }

    /// Takes the next request to serve; skips expired requests, which `take_expired` takes
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest<T>> {
        let lane = self.next_lane(now)?;
        let index = self.lanes[lane].iter().position(|it| !it.is_expired(now))?;
        self.record_turn(now);
        self.lanes[lane].remove(index)
    }

    /// Takes out all requests that can no longer meet their deadline
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for lane in &mut self.lanes {
            while let Some(index) = lane.iter().position(|it| it.is_expired(now)) {
                expired.extend(lane.remove(index));
            }
        }
        expired
    }

    /// Takes out the least urgent request if the queue exceeds its capacity
    pub fn take_displaced(&mut self) -> Option<QueuedRequest<T>> {
        if self.len() <= self.capacity {
            return None;
        }
        self.lanes.iter_mut().rev().find_map(VecDeque::pop_back)
    }

    /// Takes out a request whose client has disconnected
    pub fn cancel(&mut self, ticket: Ticket) -> Option<QueuedRequest<T>> {
        for lane in &mut self.lanes {
            if let Some(index) = lane.iter().position(|it| it.ticket == ticket) {
                return lane.remove(index);
            }
        }
        None
    }

    /// Expected wait of a request of the class that arrives now
    pub fn expected_wait(&self, class: RequestClass) -> Duration {
        let interval = self.turn_interval_s.unwrap_or(0.0);
        Duration::from_secs_f64(interval * self.waiting_ahead(class) as f64)
    }

    fn waiting_ahead(&self, class: RequestClass) -> usize {
        self.lanes[..=class as usize].iter().map(VecDeque::len).sum()
    }

    fn insert(&mut self, queued: QueuedRequest<T>) {
        let lane = &mut self.lanes[queued.request.class as usize];
        let is_ahead = |it: &QueuedRequest<T>| it.request.deadline <= queued.request.deadline;
        let index = lane.partition_point(is_ahead);
        lane.insert(index, queued);
    }

    /// Lane to serve: the most urgent one, or in a fair turn the one with the longest wait
    fn next_lane(&self, now: Instant) -> Option<usize> {
        let waiting = |lane: &usize| self.lanes[*lane].iter().any(|it| !it.is_expired(now));
        let first = (0..CLASSES).find(waiting)?;
        if first == RequestClass::Urgent as usize || self.turns % FAIR_TURN != FAIR_TURN - 1 {
            return Some(first);
        }
        (first..CLASSES).filter(waiting).min_by_key(|lane| self.earliest_arrival(*lane))
    }

    fn earliest_arrival(&self, lane: usize) -> Option<Instant> {
        self.lanes[lane].iter().map(|it| it.arrived).min()
    }

    fn record_turn(&mut self, now: Instant) {
        self.turns = self.turns.wrapping_add(1);
        let is_backlogged = self.len() > 1;
        if let Some(last) = self.last_turn.filter(|_| is_backlogged) {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.turn_interval_s.unwrap_or(interval);
            self.turn_interval_s = Some(mean + INTERVAL_WEIGHT * (interval - mean));
        }
        self.last_turn = is_backlogged.then_some(now);
    }
}

/// Time after which a refused client may retry, for an expected wait
pub fn bounded_retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Expected service time of a request on engines with these speeds
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
