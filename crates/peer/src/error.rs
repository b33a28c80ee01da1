//! Failures of calls between instances.

use crate::auth::AuthError;
use crate::frame::FrameError;
use std::time::Duration;

/// Why a peer did not do what it was asked
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display, serde::Serialize, serde::Deserialize)]
pub enum PeerRefusal {
    /// request can't be read by this version
    Unreadable,
    /// instance is not home to what was asked
    NotHome,
    /// instance has not read the log that far
    Behind,
    /// instance is too busy
    Busy,
    /// instance does not serve this request
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
    /// no connection: {0}
    Connect(std::io::Error),
    /// no connection within {0:?}
    ConnectTimedOut(Duration),
    /// peer is not authenticated: {0}
    Auth(AuthError),
    /// connection failed: {0}
    Broken(h2::Error),
    /// connection went silent and was closed
    Silent,
    /// no reply within {0:?}
    TimedOut(Duration),
    /// frame: {0}
    Frame(FrameError),
    /// peer refused: {0}
    Refused(PeerRefusal),
    /// reply answers another kind of request
    WrongReply,
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Whether it is certain that the peer did not act on the request
    pub fn is_unsent(&self) -> bool {
        match self {
            PeerError::Connect(_) | PeerError::ConnectTimedOut(_) | PeerError::Auth(_) => true,
            PeerError::Frame(FrameError::Encode(_)) => true,
            PeerError::Refused(refusal) => *refusal != PeerRefusal::Failed,
            _ => false,
        }
    }

    /// Whether the peer itself answered, so that it is live
    pub fn is_answer(&self) -> bool {
        matches!(self, PeerError::Refused(_) | PeerError::WrongReply)
    }
}
