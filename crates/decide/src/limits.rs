//! Limits of an entry on one instance.
//!
//! The entry's limits hold for all instances together. Its home grants each of them
//! a part for a short time, by the demand that they report. An instance without a
//! valid grant falls back to a safe local share: half of an even part, so that the
//! total stays bounded while homes change or peers are out of reach.

use catalogue::EntryLimits;
use catalogue::id::TokenCount;
use std::time::{Duration, Instant};

/// Part of an even share that an instance may use without a grant.
pub const LOCAL_SHARE: f64 = 0.5;
/// Time over which a rate may be used up at once.
const BURST: Duration = Duration::from_millis(500);
/// Time over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Amounts of each limit
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitRates {
    /// Requests a second
    pub requests_per_s: f64,
    /// Prompt and output tokens a second
    pub tokens_per_s: f64,
    /// Requests in flight
    pub in_flight: f64,
}

impl LimitRates {
    /// Each amount multiplied by a factor
    pub fn scaled(&self, factor: f64) -> LimitRates {
        LimitRates {
            requests_per_s: self.requests_per_s * factor,
            tokens_per_s: self.tokens_per_s * factor,
            in_flight: self.in_flight * factor,
        }
    }

    /// Amounts made of two by a function applied to each
    pub fn zip(&self, other: &LimitRates, merge: impl Fn(f64, f64) -> f64) -> LimitRates {
        LimitRates {
            requests_per_s: merge(self.requests_per_s, other.requests_per_s),
            tokens_per_s: merge(self.tokens_per_s, other.tokens_per_s),
            in_flight: merge(self.in_flight, other.in_flight),
        }
    }
}

/// What an instance tells the home of an entry
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitDemand {
    /// Amounts asked for, refused requests included
    pub rates: LimitRates,
    /// Requests in flight now
    pub held: u32,
}

impl From<&EntryLimits> for LimitRates {
    fn from(limits: &EntryLimits) -> LimitRates {
        LimitRates {
            requests_per_s: limits.requests_per_s,
            tokens_per_s: limits.tokens_per_s,
            in_flight: f64::from(limits.in_flight),
        }
    }
}

/// Limit that a request ran into; it has not run
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum LimitRefusal {
    /// entry has used its requests a second, come again after {retry_after:?}
    Requests {
        /// When to come again
        retry_after: Duration,
    },
    /// entry has used its tokens a second, come again after {retry_after:?}
    Tokens {
        /// When to come again
        retry_after: Duration,
    },
    /// entry has too many requests in flight, come again after {retry_after:?}
    InFlight {
        /// When to come again
        retry_after: Duration,
    },
}

impl std::error::Error for LimitRefusal {}

impl LimitRefusal {
    /// When to come again
    pub fn retry_after(&self) -> Duration {
        match self {
            LimitRefusal::Requests { retry_after }
            | LimitRefusal::Tokens { retry_after }
            | LimitRefusal::InFlight { retry_after } => *retry_after,
        }
    }

    /// Name as it stands in logs and metrics
    pub fn name(&self) -> &'static str {
        match self {
            LimitRefusal::Requests { .. } => "requests_per_s",
            LimitRefusal::Tokens { .. } => "tokens_per_s",
            LimitRefusal::InFlight { .. } => "in_flight",
        }
    }
}

/// Token bucket whose level may be below zero after a large request
#[derive(Debug, Clone, Copy)]
struct RateBucket {
    level: f64,
    rate: f64,
    filled_at: Instant,
}

impl RateBucket {
    fn new(rate: f64, now: Instant) -> RateBucket {
        RateBucket { level: depth(rate), rate, filled_at: now }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(depth(self.rate));
        self.filled_at = now;
    }

    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(depth(rate));
    }

    /// Time until a request of this cost may pass
    fn wait(&self, cost: f64) -> Duration {
        let missing = cost.min(depth(self.rate)) - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }
}

/// Most that a bucket holds: the burst, and at least one request
fn depth(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}

/// Meter of one entry on one instance
#[derive(Debug, Clone)]
pub struct EntryMeter {
    limits: LimitRates,
    instances: usize,
    grant_expires: Option<Instant>,
    granted: LimitRates,
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u32,
    demand: DemandMeter,
}

