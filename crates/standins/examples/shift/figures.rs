//! Figures of a day: goodput by kind of call, failures and latencies.

use crate::caller::{CallEnd, CallResult};
use crate::day::DayRecord;
use crate::options::ShiftOptions;
use crate::schedule::CallKind;
use hdrhistogram::Histogram;
use std::time::Duration;

const HIGHEST_MS: u64 = 120_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of one kind of call
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct KindFigures {
    pub offered: usize,
    pub good: usize,
    pub late: usize,
    pub refused: usize,
    pub refused_unknown: usize,
    pub cut: usize,
    pub wrong: usize,
    pub lost: usize,
}

impl KindFigures {
    fn add(&mut self, end: CallEnd) {
        self.offered += 1;
        match end {
            CallEnd::Good => self.good += 1,
            CallEnd::Late => self.late += 1,
            CallEnd::Refused => self.refused += 1,
            CallEnd::RefusedUnknown => self.refused_unknown += 1,
            CallEnd::Cut => self.cut += 1,
            CallEnd::Wrong => self.wrong += 1,
            CallEnd::Lost => self.lost += 1,
        }
    }

    /// Fraction of the calls answered completely, correctly and in time
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.good as f64 / self.offered as f64 }
    }
}

/// Percentiles in milliseconds
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct LatencyFigures {
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
}

#[derive(Debug, Clone, serde::Serialize)]
pub struct DayFigures {
    pub policy: String,
    pub seed: u64,
    pub load: f64,
    /// In the order of `CallKind::ALL`
    pub kinds: Vec<KindFigures>,
    /// Fraction of all generations answered completely, correctly and in time
    pub goodput: f64,
    pub role_changes: usize,
    pub cut_by_change: u32,
    pub conflicts: usize,
    pub doubled: usize,
    pub lost_once: usize,
    pub untrue_refusals: usize,
    pub first_token: LatencyFigures,
    pub between_tokens: LatencyFigures,
}

impl DayFigures {
    /// Figures of a recorded day
    pub fn of(record: &DayRecord, options: &ShiftOptions) -> DayFigures {
        let kinds: Vec<KindFigures> =
            CallKind::ALL.iter().map(|kind| kind_figures(&record.results, *kind)).collect();
        let generations: Vec<&CallResult> =
            record.results.iter().filter(|it| it.call.kind.is_generation()).collect();
        let good = generations.iter().filter(|it| it.end == CallEnd::Good).count();
        let firsts = generations.iter().filter_map(|it| it.first_token.as_ref());
        let gaps = generations.iter().flat_map(|it| it.gaps.iter());
        DayFigures {
            policy: options.policy.name(),
            seed: options.seed,
            load: options.load,
            goodput: good as f64 / generations.len().max(1) as f64,
            kinds,
            role_changes: record.role_changes,
            cut_by_change: record.cut_by_change,
            conflicts: record.conflicts,
            doubled: record.doubled,
            lost_once: record.lost_once,
            untrue_refusals: record.untrue_refusals,
            first_token: latencies(firsts),
            between_tokens: latencies(gaps),
        }
    }

    /// Goodput of the urgent class of requests
    pub fn urgent(&self) -> f64 {
        self.kinds[CallKind::Long as usize].goodput()
    }

    /// Prints the figures as a table
    pub fn print(&self) {
        println!(
            "policy={} seed={} load={:.2} goodput={:.4} urgent={:.4} role_changes={} \
             cut_by_change={} conflicts={} doubled={} lost_once={} untrue_refusals={}",
            self.policy,
            self.seed,
            self.load,
            self.goodput,
            self.urgent(),
            self.role_changes,
            self.cut_by_change,
            self.conflicts,
            self.doubled,
            self.lost_once,
            self.untrue_refusals,
        );
        for (kind, figures) in CallKind::ALL.iter().zip(&self.kinds) {
            println!(
                "  {:<5} offered={:<5} good={:<5} late={:<4} refused={:<4} unknown={:<3} \
                 cut={:<3} wrong={:<2} lost={:<2} goodput={:.4}",
                kind.name(),
                figures.offered,
                figures.good,
                figures.late,
                figures.refused,
                figures.refused_unknown,
                figures.cut,
                figures.wrong,
                figures.lost,
                figures.goodput(),
            );
        }
        print_latency("first token", &self.first_token);
        print_latency("between tokens", &self.between_tokens);
    }
}

fn print_latency(name: &str, it: &LatencyFigures) {
    println!("  {name}: p50={:.1} p95={:.1} p99={:.1} ms", it.p50_ms, it.p95_ms, it.p99_ms);
}

fn kind_figures(results: &[CallResult], kind: CallKind) -> KindFigures {
    let mut figures = KindFigures::default();
    for result in results.iter().filter(|it| it.call.kind == kind) {
        figures.add(result.end);
    }
    figures
}

fn latencies<'a>(times: impl Iterator<Item = &'a Duration>) -> LatencyFigures {
    let Ok(mut histogram) =
        Histogram::<u64>::new_with_bounds(1, HIGHEST_MS * 1_000, SIGNIFICANT_DIGITS)
    else {
        return LatencyFigures::default();
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let percentile = |percent: f64| histogram.value_at_percentile(percent) as f64 / 1_000.0;
    LatencyFigures { p50_ms: percentile(50.0), p95_ms: percentile(95.0), p99_ms: percentile(99.0) }
}
