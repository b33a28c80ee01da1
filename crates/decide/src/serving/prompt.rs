//! Declared structure of prompts: their parts and the lengths of these.

use catalogue::id::TokenCount;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Output length in tokens above which a request occupies a batch slot for seconds.
const LONG_OUTPUT_TOKENS: TokenCount = 1000;

/// Id of a prompt part; parts with equal ids have the same text.
pub type PartId = SmolStr;

/// Hash of a prompt prefix; prefixes with equal hashes have the same text.
pub type PrefixKey = u64;

/// Hash of the id of a prompt part.
pub type PartKey = u64;

/// Maximum number of parts, and of characters of each id, that a log line names.
const MAX_LOGGED_PARTS: usize = 6;
const MAX_LOGGED_ID: usize = 24;

/// Prompt prefix that ends at the end of a part
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PromptPrefix {
    /// Hash of the ids of its parts
    pub key: PrefixKey,
    /// Total length of its parts
    pub tokens: TokenCount,
}

/// Part of a prompt
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of its text
    pub id: PartId,
    /// Length of its text
    pub tokens: TokenCount,
}

impl PromptPart {
    /// Hash of its id
    pub fn key(&self) -> PartKey {
        XxHash3_64::oneshot(self.id.as_bytes())
    }

    /// Start of its id, for the log
    pub fn short_id(&self) -> String {
        self.id.chars().take(MAX_LOGGED_ID).collect()
    }
}

/// Declared structure of a generation
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Length of the prompt
    pub prompt_tokens: TokenCount,
    /// Maximum number of tokens to generate
    pub output_tokens: TokenCount,
    /// Parts in order; the last is specific to the request or its session
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Whether it may occupy a batch slot for seconds
    pub fn has_long_output(&self) -> bool {
        self.output_tokens > LONG_OUTPUT_TOKENS
    }

    /// Parts that other requests may share: all but the last
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Hashes of the ids of the shared parts
    pub fn shared_part_keys(&self) -> Vec<PartKey> {
        self.shared_parts().iter().map(PromptPart::key).collect()
    }

    /// Formats the ids of the first shared parts for the log
    pub fn describe_shared_parts(&self) -> String {
        let parts = self.shared_parts().iter().take(MAX_LOGGED_PARTS);
        parts.map(PromptPart::short_id).collect::<Vec<_>>().join(",")
    }

    /// Total length of the shared parts, in tokens
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|it| u64::from(it.tokens)).sum()
    }

    /// Prefixes of the prompt, one ending at each part, shortest first
    pub fn prefixes(&self) -> Vec<PromptPrefix> {
        let mut hasher = XxHash3_64::with_seed(0);
        let mut tokens = 0;
        let prefixes = self.parts.iter().map(|part| {
            hasher.write(part.id.as_bytes());
            hasher.write_u8(b',');
            tokens += part.tokens;
            PromptPrefix { key: hasher.finish(), tokens }
        });
        prefixes.collect()
    }

    /// Hash of the shared parts; requests with equal hashes can use the same cache
    pub fn affinity_key(&self) -> u64 {
        let mut hasher = XxHash3_64::with_seed(0);
        for part in self.shared_parts() {
            hasher.write(part.id.as_bytes());
            hasher.write_u8(b',');
        }
        hasher.finish()
    }
}
