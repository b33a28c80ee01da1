//! Chained hashes of prompt pieces.
//!
//! Engines cache prompts in pieces of about two thousand tokens. The hash of a piece
//! covers the piece and all pieces before it, so equal hashes mean equal prefixes, and the
//! longest cached prefix is found by looking up the hashes. Four bytes of prompt count as
//! one token, both here and in the engines.

use crate::id::TokenCount;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Tokens in one cache piece.
pub const PIECE_TOKENS: TokenCount = 2_000;
/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Hash of a prompt piece and of all pieces before it.
pub type PieceHash = u64;

/// Number of tokens in a prompt, rounded up.
pub fn token_count(prompt: &str) -> TokenCount {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as TokenCount
}

/// Chained hashes of the complete pieces of a prompt for one model, shortest prefix first.
pub fn piece_hashes(model: &str, prompt: &str) -> Vec<PieceHash> {
    let piece_bytes = PIECE_TOKENS as usize * BYTES_PER_TOKEN;
    let mut chain = chain_hash(0, model.as_bytes());
    let mut hashes = Vec::with_capacity(prompt.len() / piece_bytes);
    for piece in prompt.as_bytes().chunks_exact(piece_bytes) {
        chain = chain_hash(chain, piece);
        hashes.push(chain);
    }
    hashes
}

fn chain_hash(previous: PieceHash, bytes: &[u8]) -> PieceHash {
    let mut hasher = XxHash3_64::with_seed(previous);
    hasher.write(bytes);
    hasher.finish()
}
