//! Table of the results of a load, one line per entry.

use crate::caller::CallOutcome;
use crate::load::CallRecord;
use catalogue::id::EntryName;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::fmt;
use std::time::Duration;

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_TIME_US: u64 = 3_600_000_000;

/// Results by entry
#[derive(Debug, Default)]
pub struct ResultTable {
    rows: IndexMap<EntryName, ResultRow>,
}

/// Results of one entry
#[derive(Debug)]
pub struct ResultRow {
    /// Calls made
    pub sent: u64,
    /// Calls with a complete and correct answer
    pub right: u64,
    /// Calls refused as not run
    pub not_run: u64,
    /// Calls refused without a statement that they were not run
    pub unknown: u64,
    /// Calls with the answer to a different request
    pub wrong: u64,
    /// Calls without a complete answer
    pub cut: u64,
    first_us: Histogram<u64>,
    total_us: Histogram<u64>,
}

impl ResultTable {
    /// Adds a call under its last outcome
    pub fn add(&mut self, record: &CallRecord) {
        let row = self.rows.entry(record.call.entry().clone()).or_insert_with(ResultRow::new);
        row.sent += 1;
        match record.outcomes.last() {
            Some(CallOutcome::Right { first, total }) => {
                row.right += 1;
                row.first_us.saturating_record(first.as_micros() as u64);
                row.total_us.saturating_record(total.as_micros() as u64);
            }
            Some(CallOutcome::Wrong(_)) => row.wrong += 1,
            Some(outcome) if outcome.is_not_run() => row.not_run += 1,
            Some(CallOutcome::Refused { .. }) => row.unknown += 1,
            Some(CallOutcome::Cut(_)) | None => row.cut += 1,
        }
    }

    /// Number of calls
    pub fn sent(&self) -> u64 {
        self.rows.values().map(|it| it.sent).sum()
    }

    /// Number of calls answered correctly
    pub fn right(&self) -> u64 {
        self.rows.values().map(|it| it.right).sum()
    }

    /// Whether every call was answered correctly
    pub fn is_all_right(&self) -> bool {
        self.right() == self.sent()
    }
}

impl ResultRow {
    fn new() -> ResultRow {
        ResultRow {
            sent: 0,
            right: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            cut: 0,
            first_us: histogram(),
            total_us: histogram(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    // The bound and the number of digits are within the range that the library accepts.
    Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!())
}

impl fmt::Display for ResultTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<18} {:>6} {:>6} {:>8} {:>8} {:>6} {:>5} {:>10} {:>10} {:>10} {:>10}",
            "entry",
            "sent",
            "right",
            "not run",
            "unknown",
            "wrong",
            "cut",
            "first p50",
            "first p99",
            "whole p50",
            "whole p99"
        )?;
        for (entry, row) in &self.rows {
            writeln!(
                formatter,
                "{:<18} {:>6} {:>6} {:>8} {:>8} {:>6} {:>5} {:>10} {:>10} {:>10} {:>10}",
                entry,
                row.sent,
                row.right,
                row.not_run,
                row.unknown,
                row.wrong,
                row.cut,
                milliseconds(&row.first_us, 0.5),
                milliseconds(&row.first_us, 0.99),
                milliseconds(&row.total_us, 0.5),
                milliseconds(&row.total_us, 0.99),
            )?;
        }
        Ok(())
    }
}

fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> String {
    let time = Duration::from_micros(histogram.value_at_quantile(quantile));
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}
