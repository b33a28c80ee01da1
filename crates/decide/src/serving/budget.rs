//! Budget of repeated sends.
//!
//! All instances together may send a bounded share of a pool's requests a second
//! time, in any window, with some slack on top. Each keeps to the share of its own
//! requests and to its part of the slack.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the allowed share that is used; requests at the window's edges may not count.
const SHARE_USED: f64 = 0.75;
/// Part of the slack that is used; an instance that starts again has forgotten what it spent.
const SLACK_USED: f64 = 0.4;

/// Terms of the deployment
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Repeated sends allowed for each request
    pub ratio: f64,
    /// Window in which they are counted
    pub window: Duration,
    /// Repeated sends allowed beside the ratio, for all instances together
    pub slack: f64,
}

/// Sends of one instance to one pool
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Notes a request for the pool
    pub fn request(&mut self, terms: &BudgetTerms, now: Instant) {
        expire(&mut self.requests, terms.window, now);
        self.requests.push_back(now);
    }

    /// Whether a repeated send is left, with `instances` that share the slack
    pub fn has_one(&mut self, terms: &BudgetTerms, instances: usize, now: Instant) -> bool {
        expire(&mut self.requests, terms.window, now);
        expire(&mut self.repeats, terms.window, now);
        let share = terms.ratio * SHARE_USED * self.requests.len() as f64;
        let slack = terms.slack * SLACK_USED / instances.max(1) as f64;
        (self.repeats.len() as f64) + 1.0 <= share + slack
    }

    /// Takes a repeated send, if one is left
    pub fn take(&mut self, terms: &BudgetTerms, instances: usize, now: Instant) -> bool {
        let has_one = self.has_one(terms, instances, now);
        if has_one {
            self.repeats.push_back(now);
        }
        has_one
    }
}

fn expire(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|it| now.saturating_duration_since(*it) > window) {
        times.pop_front();
    }
}
