//! Classification of failed attempts.

use platform::engine::{EngineClient, EngineError, RefusalReason};
use platform::http::HttpError;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the check whether an engine is still running.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Kind of a failed attempt
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The endpoint doesn't accept this kind of work at present
    Unavailable,
    /// The endpoint's queue is full
    Full,
    /// The cache to import no longer exists
    NoCache,
    /// The endpoint was unreachable; nothing was sent
    Unreached,
    /// The connection broke after the request was sent; the endpoint may have crashed
    Lost,
    /// The stream timed out, or its content is invalid
    Untrusted,
    /// The deadline has passed
    TooLate,
    /// The endpoint reported that it can't serve the request
    Unserved,
}

impl FailureKind {
    /// Classifies an error
    pub fn of(error: &EngineError) -> FailureKind {
        match error {
            EngineError::Refused(reason) | EngineError::Stopped(reason) => refusal_kind(*reason),
            EngineError::Truncated => FailureKind::Lost,
            EngineError::TimedOut(_)
            | EngineError::UnexpectedToken { .. }
            | EngineError::MalformedLine => FailureKind::Untrusted,
            EngineError::Http(error) if error.is_unsent() => FailureKind::Unreached,
            EngineError::Http(HttpError::ConnectionLost(_) | HttpError::Body(_)) => {
                FailureKind::Lost
            }
            EngineError::Http(_) => FailureKind::Untrusted,
        }
    }

    /// Whether an engine may have worked on the attempt; retrying it costs retry budget
    pub fn may_have_run(self) -> bool {
        matches!(self, FailureKind::Lost | FailureKind::Untrusted)
    }

    /// Name of the metric
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

fn refusal_kind(reason: RefusalReason) -> FailureKind {
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

/// Whether an engine doesn't report its state within `STATE_TIMEOUT`
pub async fn is_engine_down(engines: &EngineClient, address: SocketAddr) -> bool {
    engines.state(address, STATE_TIMEOUT).await.is_err()
}
