//! Suspected prompt parts, and the requests that test them one at a time.

use decide::serving::crash_table::CrashTable;
use decide::serving::prompt::PartKey;
use indexmap::IndexSet;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Evidence against prompt parts, and the tests that run here
#[derive(Default)]
pub struct PartSuspects {
    /// Strikes and begun answers by part
    pub table: RefCell<CrashTable>,
    tests: RefCell<IndexSet<PartKey>>,
    /// Notified when a test ends
    pub test_ended: Notify,
}

/// Only request of this instance with some suspected parts, until dropped
pub struct PartTest {
    suspects: Rc<PartSuspects>,
    parts: Vec<PartKey>,
}

impl PartTest {
    /// Starts a test; `None` while another one tests any of the parts
    pub fn try_start(suspects: &Rc<PartSuspects>, parts: Vec<PartKey>) -> Option<PartTest> {
        let mut tests = suspects.tests.borrow_mut();
        if parts.iter().any(|it| tests.contains(it)) {
            return None;
        }
        tests.extend(parts.iter().copied());
        Some(PartTest { suspects: suspects.clone(), parts })
    }
}

impl Drop for PartTest {
    fn drop(&mut self) {
        self.suspects.tests.borrow_mut().retain(|it| !self.parts.contains(it));
        self.suspects.test_ended.notify_waiters();
    }
}