impl EntryMeter {
    /// Meter of an entry with these limits over all of `instances` instances
    pub fn new(limits: LimitRates, instances: usize, now: Instant) -> EntryMeter {
        let share = local_share(&limits, instances);
        EntryMeter {
            limits,
            instances,
            grant_expires: None,
            granted: share,
            requests: RateBucket::new(share.requests_per_s, now),
            tokens: RateBucket::new(share.tokens_per_s, now),
            in_flight: 0,
            demand: DemandMeter::new(now),
        }
    }

    /// Takes in new limits or a new number of listed instances
    pub fn resize(&mut self, limits: LimitRates, instances: usize, now: Instant) {
        if (limits, instances) == (self.limits, self.instances) {
            return;
        }
        self.limits = limits;
        self.instances = instances;
        self.grant_expires = None;
        self.apply(local_share(&limits, instances), now);
    }

    /// Takes in a grant whose lifetime is counted from before it was asked for
    pub fn grant(&mut self, rates: LimitRates, expires: Instant, now: Instant) {
        if expires <= now {
            return;
        }
        self.grant_expires = Some(expires);
        self.apply(rates, now);
    }

    /// Starts a request if the limits allow it
    ///
    /// # Errors
    /// The limit that it ran into; the request must then not run.
    pub fn start(&mut self, tokens: TokenCount, now: Instant) -> Result<(), LimitRefusal> {
        let cost = f64::from(tokens);
        self.demand.arrived(cost, now);
        self.expire(now);
        self.requests.fill(now);
        self.tokens.fill(now);
        if f64::from(self.in_flight) + 1.0 > self.granted.in_flight.max(1.0) {
            return Err(LimitRefusal::InFlight { retry_after: DEMAND_WINDOW });
        }
        let wait = self.requests.wait(1.0);
        if !wait.is_zero() {
            return Err(LimitRefusal::Requests { retry_after: wait });
        }
        let wait = self.tokens.wait(cost);
        if !wait.is_zero() {
            return Err(LimitRefusal::Tokens { retry_after: wait });
        }
        self.requests.level -= 1.0;
        self.tokens.level -= cost;
        self.in_flight += 1;
        Ok(())
    }

    /// Ends a request that was started
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests in flight
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Demand to report to the entry's home
    pub fn demand(&mut self, now: Instant) -> LimitDemand {
        let rates = self.demand.rates(self.in_flight, now);
        LimitDemand { rates, held: self.in_flight }
    }

    fn expire(&mut self, now: Instant) {
        if self.grant_expires.is_some_and(|it| it <= now) {
            self.grant_expires = None;
            self.apply(local_share(&self.limits, self.instances), now);
        }
    }

    fn apply(&mut self, rates: LimitRates, now: Instant) {
        self.granted = rates;
        self.requests.set_rate(rates.requests_per_s, now);
        self.tokens.set_rate(rates.tokens_per_s, now);
    }
}

fn local_share(limits: &LimitRates, instances: usize) -> LimitRates {
    limits.scaled(LOCAL_SHARE / instances.max(1) as f64)
}

/// Demand over the last window
#[derive(Debug, Clone, Copy)]
struct DemandMeter {
    window_start: Instant,
    requests: f64,
    tokens: f64,
    waiting: f64,
    last: LimitRates,
}

impl DemandMeter {
    fn new(now: Instant) -> DemandMeter {
        DemandMeter {
            window_start: now,
            requests: 0.0,
            tokens: 0.0,
            waiting: 0.0,
            last: LimitRates::default(),
        }
    }

    fn arrived(&mut self, tokens: f64, now: Instant) {
        self.roll(now);
        self.requests += 1.0;
        self.tokens += tokens;
        self.waiting += 1.0;
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let seconds = elapsed.as_secs_f64();
        self.last = LimitRates {
            requests_per_s: self.requests / seconds,
            tokens_per_s: self.tokens / seconds,
            in_flight: self.waiting,
        };
        self.window_start = now;
        (self.requests, self.tokens, self.waiting) = (0.0, 0.0, 0.0);
    }

    fn rates(&mut self, in_flight: u32, now: Instant) -> LimitRates {
        self.roll(now);
        let elapsed = now.saturating_duration_since(self.window_start).as_secs_f64();
        let seconds = elapsed.max(DEMAND_WINDOW.as_secs_f64());
        let current = LimitRates {
            requests_per_s: self.requests / seconds,
            tokens_per_s: self.tokens / seconds,
            in_flight: self.waiting,
        };
        let mut rates = current.zip(&self.last, f64::max);
        rates.in_flight += f64::from(in_flight);
        rates
    }
}
