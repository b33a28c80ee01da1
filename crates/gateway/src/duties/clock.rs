//! Clocks that terms of the lease are counted by.

use decide::serving::duty_lease::LeaseTime;
use rustix::time::{ClockId, Timespec, clock_gettime};
use std::time::Duration;

/// Time by the clock that stands still while the machine is suspended, and by the one that doesn't
pub fn lease_time() -> LeaseTime {
    let steady = duration(clock_gettime(ClockId::Monotonic));
    LeaseTime { steady, boot: duration(clock_gettime(ClockId::Boottime)) }
}

fn duration(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
