//! Requests that crash the endpoints that run them, and parts of prompts that do, see `crash_parts`.
//!
//! Every request in flight at an endpoint that crashes gains a strike, whether it caused
//! the crash or is a bystander. Strikes count until the request completes, since a request
//! that crashes endpoints never does. One with `MAX_STRIKES` is refused, unless a request
//! with more strikes explains its crashes, and tried again at ever longer intervals, three
//! times in all. Two requests that have crashed the same number
//! of endpoints, all of them together, can't be distinguished, and both are refused.
//!
//! A connection that ends early may also be the endpoint's own fault. That shows where many
//! requests look the same: common requests, which have no body or have completed lately, are
//! refused only for endpoints that have ended, by the list or since they refuse connections.
//!
//! Nothing is taken back: each decision is computed from all strikes and completions.
//! Instances may therefore merge their tables in any order, and as often as they like.

use super::endpoint_list::IncarnationStart;
use super::endpoint_list::ListedEndpoint;
use crate::fingerprint::Fingerprint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::hash::Hasher;
use std::ops::Range;
use std::time::{Duration, Instant};
use twox_hash::XxHash3_64;

/// Strikes from which a request is refused; the users' rules count retries from the third crash on.
pub const MAX_STRIKES: usize = 3;
/// Time after which a strike or a completion no longer counts, with fewer strikes than `MAX_STRIKES`.
pub const STRIKE_LIFETIME: Duration = Duration::from_secs(600);
/// The same with as many strikes or more.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(3 * 3600);
/// Time of a refusal; each further crash doubles it.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Time from the crash that leads to a refusal after which further crashes are those of retries.
const REFUSAL_DELAY: Duration = Duration::from_secs(3);
/// Crashes of retries from which there is no further one; the users' rules allow three.
const MAX_RETRIES: usize = 3;
/// Maximum time between the reports of one crash by the requests that ran there.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Maximum delay of a report to another instance, by which a strike may seem to be later than a completion.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time after a break-off in which a sign of life shows that the same incarnation lives on: not yet restarted,
/// and later than what was on its way.
const ALIVE_TIME: Range<Duration> = Duration::from_millis(100)..Duration::from_millis(1000);
/// Time after a break-off within which the end of the endpoint becomes known.
const MAX_END_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of tracked requests.
const MAX_ENTRIES: usize = 500;
/// Maximum numbers of the first and of the last strikes kept for a request or part; others don't change the decision.
const MAX_FIRST_STRIKES: usize = 5;
const MAX_LAST_STRIKES: usize = 3;

/// What has become of an endpoint after it broke off a request; what is greater replaces what is less
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum EndpointStatus {
    Unknown,
    /// It has ended
    Ended,
    /// The same incarnation accepted a connection or answered soon afterwards
    Alive,
    /// It only didn't answer in time, and lives
    Slow,
}

/// Endpoint that broke off a request
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BrokenEndpoint {
    pub id: EndpointId,
    /// Start of its incarnation as it was listed
    pub started_at_ms: IncarnationStart,
    pub status: EndpointStatus,
}

#[derive(Debug, Clone)]
struct Strike {
    endpoint: BrokenEndpoint,
    at: Instant,
}

impl Strike {
    /// Whether two requests report the same crash
    fn is_same_crash(&self, other: &Strike) -> bool {
        self.endpoint.id == other.endpoint.id && distance(self.at, other.at) < SAME_CRASH_WINDOW
    }

    fn is_same_incarnation(&self, other: &Strike) -> bool {
        let key = |it: &Strike| (it.endpoint.id.clone(), it.endpoint.started_at_ms);
        key(self) == key(other)
    }

    /// Whether it counts among all strikes of its request
    fn counts(&self, index: usize, strikes: &[Strike], scope: StrikeScope) -> bool {
        let status = self.endpoint.status;
        match scope {
            StrikeScope::All => return status < EndpointStatus::Slow,
            StrikeScope::Lost => return status <= EndpointStatus::Ended,
            StrikeScope::Ended => {}
        }
        // An incarnation that had broken off or delayed requests before ends for reasons of its own, and only once.
        let was_alive = |it: &Strike| it.endpoint.status > EndpointStatus::Ended;
        status == EndpointStatus::Ended
            && !strikes.iter().any(|it| was_alive(it) && it.is_same_incarnation(self))
            && !strikes[..index].iter().any(|it| it.is_same_incarnation(self))
    }
}

