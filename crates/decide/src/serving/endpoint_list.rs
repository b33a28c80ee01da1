//! List of endpoints, built from the records of the platform's list.
//!
//! Each entry carries the offset of its record, and an older record never replaces a
//! newer one. An entry that disappears while the platform's list is unreachable may only
//! have expired, so its endpoint stays in use for a grace period after the list recovers.
//! The period runs from the recovery as the first instance sees it, and is the same for all.
//!
//! When the list comes back from a copy, offsets start again and the copy may show what
//! was true before. Entries carried over from before are then compared by their content:
//! an endpoint that was leaving or gone stays so until a new incarnation is listed, or, for
//! one that was gone, until a record is written after the return.

use catalogue::EngineRole;
use catalogue::id::{EndpointId, PoolName, ZoneName};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Start of an endpoint's incarnation, in Unix milliseconds.
pub type IncarnationStart = u64;

/// Offset of a record in the platform's list, from 0.
pub type ListOffset = u64;

/// Time after the list recovers in which an expired entry may return; the users state about 2 s.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(1700);

/// Endpoint as its entry in the platform's list describes it
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    pub id: EndpointId,
    /// Pool it belongs to
    pub pool: PoolName,
    /// Address that serves requests
    pub address: SocketAddr,
    /// Availability zone
    pub zone: ZoneName,
    /// Version of its software
    pub version: SmolStr,
    /// Requests that it processes concurrently
    pub slots: u32,
    /// Whether it accepts new requests
    pub is_ready: bool,
    /// Role of an engine; `None` for a plain service
    pub role: Option<EngineRole>,
    /// Start of this incarnation, in Unix milliseconds
    pub started_at_ms: u64,
    /// Number of orders that this incarnation has accepted
    pub sequence: u64,
    /// Whether the platform may take it away
    pub is_preemptible: bool,
    /// Time from its entry until the platform takes it away; `None` if that isn't announced
    pub leaves_in: Option<Duration>,
}

/// Change of an endpoint by a record
#[derive(Debug, Clone, PartialEq)]
pub enum ListChange {
    /// The endpoint is added or updated
    Listed(ListedEndpoint),
    /// The entry is invalid, so that the endpoint can't be used
    Unusable,
    /// The entry was removed or has expired
    Removed,
}

#[derive(Debug, Clone)]
struct ListEntry {
    endpoint: Option<ListedEndpoint>,
    offset: ListOffset,
    expires_at: Option<Instant>,
    /// Whether its offset is from before the list came back from a copy
    is_from_earlier_era: bool,
    /// Start of the last incarnation that was listed, in Unix milliseconds
    last_started_at_ms: u64,
}

impl ListEntry {
    /// Whether this incarnation was leaving before; late entries may still call it ready
    fn has_left(&self, listed: &ListedEndpoint) -> bool {
        let is_same = |it: &ListedEndpoint| it.started_at_ms == listed.started_at_ms;
        let known = self.endpoint.as_ref().filter(|it| it.started_at_ms > 0 && is_same(it));
        listed.is_ready && known.is_some_and(|it| !it.is_ready)
    }

    /// Whether an entry of a copy is older than this one, which was known before
    fn outdates(&self, listed: &ListedEndpoint, now: Instant) -> bool {
        let is_gone = self.expires_at.is_some_and(|it| it <= now);
        match &self.endpoint {
            Some(known) if !is_gone => {
                let version = |it: &ListedEndpoint| (it.started_at_ms, !it.is_ready, it.sequence);
                version(listed) < version(known)
            }
            _ => listed.started_at_ms <= self.last_started_at_ms,
        }
    }
}

/// Listed endpoints by id
#[derive(Debug, Clone, Default)]
pub struct EndpointList {
    entries: IndexMap<EndpointId, ListEntry>,
    grace_until: Option<Instant>,
}

