//! Records the notices in endpoints' answers and applies them to requests.

use crate::messages::ServingUpdate;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use catalogue::id::PoolName;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::{AnswerTime, PauseStep};
use decide::serving::rate_limit::LimitReport;
use platform_adapter::answer::{AnswerHead, NamedLimit};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

impl Gateway {
    /// Whether an endpoint accepts a request now, by the list, its notices and its limit
    pub fn accepts(&self, endpoint: &ListedEndpoint) -> bool {
        let now = Instant::now();
        self.endpoints.borrow().is_ready(&endpoint.id, now)
            && self.notices.borrow().accepts(endpoint, now)
            && self.limits.borrow().wait(endpoint, now).is_zero()
    }

    /// Whether a request may be sent now; it then counts towards the endpoint's limit
    pub fn try_start_send(&self, endpoint: &ListedEndpoint) -> bool {
        let now = Instant::now();
        self.endpoints.borrow().is_ready(&endpoint.id, now)
            && self.notices.borrow().accepts(endpoint, now)
            && self.limits.borrow_mut().try_take(endpoint, rand::random(), now)
    }

    /// Records the notices in an answer of an endpoint
    pub fn record_notices(&self, endpoint: &ListedEndpoint, head: &AnswerHead) {
        let list = self.endpoints.borrow();
        // Another endpoint may have taken over the address.
        let sender = match &head.endpoint {
            Some(id) if *id != endpoint.id => list.get(id),
            _ => Some(endpoint),
        };
        let Some(sender) = sender.filter(|it| it.address == endpoint.address) else { return };
        let mut notices = self.notices.borrow_mut();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        let time = AnswerTime { at: Instant::now(), unix_ms };
        if head.is_leaving && notices.record_leaving(sender, time) {
            log::info!("event=endpoint_leaves endpoint={} source=own", sender.id);
            let leaving = vec![(sender.id.clone(), sender.started_at_ms)];
            let update = ServingUpdate { leaving, ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
        if let Some(pause) = head.pause {
            notices.record_pause(sender, pause, rand::random(), time);
            log::info!(
                "event=endpoint_sheds endpoint={} pause_ms={}",
                sender.id,
                pause.as_millis()
            );
        }
        drop(notices);
        self.record_limit(sender, head, time);
    }

    /// Records the limit that an answer names, or that it names none
    fn record_limit(&self, endpoint: &ListedEndpoint, head: &AnswerHead, time: AnswerTime) {
        let rate = match head.limit {
            NamedLimit::Rate(rate) => Some(rate),
            // Bytes that are no answer of the endpoint don't end its limit.
            NamedLimit::None if head.request_id.is_some() && !head.is_misdirected() => None,
            NamedLimit::None | NamedLimit::Unreadable => return,
        };
        let report = LimitReport {
            endpoint: endpoint.id.clone(),
            last_start_ms: endpoint.started_at_ms.max(time.unix_ms),
            rate,
            age_ms: 0,
        };
        if self.apply_limit(&report, "own", time.at) {
            let update = ServingUpdate { limits: vec![report], ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
    }

    /// Applies limits that other instances have reported
    pub fn apply_limits(&self, reports: &[LimitReport], now: Instant) {
        for report in reports {
            self.apply_limit(report, "peer", now);
        }
    }

    /// Applies what an answer says of a limit; `true` if other instances should learn it
    fn apply_limit(&self, report: &LimitReport, source: &str, now: Instant) -> bool {
        let mut limits = self.limits.borrow_mut();
        if report.rate.is_none() && limits.is_empty() {
            return false;
        }
        let fleet = self.load.borrow().fleet_demand(&report.endpoint);
        let Some(change) = limits.record(report, &fleet, rand::random(), now) else { return false };
        if change.from.is_some() != change.to.is_some() {
            log::info!(
                "event=endpoint_limit endpoint={} from={:?} to={:?} source={source} instances={} known={}",
                report.endpoint,
                change.from,
                change.to,
                fleet.instances,
                fleet.is_known,
            );
            self.metrics.endpoints_limited.set(i64::try_from(limits.len()).unwrap_or(i64::MAX));
        }
        change.is_reported
    }

    /// Computes this instance's demand and its shares of all limits again
    pub fn update_limits(&self, now: Instant) {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() {
            return;
        }
        let mut load = self.load.borrow_mut();
        load.record_demands(&limits.demands(now));
        limits.share(|it| load.fleet_demand(it), now);
    }

    /// What to do with a request if the endpoints of its pool are paused
    pub fn pause_step(&self, call: &ServingCall) -> Option<PauseStep> {
        let now = Instant::now();
        let list = self.endpoints.borrow();
        let pool = list.ready(now).filter(|it| call.fits(it)).collect::<Vec<_>>();
        let limits = self.limits.borrow();
        self.notices.borrow().pause_step(
            &pool,
            |it| call.excluded.contains(&it.id),
            |it| limits.wait(it, now),
            call.arrived_at.elapsed(),
            call.route.objective,
            now,
        )
    }

    /// Time after which a refused request may come back, if the first endpoint accepts requests after `wait`
    pub fn book_return(&self, pool: &PoolName, wait: Duration) -> Duration {
        let now = Instant::now();
        let list = self.endpoints.borrow();
        let endpoints = list.ready(now).filter(|it| it.pool == *pool).collect::<Vec<_>>();
        let mut limits = self.limits.borrow_mut();
        if endpoints.iter().all(|it| limits.wait(it, now).is_zero()) {
            return wait;
        }
        limits.book_return(pool, &endpoints, wait, now)
    }
}
