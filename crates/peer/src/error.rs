//! Failures of calls between instances.

use crate::auth::AuthError;
use crate::frame::FrameError;
use std::time::Duration;

/// Reason why a peer refused a request
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
pub enum PeerRefusal {
    /// request can't be read by this version
    Unreadable,
    /// instance is not the home of the requested key
    NotHome,
    /// instance has not read the log far enough
    Behind,
    /// instance is too busy
    Busy,
    /// instance does not support this request
    Unsupported,
    /// instance is stopping
    Stopping,
    /// instance failed: the request may have taken effect
    Failed,
}

impl std::error::Error for PeerRefusal {}

/// Failure of a call
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum PeerError {
    /// connecting failed: {0}
    Connect(std::io::Error),
    /// connecting timed out after {0:?}
    ConnectTimedOut(Duration),
    /// authentication failed: {0}
    Auth(AuthError),
    /// connection failed: {0}
    Broken(h2::Error),
    /// connection was closed because the peer did not respond to a ping
    Unresponsive,
    /// no reply within {0:?}
    TimedOut(Duration),
    /// invalid frame: {0}
    Frame(FrameError),
    /// peer refused the request: {0}
    Refused(PeerRefusal),
    /// reply is not of the requested kind
    WrongReply,
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Whether the request certainly had no effect
    pub fn is_unsent(&self) -> bool {
        match self {
            PeerError::Connect(_) | PeerError::ConnectTimedOut(_) | PeerError::Auth(_) => true,
            PeerError::Frame(FrameError::Encode(_)) => true,
            PeerError::Refused(refusal) => *refusal != PeerRefusal::Failed,
            _ => false,
        }
    }

    /// Whether the peer itself replied, which shows that it is live
    pub fn is_answer(&self) -> bool {
        matches!(self, PeerError::Refused(_) | PeerError::WrongReply)
    }
}
