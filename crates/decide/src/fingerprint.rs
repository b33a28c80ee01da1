//! Fingerprint of a request's content.
//!
//! A client may retry a crashing request under a new request id, through another instance
//! and with other whitespace. The fingerprint covers the entry and the prompt, ignoring
//! whitespace and ASCII case. Any other change of the prompt gives a new fingerprint.

use std::hash::{Hash, Hasher};
use std::net::IpAddr;
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

/// Request as the endpoints see it, and its caller
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    pub method: &'a str,
    /// Path and query
    pub path: &'a str,
    pub body: &'a [u8],
    /// Address of the caller
    pub caller: IpAddr,
}

/// Computes the fingerprint of a request
///
/// A body identifies the request by itself, from whatever address it comes again. Many callers send sound
/// requests without a body on one path, so there the caller is part of it.
pub fn request_fingerprint(content: &RequestContent<'_>) -> Fingerprint {
    let mut hasher = hash_content(content);
    if content.body.is_empty() {
        content.caller.hash(&mut hasher);
    }
    hasher.finish()
}

/// Computes the fingerprint of a request without a body from whatever caller; `None` with a body
pub fn path_fingerprint(content: &RequestContent<'_>) -> Option<Fingerprint> {
    content.body.is_empty().then(|| hash_content(content).finish())
}

fn hash_content(content: &RequestContent<'_>) -> XxHash3_64 {
    let RequestContent { method, path, body, .. } = content;
    let mut hasher = XxHash3_64::default();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher
}
