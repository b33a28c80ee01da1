//! Demand of all instances for the engines of a pool.
//!
//! Instances know the prompt tokens that engines have yet to read and the requests in
//! flight, as sums over all of them. By Little's law, the work asked for a second is the mean
//! unread work divided by the mean time for which a token is unread, which each
//! instance measures at its own sends. So nothing has to be counted in messages, and the
//! estimate is as good with hundreds of instances as with few. The time is averaged over
//! much longer than the tokens: when queues build up, the estimate rises beyond what the
//! engines complete.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which demand is averaged; shorter ones count the random spread of arrivals as peaks.
pub const MEAN_TIME: Duration = Duration::from_secs(1);
/// Time over which the peak is taken: nearly two of the swings of 11 s that were recorded.
pub const PEAK_TIME: Duration = Duration::from_secs(20);
/// Interval in which one peak is kept.
const PEAK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the weight of a measured time halves.
const READ_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time for which tokens are assumed to be unread before any was measured; from recorded days.
const INITIAL_READ: Duration = Duration::from_millis(60);
/// Shortest mean time; divisions by less would turn noise into demand.
const MIN_READ: Duration = Duration::from_millis(2);
/// Token-seconds of initial weight, so that the first few sends don't decide.
const INITIAL_TOKENS: f64 = 10_000.0;
/// Requests added to those asked, so that one refusal of few requests isn't a shortage.
const ASKED_MARGIN: f64 = 20.0;

/// Work in flight at the engines of a pool, of all instances
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandSample {
    /// Time that an engine of the stage `prefill` needs for the prompts that engines have yet to read, in milliseconds
    pub unread_ms: f64,
    /// Requests in flight
    pub requests: f64,
    /// Engines that have yet to read a prompt
    pub busy: f64,
}

/// Demand for the engines of a pool
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineDemand {
    /// Time of an engine of the stage `prefill` asked for a second, in milliseconds
    pub read_ms_per_s: f64,
    /// Requests in flight
    pub requests: f64,
    /// Engines that have a prompt to read
    pub busy: f64,
    /// Fraction of the own requests that were refused for lack of capacity
    pub refused: f64,
}

impl EngineDemand {
    fn max(self, other: EngineDemand) -> EngineDemand {
        EngineDemand {
            read_ms_per_s: self.read_ms_per_s.max(other.read_ms_per_s),
            requests: self.requests.max(other.requests),
            busy: self.busy.max(other.busy),
            refused: self.refused.max(other.refused),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct MeterEntry {
    at: Instant,
    sample: DemandSample,
    asked: u32,
    refused: u32,
}

/// Measures the demand for the engines of a pool
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    entries: VecDeque<MeterEntry>,
    peaks: VecDeque<(Instant, EngineDemand)>,
    /// Tokens read and token-seconds unread, both decaying
    read: (f64, f64),
    decayed_at: Option<Instant>,
    asked: u32,
    refused: u32,
    started_at: Option<Instant>,
    /// Time of the last sample with any request
    last_work_at: Option<Instant>,
}

impl DemandMeter {
    /// Records that an engine has read tokens of a prompt that this instance sent
    pub fn record_read(&mut self, tokens: u64, took: Duration) {
        let tokens = tokens as f64;
        self.read.0 += tokens;
        self.read.1 += tokens * took.as_secs_f64();
    }

    /// Records a request that this instance received
    pub fn record_asked(&mut self) {
        self.asked += 1;
    }

    /// Records a request that this instance refused for lack of capacity
    pub fn record_refused(&mut self) {
        self.refused += 1;
    }

    /// Forgets the samples, since there were none for a time
    pub fn restart(&mut self) {
        self.entries.clear();
        self.peaks.clear();
        (self.asked, self.refused) = (0, 0);
        (self.started_at, self.last_work_at) = (None, None);
    }

    /// Records the work in flight; about ten times a second
    pub fn record(&mut self, sample: DemandSample, now: Instant) {
        self.started_at.get_or_insert(now);
        self.decay(now);
        if sample.requests > 0.0 {
            self.last_work_at = Some(now);
        }
        let (asked, refused) = (std::mem::take(&mut self.asked), std::mem::take(&mut self.refused));
        self.entries.push_back(MeterEntry { at: now, sample, asked, refused });
        let is_older = |at: Instant, time| now.saturating_duration_since(at) >= time;
        while self.entries.front().is_some_and(|it| is_older(it.at, MEAN_TIME)) {
            self.entries.pop_front();
        }
        let current = self.current();
        match self.peaks.back_mut() {
            Some((at, peak)) if !is_older(*at, PEAK_INTERVAL) => *peak = peak.max(current),
            _ => self.peaks.push_back((now, current)),
        }
        while self.peaks.front().is_some_and(|it| is_older(it.0, PEAK_TIME)) {
            self.peaks.pop_front();
        }
    }

    /// Mean demand of about the last second
    pub fn current(&self) -> EngineDemand {
        let count = self.entries.len().max(1) as f64;
        let mean = |value: fn(&DemandSample) -> f64| {
            self.entries.iter().map(|it| value(&it.sample)).sum::<f64>() / count
        };
        let asked = self.entries.iter().map(|it| f64::from(it.asked)).sum::<f64>();
        let refused = self.entries.iter().map(|it| f64::from(it.refused)).sum::<f64>();
        EngineDemand {
            read_ms_per_s: mean(|it| it.unread_ms) / self.read_time().as_secs_f64(),
            requests: mean(|it| it.requests),
            busy: mean(|it| it.busy),
            refused: (refused / (asked + ASKED_MARGIN)).min(0.9),
        }
    }

    /// Highest demand of the last `PEAK_TIME`
    pub fn peak(&self) -> EngineDemand {
        self.peaks.iter().fold(EngineDemand::default(), |peak, it| peak.max(it.1))
    }

    /// Time for which samples have been recorded
    pub fn measured_for(&self, now: Instant) -> Duration {
        self.started_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it))
    }

    /// Time since there was any work; `None` if there has been none
    pub fn idle_for(&self, now: Instant) -> Option<Duration> {
        self.last_work_at.map(|it| now.saturating_duration_since(it))
    }

    fn read_time(&self) -> Duration {
        let tokens = self.read.0 + INITIAL_TOKENS;
        let seconds = self.read.1 + INITIAL_TOKENS * INITIAL_READ.as_secs_f64();
        Duration::try_from_secs_f64(seconds / tokens).unwrap_or(INITIAL_READ).max(MIN_READ)
    }

    fn decay(&mut self, now: Instant) {
        let before = self.decayed_at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(before).as_secs_f64();
        let factor = 0.5_f64.powf(passed / READ_HALF_LIFE.as_secs_f64());
        self.read = (self.read.0 * factor, self.read.1 * factor);
    }
}