/// Strikes that count
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrikeScope {
    All,
    /// Only those of endpoints that have shown no sign of life since
    Lost,
    /// Only those of endpoints that have ended
    Ended,
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
        let (completed_at, lifetime) = (self.completed_at, self.lifetime());
        self.strikes.retain(|it| is_fresh(it.at, lifetime, now) && !is_voided(it.at, completed_at));
    }

    /// Adds a strike, whatever the order in which strikes become known
    fn add(&mut self, strike: Strike, now: Instant) {
        self.strikes.push(strike);
        self.drop_void(now);
        self.strikes
            .sort_by(|one, other| (one.at, &one.endpoint.id).cmp(&(other.at, &other.endpoint.id)));
        let mut crashes = Vec::<Strike>::new();
        for strike in self.strikes.drain(..) {
            match crashes.iter_mut().find(|it| it.is_same_crash(&strike)) {
                Some(known) => {
                    let status = known.endpoint.status.max(strike.endpoint.status);
                    known.endpoint.status = status;
                }
                None => crashes.push(strike),
            }
        }
        // Strikes at endpoints that live are the first to go.
        let lives = |it: &Strike| it.endpoint.status > EndpointStatus::Ended;
        let (alive, mut lost): (Vec<_>, Vec<_>) = crashes.into_iter().partition(lives);
        if lost.len() > MAX_FIRST_STRIKES + MAX_LAST_STRIKES {
            lost.drain(MAX_FIRST_STRIKES..lost.len() - MAX_LAST_STRIKES);
        }
        let room = MAX_FIRST_STRIKES + MAX_LAST_STRIKES - lost.len();
        lost.extend(alive.into_iter().take(room));
        self.strikes = lost;
    }

    /// Hash of the strikes
    fn digest(&self, fingerprint: Fingerprint) -> FactDigest {
        let hashes = self.strikes.iter().map(|it| {
            let mut hasher = XxHash3_64::default();
            hasher.write_u64(fingerprint);
            hasher.write(it.endpoint.id.as_bytes());
            hasher.write_u8(it.endpoint.status as u8);
            hasher.finish()
        });
        hashes.fold(0, FactDigest::wrapping_add)
    }

    /// Time for which its strikes count
    fn lifetime(&self) -> Duration {
        if self.strikes.len() < MAX_STRIKES { STRIKE_LIFETIME } else { SUSPECT_LIFETIME }
    }
}

/// Strike or completion of a request, as instances send it to each other
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CrashFact {
    pub fingerprint: Fingerprint,
    /// Endpoint that broke it off; `None` if the request completed
    pub broken: Option<BrokenEndpoint>,
    /// Age in milliseconds when it was sent
    pub age_ms: u32,
}

impl CrashFact {
    /// Fact that has become known at a time
    pub fn new(
        fingerprint: Fingerprint,
        broken: Option<BrokenEndpoint>,
        at: Instant,
        now: Instant,
    ) -> CrashFact {
        let age = now.saturating_duration_since(at).as_millis();
        CrashFact { fingerprint, broken, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
    }
}

/// Hash of facts, independent of their order and ages; 0 without facts.
pub type FactDigest = u64;

/// Strikes of a suspected request or part
#[derive(Debug, Clone)]
pub struct SuspectStrikes {
    pub fingerprint: Fingerprint,
    /// Endpoints that broke it off, and when
    pub strikes: Vec<(BrokenEndpoint, Instant)>,
    /// Hash of the strikes, with the status of each endpoint
    pub digest: FactDigest,
}

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

