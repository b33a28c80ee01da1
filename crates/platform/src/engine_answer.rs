//! Lines and errors of engines' answers.

use crate::http::HttpError;
use catalogue::id::TokenCount;
use std::time::Duration;

/// One line of a token stream
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamLine {
    Token {
        /// Number of the token, from 0
        n: TokenCount,
        /// Text of the token
        text: String,
    },
    /// End of the complete answer
    End {
        /// Length of the complete answer
        count: TokenCount,
        /// Length of the prompt
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the engine's cache
        cached_tokens: TokenCount,
    },
    /// Engine stops the stream before its end
    Stopped {
        /// Reason of the stop
        reason: RefusalReason,
    },
}

/// Reason why an engine refuses a request or stops its stream
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Queue or memory is full
    Full,
    /// Engine is draining or drained
    Leaving,
    /// Engine is changing its role or loading weights
    Changing,
    /// Engine's role does not include the stage that the request needs
    WrongRole,
    /// Model or version is not loaded
    WrongModel,
    /// Cache to import no longer exists
    NoCache,
    /// Deadline has passed
    TooLate,
    /// Request was cancelled by its sender
    Cancelled,
    /// Fencing number is lower than an earlier one
    StaleFence,
    /// Request is malformed
    Malformed,
}

/// Error of a call to an engine
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum EngineError {
    /// engine refused: {0:?}
    Refused(RefusalReason),
    /// engine stopped the stream: {0:?}
    Stopped(RefusalReason),
    /// connection closed before the end of the stream
    Truncated,
    /// no line of the stream within {0:?}
    TimedOut(Duration),
    /// received token {received}, expected {expected}
    UnexpectedToken {
        /// Number of the expected token
        expected: TokenCount,
        /// Number of the received token
        received: TokenCount,
    },
    /// line of the stream is too long or malformed
    MalformedLine,
    /// {0}
    Http(HttpError),
}

impl std::error::Error for EngineError {}
