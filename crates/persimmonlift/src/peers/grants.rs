//! Grants of shares of entries' limits: requests them from homes and, as a home,
//! answers requests.

use crate::context::InstanceContext;
use catalogue::id::EntryName;
use decide::grant::{GRANT_INTERVAL, GrantLedger};
use decide::limits::{LimitDemand, LimitRates};
use indexmap::IndexMap;
use peer::message::{EntryDemand, EntryGrant, EntryRates, GrantReply, GrantRequest};
use peer::{Member, PeerReply, PeerRequest};
use std::sync::{Arc, Mutex, PoisonError};
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
    pub fn answer(&self, context: &InstanceContext, request: &GrantRequest) -> GrantReply {
        let view = context.catalogue.view();
        let listed = context.registry.instance_count();
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

/// Requests grants from the homes of all entries with demand, at each `GRANT_INTERVAL`.
pub(super) async fn request_grants(context: Arc<InstanceContext>) {
    let mut interval = tokio::time::interval(GRANT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        for (home, demands) in demands_by_home(&context) {
            tokio::spawn(request_from_home(context.clone(), home, demands));
        }
    }
}

fn demands_by_home(context: &InstanceContext) -> Vec<(Member, Vec<EntryDemand>)> {
    let view = context.peers.view();
    let mut by_home: IndexMap<&str, (Member, Vec<EntryDemand>)> = IndexMap::new();
    for (entry, demand) in context.meters.demands() {
        let Some(home) = view.home(entry.as_bytes()).filter(|_| has_demand(&demand)) else {
            continue;
        };
        let (_, demands) = by_home.entry(&home.id).or_insert_with(|| (home.clone(), Vec::new()));
        let rates = entry_rates(demand.rates);
        demands.push(EntryDemand { entry, rates, held: demand.in_flight });
    }
    by_home.into_values().collect()
}

fn has_demand(demand: &LimitDemand) -> bool {
    demand.in_flight > 0 || demand.rates != LimitRates::default()
}

async fn request_from_home(context: Arc<InstanceContext>, home: Member, demands: Vec<EntryDemand>) {
    let instance = context.settings.instance.id.clone();
    let is_self = home.id == instance;
    let request = GrantRequest { instance, demands };
    let requested_at = Instant::now();
    let reply = if is_self {
        context.grants.answer(&context, &request)
    } else {
        match context.peers.call(&home, PeerRequest::Grant(request), GRANT_INTERVAL).await {
            Ok(PeerReply::Granted(reply)) => reply,
            Ok(_) => return,
            Err(error) => {
                log::debug!("event=grant_missed home={} reason=\"{error}\"", home.id);
                return;
            }
        }
    };
    for grant in reply.grants {
        let expires = requested_at + Duration::from_millis(grant.ttl_ms);
        context.meters.apply_grant(&grant.entry, limit_rates(grant.rates), expires);
    }
}

fn limit_rates(rates: EntryRates) -> LimitRates {
    LimitRates {
        requests_per_s: rates.requests_per_s,
        tokens_per_s: rates.tokens_per_s,
        in_flight: rates.in_flight,
    }
}

fn entry_rates(rates: LimitRates) -> EntryRates {
    EntryRates {
        requests_per_s: rates.requests_per_s,
        tokens_per_s: rates.tokens_per_s,
        in_flight: rates.in_flight,
    }
}
