//! Lists instances and their addresses in the platform's store.
//!
//! An instance removes its entry at a planned stop. Otherwise the leader of its zone removes it after a
//! time without an answer. One that was removed though it lives lists itself again: when it next reads the list, or
//! at once if it had heard from nobody.

use super::{SharedTable, presence};
use crate::state::Gateway;
use crate::stop::StopStage;
use decide::serving::endpoint_list::ListOffset;
use decide::serving::leader::PeerInstance;
use decide::serving::store_era::EraChange;
use indexmap::IndexMap;
use platform_adapter::store::{INSTANCE_TOPIC, KeyedRecord};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval between reads of the instance list. Instances that come later become known by their messages
/// to those that need them: all of a full mesh, otherwise the leader of their zone.
const LIST_INTERVAL: Duration = Duration::from_secs(120);
/// Pause from appending the own entry at the first start to reading the list. By then, the others, which
/// start within 300 ms, have appended theirs.
const START_PAUSE: Duration = Duration::from_millis(500);
/// Pause after appending the own entry, before the list is read, and after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps this instance listed, reads the addresses of the others, and removes the entries of those that are gone
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
    while !gateway.stop.has_reached(StopStage::Unready) {
        eras.mark_unchanged();
        let reply = gateway.store.newest(INSTANCE_TOPIC).await;
        let is_outdated = gateway.observe_era(reply.era) == EraChange::Outdated;
        match reply.result {
            Ok(batch) if !is_outdated => {
                if apply_entries(&gateway, &table, &own, &batch.records) {
                    remove_gone(&gateway, batch.end).await;
                    tokio::select! {
                        () = sleep(LIST_INTERVAL) => {}
                        // A store that came back from a copy may have lost the entry.
                        _ = eras.changed() => {}
                        () = gateway.list_read_due.notified() => {}
                    }
                    continue;
                }
                if !gateway.stop.has_reached(StopStage::Unready) {
                    append_entry(&gateway, &entry).await;
                }
            }
            Ok(_) => log::debug!("event=instances_unread error=outdated"),
            Err(error) => log::debug!("event=instances_unread error={error}"),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Removes the own entry at the start of a planned stop, so that the exit isn't delayed; if that fails, the
/// others remove it
pub async fn unlist(gateway: &Gateway) {
    gateway.stop.reached(StopStage::Unready).await;
    let reply = gateway.store.remove(INSTANCE_TOPIC, &gateway.settings.instance).await;
    match reply.result {
        Ok(()) => log::info!("event=unlisted instance={}", gateway.settings.instance),
        Err(error) => log::warn!("event=not_unlisted error={error}"),
    }
}

/// Removes the entries of instances that are gone, unless the list has changed since it was read up to `end`
async fn remove_gone(gateway: &Gateway, end: ListOffset) {
    let gone = presence::gone(gateway, Instant::now());
    if gone.is_empty() {
        return;
    }
    let reply = gateway.store.remove_at(INSTANCE_TOPIC, end, gone.iter().cloned()).await;
    gateway.observe_era(reply.era);
    match reply.result {
        Ok(()) => {
            for instance in gone {
                log::info!("event=unlisted instance={instance}");
                gateway.instances.borrow_mut().record_unlisted(&instance);
            }
        }
        Err(error) => log::info!("event=not_unlisted error={error}"),
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

/// Replaces the list in the table; `true` if the own entry is listed as it should be
fn apply_entries(
    gateway: &Gateway,
    table: &SharedTable,
    own: &PeerInstance,
    records: &[KeyedRecord],
) -> bool {
    let entries = records.iter().filter_map(|it| {
        let instance = it.value.as_deref().and_then(parse_entry)?;
        Some((it.key.clone(), instance))
    });
    let mut listed = entries.collect::<IndexMap<_, _>>();
    let is_listed = listed.swap_remove(&gateway.settings.instance).as_ref() == Some(own);
    let now = Instant::now();
    let mut table = table.borrow_mut();
    table.apply_list(listed, now);
    gateway.load.borrow_mut().record_listed(table.len() + 1, now);
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
