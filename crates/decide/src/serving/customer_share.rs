//! Fair shares of customers while a pool has too little capacity.
//!
//! Over the last two seconds, each instance counts the requests of each customer and what
//! became of them. While requests are refused for lack of capacity, what is being served is
//! divided by max-min fairness: all get what they ask for up to a common level. A customer
//! that exceeds the level by more than chance has requests refused at random, by the excess.
//! Whatever it asks for, it gets a part of it, so that none is served far less often than
//! all. Others are decided as without shares, so that shares leave no capacity unused.

use catalogue::id::CustomerName;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Requests a second.
pub type RequestRate = f64;

/// Time over which demand is counted
pub const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Parts in which the window moves on.
const SLOTS: usize = 20;
const SLOT_TIME: Duration = Duration::from_millis(100);
/// Newest slots, by which a flood is recognized before it fills the window, and requests in them from which they
/// count: fewer are no more than chance.
const RECENT_SLOTS: u64 = 7;
const MIN_RECENT: u32 = 4;
/// Maximum number of customers whose demand is known; others are decided as if there were no shares.
const MAX_CUSTOMERS: usize = 4096;
/// Refusals for lack of capacity within the window from which there is an overload.
const MIN_REFUSED: u32 = 3;
/// The same as a fraction of the answers; occasional refusals are no overload.
const MIN_REFUSED_FRACTION: f64 = 0.02;
/// Refusals as a fraction of the requests that were let in, down to which an overload lasts. Shares that hold a flood
/// back leave few refusals, but a single one in the window must not keep them in force.
const MIN_LASTING_FRACTION: f64 = 0.005;
/// Standard deviations by which a customer's demand must exceed the level, so that few are held back for what they
/// send by chance within the window. Without this, capacity stays unused.
const CERTAINTY: f64 = 1.5;
/// Smallest fraction of a customer's requests that is let in, relative to that of all. The bound on what is served
/// is a quarter; the rest is for customers whose requests are refused more often for lack of capacity.
const MIN_RELATIVE_FRACTION: f64 = 0.33;
/// Steps of the search for the level, which halve its error.
const SEARCH_STEPS: usize = 24;

/// Counts over the window
#[derive(Debug, Clone, Copy, Default)]
struct WindowCount {
    counts: [u32; SLOTS],
    newest: u64,
}

impl WindowCount {
    /// Clears what has left the window
    fn advance(&mut self, slot: u64) {
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            self.counts[index(slot - passed + step)] = 0;
        }
        self.newest = self.newest.max(slot);
    }

    fn add(&mut self, slot: u64) {
        self.advance(slot);
        self.counts[index(slot)] = self.counts[index(slot)].saturating_add(1);
    }

    fn sum(&mut self, slot: u64) -> u32 {
        self.advance(slot);
        self.counts.iter().fold(0, |sum, it| sum.saturating_add(*it))
    }

    /// Sum over the newest part of the window
    fn recent(&mut self, slot: u64) -> u32 {
        self.advance(slot);
        let newest = (0..RECENT_SLOTS).map(|it| self.counts[index(slot.saturating_sub(it))]);
        newest.fold(0, u32::saturating_add)
    }

    /// Rate over the window, or over its newest part if that is higher
    fn rate(&mut self, slot: u64) -> RequestRate {
        let whole = f64::from(self.sum(slot)) / DEMAND_WINDOW.as_secs_f64();
        let recent = self.recent(slot);
        if recent < MIN_RECENT {
            return whole;
        }
        whole.max(f64::from(recent) / recent_time())
    }
}

/// Length of the newest part of the window, in seconds
fn recent_time() -> f64 {
    SLOT_TIME.as_secs_f64() * RECENT_SLOTS as f64
}

fn index(slot: u64) -> usize {
    usize::try_from(slot % SLOTS as u64).unwrap_or_default()
}

/// What became of a request
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareOutcome {
    /// Served
    Served,
    /// Refused for lack of capacity
    Refused,
}

/// Decision on a request of a customer
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareDecision {
    /// Within the customer's share, or there is no overload
    Admit,
    /// Beyond the customer's share
    Refuse {
        /// What the customer asks for, here and at other instances
        demand: RequestRate,
        /// What it gets
        share: RequestRate,
    },
}

/// Demand at other instances
#[derive(Debug, Clone, Default)]
struct OtherDemand {
    rates: IndexMap<CustomerName, RequestRate>,
    /// Number and mean rate of the customers with the lowest rates, which are not kept
    rest: (f64, RequestRate),
    received_at: Option<Instant>,
}

/// How shares follow from demand
#[derive(Debug, Clone, Copy, PartialEq)]
struct ShareLevel {
    /// Rate up to which a customer gets all that it asks for
    level: RequestRate,
    /// Fraction of its demand that a customer gets at least
    floor: f64,
}

impl ShareLevel {
    fn share(&self, demand: RequestRate) -> RequestRate {
        demand.min(self.level).max(self.floor * demand)
    }

    /// Whether a demand exceeds the level by more than chance
    fn is_exceeded(&self, demand: RequestRate) -> bool {
        demand - CERTAINTY * (demand / recent_time()).sqrt() > self.level
    }
}

/// Demand on one pool by customer, and the shares that follow
#[derive(Debug)]
pub struct CustomerShares {
    started_at: Instant,
    demand: IndexMap<CustomerName, WindowCount>,
    others: OtherDemand,
    served: WindowCount,
    refused: WindowCount,
    /// Refused because of its customer's share
    limited: WindowCount,
    /// Slot in which the level was determined, and the level if there is an overload
    level: (u64, Option<ShareLevel>),
    /// Whether the overload goes on
    has_overload: bool,
}

