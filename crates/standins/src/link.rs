//! A stretch of network between two processes that can be cut, paused or silenced.
//!
//! An instance is given the link's address in place of the server's, so that a test
//! can part this one instance from it.

use crate::gate::GatedStream;
use crate::server::StandinServer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;

/// Forwarder to one address
pub struct NetworkLink {
    server: StandinServer,
}

impl NetworkLink {
    /// Link to `target`
    ///
    /// # Errors
    /// Any error of binding or listening.
    pub fn to(target: SocketAddr) -> io::Result<NetworkLink> {
        let server =
            StandinServer::streams(Arc::new(move |stream| Box::pin(forward(stream, target))))?;
        Ok(NetworkLink { server })
    }

    /// Address of the near end
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Parts the two sides: open connections are cut and new ones refused
    pub fn cut(&self) {
        self.server.stop();
    }

    /// Joins the two sides again
    ///
    /// # Errors
    /// The error of listening.
    pub async fn mend(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Makes the open connections silent for good; new ones work
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Holds up both directions, or lets them go
    pub fn pause(&self, paused: bool) {
        self.server.pause(paused);
    }
}

async fn forward(mut near: GatedStream, target: SocketAddr) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = far.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
}
