//! Errors of the gateway process and of a relayed answer.

use std::net::SocketAddr;

/// Error that ends the process
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum GatewayError {
    /// cannot start the runtime: {0}
    Runtime(std::io::Error),
    /// cannot listen on {address}: {error}
    Bind {
        /// Address that was to be bound
        address: SocketAddr,
        /// Error of the operating system
        error: std::io::Error,
    },
    /// a background task has ended: {0}
    TaskFailed(String),
}

impl std::error::Error for GatewayError {}

/// Error after the head of an answer was sent; the client's connection is closed
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(displaydoc::Display)]
pub enum RelayError {
    /// endpoint closed the connection before the end of the answer
    Truncated,
    /// deadline passed before the end of the answer
    TimedOut,
}

impl std::error::Error for RelayError {}
