//! Usage by customer and window of true time.
//!
//! Each instance counts what began to run and sends its counts to the holder of the duties.
//! The counts are cumulative, so a lost message is repaired by the next one, and the larger
//! of two counts holds whatever order they arrive in. The holder fixes the report of a
//! window once all instances have stated that their counts of it are complete, or once it
//! can't wait longer. See `usage_ledger` for the holder's part.

use super::usage_report::{
    ReportTimes, SourceId, UsageAck, UsageReport, UsageSequence, UsageTiming, WindowCounts,
    WindowNumber,
};
use catalogue::id::{CustomerName, Fence, InstanceId};
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most windows that an instance keeps; older ones are dropped, which takes an outage of minutes.
pub(super) const MAX_OWN_WINDOWS: usize = 64;
/// Most counts that an instance keeps, about 5 MB; the oldest windows beyond are dropped.
const MAX_OWN_ENTRIES: usize = 60_000;
/// Most bytes of the counts in one message.
const MAX_REPORT_BYTES: usize = 8 * 1024;
/// Bytes of a count beside the customer's name, at most.
const ENTRY_BYTES: usize = 8;
/// Most messages at a time; further counts follow with the next ones.
const MAX_REPORTS: usize = 32;
/// Most messages whose acknowledgement is awaited.
const MAX_UNACKNOWLEDGED: usize = 4 * MAX_REPORTS;

#[derive(Debug, Clone, Copy, Default)]
struct OwnCount {
    count: u32,
    /// Count that the holder has acknowledged
    acked: u32,
    /// Largest count that any holder has acknowledged
    stored: u32,
}

/// Message whose acknowledgement is awaited
#[derive(Debug, Clone)]
struct SentReport {
    sequence: UsageSequence,
    is_last: bool,
    counts: Vec<WindowCounts>,
}

/// Counts of this instance
#[derive(Debug, Clone)]
pub struct OwnUsage {
    instance: InstanceId,
    source: SourceId,
    timing: UsageTiming,
    first: Option<WindowNumber>,
    unfixed: WindowNumber,
    windows: BTreeMap<WindowNumber, IndexMap<CustomerName, OwnCount>>,
    entries: usize,
    sent: VecDeque<SentReport>,
    next_sequence: UsageSequence,
    fence: Fence,
    is_last_acked: bool,
    dropped: u64,
}

impl OwnUsage {
    /// Counts of a starting instance
    pub fn new(instance: InstanceId, source: SourceId, timing: UsageTiming) -> OwnUsage {
        OwnUsage {
            instance,
            source,
            timing,
            first: None,
            unfixed: 0,
            windows: BTreeMap::new(),
            entries: 0,
            sent: VecDeque::new(),
            next_sequence: 0,
            fence: 0,
            is_last_acked: false,
            dropped: 0,
        }
    }

    /// Records the window in which the instance started
    pub fn record_start(&mut self, unix: Duration) {
        self.first = Some(self.timing.window_at(unix));
    }

