//! One request in an engine.

use crate::answer::{AnswerSeed, push_token};
use bytes::Bytes;
use catalogue::id::{ModelName, RequestId, TokenCount};
use catalogue::prefix::PieceHash;
use platform::engine::{RefusalReason, StreamLine};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Outcome of a prefill whose cache is exported
pub(super) type PrefillOutcome = Result<PrefillDone, RefusalReason>;

/// Completed prefill whose cache is exported
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PrefillDone {
    pub(super) export: u64,
    pub(super) prompt_tokens: TokenCount,
    pub(super) cached_tokens: TokenCount,
}

/// Receiver of the outcome of a request
pub(super) enum SequenceSink {
    Export(oneshot::Sender<PrefillOutcome>),
    Tokens(TokenSink),
}

/// Receiver of a token stream
pub(super) struct TokenSink {
    pub(super) lines: mpsc::UnboundedSender<Bytes>,
    pub(super) seed: AnswerSeed,
    pub(super) next: TokenCount,
    pub(super) max: TokenCount,
}

/// Waiting or running request
pub(super) struct Sequence {
    pub(super) request: RequestId,
    pub(super) model: ModelName,
    pub(super) priority: u8,
    pub(super) deadline: Instant,
    pub(super) prompt_tokens: TokenCount,
    pub(super) cached_tokens: TokenCount,
    pub(super) prefill_left: TokenCount,
    pub(super) pieces: Vec<PieceHash>,
    pub(super) crashes_engine: bool,
    pub(super) sink: SequenceSink,
}

impl Sequence {
    pub(super) fn decodes(&self) -> bool {
        self.prefill_left == 0 && matches!(self.sink, SequenceSink::Tokens(_))
    }

    pub(super) fn is_abandoned(&self) -> bool {
        match &self.sink {
            SequenceSink::Export(sender) => sender.is_closed(),
            SequenceSink::Tokens(sink) => sink.lines.is_closed(),
        }
    }

    pub(super) fn output_left(&self) -> TokenCount {
        match &self.sink {
            SequenceSink::Export(_) => 0,
            SequenceSink::Tokens(sink) => sink.max.saturating_sub(sink.next),
        }
    }

    /// Ends the request and reports the reason to its caller
    pub(super) fn stop(self, reason: RefusalReason) {
        match self.sink {
            SequenceSink::Export(sender) => {
                let _ = sender.send(Err(reason));
            }
            SequenceSink::Tokens(sink) => sink.send_line(&StreamLine::Stopped { reason }),
        }
    }
}

impl TokenSink {
    /// Sends the next token; returns whether it was the last
    pub(super) fn emit(&mut self) -> bool {
        let mut line = format!("{{\"token\":{{\"n\":{},\"text\":\"", self.next);
        push_token(&mut line, self.seed, self.next);
        line.push_str("\"}}\n");
        self.next += 1;
        let _ = self.lines.send(Bytes::from(line));
        self.next >= self.max
    }

    pub(super) fn end(&self, prompt_tokens: TokenCount, cached_tokens: TokenCount) {
        self.send_line(&StreamLine::End { count: self.max, prompt_tokens, cached_tokens });
    }

    fn send_line(&self, line: &StreamLine) {
        if let Ok(mut bytes) = serde_json::to_vec(line) {
            bytes.push(b'\n');
            let _ = self.lines.send(Bytes::from(bytes));
        }
    }
}
