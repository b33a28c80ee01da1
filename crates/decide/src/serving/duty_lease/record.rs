//! Record of the lease in the topic of the duties.

use crate::serving::store_era::TopicPosition;
use catalogue::id::{Fence, InstanceId};
use serde::{Deserialize, Serialize};

/// Random number of a process, which tells its records from those of earlier processes of the same name.
pub type SessionId = u64;
/// Number of an append within a session, from 1.
pub type AppendNumber = u64;

/// Version of the lease's record
pub const RECORD_FORMAT: u32 = 1;

/// What a record does with the lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAct {
    Acquire,
    Renew,
    Release,
}

/// Record of the lease
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRecord {
    pub format: u32,
    pub act: LeaseAct,
    pub holder: InstanceId,
    pub session: SessionId,
    pub fence: Fence,
    /// Number of the append that wrote it, within the session
    pub append: AppendNumber,
    /// Instance that held the lease before, if it was another one
    #[serde(default)]
    pub previous: Option<InstanceId>,
}

/// Append to the topic; requires that it ends at `at`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseAppend {
    pub record: LeaseRecord,
    pub at: TopicPosition,
}
