//! What a failed attempt says of the endpoint and of the request.

use platform::engine::{EngineClient, EngineError, RefusalReason};
use platform::http::HttpError;
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which an engine that still runs tells its state.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Kind of failure of an attempt
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// Endpoint takes no work of this sort now
    Unavailable,
    /// Endpoint's queue is full
    Full,
    /// Cache to import is gone
    NoCache,
    /// Endpoint could not be reached, nothing was sent
    Unreached,
    /// Connection broke with the request under way; the endpoint may have crashed
    Lost,
    /// Stream fell silent or can't be trusted
    Untrusted,
    /// Deadline has passed
    TooLate,
    /// Endpoint says that the request can't be served
    Unserved,
}

impl FailureKind {
    /// Kind of an error
    pub fn of(error: &EngineError) -> FailureKind {
        match error {
            EngineError::Refused(reason) | EngineError::Stopped(reason) => of_reason(*reason),
            EngineError::BrokenOff => FailureKind::Lost,
            EngineError::Silent(_) | EngineError::Gap { .. } | EngineError::Line => {
                FailureKind::Untrusted
            }
            EngineError::Http(error) if error.is_unsent() => FailureKind::Unreached,
            EngineError::Http(HttpError::Broken(_) | HttpError::Body(_)) => FailureKind::Lost,
            EngineError::Http(_) => FailureKind::Untrusted,
        }
    }

    /// Whether the attempt has cost an engine work
    pub fn has_run(self) -> bool {
        matches!(self, FailureKind::Lost | FailureKind::Untrusted)
    }

    /// Name in metrics
    pub fn metric(self) -> &'static str {
        match self {
            FailureKind::Unavailable => "attempt_failed.unavailable",
            FailureKind::Full => "attempt_failed.full",
            FailureKind::NoCache => "attempt_failed.no_cache",
            FailureKind::Unreached => "attempt_failed.unreached",
            FailureKind::Lost => "attempt_failed.lost",
            FailureKind::Untrusted => "attempt_failed.untrusted",
            FailureKind::TooLate => "attempt_failed.too_late",
            FailureKind::Unserved => "attempt_failed.unserved",
        }
    }
}

fn of_reason(reason: RefusalReason) -> FailureKind {
    match reason {
        RefusalReason::Full => FailureKind::Full,
        RefusalReason::NoCache => FailureKind::NoCache,
        RefusalReason::TooLate => FailureKind::TooLate,
        RefusalReason::Malformed | RefusalReason::StaleFence => FailureKind::Unserved,
        RefusalReason::Cancelled => FailureKind::Untrusted,
        RefusalReason::Leaving
        | RefusalReason::Changing
        | RefusalReason::WrongRole
        | RefusalReason::WrongModel => FailureKind::Unavailable,
    }
}

/// Whether an engine whose connection broke has gone down
pub async fn crash_is_seen(engines: &EngineClient, address: SocketAddr) -> bool {
    engines.state(address, STATE_TIMEOUT).await.is_err()
}
