//! A network link between two processes that can be cut, paused or made unresponsive.
//!
//! An instance is configured with the link's address instead of the server's, so a
//! test can partition this one instance from the server.

use crate::fault_switch::SwitchedStream;
use crate::server::StandinServer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;

/// TCP forwarder to one address
pub struct NetworkLink {
    server: StandinServer,
}

impl NetworkLink {
    /// Starts a link to `target`
    ///
    /// # Errors
    /// Any error of binding or listening.
    pub fn to(target: SocketAddr) -> io::Result<NetworkLink> {
        let server =
            StandinServer::streams(Arc::new(move |stream| Box::pin(forward(stream, target))))?;
        Ok(NetworkLink { server })
    }

    /// Address that connections to the target use
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Partitions the two sides: closes open connections and refuses new ones
    pub fn cut(&self) {
        self.server.stop();
    }

    /// Ends the partition
    ///
    /// # Errors
    /// `io::Error` if the address can't be bound again.
    pub async fn restore(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Makes the open connections unresponsive permanently; new ones work
    pub fn make_unresponsive(&self) {
        self.server.make_unresponsive();
    }

    /// Pauses or resumes both directions
    pub fn pause(&self, paused: bool) {
        self.server.pause(paused);
    }
}

async fn forward(mut near: SwitchedStream, target: SocketAddr) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = far.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
}
