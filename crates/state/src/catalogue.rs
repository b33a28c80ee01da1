//! Fold of the catalogue stream.
//!
//! An edit names the revision that it replaces and is accepted only if that is
//! still the current one, so exactly one of several racing edits wins. A removed
//! entry keeps its last revision: creating it anew must name that revision, so a
//! late copy of the first edit can't bring it back.

use crate::stream::ItemPlace;
use catalogue::CatalogueEntry;
use catalogue::id::{EntryName, Revision};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::sync::Arc;

/// Name of the stream.
pub const CATALOGUE_STREAM: &str = "catalogue";
/// Accepted edits kept of each entry.
pub const MAX_HISTORY: usize = 16;
/// Removed entries whose last revision is kept.
pub const MAX_REMOVED: usize = 10_000;

/// Item of the stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogueItem {
    /// Creates or replaces an entry
    Put {
        /// New content
        entry: Arc<CatalogueEntry>,
        /// Revision that it replaces
        base: Revision,
        /// Who made the edit
        editor: SmolStr,
    },
    /// Removes an entry
    Remove {
        /// Entry to remove
        name: EntryName,
        /// Revision that it replaces
        base: Revision,
        /// Who made the edit
        editor: SmolStr,
    },
}

/// What became of an edit
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditOutcome {
    /// In force under this revision
    Accepted(Revision),
    /// Refused: the entry stands at another revision
    Conflict {
        /// Revision at which it stands
        current: Revision,
    },
}

/// Entry and the revision that put it there
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VersionedEntry {
    /// Content
    pub entry: Arc<CatalogueEntry>,
    /// Offset of the edit that is in force
    pub revision: Revision,
}

/// Kind of an accepted edit
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditKind {
    /// Created or replaced
    Put,
    /// Removed
    Remove,
}

/// Accepted edit of an entry
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HistoryLine {
    /// Revision that the edit made
    pub revision: Revision,
    /// Revision that it replaced
    pub base: Revision,
    /// What it did
    pub kind: EditKind,
    /// Who made it
    pub editor: SmolStr,
    /// Time by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

/// Catalogue after an offset
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CatalogueView {
    entries: IndexMap<EntryName, Arc<VersionedEntry>>,
    removed: IndexMap<EntryName, Revision>,
    history: IndexMap<EntryName, Vec<HistoryLine>>,
}

impl CatalogueView {
    /// Entry of a name
    pub fn entry(&self, name: &str) -> Option<&Arc<VersionedEntry>> {
        self.entries.get(name)
    }

    /// All entries
    pub fn entries(&self) -> impl Iterator<Item = &Arc<VersionedEntry>> {
        self.entries.values()
    }

    /// Revision that an edit of the name has to replace; 0 if there never was one
    pub fn revision(&self, name: &str) -> Revision {
        let present = self.entries.get(name).map(|it| it.revision);
        present.or_else(|| self.removed.get(name).copied()).unwrap_or(0)
    }

    /// Accepted edits of a name, oldest first
    pub fn history(&self, name: &str) -> &[HistoryLine] {
        self.history.get(name).map_or(&[], Vec::as_slice)
    }

    /// Folds one edit
    pub fn apply(&mut self, place: ItemPlace, item: &CatalogueItem) -> EditOutcome {
        let (name, base, editor, kind) = match item {
            CatalogueItem::Put { entry, base, editor } => {
                (&entry.name, *base, editor, EditKind::Put)
            }
            CatalogueItem::Remove { name, base, editor } => (name, *base, editor, EditKind::Remove),
        };
        let current = self.revision(name);
        let removes_nothing = kind == EditKind::Remove && !self.entries.contains_key(name);
        if base != current || removes_nothing {
            return EditOutcome::Conflict { current };
        }
        let line = HistoryLine {
            revision: place.offset,
            base,
            kind,
            editor: editor.clone(),
            time_ms: place.time_ms,
        };
        self.record(name.clone(), line);
        match item {
            CatalogueItem::Put { entry, .. } => self.put(entry.clone(), place.offset),
            CatalogueItem::Remove { name, .. } => self.remove(name, place.offset),
        }
        EditOutcome::Accepted(place.offset)
    }

    fn put(&mut self, entry: Arc<CatalogueEntry>, revision: Revision) {
        self.removed.shift_remove(&entry.name);
        let name = entry.name.clone();
        self.entries.insert(name, Arc::new(VersionedEntry { entry, revision }));
    }

    fn remove(&mut self, name: &EntryName, revision: Revision) {
        self.entries.shift_remove(name);
        self.removed.insert(name.clone(), revision);
        if self.removed.len() > MAX_REMOVED
            && let Some((oldest, _)) = self.removed.shift_remove_index(0)
        {
            self.history.shift_remove(&oldest);
        }
    }

    fn record(&mut self, name: EntryName, line: HistoryLine) {
        let lines = self.history.entry(name).or_default();
        lines.push(line);
        if lines.len() > MAX_HISTORY {
            lines.remove(0);
        }
    }
}
