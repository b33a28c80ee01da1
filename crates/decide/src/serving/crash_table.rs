//! Requests that crash the endpoints that run them.
//!
//! Every request in flight at an endpoint that crashes gains a strike, whether it caused
//! the crash or is a bystander. Strikes count until the request completes, since a request
//! that crashes endpoints never does. One with `MAX_STRIKES` is refused, unless a request
//! with more strikes explains its crashes. Two requests that have crashed the same number
//! of endpoints, all of them together, can't be told apart, and both are refused.
//!
//! Nothing is taken back: each decision is computed from all strikes and completions.
//! Instances may therefore merge their tables in any order, and as often as they like.

use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::hash::Hasher;
use std::time::{Duration, Instant};
use twox_hash::XxHash3_64;

/// Strikes from which a request is refused; the users' rules count retries from the third crash on.
pub const MAX_STRIKES: usize = 3;
/// Time after which a strike or a completion no longer counts.
pub const STRIKE_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum time between the reports of one crash by the requests that ran there.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Maximum delay of a report to another instance, by which a strike may seem to be later than a completion.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of tracked requests.
const MAX_ENTRIES: usize = 500;
/// Maximum number of strikes kept for a request; more don't change the decision.
const MAX_KEPT_STRIKES: usize = 6;

#[derive(Debug, Clone)]
struct Strike {
    endpoint: EndpointId,
    at: Instant,
}

impl Strike {
    /// Whether two requests report the same crash
    fn is_same_crash(&self, other: &Strike) -> bool {
        self.endpoint == other.endpoint && distance(self.at, other.at) < SAME_CRASH_WINDOW
    }
}

#[derive(Debug, Clone, Default)]
struct CrashEntry {
    strikes: Vec<Strike>,
    completed_at: Option<Instant>,
}

impl CrashEntry {
    /// Time of the last fact
    fn last_at(&self) -> Option<Instant> {
        self.strikes.iter().map(|it| it.at).chain(self.completed_at).max()
    }

    fn drop_void(&mut self, now: Instant) {
        let completed_at = self.completed_at;
        self.strikes
            .retain(|it| is_fresh(it.at, now) && completed_at.is_none_or(|end| end < it.at));
    }
}

/// Strike or completion of a request, as instances send it to each other
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CrashFact {
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed; `None` if the request completed
    pub crashed: Option<EndpointId>,
    /// Age in milliseconds when it was sent
    pub age_ms: u32,
}

impl CrashFact {
    /// Fact that has become known at a time
    pub fn new(
        fingerprint: Fingerprint,
        crashed: Option<EndpointId>,
        at: Instant,
        now: Instant,
    ) -> CrashFact {
        let age = now.saturating_duration_since(at).as_millis();
        CrashFact { fingerprint, crashed, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
    }
}

/// Hash of facts, independent of their order and ages; 0 without facts.
pub type FactDigest = u64;

/// Strikes and completions by request
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    entries: IndexMap<Fingerprint, CrashEntry>,
    digest: FactDigest,
}

impl CrashTable {
    /// Whether no request has a strike or has completed after one
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that an endpoint crashed at a time while it ran the request; `true` if that is new
    ///
    /// The next incarnation may run, and crash, before the list shows it. A crash therefore is identified by its time.
    pub fn record_strike(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !is_fresh(at, now) {
            return false;
        }
        if !self.entries.contains_key(&fingerprint) {
            self.make_room();
        }
        let entry = self.entries.entry(fingerprint).or_default();
        entry.drop_void(now);
        let strike = Strike { endpoint: endpoint.clone(), at };
        let is_known = entry.strikes.iter().any(|it| it.is_same_crash(&strike));
        let is_full = entry.strikes.len() >= MAX_KEPT_STRIKES;
        if is_known || is_full || is_voided(at, entry.completed_at) {
            return false;
        }
        entry.strikes.push(strike);
        self.update_digest();
        true
    }

