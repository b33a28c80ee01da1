//! Counts of all instances at the holder of the duties, and when a window is fixed.

use super::usage::MAX_OWN_WINDOWS;
use super::usage_report::{SourceId, UsageAck, UsageReport, UsageTiming, WindowNumber};
use catalogue::id::{CustomerName, Fence};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Format of the records
pub const RECORD_FORMAT: u8 = 1;
/// Time without a message after which an instance is not waited for.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the start of a term until a window is fixed, in which all instances send their counts anew: 0.5 s for
/// the announcement, twice 0.25 s for the messages, and a margin.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Time without a message after which an instance may have died; see `snapshot_of_silent`.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Most counts that the holder keeps, about 25 MB; further ones are not acknowledged, so they are sent again.
const MAX_ENTRIES: usize = 400_000;
/// Most sources that the holder remembers; the ones heard longest ago are forgotten.
const MAX_SOURCES: usize = 4000;
/// Windows after the present one for which counts are accepted, since clocks differ a little.
const MAX_WINDOWS_AHEAD: WindowNumber = 2;
/// Largest error of a clock by which a holder has recorded windows.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(24 * 60 * 60);

/// Counts by customer, in the order of the names
pub type UsageCounts = Vec<(CustomerName, u64)>;

/// Fixed report of a window
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FixedReport {
    pub format: u8,
    pub window: WindowNumber,
    /// First window whose report is not known to be accepted
    pub unaccepted: WindowNumber,
    pub counts: UsageCounts,
}

/// Run of an instance, as far as the holder has heard of it
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SourceState {
    first: WindowNumber,
    last: WindowNumber,
    /// First window whose counts may be incomplete, as stated to this holder
    open: WindowNumber,
    /// Boot time of the last message; `None` if it is known from an earlier holder only
    heard_at: Option<Duration>,
}

/// Step that the holder takes for the next window
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WindowStep {
    /// Nothing is due
    Wait,
    /// Fix and report these counts
    Fix(WindowNumber, UsageCounts),
    /// Nothing is known of the windows before this one
    Skip(WindowNumber),
}

/// Times at which the holder decides
#[derive(Debug, Clone, Copy)]
pub struct LedgerTimes {
    /// True time since the start of 1970
    pub unix: Duration,
    /// Boot time
    pub boot: Duration,
}

/// Counts that the holder has received
#[derive(Debug, Clone)]
pub struct UsageLedger {
    timing: UsageTiming,
    sources: IndexMap<SourceId, SourceState>,
    windows: BTreeMap<WindowNumber, IndexMap<SourceId, IndexMap<CustomerName, u32>>>,
    entries: usize,
    /// First window that is not fixed; `None` until one is known
    unfixed: Option<WindowNumber>,
    term_from: Duration,
    refused: u64,
}

impl UsageLedger {
    /// Empty ledger
    pub fn new(timing: UsageTiming) -> UsageLedger {
        UsageLedger {
            timing,
            sources: IndexMap::new(),
            windows: BTreeMap::new(),
            entries: 0,
            unfixed: None,
            term_from: Duration::ZERO,
            refused: 0,
        }
    }

    /// Starts a term; what was received before remains
    pub fn start_term(&mut self, boot: Duration) {
        self.term_from = boot;
        for source in self.sources.values_mut() {
            source.open = source.first;
        }
    }

    /// First window that is not fixed; 0 until one is known
    pub fn unfixed(&self) -> WindowNumber {
        self.unfixed.unwrap_or_default()
    }

    /// Whether a window lies so far ahead that no holder can have recorded it, whatever its clock
    pub fn is_out_of_range(&self, window: WindowNumber, unix: Duration) -> bool {
        window > self.timing.window_at(unix + MAX_CLOCK_ERROR)
    }

    /// Number of messages that were refused for lack of room
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Number of counts
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether there are no counts
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Applies a message; `None` if there is no room for it
    pub fn apply(
        &mut self,
        report: &UsageReport,
        fence: Fence,
        times: LedgerTimes,
    ) -> Option<UsageAck> {
        if report.unfixed > 0 && !self.is_out_of_range(report.unfixed, times.unix) {
            self.record_fixed(report.unfixed);
        }
        let ahead = self.timing.window_at(times.unix) + MAX_WINDOWS_AHEAD;
        // An instance whose counts find no room is alive nevertheless.
        self.record_source(report, ahead, times.boot);
        if self.entries + self.new_entries(report, ahead) > MAX_ENTRIES {
            self.refused += 1;
            return None;
        }
        for (window, counts) in &report.counts {
            if !self.is_accepted(*window, ahead) {
                continue;
            }
            let sources = self.windows.entry(*window).or_default();
            let known = sources.entry(report.source).or_default();
            let before = known.len();
            for (customer, count) in counts {
                merge(known, customer, *count);
            }
            self.entries += known.len() - before;
        }
        let (source, sequence) = (report.source, report.sequence);
        Some(UsageAck { fence, source, sequence, unfixed: self.unfixed(), clock: None })
    }

