//! Grants of shares of entries' limits by this instance as their home.

use catalogue::id::EntryName;
use decide::grant::GrantLedger;
use decide::limits::{LimitDemand, LimitRates};
use indexmap::IndexMap;
use peer::message::{EntryGrant, EntryRates, GrantReply, GrantRequest};
use state::catalogue::CatalogueView;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a home keeps an entry's ledger without a request.
const LEDGER_LIFETIME: Duration = Duration::from_secs(60);

/// Ledgers of the entries for which this instance is the home
#[derive(Debug, Default)]
pub struct GrantHome {
    ledgers: Mutex<IndexMap<EntryName, EntryGrantLedger>>,
}

#[derive(Debug)]
struct EntryGrantLedger {
    ledger: GrantLedger,
    requested_at: Instant,
}

impl GrantHome {
    /// Answers a request of an instance; entries that aren't in the catalogue are omitted
    ///
    /// `listed` is the number of listed instances.
    pub fn answer(
        &self,
        view: &CatalogueView,
        listed: usize,
        request: &GrantRequest,
    ) -> GrantReply {
        let now = Instant::now();
        let mut ledgers = self.ledgers.lock().unwrap_or_else(PoisonError::into_inner);
        ledgers.retain(|_, it| now.duration_since(it.requested_at) < LEDGER_LIFETIME);
        let mut grants = Vec::with_capacity(request.demands.len());
        for demand in &request.demands {
            let Some(entry) = view.entry(&demand.entry) else {
                continue;
            };
            let limits = LimitRates::from(&entry.entry.limits);
            let entry_ledger = ledgers.entry(demand.entry.clone()).or_insert_with(|| {
                EntryGrantLedger { ledger: GrantLedger::new(limits, now), requested_at: now }
            });
            entry_ledger.requested_at = now;
            entry_ledger.ledger.set_limits(limits);
            let limit_demand =
                LimitDemand { rates: limit_rates(demand.rates), in_flight: demand.held };
            let grant = entry_ledger.ledger.grant(&request.instance, limit_demand, listed, now);
            grants.push(EntryGrant {
                entry: demand.entry.clone(),
                rates: entry_rates(grant.rates),
                ttl_ms: grant.ttl.as_millis() as u64,
            });
        }
        GrantReply { grants }
    }
}

/// Rates of a message as limits
pub fn limit_rates(rates: EntryRates) -> LimitRates {
    LimitRates {
        requests_per_s: rates.requests_per_s,
        tokens_per_s: rates.tokens_per_s,
        in_flight: rates.in_flight,
    }
}

/// Rates of limits for a message
pub fn entry_rates(rates: LimitRates) -> EntryRates {
    EntryRates {
        requests_per_s: rates.requests_per_s,
        tokens_per_s: rates.tokens_per_s,
        in_flight: rates.in_flight,
    }
}