impl EndpointList {
    /// Applies a record; `false` if a newer one of the same endpoint was applied before
    pub fn apply(
        &mut self,
        id: EndpointId,
        change: ListChange,
        offset: ListOffset,
        now: Instant,
    ) -> bool {
        let grace = self.grace_until.filter(|it| *it > now);
        match self.entries.get_mut(&id) {
            Some(entry) if entry.offset > offset && !entry.is_from_earlier_era => return false,
            Some(entry) => {
                entry.offset = offset;
                entry.is_from_earlier_era = false;
                match change {
                    ListChange::Listed(endpoint) if entry.has_left(&endpoint) => return false,
                    ListChange::Listed(endpoint) => {
                        entry.last_started_at_ms = endpoint.started_at_ms;
                        entry.endpoint = Some(endpoint);
                        entry.expires_at = None;
                    }
                    ListChange::Unusable => entry.endpoint = None,
                    ListChange::Removed => match grace {
                        Some(until) => entry.expires_at = Some(until),
                        None => entry.endpoint = None,
                    },
                }
            }
            None => {
                let endpoint = match change {
                    ListChange::Listed(endpoint) => Some(endpoint),
                    ListChange::Unusable | ListChange::Removed => None,
                };
                let last_started_at_ms = endpoint.as_ref().map_or(0, |it| it.started_at_ms);
                let entry = ListEntry {
                    endpoint,
                    offset,
                    expires_at: None,
                    is_from_earlier_era: false,
                    last_started_at_ms,
                };
                self.entries.insert(id, entry);
            }
        }
        true
    }

    /// Applies a record of a complete snapshot, which may show a carried entry as it was before
    pub fn apply_snapshot(
        &mut self,
        id: EndpointId,
        change: ListChange,
        offset: ListOffset,
        now: Instant,
    ) -> bool {
        if let (Some(entry), ListChange::Listed(listed)) = (self.entries.get_mut(&id), &change)
            && entry.is_from_earlier_era
            && entry.outdates(listed, now)
        {
            entry.offset = offset;
            entry.is_from_earlier_era = false;
            return false;
        }
        self.apply(id, change, offset, now)
    }

    /// Records that the list came back from a copy: the offsets of all entries are void
    pub fn start_era(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_from_earlier_era = true;
        }
    }

    /// Whether entries are left from before the list came back from a copy
    pub fn has_earlier_entries(&self) -> bool {
        self.entries.values().any(|it| it.is_from_earlier_era)
    }

    /// Removes the endpoints that are missing from a complete snapshot of the list
    ///
    /// `end` is the end of the list at the snapshot; entries from later records stay.
    pub fn retain_listed(
        &mut self,
        end: ListOffset,
        is_listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) {
        let grace = self.grace_until.filter(|it| *it > now);
        for (id, entry) in &mut self.entries {
            let is_covered = entry.is_from_earlier_era || entry.offset < end;
            if is_covered && !is_listed(id) && entry.expires_at.is_none() {
                match grace {
                    Some(until) => entry.expires_at = Some(until),
                    None => entry.endpoint = None,
                }
            }
        }
    }

    /// Starts the grace period: the list can be read again after an outage
    pub fn start_grace_period(&mut self, now: Instant) {
        self.grace_until = Some(now + EXPIRY_GRACE);
    }

    /// Time left of the grace period
    pub fn grace_left(&self, now: Instant) -> Duration {
        self.grace_until.map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// Extends the grace period to that of another instance, which has this time left
    pub fn join_grace_period(&mut self, left: Duration, now: Instant) {
        if !left.is_zero() {
            self.grace_until = self.grace_until.max(Some(now + left.min(EXPIRY_GRACE)));
        }
    }

    /// Endpoint with this id, whether it is ready or not
    pub fn get(&self, id: &EndpointId) -> Option<&ListedEndpoint> {
        self.entries.get(id).and_then(|it| it.endpoint.as_ref())
    }

    /// All endpoints that are listed, whether they accept requests or not
    pub fn listed(&self, now: Instant) -> impl Iterator<Item = &ListedEndpoint> {
        let is_expired = move |it: &ListEntry| it.expires_at.is_some_and(|it| it <= now);
        let entries = self.entries.values().filter(move |it| !is_expired(it));
        entries.filter_map(|it| it.endpoint.as_ref())
    }

    /// Whether an endpoint accepts new requests
    pub fn is_ready(&self, id: &EndpointId, now: Instant) -> bool {
        let entry = self.entries.get(id).filter(|it| it.expires_at.is_none_or(|it| now < it));
        entry.and_then(|it| it.endpoint.as_ref()).is_some_and(|it| it.is_ready)
    }

    /// Endpoints that accept new requests
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &ListedEndpoint> {
        self.listed(now).filter(|it| it.is_ready)
    }
}
