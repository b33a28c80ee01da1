//! Sections of the status page that other modules add.

use indexmap::IndexMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};

/// Function that returns one section of the status page as JSON
pub type ReportFn = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Sections of the status page that other modules add
#[derive(Default)]
pub struct StatusReports {
    reports: Mutex<IndexMap<&'static str, ReportFn>>,
}

impl fmt::Debug for StatusReports {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StatusReports").finish_non_exhaustive()
    }
}

impl StatusReports {
    /// Adds a section under its key on the status page, such as `peers`
    pub fn add(&self, name: &'static str, report: ReportFn) {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).insert(name, report);
    }

    /// Sections by their keys
    pub fn read(&self) -> IndexMap<&'static str, serde_json::Value> {
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.iter().map(|(name, report)| (*name, report())).collect()
    }
}
