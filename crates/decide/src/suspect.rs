//! Requests suspected of crashing endpoints.
//!
//! Every request in flight on an endpoint that crashes gains a strike, whether it caused
//! the crash or is unrelated. A suspect then runs only on endpoints without other suspects.
//! A suspect that ends without a crash is cleared; one whose second endpoint crashes is
//! refused. A suspect that continues at another endpoint after a crash is also cleared, but
//! only once per `STRIKE_LIFETIME`, so that a request that crashes its endpoints late is
//! still detected.
//!
//! A crash is explained once a request is refused that ran on the endpoint at that time: the
//! other requests there lose their strikes for it, and get none that is reported later. A
//! request that is refused already stays refused.

use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Number of strikes at which a request is refused.
pub const MAX_STRIKES: usize = 2;
/// Time after which a strike no longer counts.
pub const STRIKE_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum time between the reports of one crash by the requests that ran there.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of tracked fingerprints; the oldest entry is evicted first.
const MAX_FINGERPRINTS: usize = 10_000;

/// Decision on how to run a request
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SuspectDecision {
    /// Run it like any other request
    Clear,
    /// Run it on an endpoint without other suspects
    Isolate,
    /// Do not run it
    Refuse,
}

#[derive(Debug, Clone)]
struct Strike {
    endpoint: EndpointId,
    at: Instant,
}

#[derive(Debug, Clone, Default)]
struct SuspectEntry {
    strikes: Vec<Strike>,
    progressed_at: Option<Instant>,
}

impl SuspectEntry {
    fn is_refused(&self, now: Instant) -> bool {
        self.strikes.iter().filter(|it| is_recent(it, now)).count() >= MAX_STRIKES
    }

    fn is_recent(&self, now: Instant) -> bool {
        let has_progressed = self.progressed_at.is_some_and(|it| is_fresh(it, now));
        has_progressed || self.strikes.iter().any(|it| is_recent(it, now))
    }
}

/// Strikes by fingerprint
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    entries: IndexMap<Fingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Records that an endpoint crashed while it ran the request
    ///
    /// Idempotent: repeated reports of the same endpoint count as one strike.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        now: Instant,
    ) -> SuspectDecision {
        self.evict_oldest();
        let is_refused = self.strike_count(fingerprint, now) >= MAX_STRIKES;
        if !is_refused && self.is_explained(endpoint, now) {
            return self.decision(fingerprint, now);
        }
        let strikes = &mut self.entries.entry(fingerprint).or_default().strikes;
        strikes.retain(|it| is_recent(it, now));
        if !strikes.iter().any(|it| it.endpoint == *endpoint) {
            strikes.push(Strike { endpoint: endpoint.clone(), at: now });
        }
        let decision = self.decision(fingerprint, now);
        if decision == SuspectDecision::Refuse {
            self.explain_crashes(fingerprint, now);
        }
        decision
    }

    /// Whether a refused request ran on the endpoint when it crashed just now
    fn is_explained(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.entries.values().any(|entry| {
            entry.is_refused(now) && entry.strikes.iter().any(|it| is_same_crash(it, endpoint, now))
        })
    }

    /// Takes back the strikes of other requests for the crashes of a refused one
    fn explain_crashes(&mut self, refused: Fingerprint, now: Instant) {
        let Some(crashes) = self.entries.get(&refused).map(|it| it.strikes.clone()) else {
            return;
        };
        for entry in self.entries.values_mut().filter(|it| !it.is_refused(now)) {
            entry.strikes.retain(|strike| {
                !crashes.iter().any(|it| is_same_crash(it, &strike.endpoint, strike.at))
            });
        }
    }

    /// Whether no request is suspected
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides how to run a request now
    pub fn decision(&self, fingerprint: Fingerprint, now: Instant) -> SuspectDecision {
        match self.strike_count(fingerprint, now) {
            0 => SuspectDecision::Clear,
            count if count < MAX_STRIKES => SuspectDecision::Isolate,
            _ => SuspectDecision::Refuse,
        }
    }

    /// Records that the request ended without a crash; a refused request stays refused
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.strike_count(fingerprint, now) < MAX_STRIKES {
            self.entries.shift_remove(&fingerprint);
        }
    }

    /// Records that the request continues at another endpoint after a crash
    pub fn record_progress(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.strike_count(fingerprint, now) >= MAX_STRIKES {
            return;
        }
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if !entry.progressed_at.is_some_and(|it| is_fresh(it, now)) {
            entry.progressed_at = Some(now);
            entry.strikes.clear();
        }
    }

    /// Number of strikes that still count
    pub fn strike_count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return 0;
        };
        entry.strikes.iter().filter(|it| is_recent(it, now)).count()
    }

    /// Endpoints that crashed while they ran the request
    pub fn endpoints(&self, fingerprint: Fingerprint) -> Vec<EndpointId> {
        let entry = self.entries.get(&fingerprint);
        entry.into_iter().flat_map(|it| &it.strikes).map(|it| it.endpoint.clone()).collect()
    }

    /// Endpoints that crashed, by request; those of the requests recorded last come first
    pub fn strikes(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, &EndpointId)> {
        self.entries.iter().rev().flat_map(move |(fingerprint, entry)| {
            let strikes = entry.strikes.iter().filter(move |it| is_recent(it, now));
            strikes.map(|it| (*fingerprint, &it.endpoint))
        })
    }

    /// Drops the entries that no longer count
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.is_recent(now));
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() >= MAX_FINGERPRINTS {
            self.entries.shift_remove_index(0);
        }
    }
}

/// Whether a strike is for the crash of an endpoint that was reported at a time
fn is_same_crash(strike: &Strike, endpoint: &EndpointId, at: Instant) -> bool {
    let distance = strike.at.max(at).saturating_duration_since(strike.at.min(at));
    strike.endpoint == *endpoint && distance < SAME_CRASH_WINDOW
}

fn is_recent(strike: &Strike, now: Instant) -> bool {
    is_fresh(strike.at, now)
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STRIKE_LIFETIME
}
