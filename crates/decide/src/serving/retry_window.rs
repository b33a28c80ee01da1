//! Limit on retries over a sliding window.
//!
//! In any window, all instances together may retry a bounded fraction of a pool's
//! requests, plus a fixed allowance (the slack). Each instance applies the fraction to
//! its own requests and uses an equal share of the slack, which it earns over the first
//! window after its start. One that doesn't know how many instances there are has none.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the allowed ratio that is used, since requests at the edges of the window may not count.
const USED_RATIO_FRACTION: f64 = 0.75;
/// Fraction of the slack that is used: a restarted instance has lost its record of past retries, so that a
/// window may hold the share from before the restart and the one earned since.
const USED_SLACK_FRACTION: f64 = 0.4;

/// Fraction of the allowed retries that hedges may use; the rest is for retries.
const SPARE_FRACTION: f64 = 0.5;

/// Retry limits of the deployment
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request
    pub ratio: f64,
    /// Length of the sliding window
    pub window: Duration,
    /// Retries per window allowed on top of the ratio, over all instances
    pub slack: f64,
}

impl RetryLimits {
    /// Slack of one of `instances` instances, `uptime` after its start; none if their number isn't known
    pub fn slack_share(&self, instances: Option<usize>, uptime: Duration) -> f64 {
        let Some(instances) = instances else { return 0.0 };
        let earned = (uptime.as_secs_f64() / self.window.as_secs_f64()).min(1.0);
        self.slack * USED_SLACK_FRACTION * earned / instances.max(1) as f64
    }
}

/// Requests and retries of one instance to one pool within the window
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Records a request to the pool
    pub fn record_request(&mut self, limits: &RetryLimits, now: Instant) {
        expire(&mut self.requests, limits.window, now);
        self.requests.push_back(now);
    }

    /// Whether a retry is allowed now, with this share of the slack
    pub fn has_retry(&mut self, limits: &RetryLimits, slack: f64, now: Instant) -> bool {
        expire(&mut self.requests, limits.window, now);
        expire(&mut self.retries, limits.window, now);
        let allowed_by_ratio = limits.ratio * USED_RATIO_FRACTION * self.requests.len() as f64;
        (self.retries.len() as f64) + 1.0 <= allowed_by_ratio + slack
    }

    /// Whether less than half of the allowed retries are used, so that others than retries may use one
    pub fn has_spare(&mut self, limits: &RetryLimits, slack: f64, now: Instant) -> bool {
        if !self.has_retry(limits, slack, now) {
            return false;
        }
        let allowed_by_ratio = limits.ratio * USED_RATIO_FRACTION * self.requests.len() as f64;
        (self.retries.len() as f64) < (allowed_by_ratio + slack) * SPARE_FRACTION
    }

    /// Records a retry if one is allowed; `false` otherwise
    pub fn try_take(&mut self, limits: &RetryLimits, slack: f64, now: Instant) -> bool {
        let is_allowed = self.has_retry(limits, slack, now);
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

fn expire(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|it| now.saturating_duration_since(*it) > window) {
        times.pop_front();
    }
}
