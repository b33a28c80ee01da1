//! Stages of a planned stop.
//!
//! SIGTERM starts the sequence, see `drain`. The instance turns unready and serves on while the
//! load balancer reacts; then it closes idle connections. New ones may come as long as the
//! process listens, since the balancer falls back to unready instances when few others are
//! left. So the instance stops listening once it is quiet, or early enough for the requests
//! that it has accepted to end. Those that are left before the process exits get a
//! final answer, which tells whether an endpoint may have run them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time from SIGTERM until idle connections are closed. The load balancer probes once a second and
/// removes an instance after two failed probes.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// Margin between the exit of the process and the SIGKILL that follows a SIGTERM.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time in which final answers are written before the exit.
pub const FINAL_ANSWER_TIME: Duration = Duration::from_millis(250);
/// Time for requests that have been accepted to end before the final answers, as a fraction of the grace period.
const LAST_REQUESTS_FRACTION: f64 = 0.13;
/// Expected time of an answer in multiples of the route's objective. Most take half of it.
const ANSWER_OBJECTIVES: f64 = 3.0;

/// Stage of a planned stop, in their order
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    #[default]
    Serving,
    /// Not ready; serves on, and closes each connection with its next answer
    Unready,
    /// Closes idle connections
    ClosingIdle,
    /// Takes no more connections
    NotListening,
    /// Gives final answers to the requests that are left
    Answering,
}

/// Times of a stop's stages
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    pub close_idle: Instant,
    pub stop_listening: Instant,
    pub answer: Instant,
    pub exit: Instant,
}

impl StopTimes {
    /// Times of a stop that starts now and must end within a grace period
    pub fn within(start: Instant, grace: Duration) -> StopTimes {
        let exit = start + grace.saturating_sub(EXIT_MARGIN);
        let before =
            |time: Instant, span: Duration| time.checked_sub(span).unwrap_or(start).max(start);
        let answer = before(exit, FINAL_ANSWER_TIME);
        let stop_listening = before(answer, grace.mul_f64(LAST_REQUESTS_FRACTION));
        let close_idle = stop_listening.min(start + IDLE_CLOSE_DELAY);
        StopTimes { close_idle, stop_listening, answer, exit }
    }
}

/// Progress of a planned stop
#[derive(Debug, Default)]
pub struct StopState {
    stage: Cell<StopStage>,
    has_changed: Notify,
    times: Cell<Option<StopTimes>>,
    /// Number of listeners that are open
    open_listeners: Cell<usize>,
}

impl StopState {
    /// Whether a stage has begun
    pub fn has_reached(&self, stage: StopStage) -> bool {
        self.stage.get() >= stage
    }

    /// Waits until a stage has begun
    pub async fn reached(&self, stage: StopStage) {
        loop {
            let has_changed = self.has_changed.notified();
            if self.has_reached(stage) {
                return;
            }
            has_changed.await;
        }
    }

    /// Records a listener that the end of listening closes
    pub fn record_listener(&self) {
        self.open_listeners.set(self.open_listeners.get() + 1);
    }

    /// Records that a listener is closed
    pub fn record_closed_listener(&self) {
        self.open_listeners.set(self.open_listeners.get() - 1);
    }

    /// Whether all listeners are closed
    pub fn has_closed_listeners(&self) -> bool {
        self.open_listeners.get() == 0
    }

    /// Whether a request can be expected to end before the process does
    ///
    /// A stream lasts for an unknown time, so it may start late only if its deadline is early enough.
    pub fn may_serve(&self, deadline: Instant, objective: Duration, is_stream: bool) -> bool {
        let Some(times) = self.times.get() else { return true };
        if is_stream {
            return !self.has_reached(StopStage::ClosingIdle) || deadline <= times.answer;
        }
        deadline.min(Instant::now() + objective.mul_f64(ANSWER_OBJECTIVES)) <= times.answer
    }

    /// Starts the stop
    pub fn begin(&self, times: StopTimes) {
        self.times.set(Some(times));
        self.enter(StopStage::Unready);
    }

    /// Begins a stage
    pub fn enter(&self, stage: StopStage) {
        self.stage.set(stage);
        self.has_changed.notify_waiters();
    }
}

/// Whether a request has been handed to an endpoint, also known once its call is dropped
#[derive(Debug, Clone, Default)]
pub struct SendMark(Rc<Cell<bool>>);

impl SendMark {
    /// Records that an endpoint may run the request from now on
    pub fn record_send(&self) {
        self.0.set(true);
    }

    /// Whether an endpoint may have run the request
    pub fn may_have_run(&self) -> bool {
        self.0.get()
    }
}
