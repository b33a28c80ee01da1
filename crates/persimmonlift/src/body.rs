//! Reads request bodies completely, within limits on size and time.

use crate::context::{HELD_UNIT_BYTES, InstanceContext};
use crate::refusal::{CallerRefusal, RefusalCause};
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use platform::framing::MeteredBody;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Complete body and the memory reserved for it
#[derive(Debug)]
pub struct HeldBody {
    pub bytes: Bytes,
    pub reservation: BodyReservation,
}

/// Share of the instance's body memory taken by one body; released when dropped
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<Semaphore>,
    permits: Vec<OwnedSemaphorePermit>,
    bytes: usize,
}

impl BodyReservation {
    fn new(budget: &Arc<Semaphore>) -> BodyReservation {
        BodyReservation { budget: budget.clone(), permits: Vec::new(), bytes: 0 }
    }

    fn reserve(&mut self, needed: usize) -> Result<(), CallerRefusal> {
        if needed <= self.bytes {
            return Ok(());
        }
        let units = (needed - self.bytes).div_ceil(HELD_UNIT_BYTES);
        let permit = self.budget.clone().try_acquire_many_owned(units as u32).map_err(|_| {
            CallerRefusal::not_run(RefusalCause::Busy).retry_after(BUSY_RETRY_AFTER)
        })?;
        self.permits.push(permit);
        self.bytes += units * HELD_UNIT_BYTES;
        Ok(())
    }
}

/// Reads the body of a request
///
/// # Errors
/// `BodyTooLarge` if the declared length or the received bytes exceed the limit,
/// `BodyTooSlow`, `BodyBroken`, `Busy` if the instance's body memory is used up.
pub async fn read_body(
    context: &InstanceContext,
    request: Request<MeteredBody>,
) -> Result<HeldBody, CallerRefusal> {
    let limit = context.settings.limits.max_body_bytes;
    if declared_length(request.headers()).is_some_and(|it| it > limit as u64) {
        return Err(CallerRefusal::not_run(RefusalCause::BodyTooLarge(limit)));
    }
    let reservation = BodyReservation::new(&context.body_budget);
    let reading = collect(request.into_body(), limit, reservation);
    match tokio::time::timeout(context.settings.timeouts.body(), reading).await {
        Ok(body) => body,
        Err(_) => Err(CallerRefusal::not_run(RefusalCause::BodyTooSlow)),
    }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect(
    mut body: MeteredBody,
    limit: usize,
    mut reservation: BodyReservation,
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
        reservation.reserve(bytes.len() + data.len())?;
        bytes.extend_from_slice(&data);
    }
    Ok(HeldBody { bytes: bytes.freeze(), reservation })
}
