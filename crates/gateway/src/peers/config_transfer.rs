//! Transfers of large configurations between instances.
//!
//! The instance that reads the store for others compresses a configuration once and
//! sends it to each that asks, over TCP on the port of the messages. This takes a
//! fraction of the bytes that each would read from the store. An instance whose own
//! link is too small for that doesn't offer it, and whoever gets no answer reads the
//! store.

use crate::body::AnswerBody;
use crate::packed_config::{PackedConfig, UnpackError};
use crate::ready::page;
use crate::state::Gateway;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use platform::http::{HttpClient, HttpError};
use platform::transfer::{SilenceLimits, TransferMeter, transfer};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest silence during a transfer, after which the store is read instead.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Error of a transfer
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum TransferError {
    /// {0}
    Http(HttpError),
    /// no configuration is offered ({0})
    Status(StatusCode),
    /// {0}
    Unpack(UnpackError),
}

impl std::error::Error for TransferError {}

/// Answers a request with the packed configuration
pub fn answer(gateway: &Gateway) -> Response<AnswerBody> {
    let packed = gateway.packed_config.borrow().as_ref().map(|it| it.body().clone());
    let status = if packed.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
    page(status, packed.unwrap_or_default())
}

/// Fetches the configuration that another instance offers
///
/// # Errors
/// `TransferError`; the configuration is then read from the store.
pub async fn fetch(source: SocketAddr) -> Result<Vec<u8>, TransferError> {
    let request = Request::get(format!("http://{source}/config"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| TransferError::Http(HttpError::Request(error)))?;
    let limits = SilenceLimits { head: SILENCE_LIMIT, body: SILENCE_LIMIT };
    let mut meter = TransferMeter::start();
    let client = HttpClient::without_reuse();
    let answer = transfer(&client, request, limits, &mut meter).await;
    let (parts, body) = answer.map_err(TransferError::Http)?;
    if parts.status != StatusCode::OK {
        return Err(TransferError::Status(parts.status));
    }
    log::info!("event=config_transferred source={source} {}", meter.progress());
    PackedConfig::unpack(&body).map_err(TransferError::Unpack)
}
