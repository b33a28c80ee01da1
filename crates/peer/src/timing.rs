//! Times of connections between instances.

use std::time::Duration;

/// Timeouts and intervals of a connection to a peer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTiming {
    /// Timeout of connecting
    pub connect: Duration,
    /// Interval between pings while a call waits
    pub ping_interval: Duration,
    pub ping_timeout: Duration,
    /// Time without calls after which a connection is closed
    pub idle: Duration,
}

impl Default for ConnectionTiming {
    fn default() -> ConnectionTiming {
        ConnectionTiming {
            connect: Duration::from_secs(1),
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(1),
            idle: Duration::from_secs(30),
        }
    }
}
