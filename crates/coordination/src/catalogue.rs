//! Handle to the catalogue: this instance's current view and edits.

use crate::shared::{RelayError, SharedLog};
use crate::stream::{StreamHandle, StreamOptions, StreamStart, StreamStatus, SubmitError};
use catalogue::id::{EntryName, Offset, Revision};
use catalogue::{CatalogueEntry, EntryFault};
use platform::log::LogRecord;
use smol_str::SmolStr;
use state::catalogue::{CATALOGUE_STREAM, CatalogueItem, CatalogueView, EditOutcome, HistoryLine};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

pub const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure of an edit
#[derive(Debug, Clone, PartialEq)]
#[derive(displaydoc::Display)]
pub enum EditError {
    /// entry is at revision {current}
    Conflict {
        /// Revision that an edit has to name
        current: Revision,
    },
    /// entry is invalid
    Invalid(Vec<EntryFault>),
    /// log is unreachable; the edit has no effect
    Down,
    /// log holds a record of a newer version; the edit has no effect
    Stopped,
    /// log did not respond in time; the edit may still be accepted: read the entry
    Unknown,
}

impl std::error::Error for EditError {}

impl From<SubmitError> for EditError {
    fn from(error: SubmitError) -> EditError {
        match error {
            SubmitError::Down => EditError::Down,
            SubmitError::Stopped => EditError::Stopped,
            SubmitError::Unknown => EditError::Unknown,
        }
    }
}

/// Handle to the catalogue
#[derive(Debug, Clone)]
pub struct CatalogueHandle {
    stream: StreamHandle<CatalogueView, CatalogueItem, EditOutcome>,
    views: watch::Receiver<Arc<CatalogueView>>,
}

impl CatalogueHandle {
    /// Starts to follow the catalogue
    ///
    /// # Errors
    /// `ractor::SpawnErr` if the stream's actor can't be started.
    pub async fn start(shared: SharedLog) -> Result<CatalogueHandle, ractor::SpawnErr> {
        let (sender, views) = watch::channel(Arc::new(CatalogueView::default()));
        let options = StreamOptions {
            stream: CATALOGUE_STREAM.into(),
            start: StreamStart::Checkpoint,
            max_items: 1,
            pacing: Duration::ZERO,
            apply: CatalogueView::apply,
            publish: Box::new(move |view: &CatalogueView| {
                sender.send_replace(Arc::new(view.clone()));
            }),
        };
        let stream = StreamHandle::start(shared, options).await?;
        Ok(CatalogueHandle { stream, views })
    }

    /// Catalogue as folded so far
    pub fn view(&self) -> Arc<CatalogueView> {
        self.views.borrow().clone()
    }

    /// Changes of `view`
    pub fn subscribe(&self) -> watch::Receiver<Arc<CatalogueView>> {
        self.views.clone()
    }

    /// Waits until the fold has reached the end of the stream once
    pub async fn caught_up(&self) {
        self.stream.caught_up().await;
    }

    /// Progress of the stream and its contact with the log
    pub fn status(&self) -> StreamStatus {
        self.stream.status()
    }

    /// Recent records for a peer that can't reach the log
    ///
    /// # Errors
    /// `Disconnected` if this instance has no contact with the log either.
    pub async fn relay(&self, from: Offset, max: u32) -> Result<Vec<LogRecord>, RelayError> {
        self.stream.relay(from, max).await
    }

    /// Creates or replaces an entry whose revision is `base`; returns the new revision
    ///
    /// # Errors
    /// `EditError`; after `Unknown` the edit may be in force, after the others it is not.
    pub async fn put(
        &self,
        entry: CatalogueEntry,
        base: Revision,
        editor: SmolStr,
    ) -> Result<Revision, EditError> {
        let faults = entry.faults();
        if !faults.is_empty() {
            return Err(EditError::Invalid(faults));
        }
        let name = entry.name.clone();
        let item = CatalogueItem::Put { entry: Arc::new(entry), base, editor };
        self.edit(&name, base, item).await
    }

    /// Removes an entry whose revision is `base`; returns the revision of the removal
    ///
    /// # Errors
    /// As for `put`.
    pub async fn remove(
        &self,
        name: EntryName,
        base: Revision,
        editor: SmolStr,
    ) -> Result<Revision, EditError> {
        let item = CatalogueItem::Remove { name: name.clone(), base, editor };
        self.edit(&name, base, item).await
    }

    /// Accepted edits of an entry, oldest first
    pub fn history(&self, name: &str) -> Vec<HistoryLine> {
        self.views.borrow().history(name).to_vec()
    }

    async fn edit(
        &self,
        name: &EntryName,
        base: Revision,
        item: CatalogueItem,
    ) -> Result<Revision, EditError> {
        let current = self.views.borrow().revision(name);
        if current > base {
            return Err(EditError::Conflict { current });
        }
        let outcome = self.stream.submit(item, Instant::now() + EDIT_TIMEOUT).await?;
        match outcome {
            EditOutcome::Accepted(revision) => {
                log::info!("event=edit entry={name} base={base} revision={revision}");
                Ok(revision)
            }
            EditOutcome::Conflict { current } => Err(EditError::Conflict { current }),
        }
    }
}
