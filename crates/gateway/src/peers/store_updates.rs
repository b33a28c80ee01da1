//! Updates of the store, sent to the others by the instance that reads it.

use super::PeerExchange;
use crate::boot_clock::boot_time;
use crate::coverage::{COVERAGE_FRACTION, LEADER_READ_AGE_FRACTION};
use crate::follow::{apply_config, apply_endpoint_update, record_peer_read};
use crate::messages::{EndpointUpdate, MessageBody, StoreUpdate};
use crate::packed_config::{ConfigAnnouncement, PackedConfig};
use crate::state::Gateway;
use bytes::Bytes;
use decide::serving::leader::PeerInstance;
use decide::serving::route::ConfigVersion;
use platform_adapter::config::{with_customer_change, without_keys};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Size limit of a configuration in an update, in bytes; below the size limit of messages.
const MAX_CONFIG_BYTES: usize = 24 * 1024;
/// Interval of updates while nothing changes, as a fraction of the time that one update covers.
const INTERVAL_FRACTION: f64 = 0.3;

/// Sends updates while this instance reads for others and its last reads are recent
pub async fn send_updates(exchange: Rc<PeerExchange>) {
    let gateway = exchange.gateway.clone();
    let interval = coverage_time(&gateway).mul_f64(INTERVAL_FRACTION);
    loop {
        // A timeout means that nothing has changed; the update then only extends the coverage.
        let _ = timeout(interval, gateway.update_ready.notified()).await;
        let now = Instant::now();
        let endpoints = gateway.endpoint_update.take();
        let read_config = gateway.config_update.take();
        if !exchange.reads_for_others(now) || !has_recent_reads(&gateway, now) {
            continue;
        }
        let Some(to) = gateway.endpoints_position() else { continue };
        let Some(config_end) = gateway.config_position() else { continue };
        let Some(config_version) = gateway.config.borrow().as_ref().map(|it| it.version) else {
            continue;
        };
        let endpoints = endpoints.unwrap_or(EndpointUpdate { from: to, to, records: Vec::new() });
        let recipients = recipients(&exchange, now);
        // Another instance may have brought a newer one since the read.
        let read_config = read_config.and_then(|it| it.value_in_force(config_version));
        let config = read_config.and_then(|it| message_config(&gateway, config_version, it));
        let packed = gateway.packed_config.borrow().clone();
        let offers_config = packed.is_some_and(|it| {
            it.version == config_version && it.can_be_sent_to(recipients.len(), &gateway.settings)
        });
        let grace_left = gateway.endpoints.borrow().grace_left(now);
        let update = StoreUpdate {
            config_version,
            config_end,
            config,
            offers_config,
            endpoints,
            grace_left_ms: u16::try_from(grace_left.as_millis()).unwrap_or(u16::MAX),
        };
        for address in recipients {
            exchange.send(MessageBody::Store(update.clone()), address).await;
        }
    }
}

/// Configuration as the content of a message; a larger one is packed for transfers instead
///
/// Neither contains keys of customers.
fn message_config(gateway: &Gateway, version: ConfigVersion, value: Bytes) -> Option<Vec<u8>> {
    let value = shared_config(gateway, value)?;
    if value.len() <= MAX_CONFIG_BYTES {
        return Some(value.to_vec());
    }
    *gateway.packed_config.borrow_mut() = PackedConfig::pack(version, &value);
    None
}

/// Configuration without keys, with its customers as a change of the version before if there are any in both
///
/// Whoever has another version reads the store. Digests of thousands of keys would neither fit into
/// a message nor, for as many instances, into a link.
fn shared_config(gateway: &Gateway, value: Bytes) -> Option<Bytes> {
    let Some(customers) = gateway.config.borrow().as_ref().and_then(|it| it.customers.clone())
    else {
        return Some(value);
    };
    let shared = match &*gateway.previous_customers.borrow() {
        Some((base, before)) => with_customer_change(&value, *base, &customers.change_from(before)),
        None => without_keys(&value),
    };
    shared.ok().map(Bytes::from)
}

/// Applies an update from the instance that reads the store; one of an earlier era is ignored
pub fn apply(gateway: &Gateway, update: StoreUpdate, sender: SocketAddr, now: Instant) {
    let era = update.config_end.era;
    // A sender that knows no era yet has 0.
    gateway.observe_era(Some(era).filter(|it| *it > 0));
    if !gateway.store_era.borrow().is_current(&update.config_end) {
        log::debug!("event=update_outdated sender={sender} era={era}");
        return;
    }
    record_peer_read(gateway, Duration::from_millis(update.grace_left_ms.into()), now);
    if let Some(config) = &update.config {
        apply_config(gateway, config, "peer");
    }
    let version = gateway.config.borrow().as_ref().map(|it| it.version);
    gateway.config_coverage.extend(coverage_time(gateway), now);
    if version < Some(update.config_version) {
        gateway.announced_config.set(Some(ConfigAnnouncement {
            version: update.config_version,
            end: update.config_end,
            source: update.offers_config.then_some(sender),
        }));
        gateway.config_coverage.record_missed();
    }
    confirm_config(gateway, version, update.config_version);
    gateway.endpoints_coverage.extend(coverage_time(gateway), now);
    let endpoints = update.endpoints;
    match gateway.endpoints_position() {
        Some(position) if endpoints.to <= position => {
            gateway.endpoints_known_at.set(Some(boot_time()));
        }
        Some(position) if endpoints.from <= position => {
            apply_endpoint_update(gateway, endpoints);
            gateway.endpoints_known_at.set(Some(boot_time()));
        }
        _ => gateway.endpoints_coverage.record_missed(),
    }
    if gateway.config_position().is_none() {
        gateway.config_coverage.record_missed();
    }
}

fn coverage_time(gateway: &Gateway) -> Duration {
    let settings = &gateway.settings;
    settings.config_bound.min(settings.drain_bound).mul_f64(COVERAGE_FRACTION)
}

/// Records what an update with the sender's version says of the age of the own one
fn confirm_config(gateway: &Gateway, version: Option<ConfigVersion>, reported: ConfigVersion) {
    let mut confirmation = gateway.config_confirmation.borrow_mut();
    let read_age = gateway.settings.config_bound.mul_f64(LEADER_READ_AGE_FRACTION);
    match version.cmp(&Some(reported)) {
        Ordering::Less => confirmation.record_newer(reported, boot_time()),
        Ordering::Equal => confirmation.record_reported(reported, read_age, boot_time()),
        // The sender lags behind.
        Ordering::Greater => {}
    }
}

fn has_recent_reads(gateway: &Gateway, now: Instant) -> bool {
    let settings = &gateway.settings;
    let reads = [
        (gateway.config_read_at.get(), settings.config_bound),
        (gateway.endpoints_read_at.get(), settings.drain_bound),
    ];
    reads.into_iter().all(|(read_at, bound)| {
        let age = read_at.map(|it| now.saturating_duration_since(it));
        age.is_some_and(|it| it < bound.mul_f64(LEADER_READ_AGE_FRACTION))
    })
}

fn recipients(exchange: &PeerExchange, now: Instant) -> Vec<SocketAddr> {
    let zone = &exchange.gateway.settings.zone;
    let table = exchange.table.borrow();
    let is_full_mesh = table.is_full_mesh(now);
    let is_recipient = |it: &PeerInstance| is_full_mesh || it.zone == *zone;
    table.present(now).filter(|it| is_recipient(it.1)).map(|it| it.1.address).collect()
}
