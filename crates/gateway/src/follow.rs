//! Background tasks that follow the configuration and the endpoints in the store.
//!
//! They use long polling, so that changes take effect at once. The poll timeout is
//! short enough to detect an unresponsive connection in time. An instance that
//! receives updates from another instance doesn't read the store itself, and after a full
//! read it waits for such updates first. While the store is unavailable, both tasks keep
//! the last known state. An outage ends with the first read after it, by this instance or by
//! the one that reads for it: what starts with its end doesn't wait for the next own read.

use crate::boot_clock::boot_time;
use crate::coverage::{LEADER_WAIT_FRACTION, START_FRACTION};
use crate::messages::EndpointUpdate;
use crate::packed_config::StoredConfig;
use crate::peers::config_transfer;
use crate::state::Gateway;
use crate::store_backoff::{FIRST_RETRY_PAUSE, ReadFailure};
use bytes::Bytes;
use catalogue::id::PoolName;
use decide::serving::route::ServingConfig;
use decide::serving::store_era::{EraChange, TopicPosition};
use platform_adapter::config::{CONFIG_KEY, ConfigFault, decode_config_on};
use platform_adapter::endpoint_list::decode_entry;
use platform_adapter::store::{
    ENDPOINT_TOPIC, KeyedRecord, OPERATOR_TOPIC, RecordBatch, StoreError,
};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause after a read that an update from another instance caused, as a fraction of the time in which a
/// change must be in force. Changes in quick succession are read together.
const UPDATE_PAUSE_FRACTION: f64 = 0.08;
/// Size limit of the records in one update, in bytes; others read larger changes themselves.
const MAX_UPDATE_BYTES: usize = 4096;
/// Size from which a read is logged, in bytes.
const MIN_LOGGED_BYTES: usize = 64 * 1024;

/// Follows the configuration for the life of the process
pub async fn follow_config(gateway: Rc<Gateway>) {
    let bound = gateway.settings.config_bound;
    let mut is_started = false;
    // Until a readable one follows, reads without a change don't make the one in force current either.
    let mut is_unreadable = false;
    loop {
        let has_missed = gateway.config_coverage.wait_until_due().await;
        let is_known = gateway.config_position().is_some();
        if has_missed && is_known && fetch_announced_config(&gateway).await {
            continue;
        }
        let position = gateway.config_position();
        let wait = poll_time(bound, has_missed || is_started);
        is_started = false;
        let is_first = position.is_none();
        let asked_at = boot_time();
        match read_from(&gateway, OPERATOR_TOPIC, position, wait).await {
            Ok((batch, to)) => {
                gateway.config_backoff.borrow_mut().succeeded();
                gateway.config_read_at.set(Some(Instant::now()));
                gateway.record_config_read(to);
                for record in batch.records.iter().filter(|it| it.key == CONFIG_KEY) {
                    let Some(value) = &record.value else { continue };
                    let change = apply_config(&gateway, value, "store");
                    is_unreadable = change == ConfigChange::Unreadable;
                    if change == ConfigChange::Applied {
                        queue_config(&gateway, value);
                    }
                }
                // The store may have answered long before the answer was read, but not before it was asked.
                if !is_unreadable {
                    gateway.confirm_config_read(asked_at);
                }
                if is_first {
                    is_started = true;
                    gateway.config_coverage.extend(bound.mul_f64(START_FRACTION), Instant::now());
                }
                if has_missed {
                    sleep(bound.mul_f64(UPDATE_PAUSE_FRACTION)).await;
                }
            }
            Err(ReadFailure { error: StoreError::Expired { first }, .. }) => {
                log::info!("event=store_history_gone topic={OPERATOR_TOPIC} first={first}");
                gateway.void_config_position();
                sleep(FIRST_RETRY_PAUSE).await;
            }
            Err(ReadFailure { error: StoreError::OtherEra, .. }) => sleep(FIRST_RETRY_PAUSE).await,
            Err(failure) => {
                let pause = gateway.config_backoff.borrow_mut().failed(&failure);
                sleep(pause).await;
            }
        }
    }
}

