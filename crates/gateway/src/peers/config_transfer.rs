//! Transfers of large configurations between instances.
//!
//! The instance that reads the store for others compresses a configuration once and
//! sends it to each that asks, over TCP on the port of the messages. This takes a
//! fraction of the bytes that each would read from the store. An instance whose own
//! link is too small for that doesn't offer it, and whoever gets no answer reads the
//! store.

use crate::ready::{page, serve_page};
use crate::state::Gateway;
use bytes::Bytes;
use decide::serving::route::ConfigVersion;
use decide::serving::store_era::TopicPosition;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use http::{Request, StatusCode};
use http_body_util::Full;
use platform::http::{HttpClient, HttpError, MAX_ANSWER_BYTES};
use platform::transfer::{SilenceLimits, TransferMeter, transfer};
use platform_adapter::settings::InstanceSettings;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Longest silence during a transfer, after which the store is read instead.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Time that all transfers of one configuration may take, as a fraction of the time in which it must be in force.
const TRANSFER_FRACTION: f64 = 0.2;

/// Error of a transfer
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum TransferError {
    /// {0}
    Http(HttpError),
    /// no configuration is offered ({0})
    Status(StatusCode),
    /// cannot decompress: {0}
    Malformed(std::io::Error),
    /// exceeds the size limit of an answer
    TooLarge,
}

impl std::error::Error for TransferError {}

/// Configuration that another instance has announced
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigAnnouncement {
    /// Version of the configuration
    pub version: ConfigVersion,
    /// Position after its record
    pub end: TopicPosition,
    /// Instance that transfers it; `None` if it has to be read from the store
    pub source: Option<SocketAddr>,
}

/// Compressed configuration
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedConfig {
    /// Version of the configuration
    pub version: ConfigVersion,
    body: Bytes,
}

impl PackedConfig {
    /// Compresses a configuration as the store holds it; `None` if that fails
    pub fn pack(version: ConfigVersion, value: &[u8]) -> Option<PackedConfig> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(value).ok()?;
        Some(PackedConfig { version, body: encoder.finish().ok()?.into() })
    }

    /// Body of a transfer
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Decompresses the body of a transfer
    ///
    /// # Errors
    /// `Malformed`, or `TooLarge` beyond `MAX_ANSWER_BYTES`.
    pub fn unpack(body: &[u8]) -> Result<Vec<u8>, TransferError> {
        let limit = MAX_ANSWER_BYTES as u64;
        let mut value = Vec::new();
        let mut decoder = DeflateDecoder::new(body).take(limit + 1);
        decoder.read_to_end(&mut value).map_err(TransferError::Malformed)?;
        if value.len() > MAX_ANSWER_BYTES { Err(TransferError::TooLarge) } else { Ok(value) }
    }

    /// Whether the link of an instance with these settings carries it to so many others in time
    pub fn can_be_sent_to(&self, instances: usize, settings: &InstanceSettings) -> bool {
        let bits = 8.0 * self.body.len() as f64 * instances as f64;
        let time = settings.config_bound.mul_f64(TRANSFER_FRACTION);
        bits <= settings.bandwidth_mbps * 1e6 * time.as_secs_f64()
    }
}

/// Answers each request with the packed configuration
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    serve_page(listener, move || {
        let packed = gateway.packed_config.borrow().as_ref().map(|it| it.body().clone());
        let status = if packed.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
        page(status, packed.unwrap_or_default())
    })
    .await;
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
    PackedConfig::unpack(&body)
}
