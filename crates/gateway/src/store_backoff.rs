//! Failed reads of the store: pauses before the next ones, and log lines of outages.

use platform::transfer::TransferProgress;
use platform_adapter::store::StoreError;
use std::time::Duration;

/// Pause after the first failed call; doubles up to `MAX_RETRY_PAUSE`.
pub const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Failed read, with how far it came
pub struct ReadFailure {
    pub error: StoreError,
    pub progress: TransferProgress,
}

/// Tracks failed reads of one topic for backoff and logging
pub struct StoreBackoff {
    topic: &'static str,
    failures: u32,
}

impl StoreBackoff {
    /// No failures so far
    pub fn new(topic: &'static str) -> StoreBackoff {
        StoreBackoff { topic, failures: 0 }
    }

    /// Records a successful call; `true` if calls had failed before
    pub fn succeeded(&mut self) -> bool {
        self.end_outage("own")
    }

    /// Records that the instance that reads for this one has succeeded; `true` if own calls had failed before
    pub fn peer_succeeded(&mut self) -> bool {
        self.end_outage("peer")
    }

    fn end_outage(&mut self, reader: &str) -> bool {
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            let topic = self.topic;
            log::info!("event=store_regained topic={topic} failures={failures} reader={reader}");
        }
        failures > 0
    }

    /// Records a failed call; returns the pause before the next one
    pub fn failed(&mut self, failure: &ReadFailure) -> Duration {
        let ReadFailure { error, progress } = failure;
        let topic = self.topic;
        if self.failures == 0 {
            log::warn!("event=store_lost topic={topic} error=\"{error}\" {progress}");
        } else {
            let failures = self.failures + 1;
            log::info!(
                "event=store_failed topic={topic} failures={failures} error=\"{error}\" {progress}"
            );
        }
        let pause = FIRST_RETRY_PAUSE * (1 << self.failures.min(4));
        self.failures += 1;
        pause.min(MAX_RETRY_PAUSE)
    }
}
