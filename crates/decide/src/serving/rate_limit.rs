//! Limits on requests a second that endpoints name, shared by all instances.
//!
//! An endpoint names one limit for all instances together. Each instance takes a share by
//! its demand: the requests that it sends there or would send there, relative to those of
//! all others, which their messages state. Shares therefore add up to the limit without a
//! coordinator, and one that isn't needed goes to the others. An instance that doesn't hear
//! the others takes an equal share.
//!
//! A token bucket holds each share. It begins with a random fraction of a token, so that
//! many instances with small shares don't all send their first request at once. Messages
//! also state what each instance has sent lately: while all together have used the limit of
//! `WINDOW`, none sends more, however the shares came about.
//!
//! A limit holds for one incarnation. The last answer decides, whichever instance has
//! received it: one that names no limit ends it.

use super::endpoint_list::ListedEndpoint;
use catalogue::id::{EndpointId, PoolName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Limit of an endpoint, in requests a second over all instances.
pub type RequestRate = f64;

/// Fraction of a limit that is used, since instances know each other's demand with a delay.
const USED_FRACTION: f64 = 0.95;
/// Lowest rate in requests a second; only answers show that a limit has ended.
const MIN_RATE: RequestRate = 0.1;
/// Fraction of a limit that is kept for instances without demand, so that they can begin at once.
const IDLE_FRACTION: f64 = 0.1;
/// Time constant of the average of demand.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Shortest time without demand after which a bucket begins again with a fraction of a token.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time for which a bucket collects its share, if that is more than one request.
const BUCKET_TIME: Duration = Duration::from_millis(200);
/// Time over which the sends of all instances are counted; that of the users' rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Interval at which answers that name the same limit are reported to other instances.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Relative change of a limit that is reported at once.
const REPORTED_CHANGE: f64 = 0.1;
/// Shortest wait while all instances have used the limit of the window.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// Longest time after which a refused request may come back.
const MAX_RETURN_TIME: Duration = Duration::from_secs(30);

/// What an answer says of the limit of its endpoint, as instances send it to each other
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    pub endpoint: EndpointId,
    /// Latest start of the incarnation that answered, in Unix milliseconds
    pub last_start_ms: u64,
    /// Limit; `None` if the answer names none
    pub rate: Option<RequestRate>,
    /// Age of the answer in milliseconds when it was sent
    pub age_ms: u32,
}

/// Demand of all instances at an endpoint
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetDemand {
    /// Demand of this instance as the others know it, in requests a second
    pub own: RequestRate,
    /// Demand of all others, in requests a second
    pub others: RequestRate,
    /// Requests that all others have sent within the window
    pub others_sent: u32,
    /// Number of instances
    pub instances: usize,
    /// Whether the others' demand is known
    pub is_known: bool,
}

/// What a report has changed
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit before; `None` without one
    pub from: Option<RequestRate>,
    /// Limit now
    pub to: Option<RequestRate>,
    /// Whether to report it to other instances
    pub is_reported: bool,
}

/// Demand of this instance at an endpoint
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnDemand {
    /// Demand, in requests a second
    pub rate: RequestRate,
    /// Requests sent within the window
    pub sent: u32,
}

#[derive(Debug, Clone)]
struct EndpointLimit {
    last_start_ms: u64,
    /// Limit; `None` after its end
    rate: Option<RequestRate>,
    answered_at: Instant,
    reported_at: Option<Instant>,
    share: RequestRate,
    others_sent: u32,
    /// Own sends within the window
    sent: VecDeque<Instant>,
    tokens: f64,
    refilled_at: Instant,
    demand: RequestRate,
    demanded_at: Instant,
}

impl EndpointLimit {
    fn holds_for(&self, endpoint: &ListedEndpoint) -> bool {
        self.rate.is_some() && endpoint.started_at_ms <= self.last_start_ms
    }

    fn tokens(&self, now: Instant) -> f64 {
        // Nothing is collected meanwhile, since all instances would send it as soon as one request fits.
        if !self.window_wait(now).is_zero() {
            return self.tokens;
        }
        let time = now.saturating_duration_since(self.refilled_at);
        let most = (self.share * BUCKET_TIME.as_secs_f64()).max(1.0);
        (self.tokens + self.share * time.as_secs_f64()).min(most)
    }

