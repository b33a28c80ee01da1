//! Software versions that streams began at.
//!
//! What engines of two versions write doesn't fit together, so a stream goes on only at the
//! version that wrote its first event. The instance that relays that event records the
//! origin of the stream and tells the others, since the client may take the stream up at
//! any of them. An origin is kept until newer ones need its place.
//!
//! A stream that nobody knows may still go on if only one version of its pool was listed
//! since it can have begun, to this instance and to those that it asks. Two streams with the same id are indistinguishable, and count
//! as unknown if their origins differ.

use super::endpoint_list::ListedEndpoint;
use catalogue::id::PoolName;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::hash::Hasher;
use std::time::Instant;
use twox_hash::XxHash3_64;

/// Version of an endpoint's software, without an order.
pub type SoftwareVersion = SmolStr;

/// Hash of the id of the request that a stream began with.
pub type StreamKey = u64;

/// Maximum number of remembered streams; the oldest are dropped.
const MAX_STREAMS: usize = 20_000;

/// Key of a stream by the id of the request that brought its first event
pub fn stream_key(request_id: &str) -> StreamKey {
    let mut hasher = XxHash3_64::default();
    hasher.write(request_id.as_bytes());
    hasher.finish()
}

/// Pool and software version that a stream began at
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    pub pool: PoolName,
    pub version: SoftwareVersion,
}

impl StreamOrigin {
    /// Origin of a stream that begins at an endpoint
    pub fn of(endpoint: &ListedEndpoint) -> StreamOrigin {
        StreamOrigin { pool: endpoint.pool.clone(), version: endpoint.version.clone() }
    }

    /// Whether a stream of this origin may go on at an endpoint
    pub fn fits(&self, endpoint: &ListedEndpoint) -> bool {
        self.pool == endpoint.pool && self.version == endpoint.version
    }
}

/// What is known of a stream
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownOrigin {
    /// Index of its origin
    One(usize),
    /// Several streams have the id
    Ambiguous,
}

/// Origins of recent streams
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    origins: IndexSet<StreamOrigin>,
    streams: IndexMap<StreamKey, KnownOrigin>,
}

impl StreamOrigins {
    /// Records the origin of a stream; `false` if it was known
    pub fn record(&mut self, stream: StreamKey, origin: &StreamOrigin) -> bool {
        let index = match self.origins.get_index_of(origin) {
            Some(index) => index,
            None => self.origins.insert_full(origin.clone()).0,
        };
        match self.streams.get_mut(&stream) {
            Some(known) if *known == KnownOrigin::One(index) => false,
            Some(known) => std::mem::replace(known, KnownOrigin::Ambiguous) != *known,
            None => {
                if self.streams.len() >= MAX_STREAMS {
                    // Dropping many at once moves the others rarely.
                    self.streams.drain(..MAX_STREAMS / 4);
                }
                self.streams.insert(stream, KnownOrigin::One(index));
                true
            }
        }
    }

    /// Origin of a stream; `None` if it isn't known
    pub fn get(&self, stream: StreamKey) -> Option<&StreamOrigin> {
        match self.streams.get(&stream)? {
            KnownOrigin::One(index) => self.origins.get_index(*index),
            KnownOrigin::Ambiguous => None,
        }
    }

    /// Whether several streams with different origins have the id
    pub fn is_ambiguous(&self, stream: StreamKey) -> bool {
        self.streams.get(&stream) == Some(&KnownOrigin::Ambiguous)
    }
}

/// What the listed versions tell of streams that nobody knows
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum VersionView {
    /// Only this version was listed since such a stream can have begun
    Only(SoftwareVersion),
    Several,
    /// The list is out of date, or isn't known for long enough
    Unsure,
}

impl VersionView {
    /// Version on which several views agree; `None` if one has seen several, or all are unsure
    pub fn agree(views: impl IntoIterator<Item = VersionView>) -> Option<SoftwareVersion> {
        let mut agreed = None;
        for view in views {
            match (view, &agreed) {
                (VersionView::Unsure, _) => {}
                (VersionView::Only(version), None) => agreed = Some(version),
                (VersionView::Only(version), Some(other)) if version == *other => {}
                (VersionView::Only(_) | VersionView::Several, _) => return None,
            }
        }
        agreed
    }
}

/// Software versions of each pool, and when each was listed last
#[derive(Debug, Clone, Default)]
pub struct ListedVersions {
    pools: IndexMap<PoolName, IndexMap<SoftwareVersion, Instant>>,
    known_since: Option<Instant>,
}

impl ListedVersions {
    /// Records the endpoints that are listed now
    pub fn record<'a>(&mut self, listed: impl Iterator<Item = &'a ListedEndpoint>, now: Instant) {
        self.known_since.get_or_insert(now);
        for endpoint in listed {
            let versions = self.pools.entry(endpoint.pool.clone()).or_default();
            versions.insert(endpoint.version.clone(), now);
        }
    }

    /// Versions of a pool that were listed at any time from a moment on
    ///
    /// Nothing ran before the first start of the system.
    pub fn view(
        &self,
        pool: &PoolName,
        from: Option<Instant>,
        is_first_start: bool,
    ) -> VersionView {
        let is_recent = |at: &Instant| from.is_none_or(|from| *at >= from);
        let versions = self.pools.get(pool).into_iter().flatten();
        let recent = versions.filter(|(_, at)| is_recent(at)).collect::<Vec<_>>();
        let is_complete = is_first_start || from.is_some_and(|it| self.known_since <= Some(it));
        match recent[..] {
            [(version, _)] if self.known_since.is_some() && is_complete => {
                VersionView::Only(version.clone())
            }
            [] | [_] => VersionView::Unsure,
            _ => VersionView::Several,
        }
    }
}
