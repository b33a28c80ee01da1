//! Limits of entries on this instance.

use catalogue::CatalogueEntry;
use catalogue::id::{EntryName, TokenCount};
use decide::limits::{EntryMeter, LimitDemand, LimitRates, LimitRefusal};
use indexmap::IndexMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

type MeterTable = Arc<Mutex<IndexMap<EntryName, EntryMeter>>>;

/// Meters of all entries that were called here
#[derive(Debug, Clone, Default)]
pub struct EntryMeters {
    meters: MeterTable,
}

/// Request counted as in flight until dropped
#[derive(Debug)]
pub struct MeterPass {
    meters: EntryMeters,
    entry: EntryName,
}

impl Drop for MeterPass {
    fn drop(&mut self) {
        if let Some(meter) = self.meters.lock().get_mut(&self.entry) {
            meter.finish();
        }
    }
}

impl EntryMeters {
    /// Starts a request of an entry shared by `instances` instances
    ///
    /// # Errors
    /// The limit that it ran into.
    pub fn start(
        &self,
        entry: &CatalogueEntry,
        instances: usize,
        tokens: TokenCount,
    ) -> Result<MeterPass, LimitRefusal> {
        let now = Instant::now();
        let limits = LimitRates::from(&entry.limits);
        let mut meters = self.lock();
        let meter = meters
            .entry(entry.name.clone())
            .or_insert_with(|| EntryMeter::new(limits, instances, now));
        meter.resize(limits, instances, now);
        meter.start(tokens, now)?;
        Ok(MeterPass { meters: self.clone(), entry: entry.name.clone() })
    }

    /// Demand of each entry, to be told to its home
    pub fn demands(&self) -> Vec<(EntryName, LimitDemand)> {
        let now = Instant::now();
        let mut meters = self.lock();
        meters.iter_mut().map(|(name, meter)| (name.clone(), meter.demand(now))).collect()
    }

    /// Takes in a grant whose lifetime is counted from before it was asked for
    pub fn grant(&self, entry: &str, rates: LimitRates, expires: Instant) {
        if let Some(meter) = self.lock().get_mut(entry) {
            meter.grant(rates, expires, Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<EntryName, EntryMeter>> {
        self.meters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
