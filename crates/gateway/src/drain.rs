//! Planned stop of an instance, from SIGTERM to the exit of the process.

use crate::state::Gateway;
use crate::stop::{FINAL_ANSWER_TIME, StopStage, StopTimes};
use log::Level;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Polling interval for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls in a row without an open connection after which a listening instance is quiet.
const QUIET_POLLS: usize = 2;

/// Goes through the stages of a stop; returns when the process is to exit
pub async fn drain(gateway: &Gateway) {
    let stop = &gateway.stop;
    let times = StopTimes::within(Instant::now(), gateway.settings.stop_grace);
    stop.begin(times);
    if let Some(usage) = &gateway.usage {
        usage.hand_over(gateway);
    }
    // The lease is released while open connections are served to their end.
    gateway.duties.stop();
    log::info!("event=stop open_requests={}", gateway.open_requests.get());
    sleep_until(times.close_idle).await;
    enter(gateway, StopStage::ClosingIdle);
    wait_until_quiet(gateway, times.stop_listening).await;
    enter(gateway, StopStage::NotListening);
    wait_until_ended(gateway, times.answer).await;
    if gateway.open_connections.get() > 0 {
        // Answers that have arrived while the process was suspended are read first.
        sleep(POLL_INTERVAL).await;
    }
    enter(gateway, StopStage::Answering);
    wait_until_ended(gateway, times.exit.max(Instant::now() + FINAL_ANSWER_TIME)).await;
    if let Some(usage) = &gateway.usage {
        usage.finish().await;
    }
    let cut = gateway.open_requests.get();
    let level = if cut > 0 { Level::Warn } else { Level::Info };
    log::log!(level, "event=stopped cut={cut}");
}

/// Gives final answers to all requests at once; returns when the process is to exit
pub async fn end_requests(gateway: &Gateway) {
    let now = Instant::now();
    let exit = now + FINAL_ANSWER_TIME;
    gateway.stop.begin(StopTimes { close_idle: now, stop_listening: now, answer: now, exit });
    enter(gateway, StopStage::Answering);
    wait_until_ended(gateway, exit).await;
}

fn enter(gateway: &Gateway, stage: StopStage) {
    log::info!(
        "event=stop_stage stage={stage:?} open_requests={} open_connections={}",
        gateway.open_requests.get(),
        gateway.open_connections.get(),
    );
    gateway.stop.enter(stage);
}

/// Waits until no connection is open and none comes
async fn wait_until_quiet(gateway: &Gateway, limit: Instant) {
    let mut quiet_polls = 0;
    while quiet_polls < QUIET_POLLS && Instant::now() < limit {
        sleep(POLL_INTERVAL).await;
        let is_quiet = gateway.open_connections.get() == 0;
        quiet_polls = if is_quiet { quiet_polls + 1 } else { 0 };
    }
}

/// Waits until the listeners and all connections are closed
async fn wait_until_ended(gateway: &Gateway, limit: Instant) {
    let has_ended = || gateway.stop.has_closed_listeners() && gateway.open_connections.get() == 0;
    while !has_ended() && Instant::now() < limit {
        sleep(POLL_INTERVAL).await;
    }
}
