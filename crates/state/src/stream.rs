//! Fold over one stream: order, duplicates, checkpoints.
//!
//! A writer has one record in flight at a time and retries it under the same sequence
//! number until it has read the outcome or given up. A record is folded only if its
//! number is higher than all earlier ones of its writer: a retried record is folded
//! once, and one that is appended after a later record of its writer has no effect.

use crate::record::{self, RecordFault, Sequence, WriterId};
use catalogue::id::Offset;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Interval, in offsets, at which inactive writers are pruned.
const PRUNE_INTERVAL_OFFSETS: u64 = 256;
/// Time after which an inactive writer is pruned, in milliseconds.
const WRITER_RETENTION_MS: u64 = 1_800_000;

/// Position and text of a record in its stream
#[derive(Debug, Clone, Copy)]
pub struct RecordText<'a> {
    pub offset: Offset,
    /// Time of the append by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Text as appended
    pub data: &'a str,
}

/// Position and time of an item's record
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemPosition {
    pub offset: Offset,
    /// Time of the append by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

/// Body of a record
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamBody<S, I> {
    /// Items, folded in order
    Items(Vec<I>),
    /// Copy of the fold's state at an earlier offset
    Checkpoint(Checkpoint<S>),
}

/// Copy of a fold's state at an offset
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Checkpoint<S> {
    /// Last offset that the state covers
    pub through: Offset,
    /// Last folded record of each writer
    pub writers: IndexMap<WriterId, WriterProgress>,
    /// Folded state
    pub state: S,
}

/// Last folded record of a writer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WriterProgress {
    pub sequence: Sequence,
    /// Time of the append, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

/// Result of folding a record
#[derive(Debug)]
pub enum FoldOutcome<O> {
    /// The items were applied
    Items {
        /// Writer of the record
        writer: WriterId,
        /// Sequence number of the record
        sequence: Sequence,
        /// Outcome of each item, in order
        outcomes: Vec<O>,
    },
    /// Skipped: the same or a later record of its writer was already folded
    Duplicate,
    /// The record is a checkpoint
    Checkpoint {
        /// Writer of the record
        writer: WriterId,
        /// Sequence number of the record
        sequence: Sequence,
        /// Time of the append, in milliseconds since the Unix epoch
        time_ms: u64,
    },
    /// The fold has already passed the record's offset
    Old,
}

/// Reason why a record can't be folded
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum FoldFault {
    /// found record {found} instead of {expected}
    Gap {
        /// Offset after the last one folded
        expected: Offset,
        /// Offset of the record
        found: Offset,
    },
    /// record {0} is damaged
    Damaged(Offset),
    /// record {offset} can't be skipped: {fault}
    Stop {
        /// Offset of the record
        offset: Offset,
        /// Reason why the record can't be read
        fault: RecordFault,
    },
}

impl std::error::Error for FoldFault {}

/// State of a stream folded through an offset
#[derive(Debug, Clone, PartialEq)]
pub struct StreamFold<S> {
    through: Offset,
    writers: IndexMap<WriterId, WriterProgress>,
    state: S,
}

impl<S: Default> Default for StreamFold<S> {
    fn default() -> StreamFold<S> {
        StreamFold::empty_after(0)
    }
}

impl<S: Default> StreamFold<S> {
    /// Empty fold after `through`, for a stream that needs no earlier records
    pub fn empty_after(through: Offset) -> StreamFold<S> {
        StreamFold { through, writers: IndexMap::new(), state: S::default() }
    }
}

impl<S> StreamFold<S> {
    /// Folded state
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Last offset that the state covers
    pub fn through(&self) -> Offset {
        self.through
    }

    /// Highest sequence number folded of a writer; 0 if none
    pub fn last_sequence(&self, writer: &str) -> Sequence {
        self.writers.get(writer).map_or(0, |it| it.sequence)
    }

    /// Skips the next record, which is damaged in the log itself
    pub fn skip(&mut self) {
        self.through += 1;
    }

    /// Restores the fold from a checkpoint
    pub fn restore(checkpoint: Checkpoint<S>) -> StreamFold<S> {
        let Checkpoint { through, writers, state } = checkpoint;
        StreamFold { through, writers, state }
    }
}

impl<S: Clone> StreamFold<S> {
    /// Copy of the state to append as a checkpoint
    pub fn checkpoint(&self) -> Checkpoint<S> {
        Checkpoint {
            through: self.through,
            writers: self.writers.clone(),
            state: self.state.clone(),
        }
    }
}

impl<S: Serialize + DeserializeOwned> StreamFold<S> {
    /// Folds the next record
    ///
    /// # Errors
    /// `Gap` if records before it are missing; `Damaged` if its header or checksum is
    /// wrong; `Stop` if it is intact but can't be read by this version, so that skipping
    /// it would make states differ. An error leaves the fold unchanged.
    pub fn fold<I: DeserializeOwned, O>(
        &mut self,
        text: RecordText<'_>,
        apply: impl Fn(&mut S, ItemPosition, &I) -> O,
    ) -> Result<FoldOutcome<O>, FoldFault> {
        if text.offset <= self.through {
            return Ok(FoldOutcome::Old);
        }
        if text.offset != self.through + 1 {
            return Err(FoldFault::Gap { expected: self.through + 1, found: text.offset });
        }
        let folded = match record::decode::<StreamBody<serde::de::IgnoredAny, I>>(text.data) {
            Ok(record) => self.fold_body(text, record, apply),
            Err(RecordFault::Damaged) => return Err(FoldFault::Damaged(text.offset)),
            Err(fault) => return Err(FoldFault::Stop { offset: text.offset, fault }),
        };
        self.through = text.offset;
        Ok(folded)
    }

    fn fold_body<I, O>(
        &mut self,
        text: RecordText<'_>,
        record: record::StreamRecord<StreamBody<serde::de::IgnoredAny, I>>,
        apply: impl Fn(&mut S, ItemPosition, &I) -> O,
    ) -> FoldOutcome<O> {
        if record.sequence <= self.last_sequence(&record.writer) {
            return FoldOutcome::Duplicate;
        }
        let progress = WriterProgress { sequence: record.sequence, time_ms: text.time_ms };
        self.writers.insert(record.writer.clone(), progress);
        if text.offset.is_multiple_of(PRUNE_INTERVAL_OFFSETS) {
            self.writers.retain(|_, it| it.time_ms + WRITER_RETENTION_MS >= text.time_ms);
        }
        let position = ItemPosition { offset: text.offset, time_ms: text.time_ms };
        match record.body {
            StreamBody::Items(items) => FoldOutcome::Items {
                writer: record.writer,
                sequence: record.sequence,
                outcomes: items.iter().map(|it| apply(&mut self.state, position, it)).collect(),
            },
            StreamBody::Checkpoint(_) => FoldOutcome::Checkpoint {
                writer: record.writer,
                sequence: record.sequence,
                time_ms: text.time_ms,
            },
        }
    }
}

/// Checkpoint in a record; `None` if the record is not a readable checkpoint.
pub fn read_checkpoint<S: DeserializeOwned>(data: &str) -> Option<Checkpoint<S>> {
    match record::decode::<StreamBody<S, serde::de::IgnoredAny>>(data) {
        Ok(record) => match record.body {
            StreamBody::Checkpoint(checkpoint) => Some(checkpoint),
            StreamBody::Items(_) => None,
        },
        Err(_) => None,
    }
}
