//! Clock that goes on while the machine is suspended.

use decide::serving::config_age::BootTime;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the machine started
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanoseconds) = (u64::try_from(time.tv_sec), u32::try_from(time.tv_nsec));
    Duration::new(seconds.unwrap_or_default(), nanoseconds.unwrap_or_default())
}
