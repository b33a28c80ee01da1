//! Crashes of endpoints as evidence against the requests that ran there: what this instance records, sends and decides.

use crate::messages::ServingUpdate;
use crate::state::Gateway;
use decide::fingerprint::Fingerprint;
use decide::serving::crash_table::{
    BrokenEndpoint, CrashFact, EndpointStatus, MAX_STRIKES, REFUSAL_TIME, StrikeScope,
};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::silence::{SilenceCause, SilentRequest};
use std::time::{Duration, Instant};

impl Gateway {
    /// Records that an endpoint closed the connection at a time while it may have run a request
    pub fn record_strike(&self, fingerprint: Fingerprint, endpoint: BrokenEndpoint, at: Instant) {
        let now = Instant::now();
        let mut broken = endpoint;
        // The list may have shown the end while the evidence was held back.
        if self.has_ended(&broken) {
            broken.status = broken.status.max(EndpointStatus::Ended);
        }
        self.record_crash_fact(CrashFact::new(fingerprint, Some(broken), at, now), now);
    }

    /// Records that an endpoint has accepted a connection or answered
    pub fn record_alive(&self, endpoint: &ListedEndpoint) {
        let now = Instant::now();
        let changes = self.crashes.borrow_mut().record_alive(endpoint, now);
        self.send_crash_facts(changes);
        let part_crashes = self.part_suspects.table.borrow_mut().record_alive(endpoint, now);
        if !part_crashes.is_empty() {
            self.suspects_changed.notify_one();
            let update = ServingUpdate { part_crashes, ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
        if !self.silent_requests.borrow().is_empty() {
            let mut alive = self.silent_requests.borrow_mut().take_alive(endpoint, now);
            // For others, a timeout at an endpoint that lives says nothing.
            alive.retain(|it| it.is_common && it.cause == SilenceCause::TimedOut);
            self.record_silent_requests(alive, EndpointStatus::Slow, now);
        }
    }

    /// Records that an endpoint refuses connections
    pub fn record_refused_connection(&self, endpoint: &ListedEndpoint) {
        let has_ended = |it: &BrokenEndpoint| {
            it.id == endpoint.id && it.started_at_ms == endpoint.started_at_ms
        };
        let now = Instant::now();
        let id = endpoint.id.clone();
        self.ended_incarnations.borrow_mut().insert(id, endpoint.started_at_ms);
        let changes = self.crashes.borrow_mut().record_ended(has_ended, now);
        self.send_crash_facts(changes);
        // A draining endpoint may end at any time.
        let is_draining = self.endpoints.borrow().get(&endpoint.id).is_some_and(|it| !it.is_ready);
        if !is_draining {
            let ended = self.silent_requests.borrow_mut().take_ended(endpoint, now);
            self.record_silent_requests(ended, EndpointStatus::Ended, now);
        }
    }

    /// Whether the list shows that an incarnation has ended
    fn has_ended(&self, broken: &BrokenEndpoint) -> bool {
        let list = self.endpoints.borrow();
        list.get(&broken.id).is_none_or(|it| it.started_at_ms > broken.started_at_ms)
    }

    fn send_crash_facts(&self, crashes: Vec<CrashFact>) {
        if !crashes.is_empty() {
            self.suspects_changed.notify_one();
            let update = ServingUpdate { crashes, ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
    }

    /// Records which endpoints that broke off requests, or went silent on them, have ended, as the list shows now
    pub fn record_listed_ends(&self, now: Instant) {
        let changes = self.crashes.borrow_mut().record_ended(|it| self.has_ended(it), now);
        self.send_crash_facts(changes);
        let crashed = {
            let list = self.endpoints.borrow();
            self.silent_requests.borrow_mut().take_crashed(&list, now)
        };
        self.record_silent_requests(crashed, EndpointStatus::Ended, now);
    }

    fn record_silent_requests(
        &self,
        requests: Vec<SilentRequest>,
        status: EndpointStatus,
        now: Instant,
    ) {
        for it in requests {
            let (id, started_at_ms) = (it.endpoint, it.started_at_ms);
            let broken = BrokenEndpoint { id, started_at_ms, status };
            let fact = |key| CrashFact::new(key, Some(broken.clone()), it.at, now);
            self.record_crash_fact(fact(it.fingerprint), now);
            self.record_part_facts(it.parts.iter().copied().map(fact), now);
        }
    }

    /// Records that a request completed without a crash
    pub fn record_completed(&self, fingerprint: Fingerprint, now: Instant) {
        self.completed.borrow_mut().put(fingerprint, ());
        self.record_crash_fact(CrashFact::new(fingerprint, None, now, now), now);
    }

    fn record_crash_fact(&self, fact: CrashFact, now: Instant) {
        if self.apply_crash_fact(&fact, "own", now) {
            let update = ServingUpdate { crashes: vec![fact], ..Default::default() };
            self.pending_update.borrow_mut().extend(update);
        }
    }

    /// Adds a fact to the table; `true` if it is new
    pub fn apply_crash_fact(&self, fact: &CrashFact, source: &str, now: Instant) -> bool {
        let mut crashes = self.crashes.borrow_mut();
        let is_new = crashes.merge(fact, now);
        if is_new {
            self.suspects_changed.notify_one();
            let fingerprint = fact.fingerprint;
            let count = |scope| crashes.strike_count(fingerprint, scope, now);
            log::info!(
                "event=strike fingerprint={fingerprint:x} endpoint={} age_ms={} source={source} strikes={} ended={}",
                fact.broken.as_ref().map_or("none", |it| it.id.as_str()),
                fact.age_ms,
                count(StrikeScope::All),
                count(StrikeScope::Ended),
            );
        }
        is_new
    }

    /// Whether a request is refused for the crashes of the endpoints that ran it
    pub fn is_suspected(&self, fingerprint: Fingerprint, has_body: bool, now: Instant) -> bool {
        let is_common = self.is_common(fingerprint, has_body);
        let scope = if is_common { StrikeScope::Ended } else { StrikeScope::All };
        self.crashes.borrow().is_refused(fingerprint, scope, now)
    }

    /// Time for which all requests without a body on a path are refused; `None` if they aren't
    ///
    /// A path that was served before is tried again soon: many endpoints that ran it may have ended at once for a
    /// reason of their own. So is one that may have been served, by instances that have all ended.
    pub fn path_refusal_left(&self, path: Fingerprint, now: Instant) -> Option<Duration> {
        let was_served = self.completed.borrow().contains(&path)
            || self.restored_suspects.borrow().contains(&path);
        let first = if was_served { self.part_suspects.soon() } else { REFUSAL_TIME };
        self.crashes.borrow().refusal_left(path, MAX_STRIKES, first, StrikeScope::Ended, now)
    }

    /// Whether many requests look the same, see `crash_table`
    pub fn is_common(&self, fingerprint: Fingerprint, has_body: bool) -> bool {
        !has_body || self.completed.borrow().contains(&fingerprint)
    }
}
