//! Large configurations, as instances announce and compress them for transfers.

use bytes::Bytes;
use decide::serving::route::ConfigVersion;
use decide::serving::store_era::TopicPosition;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use platform::http::MAX_ANSWER_BYTES;
use platform_adapter::settings::InstanceSettings;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// Time that all transfers of one configuration may take, as a fraction of the time in which it must be in force.
const TRANSFER_FRACTION: f64 = 0.2;

/// Error of decompressing a configuration
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum UnpackError {
    /// cannot decompress: {0}
    Malformed(std::io::Error),
    /// exceeds the size limit of an answer
    TooLarge,
}

impl std::error::Error for UnpackError {}

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

/// Configuration read from the store, as the store holds it
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfig {
    pub version: ConfigVersion,
    pub value: Bytes,
}

impl StoredConfig {
    /// Its value if its version is the one in force
    ///
    /// Whether it contains keys that must not be sent is known of the one in force only.
    pub fn value_in_force(self, in_force: ConfigVersion) -> Option<Bytes> {
        (self.version == in_force).then_some(self.value)
    }
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
    pub fn unpack(body: &[u8]) -> Result<Vec<u8>, UnpackError> {
        let limit = MAX_ANSWER_BYTES as u64;
        let mut value = Vec::new();
        let mut decoder = DeflateDecoder::new(body).take(limit + 1);
        decoder.read_to_end(&mut value).map_err(UnpackError::Malformed)?;
        if value.len() > MAX_ANSWER_BYTES { Err(UnpackError::TooLarge) } else { Ok(value) }
    }

    /// Whether the link of an instance with these settings carries it to so many others in time
    pub fn can_be_sent_to(&self, instances: usize, settings: &InstanceSettings) -> bool {
        let bits = 8.0 * self.body.len() as f64 * instances as f64;
        let time = settings.config_bound.mul_f64(TRANSFER_FRACTION);
        bits <= settings.bandwidth_mbps * 1e6 * time.as_secs_f64()
    }
}
