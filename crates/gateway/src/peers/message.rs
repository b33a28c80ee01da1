//! Messages between instances, as datagrams.

use catalogue::id::{EndpointId, InstanceId, ZoneName};
use decide::serving::lead::ListedInstance;
use decide::serving::load::{EndpointWork, WorkCount};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest message, in bytes; a summary of 60 endpoints takes about 1,000, and one of 640 about 11,000.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Version of the message format.
const MESSAGE_VERSION: u8 = 2;

/// Whose work a message tells
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum WorkScope {
    /// Sender's own
    Own,
    /// Sender's zone together, from lead to lead
    Zone,
    /// All but the receiver's, from lead to member
    Rest,
}

/// Work in flight
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadMessage {
    version: u8,
    /// Sender
    pub instance: InstanceId,
    /// Sender's availability zone
    pub zone: ZoneName,
    /// Sender's share of a core, in thousandths
    pub power: u32,
    /// Whose work it is
    pub scope: WorkScope,
    work: Vec<(EndpointId, u32, u64)>,
}

impl LoadMessage {
    /// Message of an instance
    pub fn new(
        instance: InstanceId,
        zone: ZoneName,
        power: u32,
        scope: WorkScope,
        work: &EndpointWork,
    ) -> LoadMessage {
        let work = work.iter().map(|(id, it)| (id.clone(), it.requests, it.unread_tokens));
        let work = work.collect();
        LoadMessage { version: MESSAGE_VERSION, instance, zone, power, scope, work }
    }

    /// Encodes the message
    ///
    /// # Errors
    /// The encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>, bincode::error::EncodeError> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
    }

    /// Decodes a message; `None` for one of another version or sender
    pub fn decode(bytes: &[u8]) -> Option<LoadMessage> {
        let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
        let (message, _): (LoadMessage, _) =
            bincode::serde::decode_from_slice(bytes, config).ok()?;
        Some(message).filter(|it| it.version == MESSAGE_VERSION)
    }

    /// Sender as it is listed
    pub fn sender(&self, address: SocketAddr) -> ListedInstance {
        ListedInstance { address, zone: self.zone.clone(), power: self.power }
    }

    /// Work by endpoint
    pub fn into_work(self) -> EndpointWork {
        let counts = self.work.into_iter().map(|(endpoint, requests, unread_tokens)| {
            (endpoint, WorkCount { requests, unread_tokens })
        });
        counts.collect()
    }
}
