//! Streams that may run only once on kept connections, by the fault that they guard against.

use decide::serving::connection_reuse::ReuseMonitor;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    // Guards against a new connection for each stream of many instances before few endpoints.
    streams_of_a_large_fleet_reuse_connections => reuse(6, None, true),
    // Guards against a change for fleets whose instances have connections to spare.
    streams_of_a_small_fleet_get_new_connections => reuse(14, None, false),
    // Guards against a series of lost streams while endpoints forget connections.
    no_reuse_after_a_connection_was_closed_unnoticed => reuse(6, Some(29), false),
    // Guards against new connections for good after one was closed.
    reuse_begins_again => reuse(6, Some(30), true),
}

fn reuse(share: usize, stale_seconds: Option<u64>, expected: bool) -> Result<()> {
    let now = Instant::now() + Duration::from_secs(100);
    let mut monitor = ReuseMonitor::default();
    if let Some(seconds) = stale_seconds {
        monitor.record_stale(&"engines".into(), now - Duration::from_secs(seconds));
    }
    verify_that!(monitor.may_reuse(&"other".into(), share, now), eq(share <= 8))?;
    verify_that!(monitor.may_reuse(&"engines".into(), share, now), eq(expected))
}