impl CustomerShares {
    /// Shares without any demand yet
    pub fn new(now: Instant) -> CustomerShares {
        CustomerShares {
            started_at: now,
            demand: IndexMap::new(),
            others: OtherDemand::default(),
            served: WindowCount::default(),
            refused: WindowCount::default(),
            limited: WindowCount::default(),
            level: (0, None),
            has_overload: false,
        }
    }

    /// Counts a request and decides whether it is let in; `draw` is uniform in 0..1
    pub fn decide(&mut self, customer: &CustomerName, draw: f64, now: Instant) -> ShareDecision {
        let slot = self.slot(now);
        if self.level.0 != slot {
            self.level = (slot, self.find_level(slot, now));
        }
        let Some(own) = self.count(customer, slot) else { return ShareDecision::Admit };
        let Some(level) = self.level.1 else { return ShareDecision::Admit };
        let demand = own + self.others.rates.get(customer).copied().unwrap_or_default();
        let share = level.share(demand);
        if draw * demand < share || !level.is_exceeded(demand) {
            return ShareDecision::Admit;
        }
        self.limited.add(slot);
        ShareDecision::Refuse { demand, share }
    }

    /// Records what became of a request that was let in
    pub fn record_outcome(&mut self, outcome: ShareOutcome, now: Instant) {
        let slot = self.slot(now);
        match outcome {
            ShareOutcome::Served => self.served.add(slot),
            ShareOutcome::Refused => self.refused.add(slot),
        }
    }

    /// Sets the demand at other instances, which counts for as long as the window
    pub fn set_others(&mut self, rates: IndexMap<CustomerName, RequestRate>, now: Instant) {
        let mut rates = rates;
        rates.retain(|_, it| it.is_finite() && *it > 0.0);
        let mut rest = (0.0, 0.0);
        if rates.len() > MAX_CUSTOMERS {
            rates.sort_by(|_, one, _, other| other.total_cmp(one));
            let dropped = rates.split_off(MAX_CUSTOMERS);
            let count = dropped.len() as f64;
            rest = (count, dropped.values().sum::<f64>() / count);
        }
        self.others = OtherDemand { rates, rest, received_at: Some(now) };
    }

    /// Demand of each customer here over the window, for other instances
    pub fn own_demand(&mut self, now: Instant) -> IndexMap<CustomerName, RequestRate> {
        let slot = self.slot(now);
        self.drop_idle(slot);
        self.demand.iter_mut().map(|(name, it)| (name.clone(), it.rate(slot))).collect()
    }

    /// Whether there is an overload, so that customers get no more than their shares
    pub fn is_limiting(&self) -> bool {
        self.level.1.is_some()
    }

    fn slot(&self, now: Instant) -> u64 {
        let slot = now.saturating_duration_since(self.started_at).as_millis();
        // The first slots are left free, since a count starts with slot 0.
        u64::try_from(slot / SLOT_TIME.as_millis()).unwrap_or_default() + 1
    }

    /// Counts a request; the customer's rate here, or `None` if there are too many customers
    fn count(&mut self, customer: &CustomerName, slot: u64) -> Option<RequestRate> {
        if !self.demand.contains_key(customer) && self.demand.len() >= MAX_CUSTOMERS {
            return None;
        }
        let count = self.demand.entry(customer.clone()).or_default();
        count.add(slot);
        Some(count.rate(slot))
    }

    fn drop_idle(&mut self, slot: u64) {
        self.demand.retain(|_, it| it.sum(slot) > 0);
    }

    /// Level of the shares; `None` without an overload
    fn find_level(&mut self, slot: u64, now: Instant) -> Option<ShareLevel> {
        self.drop_idle(slot);
        let is_recent = |it: Instant| now.saturating_duration_since(it) < DEMAND_WINDOW;
        if !self.others.received_at.is_some_and(is_recent) {
            self.others = OtherDemand::default();
        }
        let (served, refused) = (self.served.sum(slot), self.refused.sum(slot));
        let answered = f64::from(served) + f64::from(refused) + f64::from(self.limited.sum(slot));
        let is_overload =
            refused >= MIN_REFUSED && f64::from(refused) >= MIN_REFUSED_FRACTION * answered;
        // While shares hold a flood back, few other requests are refused.
        let least = MIN_LASTING_FRACTION * (f64::from(served) + f64::from(refused));
        let lasts = refused > 0 && f64::from(refused) >= least;
        self.has_overload = is_overload || self.has_overload && lasts;
        if !self.has_overload || served == 0 {
            return None;
        }
        let let_in = f64::from(served) + f64::from(refused);
        let floor = MIN_RELATIVE_FRACTION * let_in / answered;
        Some(self.divide(f64::from(served) / answered, floor, slot))
    }

    /// Divides a fraction of all demand
    fn divide(&mut self, fraction: f64, floor: f64, slot: u64) -> ShareLevel {
        let mut demands = self.others.rates.clone();
        for (name, count) in &mut self.demand {
            *demands.entry(name.clone()).or_default() += count.rate(slot);
        }
        let (rest_count, rest_rate) = self.others.rest;
        let target = fraction * (demands.values().sum::<f64>() + rest_count * rest_rate);
        let (mut low, mut high) = (0.0, demands.values().copied().fold(0.0, f64::max));
        for _ in 0..SEARCH_STEPS {
            let level = (low + high) / 2.0;
            let shares = ShareLevel { level, floor };
            let sum = demands.values().map(|it| shares.share(*it)).sum::<f64>()
                + rest_count * shares.share(rest_rate);
            if sum < target { low = level } else { high = level }
        }
        ShareLevel { level: high, floor }
    }
}
