//! Whether and when a second copy of a request goes to another endpoint.
//!
//! A request that may be repeated is hedged once it has waited longer than nearly all
//! recent requests of its pool waited for their first byte. That delay is learned, so that
//! endpoints which are all equally slow are not asked twice. A pool's hedges are bounded by
//! the operators' ratio. Endpoints that are slower than the others are remembered, so that
//! they are picked first only now and then: otherwise a tenth of slow endpoints would need
//! a hedge for each tenth request.

use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Recent times to the first byte that the delay is learned from, at least and at most.
const MIN_TIMES: usize = 32;
const MAX_TIMES: usize = 256;
/// Age from which a time no longer counts.
const TIME_LIFETIME: Duration = Duration::from_secs(20);
/// New times after which the quantiles are computed again.
const QUANTILE_INTERVAL: usize = 16;
/// Quantile of the times that is the delay before a hedge. With 0.95, one request in twenty would be
/// hedged if the ratio allowed it; the earlier quantiles send more copies that lose.
const DELAY_QUANTILE: f64 = 0.95;
/// Shortest delay in multiples of the median. Times of healthy endpoints vary little, so that the quantile alone would
/// spend the whole ratio on copies that gain nothing.
const MIN_DELAY_MEDIANS: f64 = 2.0;
/// Largest ratio that is used, whatever the configuration allows: a copy costs as much as a request.
const MAX_RATIO: f64 = 0.03;
/// Window over which hedges are counted against requests.
const RATIO_WINDOW: Duration = Duration::from_secs(10);
/// Part of the recent requests beyond the delay from which the cause is common to all endpoints, so that another one
/// is no faster.
const MAX_LATE_FRACTION: f64 = 0.25;
/// Number of latest requests of which that part is taken.
const LATE_REQUESTS: usize = 32;
/// Time after a refusal for lack of capacity in which none are sent.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);
/// Part of its slots up to which an endpoint takes hedges; the rest is for first sends.
const MAX_SLOT_FRACTION: f64 = 0.5;
/// Time left of a request in multiples of the median, below which a second copy would come too late.
const MIN_TIME_LEFT_MEDIANS: f64 = 2.0;
/// Weight of one time in an endpoint's factor, and the ratios that one counts as.
const FACTOR_WEIGHT: f64 = 0.3;
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);
/// Factor from which an endpoint is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Time after which an endpoint's factor has returned half of the way to 1.
const FACTOR_HALF_LIFE: Duration = Duration::from_secs(10);

/// Requests in flight that a slow endpoint counts as besides its own, so that others are picked before it.
pub const SLOW_PENALTY_REQUESTS: u32 = 3;

/// Reason for which no hedge is sent
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HedgeReason {
    /// The configuration allows none
    Off,
    /// Too few recent times to learn the delay from
    Unlearned,
    /// Requests were refused for lack of capacity lately
    Overload,
    /// Many requests wait longer than usual: all endpoints are slow
    CommonCause,
    /// No other endpoint has room
    Full,
    /// The store or the other instances are not reached, so that what is known of the load is out of date
    OutOfDate,
    /// The deadline is too near
    NearDeadline,
    /// The request is suspected of crashing endpoints
    Suspected,
    /// The ratio is used up
    Ratio,
    /// The retries need what is left of their limits
    Retries,
}

impl HedgeReason {
    /// Name in log lines and metrics
    pub fn name(self) -> &'static str {
        match self {
            HedgeReason::Off => "off",
            HedgeReason::Unlearned => "unlearned",
            HedgeReason::Overload => "overload",
            HedgeReason::CommonCause => "common_cause",
            HedgeReason::Full => "full",
            HedgeReason::OutOfDate => "out_of_date",
            HedgeReason::NearDeadline => "near_deadline",
            HedgeReason::Suspected => "suspected",
            HedgeReason::Ratio => "ratio",
            HedgeReason::Retries => "retries",
        }
    }
}

/// What decides about one hedge, beside the pool's history
#[derive(Debug, Clone, Copy)]
pub struct HedgeRequest {
    /// Hedges that the configuration allows per request
    pub ratio: f64,
    /// Time left until the request's deadline
    pub time_left: Duration,
    /// Whether it is suspected of crashing endpoints
    pub is_suspected: bool,
    /// Whether store and other instances are reached
    pub is_current: bool,
    /// Requests in flight at the endpoint that would get the copy, and its slots; `None` if there is none
    pub target_load: Option<(u32, u32)>,
    /// Whether the limits on retries have more than the retries need
    pub has_spare_retries: bool,
}

/// Time of a pool's endpoint relative to the others', as a logarithm
#[derive(Debug, Clone, Copy)]
struct EndpointPace {
    logarithm: f64,
    updated_at: Instant,
}

impl EndpointPace {
    fn logarithm_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.logarithm * 0.5_f64.powf(age.as_secs_f64() / FACTOR_HALF_LIFE.as_secs_f64())
    }
}

/// Recent requests of one pool, as far as hedges depend on them
#[derive(Debug, Clone, Default)]
pub struct HedgeHistory {
    times: VecDeque<(Instant, f64)>,
    unsorted: usize,
    median_ms: f64,
    delay_ms: Option<f64>,
    /// Whether each of the latest requests has waited beyond the delay, the newest last
    late: VecDeque<bool>,
    requests: VecDeque<Instant>,
    hedges: VecDeque<Instant>,
    refused_at: Option<Instant>,
    paces: IndexMap<EndpointId, EndpointPace>,
}

