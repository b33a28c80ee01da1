//! Processor time and memory of this process.

use std::time::Duration;

/// Clock ticks per second in `/proc`, as Linux reports them to user space.
const TICKS_PER_S: u64 = 100;
const PAGE_BYTES: u64 = 4_096;
/// Index of `utime` in `/proc/self/stat`, counted after the command name.
const USER_TICKS_FIELD: usize = 11;

/// Processor time used so far.
pub fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
    let ticks = fields.split_whitespace().skip(USER_TICKS_FIELD).take(2);
    let ticks: u64 = ticks.filter_map(|it| it.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// Resident memory, in bytes.
pub fn memory() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
