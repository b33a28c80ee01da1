//! Carries out what the lease decides: reads and appends, one at a time.

pub mod record;

use crate::duties::DutyHolder;
use crate::duties::clock::lease_time;
use crate::follow::read_from;
use crate::state::Gateway;
use crate::store_backoff::{ReadFailure, StoreBackoff};
use bytes::Bytes;
use decide::serving::duty_lease::{DutyLease, LeaseAct, LeaseAppend, LeaseStep, LeaseTiming};
use decide::serving::endpoint_list::ListOffset;
use decide::serving::store_era::{EraChange, TopicPosition};
use platform_adapter::store::{DUTY_TOPIC, RecordBatch, StoreError};
use record::{LEASE_KEY, decode_lease, encode_lease, lease_records};
use smol_str::SmolStr;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Interval at which an instance that is no candidate checks whether it has become one.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a read for a change.
const MAX_POLL: Duration = Duration::from_secs(2);
/// Pause after a declined or unanswered append, before the topic is read.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);
/// Doublings of that pause while the store declines appends again and again.
const MAX_DOUBLINGS: u32 = 5;
/// Pause after a read of another era or of records that are gone.
const VOID_PAUSE: Duration = Duration::from_millis(100);

/// Follows the lease for the life of the process, if the settings have duties
pub async fn hold_lease(gateway: Rc<Gateway>, reads_for_others: impl Fn(Instant) -> bool) {
    let Some(settings) = &gateway.settings.duties else { return };
    let timing = LeaseTiming::new(settings.lease_term);
    let task = LeaseTask { gateway: &gateway, timing, failed_appends: Cell::default() };
    let mut backoff = StoreBackoff::new(DUTY_TOPIC);
    let mut was_candidate = false;
    loop {
        task.check_term();
        if gateway.duties.holds_back_release() {
            sleep(CONFLICT_PAUSE).await;
            continue;
        }
        let now = Instant::now();
        let is_active = task.with_lease(|it| it.has_term()).unwrap_or_default();
        let is_candidate = reads_for_others(now) || gateway.duties.candidacy.is_limited(now);
        if !is_active && !is_candidate {
            was_candidate = false;
            task.check_quiet(now);
            task.wait(CHECK_INTERVAL).await;
            continue;
        }
        if !is_active && !was_candidate {
            task.with_lease(DutyLease::require_read);
        }
        was_candidate = true;
        if let Err(failure) = task.step().await {
            gateway.duties.candidacy.end();
            sleep(backoff.failed(&failure)).await;
        } else {
            backoff.succeeded();
        }
    }
}

struct LeaseTask<'a> {
    gateway: &'a Gateway,
    timing: LeaseTiming,
    /// Appends in a row that the store has declined for another reason than the topic's end
    failed_appends: Cell<u32>,
}