    /// Counts a request that began to run at a true time
    pub fn record(&mut self, customer: &CustomerName, unix: Duration) {
        let window = self.timing.window_at(unix);
        if window < self.unfixed {
            self.dropped += 1;
            return;
        }
        let counts = self.windows.entry(window).or_default();
        if let Some(count) = counts.get_mut(customer) {
            count.count += 1;
            return;
        }
        counts.insert(customer.clone(), OwnCount { count: 1, ..OwnCount::default() });
        self.entries += 1;
        while self.windows.len() > MAX_OWN_WINDOWS || self.entries > MAX_OWN_ENTRIES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, counts)) = self.windows.pop_first() else { return };
        self.entries -= counts.len();
        self.dropped += counts.values().map(|it| u64::from(it.count - it.stored)).sum::<u64>();
    }

    /// Number of requests that are in no report, since their window was fixed or there was no room
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// First window that is not fixed, as far as this instance knows
    pub fn unfixed(&self) -> WindowNumber {
        self.unfixed
    }

    /// Whether the holder has acknowledged all counts, and the last message
    pub fn has_ended(&self) -> bool {
        self.is_last_acked && self.first_unacked().is_none()
    }

    fn first_unacked(&self) -> Option<WindowNumber> {
        let is_unacked = |it: &OwnCount| it.count > it.acked;
        let mut windows = self.windows.iter().filter(|it| it.1.values().any(is_unacked));
        windows.next().map(|it| *it.0)
    }

    /// Whether there are counts that the holder of a token has not acknowledged
    pub fn has_unacked(&self, fence: Fence) -> bool {
        fence != self.fence || self.first_unacked().is_some()
    }

    /// First window whose counts the holder may not know in full
    pub fn open(&self, unix: Duration) -> WindowNumber {
        let open = self.timing.open_at(unix);
        self.first_unacked().map_or(open, |it| open.min(it))
    }

    /// Messages with all counts that the holder of a token has not acknowledged, at least one
    pub fn reports(&mut self, fence: Fence, times: ReportTimes, is_last: bool) -> Vec<UsageReport> {
        if fence != self.fence {
            self.start_term(fence);
        }
        let mut parts = self.unacked_parts();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        parts.into_iter().map(|it| self.report(it, times, is_last)).collect()
    }

    /// Has all counts sent anew, to another holder
    fn start_term(&mut self, fence: Fence) {
        self.fence = fence;
        self.sent.clear();
        self.is_last_acked = false;
        for count in self.windows.values_mut().flat_map(IndexMap::values_mut) {
            count.acked = 0;
        }
    }

    fn unacked_parts(&self) -> Vec<Vec<WindowCounts>> {
        let mut parts: Vec<Vec<WindowCounts>> = Vec::new();
        let mut bytes = MAX_REPORT_BYTES;
        for (window, counts) in &self.windows {
            let mut is_new_window = true;
            for (customer, count) in counts.iter().filter(|it| it.1.count > it.1.acked) {
                let size = customer.len() + ENTRY_BYTES;
                if bytes + size > MAX_REPORT_BYTES {
                    if parts.len() == MAX_REPORTS {
                        return parts;
                    }
                    parts.push(Vec::new());
                    (bytes, is_new_window) = (0, true);
                }
                let Some(part) = parts.last_mut() else { continue };
                if std::mem::take(&mut is_new_window) {
                    part.push((*window, Vec::new()));
                }
                if let Some((_, entries)) = part.last_mut() {
                    entries.push((customer.clone(), count.count));
                }
                bytes += size;
            }
        }
        parts
    }

    fn report(
        &mut self,
        counts: Vec<WindowCounts>,
        times: ReportTimes,
        is_last: bool,
    ) -> UsageReport {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.wrapping_add(1);
        if self.sent.len() == MAX_UNACKNOWLEDGED {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport { sequence, is_last, counts: counts.clone() });
        let now = self.timing.window_at(times.unix);
        let open = match self.first_unacked() {
            None if is_last => WindowNumber::MAX,
            _ => self.open(times.unix),
        };
        UsageReport {
            fence: self.fence,
            instance: self.instance.clone(),
            source: self.source,
            sequence,
            first: self.first.unwrap_or(now),
            now,
            open,
            unfixed: self.unfixed,
            is_last,
            clock: times.clock,
            counts,
        }
    }

    /// Applies an acknowledgement; `false` if it is none of the current holder
    pub fn acknowledge(&mut self, ack: &UsageAck) -> bool {
        if ack.source != self.source || ack.fence != self.fence {
            return false;
        }
        let index = self.sent.iter().position(|it| it.sequence == ack.sequence);
        if let Some(sent) = index.and_then(|it| self.sent.remove(it)) {
            self.is_last_acked |= sent.is_last;
            for (window, customers) in sent.counts {
                let Some(counts) = self.windows.get_mut(&window) else { continue };
                for (customer, acked) in customers {
                    if let Some(count) = counts.get_mut(&customer) {
                        count.acked = count.acked.max(acked);
                        count.stored = count.stored.max(acked);
                    }
                }
            }
        }
        self.record_fixed(ack.unfixed);
        true
    }

    /// Drops the windows before the first one that is not fixed
    pub fn record_fixed(&mut self, unfixed: WindowNumber) {
        self.unfixed = self.unfixed.max(unfixed);
        while let Some(entry) = self.windows.first_entry() {
            if *entry.key() >= self.unfixed {
                break;
            }
            let counts = entry.remove();
            self.entries -= counts.len();
            let unstored = counts.values().map(|it| u64::from(it.count - it.stored));
            self.dropped += unstored.sum::<u64>();
        }
    }
}
