//! Client that calls other instances over one connection each.

use crate::auth::PeerSecret;
use crate::connection::PeerConnection;
use crate::error::PeerError;
use crate::message::{PeerReply, PeerRequest};
pub use crate::timing::ConnectionTiming;
use crate::traffic::PeerTraffic;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Client for all peers; clones share connections
#[derive(Debug, Clone)]
pub struct PeerClient {
    secret: PeerSecret,
    timing: ConnectionTiming,
    traffic: Arc<PeerTraffic>,
    links: Arc<Mutex<IndexMap<SocketAddr, Arc<PeerLink>>>>,
}

/// Connection to one peer, opened on demand
#[derive(Debug, Default)]
struct PeerLink {
    connection: tokio::sync::Mutex<Option<Arc<PeerConnection>>>,
}

impl PeerClient {
    /// Client that authenticates itself and its peers with `secret`
    pub fn new(secret: PeerSecret, timing: ConnectionTiming) -> PeerClient {
        let traffic = Arc::new(PeerTraffic::default());
        PeerClient { secret, timing, traffic, links: Arc::default() }
    }

    /// Traffic of all connections that this client opened
    pub fn traffic(&self) -> Arc<PeerTraffic> {
        self.traffic.clone()
    }

    /// Calls the peer at `address`
    ///
    /// # Errors
    /// Any `PeerError`; if its `is_unsent` is true, the request certainly had no effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let exchange = async {
            let connection = self.connection(address).await?;
            connection.call(&request).await
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(PeerError::TimedOut(timeout)),
        }
    }

    /// Drops connections to addresses that are no longer listed
    pub fn retain(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.lock_links().retain(|address, _| is_listed(address));
    }

    async fn connection(&self, address: SocketAddr) -> Result<Arc<PeerConnection>, PeerError> {
        let link = self.lock_links().entry(address).or_default().clone();
        let mut slot = link.connection.lock().await;
        if let Some(connection) = slot.as_ref().filter(|it| it.is_open()) {
            return Ok(connection.clone());
        }
        let traffic = self.traffic.clone();
        let opened = PeerConnection::open(address, &self.secret, self.timing, traffic).await?;
        let connection = Arc::new(opened);
        *slot = Some(connection.clone());
        Ok(connection)
    }

    fn lock_links(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, Arc<PeerLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
