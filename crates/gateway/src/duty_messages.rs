//! Datagrams on the duties, on the port of the messages between instances.
//!
//! Their first byte differs from that of `messages`, so that earlier versions of the
//! software ignore them. A checksum keeps damaged ones from being taken for others.

use crate::duties::DutyHolder;
use catalogue::id::Fence;
use decide::serving::usage_report::{UsageAck, UsageReport};
use serde::{Deserialize, Serialize};
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// First byte of these datagrams
pub const DUTY_BYTE: u8 = 200;
/// Bytes of the checksum at the end.
const CHECKSUM_BYTES: usize = 8;
/// Maximum size of a decoded message in memory.
const MAX_DECODED_BYTES: usize = 64 * 1024;

/// Message on the duties
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DutyMessage {
    /// Holder of the lease, from itself or forwarded by the leader of a zone
    Announcement { holder: DutyHolder, is_forwarded: bool },
    /// The holder stops or can't renew its term; the receiver should follow the lease after those with a lower order
    HandOver { fence: Fence, order: u8 },
    /// Counts of an instance, to the holder
    Usage(UsageReport),
    /// The holder's answer
    UsageAck(UsageAck),
}

impl DutyMessage {
    /// Encodes the message
    ///
    /// # Errors
    /// The encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>, bincode::error::EncodeError> {
        let mut bytes = vec![DUTY_BYTE];
        bytes.extend(bincode::serde::encode_to_vec(self, bincode::config::standard())?);
        bytes.extend(checksum(&bytes).to_be_bytes());
        Ok(bytes)
    }

    /// Decodes a message; `None` if it is malformed or unknown
    pub fn decode(bytes: &[u8]) -> Option<DutyMessage> {
        let (content, sum) = bytes.split_at_checked(bytes.len().checked_sub(CHECKSUM_BYTES)?)?;
        if content.first() != Some(&DUTY_BYTE) || checksum(content).to_be_bytes() != *sum {
            return None;
        }
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let (message, _) = bincode::serde::decode_from_slice(&content[1..], config).ok()?;
        Some(message)
    }
}

fn checksum(content: &[u8]) -> u64 {
    let mut hasher = XxHash3_64::with_seed(0);
    hasher.write(content);
    hasher.finish()
}
