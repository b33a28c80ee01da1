//! Division of an entry's limits between the instances, kept by the entry's home.
//!
//! The home remembers every grant until it expires and gives only what is left, so
//! a lost answer or a late request never raises the total. It gives no more than
//! the part of the limits that belongs to the instances it hears from: on both
//! sides of a partition the parts add up to the whole. A fresh home knows nothing
//! of earlier grants and gives only local shares until they have expired.

use crate::limits::{LOCAL_SHARE, LimitDemand, LimitRates};
use catalogue::id::InstanceId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Lifetime of a grant.
pub const GRANT_TTL: Duration = Duration::from_secs(1);
/// Interval at which instances ask again.
pub const GRANT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which requests in flight on a silent instance are counted.
const HELD_LIFETIME: Duration = Duration::from_secs(30);
/// Part of an even share that every instance gets without demand.
const FLOOR_SHARE: f64 = 0.08;
/// Factor by which demand is granted with room to grow.
const HEADROOM: f64 = 1.25;

/// Grant to one instance
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitGrant {
    /// Amounts granted
    pub rates: LimitRates,
    /// Lifetime, counted by the instance from before it asked
    pub ttl: Duration,
}

#[derive(Debug, Clone)]
struct InstanceShare {
    demand: LimitDemand,
    asked_at: Instant,
    /// Unexpired grants with their ends
    outstanding: Vec<(Instant, LimitRates)>,
}

impl InstanceShare {
    /// Most that the instance may use now
    fn outstanding(&self) -> LimitRates {
        let held = f64::from(self.demand.held);
        let held = LimitRates { in_flight: held, ..LimitRates::default() };
        self.outstanding.iter().fold(held, |most, (_, rates)| most.zip(rates, f64::max))
    }

    fn is_reached(&self, now: Instant) -> bool {
        now < self.asked_at + GRANT_TTL
    }
}

/// Grants of one entry, as its home keeps them
#[derive(Debug, Clone)]
pub struct GrantPlan {
    limits: LimitRates,
    since: Instant,
    shares: IndexMap<InstanceId, InstanceShare>,
}

impl GrantPlan {
    /// Plan of an instance that has just become the home
    pub fn new(limits: LimitRates, now: Instant) -> GrantPlan {
        GrantPlan { limits, since: now, shares: IndexMap::new() }
    }

    /// Takes in new limits of the entry
    pub fn set_limits(&mut self, limits: LimitRates) {
        self.limits = limits;
    }

    /// Answers an instance's request; `listed` is the number of instances in the platform's list
    pub fn request(
        &mut self,
        instance: &InstanceId,
        demand: LimitDemand,
        listed: usize,
        now: Instant,
    ) -> LimitGrant {
        self.expire(now);
        self.note_demand(instance, demand, now);
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
        self.shares.retain(|_, it| now < it.asked_at + HELD_LIFETIME);
    }

    fn note_demand(&mut self, instance: &InstanceId, demand: LimitDemand, now: Instant) {
        let share = self.shares.entry(instance.clone()).or_insert_with(|| InstanceShare {
            demand,
            asked_at: now,
            outstanding: Vec::new(),
        });
        share.demand = demand;
        share.asked_at = now;
    }

    fn rates_for(&self, instance: &InstanceId, listed: usize, now: Instant) -> LimitRates {
        let even = self.limits.scaled(1.0 / listed as f64);
        if now < self.since + GRANT_TTL {
            return even.scaled(LOCAL_SHARE);
        }
        let pool = self.pool(listed, now);
        let held = self.held_by_others(instance);
        let left = pool.zip(&held, |all, held| (all - held).max(0.0));
        self.target(instance, &pool, &even, now).zip(&left, f64::min)
    }

    /// What may be given out: the part of the instances that are heard from
    fn pool(&self, listed: usize, now: Instant) -> LimitRates {
        let reached = self.reached(now);
        let mut pool = self.limits.scaled(reached as f64 / listed as f64);
        let is_fresh = now < self.since + HELD_LIFETIME;
        if is_fresh && reached < listed {
            // The silent may still run as many as an earlier home allowed them.
            pool.in_flight = pool.in_flight.min(self.limits.in_flight * LOCAL_SHARE);
        }
        pool
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

    /// Fair part of the pool by the demands of all
    fn target(
        &self,
        instance: &InstanceId,
        pool: &LimitRates,
        even: &LimitRates,
        now: Instant,
    ) -> LimitRates {
        let floor = even.scaled(FLOOR_SHARE);
        let wish = |it: &InstanceShare| it.demand.rates.scaled(HEADROOM).zip(&floor, f64::max);
        let mut total = LimitRates::default();
        for share in self.shares.values().filter(|it| it.is_reached(now)) {
            total = total.zip(&wish(share), |sum, rate| sum + rate);
        }
        let own = self.shares.get(instance).map(wish).unwrap_or(floor);
        let part = own.zip(&total, |own, total| if total > 0.0 { own / total } else { 0.0 });
        part.zip(pool, |part, pool| part * pool)
    }
}
