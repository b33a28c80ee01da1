//! Records of the log, with retention and a token-bucket rate limit.

use super::LogSettings;
use catalogue::id::{Offset, StreamName};
use indexmap::IndexMap;
use platform::log::{LogBatch, LogError, LogRecord};
use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const MAX_BATCH: usize = 1_000;
/// Capacity of the token bucket, as the time that fills it.
const BURST: Duration = Duration::from_millis(250);

/// All streams
pub(super) struct LogStore {
    streams: IndexMap<StreamName, LogStream>,
    appends_per_s: f64,
    retention: Duration,
    append_budget: f64,
    refilled_at: Instant,
    started_at: Instant,
    started_ms: u64,
    appends: u64,
}

struct LogStream {
    next: Offset,
    records: VecDeque<(Instant, LogRecord)>,
}

impl LogStore {
    pub(super) fn new(settings: LogSettings, now: Instant) -> LogStore {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        LogStore {
            streams: IndexMap::new(),
            appends_per_s: settings.appends_per_s,
            retention: Duration::from_millis(settings.retention_ms),
            append_budget: burst(settings.appends_per_s),
            refilled_at: now,
            started_at: now,
            started_ms: unix.as_millis() as u64,
            appends: 0,
        }
    }

    pub(super) fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    pub(super) fn append_count(&self) -> u64 {
        self.appends
    }

    pub(super) fn streams(&self) -> Vec<StreamName> {
        self.streams.keys().cloned().collect()
    }

    pub(super) fn append(
        &mut self,
        stream: StreamName,
        data: String,
        now: Instant,
    ) -> Result<Offset, LogError> {
        self.take_append(now)?;
        self.appends += 1;
        let time_ms = self.started_ms + (now - self.started_at).as_millis() as u64;
        let stream = self
            .streams
            .entry(stream)
            .or_insert_with(|| LogStream { next: 1, records: VecDeque::new() });
        let offset = stream.next;
        stream.next += 1;
        stream.records.push_back((now, LogRecord { offset, time_ms, data }));
        Ok(offset)
    }

    pub(super) fn batch(&mut self, stream: &str, from: Offset, max: u32, now: Instant) -> LogBatch {
        let Some(stream) = self.streams.get_mut(stream) else {
            return LogBatch { earliest: 1, next: 1, records: Vec::new() };
        };
        stream.expire(self.retention, now);
        let earliest = stream.earliest();
        let skip = from.saturating_sub(earliest) as usize;
        let take = if max == u32::MAX { usize::MAX } else { (max as usize).min(MAX_BATCH) };
        let records = stream.records.iter().skip(skip).take(take);
        let records = records.map(|(_, record)| record.clone()).collect();
        LogBatch { earliest, next: stream.next, records }
    }

    fn take_append(&mut self, now: Instant) -> Result<(), LogError> {
        let refill = (now - self.refilled_at).as_secs_f64() * self.appends_per_s;
        self.append_budget = (self.append_budget + refill).min(burst(self.appends_per_s));
        self.refilled_at = now;
        if self.append_budget < 1.0 {
            return Err(LogError::RateLimited);
        }
        self.append_budget -= 1.0;
        Ok(())
    }
}

impl LogStream {
    fn earliest(&self) -> Offset {
        self.records.front().map_or(self.next, |(_, record)| record.offset)
    }

    fn expire(&mut self, retention: Duration, now: Instant) {
        while self.records.front().is_some_and(|(at, _)| now - *at > retention) {
            self.records.pop_front();
        }
    }
}

fn burst(appends_per_s: f64) -> f64 {
    (appends_per_s * BURST.as_secs_f64()).max(1.0)
}
