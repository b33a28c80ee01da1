//! Requests suspected of crashing endpoints.
//!
//! Every request in flight on an endpoint that crashes gains a strike, the innocent
//! beside the guilty. A suspect is then run only where no other suspect runs; one
//! that ends is cleared, and one that sees a second endpoint crash is refused.

use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Strikes at which a request is refused.
pub const MAX_STRIKES: usize = 2;
/// Time after which a strike no longer counts.
pub const STRIKE_LIFETIME: Duration = Duration::from_secs(600);
/// Most fingerprints remembered.
const MAX_FINGERPRINTS: usize = 10_000;

/// How a request is to be run
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SuspectVerdict {
    /// As any other
    Clear,
    /// Away from other suspects
    Isolate,
    /// Not at all
    Refuse,
}

#[derive(Debug, Clone)]
struct Strike {
    endpoint: EndpointId,
    at: Instant,
}

/// Strikes by fingerprint
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    strikes: IndexMap<Fingerprint, Vec<Strike>>,
}

impl SuspectTable {
    /// Notes that an endpoint crashed while it ran the request
    ///
    /// Told twice of the same crash, it counts one strike.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        now: Instant,
    ) -> SuspectVerdict {
        self.make_room();
        let strikes = self.strikes.entry(fingerprint).or_default();
        strikes.retain(|it| is_recent(it, now));
        if !strikes.iter().any(|it| it.endpoint == *endpoint) {
            strikes.push(Strike { endpoint: endpoint.clone(), at: now });
        }
        self.verdict(fingerprint, now)
    }

    /// How the request is to be run now
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> SuspectVerdict {
        match self.count(fingerprint, now) {
            0 => SuspectVerdict::Clear,
            count if count < MAX_STRIKES => SuspectVerdict::Isolate,
            _ => SuspectVerdict::Refuse,
        }
    }

    /// Notes that the request ended without a crash; a refused one stays refused
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.count(fingerprint, now) < MAX_STRIKES {
            self.strikes.shift_remove(&fingerprint);
        }
    }

    /// Strikes that still count
    pub fn count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let Some(strikes) = self.strikes.get(&fingerprint) else {
            return 0;
        };
        strikes.iter().filter(|it| is_recent(it, now)).count()
    }

    /// Endpoints that crashed under the request
    pub fn endpoints(&self, fingerprint: Fingerprint) -> Vec<EndpointId> {
        let strikes = self.strikes.get(&fingerprint);
        strikes.into_iter().flatten().map(|it| it.endpoint.clone()).collect()
    }

    /// Drops the strikes that no longer count
    pub fn expire(&mut self, now: Instant) {
        self.strikes.retain(|_, strikes| strikes.iter().any(|it| is_recent(it, now)));
    }

    fn make_room(&mut self) {
        if self.strikes.len() >= MAX_FINGERPRINTS {
            self.strikes.shift_remove_index(0);
        }
    }
}

fn is_recent(strike: &Strike, now: Instant) -> bool {
    now.saturating_duration_since(strike.at) < STRIKE_LIFETIME
}
