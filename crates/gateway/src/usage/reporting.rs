//! Fixes the reports of windows and sends them, while this instance holds the duties.
//!
//! A report is sent only once its record is acknowledged by the store. A write without an
//! answer is repeated with the same bytes; if the lease is lost meanwhile, the next holder
//! finds the record in the topic, or it never gets there.

use super::records::{
    MAX_FIXED, SNAPSHOT_KEY, decode_report, decode_snapshot, encode_in_era, report_era, report_key,
    report_keys, snapshot_era,
};
use super::state::UsageState;
use crate::boot_clock::boot_time;
use crate::state::Gateway;
use bytes::Bytes;
use catalogue::id::Fence;
use decide::serving::duty_lease::token_era;
use decide::serving::usage_ledger::{FixedReport, RECORD_FORMAT, UsageCounts, WindowStep};
use decide::serving::usage_report::WindowNumber;
use http::StatusCode;
use platform_adapter::control_api::{ControlClient, ControlOutcome, DutyToken, usage_body};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Interval at which the holder checks whether a window is to be fixed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an instance checks whether it has become the holder, beside being woken.
const TERM_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of snapshots; a renewal carries the newest one.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Most bytes of snapshots a second on average; those for which a renewal a second is too often are staged less often.
const SNAPSHOT_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// Size of a snapshot beyond which it contains only instances that may have died: 0.1 s of a link of 10 Mbit/s, so
/// that it doesn't delay a renewal.
const MAX_SNAPSHOT_BYTES: usize = 128 * 1024;
/// Pause between two reports, so that a backlog takes few calls a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// First and longest pause after a call that failed.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Rest of the term below which no call is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);
/// Calls after which a report that the control API declines is given up, so that it doesn't hold up the others.
const MAX_DECLINES: u32 = 5;

/// Reports during one term as the holder
struct UsageTerm<'a> {
    gateway: &'a Gateway,
    usage: &'a UsageState,
    fence: Fence,
    /// Recorded reports that are not known to be accepted, oldest first
    fixed: RefCell<VecDeque<FixedReport>>,
    has_fixed: Notify,
    snapshot: RefCell<Bytes>,
    next_snapshot: Cell<Option<Instant>>,
}

/// Reports usage during each term of this instance
pub async fn report_usage(gateway: Rc<Gateway>) {
    let Some(usage) = &gateway.usage else { return };
    let Some(settings) = &gateway.settings.duties else { return };
    let client = ControlClient::new(settings.control_address);
    let mut terms = gateway.duties.subscribe();
    loop {
        let Some(fence) = gateway.duties.fence() else {
            // Both outcomes lead to the next check.
            let _ = timeout(TERM_INTERVAL, terms.changed()).await;
            continue;
        };
        let term = UsageTerm::start(&gateway, usage, fence);
        tokio::join!(term.fix_windows(), term.send_reports(&client));
        // A term ends a little later for `subscribe` than for `fence`.
        sleep(CHECK_INTERVAL).await;
    }
}

