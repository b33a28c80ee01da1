//! Requests shares of entries' limits from their homes.

use crate::context::InstanceContext;
use crate::grant_home::{entry_rates, limit_rates};
use decide::grant::GRANT_INTERVAL;
use decide::limits::{LimitDemand, LimitRates};
use indexmap::IndexMap;
use peer::message::{EntryDemand, GrantRequest};
use peer::{Member, PeerReply, PeerRequest};
use std::sync::Arc;
use std::time::{Duration, Instant};

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
        context.answer_grant(&request)
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
