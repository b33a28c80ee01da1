//! Fingerprint of a request's content.
//!
//! A request that crashes endpoints comes again under a new request id, through
//! another instance and perhaps with other spacing. The fingerprint covers the
//! entry and the prompt without regard to white space and letter case. A client
//! that changes a letter or a digit has a new fingerprint.

use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Hash that equal requests share.
pub type Fingerprint = u64;

/// Fingerprint of a prompt for an entry
pub fn fingerprint(entry: &str, prompt: &str) -> Fingerprint {
    let mut hasher = XxHash3_64::default();
    hasher.write(entry.as_bytes());
    let mut folded = Vec::with_capacity(prompt.len());
    for byte in prompt.bytes() {
        if !byte.is_ascii_whitespace() {
            folded.push(byte.to_ascii_lowercase());
        }
    }
    hasher.write(&[0]);
    hasher.write(&folded);
    hasher.finish()
}