    /// Whether counts of a window are kept
    fn is_accepted(&self, window: WindowNumber, ahead: WindowNumber) -> bool {
        self.unfixed() <= window && window <= ahead
    }

    /// Number of counts in a message that are to be added to the known ones
    fn new_entries(&self, report: &UsageReport, ahead: WindowNumber) -> usize {
        let accepted = report.counts.iter().filter(|it| self.is_accepted(it.0, ahead));
        let new_in = |(window, counts): &(WindowNumber, Vec<(CustomerName, u32)>)| {
            let known = self.windows.get(window).and_then(|it| it.get(&report.source));
            let is_new =
                |it: &&(CustomerName, u32)| known.is_none_or(|known| !known.contains_key(&it.0));
            counts.iter().filter(is_new).count()
        };
        accepted.map(new_in).sum()
    }

    fn record_source(&mut self, report: &UsageReport, ahead: WindowNumber, boot: Duration) {
        let last = report.now.min(ahead);
        let first = report.first.min(last);
        let state = SourceState { first, last, open: report.open, heard_at: Some(boot) };
        let known = self.sources.entry(report.source).or_insert(state);
        known.first = first;
        known.last = known.last.max(last);
        // A message that was overtaken states less.
        known.open = known.open.max(report.open);
        known.heard_at = Some(boot);
        if self.sources.len() > MAX_SOURCES {
            let oldest = self.sources.iter().min_by_key(|it| it.1.heard_at).map(|it| *it.0);
            oldest.map(|it| self.sources.swap_remove(&it));
        }
    }

    /// Records that the windows before this one are fixed or given up, and drops their counts
    pub fn record_fixed(&mut self, unfixed: WindowNumber) {
        let unfixed = self.unfixed().max(unfixed);
        self.unfixed = Some(unfixed);
        while let Some(entry) = self.windows.first_entry() {
            if *entry.key() >= unfixed {
                break;
            }
            self.entries -= entry.remove().values().map(IndexMap::len).sum::<usize>();
        }
    }

    /// Gives up all windows that have begun: each of them may have been reported with counts that are lost
    pub fn give_up_begun(&mut self, unix: Duration) {
        self.record_fixed(self.timing.window_at(unix) + 1);
    }

    /// Step for the oldest window that is not fixed
    ///
    /// `is_first_start` tells that nothing ran before the oldest source, so that its first window is known in full.
    pub fn step(&mut self, times: LedgerTimes, is_first_start: bool) -> WindowStep {
        if times.boot < self.term_from + SETTLE_TIME {
            return WindowStep::Wait;
        }
        let Some(window) = self.unfixed else {
            let first = self.sources.values().map(|it| it.first).min();
            let first = first.map(|it| if is_first_start { it } else { it + 1 });
            // No instance has kept counts of the windows before.
            let oldest = self.timing.window_at(times.unix).saturating_sub(MAX_OWN_WINDOWS as u64);
            self.unfixed = first.map(|it| it.max(oldest));
            return WindowStep::Wait;
        };
        let end = self.timing.end(window);
        let is_awaited = |it: &SourceState| self.is_awaited(it, window, times.boot);
        let is_complete = !self.sources.values().any(is_awaited);
        let pause = if is_complete { self.timing.pause } else { self.timing.max_pause };
        if times.unix < end + pause {
            return WindowStep::Wait;
        }
        let present = self.sources.values().any(|it| it.first <= window && window <= it.last);
        if present || self.windows.contains_key(&window) {
            return WindowStep::Fix(window, self.counts(window));
        }
        let later = self.sources.values().map(|it| it.first).filter(|it| *it > window).min();
        let now = self.timing.window_at(times.unix);
        WindowStep::Skip(later.unwrap_or(now).min(now).max(window + 1))
    }

    /// Whether an instance may send further counts of a window
    fn is_awaited(&self, source: &SourceState, window: WindowNumber, boot: Duration) -> bool {
        let heard_at = match source.heard_at {
            Some(at) => at,
            // Known from an earlier holder; it may be heard yet.
            None if window <= source.last => self.term_from,
            None => return false,
        };
        source.open <= window && boot.saturating_sub(heard_at) < SILENCE_TIMEOUT
    }

