//! Requests suspected of crashing endpoints.
//!
//! Every request in flight on an endpoint that crashes gains a strike, whether it caused
//! the crash or is unrelated. A suspect then runs only on endpoints without other suspects.
//! A suspect that ends without a crash is cleared; one whose second endpoint crashes is
//! refused. A suspect that continues at another endpoint after a crash is also cleared, but
//! only once per `STRIKE_LIFETIME`, so that a request that crashes its endpoints late is
//! still detected.

use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Number of strikes at which a request is refused.
pub const MAX_STRIKES: usize = 2;
/// Time after which a strike no longer counts.
pub const STRIKE_LIFETIME: Duration = Duration::from_secs(600);
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
        let strikes = &mut self.entries.entry(fingerprint).or_default().strikes;
        strikes.retain(|it| is_recent(it, now));
        if !strikes.iter().any(|it| it.endpoint == *endpoint) {
            strikes.push(Strike { endpoint: endpoint.clone(), at: now });
        }
        self.decision(fingerprint, now)
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

fn is_recent(strike: &Strike, now: Instant) -> bool {
    is_fresh(strike.at, now)
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STRIKE_LIFETIME
}
