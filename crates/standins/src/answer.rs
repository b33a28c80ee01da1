//! Answers of engines and services as deterministic functions of the request.

use catalogue::id::TokenCount;
use std::fmt::Write;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Weyl increment of the SplitMix64 generator.
const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const TOKEN_BITS: u64 = 0xf_ffff;

/// Digest of a model and a prompt that determines every token of the answer
pub type AnswerSeed = u64;

/// Seed of the answer to a prompt
pub fn answer_seed(model: &str, prompt: &str) -> AnswerSeed {
    let mut hasher = XxHash3_64::new();
    hasher.write(model.as_bytes());
    hasher.write_u8(0);
    hasher.write(prompt.as_bytes());
    hasher.finish()
}

/// Appends the text of token `n`
pub fn push_token(text: &mut String, seed: AnswerSeed, n: TokenCount) {
    let mixed = splitmix(seed.wrapping_add(u64::from(n).wrapping_mul(SPLITMIX_INCREMENT)));
    // Writing to a string can't fail.
    let _ = write!(text, " {:05x}", mixed & TOKEN_BITS);
}

/// Text of token `n` of the answer to a prompt
pub fn token_text(model: &str, prompt: &str, n: TokenCount) -> String {
    let mut text = String::new();
    push_token(&mut text, answer_seed(model, prompt), n);
    text
}

/// Complete answer to a prompt, as text
pub fn expected_text(model: &str, prompt: &str, max_tokens: TokenCount) -> String {
    let seed = answer_seed(model, prompt);
    let mut text = String::new();
    for n in 0..max_tokens {
        push_token(&mut text, seed, n);
    }
    text
}

/// Body of a service's answer to a request that it executed
pub fn service_text(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = XxHash3_64::new();
    hasher.write(method.as_bytes());
    hasher.write_u8(0);
    hasher.write(path.as_bytes());
    hasher.write_u8(0);
    hasher.write(body);
    format!("{{\"done\":\"{:016x}\"}}", hasher.finish())
}

fn splitmix(state: u64) -> u64 {
    let z = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
