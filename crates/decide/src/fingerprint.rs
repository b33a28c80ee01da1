//! Fingerprint of a request's content.
//!
//! A client may retry a crashing request under a new request id, through another instance
//! and with other whitespace. The fingerprint covers the entry and the prompt, ignoring
//! whitespace and ASCII case. Any other change of the prompt gives a new fingerprint.

use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Hash of a request's entry and normalized prompt.
pub type Fingerprint = u64;

/// Computes the fingerprint of a prompt to an entry
pub fn fingerprint(entry: &str, prompt: &str) -> Fingerprint {
    let mut hasher = XxHash3_64::default();
    hasher.write(entry.as_bytes());
    let mut normalized = Vec::with_capacity(prompt.len());
    for byte in prompt.bytes() {
        if !byte.is_ascii_whitespace() {
            normalized.push(byte.to_ascii_lowercase());
        }
    }
    hasher.write(&[0]);
    hasher.write(&normalized);
    hasher.finish()
}
