//! Failures of the gateway as a whole, and of a relayed answer.

use std::net::SocketAddr;

/// Failure that ends the process
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum GatewayError {
    /// runtime can't start: {0}
    Runtime(std::io::Error),
    /// can't listen on {address}: {error}
    Bind {
        /// Address
        address: SocketAddr,
        /// Cause
        error: std::io::Error,
    },
}

impl std::error::Error for GatewayError {}

/// Failure that cuts an answer in the middle
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(displaydoc::Display)]
pub enum RelayError {
    /// endpoint broke off its answer
    BrokenOff,
    /// time for the answer is over
    TimedOut,
}

impl std::error::Error for RelayError {}
