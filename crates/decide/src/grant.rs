//! Division of an entry's limits between the instances, by the entry's home.
//!
//! The home records each grant until it expires and grants only the remainder, so a lost
//! answer or a late request never raises the total. In total it grants only the fraction
//! of the limits that the reached instances represent, so in a partition the grants of
//! both sides add up to the limits at most. A new home has no record of earlier grants and
//! grants only local shares until these have expired.

use crate::limits::{LOCAL_SHARE_FRACTION, LimitDemand, LimitRates};
use catalogue::id::InstanceId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Lifetime of a grant.
pub const GRANT_TTL: Duration = Duration::from_secs(1);
/// Interval at which instances request new grants.
pub const GRANT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the requests in flight of an unresponsive instance still count.
const IN_FLIGHT_LIFETIME: Duration = Duration::from_secs(30);
/// Fraction of an even share that an instance is granted without any demand.
const MIN_SHARE_FRACTION: f64 = 0.08;
/// Factor on the demand, which leaves an instance free capacity if its demand grows.
const DEMAND_HEADROOM: f64 = 1.25;

/// Grant to one instance
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitGrant {
    /// Granted amounts
    pub rates: LimitRates,
    /// Lifetime; the instance counts it from before its request
    pub ttl: Duration,
}

#[derive(Debug, Clone)]
struct InstanceShare {
    demand: LimitDemand,
    requested_at: Instant,
    /// Unexpired grants with their expiry times
    outstanding: Vec<(Instant, LimitRates)>,
}

impl InstanceShare {
    /// Largest amounts that the instance may use now
    fn outstanding(&self) -> LimitRates {
        let in_flight = f64::from(self.demand.in_flight);
        let in_use = LimitRates { in_flight, ..LimitRates::default() };
        self.outstanding.iter().fold(in_use, |max, (_, rates)| max.zip(rates, f64::max))
    }

    fn is_reached(&self, now: Instant) -> bool {
        now < self.requested_at + GRANT_TTL
    }
}

/// Grants of one entry, as its home records them
#[derive(Debug, Clone)]
pub struct GrantLedger {
    limits: LimitRates,
    since: Instant,
    shares: IndexMap<InstanceId, InstanceShare>,
}

impl GrantLedger {
    /// Creates the empty record of an instance that has just become the home
    pub fn new(limits: LimitRates, now: Instant) -> GrantLedger {
        GrantLedger { limits, since: now, shares: IndexMap::new() }
    }

    /// Replaces the limits of the entry
    pub fn set_limits(&mut self, limits: LimitRates) {
        self.limits = limits;
    }

    /// Grants an instance its share; `listed` is the number of instances in the platform's list
    pub fn grant(
        &mut self,
        instance: &InstanceId,
        demand: LimitDemand,
        listed: usize,
        now: Instant,
    ) -> LimitGrant {
        self.expire(now);
        self.record_demand(instance, demand, now);
        let rates = self.rates_for(instance, listed.max(self.reached(now)), now);
        if let Some(share) = self.shares.get_mut(instance) {
            share.outstanding.push((now + GRANT_TTL, rates));
        }
        LimitGrant { rates, ttl: GRANT_TTL }
    }

    fn expire(&mut self, now: Instant) {
        for share in self.shares.values_mut() {
            share.outstanding.retain(|(end, _)| *end > now);
        }
        self.shares.retain(|_, it| now < it.requested_at + IN_FLIGHT_LIFETIME);
    }

    fn record_demand(&mut self, instance: &InstanceId, demand: LimitDemand, now: Instant) {
        let share = self.shares.entry(instance.clone()).or_insert_with(|| InstanceShare {
            demand,
            requested_at: now,
            outstanding: Vec::new(),
        });
        share.demand = demand;
        share.requested_at = now;
    }

    fn rates_for(&self, instance: &InstanceId, listed: usize, now: Instant) -> LimitRates {
        let even = self.limits.scaled(1.0 / listed as f64);
        if now < self.since + GRANT_TTL {
            return even.scaled(LOCAL_SHARE_FRACTION);
        }
        let distributable = self.distributable(listed, now);
        let held = self.held_by_others(instance);
        let remaining = distributable.zip(&held, |total, held| (total - held).max(0.0));
        self.target(instance, &distributable, &even, now).zip(&remaining, f64::min)
    }

    /// Amounts to distribute: the fraction of the limits that the reached instances represent
    fn distributable(&self, listed: usize, now: Instant) -> LimitRates {
        let reached = self.reached(now);
        let mut distributable = self.limits.scaled(reached as f64 / listed as f64);
        let is_fresh = now < self.since + IN_FLIGHT_LIFETIME;
        if is_fresh && reached < listed {
            // Unreached instances may still run as many requests as an earlier home granted them.
            distributable.in_flight =
                distributable.in_flight.min(self.limits.in_flight * LOCAL_SHARE_FRACTION);
        }
        distributable
    }

    fn reached(&self, now: Instant) -> usize {
        self.shares.values().filter(|it| it.is_reached(now)).count()
    }

    fn held_by_others(&self, instance: &InstanceId) -> LimitRates {
        let mut held = LimitRates::default();
        for (other, share) in &self.shares {
            if other != instance {
                held = held.zip(&share.outstanding(), |sum, rate| sum + rate);
            }
        }
        held
    }

    /// Fair share of the distributable amounts, in proportion to the instances' demands
    fn target(
        &self,
        instance: &InstanceId,
        distributable: &LimitRates,
        even: &LimitRates,
        now: Instant,
    ) -> LimitRates {
        let floor = even.scaled(MIN_SHARE_FRACTION);
        let weighted_demand =
            |it: &InstanceShare| it.demand.rates.scaled(DEMAND_HEADROOM).zip(&floor, f64::max);
        let mut total = LimitRates::default();
        for share in self.shares.values().filter(|it| it.is_reached(now)) {
            total = total.zip(&weighted_demand(share), |sum, rate| sum + rate);
        }
        let own = self.shares.get(instance).map(weighted_demand).unwrap_or(floor);
        let fraction = own.zip(&total, |own, total| if total > 0.0 { own / total } else { 0.0 });
        fraction.zip(distributable, |fraction, total| fraction * total)
    }
}