impl LeaseTask<'_> {
    fn with_lease<T>(&self, action: impl FnOnce(&mut DutyLease) -> T) -> Option<T> {
        self.gateway.duties.lease.borrow_mut().as_mut().map(action)
    }

    /// Reports the end of a term that has expired, and asks for successors of one that nears it
    fn check_term(&self) {
        let duties = &self.gateway.duties;
        duties.change(|lease| lease.check_expiry(lease_time()));
        let left = duties.time_left();
        if left.is_some_and(|it| it < self.timing.term / 2) {
            duties.candidacy.want_successors();
        }
        if let Some(fence) = duties.fence() {
            duties.candidacy.record_holder(fence, Instant::now());
        }
    }

    fn check_quiet(&self, now: Instant) {
        let instances = self.gateway.load.borrow().max_instances();
        let candidacy = &self.gateway.duties.candidacy;
        let chance = rand::random::<f64>();
        candidacy.check_quiet(self.timing.wait(), instances, CHECK_INTERVAL, chance, now);
    }

    /// Waits for some time, or until woken
    async fn wait(&self, time: Duration) {
        // Both outcomes lead to the next check.
        let _ = timeout(time, self.gateway.duties.wake.notified()).await;
    }

    async fn step(&self) -> Result<(), ReadFailure> {
        let now = lease_time();
        match self.with_lease(|it| it.step(now)) {
            None => self.wait(CHECK_INTERVAL).await,
            Some(LeaseStep::ReadAll) => self.read(None, Duration::ZERO).await?,
            Some(LeaseStep::ReadOn(from, wait)) => {
                self.read(Some(from), wait.min(MAX_POLL)).await?;
            }
            Some(LeaseStep::Append(append)) => self.append(append).await,
            Some(LeaseStep::Idle(time)) => {
                let is_due = self.gateway.duties.writes.borrow().is_due();
                match self.with_lease(|it| it.renewal(now)).flatten().filter(|_| is_due) {
                    Some(append) => self.append(append).await,
                    None => self.wait(time.min(CHECK_INTERVAL)).await,
                }
            }
        }
        Ok(())
    }

    async fn read(&self, from: Option<TopicPosition>, wait: Duration) -> Result<(), ReadFailure> {
        let outcome = read_from(self.gateway, DUTY_TOPIC, from, wait).await;
        match outcome {
            Ok((batch, to)) => self.apply(&batch, from, to),
            Err(ReadFailure { error: StoreError::Expired { first }, .. }) => {
                log::info!("event=store_history_gone topic={DUTY_TOPIC} first={first}");
                self.with_lease(DutyLease::void_position);
                sleep(VOID_PAUSE).await;
            }
            Err(ReadFailure { error: StoreError::OtherEra, .. }) => sleep(VOID_PAUSE).await,
            Err(failure) => return Err(failure),
        }
        Ok(())
    }

    fn apply(&self, batch: &RecordBatch, from: Option<TopicPosition>, to: TopicPosition) {
        let duties = &self.gateway.duties;
        // The era may have risen, or the topic been found to be shorter, during the read.
        if from.is_some() && self.with_lease(|it| it.position()).flatten() != from {
            return;
        }
        {
            let mut values = duties.values.borrow_mut();
            if from.is_none() {
                values.clear();
            }
            for record in batch.records.iter().filter(|it| it.key != LEASE_KEY) {
                match &record.value {
                    Some(value) => values.insert(record.key.clone(), value.clone()),
                    None => values.shift_remove(&record.key),
                };
            }
        }
        let now = lease_time();
        let records = lease_records(batch);
        let session = self.with_lease(|it| it.session());
        for record in records.iter().flatten().filter(|it| Some(it.session) == session) {
            duties.writes.borrow_mut().confirm(record.append);
        }
        match from {
            None => {
                let lease = batch.records.iter().find(|it| it.key == LEASE_KEY);
                let record = lease.map(decode_lease);
                duties.change(|it| it.observe_all(to, record, now));
            }
            Some(_) => duties.change(|it| it.observe_more(to, records, now)),
        }
        self.record_holder();
    }

    /// Makes known the holder by the newest record, whose announcements may be lost
    fn record_holder(&self) {
        let holder = self.with_lease(|it| it.holder().map(|(id, fence)| (id.clone(), fence)));
        if let Some((instance, fence)) = holder.flatten() {
            let holder = DutyHolder { instance, fence };
            self.gateway.duties.record_holder(&holder, Instant::now());
        }
    }

    async fn append(&self, append: LeaseAppend) {
        let gateway = self.gateway;
        let duties = &gateway.duties;
        let Ok(lease) = encode_lease(&append.record) else { return };
        let mut records = match append.record.act {
            LeaseAct::Acquire => Vec::new(),
            LeaseAct::Renew | LeaseAct::Release => {
                duties.writes.borrow_mut().carry(append.record.append)
            }
        };
        records.push(lease);
        self.with_lease(|it| it.started(&append, lease_time()));
        let call = gateway.store.append_at(DUTY_TOPIC, append.at.offset, &records);
        let Ok(reply) = timeout(self.timing.renewal, call).await else {
            gateway.metrics.store_call("append", "failed", 0);
            log::info!("event=duty_append_unanswered append={}", append.record.append);
            return;
        };
        let outcome = if reply.result.is_ok() { "ok" } else { "failed" };
        gateway.metrics.store_call("append", outcome, reply.progress.bytes);
        let is_outdated = gateway.observe_era(reply.era) == EraChange::Outdated;
        match reply.result {
            _ if is_outdated => {
                // An answer from before a return says nothing of the topic as it is now.
                log::info!("event=store_answer_dropped topic={DUTY_TOPIC} call=append");
                sleep(CONFLICT_PAUSE).await;
            }
            Ok(()) => {
                self.failed_appends.set(0);
                self.apply_acknowledged(&append, records);
            }
            Err(StoreError::OtherEnd { end }) => {
                self.failed_appends.set(0);
                log::info!("event=duty_append_declined at={} end={end}", append.at.offset);
                self.with_lease(|it| it.declined(&append, end));
                sleep(CONFLICT_PAUSE).await;
            }
            Err(error) => {
                let append = append.record.append;
                log::info!("event=duty_append_unanswered append={append} error=\"{error}\"");
                let failures = self.failed_appends.get();
                self.failed_appends.set(failures.saturating_add(1));
                sleep(CONFLICT_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
            }
        }
    }

    fn apply_acknowledged(&self, append: &LeaseAppend, records: Vec<(SmolStr, Bytes)>) {
        let duties = &self.gateway.duties;
        if self.with_lease(|it| it.position()).flatten() != Some(append.at) {
            return;
        }
        let count = records.len() as ListOffset;
        for (key, value) in records.into_iter().filter(|it| it.0 != LEASE_KEY) {
            duties.values.borrow_mut().insert(key, value);
        }
        duties.writes.borrow_mut().confirm(append.record.append);
        duties.change(|it| it.acknowledged(append, count, lease_time()));
    }
}