/// Follows the endpoint list for the life of the process
pub async fn follow_endpoints(gateway: Rc<Gateway>) {
    let bound = gateway.settings.drain_bound;
    let mut is_started = false;
    loop {
        let has_missed = gateway.endpoints_coverage.wait_until_due().await;
        let wait = poll_time(bound, has_missed || is_started);
        is_started = false;
        let position = gateway.endpoints_position();
        match read_from(&gateway, ENDPOINT_TOPIC, position, wait).await {
            Ok((batch, to)) => {
                let was_unavailable = gateway.endpoints_backoff.borrow_mut().succeeded();
                gateway.endpoints_read_at.set(Some(Instant::now()));
                gateway.endpoints_known_at.set(Some(boot_time()));
                apply_endpoints(&gateway, &batch, position.is_none(), was_unavailable);
                gateway.record_endpoints_read(to);
                queue_update(&gateway, &batch, position, to);
                if position.is_none() {
                    is_started = true;
                    gateway
                        .endpoints_coverage
                        .extend(bound.mul_f64(START_FRACTION), Instant::now());
                }
            }
            Err(ReadFailure { error: StoreError::Expired { first }, .. }) => {
                log::info!("event=store_history_gone topic={ENDPOINT_TOPIC} first={first}");
                gateway.void_endpoints_position();
                sleep(FIRST_RETRY_PAUSE).await;
            }
            Err(ReadFailure { error: StoreError::OtherEra, .. }) => sleep(FIRST_RETRY_PAUSE).await,
            Err(failure) => {
                let pause = gateway.endpoints_backoff.borrow_mut().failed(&failure);
                sleep(pause).await;
            }
        }
    }
}

/// Records that the instance that reads for this one has read the store lately
///
/// An outage that this one has met ends now, and the grace period of the reader's list is its own as well.
pub fn record_peer_read(gateway: &Gateway, grace_left: Duration, now: Instant) {
    gateway.config_backoff.borrow_mut().peer_succeeded();
    let was_unavailable = gateway.endpoints_backoff.borrow_mut().peer_succeeded();
    let mut list = gateway.endpoints.borrow_mut();
    if was_unavailable {
        list.start_grace_period(now);
    }
    list.join_grace_period(grace_left, now);
}

/// Applies endpoint records that another instance has read
pub fn apply_endpoint_update(gateway: &Gateway, update: EndpointUpdate) {
    let records = update.records.into_iter().map(|(key, value, offset)| {
        let value = value.map(Bytes::from);
        KeyedRecord { key, value, offset }
    });
    let end = update.to.offset;
    let batch = RecordBatch { records: records.collect(), end, next: end };
    log::debug!("event=endpoints_told from={} to={}", update.from.offset, update.to.offset);
    gateway.record_endpoints_read(update.to);
    apply_endpoints(gateway, &batch, false, false);
}

/// Queues records to be sent to other instances
fn queue_update(
    gateway: &Gateway,
    batch: &RecordBatch,
    position: Option<TopicPosition>,
    to: TopicPosition,
) {
    let size: usize =
        batch.records.iter().map(|it| it.key.len() + it.value.as_ref().map_or(0, Bytes::len)).sum();
    let Some(from) = position.filter(|from| *from < to && size <= MAX_UPDATE_BYTES) else {
        return;
    };
    let records = batch.records.iter().map(|it| {
        let value = it.value.as_ref().map(|it| it.to_vec());
        (it.key.clone(), value, it.offset)
    });
    *gateway.endpoint_update.borrow_mut() =
        Some(EndpointUpdate { from, to, records: records.collect() });
    gateway.update_ready.notify_one();
}

/// Queues the configuration in force, as it was read, to be sent to other instances
fn queue_config(gateway: &Gateway, value: &Bytes) {
    let version = gateway.config.borrow().as_ref().map(|it| it.version);
    let queued = version.map(|version| StoredConfig { version, value: value.clone() });
    *gateway.config_update.borrow_mut() = queued;
    gateway.update_ready.notify_one();
}

/// Longest wait of a read for a change; none if changes may have been missed or updates to others are due
fn poll_time(bound: Duration, is_due: bool) -> Duration {
    if is_due { Duration::ZERO } else { bound.mul_f64(LEADER_WAIT_FRACTION) }
}

/// Reads a topic from a position on, or in full; also returns the position of the next read
pub async fn read_from(
    gateway: &Gateway,
    topic: &'static str,
    position: Option<TopicPosition>,
    wait: Duration,
) -> Result<(RecordBatch, TopicPosition), ReadFailure> {
    let (call, reply) = match position {
        Some(from) => ("read", gateway.store.read(topic, from.offset, wait).await),
        None => ("newest", gateway.store.newest(topic).await),
    };
    let progress = reply.progress;
    let outcome = if reply.result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.store_call(call, outcome, progress.bytes);
    let change = gateway.observe_era(reply.era);
    let era = gateway.store_era.borrow().era();
    // The store may have returned from a copy during the read, whose offset is then void.
    if change == EraChange::Outdated || position.is_some_and(|it| it.era != era) {
        log::info!("event=store_answer_dropped topic={topic} call={call} era={:?}", reply.era);
        return Err(ReadFailure { error: StoreError::OtherEra, progress });
    }
    let batch = reply.result.map_err(|error| ReadFailure { error, progress })?;
    if progress.bytes >= MIN_LOGGED_BYTES {
        let records = batch.records.len();
        log::info!("event=store_read topic={topic} call={call} records={records} {progress}");
    }
    let to = TopicPosition { era, offset: batch.next };
    Ok((batch, to))
}

