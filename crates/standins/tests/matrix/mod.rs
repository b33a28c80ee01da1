//! Tables of the fault matrix.

mod change;
mod control;
mod duties;
mod once;
mod platform;
mod serving;
mod usage;

/// Faults of the product's own interface, one per row of its tables.
const FAULTS: [&str; 14] = [
    "instance killed",
    "instance paused",
    "instance partitioned",
    "stale reports and lists",
    "engine or service crash midway",
    "log down",
    "log slow",
    "answer lost after the effect",
    "lease expired while paused",
    "concurrent operators",
    "crashing request retried",
    "unresponsive connection",
    "engine withdrawn",
    "two faults at once",
];

/// Content of a cell
#[derive(Debug, Clone, Copy)]
pub enum FaultCell {
    /// Tests that cover the fault at the step
    Test(&'static [&'static str]),
    /// Reason why the fault can't occur at the step
    Reason(&'static str),
}

/// Table of one protocol: its steps against all faults
#[derive(Debug, Clone, Copy)]
pub struct ProtocolTable {
    /// Heading of the table
    pub name: &'static str,
    /// Faults, one per row
    pub faults: &'static [&'static str],
    /// Steps of the protocol, one per column
    pub steps: &'static [&'static str],
    /// Cells by fault and step
    pub cells: &'static [&'static [FaultCell]],
}

/// All protocols.
pub const PROTOCOLS: &[ProtocolTable] = &[
    serving::SERVING,
    serving::STOP,
    once::ONCE,
    control::EDIT,
    control::LEASE,
    change::CHANGE,
    platform::PLATFORM,
    duties::DUTIES,
    usage::USAGE,
];
