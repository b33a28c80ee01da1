//! Suspected prompt parts, and the requests that test them one at a time.

use decide::serving::crash_table::{CrashTable, REFUSAL_TIME};
use decide::serving::prompt::PartKey;
use indexmap::IndexSet;
use lru::LruCache;
use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of parts with begun answers to remember.
const MAX_ANSWERED_PARTS: NonZeroUsize = NonZeroUsize::new(4096).expect("not zero");
/// First refusal of a part on which answers had begun, and the most by which an instance lengthens it, so that not
/// all test the part at once.
const ANSWERED_REFUSAL: Duration = Duration::from_secs(3);
const MAX_REFUSAL_JITTER: Duration = Duration::from_secs(3);

/// Evidence against prompt parts, and the tests that run here
pub struct PartSuspects {
    /// Strikes and begun answers by part
    pub table: RefCell<CrashTable>,
    /// Parts on which answers had begun, at this instance
    pub answered: RefCell<LruCache<PartKey, ()>>,
    answered_refusal: Duration,
    tests: RefCell<IndexSet<PartKey>>,
    /// Notified when a test ends
    pub test_ended: Notify,
}

impl Default for PartSuspects {
    fn default() -> PartSuspects {
        PartSuspects {
            table: RefCell::default(),
            answered: RefCell::new(LruCache::new(MAX_ANSWERED_PARTS)),
            answered_refusal: ANSWERED_REFUSAL + MAX_REFUSAL_JITTER.mul_f64(rand::random()),
            tests: RefCell::default(),
            test_ended: Notify::new(),
        }
    }
}

impl PartSuspects {
    /// Time for which a part is refused at first
    pub fn first_refusal(&self, part: PartKey) -> Duration {
        if self.answered.borrow().contains(&part) { self.soon() } else { REFUSAL_TIME }
    }

    /// First refusal of what was served before
    pub fn soon(&self) -> Duration {
        self.answered_refusal
    }
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