    /// Records that an endpoint broke the request off at a time; `true` if that, or the endpoint's status, is new
    ///
    /// The next incarnation may run, and crash, before the list shows it. A crash therefore is identified by its time.
    pub fn record_strike(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &BrokenEndpoint,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !is_fresh(at, SUSPECT_LIFETIME, now) {
            return false;
        }
        if !self.entries.contains_key(&fingerprint) {
            self.make_room();
        }
        let entry = self.entries.entry(fingerprint).or_default();
        let before = entry.digest(fingerprint);
        entry.add(Strike { endpoint: endpoint.clone(), at }, now);
        let after = entry.digest(fingerprint);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        before != after
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

    /// Records that a listed incarnation has accepted a connection or answered; returns what that changes
    pub fn record_alive(&mut self, endpoint: &ListedEndpoint, now: Instant) -> Vec<CrashFact> {
        let is_alive = |it: &Strike| {
            it.endpoint.id == endpoint.id
                && it.endpoint.started_at_ms == endpoint.started_at_ms
                && ALIVE_TIME.contains(&now.saturating_duration_since(it.at))
        };
        self.update_statuses(EndpointStatus::Alive, is_alive, now)
    }

    /// Records the endpoints that have ended since they broke off a request; returns what that changes
    pub fn record_ended(
        &mut self,
        has_ended: impl Fn(&BrokenEndpoint) -> bool,
        now: Instant,
    ) -> Vec<CrashFact> {
        let has_ended = |it: &Strike| {
            now.saturating_duration_since(it.at) < MAX_END_DELAY && has_ended(&it.endpoint)
        };
        self.update_statuses(EndpointStatus::Ended, has_ended, now)
    }

    fn update_statuses(
        &mut self,
        status: EndpointStatus,
        is_concerned: impl Fn(&Strike) -> bool,
        now: Instant,
    ) -> Vec<CrashFact> {
        let mut changed = Vec::new();
        for (fingerprint, entry) in &mut self.entries {
            for strike in &mut entry.strikes {
                if strike.endpoint.status < status && is_concerned(strike) {
                    strike.endpoint.status = status;
                    let broken = Some(strike.endpoint.clone());
                    changed.push(CrashFact::new(*fingerprint, broken, strike.at, now));
                }
            }
        }
        if !changed.is_empty() {
            self.update_digest();
        }
        changed
    }

    /// Adds a fact of another instance; `true` if it is new
    pub fn merge(&mut self, fact: &CrashFact, now: Instant) -> bool {
        let age = Duration::from_millis(fact.age_ms.into());
        // A fact from before the steady clock's start is older than any strike that counts.
        let Some(at) = now.checked_sub(age) else { return false };
        match &fact.broken {
            Some(endpoint) => self.record_strike(fact.fingerprint, endpoint, at, now),
            None => self.record_completion(fact.fingerprint, at, now),
        }
    }

    /// All facts that count; those on requests with the most strikes first
    pub fn facts(&self, now: Instant) -> Vec<CrashFact> {
        let mut entries = self.entries.iter().collect::<Vec<_>>();
        entries.sort_by_key(|(_, entry)| Reverse(entry.strikes.len()));
        let facts = entries.into_iter().flat_map(|(fingerprint, entry)| {
            let fact = move |broken, at| CrashFact::new(*fingerprint, broken, at, now);
            let lifetime = entry.lifetime();
            let strikes = entry.strikes.iter().filter(move |it| is_fresh(it.at, lifetime, now));
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
        let digests = self.entries.iter().map(|(fingerprint, entry)| entry.digest(*fingerprint));
        self.digest = digests.fold(0, FactDigest::wrapping_add);
    }

    /// Number of strikes that count
    pub fn strike_count(
        &self,
        fingerprint: Fingerprint,
        scope: StrikeScope,
        now: Instant,
    ) -> usize {
        self.strikes(fingerprint, scope, now).count()
    }

    /// Whether the request is refused
    pub fn is_refused(&self, fingerprint: Fingerprint, scope: StrikeScope, now: Instant) -> bool {
        self.refusal_left(fingerprint, MAX_STRIKES, REFUSAL_TIME, scope, now).is_some()
    }

    /// Time for which a request or part is refused that has `limit` unexplained strikes; `None` if it isn't
    ///
    /// The first refusal takes `first_refusal` from the last crash. Then it is tried again, and less often after each
    /// crash that follows.
    pub fn refusal_left(
        &self,
        fingerprint: Fingerprint,
        limit: usize,
        first_refusal: Duration,
        scope: StrikeScope,
        now: Instant,
    ) -> Option<Duration> {
        if self.unexplained_strikes(fingerprint, scope, now) < limit {
            return None;
        }
        let mut times = self.strikes(fingerprint, scope, now).map(|it| it.at).collect::<Vec<_>>();
        times.sort();
        let refused_at = *times.get(limit - 1)? + REFUSAL_DELAY;
        let time = match times.iter().filter(|it| **it > refused_at).count() {
            0 => first_refusal,
            retries if retries < MAX_RETRIES => REFUSAL_TIME * (1 << retries),
            _ => SUSPECT_LIFETIME,
        };
        let end = *times.last()? + time;
        Some(end.saturating_duration_since(now)).filter(|it| !it.is_zero())
    }

    /// Number of strikes for crashes that no request with more strikes explains; 0 below `MAX_STRIKES` strikes
    pub fn unexplained_strikes(
        &self,
        fingerprint: Fingerprint,
        scope: StrikeScope,
        now: Instant,
    ) -> usize {
        let count = self.strike_count(fingerprint, scope, now);
        if count < MAX_STRIKES {
            return 0;
        }
        let with_more =
            self.entries.keys().filter(|it| self.strike_count(**it, scope, now) > count);
        let explained = with_more.flat_map(|it| self.strikes(*it, scope, now)).collect::<Vec<_>>();
        let unexplained = self
            .strikes(fingerprint, scope, now)
            .filter(|strike| !explained.iter().any(|it| it.is_same_crash(strike)));
        unexplained.count()
    }

    /// Other entries with strikes for the same crashes and no others
    pub fn with_same_strikes(
        &self,
        fingerprint: Fingerprint,
        scope: StrikeScope,
        now: Instant,
    ) -> impl Iterator<Item = Fingerprint> {
        let strikes = self.strikes(fingerprint, scope, now).collect::<Vec<_>>();
        let has_same = move |other: &Fingerprint| {
            let others = self.strikes(*other, scope, now).collect::<Vec<_>>();
            others.len() == strikes.len()
                && others.iter().all(|it| strikes.iter().any(|own| own.is_same_crash(it)))
        };
        self.entries.keys().copied().filter(move |it| *it != fingerprint && has_same(it))
    }

    /// Endpoints whose crashes count against an entry
    pub fn broken_endpoints(
        &self,
        fingerprint: Fingerprint,
        scope: StrikeScope,
        now: Instant,
    ) -> impl Iterator<Item = &EndpointId> {
        self.strikes(fingerprint, scope, now).map(|it| &it.endpoint.id)
    }

    /// Requests or parts with `MAX_STRIKES` or more unexplained strikes in the scope that `scope` returns for each; at
    /// most `limit`, those with the most strikes
    pub fn suspects(
        &self,
        limit: usize,
        scope: impl Fn(Fingerprint) -> StrikeScope,
        now: Instant,
    ) -> Vec<SuspectStrikes> {
        let struck = self.entries.iter().filter(|it| it.1.strikes.len() >= MAX_STRIKES);
        let mut struck = struck.collect::<Vec<_>>();
        struck.sort_by_key(|(_, entry)| (Reverse(entry.strikes.len()), Reverse(entry.last_at())));
        struck.truncate(limit);
        let is_suspected = |fingerprint: Fingerprint| {
            self.unexplained_strikes(fingerprint, scope(fingerprint), now) >= MAX_STRIKES
        };
        let suspected = struck.into_iter().filter(|it| is_suspected(*it.0));
        let suspects = suspected.map(|(fingerprint, entry)| SuspectStrikes {
            fingerprint: *fingerprint,
            strikes: entry.strikes.iter().map(|it| (it.endpoint.clone(), it.at)).collect(),
            digest: entry.digest(*fingerprint),
        });
        suspects.collect()
    }

    /// Drops the entries that no longer count
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.drop_void(now);
            entry.completed_at =
                entry.completed_at.filter(|it| is_fresh(*it, STRIKE_LIFETIME, now));
            entry.last_at().is_some()
        });
        self.update_digest();
    }

    fn strikes(
        &self,
        fingerprint: Fingerprint,
        scope: StrikeScope,
        now: Instant,
    ) -> impl Iterator<Item = &Strike> {
        let entry = self.entries.get(&fingerprint);
        let lifetime = entry.map_or(STRIKE_LIFETIME, CrashEntry::lifetime);
        let strikes = entry.map_or(&[][..], |it| &it.strikes);
        let counted = strikes.iter().enumerate().filter(move |(index, it)| {
            is_fresh(it.at, lifetime, now) && it.counts(*index, strikes, scope)
        });
        counted.map(|(_, it)| it)
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

fn is_fresh(at: Instant, lifetime: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < lifetime
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.max(other).saturating_duration_since(one.min(other))
}
