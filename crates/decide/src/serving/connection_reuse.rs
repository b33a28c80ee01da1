//! Whether a stream that may run only once is sent on a connection that has carried another request.
//!
//! An endpoint may have closed a kept connection unnoticed. It is then unknown whether the
//! request ran, so that it can't be sent again. For a stream this costs its caller the answer,
//! but leaves nothing undone; other requests that may run only once always get a new
//! connection. Where many instances share the connections that an endpoint accepts, opening one
//! for each stream is what uses them up. So such streams are sent on kept connections until
//! one of the pool turns out to be closed.

use catalogue::id::PoolName;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Connections of one instance to an endpoint up to which they are kept for such streams.
const MAX_SHARE: usize = 8;
/// Time without reuse after a kept connection was closed unnoticed. Endpoints that forget connections do so for seconds.
const STALE_PAUSE: Duration = Duration::from_secs(30);

/// Pools whose endpoints have lately closed kept connections unnoticed
#[derive(Debug, Clone, Default)]
pub struct ReuseMonitor {
    stale: IndexMap<PoolName, Instant>,
}

impl ReuseMonitor {
    /// Records that a kept connection to an endpoint of a pool was closed when a request was sent on it
    pub fn record_stale(&mut self, pool: &PoolName, now: Instant) {
        self.stale.insert(pool.clone(), now);
    }

    /// Whether a stream that may run only once may be sent on a kept connection; `share` is the number of connections
    /// that this instance may have to an endpoint
    pub fn may_reuse(&self, pool: &PoolName, share: usize, now: Instant) -> bool {
        let stale_at = self.stale.get(pool);
        share <= MAX_SHARE
            && stale_at.is_none_or(|it| now.saturating_duration_since(*it) >= STALE_PAUSE)
    }
}
