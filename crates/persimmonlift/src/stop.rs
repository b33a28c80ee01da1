//! Final answers of a stopping instance.
//!
//! Requests that are left at the end of a drain get an answer that tells whether an
//! endpoint may have run them, instead of a connection that breaks off.

use crate::refusal::{CallerRefusal, RefusalCause};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Time in which final answers are written before the end of a drain.
pub const FINAL_ANSWER_TIME: Duration = Duration::from_millis(250);
/// `Retry-After` of a request that has not run: another instance can serve it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Begin of the final answers, for all requests at once
#[derive(Debug, Default)]
pub struct FinalAnswers {
    has_begun: watch::Sender<bool>,
}

impl FinalAnswers {
    /// Ends the wait of all requests that are left
    pub fn begin(&self) {
        self.has_begun.send_replace(true);
    }

    /// Waits until final answers are due
    pub async fn begun(&self) {
        // The sender lives as long as this value.
        let _ = self.has_begun.subscribe().wait_for(|it| *it).await;
    }
}

/// Whether a request has been handed to an endpoint, also known once its call is dropped
#[derive(Debug, Clone, Default)]
pub struct SendMark(Arc<AtomicBool>);

impl SendMark {
    /// Records that an endpoint may run the request from now on
    pub fn record_send(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Final answer to the request
    pub fn final_refusal(&self) -> CallerRefusal {
        match self.0.load(Ordering::Relaxed) {
            true => CallerRefusal::unknown(RefusalCause::Stopped),
            false => CallerRefusal::not_run(RefusalCause::Draining).retry_after(RETRY_AFTER),
        }
    }
}
