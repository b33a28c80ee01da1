//! Table of the fault matrix.

mod change;
mod control;
mod once;
mod serving;

/// Faults of the brief, one a row.
pub const FAULTS: [&str; 14] = [
    "kill",
    "pause",
    "partition",
    "lagging reports and lists",
    "engine or service crash half-way",
    "store down",
    "store slow",
    "answer lost after the act",
    "lease lapsed while paused",
    "racing operators",
    "crashing request sent again",
    "silent connection",
    "engine withdrawn",
    "two at once",
];

/// What stands in a cell
#[derive(Debug, Clone, Copy)]
pub enum FaultCell {
    /// Tests that cover it
    Test(&'static [&'static str]),
    /// Reason why it can't occur
    Reason(&'static str),
}

/// Steps of one protocol against all faults
#[derive(Debug, Clone, Copy)]
pub struct ProtocolTable {
    /// What the protocol does
    pub name: &'static str,
    /// Its steps, one a column
    pub steps: &'static [&'static str],
    /// Cells by fault and step
    pub cells: &'static [&'static [FaultCell]],
}

/// All protocols.
pub const PROTOCOLS: &[ProtocolTable] =
    &[serving::SERVING, serving::STOP, once::ONCE, control::EDIT, control::LEASE, change::CHANGE];

/// Names of the faults, one a row
pub fn fault_names() -> impl Iterator<Item = &'static str> {
    FAULTS.into_iter()
}
