//! Fold of the catalogue stream.
//!
//! An edit names the revision that it replaces and is accepted only if that is
//! still the current one, so exactly one of several concurrent edits is accepted. The
//! last revision of a removed entry is kept: creating the entry again must name that
//! revision, so a late copy of its first edit can't restore it.

use crate::stream::ItemPosition;
use catalogue::CatalogueEntry;
use catalogue::id::{EntryName, Revision};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::sync::Arc;

pub const CATALOGUE_STREAM: &str = "catalogue";
/// Maximum number of accepted edits kept per entry.
pub const MAX_HISTORY: usize = 16;
/// Maximum number of removed entries whose last revision is kept.
pub const MAX_REMOVED: usize = 10_000;

/// Item of the catalogue stream
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogueItem {
    /// Creates or replaces an entry
    Put {
        entry: Arc<CatalogueEntry>,
        /// Revision that it replaces
        base: Revision,
        /// Who made the edit
        editor: SmolStr,
    },
    /// Removes an entry
    Remove {
        name: EntryName,
        /// Revision that it replaces
        base: Revision,
        /// Who made the edit
        editor: SmolStr,
    },
}

/// Result of an edit
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditOutcome {
    /// Accepted as this revision
    Accepted(Revision),
    /// Refused: the entry has another revision than the edit names
    Conflict {
        /// Current revision of the entry
        current: Revision,
    },
}

/// Entry and the revision that created or last replaced it
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VersionedEntry {
    pub entry: Arc<CatalogueEntry>,
    /// Offset of the edit in force
    pub revision: Revision,
}

/// Kind of an accepted edit
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditKind {
    /// Created or replaced
    Put,
    Remove,
}

/// Accepted edit of an entry
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HistoryLine {
    /// Revision that the edit created
    pub revision: Revision,
    /// Revision that the edit replaced
    pub base: Revision,
    pub kind: EditKind,
    /// Who made the edit
    pub editor: SmolStr,
    /// Time of the edit by the platform's clock, in milliseconds since the Unix epoch
    pub time_ms: u64,
}

/// Catalogue as folded through an offset
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CatalogueView {
    entries: IndexMap<EntryName, Arc<VersionedEntry>>,
    removed: IndexMap<EntryName, Revision>,
    history: IndexMap<EntryName, Vec<HistoryLine>>,
}

impl CatalogueView {
    pub fn entry(&self, name: &str) -> Option<&Arc<VersionedEntry>> {
        self.entries.get(name)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Arc<VersionedEntry>> {
        self.entries.values()
    }

    /// Revision that an edit of the entry has to name; 0 if the entry never existed
    pub fn revision(&self, name: &str) -> Revision {
        let present = self.entries.get(name).map(|it| it.revision);
        present.or_else(|| self.removed.get(name).copied()).unwrap_or(0)
    }

    /// Accepted edits of an entry that are kept, oldest first
    pub fn history(&self, name: &str) -> &[HistoryLine] {
        self.history.get(name).map_or(&[], Vec::as_slice)
    }

    /// Folds one edit
    pub fn apply(&mut self, position: ItemPosition, item: &CatalogueItem) -> EditOutcome {
        let (name, base, editor, kind) = match item {
            CatalogueItem::Put { entry, base, editor } => {
                (&entry.name, *base, editor, EditKind::Put)
            }
            CatalogueItem::Remove { name, base, editor } => (name, *base, editor, EditKind::Remove),
        };
        let current = self.revision(name);
        let removes_missing = kind == EditKind::Remove && !self.entries.contains_key(name);
        if base != current || removes_missing {
            return EditOutcome::Conflict { current };
        }
        let line = HistoryLine {
            revision: position.offset,
            base,
            kind,
            editor: editor.clone(),
            time_ms: position.time_ms,
        };
        self.push_history(name.clone(), line);
        match item {
            CatalogueItem::Put { entry, .. } => self.put(entry.clone(), position.offset),
            CatalogueItem::Remove { name, .. } => self.remove(name, position.offset),
        }
        EditOutcome::Accepted(position.offset)
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

    fn push_history(&mut self, name: EntryName, line: HistoryLine) {
        let lines = self.history.entry(name).or_default();
        lines.push(line);
        if lines.len() > MAX_HISTORY {
            lines.remove(0);
        }
    }
}
