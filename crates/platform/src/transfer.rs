//! Transfers of answers, limited by silence and measured.
//!
//! How long a transfer takes depends on its size and on the bandwidth that others leave,
//! so that a limit on its total time cuts large answers on slow links, and a repeated
//! call cuts them again. A dead connection shows by its silence instead.

use crate::http::{HttpClient, HttpError, MAX_ANSWER_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::http::response::Parts;
use std::fmt;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Limits on the silence of a connection
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// Longest time until the head of the answer
    pub head: Duration,
    /// Longest time between two parts of the body
    pub body: Duration,
}

/// Progress of one or several answers
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferProgress {
    /// Bytes of the bodies received so far
    pub bytes: usize,
    /// Time to the first byte of the first body; `None` before it
    pub first_byte_after: Option<Duration>,
    /// Time since the call started
    pub took: Duration,
}

impl fmt::Display for TransferProgress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first_byte_ms = self.first_byte_after.unwrap_or(self.took).as_millis();
        let took_ms = self.took.as_millis();
        write!(formatter, "bytes={} first_byte_ms={first_byte_ms} took_ms={took_ms}", self.bytes)
    }
}

/// Measures the progress of a call
#[derive(Debug)]
pub struct TransferMeter {
    started_at: Instant,
    progress: TransferProgress,
}

impl TransferMeter {
    /// Meter of a call that starts now
    pub fn start() -> TransferMeter {
        TransferMeter { started_at: Instant::now(), progress: TransferProgress::default() }
    }

    /// Progress so far
    pub fn progress(&self) -> TransferProgress {
        TransferProgress { took: self.started_at.elapsed(), ..self.progress }
    }

    fn record(&mut self, bytes: usize) {
        self.progress.bytes += bytes;
        self.progress.first_byte_after.get_or_insert(self.started_at.elapsed());
    }
}

/// Sends a request and receives its whole answer
///
/// # Errors
/// `TimedOut` if the connection is silent for longer than the limits allow, or any other error of the
/// exchange.
pub async fn transfer(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    limits: SilenceLimits,
    meter: &mut TransferMeter,
) -> Result<(Parts, Bytes), HttpError> {
    let response = timeout(limits.head, client.send(request))
        .await
        .map_err(|_| HttpError::TimedOut(limits.head))??;
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut received = BytesMut::new();
    loop {
        let frame = timeout(limits.body, body.frame()).await;
        match frame.map_err(|_| HttpError::TimedOut(limits.body))? {
            None => return Ok((parts, received.freeze())),
            Some(frame) => {
                if let Ok(data) = frame.map_err(HttpError::Body)?.into_data() {
                    meter.record(data.len());
                    received.extend_from_slice(&data);
                }
            }
        }
    }
}
