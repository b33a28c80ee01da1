//! Client of the weight store.
//!
//! Engines load weights from the store, which serves only so many bytes a second.
//! `GET /weights` answers a `WeightReport`, from which the planner judges how long
//! a load would take and whether to start one.

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
    /// Model
    pub model: ModelName,
    /// Version
    pub version: SmolStr,
    /// Size in bytes
    pub bytes: u64,
}

/// State of the store
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WeightReport {
    /// Bytes a second that the store gives to all loads together
    pub bytes_per_s: u64,
    /// Bytes still owed to running loads
    pub pending_bytes: u64,
    /// What the store holds
    pub models: Vec<StoredModel>,
}

impl WeightReport {
    /// Time until a load of the model would end if it started now; `None` if the store lacks it
    pub fn load_time(&self, model: &str, version: &str) -> Option<Duration> {
        let stored = self.models.iter().find(|it| it.model == model && it.version == version)?;
        let bytes = self.pending_bytes.saturating_add(stored.bytes);
        Some(Duration::from_secs_f64(bytes as f64 / self.bytes_per_s.max(1) as f64))
    }
}

/// Client of the store
#[derive(Debug, Clone)]
pub struct WeightClient {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl WeightClient {
    /// Client of the store at `address`
    pub fn new(address: SocketAddr, timeout: Duration) -> WeightClient {
        WeightClient { client: HttpClient::new(), address, timeout }
    }

    /// Reads the state of the store
    ///
    /// # Errors
    /// Any `HttpError`.
    pub async fn report(&self) -> Result<WeightReport, HttpError> {
        let call = JsonCall {
            method: Method::GET,
            address: self.address,
            path: "/weights",
            timeout: self.timeout,
            request: None,
        };
        self.client.call(call, None::<&()>).await
    }
}
