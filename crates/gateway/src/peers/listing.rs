//! Lists instances and their addresses in the platform's store.

use super::SharedTable;
use crate::state::Gateway;
use decide::serving::leader::PeerInstance;
use decide::serving::store_era::EraChange;
use platform_adapter::store::{INSTANCE_TOPIC, KeyedRecord};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between reads of the instance list. Instances that come later become known by their messages
/// to those that need them: all of a full mesh, otherwise the leader of their zone.
const LIST_INTERVAL: Duration = Duration::from_secs(120);
/// Pause from appending the own entry at the first start to reading the list. By then, the others, which
/// start within 300 ms, have appended theirs.
const START_PAUSE: Duration = Duration::from_millis(500);
/// Pause after appending the own entry, before the list is read, and after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps this instance listed and reads the addresses of the others
pub async fn keep_listed(gateway: Rc<Gateway>, table: SharedTable) {
    let settings = &gateway.settings;
    let own = PeerInstance {
        address: SocketAddr::new(settings.ip, settings.peer_port),
        zone: settings.zone.clone(),
        power: settings.power,
    };
    let entry = format_entry(&own);
    let mut eras = gateway.era_changes.subscribe();
    if settings.is_first_start {
        append_entry(&gateway, &entry).await;
        sleep(START_PAUSE).await;
    }
    loop {
        eras.mark_unchanged();
        let reply = gateway.store.newest(INSTANCE_TOPIC).await;
        let is_outdated = gateway.observe_era(reply.era) == EraChange::Outdated;
        match reply.result {
            Ok(batch) if !is_outdated => {
                if apply_entries(&gateway, &table, &own, &batch.records) {
                    // A store that came back from a copy may have lost the entry.
                    let _ = timeout(LIST_INTERVAL, eras.changed()).await;
                    continue;
                }
                append_entry(&gateway, &entry).await;
            }
            Ok(_) => log::debug!("event=instances_unread error=outdated"),
            Err(error) => log::debug!("event=instances_unread error={error}"),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Appends the own entry; if that fails, the next read of the list shows it
async fn append_entry(gateway: &Gateway, entry: &str) {
    let instance = &gateway.settings.instance;
    let reply = gateway.store.append(INSTANCE_TOPIC, instance, entry.as_bytes()).await;
    gateway.observe_era(reply.era);
    match reply.result {
        Ok(()) => log::info!("event=listed entry=\"{entry}\""),
        Err(error) => log::warn!("event=not_listed error={error}"),
    }
}

/// Adds the listed instances to the table; `true` if the own entry is listed as it should be
fn apply_entries(
    gateway: &Gateway,
    table: &SharedTable,
    own: &PeerInstance,
    records: &[KeyedRecord],
) -> bool {
    let mut is_listed = false;
    for record in records {
        let Some(instance) = record.value.as_deref().and_then(parse_entry) else {
            continue;
        };
        if record.key == gateway.settings.instance {
            is_listed = instance == *own;
        } else {
            table.borrow_mut().insert(record.key.clone(), instance);
        }
    }
    gateway.load.borrow_mut().record_listed(table.borrow().len() + 1);
    is_listed
}

/// Formats the entry of an instance: address, zone and power, separated by spaces
pub fn format_entry(instance: &PeerInstance) -> String {
    format!("{} {} {}", instance.address, instance.zone, instance.power)
}

/// Parses an entry; `None` if it is malformed
pub fn parse_entry(value: &[u8]) -> Option<PeerInstance> {
    let mut fields = std::str::from_utf8(value).ok()?.split(' ');
    let address = fields.next()?.parse().ok()?;
    let zone = fields.next()?.into();
    let power = fields.next()?.parse().ok()?;
    Some(PeerInstance { address, zone, power })
}
