//! Bodies of callers' requests, read whole within bounds of size and time.

use crate::context::{HELD_UNIT_BYTES, NodeContext};
use crate::refusal::{CallerRefusal, RefusalCause};
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whole body with the room that it takes
#[derive(Debug)]
pub struct HeldBody {
    /// Content
    pub bytes: Bytes,
    /// Room, given back when dropped
    pub room: BodyRoom,
}

/// Room taken by a body
#[derive(Debug)]
pub struct BodyRoom {
    held: Arc<Semaphore>,
    permits: Vec<OwnedSemaphorePermit>,
    bytes: usize,
}

impl BodyRoom {
    fn new(held: &Arc<Semaphore>) -> BodyRoom {
        BodyRoom { held: held.clone(), permits: Vec::new(), bytes: 0 }
    }

    fn grow(&mut self, wanted: usize) -> Result<(), CallerRefusal> {
        if wanted <= self.bytes {
            return Ok(());
        }
        let units = (wanted - self.bytes).div_ceil(HELD_UNIT_BYTES);
        let permit = self.held.clone().try_acquire_many_owned(units as u32).map_err(|_| {
            CallerRefusal::not_run(RefusalCause::Busy).retry_after(BUSY_RETRY_AFTER)
        })?;
        self.permits.push(permit);
        self.bytes += units * HELD_UNIT_BYTES;
        Ok(())
    }
}

/// Reads a request's body
///
/// # Errors
/// `BodyTooLarge` by the stated length or by what comes, `BodyTooSlow`,
/// `BodyBroken`, `Busy` when too much is held already.
pub async fn read_body(
    context: &NodeContext,
    request: Request<Incoming>,
) -> Result<HeldBody, CallerRefusal> {
    let limit = context.settings.limits.max_body_bytes;
    if stated_length(request.headers()).is_some_and(|it| it > limit as u64) {
        return Err(CallerRefusal::not_run(RefusalCause::BodyTooLarge(limit)));
    }
    let room = BodyRoom::new(&context.held);
    let reading = collect(request.into_body(), limit, room);
    match tokio::time::timeout(context.settings.timeouts.body(), reading).await {
        Ok(body) => body,
        Err(_) => Err(CallerRefusal::not_run(RefusalCause::BodyTooSlow)),
    }
}

fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    mut room: BodyRoom,
) -> Result<HeldBody, CallerRefusal> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallerRefusal::not_run(RefusalCause::BodyBroken))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(CallerRefusal::not_run(RefusalCause::BodyTooLarge(limit)));
        }
        room.grow(bytes.len() + data.len())?;
        bytes.extend_from_slice(&data);
    }
    Ok(HeldBody { bytes: bytes.freeze(), room })
}
