//! Refusals: the errors sent to callers in place of a complete answer.
//!
//! Each cause has an HTTP status, a type and a code. A refusal also states whether the
//! request has run; it says `no` only if that is certain.

use decide::admission::RefuseReason;
use decide::limits::LimitRefusal;
use http::StatusCode;
use smol_str::SmolStr;
use state::claims::Resolution;
use std::time::Duration;

/// Header that states whether the request has run.
pub const RAN_HEADER: &str = "persimmon-ran";

/// Whether a request has run
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    /// It has certainly not run
    No,
    /// It may have run, possibly in part
    Unknown,
    /// It has certainly run
    Yes,
}

impl RanState {
    /// Value in headers and logs
    pub fn name(self) -> &'static str {
        match self {
            RanState::No => "no",
            RanState::Unknown => "unknown",
            RanState::Yes => "yes",
        }
    }
}

/// Reason for a refusal; the text is the `message` of the answer
#[derive(Debug, Clone, PartialEq)]
#[derive(displaydoc::Display)]
pub enum RefusalCause {
    /// no such path
    NoPath,
    /// method is not allowed here
    NoMethod,
    /// a bearer key is required
    NoKey,
    /// the bearer key is unknown
    UnknownKey,
    /// this key allows no entry of this name
    NoEntry,
    /// body is larger than {0} bytes
    BodyTooLarge(usize),
    /// body was not received in time
    BodyTooSlow,
    /// connection broke while the body was read
    BodyBroken,
    /// body is not valid JSON for this call: {0}
    Json(SmolStr),
    /// {field} {problem}
    Field {
        /// Field of the body or name of a header
        field: &'static str,
        problem: FieldProblem,
    },
    /// instance is at its limit of requests or body bytes
    Busy,
    /// {0}
    Limit(LimitRefusal),
    /// {0}
    Admission(RefuseReason),
    /// no endpoint accepts the request at present
    NoEndpoint,
    /// instance is starting and has not read the catalogue yet
    Starting,
    /// instance can reach neither the log nor other instances
    Isolated,
    /// instance is stopping
    Draining,
    /// instance stopped before the answer was complete
    Stopped,
    /// endpoints crashed while running this request
    CrashesEndpoints,
    /// deadline has passed
    DeadlinePassed,
    /// endpoints failed before the answer was complete
    EndpointsFailed,
    /// service sent an incomplete answer
    ServiceFailed,
    /// the request with this key is still in progress
    OnceInProgress,
    /// key was already used for a different request
    OnceMismatch,
    /// outcome of the request with this key is unknown
    OnceUnknown,
    /// key is too old to determine whether its request has run
    OnceTooOld,
    /// key could not be claimed in the log in time
    OnceUnclaimed,
    /// an operator resolved the request with this key: {0}
    OnceResolved(Resolution),
    /// the operators' token is required
    NoAdminToken,
    /// If-Match must name the revision to replace; for a new entry, send If-None-Match: *
    NoMatch,
    /// entry stands at revision {0}
    Conflict(u64),
    /// entry is invalid: {0}
    EntryFaults(SmolStr),
    /// log can't be reached, nothing was changed
    LogDown,
    /// log did not answer; the change may have taken effect
    LogUnanswered,
    /// no such entry
    AbsentEntry,
    /// no unknown outcome to resolve under this key
    AbsentOutcome,
}

impl std::error::Error for RefusalCause {}

/// Problem of a field; the text follows the field's name
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum FieldProblem {
    /// is missing
    Missing,
    /// must be above 0
    Zero,
    /// must not be empty
    Empty,
    /// must be at most {0}
    TooLarge(u64),
    /// has the wrong form
    Form,
    /// is too far in the future
    Future,
}

impl std::error::Error for FieldProblem {}

/// Answer to a request that is refused
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRefusal {
    pub cause: RefusalCause,
    /// Whether the request has run
    pub ran: RanState,
    /// Value of `Retry-After`; `None` if a retry doesn't help
    pub retry_after: Option<Duration>,
}

impl CallerRefusal {
    /// Refusal of a request that has not run
    pub fn not_run(cause: RefusalCause) -> CallerRefusal {
        CallerRefusal { cause, ran: RanState::No, retry_after: None }
    }

    /// Refusal of a request that may have run, possibly in part
    pub fn unknown(cause: RefusalCause) -> CallerRefusal {
        CallerRefusal { cause, ran: RanState::Unknown, retry_after: None }
    }

    /// Sets `Retry-After`
    pub fn retry_after(mut self, time: Duration) -> CallerRefusal {
        self.retry_after = Some(time);
        self
    }

    /// Refusal of an invalid field
    pub fn field(field: &'static str, problem: FieldProblem) -> CallerRefusal {
        CallerRefusal::not_run(RefusalCause::Field { field, problem })
    }
}

impl From<LimitRefusal> for CallerRefusal {
    fn from(refusal: LimitRefusal) -> CallerRefusal {
        let time = refusal.retry_after();
        CallerRefusal::not_run(RefusalCause::Limit(refusal)).retry_after(time)
    }
}

