//! Classes of work, most urgent first.

/// Urgency of an entry's requests
///
/// The order of the variants is the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Ahead of all else: the Trust's summaries, Dongelek's contract checks
    Urgent,
    /// A person waits: clerk queries, pitch drafts
    Interactive,
    /// Ordinary calls: register entries, bookings, lookups
    Standard,
    /// Work that may wait for room
    Batch,
}

impl RequestClass {
    /// All classes, most urgent first
    pub const ALL: [RequestClass; 4] = [
        RequestClass::Urgent,
        RequestClass::Interactive,
        RequestClass::Standard,
        RequestClass::Batch,
    ];

    /// Position in the order of service; 0 is the most urgent
    pub fn rank(self) -> u8 {
        self as u8
    }

    /// Name as it stands in settings, logs and metrics
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Urgent => "urgent",
            RequestClass::Interactive => "interactive",
            RequestClass::Standard => "standard",
            RequestClass::Batch => "batch",
        }
    }
}
