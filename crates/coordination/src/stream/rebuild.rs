//! Rebuilds a fold from a checkpoint when the stream's first records have aged out.
//!
//! Collects records from the oldest one on, until one is a checkpoint whose offset the
//! collected records cover or directly follow. The fold is restored from it and the
//! records after its offset are applied.

use platform::log::LogRecord;
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::stream::{StreamFold, read_checkpoint};

/// Records collected until a usable checkpoint is found
#[derive(Debug, Default)]
pub(super) struct RebuildBuffer {
    records: Vec<LogRecord>,
}

/// Restored fold and the collected records that it doesn't cover
#[derive(Debug)]
pub(super) struct RebuiltFold<S> {
    pub(super) fold: StreamFold<S>,
    pub(super) rest: Vec<LogRecord>,
}

impl RebuildBuffer {
    /// Offset to read next; `None` before the first record
    pub(super) fn next(&self) -> Option<u64> {
        self.records.last().map(|it| it.offset + 1)
    }

    /// Adds the next record; returns the fold once it can be restored
    pub(super) fn push<S>(&mut self, record: LogRecord) -> Option<RebuiltFold<S>>
    where
        S: Serialize + DeserializeOwned,
    {
        if self.next().is_some_and(|it| it != record.offset) {
            self.records.clear();
        }
        let checkpoint = read_checkpoint::<S>(&record.data);
        self.records.push(record);
        let checkpoint = checkpoint?;
        let first = self.records.first()?.offset;
        if checkpoint.through + 1 < first {
            return None;
        }
        let through = checkpoint.through;
        let rest = std::mem::take(&mut self.records);
        let rest = rest.into_iter().filter(|it| it.offset > through).collect();
        Some(RebuiltFold { fold: StreamFold::restore(checkpoint), rest })
    }
}