impl UsageTerm<'_> {
    /// Takes over what the earlier holders have recorded
    fn start<'a>(gateway: &'a Gateway, usage: &'a UsageState, fence: Fence) -> UsageTerm<'a> {
        let duties = &gateway.duties;
        let snapshot = duties.value(SNAPSHOT_KEY);
        let records = report_keys().filter_map(|it| duties.value(&it)).collect::<Vec<_>>();
        let mut fixed = records.iter().filter_map(|it| decode_report(it)).collect::<Vec<_>>();
        let eras = records.iter().filter_map(|it| report_era(it));
        let recorded_in = eras.chain(snapshot.as_deref().and_then(snapshot_era)).max();
        fixed.sort_by_key(|it| it.window);
        let unaccepted = fixed.iter().map(|it| it.unaccepted).max().unwrap_or_default();
        {
            let mut ledger = usage.ledger.borrow_mut();
            ledger.start_term(boot_time());
            if let Some(last) = fixed.last() {
                ledger.record_fixed(last.window + 1);
            }
            // Instances may know more if the store has come back from a copy.
            let unfixed = usage.own.borrow().unfixed();
            if unfixed > 0 {
                ledger.record_fixed(unfixed);
            }
            if let Some(snapshot) = snapshot.as_deref().and_then(decode_snapshot) {
                ledger.merge(&snapshot);
            }
            let era = token_era(fence);
            let has_seen_return = *gateway.era_changes.borrow() == era;
            if recorded_in.is_some_and(|it| it < era) && !has_seen_return {
                // Reports that were accepted before the return may be in no record.
                ledger.give_up_begun(usage.ledger_times(boot_time()).unix);
                let unfixed = ledger.unfixed();
                log::warn!("event=usage_given_up before={unfixed} reason=store_returned era={era}");
            }
        }
        fixed.retain(|it| it.window >= unaccepted);
        log::info!(
            "event=usage_term fence={fence} unfixed={} unaccepted={}",
            usage.ledger.borrow().unfixed(),
            fixed.len(),
        );
        UsageTerm {
            gateway,
            usage,
            fence,
            fixed: RefCell::new(fixed.into()),
            has_fixed: Notify::new(),
            snapshot: RefCell::new(snapshot.unwrap_or_default()),
            next_snapshot: Cell::default(),
        }
    }

    fn is_held(&self) -> bool {
        self.gateway.duties.fence() == Some(self.fence)
    }

    async fn fix_windows(&self) {
        while self.is_held() {
            let times = self.usage.ledger_times(boot_time());
            let is_first = self.gateway.settings.is_first_start;
            let step = self.usage.ledger.borrow_mut().step(times, is_first);
            match step {
                WindowStep::Wait => {
                    if self.next_snapshot.get().is_none_or(|it| Instant::now() >= it) {
                        self.stage_snapshot();
                    }
                    sleep(CHECK_INTERVAL).await;
                }
                WindowStep::Fix(window, counts) => self.fix(window, counts).await,
                WindowStep::Skip(to) => {
                    let from = self.usage.ledger.borrow().unfixed();
                    log::warn!("event=usage_skipped from={from} to={to}");
                    self.usage.ledger.borrow_mut().record_fixed(to);
                }
            }
        }
        self.has_fixed.notify_one();
    }

    /// Records the report of a window, and queues it once the record is acknowledged
    async fn fix(&self, window: WindowNumber, counts: UsageCounts) {
        let unaccepted = self.fixed.borrow().front().map_or(window, |it| it.window);
        // The slot of the oldest report is used again.
        let unaccepted = unaccepted.max((window + 1).saturating_sub(MAX_FIXED));
        let report = FixedReport { format: RECORD_FORMAT, window, unaccepted, counts };
        let Ok(bytes) = encode_in_era(&report, token_era(self.fence)) else {
            log::error!("event=usage_unencodable window={window}");
            self.usage.ledger.borrow_mut().record_fixed(window + 1);
            return;
        };
        loop {
            // Under a later term, another holder may have fixed the window.
            if !self.is_held() {
                return;
            }
            match self.gateway.duties.write(&report_key(window), bytes.clone()).await {
                Ok(()) => break,
                Err(error) => {
                    log::info!("event=usage_not_fixed window={window} error=\"{error}\"");
                    sleep(CHECK_INTERVAL).await;
                }
            }
        }
        let total = report.counts.iter().map(|it| it.1).sum::<u64>();
        let customers = report.counts.len();
        log::info!("event=usage_fixed window={window} customers={customers} requests={total}");
        self.usage.ledger.borrow_mut().record_fixed(window + 1);
        let mut fixed = self.fixed.borrow_mut();
        fixed.push_back(report);
        while fixed.front().is_some_and(|it| it.window < unaccepted) {
            let given_up = fixed.pop_front().map_or(0, |it| it.window);
            log::warn!("event=usage_given_up window={given_up} reason=backlog");
        }
        self.has_fixed.notify_one();
    }

    /// Has the counts of the windows that are not fixed recorded with the next renewal
    fn stage_snapshot(&self) {
        let bytes = stage_snapshot(self.gateway, self.usage, self.fence, &self.snapshot.borrow());
        self.next_snapshot.set(Some(Instant::now() + SNAPSHOT_INTERVAL));
        let Some(bytes) = bytes else { return };
        let seconds = bytes.len() as f64 / SNAPSHOT_BYTES_PER_S;
        if seconds > 1.0 {
            self.next_snapshot.set(Some(Instant::now() + Duration::from_secs_f64(seconds)));
        }
        self.snapshot.replace(bytes);
    }

    async fn send_reports(&self, client: &ControlClient) {
        let holder = self.gateway.settings.instance.clone();
        let token = DutyToken { holder, fence: self.fence };
        let mut backoff = MIN_BACKOFF;
        let mut declines = 0;
        while self.is_held() {
            let Some(report) = self.fixed.borrow().front().cloned() else {
                self.has_fixed.notified().await;
                continue;
            };
            let body = usage_body(report.window, &report.counts.into_iter().collect());
            let left = self.gateway.duties.time_left().unwrap_or_default();
            let begun = self.gateway.duties.begin_call();
            let Some(call) = begun.filter(|it| it.fence == self.fence && left >= MIN_TIME_LEFT)
            else {
                sleep(CHECK_INTERVAL).await;
                continue;
            };
            let may_send = || self.gateway.duties.fence() == Some(self.fence);
            let outcome = timeout(left, client.report_usage(&token, body, may_send)).await;
            drop(call);
            let outcome = outcome.unwrap_or(ControlOutcome::Unanswered);
            self.record_outcome(report.window, outcome);
            let pause = match without_temporary(outcome) {
                ControlOutcome::Accepted => {
                    self.remove(report.window);
                    (backoff, declines) = (MIN_BACKOFF, 0);
                    REPORT_INTERVAL
                }
                ControlOutcome::Conflict => {
                    self.gateway.duties.give_up(self.fence);
                    return;
                }
                ControlOutcome::Declined(_) if declines + 1 == MAX_DECLINES => {
                    log::warn!("event=usage_given_up window={} reason=declined", report.window);
                    self.remove(report.window);
                    (backoff, declines) = (MIN_BACKOFF, 0);
                    REPORT_INTERVAL
                }
                retried @ (ControlOutcome::Declined(_)
                | ControlOutcome::Limited
                | ControlOutcome::Unanswered) => {
                    declines += u32::from(matches!(retried, ControlOutcome::Declined(_)));
                    let pause = backoff.mul_f64(0.75 + rand::random::<f64>() / 2.0);
                    backoff = MAX_BACKOFF.min(backoff * 2);
                    pause
                }
            };
            sleep(pause).await;
        }
    }

    fn remove(&self, window: WindowNumber) {
        self.fixed.borrow_mut().retain(|it| it.window != window);
    }

    fn record_outcome(&self, window: WindowNumber, outcome: ControlOutcome) {
        let name = match outcome {
            ControlOutcome::Accepted => "accepted",
            ControlOutcome::Conflict => "conflict",
            ControlOutcome::Limited => "limited",
            ControlOutcome::Declined(_) => "declined",
            ControlOutcome::Unanswered => "unanswered",
        };
        self.gateway.metrics.usage.reported(name);
        let fence = self.fence;
        log::info!("event=usage_reported window={window} outcome={name} fence={fence}");
    }
}

/// Outcome with a fault of the control API, rather than of the report, taken for a missing answer
fn without_temporary(outcome: ControlOutcome) -> ControlOutcome {
    match outcome {
        ControlOutcome::Declined(status)
            if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT =>
        {
            ControlOutcome::Unanswered
        }
        other => other,
    }
}

/// Stages a snapshot of the counts unless it equals the last one; returns it if so
pub fn stage_snapshot(
    gateway: &Gateway,
    usage: &UsageState,
    fence: Fence,
    last: &Bytes,
) -> Option<Bytes> {
    let ledger = usage.ledger.borrow();
    let era = token_era(fence);
    let mut bytes = encode_in_era(&ledger.snapshot(), era).ok()?;
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        bytes = encode_in_era(&ledger.snapshot_of_silent(boot_time()), era).ok()?;
    }
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        log::warn!("event=usage_snapshot_too_large bytes={}", bytes.len());
        return None;
    }
    if bytes == *last {
        return None;
    }
    gateway.duties.stage(SNAPSHOT_KEY, bytes.clone());
    Some(bytes)
}