impl From<RefuseReason> for CallerRefusal {
    fn from(reason: RefuseReason) -> CallerRefusal {
        let time = reason.retry_after();
        CallerRefusal::not_run(RefusalCause::Admission(reason)).retry_after(time)
    }
}

impl RefusalCause {
    /// HTTP status
    pub fn status(&self) -> StatusCode {
        match self {
            RefusalCause::NoPath | RefusalCause::AbsentEntry | RefusalCause::AbsentOutcome => {
                StatusCode::NOT_FOUND
            }
            RefusalCause::NoMethod => StatusCode::METHOD_NOT_ALLOWED,
            RefusalCause::NoKey | RefusalCause::UnknownKey | RefusalCause::NoAdminToken => {
                StatusCode::UNAUTHORIZED
            }
            RefusalCause::NoEntry => StatusCode::FORBIDDEN,
            RefusalCause::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalCause::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            RefusalCause::BodyBroken
            | RefusalCause::Json(_)
            | RefusalCause::Field { .. }
            | RefusalCause::EntryFaults(_) => StatusCode::BAD_REQUEST,
            RefusalCause::Limit(_) => StatusCode::TOO_MANY_REQUESTS,
            RefusalCause::CrashesEndpoints | RefusalCause::OnceMismatch => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            RefusalCause::OnceInProgress | RefusalCause::OnceResolved(_) => StatusCode::CONFLICT,
            RefusalCause::DeadlinePassed | RefusalCause::Stopped => StatusCode::GATEWAY_TIMEOUT,
            RefusalCause::EndpointsFailed
            | RefusalCause::ServiceFailed
            | RefusalCause::OnceUnknown => StatusCode::BAD_GATEWAY,
            RefusalCause::OnceTooOld => StatusCode::GONE,
            RefusalCause::NoMatch => StatusCode::PRECONDITION_REQUIRED,
            RefusalCause::Conflict(_) => StatusCode::PRECONDITION_FAILED,
            RefusalCause::Busy
            | RefusalCause::Admission(_)
            | RefusalCause::NoEndpoint
            | RefusalCause::Starting
            | RefusalCause::Isolated
            | RefusalCause::Draining
            | RefusalCause::OnceUnclaimed
            | RefusalCause::LogDown
            | RefusalCause::LogUnanswered => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Value of `type`, derived from the status
    pub fn type_name(&self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => "not_found_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::SERVICE_UNAVAILABLE => "unavailable_error",
            StatusCode::GATEWAY_TIMEOUT | StatusCode::REQUEST_TIMEOUT => "timeout_error",
            StatusCode::BAD_GATEWAY => "endpoint_error",
            StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => "conflict_error",
            _ => "invalid_request_error",
        }
    }

    /// Machine-readable code
    pub fn code(&self) -> &'static str {
        match self {
            RefusalCause::NoPath => "no_path",
            RefusalCause::NoMethod => "no_method",
            RefusalCause::NoKey => "no_key",
            RefusalCause::UnknownKey => "unknown_key",
            RefusalCause::NoEntry => "no_entry",
            RefusalCause::BodyTooLarge(_) => "body_too_large",
            RefusalCause::BodyTooSlow => "body_too_slow",
            RefusalCause::BodyBroken => "body_broken",
            RefusalCause::Json(_) => "bad_json",
            RefusalCause::Field { .. } => "bad_field",
            RefusalCause::Busy => "busy",
            RefusalCause::Limit(it) => it.name(),
            RefusalCause::Admission(it) => it.name(),
            RefusalCause::NoEndpoint => "no_endpoint",
            RefusalCause::Starting => "starting",
            RefusalCause::Isolated => "isolated",
            RefusalCause::Draining => "draining",
            RefusalCause::Stopped => "stopped",
            RefusalCause::CrashesEndpoints => "crashes_endpoints",
            RefusalCause::DeadlinePassed => "deadline_passed",
            RefusalCause::EndpointsFailed => "endpoints_failed",
            RefusalCause::ServiceFailed => "service_failed",
            RefusalCause::OnceInProgress => "in_progress",
            RefusalCause::OnceMismatch => "key_mismatch",
            RefusalCause::OnceUnknown => "outcome_unknown",
            RefusalCause::OnceTooOld => "key_too_old",
            RefusalCause::OnceUnclaimed => "not_claimed",
            RefusalCause::OnceResolved(_) => "resolved",
            RefusalCause::NoAdminToken => "no_admin_token",
            RefusalCause::NoMatch => "no_match",
            RefusalCause::Conflict(_) => "conflict",
            RefusalCause::EntryFaults(_) => "entry_faults",
            RefusalCause::LogDown => "log_down",
            RefusalCause::LogUnanswered => "log_unanswered",
            RefusalCause::AbsentEntry => "absent_entry",
            RefusalCause::AbsentOutcome => "absent_outcome",
        }
    }
}
