//! Client of the weight store.
//!
//! Engines load weights from the store, whose total bandwidth is limited. `GET /weights`
//! answers a `WeightReport`, from which the planner estimates the time of a load and
//! decides whether to start it.

use crate::http::{HttpClient, HttpError, JsonCall};
use catalogue::id::ModelName;
use hyper::Method;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Size of one stored version of a model
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredModel {
    pub model: ModelName,
    /// Version of the model
    pub version: SmolStr,
    /// Size of the weights, in bytes
    pub bytes: u64,
}

/// Load and contents of the weight store
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WeightReport {
    /// Bandwidth of all loads together, in bytes per second
    pub bytes_per_s: u64,
    /// Bytes that running loads have still to receive
    pub pending_bytes: u64,
    /// Models in the store
    pub models: Vec<StoredModel>,
}

impl WeightReport {
    /// Duration of a load of the model that starts now; `None` if the store doesn't have it
    pub fn load_time(&self, model: &str, version: &str) -> Option<Duration> {
        let stored = self.models.iter().find(|it| it.model == model && it.version == version)?;
        let bytes = self.pending_bytes.saturating_add(stored.bytes);
        Some(Duration::from_secs_f64(bytes as f64 / self.bytes_per_s.max(1) as f64))
    }
}

/// HTTP client of the weight store
#[derive(Debug, Clone)]
pub struct WeightClient {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl WeightClient {
    /// Client of the store at `address`; `timeout` limits each call
    pub fn new(address: SocketAddr, timeout: Duration) -> WeightClient {
        WeightClient { client: HttpClient::new(), address, timeout }
    }

    /// Reads the store's report
    ///
    /// # Errors
    /// Any `HttpError`.
    pub async fn report(&self) -> Result<WeightReport, HttpError> {
        let call = JsonCall {
            method: Method::GET,
            address: self.address,
            path: "/weights",
            timeout: self.timeout,
            request_id: None,
        };
        self.client.call(call, None::<&()>).await
    }
}
