//! Client of the platform's list of instances and endpoints.
//!
//! `GET /instances` answers an `InstanceList`. The list lags behind the truth and
//! may be out of date in either direction.

use crate::http::{HttpClient, HttpError, JsonCall};
use catalogue::ListedInstance;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// The platform's list at one moment
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct InstanceList {
    /// Grows with every change of the list
    pub version: u64,
    /// Listed instances
    pub instances: Vec<ListedInstance>,
}

/// Client of the list
#[derive(Debug, Clone)]
pub struct InstanceClient {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl InstanceClient {
    /// Client of the service at `address`
    pub fn new(address: SocketAddr, timeout: Duration) -> InstanceClient {
        InstanceClient { client: HttpClient::new(), address, timeout }
    }

    /// Reads the list
    ///
    /// # Errors
    /// Any `HttpError`.
    pub async fn read(&self) -> Result<InstanceList, HttpError> {
        let call = JsonCall {
            method: Method::GET,
            address: self.address,
            path: "/instances",
            timeout: self.timeout,
            request: None,
        };
        self.client.call(call, None::<&()>).await
    }
}
