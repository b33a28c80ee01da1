//! Urgency classes of requests.

/// Urgency class of an entry's requests
///
/// Variants are in the order of service, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Served before all others, e.g. the Trust's summaries or Dongelek's contract checks
    Urgent,
    /// A person waits for the answer, e.g. clerk queries or pitch drafts
    Interactive,
    /// Ordinary calls, e.g. register entries, bookings or lookups
    Standard,
    /// Background work that can wait for free capacity
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

    /// Index in the order of service; 0 is the most urgent
    pub fn rank(self) -> u8 {
        self as u8
    }

    /// Name in settings, logs and metrics
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Urgent => "urgent",
            RequestClass::Interactive => "interactive",
            RequestClass::Standard => "standard",
            RequestClass::Batch => "batch",
        }
    }
}
