//! Reads the bodies of clients' requests.

use crate::serving_call::Refusal;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use platform_adapter::answer::GatewayAnswer;
use tokio::time::{Instant, timeout_at};

/// Reads and drops a body, so that the connection can be used again; `false` if that takes too long
pub async fn discard_body(mut body: Incoming, limit: usize, deadline: Instant) -> bool {
    let read = async {
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > limit {
                return false;
            }
        }
        true
    };
    timeout_at(deadline, read).await.unwrap_or(false)
}

/// Reads a body of limited size
///
/// # Errors
/// The refusal, if the body is too large, broken, or not complete at the deadline.
pub async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(GatewayAnswer::TooLarge, "body_too_large"))
        }
        Ok(Err(_)) => Err(Refusal::new(GatewayAnswer::Malformed, "body_broken")),
        Err(_) => Err(Refusal::new(GatewayAnswer::BodyTimedOut, "body_timed_out")),
    }
}