    /// Records that the request completed without a crash; `true` if that is new and it had strikes
    pub fn record_completion(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        let is_new = entry.strikes.iter().any(|it| is_voided(it.at, Some(at)));
        if is_new {
            entry.completed_at = entry.completed_at.max(Some(at));
            entry.drop_void(now);
            self.update_digest();
        }
        is_new
    }

    /// Adds a fact of another instance; `true` if it is new
    pub fn merge(&mut self, fact: &CrashFact, now: Instant) -> bool {
        let age = Duration::from_millis(fact.age_ms.into());
        // A fact from before the steady clock's start is older than any strike that counts.
        let Some(at) = now.checked_sub(age) else { return false };
        match &fact.crashed {
            Some(endpoint) => self.record_strike(fact.fingerprint, endpoint, at, now),
            None => self.record_completion(fact.fingerprint, at, now),
        }
    }

    /// All facts that count; those on requests with the most strikes first
    pub fn facts(&self, now: Instant) -> Vec<CrashFact> {
        let mut entries = self.entries.iter().collect::<Vec<_>>();
        entries.sort_by_key(|(_, entry)| Reverse(entry.strikes.len()));
        let facts = entries.into_iter().flat_map(|(fingerprint, entry)| {
            let fact = move |crashed, at| CrashFact::new(*fingerprint, crashed, at, now);
            let strikes = entry.strikes.iter().filter(move |it| is_fresh(it.at, now));
            let strikes = strikes.map(move |it| fact(Some(it.endpoint.clone()), it.at));
            strikes.chain(entry.completed_at.map(|it| fact(None, it)))
        });
        facts.collect()
    }

    /// Hash of the strikes, by which instances notice that their tables differ
    ///
    /// A completion shows by the strikes that it voids.
    pub fn digest(&self) -> FactDigest {
        self.digest
    }

    fn update_digest(&mut self) {
        let hashes = self.entries.iter().flat_map(|(fingerprint, entry)| {
            entry.strikes.iter().map(|it| {
                let mut hasher = XxHash3_64::default();
                hasher.write_u64(*fingerprint);
                hasher.write(it.endpoint.as_bytes());
                hasher.finish()
            })
        });
        self.digest = hashes.fold(0, FactDigest::wrapping_add);
    }

    /// Number of strikes that count
    pub fn strike_count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        self.strikes(fingerprint, now).count()
    }

    /// Whether the request is refused
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let count = self.strike_count(fingerprint, now);
        if count < MAX_STRIKES {
            return false;
        }
        let with_more = self.entries.keys().filter(|it| self.strike_count(**it, now) > count);
        let explained = with_more.flat_map(|it| self.strikes(*it, now)).collect::<Vec<_>>();
        let unexplained = self
            .strikes(fingerprint, now)
            .filter(|strike| !explained.iter().any(|it| it.is_same_crash(strike)));
        unexplained.count() >= MAX_STRIKES
    }

    /// Drops the entries that no longer count
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.drop_void(now);
            entry.completed_at = entry.completed_at.filter(|it| is_fresh(*it, now));
            entry.last_at().is_some()
        });
        self.update_digest();
    }

    fn strikes(&self, fingerprint: Fingerprint, now: Instant) -> impl Iterator<Item = &Strike> {
        let entry = self.entries.get(&fingerprint);
        entry.into_iter().flat_map(|it| &it.strikes).filter(move |it| is_fresh(it.at, now))
    }

    /// Evicts the entry with the fewest strikes, the oldest of these, if the table is full
    fn make_room(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let weakest =
            self.entries.iter().min_by_key(|(_, entry)| (entry.strikes.len(), entry.last_at()));
        if let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.swap_remove(&fingerprint);
        }
    }
}

/// Whether a completion voids a strike
fn is_voided(at: Instant, completed_at: Option<Instant>) -> bool {
    completed_at.is_some_and(|it| at <= it + MAX_REPORT_DELAY)
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STRIKE_LIFETIME
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.max(other).saturating_duration_since(one.min(other))
}
