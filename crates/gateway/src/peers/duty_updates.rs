//! Datagrams that make the holder of the duties known, and ask others to follow it.

use super::PeerExchange;
use crate::duties::DutyHolder;
use crate::duty_messages::DutyMessage;
use crate::usage;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval of announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which is checked whether successors are wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of instances that are asked to follow the lease.
const MAX_SUCCESSORS: usize = 11;
/// Datagrams to each of them, since any may be lost.
const REQUEST_REPEATS: u32 = 2;
/// Pause before they are asked again.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Announces the own term, and asks for successors when it ends
pub async fn send_duties(exchange: Rc<PeerExchange>) {
    let mut announced_at: Option<Instant> = None;
    let mut requested_at: Option<Instant> = None;
    let is_due = |at: Option<Instant>, interval| at.is_none_or(|it| it.elapsed() >= interval);
    loop {
        sleep(CHECK_INTERVAL).await;
        let duties = &exchange.gateway.duties;
        if duties.candidacy.take_successors_wanted() && is_due(requested_at, REQUEST_INTERVAL) {
            requested_at = Some(Instant::now());
            ask_successors(&exchange).await;
        }
        let Some(fence) = duties.fence() else { continue };
        if is_due(announced_at, ANNOUNCEMENT_INTERVAL) {
            announced_at = Some(Instant::now());
            let instance = exchange.gateway.settings.instance.clone();
            announce(&exchange, DutyHolder { instance, fence }).await;
        }
    }
}

/// Applies a message; a malformed one is ignored
pub async fn receive(exchange: &Rc<PeerExchange>, bytes: &[u8], sender: SocketAddr) {
    let Some(message) = DutyMessage::decode(bytes) else {
        log::debug!("event=duty_message_unreadable from={sender}");
        return;
    };
    let gateway = &exchange.gateway;
    let now = Instant::now();
    match message {
        DutyMessage::Announcement { holder, is_forwarded } => {
            if gateway.duties.record_holder(&holder, now) {
                gateway.duties.candidacy.record_holder(holder.fence, now);
                if !is_forwarded {
                    forward(exchange, holder, now).await;
                }
            }
        }
        DutyMessage::HandOver { fence, order } => {
            log::info!("event=duty_requested fence={fence} order={order} sender={sender}");
            gateway.duties.candidacy.record_request(fence, order, now);
        }
        DutyMessage::Usage(_) | DutyMessage::UsageAck(_) => {
            usage::sending::receive(gateway, &exchange.socket, message, sender).await;
        }
    }
}

/// Sends the own term to all of a full mesh, otherwise to the own zone or its leader, and to the other zones' leaders
async fn announce(exchange: &PeerExchange, holder: DutyHolder) {
    let now = Instant::now();
    let own_leader = exchange.zone_leader(now).map(|it| it.1);
    let mut recipients = {
        let table = exchange.table.borrow();
        if table.is_full_mesh(now) {
            table.present(now).map(|it| it.1.address).collect::<Vec<_>>()
        } else {
            let zones = table.zones().into_iter();
            let zones = zones.filter(|it| *it != exchange.gateway.settings.zone);
            zones.filter_map(|it| table.leader(&it, None, now).map(|it| it.1.address)).collect()
        }
    };
    let is_full_mesh = exchange.table.borrow().is_full_mesh(now);
    if !is_full_mesh {
        match own_leader {
            Some(address) => recipients.push(address),
            None => recipients.extend(zone_addresses(exchange, now)),
        }
    }
    let message = DutyMessage::Announcement { holder, is_forwarded: is_full_mesh };
    send_all(exchange, &message, recipients).await;
}

/// Forwards an announcement to the own zone, if this instance leads it
async fn forward(exchange: &PeerExchange, holder: DutyHolder, now: Instant) {
    let is_full_mesh = exchange.table.borrow().is_full_mesh(now);
    if is_full_mesh || exchange.zone_leader(now).is_some() {
        return;
    }
    let message = DutyMessage::Announcement { holder, is_forwarded: true };
    send_all(exchange, &message, zone_addresses(exchange, now)).await;
}

/// Asks the instances of the highest ranks to follow the lease
async fn ask_successors(exchange: &PeerExchange) {
    let Some(fence) = exchange.gateway.duties.holder().map(|it| it.fence) else { return };
    let successors = {
        let table = exchange.table.borrow();
        let ranked = table.ranked(Instant::now());
        ranked.iter().take(MAX_SUCCESSORS).map(|it| it.1.address).collect::<Vec<_>>()
    };
    log::info!("event=duty_handover fence={fence} asked={}", successors.len());
    for _ in 0..REQUEST_REPEATS {
        for (order, address) in (0..).zip(&successors) {
            send_all(exchange, &DutyMessage::HandOver { fence, order }, vec![*address]).await;
        }
    }
}

fn zone_addresses(exchange: &PeerExchange, now: Instant) -> Vec<SocketAddr> {
    let zone = &exchange.gateway.settings.zone;
    let table = exchange.table.borrow();
    table.present(now).filter(|it| it.1.zone == *zone).map(|it| it.1.address).collect()
}

async fn send_all(exchange: &PeerExchange, message: &DutyMessage, recipients: Vec<SocketAddr>) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!("event=peer_message_failed error={error}");
            return;
        }
    };
    for address in recipients {
        if let Err(error) = exchange.socket.send_to(&bytes, address).await {
            log::debug!("event=peer_message_failed to={address} error={error}");
        }
    }
}
