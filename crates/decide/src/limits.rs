//! Limits of an entry on one instance.
//!
//! The entry's limits apply to all instances together. Its home grants each instance a
//! share for a short time, in proportion to the reported demand. An instance without a
//! valid grant falls back to a local share, half of an even share, so that the total stays
//! bounded while the home changes or peers are unreachable.

use catalogue::EntryLimits;
use catalogue::id::TokenCount;
use std::time::{Duration, Instant};

/// Fraction of an even share that an instance may use without a grant.
pub const LOCAL_SHARE_FRACTION: f64 = 0.5;
/// Burst: time whose allowance may be used at once.
const BURST: Duration = Duration::from_millis(500);
/// Window over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Amount of each limit
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitRates {
    pub requests_per_s: f64,
    /// Prompt and output tokens per second
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

    /// Combines each amount with that of `other`
    pub fn zip(&self, other: &LimitRates, merge: impl Fn(f64, f64) -> f64) -> LimitRates {
        LimitRates {
            requests_per_s: merge(self.requests_per_s, other.requests_per_s),
            tokens_per_s: merge(self.tokens_per_s, other.tokens_per_s),
            in_flight: merge(self.in_flight, other.in_flight),
        }
    }
}

/// Demand that an instance reports to the home of an entry
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitDemand {
    /// Demanded amounts, including those of refused requests
    pub rates: LimitRates,
    /// Requests in flight now
    pub in_flight: u32,
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

/// Limit that refused a request; the request has not run
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum LimitRefusal {
    /// entry has reached its limit of requests per second, retry after {retry_after:?}
    Requests {
        /// Time after which the client may retry
        retry_after: Duration,
    },
    /// entry has reached its limit of tokens per second, retry after {retry_after:?}
    Tokens {
        /// Time after which the client may retry
        retry_after: Duration,
    },
    /// entry has reached its limit of requests in flight, retry after {retry_after:?}
    InFlight {
        /// Time after which the client may retry
        retry_after: Duration,
    },
}

impl std::error::Error for LimitRefusal {}

impl LimitRefusal {
    /// Time after which the client may retry
    pub fn retry_after(&self) -> Duration {
        match self {
            LimitRefusal::Requests { retry_after }
            | LimitRefusal::Tokens { retry_after }
            | LimitRefusal::InFlight { retry_after } => *retry_after,
        }
    }

    /// Name in logs and metrics
    pub fn name(&self) -> &'static str {
        match self {
            LimitRefusal::Requests { .. } => "requests_per_s",
            LimitRefusal::Tokens { .. } => "tokens_per_s",
            LimitRefusal::InFlight { .. } => "in_flight",
        }
    }
}

/// Token bucket whose level may become negative after a large request
#[derive(Debug, Clone, Copy)]
struct RateBucket {
    level: f64,
    rate: f64,
    filled_at: Instant,
}

impl RateBucket {
    fn new(rate: f64, now: Instant) -> RateBucket {
        RateBucket { level: capacity(rate), rate, filled_at: now }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(capacity(self.rate));
        self.filled_at = now;
    }

    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(capacity(rate));
    }

    /// Time until a request of this cost is allowed
    fn wait(&self, cost: f64) -> Duration {
        let missing = cost.min(capacity(self.rate)) - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }
}

/// Capacity of a bucket: the burst, and at least one request
fn capacity(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}

/// Limiter of one entry on one instance
#[derive(Debug, Clone)]
pub struct EntryLimiter {
    limits: LimitRates,
    instances: usize,
    grant_expires: Option<Instant>,
    granted: LimitRates,
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u32,
    demand: DemandMeter,
}

impl EntryLimiter {
    /// Creates the limiter of an entry whose limits apply to `instances` instances together
    pub fn new(limits: LimitRates, instances: usize, now: Instant) -> EntryLimiter {
        let share = local_share(&limits, instances);
        EntryLimiter {
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

    /// Applies new limits or a new number of listed instances; drops the grant if either differs
    pub fn update_limits(&mut self, limits: LimitRates, instances: usize, now: Instant) {
        if (limits, instances) == (self.limits, self.instances) {
            return;
        }
        self.limits = limits;
        self.instances = instances;
        self.grant_expires = None;
        self.apply(local_share(&limits, instances), now);
    }

    /// Applies a grant; `expires` is counted from before the grant was requested
    pub fn apply_grant(&mut self, rates: LimitRates, expires: Instant, now: Instant) {
        if expires <= now {
            return;
        }
        self.grant_expires = Some(expires);
        self.apply(rates, now);
    }

    /// Starts a request if the limits allow it
    ///
    /// # Errors
    /// The limit that refuses the request, which must then not run.
    pub fn try_start(&mut self, tokens: TokenCount, now: Instant) -> Result<(), LimitRefusal> {
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

    /// Records the end of a request that was started
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests in flight
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Current demand, to be reported to the entry's home
    pub fn demand(&mut self, now: Instant) -> LimitDemand {
        let rates = self.demand.rates(self.in_flight, now);
        LimitDemand { rates, in_flight: self.in_flight }
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
    limits.scaled(LOCAL_SHARE_FRACTION / instances.max(1) as f64)
}

/// Demand over the current and the last window
#[derive(Debug, Clone, Copy)]
struct DemandMeter {
    window_start: Instant,
    requests: f64,
    tokens: f64,
    arrivals: f64,
    last: LimitRates,
}

impl DemandMeter {
    fn new(now: Instant) -> DemandMeter {
        DemandMeter {
            window_start: now,
            requests: 0.0,
            tokens: 0.0,
            arrivals: 0.0,
            last: LimitRates::default(),
        }
    }

    fn arrived(&mut self, tokens: f64, now: Instant) {
        self.roll(now);
        self.requests += 1.0;
        self.tokens += tokens;
        self.arrivals += 1.0;
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
            in_flight: self.arrivals,
        };
        self.window_start = now;
        (self.requests, self.tokens, self.arrivals) = (0.0, 0.0, 0.0);
    }

    fn rates(&mut self, in_flight: u32, now: Instant) -> LimitRates {
        self.roll(now);
        let elapsed = now.saturating_duration_since(self.window_start).as_secs_f64();
        let seconds = elapsed.max(DEMAND_WINDOW.as_secs_f64());
        let current = LimitRates {
            requests_per_s: self.requests / seconds,
            tokens_per_s: self.tokens / seconds,
            in_flight: self.arrivals,
        };
        let mut rates = current.zip(&self.last, f64::max);
        rates.in_flight += f64::from(in_flight);
        rates
    }
}
