//! Fold over one stream: order, duplicates, checkpoints.
//!
//! A writer has one record in flight at a time and repeats it under the same
//! sequence number until it knows its fate. So a record counts only if its number
//! is above all that the fold has seen of its writer: a repeated record is folded
//! once, and one that arrives after its writer moved on has no effect.

use crate::record::{self, RecordFault, Sequence, WriterId};
use catalogue::id::Offset;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Offsets between two prunings of writers that fell silent.
const PRUNE_OFFSETS: u64 = 256;
/// Time after which a silent writer is forgotten, in milliseconds.
const WRITER_MEMORY_MS: u64 = 1_800_000;

/// Place and text of a record in its stream
#[derive(Debug, Clone, Copy)]
pub struct RecordText<'a> {
    /// Position in the stream
    pub offset: Offset,
    /// Time of the append by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
    /// Content as appended
    pub data: &'a str,
}

/// Where an item stands
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemPlace {
    /// Offset of its record
    pub offset: Offset,
    /// Time of its record by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

/// Body of a record
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamBody<S, I> {
    /// Changes, folded in order
    Items(Vec<I>),
    /// State after an earlier offset
    Checkpoint(Checkpoint<S>),
}

/// State after an offset
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Checkpoint<S> {
    /// Last offset that the state covers
    pub through: Offset,
    /// Last record of each writer
    pub writers: IndexMap<WriterId, WriterMark>,
    /// State of the stream
    pub state: S,
}

/// Last record of a writer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WriterMark {
    /// Its sequence number
    pub sequence: Sequence,
    /// Its time, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

/// What became of a record
#[derive(Debug)]
pub enum Folded<O> {
    /// Its items took effect, with an outcome for each
    Items {
        /// Who wrote it
        writer: WriterId,
        /// Its number
        sequence: Sequence,
        /// Outcome of each item
        outcomes: Vec<O>,
    },
    /// Repeated, or overtaken by a later record of its writer
    Duplicate,
    /// It was a checkpoint
    Checkpoint {
        /// Who wrote it
        writer: WriterId,
        /// Its number
        sequence: Sequence,
        /// Time of the append, in milliseconds since the Unix epoch
        time_ms: u64,
    },
    /// Already folded
    Old,
}

/// Reason why a fold can't go on
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum FoldFault {
    /// record {found} follows, {expected} was expected
    Gap {
        /// Offset that should come next
        expected: Offset,
        /// Offset that came
        found: Offset,
    },
    /// record {0} is damaged
    Damaged(Offset),
    /// record {offset} can't be skipped: {fault}
    Stop {
        /// Offset of the record
        offset: Offset,
        /// Why it isn't understood
        fault: RecordFault,
    },
}

impl std::error::Error for FoldFault {}

/// State of a stream after an offset
#[derive(Debug, Clone, PartialEq)]
pub struct StreamFold<S> {
    through: Offset,
    writers: IndexMap<WriterId, WriterMark>,
    state: S,
}

impl<S: Default> Default for StreamFold<S> {
    fn default() -> StreamFold<S> {
        StreamFold::begin_after(0)
    }
}

impl<S: Default> StreamFold<S> {
    /// Empty state after `through`, for a stream that needs no earlier records
    pub fn begin_after(through: Offset) -> StreamFold<S> {
        StreamFold { through, writers: IndexMap::new(), state: S::default() }
    }
}

impl<S> StreamFold<S> {
    /// State of the stream
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Last offset that the state covers
    pub fn through(&self) -> Offset {
        self.through
    }

    /// Highest sequence number seen of a writer; 0 if none
    pub fn last_sequence(&self, writer: &str) -> Sequence {
        self.writers.get(writer).map_or(0, |it| it.sequence)
    }

    /// Passes over the next record, which is damaged in the log itself
    pub fn skip(&mut self) {
        self.through += 1;
    }

    /// State after the offset of a checkpoint
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
    /// `Gap` if records are missing before it; `Damaged` if its text is not as
    /// written; `Stop` if it is sound but not understood, so that skipping it would
    /// make states differ. The fold is then as before.
    pub fn fold<I: DeserializeOwned, O>(
        &mut self,
        text: RecordText<'_>,
        apply: impl Fn(&mut S, ItemPlace, &I) -> O,
    ) -> Result<Folded<O>, FoldFault> {
        if text.offset <= self.through {
            return Ok(Folded::Old);
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
        apply: impl Fn(&mut S, ItemPlace, &I) -> O,
    ) -> Folded<O> {
        if record.sequence <= self.last_sequence(&record.writer) {
            return Folded::Duplicate;
        }
        let mark = WriterMark { sequence: record.sequence, time_ms: text.time_ms };
        self.writers.insert(record.writer.clone(), mark);
        if text.offset.is_multiple_of(PRUNE_OFFSETS) {
            self.writers.retain(|_, it| it.time_ms + WRITER_MEMORY_MS >= text.time_ms);
        }
        let place = ItemPlace { offset: text.offset, time_ms: text.time_ms };
        match record.body {
            StreamBody::Items(items) => Folded::Items {
                writer: record.writer,
                sequence: record.sequence,
                outcomes: items.iter().map(|it| apply(&mut self.state, place, it)).collect(),
            },
            StreamBody::Checkpoint(_) => Folded::Checkpoint {
                writer: record.writer,
                sequence: record.sequence,
                time_ms: text.time_ms,
            },
        }
    }
}

/// Checkpoint that a record carries, if it is one.
pub fn read_checkpoint<S: DeserializeOwned>(data: &str) -> Option<Checkpoint<S>> {
    match record::decode::<StreamBody<S, serde::de::IgnoredAny>>(data) {
        Ok(record) => match record.body {
            StreamBody::Checkpoint(checkpoint) => Some(checkpoint),
            StreamBody::Items(_) => None,
        },
        Err(_) => None,
    }
}
