//! Shares of entries' limits: asked for here, given out as a home.

use crate::context::NodeContext;
use catalogue::id::EntryName;
use decide::grant::{GRANT_INTERVAL, GrantPlan};
use decide::limits::{LimitDemand, LimitRates};
use indexmap::IndexMap;
use peer::message::{EntryDemand, EntryGrant, EntryRates, GrantReply, GrantRequest};
use peer::{Member, PeerReply, PeerRequest};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time without a question after which a home forgets an entry.
const PLAN_LIFETIME: Duration = Duration::from_secs(60);

/// Grants that this instance gives out as the home of entries
#[derive(Debug, Default)]
pub struct GrantHome {
    plans: Mutex<IndexMap<EntryName, HomePlan>>,
}

#[derive(Debug)]
struct HomePlan {
    plan: GrantPlan,
    asked: Instant,
}

impl GrantHome {
    /// Answers an instance; entries that aren't in the catalogue are left out
    pub fn answer(&self, context: &NodeContext, request: &GrantRequest) -> GrantReply {
        let view = context.catalogue.view();
        let listed = context.registry.instance_count();
        let now = Instant::now();
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.retain(|_, it| now.duration_since(it.asked) < PLAN_LIFETIME);
        let mut grants = Vec::with_capacity(request.demands.len());
        for demand in &request.demands {
            let Some(entry) = view.entry(&demand.entry) else {
                continue;
            };
            let limits = LimitRates::from(&entry.entry.limits);
            let kept = plans
                .entry(demand.entry.clone())
                .or_insert_with(|| HomePlan { plan: GrantPlan::new(limits, now), asked: now });
            kept.asked = now;
            kept.plan.set_limits(limits);
            let asked = LimitDemand { rates: limit_rates(demand.rates), held: demand.held };
            let grant = kept.plan.request(&request.instance, asked, listed, now);
            grants.push(EntryGrant {
                entry: demand.entry.clone(),
                rates: entry_rates(grant.rates),
                ttl_ms: grant.ttl.as_millis() as u64,
            });
        }
        GrantReply { grants }
    }
}

/// Asks the homes of all entries with demand, over and over.
pub(super) async fn ask(context: Arc<NodeContext>) {
    let mut interval = tokio::time::interval(GRANT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        for (home, demands) in demands_by_home(&context) {
            tokio::spawn(ask_home(context.clone(), home, demands));
        }
    }
}

fn demands_by_home(context: &NodeContext) -> Vec<(Member, Vec<EntryDemand>)> {
    let view = context.peers.view();
    let mut by_home: IndexMap<&str, (Member, Vec<EntryDemand>)> = IndexMap::new();
    for (entry, demand) in context.meters.demands() {
        let Some(home) = view.home(entry.as_bytes()).filter(|_| is_wanted(&demand)) else {
            continue;
        };
        let (_, demands) = by_home.entry(&home.id).or_insert_with(|| (home.clone(), Vec::new()));
        let rates = entry_rates(demand.rates);
        demands.push(EntryDemand { entry, rates, held: demand.held });
    }
    by_home.into_values().collect()
}

fn is_wanted(demand: &LimitDemand) -> bool {
    demand.held > 0 || demand.rates != LimitRates::default()
}

async fn ask_home(context: Arc<NodeContext>, home: Member, demands: Vec<EntryDemand>) {
    let instance = context.settings.instance.id.clone();
    let is_self = home.id == instance;
    let request = GrantRequest { instance, demands };
    let asked = Instant::now();
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
        let expires = asked + Duration::from_millis(grant.ttl_ms);
        context.meters.grant(&grant.entry, limit_rates(grant.rates), expires);
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