    /// Sum of a window's counts over all sources
    pub fn counts(&self, window: WindowNumber) -> UsageCounts {
        let mut sums: BTreeMap<&CustomerName, u64> = BTreeMap::new();
        let sources = self.windows.get(&window).into_iter().flat_map(IndexMap::values);
        for (customer, count) in sources.flatten() {
            *sums.entry(customer).or_default() += u64::from(*count);
        }
        sums.into_iter().map(|(customer, sum)| (customer.clone(), sum)).collect()
    }

    /// Counts and sources of the windows that are not fixed, for the next holder
    pub fn snapshot(&self) -> UsageSnapshot {
        self.snapshot_with(|_| true)
    }

    /// Snapshot of only the sources that may have died, for when the whole one is too large; the others send their
    /// counts to the next holder anew
    pub fn snapshot_of_silent(&self, boot: Duration) -> UsageSnapshot {
        let is_silent = |at: Duration| boot.saturating_sub(at) >= SILENT_AFTER;
        self.snapshot_with(|it| it.heard_at.is_none_or(is_silent))
    }

    fn snapshot_with(&self, is_included: impl Fn(&SourceState) -> bool) -> UsageSnapshot {
        let mut names = IndexSet::new();
        let mut index = |name: &CustomerName| names.insert_full(name.clone()).0 as u32;
        let unfixed = self.unfixed();
        let is_needed = |it: &(&SourceId, &SourceState)| it.1.last >= unfixed && is_included(it.1);
        let sources = self.sources.iter().filter(is_needed);
        let sources = sources.map(|(id, it)| (*id, it.first, it.last)).collect::<Vec<_>>();
        let ids = sources.iter().map(|it| it.0).collect::<IndexSet<_>>();
        let mut windows = Vec::new();
        for (window, counts) in &self.windows {
            let mut listed = Vec::new();
            for (source, counts) in counts {
                let Some(source) = ids.get_index_of(source) else { continue };
                let counts = counts.iter().map(|(name, count)| (index(name), *count)).collect();
                listed.push((source as u32, counts));
            }
            windows.push((*window, listed));
        }
        let names = names.into_iter().collect();
        UsageSnapshot { format: RECORD_FORMAT, unfixed, sources, names, windows }
    }

    /// Merges the counts that an earlier holder has recorded
    pub fn merge(&mut self, snapshot: &UsageSnapshot) {
        if snapshot.unfixed > 0 {
            self.record_fixed(snapshot.unfixed);
        }
        for (id, first, last) in &snapshot.sources {
            let (first, last) = (*first, *last);
            let state = SourceState { first, last, open: first, heard_at: None };
            let known = self.sources.entry(*id).or_insert(state);
            known.last = known.last.max(last);
        }
        for (window, sources) in &snapshot.windows {
            if *window < self.unfixed() {
                continue;
            }
            for (source, counts) in sources {
                let Some((id, ..)) = snapshot.sources.get(*source as usize) else { continue };
                let known = self.windows.entry(*window).or_default().entry(*id).or_default();
                let before = known.len();
                for (name, count) in counts {
                    if let Some(customer) = snapshot.names.get(*name as usize) {
                        merge(known, customer, *count);
                    }
                }
                self.entries += known.len() - before;
            }
        }
    }
}

/// Keeps the larger of two cumulative counts
fn merge(known: &mut IndexMap<CustomerName, u32>, customer: &CustomerName, count: u32) {
    match known.get_mut(customer) {
        Some(known) => *known = count.max(*known),
        None => {
            known.insert(customer.clone(), count);
        }
    }
}

/// Source by its place in the snapshot, with counts by the places of the customers' names.
type SourceCounts = (u32, Vec<(u32, u32)>);

/// Counts of the windows that are not fixed, as the holder records them
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageSnapshot {
    pub format: u8,
    unfixed: WindowNumber,
    /// Id, first and last window of each source
    sources: Vec<(SourceId, WindowNumber, WindowNumber)>,
    names: Vec<CustomerName>,
    windows: Vec<(WindowNumber, Vec<SourceCounts>)>,
}

impl UsageSnapshot {
    /// Last window that it names
    pub fn last_window(&self) -> WindowNumber {
        let sources = self.sources.iter().map(|it| it.1.max(it.2));
        let windows = self.windows.iter().map(|it| it.0);
        sources.chain(windows).fold(self.unfixed, WindowNumber::max)
    }
}
