//! Sends this instance's counts to the holder of the duties.

use super::reporting::stage_snapshot;
use super::state::UsageState;
use crate::boot_clock::boot_time;
use crate::duties::DutyHolder;
use crate::duty_messages::DutyMessage;
use crate::state::Gateway;
use bytes::Bytes;
use catalogue::id::Fence;
use decide::serving::usage_report::WindowNumber;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

/// Interval of messages while counts change or are not acknowledged.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of messages that only state the clock.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the last messages of an instance that stops.
const LAST_INTERVAL: Duration = Duration::from_millis(40);
/// Longest wait for the acknowledgement of the last counts; SIGKILL follows 500 ms after the drain.
const MAX_LAST_WAIT: Duration = Duration::from_millis(300);

/// Message sent last
#[derive(Debug, Clone, Copy, Default)]
struct LastMessage {
    fence: Fence,
    open: WindowNumber,
    at: Option<Instant>,
}

/// Sends counts for the life of the process, if the settings have the usage duty
pub async fn send_counts(gateway: &Gateway, socket: &UdpSocket) {
    let Some(usage) = &gateway.usage else { return };
    let mut last = LastMessage::default();
    loop {
        let interval = if usage.is_ending.get() { LAST_INTERVAL } else { SEND_INTERVAL };
        // Both outcomes lead to the next messages.
        let _ = timeout(interval, usage.wake.notified()).await;
        let boot = boot_time();
        usage.update(gateway.load.borrow().listed_instances(), boot);
        let Some(holder) = gateway.duties.holder() else { continue };
        if holder.instance == gateway.settings.instance {
            deliver(gateway, usage, holder.fence, boot);
        } else if usage.is_due(&holder, &last, boot) {
            let address = gateway.instances.borrow().address(&holder.instance);
            let Some(address) = address else { continue };
            for report in usage.reports(holder.fence, boot) {
                last = LastMessage {
                    fence: holder.fence,
                    open: report.open,
                    at: Some(Instant::now()),
                };
                send(socket, &DutyMessage::Usage(report), address).await;
            }
        }
    }
}

/// Applies the own counts, since this instance is the holder
fn deliver(gateway: &Gateway, usage: &UsageState, fence: Fence, boot: Duration) {
    if gateway.duties.fence() != Some(fence) {
        return;
    }
    let instances = gateway.load.borrow().max_instances();
    usage.time.borrow_mut().compute_fleet(instances, boot);
    let times = usage.ledger_times(boot);
    for report in usage.reports(fence, boot) {
        let ack = usage.ledger.borrow_mut().apply(&report, fence, times);
        if let Some(ack) = ack {
            usage.own.borrow_mut().acknowledge(&ack);
        }
    }
}

impl UsageState {
    fn is_due(&self, holder: &DutyHolder, last: &LastMessage, boot: Duration) -> bool {
        let own = self.own.borrow();
        last.fence != holder.fence
            || own.has_unacked(holder.fence)
            || last.open < own.open(self.report_times(boot).unix)
            || last.at.is_none_or(|it| it.elapsed() >= IDLE_INTERVAL)
            || self.is_ending.get() && !own.has_ended()
    }

    /// Has the counts recorded with the release of the lease, if this instance holds it
    pub fn hand_over(&self, gateway: &Gateway) {
        if let Some(fence) = gateway.duties.fence() {
            let boot = boot_time();
            self.update(gateway.load.borrow().listed_instances(), boot);
            deliver(gateway, self, fence, boot);
            stage_snapshot(gateway, self, fence, &Bytes::new());
        }
    }

    /// Sends the last counts and waits until the holder has acknowledged them, for a short time
    pub async fn finish(&self) {
        self.is_ending.set(true);
        self.wake.notify_one();
        let until = Instant::now() + MAX_LAST_WAIT;
        while !self.own.borrow().has_ended() && Instant::now() < until {
            sleep(LAST_INTERVAL / 4).await;
        }
        let has_ended = self.own.borrow().has_ended();
        log::info!("event=usage_ended acknowledged={has_ended}");
    }
}

/// Applies a message on usage
pub async fn receive(
    gateway: &Gateway,
    socket: &UdpSocket,
    message: DutyMessage,
    sender: SocketAddr,
) {
    let Some(usage) = &gateway.usage else { return };
    match message {
        DutyMessage::Usage(report) => {
            let Some(fence) = gateway.duties.fence().filter(|it| *it == report.fence) else {
                return;
            };
            match usage.apply_report(&report, fence) {
                Some(ack) => send(socket, &DutyMessage::UsageAck(ack), sender).await,
                None => log::warn!("event=usage_refused instance={}", report.instance),
            }
        }
        DutyMessage::UsageAck(ack) => usage.apply_ack(&ack),
        DutyMessage::Announcement { .. } | DutyMessage::HandOver { .. } => {}
    }
}

async fn send(socket: &UdpSocket, message: &DutyMessage, address: SocketAddr) {
    match message.encode() {
        Ok(bytes) => {
            if let Err(error) = socket.send_to(&bytes, address).await {
                log::debug!("event=peer_message_failed to={address} error={error}");
            }
        }
        Err(error) => log::warn!("event=peer_message_failed error={error}"),
    }
}