/// Fetches the configuration announced last if another instance offers it; `true` if it is in force now
async fn fetch_announced_config(gateway: &Gateway) -> bool {
    let Some(announced) = gateway.announced_config.take() else { return false };
    let is_in_force = || {
        let config = gateway.config.borrow();
        config.as_ref().is_some_and(|it| it.version >= announced.version)
    };
    if is_in_force() {
        return true;
    }
    let Some(source) = announced.source else { return false };
    match config_transfer::fetch(source).await {
        Ok(value) => {
            apply_config(gateway, &value, "peer");
        }
        Err(error) => {
            log::info!("event=config_not_transferred source={source} error=\"{error}\"");
        }
    }
    if is_in_force() {
        gateway.record_config_read(announced.end);
    }
    is_in_force()
}

/// Result of applying a configuration
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigChange {
    Applied,
    /// Not newer than the one in force
    Ignored,
    Unreadable,
}

/// Applies a configuration if it is newer than the one in force
pub fn apply_config(gateway: &Gateway, value: &[u8], source: &str) -> ConfigChange {
    let before = gateway.config.borrow().clone();
    let customers = |it: &Rc<ServingConfig>| Some((it.version, it.customers.clone()?));
    let base = before.as_ref().and_then(customers);
    let config = match decode_config_on(value, base.as_ref().map(|it| (it.0, &*it.1))) {
        Ok(config) => config,
        Err(ConfigFault::OtherBase) => {
            log::info!(
                "event=config_base_unknown source={source} in_force={:?}",
                before.map(|it| it.version)
            );
            return ConfigChange::Unreadable;
        }
        Err(error) => {
            log::error!("event=config_unreadable source={source} error={error}");
            return ConfigChange::Unreadable;
        }
    };
    let mut current = gateway.config.borrow_mut();
    let before = current.as_ref().map(|it| it.version);
    if !config.replaces(current.as_deref()) {
        log::debug!("event=config_ignored version={} in_force={before:?}", config.version);
        return ConfigChange::Ignored;
    }
    log::info!(
        "event=config_applied version={} before={before:?} source={source} routes={}",
        config.version,
        config.routes.len()
    );
    let has_shares =
        |pool: &PoolName| config.customers.is_some() && config.pools.contains_key(pool);
    gateway.customer_shares.borrow_mut().retain(|pool, _| has_shares(pool));
    gateway.metrics.config_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
    *current = Some(Rc::new(config));
    *gateway.previous_customers.borrow_mut() = base;
    ConfigChange::Applied
}

fn apply_endpoints(
    gateway: &Gateway,
    batch: &RecordBatch,
    is_full_read: bool,
    was_unavailable: bool,
) {
    let now = Instant::now();
    // Those that leave with this change were listed until now.
    if gateway.endpoints_read_at.get().is_some() {
        gateway.record_listed_versions();
    }
    let mut list = gateway.endpoints.borrow_mut();
    if was_unavailable {
        log::info!("event=endpoints_regained offset={}", batch.end);
    }
    if was_unavailable || (is_full_read && list.has_earlier_entries()) {
        list.start_grace_period(now);
    }
    let before = list.ready(now).map(|it| it.id.clone()).collect::<Vec<_>>();
    for record in &batch.records {
        let change = decode_entry(&record.key, record.value.as_deref());
        if is_full_read {
            list.apply_snapshot(record.key.clone(), change, record.offset, now);
        } else {
            list.apply(record.key.clone(), change, record.offset, now);
        }
    }
    if is_full_read {
        let listed = batch.records.iter().map(|it| &it.key).collect::<indexmap::IndexSet<_>>();
        list.retain_listed(batch.end, |it| listed.contains(it), now);
    }
    let after = list.ready(now).map(|it| it.id.clone()).collect::<Vec<_>>();
    if before != after {
        let gone = before.iter().filter(|it| !after.contains(it)).collect::<Vec<_>>();
        let new = after.iter().filter(|it| !before.contains(it)).collect::<Vec<_>>();
        log::info!("event=endpoints_changed offset={} new={new:?} gone={gone:?}", batch.end);
    }
    gateway.metrics.endpoints_ready.set(i64::try_from(after.len()).unwrap_or(i64::MAX));
    gateway.health.borrow_mut().retain(|id| after.contains(id));
    gateway.ended_incarnations.borrow_mut().retain(|id, _| after.contains(id));
    gateway.limits.borrow_mut().retain(|id| after.contains(id));
    gateway.caches.borrow_mut().retain(|id| after.contains(id));
    gateway.timings.borrow_mut().values_mut().for_each(|it| it.retain(|id| after.contains(id)));
    drop(list);
    gateway.record_listed_versions();
    gateway.record_listed_ends(now);
}
