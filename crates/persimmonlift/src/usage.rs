//! Token counts that answers report.

use crate::generation::AnswerStream;
use catalogue::id::TokenCount;

/// Token counts of an answer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct CompletionUsage {
    prompt_tokens: TokenCount,
    completion_tokens: TokenCount,
    total_tokens: TokenCount,
    cached_tokens: TokenCount,
}

impl CompletionUsage {
    /// Counts of a complete answer
    pub fn of(answer: &AnswerStream) -> CompletionUsage {
        let prompt_tokens = answer.job().prompt_tokens;
        let completion_tokens = answer.tokens();
        CompletionUsage {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
            cached_tokens: answer.cached_tokens(),
        }
    }
}
