//! Metrics over statsd.

use cadence::{Counted, CountedExt, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use catalogue::RequestClass;
use smol_str::format_smolstr;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

const PREFIX: &str = "persimmonlift";
/// Maximum number of metrics queued for the daemon.
const QUEUE_LENGTH: usize = 4_096;

/// Metrics of serving; does nothing if no daemon is configured
#[derive(Debug, Default)]
pub struct ServingMetrics {
    client: Option<StatsdClient>,
}

impl ServingMetrics {
    /// Creates a client of the daemon, if one is configured
    ///
    /// # Errors
    /// Any error of opening the socket.
    pub fn start(daemon: Option<SocketAddr>) -> io::Result<ServingMetrics> {
        let Some(daemon) = daemon else {
            return Ok(ServingMetrics::default());
        };
        let local: SocketAddr =
            if daemon.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(daemon, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH);
        Ok(ServingMetrics { client: Some(StatsdClient::from_sink(PREFIX, sink)) })
    }

    /// Counts an event
    pub fn count(&self, name: &str) {
        if let Some(client) = &self.client {
            let _ = client.incr(name);
        }
    }

    /// Counts several events at once
    pub fn count_many(&self, name: &str, count: u64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, count);
        }
    }

    /// Counts an event of a request class
    pub fn count_class(&self, name: &str, class: RequestClass) {
        if self.client.is_some() {
            self.count(&format_smolstr!("{name}.{}", class.name()));
        }
    }

    /// Records a duration for a request class
    pub fn time_class(&self, name: &str, class: RequestClass, time: Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(&format_smolstr!("{name}.{}", class.name()), time);
        }
    }

    /// Sets a gauge
    pub fn gauge(&self, name: &str, level: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, level);
        }
    }
}
