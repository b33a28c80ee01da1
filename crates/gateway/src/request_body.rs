//! Reads the bodies of clients' requests.

use crate::memory::MemoryShare;
use crate::serving_call::Refusal;
use crate::state::Gateway;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use platform::framing::MeteredBody;
use platform_adapter::answer::GatewayAnswer;
use tokio::time::{Instant, timeout_at};

/// Size up to which a request's body is read whatever the others take; prompts are smaller.
const USUAL_BODY_BYTES: usize = 16 * 1024;

/// Reads and drops a body, so that the connection can be used again; `false` if that takes too long
pub async fn discard_body(mut body: MeteredBody, limit: usize, deadline: Instant) -> bool {
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

/// Reads a request's body; one that is larger than usual only while those of all requests have room
///
/// # Errors
/// The refusal, if the body is too large, broken, or not complete at the deadline.
pub async fn read_body(
    gateway: &Gateway,
    body: MeteredBody,
    limit: usize,
    deadline: Instant,
) -> Result<(Bytes, MemoryShare), Refusal> {
    let mut body = Limited::new(body, limit);
    let mut received = BytesMut::new();
    let mut share = gateway.memory.bodies.share();
    loop {
        let data = match timeout_at(deadline, body.frame()).await {
            Ok(None) => return Ok((received.freeze(), share)),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(error))) if error.is::<LengthLimitError>() => {
                return Err(Refusal::new(GatewayAnswer::TooLarge, "body_too_large"));
            }
            Ok(Some(Err(_))) => return Err(Refusal::new(GatewayAnswer::Malformed, "body_broken")),
            Err(_) => return Err(Refusal::new(GatewayAnswer::BodyTimedOut, "body_timed_out")),
        };
        share.grow(data.len());
        if share.bytes() > USUAL_BODY_BYTES && gateway.memory.bodies.is_full() {
            return Err(Refusal::new(GatewayAnswer::NotRun, "bodies_full"));
        }
        received.extend_from_slice(&data);
    }
}
