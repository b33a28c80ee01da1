//! Buffer of recent records for peers that can't reach the log.

use crate::shared::RelayError;
use catalogue::id::Offset;
use platform::log::LogRecord;
use std::collections::VecDeque;

const MAX_RECORDS: usize = 4_096;

/// Newest records of a stream, with consecutive offsets
#[derive(Debug, Default)]
pub(super) struct RecentRecords {
    records: VecDeque<LogRecord>,
}

impl RecentRecords {
    /// Adds the next record
    pub(super) fn push(&mut self, record: LogRecord) {
        if self.records.back().is_some_and(|it| it.offset + 1 != record.offset) {
            self.records.clear();
        }
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// At most `max` records from an offset on; `through` is the last offset folded
    ///
    /// # Errors
    /// `Disconnected` if the offset has been folded but is no longer buffered.
    pub(super) fn since(
        &self,
        from: Offset,
        max: u32,
        through: Offset,
    ) -> Result<Vec<LogRecord>, RelayError> {
        let is_buffered = self.records.front().is_some_and(|it| it.offset <= from);
        if !is_buffered && from <= through {
            return Err(RelayError::Disconnected);
        }
        let wanted = self.records.iter().filter(|it| it.offset >= from);
        Ok(wanted.take(max as usize).cloned().collect())
    }
}
