//! Client of the platform's list of instances and endpoints.
//!
//! `GET /instances` answers an `InstanceList`. The list is updated with a delay, so it
//! may contain instances that are gone and lack new ones.

use crate::http::{HttpClient, HttpError, JsonCall};
use catalogue::ListedInstance;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Snapshot of the platform's list
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct InstanceList {
    /// Version of the list; increases with every change
    pub version: u64,
    /// Listed instances and endpoints
    pub instances: Vec<ListedInstance>,
}

/// HTTP client of the list
#[derive(Debug, Clone)]
pub struct InstanceClient {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl InstanceClient {
    /// Client of the list at `address`; `timeout` limits each call
    pub fn new(address: SocketAddr, timeout: Duration) -> InstanceClient {
        InstanceClient { client: HttpClient::new(), address, timeout }
    }

    /// Reads the current list
    ///
    /// # Errors
    /// Any `HttpError`.
    pub async fn read(&self) -> Result<InstanceList, HttpError> {
        let call = JsonCall {
            method: Method::GET,
            address: self.address,
            path: "/instances",
            timeout: self.timeout,
            request_id: None,
        };
        self.client.call(call, None::<&()>).await
    }
}
