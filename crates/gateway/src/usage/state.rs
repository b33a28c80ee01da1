//! What an instance knows of usage.

use crate::boot_clock::boot_time;
use crate::metrics::UsageMetrics;
use catalogue::id::{CustomerName, Fence};
use decide::serving::route::RouteName;
use decide::serving::true_time::{ClockSample, TrueTime};
use decide::serving::usage::OwnUsage;
use decide::serving::usage_ledger::{LedgerTimes, UsageLedger};
use decide::serving::usage_report::{ReportTimes, UsageAck, UsageReport, UsageTiming};
use decide::serving::work_time::WorkTime;
use indexmap::IndexMap;
use platform_adapter::settings::InstanceSettings;
use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime};
use tokio::sync::Notify;

/// Longest time after the start for which requests are not sorted into windows, while the fleet's time is not known.
const MAX_CONFIRM_WAIT: Duration = Duration::from_secs(3);
/// Most requests that are noted before they are sorted into windows in any case; about 2 MB.
const MAX_BEGUN: usize = 65_536;
/// Fewest instances whose clocks have a majority.
const MIN_CLOCK_INSTANCES: usize = 3;

/// Request that began to run
#[derive(Debug, Clone)]
struct BegunRequest {
    customer: CustomerName,
    /// Boot time
    boot: Duration,
}

/// What an instance knows of usage
pub struct UsageState {
    started_at: Duration,
    begun: RefCell<Vec<BegunRequest>>,
    pub(super) own: RefCell<OwnUsage>,
    pub(super) ledger: RefCell<UsageLedger>,
    pub(super) time: RefCell<TrueTime>,
    pub(super) work_times: RefCell<IndexMap<RouteName, WorkTime>>,
    /// Whether the instance sends its last counts
    pub(super) is_ending: Cell<bool>,
    pub(super) wake: Notify,
    metrics: UsageMetrics,
}

impl UsageState {
    /// State of a starting instance; `None` if the settings have no usage duty
    pub fn new(settings: &InstanceSettings, metrics: UsageMetrics) -> Option<UsageState> {
        let duties = settings.duties.as_ref().filter(|it| it.has_usage)?;
        if duties.usage_window.is_zero() {
            return None;
        }
        let timing = UsageTiming::new(duties.usage_window, duties.usage_due);
        let own = OwnUsage::new(settings.instance.clone(), rand::random(), timing);
        let state = UsageState {
            started_at: boot_time(),
            begun: RefCell::default(),
            own: RefCell::new(own),
            ledger: RefCell::new(UsageLedger::new(timing)),
            time: RefCell::default(),
            work_times: RefCell::default(),
            is_ending: Cell::default(),
            wake: Notify::new(),
            metrics,
        };
        state.sample_clock(state.started_at);
        Some(state)
    }

    /// Notes that a request began to run at a boot time
    pub fn note(&self, customer: CustomerName, boot: Duration) {
        let mut begun = self.begun.borrow_mut();
        if begun.len() < MAX_BEGUN {
            begun.push(BegunRequest { customer, boot });
            return;
        }
        drop(begun);
        self.sort();
        self.begun.borrow_mut().push(BegunRequest { customer, boot });
    }

    /// Sorts the requests noted so far into windows
    fn sort(&self) {
        let (time, mut own) = (self.time.borrow(), self.own.borrow_mut());
        own.record_start(time.at(self.started_at));
        for BegunRequest { customer, boot } in self.begun.borrow_mut().drain(..) {
            own.record(&customer, time.at(boot));
        }
    }

    fn sample_clock(&self, boot: Duration) {
        let mut time = self.time.borrow_mut();
        if time.is_sample_due(boot) {
            let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            time.record_sample(ClockSample { boot, unix: unix.unwrap_or_default() });
        }
    }

    /// Samples the clock, and sorts what was noted if the time is known; `instances` is the number of those listed
    pub fn update(&self, instances: Option<usize>, boot: Duration) {
        self.sample_clock(boot);
        let is_single = instances.is_some_and(|it| it < MIN_CLOCK_INSTANCES);
        let is_known = is_single || self.time.borrow().is_confirmed();
        if is_known
            || self.is_ending.get()
            || boot.saturating_sub(self.started_at) > MAX_CONFIRM_WAIT
        {
            self.sort();
            let dropped = i64::try_from(self.own.borrow().dropped()).unwrap_or(i64::MAX);
            if self.metrics.dropped.set(dropped) < dropped {
                log::warn!("event=usage_dropped total={dropped}");
            }
        }
    }

    pub fn report_times(&self, boot: Duration) -> ReportTimes {
        let time = self.time.borrow();
        ReportTimes { unix: time.at(boot), clock: time.own_statement(boot) }
    }

    pub fn ledger_times(&self, boot: Duration) -> LedgerTimes {
        LedgerTimes { unix: self.time.borrow().at(boot), boot }
    }

    /// Messages for the holder of a token
    pub fn reports(&self, fence: Fence, boot: Duration) -> Vec<UsageReport> {
        let times = self.report_times(boot);
        self.own.borrow_mut().reports(fence, times, self.is_ending.get())
    }

    /// Applies a message as the holder of a token; `None` if it can't be acknowledged
    pub fn apply_report(&self, report: &UsageReport, fence: Fence) -> Option<UsageAck> {
        let boot = boot_time();
        let times = self.ledger_times(boot);
        self.time.borrow_mut().record_clock(&report.instance, report.clock, boot);
        let ack = self.ledger.borrow_mut().apply(report, fence, times)?;
        Some(UsageAck { clock: self.time.borrow().fleet_statement(boot), ..ack })
    }

    /// Applies the holder's acknowledgement of a message
    pub fn apply_ack(&self, ack: &UsageAck) {
        if !self.own.borrow_mut().acknowledge(ack) {
            return;
        }
        if let Some(clock) = ack.clock {
            self.time.borrow_mut().record_fleet(clock, boot_time());
        }
        self.ledger.borrow_mut().record_fixed(ack.unfixed);
    }
}