    /// Time until all instances together have used less than the limit of the window
    fn window_wait(&self, now: Instant) -> Duration {
        let limit = self.rate.unwrap_or_default().max(MIN_RATE);
        let most = (limit * WINDOW.as_secs_f64()).max(1.0);
        let recent = self.sent.iter().filter(|it| is_in_window(**it, now));
        let own = recent.clone().count();
        if ((own as f64) + f64::from(self.others_sent)) < most {
            return Duration::ZERO;
        }
        let own_end = recent.min().map(|it| (*it + WINDOW).saturating_duration_since(now));
        let average = Duration::try_from_secs_f64(1.0 / limit).unwrap_or(WINDOW);
        own_end.filter(|_| self.others_sent == 0).unwrap_or(average).max(MIN_WAIT)
    }

    fn demand(&self, now: Instant) -> RequestRate {
        let time = now.saturating_duration_since(self.demanded_at);
        self.demand * (-time.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn add_demand(&mut self, draw: f64, now: Instant) {
        let refill_time = Duration::try_from_secs_f64(1.0 / self.share).unwrap_or(Duration::MAX);
        if now.saturating_duration_since(self.demanded_at) > refill_time.max(MIN_IDLE_TIME) {
            self.refill(now);
            self.tokens = self.tokens.min(draw);
        }
        self.demand = self.demand(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demanded_at = now;
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.refilled_at = now;
    }

    fn wait(&self, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens(now)).max(0.0);
        let refill = Duration::try_from_secs_f64(missing / self.share).unwrap_or(Duration::MAX);
        refill.max(self.window_wait(now))
    }

    fn count_sent(&self, now: Instant) -> u32 {
        let sent = self.sent.iter().filter(|it| is_in_window(**it, now)).count();
        u32::try_from(sent).unwrap_or(u32::MAX)
    }

    fn apply_fleet(&mut self, fleet: &FleetDemand) {
        self.share = self.rate.map_or(0.0, |it| EndpointLimit::fleet_share(it, fleet));
        self.others_sent = fleet.others_sent;
    }

    /// Share of this instance
    fn fleet_share(rate: RequestRate, fleet: &FleetDemand) -> RequestRate {
        let rate = rate.max(MIN_RATE) * USED_FRACTION;
        let instances = fleet.instances.max(1) as f64;
        if !fleet.is_known {
            return rate / instances;
        }
        let idle = rate * IDLE_FRACTION / instances;
        let own = fleet.own + idle;
        rate * own / (own + fleet.others + idle * (instances - 1.0))
    }
}

/// Limits by endpoint
#[derive(Debug, Clone, Default)]
pub struct EndpointLimits {
    limits: IndexMap<EndpointId, EndpointLimit>,
    /// When the last refused request of a pool may come back
    returns: IndexMap<PoolName, Instant>,
}

impl EndpointLimits {
    /// Applies what an answer says at a time; `draw` is uniform in 0..1
    ///
    /// Returns `None` if it changes nothing, or is older than what is known.
    pub fn record(
        &mut self,
        report: &LimitReport,
        fleet: &FleetDemand,
        draw: f64,
        now: Instant,
    ) -> Option<LimitChange> {
        let at = now.checked_sub(Duration::from_millis(report.age_ms.into()))?;
        let rate = report.rate;
        if rate.is_none() && !self.limits.contains_key(&report.endpoint) {
            return None;
        }
        let empty = EndpointLimit {
            last_start_ms: report.last_start_ms,
            rate: None,
            answered_at: at,
            reported_at: None,
            share: 0.0,
            others_sent: 0,
            sent: VecDeque::new(),
            tokens: draw,
            refilled_at: now,
            demand: 0.0,
            demanded_at: now,
        };
        let limit = self.limits.entry(report.endpoint.clone()).or_insert(empty);
        if at < limit.answered_at {
            return None;
        }
        limit.refill(now);
        let from = limit.rate;
        if from.is_none() {
            limit.tokens = draw;
        }
        limit.rate = rate;
        limit.answered_at = at;
        limit.last_start_ms = limit.last_start_ms.max(report.last_start_ms);
        limit.apply_fleet(fleet);
        let has_changed = match (from, rate) {
            (Some(from), Some(to)) => (to - from).abs() > REPORTED_CHANGE * from,
            _ => from != rate,
        };
        let is_due = |it: Instant| now.saturating_duration_since(it) >= REPORT_INTERVAL;
        let is_reported = has_changed || rate.is_some() && limit.reported_at.is_none_or(is_due);
        if is_reported {
            limit.reported_at = Some(now);
        }
        Some(LimitChange { from, to: rate, is_reported })
    }

    /// Whether the endpoint may get another request of this instance; one that may not counts as demand
    ///
    /// `draw` is uniform in 0..1.
    pub fn admits(&mut self, endpoint: &ListedEndpoint, draw: f64, now: Instant) -> bool {
        let Some(limit) = self.current_mut(endpoint) else { return true };
        if limit.wait(now).is_zero() {
            return true;
        }
        limit.add_demand(draw, now);
        false
    }

    /// Takes a request from the share; `false` if none is left
    pub fn try_take(&mut self, endpoint: &ListedEndpoint, draw: f64, now: Instant) -> bool {
        let Some(limit) = self.current_mut(endpoint) else { return true };
        limit.add_demand(draw, now);
        limit.refill(now);
        let is_allowed = limit.wait(now).is_zero();
        if is_allowed {
            limit.tokens -= 1.0;
            limit.sent.retain(|it| is_in_window(*it, now));
            limit.sent.push_back(now);
        }
        is_allowed
    }

    /// Time until the endpoint may get a request of this instance; zero without a limit
    pub fn wait(&self, endpoint: &ListedEndpoint, now: Instant) -> Duration {
        self.current(endpoint).map_or(Duration::ZERO, |it| it.wait(now))
    }

    /// Time after which a refused request may come back, if the first one may after `wait`
    ///
    /// Each further one comes back later by the time in which the shares of the pool's endpoints allow a request.
    pub fn book_return(
        &mut self,
        pool: &PoolName,
        endpoints: &[&ListedEndpoint],
        wait: Duration,
        now: Instant,
    ) -> Duration {
        let share =
            endpoints.iter().filter_map(|it| self.current(it)).map(|it| it.share).sum::<f64>();
        let interval = Duration::try_from_secs_f64(1.0 / share).unwrap_or(MAX_RETURN_TIME);
        let after_last = self.returns.get(pool).map(|it| *it + interval.min(MAX_RETURN_TIME));
        let latest = now + MAX_RETURN_TIME;
        let first = now + wait.min(MAX_RETURN_TIME);
        let at = after_last.map_or(first, |it| it.max(first)).min(latest);
        self.returns.insert(pool.clone(), at);
        at - now
    }

    /// Whether no endpoint has named a limit
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Number of endpoints with a limit
    pub fn len(&self) -> usize {
        self.limits.values().filter(|it| it.rate.is_some()).count()
    }

    /// Demand of this instance at each limited endpoint
    pub fn demands(&self, now: Instant) -> Vec<(EndpointId, OwnDemand)> {
        let limited = self.limits.iter().filter(|(_, it)| it.rate.is_some());
        let demand =
            |it: &EndpointLimit| OwnDemand { rate: it.demand(now), sent: it.count_sent(now) };
        limited.map(|(id, it)| (id.clone(), demand(it))).collect()
    }

    /// Computes the shares again
    pub fn share(&mut self, fleet: impl Fn(&EndpointId) -> FleetDemand, now: Instant) {
        for (id, limit) in &mut self.limits {
            limit.refill(now);
            limit.apply_fleet(&fleet(id));
        }
    }

    /// Drops the limits of endpoints that are no longer listed
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.limits.retain(|id, _| is_listed(id));
    }

    /// Limit that holds for a listed incarnation; an earlier one than that of the answer has ended
    fn current(&self, endpoint: &ListedEndpoint) -> Option<&EndpointLimit> {
        self.limits.get(&endpoint.id).filter(|it| it.holds_for(endpoint))
    }

    fn current_mut(&mut self, endpoint: &ListedEndpoint) -> Option<&mut EndpointLimit> {
        self.limits.get_mut(&endpoint.id).filter(|it| it.holds_for(endpoint))
    }
}

fn is_in_window(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < WINDOW
}
