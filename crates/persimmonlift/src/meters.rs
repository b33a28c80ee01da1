//! Enforcement of entries' limits on this instance.

use catalogue::CatalogueEntry;
use catalogue::id::{EntryName, TokenCount};
use decide::limits::{EntryLimiter, LimitDemand, LimitRates, LimitRefusal};
use indexmap::IndexMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

type LimiterTable = Arc<Mutex<IndexMap<EntryName, EntryLimiter>>>;

/// Limiters of all entries that have been called on this instance
#[derive(Debug, Clone, Default)]
pub struct EntryMeters {
    limiters: LimiterTable,
}

/// Counts a request against its entry's in-flight limit until dropped
#[derive(Debug)]
pub struct MeterPermit {
    meters: EntryMeters,
    entry: EntryName,
}

impl Drop for MeterPermit {
    fn drop(&mut self) {
        if let Some(limiter) = self.meters.lock().get_mut(&self.entry) {
            limiter.finish();
        }
    }
}

impl EntryMeters {
    /// Counts a request against the limits of its entry, shared by `instances` instances
    ///
    /// # Errors
    /// The limit that the request would exceed.
    pub fn try_start(
        &self,
        entry: &CatalogueEntry,
        instances: usize,
        tokens: TokenCount,
    ) -> Result<MeterPermit, LimitRefusal> {
        let now = Instant::now();
        let limits = LimitRates::from(&entry.limits);
        let mut limiters = self.lock();
        let limiter = limiters
            .entry(entry.name.clone())
            .or_insert_with(|| EntryLimiter::new(limits, instances, now));
        limiter.update_limits(limits, instances, now);
        limiter.try_start(tokens, now)?;
        Ok(MeterPermit { meters: self.clone(), entry: entry.name.clone() })
    }

    /// Demand for each entry, to request grants from its home
    pub fn demands(&self) -> Vec<(EntryName, LimitDemand)> {
        let now = Instant::now();
        let mut limiters = self.lock();
        limiters.iter_mut().map(|(name, limiter)| (name.clone(), limiter.demand(now))).collect()
    }

    /// Applies a grant; `expires` counts from before the request was sent, so the grant
    /// never outlives the home's own count
    pub fn apply_grant(&self, entry: &str, rates: LimitRates, expires: Instant) {
        if let Some(limiter) = self.lock().get_mut(entry) {
            limiter.apply_grant(rates, expires, Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<EntryName, EntryLimiter>> {
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
