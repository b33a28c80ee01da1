//! Asks silent instances whether they answer, and forgets those that are gone.
//!
//! In a full mesh every instance hears all others and asks only those that are absent. In a
//! larger group it hears few, and asks each of the others in turn.

use super::PeerExchange;
use crate::messages::MessageBody;
use crate::state::Gateway;
use catalogue::id::{InstanceId, PoolName};
use decide::serving::leader::OwnPlace;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval at which is checked whom to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before the list is read once more for entries of instances that are gone.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(60);

/// Asks for the life of the process
pub async fn ask_silent(exchange: Rc<PeerExchange>) {
    let gateway = &exchange.gateway;
    let mut removed_at: Option<Instant> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let asked = exchange.table.borrow_mut().take_asked(now);
        for address in asked {
            // All versions answer a question for the origin of a stream, also of one that nobody knows.
            let body = MessageBody::OriginQuery { stream: 0, pool: PoolName::default() };
            exchange.send(body, address).await;
        }
        let over = exchange.table.borrow_mut().remove_unlisted(now);
        forget(gateway, &over);
        if gateway.load.borrow().is_list_read() {
            let instances = exchange.table.borrow().len() + 1;
            gateway.load.borrow_mut().record_listed(instances, now);
        }
        let is_due = removed_at.is_none_or(|it| now >= it + REMOVAL_INTERVAL);
        if is_due && !gone(gateway, now).is_empty() {
            removed_at = Some(now);
            gateway.list_read_due.notify_one();
        }
    }
}

/// Instances whose entries this one removes now
pub fn gone(gateway: &Gateway, now: Instant) -> Vec<InstanceId> {
    let settings = &gateway.settings;
    let (id, zone, power) = (&settings.instance, &settings.zone, settings.power);
    gateway.instances.borrow().gone(OwnPlace { id, zone, power }, now)
}

fn forget(gateway: &Gateway, instances: &[InstanceId]) {
    for instance in instances {
        log::info!("event=peer_forgotten instance={instance}");
        gateway.reported_links.borrow_mut().swap_remove(instance);
    }
}
