//! Values that the holder records with its renewals.
//!
//! A value is sent with each append until one of those is known to be in the topic, so
//! that an append whose answer was lost may be followed by another one.

use super::DutyWriteError;
use bytes::Bytes;
use decide::serving::duty_lease::AppendNumber;
use smol_str::SmolStr;
use tokio::sync::oneshot;

/// Result of a write, sent to who waits for it.
pub type WriteResult = Result<(), DutyWriteError>;

struct PendingWrite {
    key: SmolStr,
    value: Bytes,
    /// First append that carried it
    first_append: Option<AppendNumber>,
    /// `None` for a staged value
    done: Option<oneshot::Sender<WriteResult>>,
}

impl PendingWrite {
    /// Whether it is staged or still awaited
    fn is_live(&self) -> bool {
        self.done.as_ref().is_none_or(|it| !it.is_closed())
    }
}

/// Values to be recorded, oldest first
#[derive(Default)]
pub struct PendingWrites {
    writes: Vec<PendingWrite>,
}

impl PendingWrites {
    /// Stages a value for the next renewal, instead of an older staged value of the key
    pub fn stage(&mut self, key: &str, value: Bytes) {
        self.writes.retain(|it| it.done.is_some() || it.key != key);
        self.push(key, value, None);
    }

    /// Adds a value that is awaited
    pub fn add(&mut self, key: &str, value: Bytes, done: oneshot::Sender<WriteResult>) {
        self.push(key, value, Some(done));
    }

    fn push(&mut self, key: &str, value: Bytes, done: Option<oneshot::Sender<WriteResult>>) {
        self.writes.push(PendingWrite { key: key.into(), value, first_append: None, done });
    }

    /// Whether a value is awaited
    pub fn is_due(&self) -> bool {
        self.writes.iter().any(|it| it.done.is_some() && it.is_live())
    }

    /// Records for an append
    pub fn carry(&mut self, append: AppendNumber) -> Vec<(SmolStr, Bytes)> {
        self.writes.retain(PendingWrite::is_live);
        let records = self.writes.iter_mut().map(|it| {
            it.first_append.get_or_insert(append);
            (it.key.clone(), it.value.clone())
        });
        records.collect()
    }

    /// Ends the writes that an append in the topic has carried
    pub fn confirm(&mut self, append: AppendNumber) {
        let is_in_topic =
            |it: &mut PendingWrite| it.first_append.is_some_and(|first| first <= append);
        for write in self.writes.extract_if(.., is_in_topic) {
            if let Some(done) = write.done {
                // Nobody may wait any more.
                let _ = done.send(Ok(()));
            }
        }
    }

    /// Ends all writes, since the lease is lost
    pub fn fail(&mut self) {
        for write in self.writes.drain(..) {
            let error = match write.first_append {
                Some(_) => DutyWriteError::Unanswered,
                None => DutyWriteError::NotHeld,
            };
            if let Some(done) = write.done {
                let _ = done.send(Err(error));
            }
        }
    }
}