impl HedgeHistory {
    /// Records a request that may be hedged, once it is sent
    pub fn record_request(&mut self, now: Instant) {
        expire(&mut self.requests, now);
        self.requests.push_back(now);
    }

    /// Records a refusal for lack of capacity, by an endpoint or the gateway
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Records that the wait for the first byte of a request is over, or how long it was when a copy won
    pub fn record_time(&mut self, endpoint: &EndpointId, took: Duration, now: Instant) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if self.median_ms > 0.0 {
            self.update_pace(endpoint, took_ms / self.median_ms, now);
        }
        let is_late = self.delay_ms.is_some_and(|it| took_ms > it);
        if self.late.len() >= LATE_REQUESTS {
            self.late.pop_front();
        }
        self.late.push_back(is_late);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= TIME_LIFETIME;
        while self.times.len() >= MAX_TIMES || self.times.front().is_some_and(|it| is_old(it.0)) {
            self.times.pop_front();
        }
        self.times.push_back((now, took_ms));
        self.unsorted += 1;
        if self.unsorted >= QUANTILE_INTERVAL || self.delay_ms.is_none() {
            self.compute_quantiles();
        }
    }

    fn compute_quantiles(&mut self) {
        self.unsorted = 0;
        if self.times.len() < MIN_TIMES {
            self.delay_ms = None;
            return;
        }
        let mut times = self.times.iter().map(|it| it.1).collect::<Vec<_>>();
        let index = ((times.len() - 1) as f64 * DELAY_QUANTILE) as usize;
        let (below, delay, _) = times.select_nth_unstable_by(index, f64::total_cmp);
        let delay = *delay;
        let middle = below.len() / 2;
        self.median_ms = *below.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.delay_ms = Some(delay.max(self.median_ms * MIN_DELAY_MEDIANS));
    }

    /// Time after the send at which to decide about a hedge; `None` if too little is known
    pub fn delay(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.delay_ms? / 1000.0).ok()
    }

    /// Takes a hedge from the ratio, or tells why there is none
    ///
    /// # Errors
    /// The first reason that holds.
    pub fn try_hedge(&mut self, request: &HedgeRequest, now: Instant) -> Result<(), HedgeReason> {
        self.check(request, now)?;
        expire(&mut self.requests, now);
        expire(&mut self.hedges, now);
        let allowed = request.ratio.min(MAX_RATIO) * self.requests.len() as f64;
        if self.hedges.len() as f64 + 1.0 > allowed {
            return Err(HedgeReason::Ratio);
        }
        self.hedges.push_back(now);
        Ok(())
    }

    fn check(&self, request: &HedgeRequest, now: Instant) -> Result<(), HedgeReason> {
        let ratio_is_positive = request.ratio > 0.0;
        if !ratio_is_positive {
            return Err(HedgeReason::Off);
        }
        if self.delay_ms.is_none() {
            return Err(HedgeReason::Unlearned);
        }
        if request.is_suspected {
            return Err(HedgeReason::Suspected);
        }
        if !request.is_current {
            return Err(HedgeReason::OutOfDate);
        }
        let is_recent = |at| now.saturating_duration_since(at) < OVERLOAD_TIME;
        if self.refused_at.is_some_and(is_recent) {
            return Err(HedgeReason::Overload);
        }
        let has_room = |(requests, slots): (u32, u32)| {
            f64::from(requests) + 1.0 <= (f64::from(slots) * MAX_SLOT_FRACTION).max(1.0)
        };
        if !request.target_load.is_some_and(has_room) {
            return Err(HedgeReason::Full);
        }
        let late = self.late.iter().filter(|it| **it).count();
        if late as f64 > LATE_REQUESTS as f64 * MAX_LATE_FRACTION {
            return Err(HedgeReason::CommonCause);
        }
        let left_ms = request.time_left.as_secs_f64() * 1000.0;
        if left_ms < self.median_ms * MIN_TIME_LEFT_MEDIANS {
            return Err(HedgeReason::NearDeadline);
        }
        if request.has_spare_retries { Ok(()) } else { Err(HedgeReason::Retries) }
    }

    /// Whether an endpoint is slower than the others, so that they are picked before it
    pub fn is_slow(&self, endpoint: &EndpointId, now: Instant) -> bool {
        let pace = self.paces.get(endpoint);
        pace.is_some_and(|it| it.logarithm_at(now) > SLOW_FACTOR.ln())
    }

    /// Drops what is known of endpoints that are no longer listed
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.paces.retain(|id, _| is_listed(id));
    }

    fn update_pace(&mut self, endpoint: &EndpointId, ratio: f64, now: Instant) {
        let observed = ratio.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1).ln();
        let pace = self.paces.entry(endpoint.clone());
        let pace = pace.or_insert(EndpointPace { logarithm: 0.0, updated_at: now });
        let before = pace.logarithm_at(now);
        pace.logarithm = before + FACTOR_WEIGHT * (observed - before);
        pace.updated_at = now;
    }
}

fn expire(times: &mut VecDeque<Instant>, now: Instant) {
    while times.front().is_some_and(|it| now.saturating_duration_since(*it) > RATIO_WINDOW) {
        times.pop_front();
    }
}
